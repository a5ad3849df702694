/**
 * @file recorder.h
 * Appends keyed records in groups, one append at a time, each resolved before the next.
 *
 * An append without an answer is sent again under the same sequence number, which the store
 * recognises; so its outcome becomes known as soon as the store answers again.
 */
#ifndef IV_RECORDER_H
#define IV_RECORDER_H

#include "status.h"
#include "store.h"

/** Outcome of a record: IV_OK, IV_ERR_UNAVAILABLE (nothing was stored), IV_ERR_TIMEOUT (it may be
 *  stored, now or later) or IV_ERR_STALE (a newer writer has begun). @a end: the stream ends there.
 */
typedef void (*iv_recorder_done_fn) (void *context, enum iv_status status, gint64 end);

/** A group of records in the making and the append in progress. */
struct iv_recorder;

/** Create a recorder for @a topic that writes as @a writer (copied) under @a epoch, and waits
 *  @a gather_ms for more records before each append. A record that is still doubtful after
 *  @a doubt_ms is answered with IV_ERR_TIMEOUT; 0: never. */
struct iv_recorder *iv_recorder_new (uv_loop_t *loop, struct iv_deadlines *deadlines,
                                     struct iv_store *store, const char *topic, const char *writer,
                                     gint64 epoch, gint64 batch_delay_ms,
                                     gint64 unknown_timeout_ms);

/** Number the next append @a sequence; they count from 0 otherwise. */
void iv_recorder_set_sequence (struct iv_recorder *recorder, gint64 sequence);

/** Answer everything with IV_ERR_STALE; freed once the append in progress has ended. */
void iv_recorder_close (struct iv_recorder *recorder);

/** Add a record; @a key NULL adds none, but is answered with the records before it. */
void iv_recorder_add (struct iv_recorder *recorder, const char *key, const void *value, gsize len,
                      iv_recorder_done_fn done, void *context);

/** Whether the newest append found no store. */
gboolean iv_recorder_store_unreachable (const struct iv_recorder *recorder);

/** Whether an append is in progress. */
gboolean iv_recorder_append_pending (const struct iv_recorder *recorder);

#endif
