#include "stream.h"

#include "clock.h"
#include "event.h"
#include "response_time.h"

/* Beyond the wait of the read; a slow store responds within a few hundred ms. */
#define READ_TIMEOUT_MARGIN_MS 1500
#define PROBE_TIMEOUT_MIN_MS 300 /* of a read that finds out whether the store is back */
#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS 800

struct barrier
{
  iv_stream_ready_fn ready;
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
  GHashTable *keys;         /* keys that have a value */
  GHashTable *loaded_keys;  /* keys read in the load in progress; NULL: no load */
  GArray *queued_barriers;  /* of struct barrier: released by the next read */
  GArray *pending_barriers; /* of struct barrier: released by the read in progress */
  char *page_after_key;     /* last key of the previous page of a load */
  gboolean loaded;
  gboolean reading;
  gboolean closed;
  gboolean store_unreachable;  /* the last read failed */
  gint64 unreachable_since_ms; /* while store_unreachable */
  gint64 load_since_ms;
  guint load_total; /* keys known when the load began */
  gint64 position;
  gint64 load_end;
  gint64 sent_ms;
  gint64 sent_boot_ms;
  gint64 caught_up_boot_ms;
  gint64 retry_delay_ms;
  struct iv_response_time response_time; /* of reads without a wait */
  gint64 wait_ms;                        /* of the read in progress */
};

static void start_read (void *context);

static gint64
now_ms (const struct iv_stream *stream)
{
  return (gint64)uv_now (stream->loop);
}

static void
free_stream (struct iv_stream *stream)
{
  iv_deadline_unset (stream->deadlines, &stream->next);
  g_hash_table_destroy (stream->keys);
  if (stream->loaded_keys)
    g_hash_table_destroy (stream->loaded_keys);
  g_array_free (stream->queued_barriers, TRUE);
  g_array_free (stream->pending_barriers, TRUE);
  g_free (stream->page_after_key);
  g_free (stream->topic);
  g_free (stream);
}

static void
schedule_read (struct iv_stream *stream, gint64 delay_ms)
{
  iv_deadline_set (stream->deadlines, &stream->next, now_ms (stream) + delay_ms);
}

static void
apply_record (struct iv_stream *stream, const struct iv_store_record *record)
{
  if (record->value == NULL)
    g_hash_table_remove (stream->keys, record->key);
  else
    g_hash_table_add (stream->keys, g_strdup (record->key));
  stream->options.apply (stream->options.context, record->key, record->value, record->len);
}

static void
release_barriers (struct iv_stream *stream)
{
  GArray *pending_barriers = stream->pending_barriers;
  stream->pending_barriers = g_array_new (FALSE, FALSE, sizeof (struct barrier));
  for (guint i = 0; i < pending_barriers->len; i++)
    {
      const struct barrier *barrier = &g_array_index (pending_barriers, struct barrier, i);
      barrier->ready (barrier->context);
    }
  g_array_free (pending_barriers, TRUE);
}

static void
handle_failure (struct iv_stream *stream, enum iv_store_outcome outcome)
{
  if (!stream->store_unreachable)
    {
      stream->unreachable_since_ms = MIN (now_ms (stream), stream->sent_ms + stream->wait_ms);
      iv_event (IV_LEVEL_WARNING, "store.lost", "topic=%s outcome=%s", stream->topic,
                iv_store_outcome_name (outcome));
    }
  stream->store_unreachable = TRUE;
  iv_response_time_lapse (&stream->response_time);
  g_array_append_vals (stream->queued_barriers, stream->pending_barriers->data,
                       stream->pending_barriers->len);
  g_array_set_size (stream->pending_barriers, 0);
  stream->retry_delay_ms = MIN (MAX (stream->retry_delay_ms * 2, RETRY_FIRST_MS), RETRY_MAX_MS);
  schedule_read (stream, stream->retry_delay_ms + g_random_int_range (0, RETRY_FIRST_MS));
}

static void
handle_success (struct iv_stream *stream)
{
  if (stream->store_unreachable)
    iv_event (IV_LEVEL_INFO, "store.regained", "topic=%s position=%" G_GINT64_FORMAT, stream->topic,
              stream->position);
  stream->store_unreachable = FALSE;
  stream->retry_delay_ms = 0;
  if (stream->wait_ms == 0)
    iv_response_time_add (&stream->response_time, now_ms (stream) - stream->sent_ms);
}

/* A known key that the load did not find was deleted meanwhile. */
static void
remove_missing_keys (struct iv_stream *stream)
{
  GList *keys = g_hash_table_get_keys (stream->keys);
  for (GList *item = keys; item; item = item->next)
    if (!g_hash_table_contains (stream->loaded_keys, item->data))
      {
        struct iv_store_record deleted = { .key = g_strdup (item->data) };
        apply_record (stream, &deleted);
        g_free (deleted.key);
      }
  g_list_free (keys);
  g_hash_table_destroy (stream->loaded_keys);
  stream->loaded_keys = NULL;
}

