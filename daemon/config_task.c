#include "config_task.h"

#include "chunks.h"
#include "domain_task.h"
#include "event.h"
#include "follower.h"

#include <stdlib.h>
#include <string.h>

#define STREAM "config"
#define POLL_MS 1000 /* how long a read waits at the end of the stream */
#define RECENT_BATCHES_MAX 1024
#define RELAY_BYTES_MAX (1024 * 1024) /* batches in one reply to a peer */
#define LOG_DOWN_MS 3000 /* the log counts as down after this time without a response */
#define SNAPSHOT_TIMEOUT_MS 30000

/* A batch that peers may read from this host. */
struct recent_batch
{
  guint64 offset;
  GBytes *bytes;
};

struct iv_config_task
{
  struct iv_app *app;
  struct iv_config *config;
  struct iv_follower *follower;
  struct iv_appender *appender;
  gint64 evidence_ms;      /* see iv_config_task_evidence_ms() */
  GQueue *recent;          /* of struct recent_batch, oldest first */
  guint64 snapshot_offset; /* the next one is due `snapshot_every` batches later */
  gint64 snapshot_due_ms;
  gboolean snapshot_pending;
};

static void
free_recent_batch (gpointer data)
{
  struct recent_batch *recent = data;
  g_bytes_unref (recent->bytes);
  g_free (recent);
}

static void
keep_recent (struct iv_config_task *task, guint64 offset, const guint8 *bytes, gsize len)
{
  struct recent_batch *recent = g_new (struct recent_batch, 1);
  recent->offset = offset;
  recent->bytes = g_bytes_new (bytes, len);
  g_queue_push_tail (task->recent, recent);
  if (task->recent->length > RECENT_BATCHES_MAX)
    free_recent_batch (g_queue_pop_head (task->recent));
}

static void
emit_changes (const struct iv_config_task *task, const ivx_batch *batch, guint64 offset,
              guint32 release_before)
{
  for (u_int i = 0; i < batch->records.records_len; i++)
    {
      const ivx_record *record = &batch->records.records_val[i];
      if (record->kind == IVX_DOMAIN)
        iv_event (IV_LEVEL_INFO, "domain.set", "domain=%s out=%d offset=%" G_GUINT64_FORMAT,
                  record->ivx_record_u.domain.name, record->ivx_record_u.domain.out, offset);
    }
  if (task->config->release != release_before)
    iv_event (IV_LEVEL_INFO, "release.in_force", "release=%u offset=%" G_GUINT64_FORMAT,
              task->config->release, offset);
}

static void
on_batch (void *context, guint64 offset, const ivx_batch *batch, const guint8 *bytes, gsize len)
{
  struct iv_config_task *task = context;
  guint32 release = task->config->release;
  iv_config_apply (task->config, offset, batch);
  keep_recent (task, offset, bytes, len);
  emit_changes (task, batch, offset, release);
  if (batch->records.records_len > 0 && batch->records.records_val[0].kind == IVX_SNAPSHOT_CHUNK)
    task->snapshot_offset = offset;
  iv_appender_confirm_batch (task->appender, offset, batch);
}

static gboolean
on_restore (void *context, const guint8 *bytes, gsize len, guint64 end_offset)
{
  struct iv_config_task *task = context;
  struct iv_config *config = iv_config_load (bytes, len);
  if (config == NULL || config->next > end_offset)
    {
      iv_config_free (config);
      return FALSE;
    }
  iv_config_free (task->config);
  task->config = config;
  task->snapshot_offset = end_offset;
  g_queue_clear_full (task->recent, free_recent_batch);
  return TRUE;
}

static void
update_evidence (struct iv_config_task *task, gint64 requested_ms)
{
  struct iv_message message = { .kind = IV_MSG_CONFIG, .requested_ms = requested_ms };
  if (requested_ms <= task->evidence_ms)
    return;
  task->evidence_ms = requested_ms;
  iv_mailbox_post (task->app->mailbox, &message);
}

static void
on_snapshot_appended (void *context, enum iv_status status, guint64 offset)
{
  struct iv_config_task *task = context;
  task->snapshot_pending = FALSE;
}

/* Only one host writes snapshots of "config": the owner of the first failure domain. */
static void
write_snapshot_if_due (struct iv_config_task *task)
{
  GArray *chunks;
  GByteArray *bytes;
  const struct iv_scheduling_settings *settings = &task->app->settings->scheduling;
  gint64 now = iv_app_now (task->app);
  gboolean due = now >= task->snapshot_due_ms
                 || task->config->next >= task->snapshot_offset + (guint64)settings->snapshot_every;
  if (task->snapshot_pending || !due || task->config->next == 0
      || !iv_domain_task_owns (task->app, g_ptr_array_index (task->app->domains, 0)))
    return;
  task->snapshot_due_ms = now + settings->snapshot_interval_ms;
  bytes = iv_config_save (task->config);
  if (bytes == NULL)
    {
      iv_event (IV_LEVEL_ERROR, "snapshot.too_large", "stream=%s", STREAM);
      return;
    }
  chunks = iv_records_new ();
  iv_chunks_split (chunks, bytes, task->config->next);
  task->snapshot_offset = task->config->next;
  task->snapshot_pending = TRUE;
  for (guint i = 0; i < chunks->len; i++)
    iv_appender_add (task->appender, &g_array_index (chunks, ivx_record, i), FALSE,
                     now + SNAPSHOT_TIMEOUT_MS, i + 1 == chunks->len ? on_snapshot_appended : NULL,
                     task);
  g_array_set_clear_func (chunks, NULL);
  g_array_free (chunks, TRUE);
  g_byte_array_free (bytes, TRUE);
}

