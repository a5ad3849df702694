/**
 * @file deadlines.h
 * Many deadlines on one libuv timer.
 */
#ifndef IV_DEADLINES_H
#define IV_DEADLINES_H

#include <glib.h>
#include <uv.h>

/** The set of deadlines of one loop. */
struct iv_deadlines;

/** One deadline; embed it and keep it in place while it is set. */
struct iv_deadline
{
  gint64 at_ms; /**< uv_now() time */
  guint64 order;
  gboolean set;
  void (*fire) (void *context);
  void *context;
};

/** Create the set. */
struct iv_deadlines *iv_deadlines_new (uv_loop_t *loop);

/** Free the set; deadlines that are still set never fire. */
void iv_deadlines_free (struct iv_deadlines *deadlines);

/** Set @a deadline to @a at_ms, replacing what was set before. */
void iv_deadline_set (struct iv_deadlines *deadlines, struct iv_deadline *deadline, gint64 at_ms);

/** Unset @a deadline. */
void iv_deadline_unset (struct iv_deadlines *deadlines, struct iv_deadline *deadline);

#endif
