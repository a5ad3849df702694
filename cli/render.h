/**
 * @file render.h
 * Answers of the operators' interface as text for a terminal.
 */
#ifndef IV_RENDER_H
#define IV_RENDER_H

#include <glib.h>
#include <jansson.h>

/** Kinds of answers. */
enum iv_view
{
  IV_VIEW_KEY_VALUES, /**< key: value, a line each */
  IV_VIEW_RELEASE,
  IV_VIEW_HISTORY,
  IV_VIEW_JOBS,
  IV_VIEW_JOB,
  IV_VIEW_STATUS
};

/** Render @a body. Free with g_free(). */
char *iv_render (enum iv_view view, const json_t *body);

#endif
