/**
 * @file render.h
 * Renders responses of the operator interface as text for a terminal.
 */
#ifndef IV_RENDER_H
#define IV_RENDER_H

#include <glib.h>
#include <jansson.h>

/** Layout of a response. */
enum iv_view
{
  IV_VIEW_KEY_VALUES, /**< one `key: value` line per member */
  IV_VIEW_RELEASE,
  IV_VIEW_HISTORY,
  IV_VIEW_JOBS,
  IV_VIEW_JOB,
  IV_VIEW_STATUS
};

/** Render @a body in the layout @a view. Free with g_free(). */
char *iv_render (enum iv_view view, const json_t *body);

#endif
