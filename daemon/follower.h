/**
 * @file follower.h
 * Follows one stream of the log from a state that is known to be whole: from its first record, or
 * from a snapshot when earlier records have expired.
 */
#ifndef IV_FOLLOWER_H
#define IV_FOLLOWER_H

#include "chunks.h"
#include "platform.h"

/** What a follower tells its owner. */
struct iv_follower_events
{
  void *context;
  /** Fold the batch at @a offset. Called in order, and only from a whole state on. */
  void (*batch) (void *context, guint64 offset, const ivx_batch *batch, const guint8 *bytes,
                 gsize len);
  /** Start from a snapshot of the state before @a covers. FALSE when it cannot be used. */
  gboolean (*restore) (void *context, const guint8 *bytes, gsize len, guint64 covers);
  /** The end of the stream was reached by a read that was sent at @a asked_ms. */
  void (*end) (void *context, gint64 asked_ms);
};

/** The follower. */
struct iv_follower;

/** Begin to follow @a stream. @a poll_ms is how long a read waits at the end. Streams without
 *  snapshots (@a whole_from_any) are whole from any record on. */
struct iv_follower *iv_follower_new (uv_loop_t *loop, struct iv_deadlines *deadlines,
                                     const struct iv_log_ops *log, const char *stream,
                                     gint64 poll_ms, gint64 timeout_ms, gboolean whole_from_any,
                                     const struct iv_follower_events *events);

/** Free the follower. A read under way must have been answered. */
void iv_follower_free (struct iv_follower *follower);

/** Take a batch that a peer relayed. Ignored unless it is the next one of a whole state. */
void iv_follower_relayed (struct iv_follower *follower, guint64 offset, const guint8 *bytes,
                          gsize len);

/** Take a snapshot that a peer relayed, when the state is not whole or behind it. */
void iv_follower_relayed_snapshot (struct iv_follower *follower, const guint8 *bytes, gsize len,
                                   guint64 covers);

/** Whether the state is known to be whole. */
gboolean iv_follower_whole (const struct iv_follower *follower);

/** Offset of the next batch. */
guint64 iv_follower_next (const struct iv_follower *follower);

/** uv_now() time of the last read that the log answered; 0 when none was. */
gint64 iv_follower_heard_ms (const struct iv_follower *follower);

#endif
