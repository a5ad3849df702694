#include "stream.h"

#include "clock.h"
#include "event.h"

#define READ_SLACK_MS 1500 /* beyond the wait; a slow store answers within a few hundred */
#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS 800

struct barrier
{
  iv_stream_ready ready;
  void *context;
};

struct iv_stream
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  struct iv_store *store;
  struct iv_stream_options options;
  char *topic;
  struct iv_deadline next;
  GHashTable *keys;   /* keys that have a value */
  GHashTable *newest; /* keys met while the newest are read; NULL otherwise */
  GArray *barriers;   /* of struct barrier: served by the next read to be sent */
  GArray *served;     /* of struct barrier: served by the read in progress */
  char *after;        /* last key of the page before */
  gboolean loaded;
  gboolean history; /* records before the newest are being read, up to `newest_end` */
  gboolean reading;
  gboolean closed;
  gboolean lost; /* the store is not answering */
  gint64 position;
  gint64 newest_end;
  gint64 sent_ms;
  gint64 sent_boot_ms;
  gint64 fresh_boot_ms;
  gint64 retry_ms;
};

static void read_on (void *context);

static gint64
now_of (const struct iv_stream *stream)
{
  return (gint64)uv_now (stream->loop);
}

static void
free_stream (struct iv_stream *stream)
{
  iv_deadline_unset (stream->deadlines, &stream->next);
  g_hash_table_destroy (stream->keys);
  if (stream->newest)
    g_hash_table_destroy (stream->newest);
  g_array_free (stream->barriers, TRUE);
  g_array_free (stream->served, TRUE);
  g_free (stream->after);
  g_free (stream->topic);
  g_free (stream);
}

static void
read_after (struct iv_stream *stream, gint64 delay_ms)
{
  iv_deadline_set (stream->deadlines, &stream->next, now_of (stream) + delay_ms);
}

static void
fold (struct iv_stream *stream, const struct iv_store_record *record)
{
  if (record->value == NULL)
    g_hash_table_remove (stream->keys, record->key);
  else
    g_hash_table_add (stream->keys, g_strdup (record->key));
  stream->options.fold (stream->options.context, record->key, record->value, record->len);
}

static void
serve_barriers (struct iv_stream *stream)
{
  GArray *served = stream->served;
  stream->served = g_array_new (FALSE, FALSE, sizeof (struct barrier));
  for (guint i = 0; i < served->len; i++)
    {
      const struct barrier *barrier = &g_array_index (served, struct barrier, i);
      barrier->ready (barrier->context);
    }
  g_array_free (served, TRUE);
}

static void
note_failure (struct iv_stream *stream, enum iv_store_outcome outcome)
{
  if (!stream->lost)
    iv_event (IV_LEVEL_WARNING, "store.lost", "topic=%s outcome=%s", stream->topic,
              iv_store_outcome_name (outcome));
  stream->lost = TRUE;
  g_array_append_vals (stream->barriers, stream->served->data, stream->served->len);
  g_array_set_size (stream->served, 0);
  stream->retry_ms = MIN (MAX (stream->retry_ms * 2, RETRY_FIRST_MS), RETRY_MAX_MS);
  read_after (stream, stream->retry_ms + g_random_int_range (0, RETRY_FIRST_MS));
}

static void
note_success (struct iv_stream *stream)
{
  if (stream->lost)
    iv_event (IV_LEVEL_INFO, "store.regained", "topic=%s position=%" G_GINT64_FORMAT, stream->topic,
              stream->position);
  stream->lost = FALSE;
  stream->retry_ms = 0;
}

/* A key that was there before and is not among the newest has been dropped meanwhile. */
static void
drop_missing (struct iv_stream *stream)
{
  GList *keys = g_hash_table_get_keys (stream->keys);
  for (GList *item = keys; item; item = item->next)
    if (!g_hash_table_contains (stream->newest, item->data))
      {
        struct iv_store_record gone = { .key = g_strdup (item->data) };
        fold (stream, &gone);
        g_free (gone.key);
      }
  g_list_free (keys);
  g_hash_table_destroy (stream->newest);
  stream->newest = NULL;
}

static void
begin_following (struct iv_stream *stream)
{
  stream->history = FALSE;
  stream->loaded = TRUE;
  if (stream->options.loaded)
    stream->options.loaded (stream->options.context);
}

static void
finish_load (struct iv_stream *stream)
{
  gint64 lately
      = stream->newest_end - (gint64)stream->options.history * g_hash_table_size (stream->keys);
  drop_missing (stream);
  g_clear_pointer (&stream->after, g_free);
  stream->position = stream->newest_end;
  stream->history = stream->options.history > 0 && lately < stream->newest_end;
  if (stream->history)
    stream->position = MAX (lately, 0);
  else
    begin_following (stream);
}

/* What was dropped lately is among the records before the newest; those are folded once more. */
static void
on_history (void *context, const struct iv_store_records *records)
{
  struct iv_stream *stream = context;
  stream->reading = FALSE;
  if (stream->closed)
    {
      free_stream (stream);
      return;
    }
  if (records->outcome != IV_STORE_OK && records->outcome != IV_STORE_EXPIRED)
    {
      note_failure (stream, records->outcome);
      return;
    }
  note_success (stream);
  for (guint i = 0; i < records->rows->len; i++)
    fold (stream, &g_array_index (records->rows, struct iv_store_record, i));
  if (records->outcome == IV_STORE_EXPIRED)
    stream->position = MAX (records->first, stream->position + 1);
  else
    stream->position = records->next;
  if (stream->position >= stream->newest_end
      || (records->outcome == IV_STORE_OK && records->rows->len == 0))
    begin_following (stream);
  read_after (stream, 0);
}

