/**
 * @file appender.h
 * Appends records to one stream in batches, and retries each batch until its outcome is known.
 */
#ifndef IV_APPENDER_H
#define IV_APPENDER_H

#include "platform.h"

/** The outcome of a record: IV_OK with its offset; IV_ERR_UNAVAILABLE if it was never sent and
 * never will be; IV_ERR_TIMEOUT if its deadline passed and it may still take effect. */
typedef void (*iv_appender_result_fn) (void *context, enum iv_status status, guint64 offset);

/** The appender. */
struct iv_appender;

/** Create an appender for @a stream. The hash of @a identity is the writer of its batches; two
 *  writers of a stream need different ones. Appends are at least @a interval_ms apart, and each
 *  times out after @a timeout_ms. With @a trust_ack, a batch is stored once the log acknowledges
 *  it, else only once it has been read back. */
struct iv_appender *iv_appender_new (uv_loop_t *loop, struct iv_deadlines *deadlines,
                                     const struct iv_log_ops *log, const char *stream,
                                     const char *identity, guint64 incarnation, gint64 interval_ms,
                                     gint64 timeout_ms, gboolean trust_ack);

/** Free the appender with its pending records, whose callbacks are not called. No append may be in
 *  flight. */
void iv_appender_free (struct iv_appender *appender);

/** Append @a record, taking ownership of its contents; with @a own_batch, in a batch without other
 *  records. @a done, which may be NULL, is called once, at @a deadline_ms (uv_now() time) at the
 *  latest. */
void iv_appender_add (struct iv_appender *appender, const ivx_record *record, gboolean own_batch,
                      gint64 deadline_ms, iv_appender_result_fn done, void *context);

/** Handle a batch that was read from the stream. It confirms the batch in flight if it is the same;
 *  other batches are ignored. */
void iv_appender_confirm_batch (struct iv_appender *appender, guint64 offset,
                                const ivx_batch *batch);

/** Writer of the batches. */
guint64 iv_appender_writer (const struct iv_appender *appender);

/** Number of records whose batch is not confirmed, whether sent or not. */
guint iv_appender_pending (const struct iv_appender *appender);

#endif
