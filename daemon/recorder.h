/**
 * @file recorder.h
 * Appends keyed records to a topic in batches. One append is in progress at a time, and its outcome
 * is known before the next one starts.
 *
 * An append without a response is retried under the same sequence number, which the store
 * deduplicates, so its outcome is known as soon as the store responds again.
 */
#ifndef IV_RECORDER_H
#define IV_RECORDER_H

#include "status.h"
#include "store.h"

/** Called with the outcome of a record: IV_OK, IV_ERR_UNAVAILABLE (nothing was stored) or
 *  IV_ERR_STALE (a newer writer has begun, or the recorder was closed: it may be stored, but
 * nothing is sent any more). IV_ERR_TIMEOUT comes before the outcome, at most once: it may be
 * stored, now or later. @a end is the end offset of the topic after the append, or 0. */
typedef void (*iv_recorder_done_fn) (void *context, enum iv_status status, gint64 end);

/** Times of a recorder, in ms; 0: no limit. */
struct iv_recorder_times
{
  gint64 batch_delay; /**< waited for more records before an append */
  /** After this a record whose outcome is unknown is reported with IV_ERR_TIMEOUT. */
  gint64 unknown_timeout;
  /** No attempt to store a record begins later than this after it was added, including time
   *  suspended. One that was never sent completes with IV_ERR_UNAVAILABLE. After attempts without a
   *  response the writer moves on to a later epoch, so that the store rejects them from then on,
   * and the record completes with IV_ERR_STALE. */
  gint64 max_age;
};

/** Queued records and the append in progress. */
struct iv_recorder;

/** Create a recorder that appends to @a topic as @a writer (both copied) under @a epoch. */
struct iv_recorder *iv_recorder_new (uv_loop_t *loop, struct iv_deadlines *deadlines,
                                     struct iv_store *store, const char *topic, const char *writer,
                                     gint64 epoch, const struct iv_recorder_times *times);

/** Set the sequence number of the next append; the default is 0. */
void iv_recorder_set_sequence (struct iv_recorder *recorder, gint64 sequence);

/** Complete all records with IV_ERR_STALE. Frees the recorder once the append in progress has
 *  ended. NULL is allowed. */
void iv_recorder_close (struct iv_recorder *recorder);

/** Queue a record. @a value NULL deletes the key. With @a key NULL nothing is stored, and @a done
 *  is called after those of the records queued before, with the outcome of the last of them: what
 *  is too large for one append is stored in several, each with its own outcome. @a done may be
 *  NULL. */
void iv_recorder_add (struct iv_recorder *recorder, const char *key, const void *value, gsize len,
                      iv_recorder_done_fn done, void *context);

/** Remove the records that were added with @a done and @a context and not sent yet; @a done is not
 *  called for them. FALSE when there are none: they were sent. */
gboolean iv_recorder_withdraw (struct iv_recorder *recorder, iv_recorder_done_fn done,
                               const void *context);

/** Whether the last append was refused, could not be sent or had no response. */
gboolean iv_recorder_store_unreachable (const struct iv_recorder *recorder);

/** Time in ms since the first of the appends that failed was sent; 0 when the last one did not. */
gint64 iv_recorder_unreachable_ms (const struct iv_recorder *recorder);

/** Whether an append is in progress. */
gboolean iv_recorder_append_pending (const struct iv_recorder *recorder);

#endif
