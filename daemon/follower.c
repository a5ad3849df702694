#include "follower.h"

#include "event.h"

#define READ_RETRY_MS 100

struct buffered_batch
{
  guint64 offset;
  GBytes *bytes;
};

struct iv_follower
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  const struct iv_log_ops *log;
  char *stream;
  gint64 poll_ms;
  gint64 timeout_ms;
  gboolean without_snapshots;
  struct iv_follower_events events;
  guint64 next_offset;
  gboolean complete;
  gboolean started;    /* a read had a response, or a relayed snapshot was restored */
  gint64 requested_ms; /* when the last read was sent */
  gint64 last_read_ms;
  struct iv_deadline read_timer;
  struct iv_chunks *chunks;
  GQueue *buffered_batches; /* of struct buffered_batch: read while the state was not complete */
};

static void
free_buffered_batch (gpointer data)
{
  struct buffered_batch *buffered = data;
  g_bytes_unref (buffered->bytes);
  g_free (buffered);
}

static void
apply_batch (struct iv_follower *follower, guint64 offset, const guint8 *bytes, gsize len)
{
  ivx_batch batch;
  if (iv_batch_decode (bytes, len, &batch) != IV_OK)
    {
      /* No host can decode it, so all hosts skip it and reach the same state. */
      iv_event (IV_LEVEL_ERROR, "log.unreadable",
                "stream=%s offset=%" G_GUINT64_FORMAT " reason=%s", follower->stream, offset,
                iv_quote (iv_last_message ()));
      return;
    }
  follower->events.batch (follower->events.context, offset, &batch, bytes, len);
  iv_batch_clear (&batch);
}

static void
apply_buffered (struct iv_follower *follower, guint64 end_offset)
{
  struct buffered_batch *buffered;
  while ((buffered = g_queue_pop_head (follower->buffered_batches)) != NULL)
    {
      gsize len;
      const guint8 *bytes = g_bytes_get_data (buffered->bytes, &len);
      if (buffered->offset >= end_offset)
        apply_batch (follower, buffered->offset, bytes, len);
      free_buffered_batch (buffered);
    }
}

static void
set_complete (struct iv_follower *follower)
{
  follower->complete = TRUE;
  iv_event (IV_LEVEL_INFO, "log.whole", "stream=%s next=%" G_GUINT64_FORMAT, follower->stream,
            follower->next_offset);
}

/* While the state is not complete, batches are buffered. Once all chunks of a snapshot have been
   read, it is restored, and the buffered batches from its end offset on are applied. A snapshot
   that ends before the first retained batch is not used, because the batches in between have
   expired. */
static void
buffer_batch (struct iv_follower *follower, guint64 offset, const guint8 *bytes, gsize len,
              guint64 first)
{
  struct buffered_batch *buffered = g_new (struct buffered_batch, 1);
  const GByteArray *snapshot;
  guint64 end_offset;
  ivx_batch batch;
  buffered->offset = offset;
  buffered->bytes = g_bytes_new (bytes, len);
  g_queue_push_tail (follower->buffered_batches, buffered);
  if (iv_batch_decode (bytes, len, &batch) != IV_OK)
    return;
  snapshot = iv_chunks_add (follower->chunks, &batch, &end_offset);
  iv_batch_clear (&batch);
  if (snapshot == NULL || end_offset < first
      || !follower->events.restore (follower->events.context, snapshot->data, snapshot->len,
                                    end_offset))
    return;
  apply_buffered (follower, end_offset);
  set_complete (follower);
}

static void
process_entry (struct iv_follower *follower, const struct iv_log_entry *entry, guint64 first)
{
  if (entry->offset < follower->next_offset)
    return;
  follower->next_offset = entry->offset + 1;
  if (follower->complete)
    apply_batch (follower, entry->offset, entry->bytes, entry->len);
  else
    buffer_batch (follower, entry->offset, entry->bytes, entry->len, first);
}

