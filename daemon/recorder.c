#include "recorder.h"

#include "clock.h"
#include "event.h"
#include "histogram.h"

#define APPEND_TIMEOUT_MS 1000 /* a slow store responds within a few hundred ms */
#define RETRY_FIRST_MS 50
#define RETRY_MAX_MS 500
#define BODY_BYTES_MAX (1024 * 1024) /* of one append; below the platform's limit */

struct entry
{
  iv_recorder_done_fn done;
  void *context;
  guint body_end;       /* where its record ends in the body */
  gint64 added_boot_ms; /* iv_clock_boot_ms() time */
};

struct iv_recorder
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  struct iv_store *store;
  char *topic;
  char *writer;
  gint64 epoch;
  gint64 sequence;
  struct iv_recorder_times times;
  struct iv_deadline flush;
  GByteArray *queued_body;
  GArray *queued_entries; /* of struct entry */
  GByteArray *sent_body;  /* NULL when no append is in progress */
  GArray *sent_entries;
  gboolean call_pending;
  gboolean outcome_unknown;  /* an attempt to append sent_body had no response */
  gboolean timeout_reported; /* its entries were told IV_ERR_TIMEOUT */
  gboolean store_unreachable;
  gboolean closed;
  gint64 unreachable_since_ms; /* while store_unreachable */
  gint64 first_sent_ms;
  gint64 retry_delay_ms;
};

static void
free_recorder (struct iv_recorder *recorder)
{
  iv_deadline_unset (recorder->deadlines, &recorder->flush);
  g_byte_array_free (recorder->queued_body, TRUE);
  g_array_free (recorder->queued_entries, TRUE);
  if (recorder->sent_body)
    {
      g_byte_array_free (recorder->sent_body, TRUE);
      g_array_free (recorder->sent_entries, TRUE);
    }
  g_free (recorder->topic);
  g_free (recorder->writer);
  g_free (recorder);
}

static void
schedule_flush (struct iv_recorder *recorder, gint64 delay_ms)
{
  iv_deadline_set (recorder->deadlines, &recorder->flush,
                   (gint64)uv_now (recorder->loop) + delay_ms);
}

static void
report_entries (const GArray *entries, enum iv_status status, gint64 end)
{
  for (guint i = 0; i < entries->len; i++)
    {
      const struct entry *entry = &g_array_index (entries, struct entry, i);
      if (entry->done)
        entry->done (entry->context, status, end);
    }
}

static void
finish (struct iv_recorder *recorder, enum iv_status status, gint64 end)
{
  GArray *entries = recorder->sent_entries;
  g_byte_array_free (recorder->sent_body, TRUE);
  recorder->sent_body = NULL;
  recorder->sent_entries = NULL;
  recorder->outcome_unknown = FALSE;
  recorder->timeout_reported = FALSE;
  recorder->retry_delay_ms = 0;
  if (recorder->queued_entries->len > 0)
    schedule_flush (recorder, recorder->times.batch_delay);
  report_entries (entries, status, end);
  g_array_free (entries, TRUE);
}

static void
retry (struct iv_recorder *recorder)
{
  recorder->retry_delay_ms = MIN (MAX (recorder->retry_delay_ms * 2, RETRY_FIRST_MS), RETRY_MAX_MS);
  schedule_flush (recorder, recorder->retry_delay_ms + g_random_int_range (0, RETRY_FIRST_MS));
  if (!recorder->outcome_unknown || recorder->timeout_reported
      || recorder->times.unknown_timeout == 0
      || (gint64)uv_now (recorder->loop)
             <= recorder->first_sent_ms + recorder->times.unknown_timeout)
    return;
  recorder->timeout_reported = TRUE;
  report_entries (recorder->sent_entries, IV_ERR_TIMEOUT, 0);
}

/* Ends the call in progress. FALSE when the recorder was closed meanwhile; it is freed then. */
static gboolean
end_call (struct iv_recorder *recorder, enum iv_store_outcome outcome)
{
  gboolean was_unreachable = recorder->store_unreachable;
  recorder->call_pending = FALSE;
  if (recorder->closed)
    {
      free_recorder (recorder);
      return FALSE;
    }
  recorder->store_unreachable = outcome == IV_STORE_NOT_DONE || outcome == IV_STORE_UNKNOWN;
  if (recorder->store_unreachable && !was_unreachable)
    recorder->unreachable_since_ms = recorder->first_sent_ms;
  return TRUE;
}

