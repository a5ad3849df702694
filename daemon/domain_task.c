#include "domain_task.h"

#include "appender.h"
#include "config_task.h"
#include "event.h"
#include "follower.h"
#include "hosts_task.h"
#include "peer_task.h"

#include <string.h>

#define POLL_MS 1000 /* how long a read waits at the end of the stream */
#define STEP_INTERVAL_MS 100
#define APPEND_RETRY_MS 100
#define CONFIG_TIMEOUT_MS 10000
#define MOVE_TIMEOUT_MS 60000

struct iv_domain_task
{
  struct iv_app *app;
  char *domain;
  char *stream;
  struct iv_planner *planner;
  struct iv_follower *follower;
  struct iv_deadline step_timer;
  GByteArray *batch;         /* the planner's batch, appended until it is read back; NULL if none */
  gboolean append_in_flight; /* an append has no response yet */
  gint64 next_append_ms;
  guint pending_config_records; /* records for "config" whose outcome is not known */
  GHashTable *appenders;        /* failure domain to the appender of moves to it */
  GHashTable *pending_moves;    /* ids of the tasks whose move is being appended */
  gboolean reported_owned;      /* as last reported by an event */
};

/* Context of a sync to a worker. */
struct sync_call
{
  struct iv_domain_task *task;
  guint32 worker;
  guint32 term;
  gint64 sent_ms;
};

/* Context of an append that moves a task to another failure domain. */
struct move_call
{
  struct iv_domain_task *task;
  guint32 task_id;
};

static struct iv_now
current_time (const struct iv_domain_task *task)
{
  return (struct iv_now){ iv_app_now (task->app), iv_app_wall_ms () };
}

static void
schedule_step (struct iv_domain_task *task)
{
  iv_deadline_set (task->app->deadlines, &task->step_timer, iv_app_now (task->app));
}

static void
on_batch (void *context, guint64 offset, const ivx_batch *batch, const guint8 *bytes, gsize len)
{
  struct iv_domain_task *task = context;
  if (iv_planner_apply (task->planner, current_time (task), offset, batch) == IV_APPLY_REJECTED)
    iv_event (IV_LEVEL_DEBUG, "record.refused", "domain=%s offset=%" G_GUINT64_FORMAT, task->domain,
              offset);
  if (task->batch && !iv_planner_append_pending (task->planner))
    {
      g_byte_array_free (task->batch, TRUE);
      task->batch = NULL;
    }
  schedule_step (task);
}

static gboolean
on_restore (void *context, const guint8 *bytes, gsize len, guint64 end_offset)
{
  struct iv_domain_task *task = context;
  struct iv_cell *cell = iv_cell_load (task->domain, bytes, len);
  if (cell == NULL || cell->next > end_offset)
    {
      iv_cell_free (cell);
      return FALSE;
    }
  iv_planner_restore (task->planner, cell);
  return TRUE;
}

static void
on_end (void *context, gint64 requested_ms)
{
  struct iv_domain_task *task = context;
  iv_planner_read_end (task->planner, requested_ms);
  schedule_step (task);
}

static void append_batch (struct iv_domain_task *task);

static void
on_appended (void *context, enum iv_status status, guint64 offset)
{
  struct iv_domain_task *task = context;
  task->append_in_flight = FALSE;
  task->next_append_ms
      = iv_app_now (task->app)
        + (status == IV_OK ? task->app->settings->platform.timeout_ms : APPEND_RETRY_MS);
}

static void
append_batch (struct iv_domain_task *task)
{
  struct iv_app *app = task->app;
  gint64 now = iv_app_now (app);
  if (task->batch == NULL || task->append_in_flight || now < task->next_append_ms)
    return;
  task->append_in_flight = TRUE;
  app->log.append (app->log.context, task->stream, task->batch->data, task->batch->len,
                   now + app->settings->platform.timeout_ms, on_appended, task);
}

static void
on_synced (void *context, struct iv_sync_reply *reply)
{
  struct sync_call *call = context;
  struct iv_domain_task *task = call->task;
  if (reply)
    iv_planner_handle_reply (task->planner, current_time (task), call->worker, call->sent_ms,
                             reply);
  else
    iv_planner_sync_failed (task->planner, call->worker);
  g_free (call);
}

static void
send_syncs (struct iv_domain_task *task, const GPtrArray *syncs)
{
  struct iv_app *app = task->app;
  for (guint i = 0; i < syncs->len; i++)
    {
      const struct iv_sync *sync = g_ptr_array_index (syncs, i);
      struct sync_call *call = g_new (struct sync_call, 1);
      call->task = task;
      call->worker = sync->worker;
      call->term = sync->term;
      call->sent_ms = iv_app_now (app);
      app->workers.sync (app->workers.context, sync,
                         call->sent_ms + app->settings->scheduling.sync_timeout_ms, on_synced,
                         call);
    }
}