static void
handle_first_retained (struct iv_follower *follower, guint64 first)
{
  gboolean gap = first > follower->next_offset;
  if (!follower->started && (first == 0 || follower->without_snapshots))
    set_complete (follower);
  else if (gap && follower->complete && !follower->without_snapshots)
    {
      iv_event (IV_LEVEL_WARNING, "log.gap",
                "stream=%s next=%" G_GUINT64_FORMAT " first=%" G_GUINT64_FORMAT, follower->stream,
                follower->next_offset, first);
      follower->complete = FALSE;
    }
  follower->started = TRUE;
  follower->next_offset = MAX (follower->next_offset, first);
}

static void send_read (void *context);

static void
on_read (void *context, const struct iv_log_read *read)
{
  struct iv_follower *follower = context;
  gint64 now = (gint64)uv_now (follower->loop);
  if (read->status != IV_OK)
    {
      iv_deadline_set (follower->deadlines, &follower->read_timer, now + READ_RETRY_MS);
      return;
    }
  follower->last_read_ms = now;
  handle_first_retained (follower, read->first);
  for (guint i = 0; i < read->count; i++)
    process_entry (follower, &read->entries[i], read->first);
  if (follower->complete && follower->next_offset >= read->end)
    follower->events.end (follower->events.context, follower->requested_ms);
  iv_deadline_set (follower->deadlines, &follower->read_timer, now);
}

static void
send_read (void *context)
{
  struct iv_follower *follower = context;
  gint64 now = (gint64)uv_now (follower->loop);
  follower->requested_ms = now;
  follower->log->read (follower->log->context, follower->stream, follower->next_offset,
                       follower->started ? follower->poll_ms : 0,
                       now + follower->poll_ms + follower->timeout_ms, on_read, follower);
}

struct iv_follower *
iv_follower_new (uv_loop_t *loop, struct iv_deadlines *deadlines, const struct iv_log_ops *log,
                 const char *stream, gint64 poll_ms, gint64 timeout_ms, gboolean without_snapshots,
                 const struct iv_follower_events *events)
{
  struct iv_follower *follower = g_new0 (struct iv_follower, 1);
  follower->loop = loop;
  follower->deadlines = deadlines;
  follower->log = log;
  follower->stream = g_strdup (stream);
  follower->poll_ms = poll_ms;
  follower->timeout_ms = timeout_ms;
  follower->without_snapshots = without_snapshots;
  follower->events = *events;
  follower->chunks = iv_chunks_new ();
  follower->buffered_batches = g_queue_new ();
  follower->read_timer.fire = send_read;
  follower->read_timer.context = follower;
  iv_deadline_set (deadlines, &follower->read_timer, (gint64)uv_now (loop));
  return follower;
}

void
iv_follower_free (struct iv_follower *follower)
{
  iv_deadline_unset (follower->deadlines, &follower->read_timer);
  g_queue_free_full (follower->buffered_batches, free_buffered_batch);
  iv_chunks_free (follower->chunks);
  g_free (follower->stream);
  g_free (follower);
}

void
iv_follower_apply_relayed (struct iv_follower *follower, guint64 offset, const guint8 *bytes,
                           gsize len)
{
  if (!follower->complete || offset != follower->next_offset)
    return;
  follower->next_offset = offset + 1;
  apply_batch (follower, offset, bytes, len);
}

void
iv_follower_restore_relayed (struct iv_follower *follower, const guint8 *bytes, gsize len,
                             guint64 end_offset)
{
  if (follower->complete && follower->next_offset >= end_offset)
    return;
  if (!follower->events.restore (follower->events.context, bytes, len, end_offset))
    return;
  apply_buffered (follower, end_offset);
  follower->next_offset = MAX (follower->next_offset, end_offset);
  follower->started = TRUE;
  set_complete (follower);
}

gboolean
iv_follower_is_complete (const struct iv_follower *follower)
{
  return follower->complete;
}

guint64
iv_follower_next_offset (const struct iv_follower *follower)
{
  return follower->next_offset;
}

gint64
iv_follower_last_read_ms (const struct iv_follower *follower)
{
  return follower->last_read_ms;
}
