/**
 * @file follower.h
 * Follows one stream of the log. The state that its owner builds is complete if it starts at the
 * first record of the stream, or at a snapshot if earlier records have expired.
 */
#ifndef IV_FOLLOWER_H
#define IV_FOLLOWER_H

#include "chunks.h"
#include "platform.h"

/** Callbacks of a follower. */
struct iv_follower_events
{
  void *context;
  /** Apply the batch at @a offset, encoded in @a bytes. Called in the order of offsets, and only
   *  while the state is complete. */
  void (*batch) (void *context, guint64 offset, const ivx_batch *batch, const guint8 *bytes,
                 gsize len);
  /** Replace the state by a snapshot of the state after all batches below @a end_offset. Returns
   *  FALSE if the snapshot cannot be used. */
  gboolean (*restore) (void *context, const guint8 *bytes, gsize len, guint64 end_offset);
  /** A read sent at @a requested_ms (uv_now() time) reached the end of the stream. */
  void (*end) (void *context, gint64 requested_ms);
};

/** The follower. */
struct iv_follower;

/** Start to follow @a stream. At the end of the stream a read waits up to @a poll_ms for new
 *  records; @a timeout_ms is added to that for its deadline. @a without_snapshots: the stream has
 * no snapshots, and a state that starts at any record counts as complete. */
struct iv_follower *iv_follower_new (uv_loop_t *loop, struct iv_deadlines *deadlines,
                                     const struct iv_log_ops *log, const char *stream,
                                     gint64 poll_ms, gint64 timeout_ms, gboolean without_snapshots,
                                     const struct iv_follower_events *events);

/** Free the follower. No read may be in flight. */
void iv_follower_free (struct iv_follower *follower);

/** Apply a batch that a peer relayed. Ignored unless the state is complete and @a offset is the
 * next one. */
void iv_follower_apply_relayed (struct iv_follower *follower, guint64 offset, const guint8 *bytes,
                                gsize len);

/** Restore a snapshot that a peer relayed, of the state after all batches below @a end_offset.
 *  Ignored if the state is complete and not older. */
void iv_follower_restore_relayed (struct iv_follower *follower, const guint8 *bytes, gsize len,
                                  guint64 end_offset);

/** Whether the state is complete, so that it may be used. */
gboolean iv_follower_is_complete (const struct iv_follower *follower);

/** Offset of the next batch to read. */
guint64 iv_follower_next_offset (const struct iv_follower *follower);

/** uv_now() time of the last response of the log to a read; 0 before the first. */
gint64 iv_follower_last_read_ms (const struct iv_follower *follower);

#endif