static void
on_appended (void *context, enum iv_store_outcome outcome, gint64 end)
{
  struct iv_recorder *recorder = context;
  if (!end_call (recorder, outcome))
    return;
  switch (outcome)
    {
    case IV_STORE_OK:
      iv_histogram_add (
          iv_histogram_get ("ibisvane_append_ms",
                            "Time from the first attempt of an append to its success, in ms."),
          (gint64)uv_now (recorder->loop) - recorder->first_sent_ms);
      recorder->sequence++;
      finish (recorder, IV_OK, end);
      return;
    case IV_STORE_FENCED:
      finish (recorder, IV_ERR_STALE, 0);
      return;
    case IV_STORE_SEQUENCE:
      /* Another process has used this writer name: nothing of this append was stored. */
      iv_event (IV_LEVEL_ERROR, "record.sequence", "writer=%s sequence=%" G_GINT64_FORMAT,
                recorder->writer, recorder->sequence);
      finish (recorder, IV_ERR_STALE, 0);
      return;
    case IV_STORE_NOT_DONE:
    case IV_STORE_EXPIRED:
      if (recorder->outcome_unknown)
        retry (recorder);
      else
        finish (recorder, IV_ERR_UNAVAILABLE, 0);
      return;
    case IV_STORE_UNKNOWN:
      recorder->outcome_unknown = TRUE;
      retry (recorder);
      return;
    }
}

/* The next append begins one epoch later again: whether the empty one has used up a sequence number
   does not matter then. */
static void
on_epoch_set (void *context, enum iv_store_outcome outcome, gint64 end)
{
  struct iv_recorder *recorder = context;
  if (!end_call (recorder, outcome))
    return;
  if (recorder->store_unreachable || outcome == IV_STORE_EXPIRED)
    {
      retry (recorder);
      return;
    }
  iv_event (IV_LEVEL_WARNING, "record.abandoned", "writer=%s epoch=%" G_GINT64_FORMAT " records=%u",
            recorder->writer, recorder->epoch, recorder->sent_entries->len);
  recorder->epoch += 2;
  recorder->sequence = 0;
  finish (recorder, IV_ERR_STALE, 0);
}

static gboolean
is_overdue (const struct iv_recorder *recorder, const GArray *entries)
{
  return recorder->times.max_age > 0 && entries->len > 0
         && iv_clock_boot_ms ()
                > g_array_index (entries, struct entry, 0).added_boot_ms + recorder->times.max_age;
}

/* Removes @a count queued entries from @a first on, with their records. */
static void
remove_queued (struct iv_recorder *recorder, guint first, guint count)
{
  GArray *queued = recorder->queued_entries;
  guint start = first > 0 ? g_array_index (queued, struct entry, first - 1).body_end : 0;
  guint bytes = g_array_index (queued, struct entry, first + count - 1).body_end - start;
  g_byte_array_remove_range (recorder->queued_body, start, bytes);
  g_array_remove_range (queued, first, count);
  for (guint i = first; i < queued->len; i++)
    g_array_index (queued, struct entry, i).body_end -= bytes;
}

static void
drop_overdue (struct iv_recorder *recorder)
{
  while (is_overdue (recorder, recorder->queued_entries))
    {
      struct entry entry = g_array_index (recorder->queued_entries, struct entry, 0);
      remove_queued (recorder, 0, 1);
      if (entry.done)
        entry.done (entry.context, IV_ERR_UNAVAILABLE, 0);
    }
}

/* Takes the queued records that fit into one append, or a larger first one alone. */
static void
take_queued (struct iv_recorder *recorder)
{
  GArray *queued = recorder->queued_entries;
  guint count = queued->len;
  guint bytes;
  while (count > 1 && g_array_index (queued, struct entry, count - 1).body_end > BODY_BYTES_MAX)
    count--;
  bytes = g_array_index (queued, struct entry, count - 1).body_end;
  recorder->sent_body = g_byte_array_sized_new (bytes);
  g_byte_array_append (recorder->sent_body, recorder->queued_body->data, bytes);
  recorder->sent_entries = g_array_sized_new (FALSE, FALSE, sizeof (struct entry), count);
  g_array_append_vals (recorder->sent_entries, queued->data, count);
  remove_queued (recorder, 0, count);
}

