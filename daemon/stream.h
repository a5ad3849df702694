/**
 * @file stream.h
 * Follows a keyed topic of the store: applies the newest record of each key, then every change.
 */
#ifndef IV_STREAM_H
#define IV_STREAM_H

#include "store.h"

/** Applies a record; @a value is NULL when the key was deleted. */
typedef void (*iv_stream_apply_fn) (void *context, const char *key, const guint8 *value, gsize len);

/** Called once all records up to the end of the topic are applied. */
typedef void (*iv_stream_ready_fn) (void *context);

/** Topic, read intervals and callbacks. */
struct iv_stream_options
{
  const char *topic;          /**< copied */
  gint64 wait_ms;             /**< how long a read waits for a record */
  gint64 read_delay_ms;       /**< between two reads: the platform charges for reads */
  gint64 first_read_delay_ms; /**< before the first one */
  iv_stream_apply_fn apply;
  iv_stream_ready_fn loaded; /**< after every complete load of the newest records; may be NULL */
  void *context;
};

/** Position in a topic and the keys that exist there. */
struct iv_stream;

/** Follow a topic, from the next turn of the loop on. */
struct iv_stream *iv_stream_new (uv_loop_t *loop, struct iv_deadlines *deadlines,
                                 struct iv_store *store, const struct iv_stream_options *options);

/** Stop following. Frees the stream once the read in progress has ended. NULL is allowed. */
void iv_stream_close (struct iv_stream *stream);

/** Whether the load of the newest records is complete. */
gboolean iv_stream_loaded (const struct iv_stream *stream);

/** Offset up to which the stream was applied. */
gint64 iv_stream_position (const struct iv_stream *stream);

/** Time in ms, including time suspended, since the last read that reached the end was sent. All
 *  records stored before that are applied. */
gint64 iv_stream_age_ms (const struct iv_stream *stream);

/** Whether the last read failed. */
gboolean iv_stream_is_unreachable (const struct iv_stream *stream);

/** Time in ms since the first of the reads that failed should have ended; 0 when the last one did
 *  not fail. */
gint64 iv_stream_unreachable_ms (const struct iv_stream *stream);

/** How far a load of the newest records is. */
struct iv_stream_progress
{
  gint64 lasted_ms; /**< since the load began */
  guint loaded;     /**< records that were read */
  guint total;      /**< about as many are to be read; 0: not known, this is the first load */
};

/** Progress of the load in progress, or that of the last one. */
struct iv_stream_progress iv_stream_load_progress (const struct iv_stream *stream);

/** Change the delay between two reads. */
void iv_stream_set_read_delay (struct iv_stream *stream, gint64 read_delay_ms);

/** Call @a ready once a read sent from now on has reached the end of the topic. It is not called
 *  when the stream is closed. */
void iv_stream_barrier (struct iv_stream *stream, iv_stream_ready_fn ready, void *context);

#endif