static void
finish_load (struct iv_stream *stream)
{
  remove_missing_keys (stream);
  g_clear_pointer (&stream->page_after_key, g_free);
  stream->position = stream->load_end;
  stream->loaded = TRUE;
  if (stream->options.loaded)
    stream->options.loaded (stream->options.context);
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
      handle_failure (stream, records->outcome);
      return;
    }
  handle_success (stream);
  /* The pages are not a consistent snapshot: records after the end offset of the first page are
     read afterwards. */
  if (stream->page_after_key == NULL)
    stream->load_end = records->end;
  for (guint i = 0; i < records->rows->len; i++)
    {
      const struct iv_store_record *record
          = &g_array_index (records->rows, struct iv_store_record, i);
      g_hash_table_add (stream->loaded_keys, g_strdup (record->key));
      apply_record (stream, record);
      g_free (stream->page_after_key);
      stream->page_after_key = g_strdup (record->key);
    }
  if (!records->more || records->rows->len == 0)
    finish_load (stream);
  schedule_read (stream, 0);
}

static void
on_changes (void *context, const struct iv_store_records *records)
{
  struct iv_stream *stream = context;
  gboolean more_to_read;
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
      g_array_append_vals (stream->queued_barriers, stream->pending_barriers->data,
                           stream->pending_barriers->len);
      g_array_set_size (stream->pending_barriers, 0);
      schedule_read (stream, 0);
      return;
    }
  if (records->outcome != IV_STORE_OK)
    {
      handle_failure (stream, records->outcome);
      return;
    }
  handle_success (stream);
  for (guint i = 0; i < records->rows->len; i++)
    apply_record (stream, &g_array_index (records->rows, struct iv_store_record, i));
  more_to_read = records->next < records->end && records->next > stream->position;
  stream->position = records->next;
  if (!more_to_read)
    {
      stream->caught_up_boot_ms = stream->sent_boot_ms;
      release_barriers (stream);
    }
  else
    {
      g_array_append_vals (stream->queued_barriers, stream->pending_barriers->data,
                           stream->pending_barriers->len);
      g_array_set_size (stream->pending_barriers, 0);
    }
  schedule_read (
      stream, more_to_read || stream->queued_barriers->len > 0 ? 0 : stream->options.read_delay_ms);
}

/* Limit of a read that does not wait for records. */
static gint64
read_timeout_ms (const struct iv_stream *stream)
{
  return stream->store_unreachable ? iv_response_time_probe_ms (
             &stream->response_time, PROBE_TIMEOUT_MIN_MS, READ_TIMEOUT_MARGIN_MS)
                                   : READ_TIMEOUT_MARGIN_MS;
}

static void
start_read (void *context)
{
  struct iv_stream *stream = context;
  gboolean barrier_queued = stream->queued_barriers->len > 0;
  GArray *empty = stream->pending_barriers;
  if (stream->reading || stream->closed)
    return;
  stream->reading = TRUE;
  stream->sent_ms = now_ms (stream);
  stream->sent_boot_ms = iv_clock_boot_ms ();
  stream->wait_ms = 0;
  if (!stream->loaded)
    {
      if (stream->loaded_keys == NULL)
        {
          stream->loaded_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
          stream->load_since_ms = now_ms (stream);
          stream->load_total = g_hash_table_size (stream->keys);
        }
      iv_store_newest (stream->store, stream->topic, stream->page_after_key,
                       stream->sent_ms + read_timeout_ms (stream), on_newest, stream);
      return;
    }
  stream->pending_barriers = stream->queued_barriers;
  stream->queued_barriers = empty;
  stream->wait_ms = barrier_queued || stream->store_unreachable ? 0 : stream->options.wait_ms;
  iv_store_read (stream->store, stream->topic, stream->position, stream->wait_ms,
                 stream->sent_ms + stream->wait_ms + read_timeout_ms (stream), on_changes, stream);
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
  stream->queued_barriers = g_array_new (FALSE, FALSE, sizeof (struct barrier));
  stream->pending_barriers = g_array_new (FALSE, FALSE, sizeof (struct barrier));
  stream->next.fire = start_read;
  stream->next.context = stream;
  schedule_read (stream, options->first_read_delay_ms);
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
  return iv_clock_boot_ms () - stream->caught_up_boot_ms;
}

gboolean
iv_stream_is_unreachable (const struct iv_stream *stream)
{
  return stream->store_unreachable;
}

gint64
iv_stream_unreachable_ms (const struct iv_stream *stream)
{
  return stream->store_unreachable ? now_ms (stream) - stream->unreachable_since_ms : 0;
}

struct iv_stream_progress
iv_stream_load_progress (const struct iv_stream *stream)
{
  struct iv_stream_progress progress = { .total = stream->load_total };
  if (stream->load_since_ms > 0)
    progress.lasted_ms = now_ms (stream) - stream->load_since_ms;
  if (stream->loaded_keys)
    progress.loaded = g_hash_table_size (stream->loaded_keys);
  return progress;
}

void
iv_stream_set_read_delay (struct iv_stream *stream, gint64 read_delay_ms)
{
  stream->options.read_delay_ms = read_delay_ms;
  if (!stream->reading && stream->loaded)
    schedule_read (stream, 0);
}

void
iv_stream_barrier (struct iv_stream *stream, iv_stream_ready_fn ready, void *context)
{
  struct barrier barrier = { ready, context };
  g_array_append_val (stream->queued_barriers, barrier);
  if (!stream->reading && !stream->store_unreachable)
    schedule_read (stream, 0);
}
