/**
 * @file fake_log.h
 * In-memory log of the platform: named streams of batches, each with an offset and an append time.
 *
 * Times are in milliseconds of the clock that the caller appends with.
 */
#ifndef IV_FAKE_LOG_H
#define IV_FAKE_LOG_H

#include <glib.h>

/** One stream of the log. */
struct fake_stream
{
  char *name;
  guint64 first;           /**< offset of the oldest retained entry; equals the end when none is */
  GPtrArray *entries;      /**< of GBytes, by offset; NULL once expired */
  GArray *append_times_ms; /**< of gint64, by offset */
};

struct fake_log;

struct fake_log *fake_log_new (void);
void fake_log_free (struct fake_log *log);

/** Return the stream @a name, which is created when missing; the log owns it. */
struct fake_stream *fake_log_stream (struct fake_log *log, const char *name);

/** Append a copy of @a bytes as one entry; returns its offset. */
guint64 fake_stream_append (struct fake_stream *stream, const void *bytes, gsize len,
                            gint64 now_ms);

/** Return the entry at @a offset, or NULL when it has expired or does not exist. The stream keeps
 *  the reference. */
GBytes *fake_stream_read (const struct fake_stream *stream, guint64 offset);

/** Return the offset of the next append. */
guint64 fake_stream_end (const struct fake_stream *stream);

/** Expire the entries that were appended before @a before_ms. */
void fake_stream_expire (struct fake_stream *stream, gint64 before_ms);

#endif