static void
on_newest (void *context, const struct iv_store_records *records)
{
  struct iv_stream *stream = context;
  stream->reading = FALSE;
  if (stream->closed)
    {
      free_stream (stream);
      return;
    }
  if (records->outcome != IV_STORE_OK)
    {
      note_failure (stream, records->outcome);
      return;
    }
  note_success (stream);
  /* Pages are no snapshot: what changed since the first page is read again from there. */
  if (stream->after == NULL)
    stream->newest_end = records->end;
  for (guint i = 0; i < records->rows->len; i++)
    {
      const struct iv_store_record *record
          = &g_array_index (records->rows, struct iv_store_record, i);
      g_hash_table_add (stream->newest, g_strdup (record->key));
      fold (stream, record);
      g_free (stream->after);
      stream->after = g_strdup (record->key);
    }
  if (!records->more || records->rows->len == 0)
    finish_load (stream);
  read_after (stream, 0);
}

static void
on_read (void *context, const struct iv_store_records *records)
{
  struct iv_stream *stream = context;
  gboolean behind;
  stream->reading = FALSE;
  if (stream->closed)
    {
      free_stream (stream);
      return;
    }
  if (records->outcome == IV_STORE_EXPIRED)
    {
      iv_event (IV_LEVEL_INFO, "stream.reload", "topic=%s position=%" G_GINT64_FORMAT,
                stream->topic, stream->position);
      stream->loaded = FALSE;
      g_array_append_vals (stream->barriers, stream->served->data, stream->served->len);
      g_array_set_size (stream->served, 0);
      read_after (stream, 0);
      return;
    }
  if (records->outcome != IV_STORE_OK)
    {
      note_failure (stream, records->outcome);
      return;
    }
  note_success (stream);
  for (guint i = 0; i < records->rows->len; i++)
    fold (stream, &g_array_index (records->rows, struct iv_store_record, i));
  stream->position = records->next;
  behind = records->next < records->end && records->rows->len > 0;
  if (!behind)
    {
      stream->fresh_boot_ms = stream->sent_boot_ms;
      serve_barriers (stream);
    }
  else
    {
      g_array_append_vals (stream->barriers, stream->served->data, stream->served->len);
      g_array_set_size (stream->served, 0);
    }
  read_after (stream, behind || stream->barriers->len > 0 ? 0 : stream->options.gap_ms);
}

static void
read_on (void *context)
{
  struct iv_stream *stream = context;
  gboolean hurry = stream->barriers->len > 0;
  GArray *empty = stream->served;
  gint64 wait_ms;
  if (stream->reading || stream->closed)
    return;
  stream->reading = TRUE;
  stream->sent_ms = now_of (stream);
  stream->sent_boot_ms = iv_clock_boot_ms ();
  if (stream->history)
    {
      iv_store_read (stream->store, stream->topic, stream->position, 0,
                     stream->sent_ms + READ_SLACK_MS, on_history, stream);
      return;
    }
  if (!stream->loaded)
    {
      if (stream->newest == NULL)
        stream->newest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      iv_store_newest (stream->store, stream->topic, stream->after, stream->sent_ms + READ_SLACK_MS,
                       on_newest, stream);
      return;
    }
  stream->served = stream->barriers;
  stream->barriers = empty;
  wait_ms = hurry ? 0 : stream->options.wait_ms;
  iv_store_read (stream->store, stream->topic, stream->position, wait_ms,
                 stream->sent_ms + wait_ms + READ_SLACK_MS, on_read, stream);
}

struct iv_stream *
iv_stream_new (uv_loop_t *loop, struct iv_deadlines *deadlines, struct iv_store *store,
               const struct iv_stream_options *options)
{
  struct iv_stream *stream = g_new0 (struct iv_stream, 1);
  stream->loop = loop;
  stream->deadlines = deadlines;
  stream->store = store;
  stream->options = *options;
  stream->topic = g_strdup (options->topic);
  stream->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  stream->barriers = g_array_new (FALSE, FALSE, sizeof (struct barrier));
  stream->served = g_array_new (FALSE, FALSE, sizeof (struct barrier));
  stream->next.fire = read_on;
  stream->next.context = stream;
  read_after (stream, 0);
  return stream;
}

void
iv_stream_close (struct iv_stream *stream)
{
  if (stream == NULL)
    return;
  stream->closed = TRUE;
  iv_deadline_unset (stream->deadlines, &stream->next);
  if (!stream->reading)
    free_stream (stream);
}

gboolean
iv_stream_loaded (const struct iv_stream *stream)
{
  return stream->loaded;
}

gint64
iv_stream_position (const struct iv_stream *stream)
{
  return stream->position;
}

gint64
iv_stream_age_ms (const struct iv_stream *stream)
{
  return iv_clock_boot_ms () - stream->fresh_boot_ms;
}

void
iv_stream_set_gap (struct iv_stream *stream, gint64 gap_ms)
{
  stream->options.gap_ms = gap_ms;
  if (!stream->reading && stream->loaded)
    read_after (stream, 0);
}

void
iv_stream_barrier (struct iv_stream *stream, iv_stream_ready ready, void *context)
{
  struct barrier barrier = { ready, context };
  g_array_append_val (stream->barriers, barrier);
  if (!stream->reading && !stream->lost)
    read_after (stream, 0);
}