static void
on_end (void *context, gint64 requested_ms)
{
  struct iv_config_task *task = context;
  update_evidence (task, requested_ms);
  write_snapshot_if_due (task);
}

struct iv_config_task *
iv_config_task_new (struct iv_app *app)
{
  struct iv_config_task *task = g_new0 (struct iv_config_task, 1);
  const struct iv_platform_settings *platform = &app->settings->platform;
  struct iv_follower_events events
      = { .context = task, .batch = on_batch, .restore = on_restore, .end = on_end };
  char *identity = g_strdup_printf ("%s/config", app->settings->host);
  task->app = app;
  task->config = iv_config_new ();
  task->evidence_ms = G_MININT64 / 2;
  task->recent = g_queue_new ();
  task->appender
      = iv_appender_new (app->loop, app->deadlines, &app->log, STREAM, identity, app->incarnation,
                         platform->append_interval_ms, platform->timeout_ms, FALSE);
  task->follower = iv_follower_new (app->loop, app->deadlines, &app->log, STREAM, POLL_MS,
                                    platform->timeout_ms, FALSE, &events);
  g_free (identity);
  return task;
}

const struct iv_config *
iv_config_task_state (const struct iv_config_task *task)
{
  return task->config;
}

gboolean
iv_config_task_is_complete (const struct iv_config_task *task)
{
  return iv_follower_is_complete (task->follower);
}

gint64
iv_config_task_evidence_ms (const struct iv_config_task *task)
{
  return task->evidence_ms;
}

gboolean
iv_config_task_log_up (const struct iv_config_task *task)
{
  gint64 last_read_ms = iv_follower_last_read_ms (task->follower);
  return last_read_ms > 0 && iv_app_now (task->app) - last_read_ms <= LOG_DOWN_MS;
}

void
iv_config_task_append (struct iv_config_task *task, const ivx_record *record, gboolean own_batch,
                       gint64 deadline_ms, iv_appender_result_fn done, void *context)
{
  iv_appender_add (task->appender, record, own_batch, deadline_ms, done, context);
}

static void
fill_snapshot (const struct iv_config_task *task, ivp_read_reply *reply)
{
  GByteArray *bytes = iv_config_save (task->config);
  reply->gap = TRUE;
  if (bytes == NULL)
    return;
  if (bytes->len <= IVP_BODY_BYTES_MAX)
    {
      reply->snapshot.snapshot_len = bytes->len;
      reply->snapshot.snapshot_val = malloc (bytes->len + 1);
      memcpy (reply->snapshot.snapshot_val, bytes->data, bytes->len);
    }
  g_byte_array_free (bytes, TRUE);
}

static void
fill_entries (const struct iv_config_task *task, guint64 from, ivp_read_reply *reply)
{
  gsize bytes = 0;
  reply->entries.entries_val = calloc (IVP_ENTRIES_MAX, sizeof (ivp_entry));
  for (GList *l = task->recent->head; l && reply->entries.entries_len < IVP_ENTRIES_MAX;
       l = l->next)
    {
      const struct recent_batch *recent = l->data;
      ivp_entry *entry = &reply->entries.entries_val[reply->entries.entries_len];
      gsize len;
      const guint8 *data = g_bytes_get_data (recent->bytes, &len);
      if (recent->offset < from)
        continue;
      if (bytes + len > RELAY_BYTES_MAX)
        break;
      entry->offset = recent->offset;
      entry->bytes.bytes_len = (u_int)len;
      entry->bytes.bytes_val = malloc (len + 1);
      memcpy (entry->bytes.bytes_val, data, len);
      bytes += len;
      reply->entries.entries_len++;
    }
}

void
iv_config_task_serve_read (const struct iv_config_task *task, guint64 from, ivp_read_reply *reply)
{
  const struct recent_batch *oldest = g_queue_peek_head (task->recent);
  gint64 age = iv_app_now (task->app) - task->evidence_ms;
  reply->next = task->config->next;
  reply->age_ms = (guint32)CLAMP (age, 0, G_MAXUINT32);
  if (!iv_config_task_is_complete (task))
    {
      reply->next = 0;
      reply->age_ms = G_MAXUINT32;
      return;
    }
  if (from < task->config->next && (oldest == NULL || oldest->offset > from))
    fill_snapshot (task, reply);
  else
    fill_entries (task, from, reply);
}

void
iv_config_task_handle_read_reply (struct iv_config_task *task, const ivp_read_reply *reply,
                                  gint64 requested_ms)
{
  if (reply->gap && reply->snapshot.snapshot_len > 0)
    iv_follower_restore_relayed (task->follower, (const guint8 *)reply->snapshot.snapshot_val,
                                 reply->snapshot.snapshot_len, reply->next);
  for (u_int i = 0; i < reply->entries.entries_len; i++)
    {
      const ivp_entry *entry = &reply->entries.entries_val[i];
      iv_follower_apply_relayed (task->follower, entry->offset,
                                 (const guint8 *)entry->bytes.bytes_val, entry->bytes.bytes_len);
    }
  if (iv_config_task_is_complete (task) && task->config->next >= reply->next
      && reply->age_ms < G_MAXUINT32)
    update_evidence (task, requested_ms - (gint64)reply->age_ms);
}
