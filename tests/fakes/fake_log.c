#include "fake_log.h"

struct fake_log
{
  GHashTable *streams;
};

static void
free_entry (gpointer data)
{
  if (data)
    g_bytes_unref (data);
}

static void
free_stream (gpointer data)
{
  struct fake_stream *stream = data;
  g_ptr_array_free (stream->entries, TRUE);
  g_array_free (stream->append_times_ms, TRUE);
  g_free (stream->name);
  g_free (stream);
}

struct fake_log *
fake_log_new (void)
{
  struct fake_log *log = g_new0 (struct fake_log, 1);
  log->streams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_stream);
  return log;
}

void
fake_log_free (struct fake_log *log)
{
  g_hash_table_destroy (log->streams);
  g_free (log);
}

struct fake_stream *
fake_log_stream (struct fake_log *log, const char *name)
{
  struct fake_stream *stream = g_hash_table_lookup (log->streams, name);
  if (stream)
    return stream;
  stream = g_new0 (struct fake_stream, 1);
  stream->name = g_strdup (name);
  stream->entries = g_ptr_array_new_with_free_func (free_entry);
  stream->append_times_ms = g_array_new (FALSE, FALSE, sizeof (gint64));
  g_hash_table_insert (log->streams, stream->name, stream);
  return stream;
}

guint64
fake_stream_append (struct fake_stream *stream, const void *bytes, gsize len, gint64 now_ms)
{
  g_ptr_array_add (stream->entries, g_bytes_new (bytes, len));
  g_array_append_val (stream->append_times_ms, now_ms);
  return stream->entries->len - 1;
}

GBytes *
fake_stream_read (const struct fake_stream *stream, guint64 offset)
{
  if (offset < stream->first || offset >= stream->entries->len)
    return NULL;
  return g_ptr_array_index (stream->entries, offset);
}

guint64
fake_stream_end (const struct fake_stream *stream)
{
  return stream->entries->len;
}

void
fake_stream_expire (struct fake_stream *stream, gint64 before_ms)
{
  while (stream->first < stream->entries->len
         && g_array_index (stream->append_times_ms, gint64, stream->first) < before_ms)
    {
      free_entry (g_ptr_array_index (stream->entries, stream->first));
      g_ptr_array_index (stream->entries, stream->first) = NULL;
      stream->first++;
    }
}