static void
on_config_appended (void *context, enum iv_status status, guint64 offset)
{
  struct iv_domain_task *task = context;
  task->pending_config_records--;
}

/* The planner returns the records again until it reads them from "config", so they are appended
   only if none are pending. */
static void
send_config_records (struct iv_domain_task *task, GArray *records)
{
  gint64 deadline_ms = iv_app_now (task->app) + CONFIG_TIMEOUT_MS;
  if (task->pending_config_records > 0)
    return;
  for (guint i = 0; i < records->len; i++)
    {
      ivx_record copy = { 0 };
      iv_xdr_copy ((iv_xdr_proc)xdr_ivx_record, &g_array_index (records, ivx_record, i), &copy);
      task->pending_config_records++;
      iv_config_task_append (task->app->config, &copy, FALSE, deadline_ms, on_config_appended,
                             task);
    }
}

static struct iv_appender *
move_appender (struct iv_domain_task *task, const char *domain)
{
  struct iv_appender *appender = g_hash_table_lookup (task->appenders, domain);
  const struct iv_platform_settings *platform = &task->app->settings->platform;
  char *stream, *identity;
  if (appender)
    return appender;
  stream = g_strdup_printf ("domain.%s", domain);
  identity = g_strdup_printf ("%s/move/%s/%s", task->app->settings->host, task->domain, domain);
  appender = iv_appender_new (task->app->loop, task->app->deadlines, &task->app->log, stream,
                              identity, task->app->incarnation, platform->append_interval_ms,
                              platform->timeout_ms, TRUE);
  g_hash_table_insert (task->appenders, g_strdup (domain), appender);
  g_free (stream);
  g_free (identity);
  return appender;
}

static void
on_move_appended (void *context, enum iv_status status, guint64 offset)
{
  struct move_call *call = context;
  g_hash_table_remove (call->task->pending_moves, GUINT_TO_POINTER (call->task_id));
  if (status == IV_OK)
    iv_planner_confirm_move (call->task->planner, call->task_id);
  schedule_step (call->task);
  g_free (call);
}

static void
send_moves (struct iv_domain_task *task, const GPtrArray *moves)
{
  for (guint i = 0; i < moves->len; i++)
    {
      const struct iv_move *move = g_ptr_array_index (moves, i);
      struct move_call *call;
      ivx_record copy = { 0 };
      if (!g_hash_table_add (task->pending_moves, GUINT_TO_POINTER (move->task)))
        continue;
      call = g_new (struct move_call, 1);
      call->task = task;
      call->task_id = move->task;
      iv_xdr_copy ((iv_xdr_proc)xdr_ivx_record, &move->record, &copy);
      iv_appender_add (move_appender (task, move->to), &copy, FALSE,
                       iv_app_now (task->app) + MOVE_TIMEOUT_MS, on_move_appended, call);
    }
}

static const char *
pick_domain (void *context, const char *from, const ivx_item *item)
{
  struct iv_domain_task *task = context;
  return iv_peer_task_most_free_domain (task->app->peers, from);
}

static void
emit_ownership (struct iv_domain_task *task)
{
  gboolean owned = iv_planner_owns (task->planner);
  if (owned == task->reported_owned)
    return;
  task->reported_owned = owned;
  iv_event (IV_LEVEL_INFO, owned ? "domain.claimed" : "domain.yielded",
            "domain=%s term=%u owner=%s", task->domain, iv_planner_cell (task->planner)->term,
            iv_planner_cell (task->planner)->owner);
}

static void
on_step (void *context)
{
  struct iv_domain_task *task = context;
  struct iv_planner_output *output;
  iv_deadline_set (task->app->deadlines, &task->step_timer,
                   iv_app_now (task->app) + STEP_INTERVAL_MS);
  if (!iv_follower_is_complete (task->follower))
    return;
  emit_ownership (task);
  output = iv_planner_step (task->planner, current_time (task), pick_domain, task);
  if (output->batch)
    {
      g_assert (task->batch == NULL);
      task->batch = g_steal_pointer (&output->batch);
      task->next_append_ms = 0;
    }
  append_batch (task);
  send_syncs (task, output->syncs);
  send_config_records (task, output->config_records);
  send_moves (task, output->moves);
  iv_planner_output_free (output);
}

