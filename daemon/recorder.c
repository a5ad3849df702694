#include "recorder.h"

#include "event.h"
#include "histogram.h"

#define APPEND_TIMEOUT_MS 1000 /* a slow store answers within a few hundred */
#define RETRY_FIRST_MS 50
#define RETRY_MAX_MS 500
#define BODY_MAX (1024 * 1024) /* of one append; below the platform's bound */

struct entry
{
  iv_recorded done;
  void *context;
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
  gint64 gather_ms;
  gint64 doubt_ms;
  struct iv_deadline flush;
  GByteArray *waiting;
  GArray *waiting_entries; /* of struct entry */
  GByteArray *sent;        /* NULL when no append is in progress */
  GArray *sent_entries;
  gboolean in_call;
  gboolean doubtful; /* an append of `sent` had no answer */
  gboolean down;
  gboolean closed;
  gint64 sent_ms;
  gint64 retry_ms;
};

static void
free_recorder (struct iv_recorder *recorder)
{
  iv_deadline_unset (recorder->deadlines, &recorder->flush);
  g_byte_array_free (recorder->waiting, TRUE);
  g_array_free (recorder->waiting_entries, TRUE);
  if (recorder->sent)
    {
      g_byte_array_free (recorder->sent, TRUE);
      g_array_free (recorder->sent_entries, TRUE);
    }
  g_free (recorder->topic);
  g_free (recorder->writer);
  g_free (recorder);
}

static void
flush_after (struct iv_recorder *recorder, gint64 delay_ms)
{
  iv_deadline_set (recorder->deadlines, &recorder->flush,
                   (gint64)uv_now (recorder->loop) + delay_ms);
}

static void
tell (GArray *entries, enum iv_status status, gint64 end)
{
  for (guint i = 0; i < entries->len; i++)
    {
      const struct entry *entry = &g_array_index (entries, struct entry, i);
      if (entry->done)
        entry->done (entry->context, status, end);
    }
  g_array_set_size (entries, 0);
}

static void
finish (struct iv_recorder *recorder, enum iv_status status, gint64 end)
{
  GArray *entries = recorder->sent_entries;
  g_byte_array_free (recorder->sent, TRUE);
  recorder->sent = NULL;
  recorder->sent_entries = NULL;
  recorder->doubtful = FALSE;
  recorder->retry_ms = 0;
  if (recorder->waiting_entries->len > 0)
    flush_after (recorder, recorder->gather_ms);
  tell (entries, status, end);
  g_array_free (entries, TRUE);
}

static void
retry (struct iv_recorder *recorder)
{
  recorder->retry_ms = MIN (MAX (recorder->retry_ms * 2, RETRY_FIRST_MS), RETRY_MAX_MS);
  flush_after (recorder, recorder->retry_ms + g_random_int_range (0, RETRY_FIRST_MS));
  if (recorder->doubtful && recorder->doubt_ms > 0
      && (gint64)uv_now (recorder->loop) > recorder->sent_ms + recorder->doubt_ms)
    tell (recorder->sent_entries, IV_ERR_TIMEOUT, 0);
}

static void
on_appended (void *context, enum iv_store_outcome outcome, gint64 end)
{
  struct iv_recorder *recorder = context;
  recorder->in_call = FALSE;
  if (recorder->closed)
    {
      free_recorder (recorder);
      return;
    }
  recorder->down = outcome == IV_STORE_NOT_DONE || outcome == IV_STORE_UNKNOWN;
  switch (outcome)
    {
    case IV_STORE_OK:
      iv_histogram_add (iv_histogram_get ("ibisvane_append_ms",
                                          "From the first try of an append to its success."),
                        (gint64)uv_now (recorder->loop) - recorder->sent_ms);
      recorder->sequence++;
      finish (recorder, IV_OK, end);
      return;
    case IV_STORE_FENCED:
      finish (recorder, IV_ERR_STALE, 0);
      return;
    case IV_STORE_SEQUENCE:
      /* Another life of the same writer: nothing of this append was taken. */
      iv_event (IV_LEVEL_ERROR, "record.sequence", "writer=%s sequence=%" G_GINT64_FORMAT,
                recorder->writer, recorder->sequence);
      finish (recorder, IV_ERR_STALE, 0);
      return;
    case IV_STORE_NOT_DONE:
    case IV_STORE_EXPIRED:
      if (recorder->doubtful)
        retry (recorder);
      else
        finish (recorder, IV_ERR_UNAVAILABLE, 0);
      return;
    case IV_STORE_UNKNOWN:
      recorder->doubtful = TRUE;
      retry (recorder);
      return;
    }
}

static void
on_flush (void *context)
{
  struct iv_recorder *recorder = context;
  struct iv_store_writer writer = { recorder->writer, recorder->epoch, recorder->sequence };
  gint64 now = (gint64)uv_now (recorder->loop);
  if (recorder->in_call || recorder->closed)
    return;
  if (recorder->sent == NULL)
    {
      if (recorder->waiting_entries->len == 0)
        return;
      recorder->sent = recorder->waiting;
      recorder->sent_entries = recorder->waiting_entries;
      recorder->waiting = g_byte_array_new ();
      recorder->waiting_entries = g_array_new (FALSE, FALSE, sizeof (struct entry));
      recorder->sent_ms = now;
    }
  recorder->in_call = TRUE;
  iv_store_append (recorder->store, recorder->topic, &writer, recorder->sent,
                   now + APPEND_TIMEOUT_MS, on_appended, recorder);
}

struct iv_recorder *
iv_recorder_new (uv_loop_t *loop, struct iv_deadlines *deadlines, struct iv_store *store,
                 const char *topic, const char *writer, gint64 epoch, gint64 gather_ms,
                 gint64 doubt_ms)
{
  struct iv_recorder *recorder = g_new0 (struct iv_recorder, 1);
  recorder->loop = loop;
  recorder->deadlines = deadlines;
  recorder->store = store;
  recorder->topic = g_strdup (topic);
  recorder->writer = g_strdup (writer);
  recorder->epoch = epoch;
  recorder->gather_ms = gather_ms;
  recorder->doubt_ms = doubt_ms;
  recorder->waiting = g_byte_array_new ();
  recorder->waiting_entries = g_array_new (FALSE, FALSE, sizeof (struct entry));
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
  tell (recorder->waiting_entries, IV_ERR_STALE, 0);
  if (recorder->sent)
    tell (recorder->sent_entries, IV_ERR_STALE, 0);
  if (!recorder->in_call)
    free_recorder (recorder);
}

void
iv_recorder_add (struct iv_recorder *recorder, const char *key, const void *value, gsize len,
                 iv_recorded done, void *context)
{
  struct entry entry = { done, context };
  if (key)
    iv_store_encode_record (recorder->waiting, key, value, len);
  g_array_append_val (recorder->waiting_entries, entry);
  if (recorder->sent == NULL && !recorder->flush.set)
    flush_after (recorder, recorder->gather_ms);
  else if (recorder->waiting->len > BODY_MAX && recorder->sent == NULL)
    flush_after (recorder, 0);
}

gboolean
iv_recorder_down (const struct iv_recorder *recorder)
{
  return recorder->down;
}

gboolean
iv_recorder_busy (const struct iv_recorder *recorder)
{
  return recorder->sent != NULL;
}
