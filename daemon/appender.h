/**
 * @file appender.h
 * Appends records to one stream in groups, again until their fate is known.
 */
#ifndef IV_APPENDER_H
#define IV_APPENDER_H

#include "platform.h"

/** The fate of a record: IV_OK with its offset; IV_ERR_UNAVAILABLE when it was never sent and never
 *  will be; IV_ERR_TIMEOUT when its deadline passed and it may still take effect. */
typedef void (*iv_appended_fn) (void *context, enum iv_status status, guint64 offset);

/** The appender. */
struct iv_appender;

/** Create an appender for @a stream that writes as @a identity. Two appends are at least @a
 * every_ms apart. With @a trust_answer a positive answer settles a batch, else it has to be read
 * back. */
struct iv_appender *iv_appender_new (uv_loop_t *loop, struct iv_deadlines *deadlines,
                                     const struct iv_log_ops *log, const char *stream,
                                     const char *identity, guint64 incarnation, gint64 every_ms,
                                     gint64 timeout_ms, gboolean trust_answer);

/** Free the appender with what waits in it. An append under way must have been answered. */
void iv_appender_free (struct iv_appender *appender);

/** Append @a record (moved), in a batch of its own when @a alone. @a done may be NULL. */
void iv_appender_add (struct iv_appender *appender, const ivx_record *record, gboolean alone,
                      gint64 deadline_ms, iv_appended_fn done, void *context);

/** A batch of the stream was read. */
void iv_appender_read_back (struct iv_appender *appender, guint64 offset, const ivx_batch *batch);

/** Writer and incarnation of the batches. */
guint64 iv_appender_writer (const struct iv_appender *appender);

/** Records waiting or under way. */
guint iv_appender_waiting (const struct iv_appender *appender);

#endif
