#include "key_task.h"

#include "appender.h"
#include "follower.h"

#include <string.h>

#define STREAM "keys"
#define POLL_MS 1000
#define KEYS_MAX 200000
#define OUTCOME_TIMEOUT_MS 10000
#define EVIDENCE_MS 3000

struct iv_key_task
{
  struct iv_app *app;
  struct iv_keys *keys;
  struct iv_follower *follower;
  struct iv_appender *appender;
  gint64 end_ms;          /* when a read that reached the end was sent; 0 before the first */
  GHashTable *dispatched; /* keys that this incarnation has let go, of struct iv_key */
};

struct claim
{
  struct iv_key_task *task;
  struct iv_key key;
  iv_claimed_fn done;
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
on_restore (void *context, const guint8 *bytes, gsize len, guint64 covers)
{
  return FALSE;
}

static void
on_end (void *context, gint64 asked_ms)
{
  ((struct iv_key_task *)context)->end_ms = asked_ms;
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
  task->follower = iv_follower_new (app->loop, app->deadlines, &app->log, STREAM, POLL_MS,
                                    settings->platform.timeout_ms, TRUE, &events);
  g_free (identity);
  return task;
}

gboolean
iv_key_task_ready (const struct iv_key_task *task)
{
  gint64 heard = iv_follower_last_read_ms (task->follower);
  return task->end_ms > 0 && iv_app_now (task->app) - heard <= EVIDENCE_MS;
}

/* An intent of this incarnation that won but was never let go may still be used, once. */
static gboolean
let_go (struct iv_key_task *task, const struct iv_key_entry *entry)
{
  if (entry->state != IV_KEY_CLAIMED || entry->writer != iv_appender_writer (task->appender)
      || entry->incarnation != task->app->incarnation
      || g_hash_table_contains (task->dispatched, &entry->key))
    return FALSE;
  g_hash_table_add (task->dispatched, g_memdup2 (&entry->key, sizeof entry->key));
  return TRUE;
}

static void
on_intent (void *context, enum iv_status status, guint64 offset)
{
  struct claim *claim = context;
  struct iv_key_task *task = claim->task;
  const struct iv_key_entry *entry = iv_keys_find (task->keys, iv_app_now (task->app), claim->key);
  if (status != IV_OK || entry == NULL)
    claim->done (claim->context, IV_CLAIM_UNAVAILABLE, NULL);
  else if (let_go (task, entry))
    claim->done (claim->context, IV_CLAIM_WON, entry);
  else
    claim->done (claim->context, IV_CLAIM_TAKEN, entry);
  g_free (claim);
}

void
iv_key_task_claim (struct iv_key_task *task, struct iv_key key, gint64 deadline_ms,
                   iv_claimed_fn done, void *context)
{
  const struct iv_key_entry *entry = iv_keys_find (task->keys, iv_app_now (task->app), key);
  ivx_record record = { .kind = IVX_INTENT };
  struct claim *claim;
  if (entry)
    {
      done (context, let_go (task, entry) ? IV_CLAIM_WON : IV_CLAIM_TAKEN, entry);
      return;
    }
  /* Before the stream was read to its end, an intent of another host may be in it unseen. */
  if (!iv_key_task_ready (task))
    {
      done (context, IV_CLAIM_UNAVAILABLE, NULL);
      return;
    }
  claim = g_new (struct claim, 1);
  *claim = (struct claim){ task, key, done, context };
  record.ivx_record_u.intent.hi = key.hi;
  record.ivx_record_u.intent.lo = key.lo;
  record.ivx_record_u.intent.host = iv_record_strdup (task->app->settings->host);
  iv_appender_add (task->appender, &record, FALSE, deadline_ms, on_intent, claim);
}

void
iv_key_task_ended (struct iv_key_task *task, struct iv_key key, guint status)
{
  ivx_record record = { .kind = IVX_OUTCOME };
  record.ivx_record_u.outcome = (ivx_outcome){ key.hi, key.lo, status };
  iv_appender_add (task->appender, &record, FALSE, iv_app_now (task->app) + OUTCOME_TIMEOUT_MS,
                   NULL, NULL);
}
