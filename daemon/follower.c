#include "follower.h"

#include "event.h"

#define RETRY_MS 100

struct held
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
  gboolean whole_from_any;
  struct iv_follower_events events;
  guint64 next;
  gboolean whole;
  gboolean started; /* at least one read was answered */
  gint64 asked_ms;  /* when the read under way was sent */
  gint64 heard_ms;
  struct iv_deadline again;
  struct iv_chunks *chunks;
  GQueue *held; /* batches read before the state was whole */
};

static void
free_held (gpointer data)
{
  struct held *held = data;
  g_bytes_unref (held->bytes);
  g_free (held);
}

static void
fold (struct iv_follower *follower, guint64 offset, const guint8 *bytes, gsize len)
{
  ivx_batch batch;
  if (iv_batch_decode (bytes, len, &batch) != IV_OK)
    {
      /* Nobody can read it, so every fold passes over it alike. */
      iv_event (IV_LEVEL_ERROR, "log.unreadable",
                "stream=%s offset=%" G_GUINT64_FORMAT " reason=%s", follower->stream, offset,
                iv_quote (iv_last_message ()));
      return;
    }
  follower->events.batch (follower->events.context, offset, &batch, bytes, len);
  iv_batch_clear (&batch);
}

static void
fold_held (struct iv_follower *follower, guint64 covers)
{
  struct held *held;
  while ((held = g_queue_pop_head (follower->held)) != NULL)
    {
      gsize len;
      const guint8 *bytes = g_bytes_get_data (held->bytes, &len);
      if (held->offset >= covers)
        fold (follower, held->offset, bytes, len);
      free_held (held);
    }
}

static void
become_whole (struct iv_follower *follower)
{
  follower->whole = TRUE;
  iv_event (IV_LEVEL_INFO, "log.whole", "stream=%s next=%" G_GUINT64_FORMAT, follower->stream,
            follower->next);
}

/* Until a snapshot is whole, batches are held: those after what it covers are folded then. */
static void
hold (struct iv_follower *follower, guint64 offset, const guint8 *bytes, gsize len, guint64 first)
{
  struct held *held = g_new (struct held, 1);
  const GByteArray *snapshot;
  guint64 covers;
  ivx_batch batch;
  held->offset = offset;
  held->bytes = g_bytes_new (bytes, len);
  g_queue_push_tail (follower->held, held);
  if (iv_batch_decode (bytes, len, &batch) != IV_OK)
    return;
  snapshot = iv_chunks_add (follower->chunks, &batch, &covers);
  iv_batch_clear (&batch);
  if (snapshot == NULL || covers < first
      || !follower->events.restore (follower->events.context, snapshot->data, snapshot->len,
                                    covers))
    return;
  fold_held (follower, covers);
  become_whole (follower);
}

static void
take_entry (struct iv_follower *follower, const struct iv_log_entry *entry, guint64 first)
{
  if (entry->offset < follower->next)
    return;
  follower->next = entry->offset + 1;
  if (follower->whole)
    fold (follower, entry->offset, entry->bytes, entry->len);
  else
    hold (follower, entry->offset, entry->bytes, entry->len, first);
}

static void
note_first (struct iv_follower *follower, guint64 first)
{
  gboolean gap = first > follower->next;
  if (!follower->started && (first == 0 || follower->whole_from_any))
    become_whole (follower);
  else if (gap && follower->whole && !follower->whole_from_any)
    {
      iv_event (IV_LEVEL_WARNING, "log.gap",
                "stream=%s next=%" G_GUINT64_FORMAT " first=%" G_GUINT64_FORMAT, follower->stream,
                follower->next, first);
      follower->whole = FALSE;
    }
  follower->started = TRUE;
  follower->next = MAX (follower->next, first);
}

static void read_on (void *context);

static void
on_read (void *context, const struct iv_log_read *read)
{
  struct iv_follower *follower = context;
  gint64 now = (gint64)uv_now (follower->loop);
  if (read->status != IV_OK)
    {
      iv_deadline_set (follower->deadlines, &follower->again, now + RETRY_MS);
      return;
    }
  follower->heard_ms = now;
  note_first (follower, read->first);
  for (guint i = 0; i < read->count; i++)
    take_entry (follower, &read->entries[i], read->first);
  if (follower->whole && follower->next >= read->end)
    follower->events.end (follower->events.context, follower->asked_ms);
  iv_deadline_set (follower->deadlines, &follower->again, now);
}

static void
read_on (void *context)
{
  struct iv_follower *follower = context;
  gint64 now = (gint64)uv_now (follower->loop);
  follower->asked_ms = now;
  follower->log->read (follower->log->context, follower->stream, follower->next,
                       follower->started ? follower->poll_ms : 0,
                       now + follower->poll_ms + follower->timeout_ms, on_read, follower);
}

struct iv_follower *
iv_follower_new (uv_loop_t *loop, struct iv_deadlines *deadlines, const struct iv_log_ops *log,
                 const char *stream, gint64 poll_ms, gint64 timeout_ms, gboolean whole_from_any,
                 const struct iv_follower_events *events)
{
  struct iv_follower *follower = g_new0 (struct iv_follower, 1);
  follower->loop = loop;
  follower->deadlines = deadlines;
  follower->log = log;
  follower->stream = g_strdup (stream);
  follower->poll_ms = poll_ms;
  follower->timeout_ms = timeout_ms;
  follower->whole_from_any = whole_from_any;
  follower->events = *events;
  follower->chunks = iv_chunks_new ();
  follower->held = g_queue_new ();
  follower->again.fire = read_on;
  follower->again.context = follower;
  iv_deadline_set (deadlines, &follower->again, (gint64)uv_now (loop));
  return follower;
}

void
iv_follower_free (struct iv_follower *follower)
{
  iv_deadline_unset (follower->deadlines, &follower->again);
  g_queue_free_full (follower->held, free_held);
  iv_chunks_free (follower->chunks);
  g_free (follower->stream);
  g_free (follower);
}

void
iv_follower_relayed (struct iv_follower *follower, guint64 offset, const guint8 *bytes, gsize len)
{
  if (!follower->whole || offset != follower->next)
    return;
  follower->next = offset + 1;
  fold (follower, offset, bytes, len);
}

void
iv_follower_relayed_snapshot (struct iv_follower *follower, const guint8 *bytes, gsize len,
                              guint64 covers)
{
  if (follower->whole && follower->next >= covers)
    return;
  if (!follower->events.restore (follower->events.context, bytes, len, covers))
    return;
  fold_held (follower, covers);
  follower->next = MAX (follower->next, covers);
  follower->started = TRUE;
  become_whole (follower);
}

gboolean
iv_follower_whole (const struct iv_follower *follower)
{
  return follower->whole;
}

guint64
iv_follower_next (const struct iv_follower *follower)
{
  return follower->next;
}

gint64
iv_follower_heard_ms (const struct iv_follower *follower)
{
  return follower->heard_ms;
}