/* Rejects late attempts of the append in progress. */
static void
set_next_epoch (struct iv_recorder *recorder, gint64 deadline_ms)
{
  struct iv_store_writer writer = { recorder->writer, recorder->epoch + 1, 0 };
  GByteArray *empty = g_byte_array_new ();
  iv_store_append (recorder->store, recorder->topic, &writer, empty, deadline_ms, on_epoch_set,
                   recorder);
  g_byte_array_free (empty, TRUE);
}

static void
on_flush (void *context)
{
  struct iv_recorder *recorder = context;
  struct iv_store_writer writer = { recorder->writer, recorder->epoch, recorder->sequence };
  gint64 now = (gint64)uv_now (recorder->loop);
  if (recorder->call_pending || recorder->closed)
    return;
  if (recorder->sent_body == NULL)
    {
      drop_overdue (recorder);
      if (recorder->queued_entries->len == 0)
        return;
      take_queued (recorder);
      recorder->first_sent_ms = now;
    }
  recorder->call_pending = TRUE;
  if (is_overdue (recorder, recorder->sent_entries))
    set_next_epoch (recorder, now + APPEND_TIMEOUT_MS);
  else
    iv_store_append (recorder->store, recorder->topic, &writer, recorder->sent_body,
                     now + APPEND_TIMEOUT_MS, on_appended, recorder);
}

struct iv_recorder *
iv_recorder_new (uv_loop_t *loop, struct iv_deadlines *deadlines, struct iv_store *store,
                 const char *topic, const char *writer, gint64 epoch,
                 const struct iv_recorder_times *times)
{
  struct iv_recorder *recorder = g_new0 (struct iv_recorder, 1);
  recorder->loop = loop;
  recorder->deadlines = deadlines;
  recorder->store = store;
  recorder->topic = g_strdup (topic);
  recorder->writer = g_strdup (writer);
  recorder->epoch = epoch;
  recorder->times = *times;
  recorder->queued_body = g_byte_array_new ();
  recorder->queued_entries = g_array_new (FALSE, FALSE, sizeof (struct entry));
  recorder->flush.fire = on_flush;
  recorder->flush.context = recorder;
  return recorder;
}

void
iv_recorder_set_sequence (struct iv_recorder *recorder, gint64 sequence)
{
  recorder->sequence = sequence;
}

void
iv_recorder_close (struct iv_recorder *recorder)
{
  if (recorder == NULL)
    return;
  recorder->closed = TRUE;
  iv_deadline_unset (recorder->deadlines, &recorder->flush);
  report_entries (recorder->queued_entries, IV_ERR_STALE, 0);
  if (recorder->sent_body)
    report_entries (recorder->sent_entries, IV_ERR_STALE, 0);
  if (!recorder->call_pending)
    free_recorder (recorder);
}

void
iv_recorder_add (struct iv_recorder *recorder, const char *key, const void *value, gsize len,
                 iv_recorder_done_fn done, void *context)
{
  struct entry entry = { .done = done, .context = context, .added_boot_ms = iv_clock_boot_ms () };
  if (key)
    iv_store_encode_record (recorder->queued_body, key, value, len);
  entry.body_end = recorder->queued_body->len;
  g_array_append_val (recorder->queued_entries, entry);
  if (recorder->sent_body == NULL && !recorder->flush.set)
    schedule_flush (recorder, recorder->times.batch_delay);
  else if (recorder->queued_body->len > BODY_BYTES_MAX && recorder->sent_body == NULL)
    schedule_flush (recorder, 0);
}

gboolean
iv_recorder_withdraw (struct iv_recorder *recorder, iv_recorder_done_fn done, const void *context)
{
  gboolean found = FALSE;
  for (guint i = recorder->queued_entries->len; i-- > 0;)
    {
      const struct entry *entry = &g_array_index (recorder->queued_entries, struct entry, i);
      if (entry->done != done || entry->context != context)
        continue;
      remove_queued (recorder, i, 1);
      found = TRUE;
    }
  return found;
}

gboolean
iv_recorder_store_unreachable (const struct iv_recorder *recorder)
{
  return recorder->store_unreachable;
}

gint64
iv_recorder_unreachable_ms (const struct iv_recorder *recorder)
{
  return recorder->store_unreachable
             ? (gint64)uv_now (recorder->loop) - recorder->unreachable_since_ms
             : 0;
}

gboolean
iv_recorder_append_pending (const struct iv_recorder *recorder)
{
  return recorder->sent_body != NULL;
}
