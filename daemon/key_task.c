#include "key_task.h"

#include "appender.h"
#include "follower.h"

#include <string.h>

#define STREAM "keys"
#define READ_WAIT_MS 1000
#define KEYS_MAX 200000
#define OUTCOME_TIMEOUT_MS 10000
#define EVIDENCE_MAX_AGE_MS 3000

struct iv_key_task
{
  struct iv_app *app;
  struct iv_keys *keys;
  struct iv_follower *follower;
  struct iv_appender *appender;
  /* When the last read that reached the end of the stream was sent; 0 before the first. */
  gint64 end_read_sent_ms;
  GHashTable *dispatched; /* set of struct iv_key: dispatched by this incarnation */
};

struct pending_claim
{
  struct iv_key_task *task;
  struct iv_key key;
  iv_claim_result_fn done;
  void *context;
};

static void
on_batch (void *context, guint64 offset, const ivx_batch *batch, const guint8 *bytes, gsize len)
{
  struct iv_key_task *task = context;
  iv_keys_apply (task->keys, iv_app_now (task->app), offset, batch);
  iv_appender_confirm_batch (task->appender, offset, batch);
}

static gboolean
on_restore (void *context, const guint8 *bytes, gsize len, guint64 end_offset)
{
  return FALSE;
}

static void
on_end (void *context, gint64 sent_ms)
{
  ((struct iv_key_task *)context)->end_read_sent_ms = sent_ms;
}

struct iv_key_task *
iv_key_task_new (struct iv_app *app)
{
  struct iv_key_task *task = g_new0 (struct iv_key_task, 1);
  const struct iv_settings *settings = app->settings;
  struct iv_follower_events events
      = { .context = task, .batch = on_batch, .restore = on_restore, .end = on_end };
  char *identity = g_strdup_printf ("%s/keys", settings->host);
  task->app = app;
  task->keys = iv_keys_new (KEYS_MAX, settings->routing.key_window_ms);
  task->dispatched = g_hash_table_new_full (iv_key_hash, iv_key_equal, g_free, NULL);
  task->appender = iv_appender_new (app->loop, app->deadlines, &app->log, STREAM, identity,
                                    app->incarnation, settings->routing.key_append_interval_ms,
                                    settings->platform.timeout_ms, FALSE);
  task->follower = iv_follower_new (app->loop, app->deadlines, &app->log, STREAM, READ_WAIT_MS,
                                    settings->platform.timeout_ms, TRUE, &events);
  g_free (identity);
  return task;
}

gboolean
iv_key_task_ready (const struct iv_key_task *task)
{
  gint64 last_read_at_ms = iv_follower_last_read_ms (task->follower);
  return task->end_read_sent_ms > 0
         && iv_app_now (task->app) - last_read_at_ms <= EVIDENCE_MAX_AGE_MS;
}

/* The winning intent of this incarnation permits one dispatch, which may also come later than the
   read that showed the intent. */
static gboolean
try_dispatch (struct iv_key_task *task, const struct iv_key_entry *entry)
{
  if (entry->state != IV_KEY_CLAIMED || entry->writer != iv_appender_writer (task->appender)
      || entry->incarnation != task->app->incarnation
      || g_hash_table_contains (task->dispatched, &entry->key))
    return FALSE;
  g_hash_table_add (task->dispatched, g_memdup2 (&entry->key, sizeof entry->key));
  return TRUE;
}

static void
on_intent_appended (void *context, enum iv_status status, guint64 offset)
{
  struct pending_claim *pending_claim = context;
  struct iv_key_task *task = pending_claim->task;
  const struct iv_key_entry *entry
      = iv_keys_find (task->keys, iv_app_now (task->app), pending_claim->key);
  if (status != IV_OK || entry == NULL)
    pending_claim->done (pending_claim->context, IV_CLAIM_UNAVAILABLE, NULL);
  else if (try_dispatch (task, entry))
    pending_claim->done (pending_claim->context, IV_CLAIM_WON, entry);
  else
    pending_claim->done (pending_claim->context, IV_CLAIM_TAKEN, entry);
  g_free (pending_claim);
}

void
iv_key_task_claim (struct iv_key_task *task, struct iv_key key, gint64 deadline_ms,
                   iv_claim_result_fn done, void *context)
{
  const struct iv_key_entry *entry = iv_keys_find (task->keys, iv_app_now (task->app), key);
  ivx_record record = { .kind = IVX_INTENT };
  struct pending_claim *pending_claim;
  if (entry)
    {
      done (context, try_dispatch (task, entry) ? IV_CLAIM_WON : IV_CLAIM_TAKEN, entry);
      return;
    }
  /* Until the stream has been read to its end, it may hold an intent of another host that has not
     been applied. */
  if (!iv_key_task_ready (task))
    {
      done (context, IV_CLAIM_UNAVAILABLE, NULL);
      return;
    }
  pending_claim = g_new (struct pending_claim, 1);
  *pending_claim = (struct pending_claim){ task, key, done, context };
  record.ivx_record_u.intent.hi = key.hi;
  record.ivx_record_u.intent.lo = key.lo;
  record.ivx_record_u.intent.host = iv_record_strdup (task->app->settings->host);
  iv_appender_add (task->appender, &record, FALSE, deadline_ms, on_intent_appended, pending_claim);
}

void
iv_key_task_complete (struct iv_key_task *task, struct iv_key key, guint status)
{
  ivx_record record = { .kind = IVX_OUTCOME };
  record.ivx_record_u.outcome = (ivx_outcome){ key.hi, key.lo, status };
  iv_appender_add (task->appender, &record, FALSE, iv_app_now (task->app) + OUTCOME_TIMEOUT_MS,
                   NULL, NULL);
}
