/**
 * @file memory_log.h
 * A log service in memory for tests of its clients. The test decides when and how each call
 * completes.
 */
#ifndef IV_MEMORY_LOG_H
#define IV_MEMORY_LOG_H

#include "fake_log.h"
#include "platform.h"

#include <string.h>

/** The log service. At most one append and one read are pending. */
struct memory_log
{
  uv_loop_t loop;
  uv_idle_t keep_alive; /**< keeps the loop running, which deadlines alone do not */
  struct iv_deadlines *deadlines;
  struct fake_log *log;
  struct fake_stream *stream;
  GByteArray *append; /**< the pending append; NULL if there is none */
  iv_log_append_done append_done;
  void *append_context;
  gboolean reading; /**< a read is pending */
  guint64 from;
  iv_log_read_done read_done;
  void *read_context;
  guint append_count;
};

static inline void
memory_log_append (void *context, const char *stream, const guint8 *bytes, gsize len,
                   gint64 deadline_ms, iv_log_append_done done, void *done_context)
{
  struct memory_log *log = context;
  log->append = g_byte_array_append (g_byte_array_new (), bytes, (guint)len);
  log->append_done = done;
  log->append_context = done_context;
  log->append_count++;
}

static inline void
memory_log_read (void *context, const char *stream, guint64 from, gint64 wait_ms,
                 gint64 deadline_ms, iv_log_read_done done, void *done_context)
{
  struct memory_log *log = context;
  log->reading = TRUE;
  log->from = from;
  log->read_done = done;
  log->read_context = done_context;
}

/** Complete the pending append with @a status. @a stored: the batch is in the log. */
static inline void
memory_log_complete_append (struct memory_log *log, gboolean stored, enum iv_status status)
{
  GByteArray *bytes = log->append;
  guint64 offset = 0;
  log->append = NULL;
  if (stored)
    offset = fake_stream_append (log->stream, bytes->data, bytes->len, 0);
  g_byte_array_free (bytes, TRUE);
  log->append_done (log->append_context, status, offset);
}

/** Complete the pending read with @a status and up to 64 of the retained batches. */
static inline void
memory_log_complete_read (struct memory_log *log, enum iv_status status)
{
  struct iv_log_entry entries[64];
  struct iv_log_read read
      = { status, log->stream->first, fake_stream_end (log->stream), entries, 0 };
  for (guint64 offset = MAX (log->from, read.first); offset < read.end && read.count < 64; offset++)
    {
      struct iv_log_entry *entry = &entries[read.count++];
      entry->offset = offset;
      entry->bytes = g_bytes_get_data (fake_stream_read (log->stream, offset), &entry->len);
    }
  log->reading = FALSE;
  log->read_done (log->read_context, &read);
}

static inline void
memory_log_on_idle (uv_idle_t *idle)
{
}

/** Initialize @a log with its loop and the stream "s". Returns its operations. */
static inline struct iv_log_ops
memory_log_init (struct memory_log *log)
{
  memset (log, 0, sizeof *log);
  uv_loop_init (&log->loop);
  uv_idle_init (&log->loop, &log->keep_alive);
  uv_idle_start (&log->keep_alive, memory_log_on_idle);
  log->deadlines = iv_deadlines_new (&log->loop);
  log->log = fake_log_new ();
  log->stream = fake_log_stream (log->log, "s");
  return (struct iv_log_ops){ log, memory_log_append, memory_log_read };
}

/** Release what memory_log_init() allocated, and the pending append. */
static inline void
memory_log_clear (struct memory_log *log)
{
  if (log->append)
    g_byte_array_free (log->append, TRUE);
  fake_log_free (log->log);
  iv_deadlines_free (log->deadlines);
  uv_close ((uv_handle_t *)&log->keep_alive, NULL);
  uv_run (&log->loop, UV_RUN_DEFAULT);
  uv_loop_close (&log->loop);
}

#endif
