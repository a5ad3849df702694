/**
 * @file fake_log.h
 * The platform's log in memory: streams of batches with offsets and retention.
 */
#ifndef IV_FAKE_LOG_H
#define IV_FAKE_LOG_H

#include <glib.h>

/** One stream; its first retained offset grows as records expire. */
struct fake_stream
{
  char *name;
  guint64 first;
  GPtrArray *entries; /**< of GBytes; NULL once expired */
  GArray *times;      /**< of gint64, time of each append */
};

struct fake_log;

struct fake_log *fake_log_new (void);
void fake_log_free (struct fake_log *log);

/** Find or make a stream. */
struct fake_stream *fake_log_stream (struct fake_log *log, const char *name);

/** Append; returns the offset. */
guint64 fake_stream_append (struct fake_stream *stream, const void *bytes, gsize len,
                            gint64 now_ms);

/** Entry at @a offset, or NULL when it expired or does not exist. */
GBytes *fake_stream_read (const struct fake_stream *stream, guint64 offset);

/** Offset of the next append. */
guint64 fake_stream_end (const struct fake_stream *stream);

/** Forget entries that were appended before @a before_ms. */
void fake_stream_expire (struct fake_stream *stream, gint64 before_ms);

#endif