static void
on_config (void *context, const struct iv_message *message)
{
  struct iv_domain_task *task = context;
  if (iv_config_task_is_complete (task->app->config))
    iv_planner_set_config (task->planner, iv_config_task_state (task->app->config),
                           message->requested_ms);
  schedule_step (task);
}

static void
on_hosts (void *context, const struct iv_message *message)
{
  struct iv_domain_task *task = context;
  const GArray *workers = iv_hosts_task_workers (task->app->hosts, task->domain);
  GArray *none = workers ? NULL : g_array_new (FALSE, FALSE, sizeof (struct iv_host_entry));
  iv_planner_set_hosts (task->planner, workers ? workers : none);
  if (none)
    g_array_free (none, TRUE);
}

static struct iv_planner_options
planner_options (const struct iv_settings *settings, guint rank)
{
  const struct iv_scheduling_settings *s = &settings->scheduling;
  struct iv_planner_options options = iv_planner_default_options ();
  options.lease_ms = s->lease_ms;
  options.start_window_ms = s->start_window_ms;
  options.evidence_max_age_ms = s->evidence_max_age_ms;
  options.horizon_ms = s->horizon_ms;
  options.takeover_ms = s->takeover_ms;
  options.renew_ms = s->renew_ms;
  options.sync_ms = s->sync_ms;
  options.sync_timeout_ms = s->sync_timeout_ms;
  options.drain_ms = s->drain_ms;
  options.cooldown_ms = s->cooldown_ms;
  options.clock_rate_permille = s->clock_rate_permille;
  options.starts_per_step = (guint)s->starts_per_step;
  options.snapshot_every = (guint)s->snapshot_every;
  options.snapshot_interval_ms = s->snapshot_interval_ms;
  options.throttle_above = (double)s->throttle_above / 100;
  options.evict_above = (double)s->evict_above / 100;
  options.interference_wait_max_ms = s->interference_wait_max_ms;
  options.weights.guard = (double)s->weights.guard / 100;
  options.weights.tail = (double)s->weights.tail / 100;
  options.weights.throughput = (double)s->weights.throughput / 100;
  options.weights.packing = (double)s->weights.packing / 100;
  options.weights.spread = (double)s->weights.spread / 100;
  options.weights.caution = (double)s->weights.caution / 100;
  options.rank = rank;
  return options;
}

struct iv_domain_task *
iv_domain_task_new (struct iv_app *app, const char *domain, guint rank)
{
  struct iv_domain_task *task = g_new0 (struct iv_domain_task, 1);
  struct iv_planner_options options = planner_options (app->settings, rank);
  struct iv_follower_events events
      = { .context = task, .batch = on_batch, .restore = on_restore, .end = on_end };
  task->app = app;
  task->domain = g_strdup (domain);
  task->stream = g_strdup_printf ("domain.%s", domain);
  task->planner
      = iv_planner_new (domain, app->settings->host, app->incarnation, &options, iv_app_now (app));
  task->appenders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  task->pending_moves = g_hash_table_new (NULL, NULL);
  task->step_timer.fire = on_step;
  task->step_timer.context = task;
  task->follower = iv_follower_new (app->loop, app->deadlines, &app->log, task->stream, POLL_MS,
                                    app->settings->platform.timeout_ms, FALSE, &events);
  iv_mailbox_subscribe (app->mailbox, IV_MSG_CONFIG, on_config, task);
  iv_mailbox_subscribe (app->mailbox, IV_MSG_HOSTS, on_hosts, task);
  schedule_step (task);
  return task;
}

struct iv_domain_task *
iv_domain_task_find (const struct iv_app *app, const char *domain)
{
  for (guint i = 0; i < app->domain_tasks->len; i++)
    {
      struct iv_domain_task *task = g_ptr_array_index (app->domain_tasks, i);
      if (strcmp (task->domain, domain) == 0)
        return task;
    }
  return NULL;
}

gboolean
iv_domain_task_owns (const struct iv_app *app, const char *domain)
{
  const struct iv_domain_task *task = iv_domain_task_find (app, domain);
  return task && iv_planner_owns (task->planner);
}

const char *
iv_domain_task_name (const struct iv_domain_task *task)
{
  return task->domain;
}

const struct iv_planner *
iv_domain_task_planner (const struct iv_domain_task *task)
{
  return task->planner;
}

gboolean
iv_domain_task_is_complete (const struct iv_domain_task *task)
{
  return iv_follower_is_complete (task->follower);
}

void
iv_domain_task_resign (struct iv_domain_task *task)
{
  iv_planner_resign (task->planner);
}
