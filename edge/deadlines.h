/**
 * @file deadlines.h
 * A set of deadlines that share one libuv timer.
 */
#ifndef IV_DEADLINES_H
#define IV_DEADLINES_H

#include <glib.h>
#include <uv.h>

/** The set of deadlines of one loop. It does not keep the loop running. */
struct iv_deadlines;

/** One deadline, usually embedded in another structure; it must not move while it is set. Set
 *  `fire` and `context`; the other members start as zero. */
struct iv_deadline
{
  gint64 at_ms;     /**< uv_now() time */
  guint64 sequence; /**< number of the setting: of equal times, the first one set fires first */
  gboolean set;
  void (*fire) (void *context);
  void *context;
};

/** Create a set on @a loop. */
struct iv_deadlines *iv_deadlines_new (uv_loop_t *loop);

/** Free the set; deadlines that are still set never fire. */
void iv_deadlines_free (struct iv_deadlines *deadlines);

/** Set @a deadline to @a at_ms, uv_now() time, replacing an earlier setting. */
void iv_deadline_set (struct iv_deadlines *deadlines, struct iv_deadline *deadline, gint64 at_ms);

/** Unset @a deadline; no effect when it is not set. */
void iv_deadline_unset (struct iv_deadlines *deadlines, struct iv_deadline *deadline);

#endif
