/**
 * @file stream.h
 * Follows a keyed stream of the store: the newest record of each key, then every change.
 */
#ifndef IV_STREAM_H
#define IV_STREAM_H

#include "store.h"

/** Receives a record; @a value is NULL when the key is gone. */
typedef void (*iv_stream_apply_fn) (void *context, const char *key, const guint8 *value, gsize len);

/** Called once everything that was there has been folded. */
typedef void (*iv_stream_ready_fn) (void *context);

/** What to follow, and how often. */
struct iv_stream_options
{
  const char *topic;    /**< copied */
  gint64 wait_ms;       /**< for which a read waits for a record */
  gint64 read_delay_ms; /**< between two reads: reads are priced */
  guint history; /**< fold so many records a key before the newest once more, so that what was
                      dropped lately is told; 0: none */
  iv_stream_apply_fn apply;
  iv_stream_ready_fn loaded; /**< after every whole reading of the newest; may be NULL */
  void *context;
};

/** A follower. */
struct iv_stream;

struct iv_stream *iv_stream_new (uv_loop_t *loop, struct iv_deadlines *deadlines,
                                 struct iv_store *store, const struct iv_stream_options *options);

/** Stop following; freed once its call has ended. */
void iv_stream_close (struct iv_stream *stream);

/** Whether the newest records were read, and up to which offset the stream was folded. */
gboolean iv_stream_loaded (const struct iv_stream *stream);
gint64 iv_stream_position (const struct iv_stream *stream);

/** Milliseconds, time of suspension included, since the newest read that showed nothing newer was
 *  sent: what was stored before it is folded. */
gint64 iv_stream_age_ms (const struct iv_stream *stream);

/** Change the gap between two reads. */
void iv_stream_set_read_delay (struct iv_stream *stream, gint64 read_delay_ms);

/** Call @a ready once a read that is sent from now on has come back whole. @a ready gets NULL as
 *  context never; it is not called when the stream is closed. */
void iv_stream_barrier (struct iv_stream *stream, iv_stream_ready_fn ready, void *context);

#endif
