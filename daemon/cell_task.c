#include "cell_private.h"

#include "authority.h"
#include "cell_loads.h"
#include "clock.h"
#include "counter.h"
#include "event.h"
#include "names.h"

#include <string.h>

#define STEP_INTERVAL_MS 25
#define RECORD_BATCH_DELAY_MS 20
#define MODEL_INTERVAL_MS 2000
#define LOAD_INTERVAL_MS 500 /* moves and rejections of jobs depend on this record */
#define WORKERS_READ_DELAY_MS 250
#define WORKERS_WAIT_MS 1000
/* For each cell of the layout. An owner learns of new jobs only by reading; more cells read less
   often, because the platform charges for reads. */
#define JOBS_READ_DELAY_OWNER_MS 10
#define JOBS_READ_DELAY_OWNER_MAX_MS 40
#define JOBS_READ_DELAY_OTHER_MS 500

gint64
iv_cell_task_now_ms (const struct iv_cell_task *task)
{
  return (gint64)uv_now (task->deps.loop);
}

void
iv_cell_task_frame_record (const struct iv_cell_task *task, GByteArray *body, const char *prefix,
                           const void *value, gsize len)
{
  char key[32];
  g_snprintf (key, sizeof key, "%s%u", prefix, task->cell);
  iv_store_encode_record (body, key, value, len);
}

static void
schedule_step (struct iv_cell_task *task, gint64 delay_ms)
{
  gint64 at_ms = iv_cell_task_now_ms (task) + delay_ms;
  if (!task->step.set || task->step.at_ms > at_ms)
    iv_deadline_set (task->deps.deadlines, &task->step, at_ms);
}

void
iv_cell_task_end_ownership (struct iv_cell_task *task, const char *reason)
{
  if (task->owner == NULL)
    return;
  iv_event (IV_LEVEL_WARNING, "owner.lost", "cell=%u term=%" G_GINT64_FORMAT " reason=%s",
            task->cell, task->term, reason);
  task->lost_term = task->term;
  iv_owner_free (task->owner);
  task->owner = NULL;
  iv_worker_calls_close (task->calls);
  iv_recorder_close (task->recorder);
  iv_cap_task_end (task->caps);
  iv_stream_close (task->workers);
  task->calls = NULL;
  task->recorder = NULL;
  task->workers = NULL;
  task->progress_appends = 0;
  task->suspended_since_ms = 0;
  iv_deadline_unset (task->deps.deadlines, &task->step);
  iv_stream_set_read_delay (task->deps.jobs, JOBS_READ_DELAY_OTHER_MS);
}

static void
on_start_replied (void *context, guint32 worker, const struct iv_task_name *name, gint64 number,
                  enum iv_command_outcome outcome, gint64 clock)
{
  struct iv_cell_task *task = context;
  iv_owner_start_replied (task->owner, worker, name, number, outcome, clock,
                          iv_cell_task_now_ms (task));
  schedule_step (task, 0);
}

static void
on_stop_replied (void *context, guint32 worker, const struct iv_task_name *name, gint64 number,
                 enum iv_command_outcome outcome, gint64 clock)
{
  struct iv_cell_task *task = context;
  iv_owner_stop_replied (task->owner, worker, name, number, outcome, clock,
                         iv_cell_task_now_ms (task));
  schedule_step (task, 0);
}

static void
on_poll_replied (void *context, guint32 worker, enum iv_command_outcome outcome,
                 const struct iv_poll_reply *reply)
{
  struct iv_cell_task *task = context;
  iv_owner_poll_replied (task->owner, worker, outcome, reply, iv_cell_task_now_ms (task));
  schedule_step (task, 0);
}

static void
on_advice_replied (void *context, const struct iv_advice_reply *reply)
{
  struct iv_cell_task *task = context;
  iv_owner_advice_replied (task->owner, reply, iv_cell_task_now_ms (task));
  schedule_step (task, 0);
}

/* Without an advice service the query stays unanswered and the step is never started. */
static void
send_advice_query (void *context, const struct iv_task_name *name, const GPtrArray *workers)
{
  struct iv_cell_task *task = context;
  if (task->deps.settings->advice)
    iv_worker_advise (task->calls, task->deps.settings->advice, name, workers);
}

static void
send_start (void *context, const struct iv_fleet_worker *worker,
            const struct iv_start_command *command)
{
  iv_worker_start (((struct iv_cell_task *)context)->calls, worker, command);
}

static guint
start_credit (void *context)
{
  return iv_call_limits_credit (((struct iv_cell_task *)context)->deps.worker_limits);
}

static void
send_stop (void *context, const struct iv_fleet_worker *worker, const struct iv_task_name *name,
           gint64 number)
{
  iv_worker_stop (((struct iv_cell_task *)context)->calls, worker, name, number);
}

static void
send_poll (void *context, const struct iv_fleet_worker *worker, gint64 lease_end_clock_ms,
           gint64 wait_ms)
{
  iv_worker_poll (((struct iv_cell_task *)context)->calls, worker, lease_end_clock_ms, wait_ms);
}

static void
send_pace (void *context, const struct iv_fleet_worker *worker, const struct iv_task_name *name,
           gint64 number, guint percent)
{
  iv_worker_pace (((struct iv_cell_task *)context)->calls, worker, name, number, percent);
}

/* Jobs of a queue that was removed are run on. */
static gboolean
get_queue_policy (void *context, const char *host, const char *prefix,
                  struct iv_queue_policy *policy)
{
  struct iv_cell_task *task = context;
  const struct iv_routes *routes = task->deps.routes (task->deps.context);
  const struct iv_route *route = routes ? iv_routes_find (routes, host, prefix) : NULL;
  if (route == NULL)
    return routes && iv_queues_find (task->deps.queues, host, prefix, policy);
  *policy = iv_route_policy (route);
  return TRUE;
}

static gboolean
is_domain_in_service (void *context, const char *domain)
{
  struct iv_cell_task *task = context;
  return task->deps.is_domain_in_service (task->deps.context, domain);
}

static gboolean
owns_job (void *context, const struct iv_job_entry *job)
{
  struct iv_cell_task *task = context;
  const struct iv_layout *layout = task->deps.layout (task->deps.context);
  return layout && iv_layout_job_cell (layout, job) == task->cell;
}

static gint
find_move_target (void *context, const struct iv_move_needs *needs)
{
  struct iv_cell_task *task = context;
  return task->deps.find_move_target (task->deps.context, task->cell, needs);
}

static guint
choose_cell (void *context, const struct iv_move_needs *needs, double draw)
{
  struct iv_cell_task *task = context;
  guint chosen = task->deps.choose_cell (task->deps.context, task->cell, needs, draw);
  iv_counter_add (iv_counter_get ("ibisvane_cells_chosen_total",
                                  chosen == task->cell ? "choice=\"own\"" : "choice=\"other\"",
                                  "Cells chosen for new batch jobs."),
                  1);
  return chosen;
}

static gint
find_delegate (void *context, const char *service, const ivj_step *step)
{
  struct iv_cell_task *task = context;
  if (!task->deps.settings->delegate)
    return -1;
  return task->deps.find_delegate (task->deps.context, task->cell, service, step);
}

static guint
count_elsewhere (void *context, const struct iv_piece *need)
{
  struct iv_cell_task *task = context;
  return task->deps.count_elsewhere (task->deps.context, task->cell, need);
}

/* Other cells may apply a lower cap by now, and run up to it. */
static gboolean
is_config_outdated (const struct iv_cell_task *task)
{
  return iv_stream_age_ms (task->deps.operators) >= task->deps.settings->contact_ms;
}

static void
get_workspace_limit (void *context, const char *workspace, struct iv_workspace_limit *limit)
{
  struct iv_cell_task *task = context;
  iv_cap_task_limit (task->caps, workspace, limit, iv_cell_task_now_ms (task));
  if (!limit->limited || !is_config_outdated (task))
    return;
  limit->max = (struct iv_resources){ 0 };
  limit->may_exceed_by_one = FALSE;
}

static double
get_workspace_weight (void *context, const char *workspace)
{
  struct iv_cell_task *task = context;
  const struct iv_routes *routes = task->deps.routes (task->deps.context);
  const struct iv_workspace *found
      = routes && routes->workspaces ? iv_workspaces_find (routes->workspaces, workspace) : NULL;
  return found ? found->weight : 0;
}

static void
configure_caps (struct iv_cell_task *task)
{
  const struct iv_routes *routes = task->deps.routes (task->deps.context);
  if (routes)
    iv_cap_task_configure (task->caps, routes->workspaces, routes->version,
                           iv_cell_task_now_ms (task));
}

/* Nothing starts with an outdated configuration: room that is asked for would stay unused. */
static void
clear_wanted (GArray *demand)
{
  static const struct iv_resources none = { 0 };
  for (guint i = 0; i < demand->len; i++)
    g_array_index (demand, struct iv_workspace_demand, i).wanted = none;
}

/* The demand is that of this moment: what a cell gives, it neither runs nor starts any more. */
static void
step_caps (struct iv_cell_task *task)
{
  gboolean was_outdated = task->caps_outdated;
  GArray *demand;
  if (!iv_cap_task_is_due (task->caps, iv_cell_task_now_ms (task)))
    return;
  task->caps_outdated = is_config_outdated (task);
  demand = iv_owner_workspace_demand (task->owner);
  if (task->caps_outdated)
    clear_wanted (demand);
  if (iv_cap_task_step (task->caps, demand, task->recorder, iv_cell_task_now_ms (task))
      || (was_outdated && !task->caps_outdated))
    {
      iv_owner_config_changed (task->owner);
      schedule_step (task, 0);
    }
  g_clear_pointer (&demand, g_array_unref);
}

static void
on_caps_fenced (void *context)
{
  iv_cell_task_end_ownership (context, "fenced_in_stream");
}

/* A job being moved to another cell. It stays in this cell when the move could not be stored. */
struct job_move
{
  struct iv_cell_task *task;
  gint64 term;
  char id[IV_JOB_ID_LEN + 1];
};

static void
on_move_stored (void *context, enum iv_status status, gint64 end)
{
  struct job_move *move = context;
  struct iv_cell_task *task = move->task;
  struct iv_job_entry *job = iv_job_table_find (task->deps.job_table, move->id);
  if (status == IV_ERR_UNAVAILABLE && job && task->owner && task->term == move->term)
    iv_owner_move_failed (task->owner, job, iv_cell_task_now_ms (task));
  g_free (move);
}

static void
move_job (void *context, const struct iv_job_entry *job, guint cell)
{
  struct iv_cell_task *task = context;
  struct job_move *move = g_new0 (struct job_move, 1);
  char key[IV_JOB_ID_LEN + 8];
  char value[16];
  move->task = task;
  move->term = task->term;
  g_strlcpy (move->id, job->id, sizeof move->id);
  g_snprintf (key, sizeof key, "%s" IV_KEY_MOVE, job->id);
  g_snprintf (value, sizeof value, "%u", cell);
  iv_recorder_add (task->recorder, key, value, strlen (value), on_move_stored, move);
}

/* A delegation record being appended. The task stays in this cell when it could not be stored. */
struct delegation_record
{
  struct iv_cell_task *task;
  gint64 term;
  char id[IV_JOB_ID_LEN + 1];
  struct iv_delegation delegation;
};

static void
on_delegation_stored (void *context, enum iv_status status, gint64 end)
{
  struct delegation_record *record = context;
  struct iv_cell_task *task = record->task;
  struct iv_job_entry *job = iv_job_table_find (task->deps.job_table, record->id);
  if (task->owner && task->term == record->term)
    {
      if (status == IV_ERR_STALE)
        iv_cell_task_end_ownership (task, "fenced_in_stream");
      else if (status == IV_ERR_UNAVAILABLE && job)
        iv_owner_delegation_failed (task->owner, job, &record->delegation);
    }
  g_free (record);
}

static void
record_delegation (void *context, const struct iv_job_entry *job,
                   const struct iv_delegation *delegation)
{
  struct iv_cell_task *task = context;
  struct delegation_record *record = g_new0 (struct delegation_record, 1);
  char *key = iv_delegation_format_key (job->id, delegation);
  char *value = iv_delegation_format_value (delegation);
  record->task = task;
  record->term = task->term;
  record->delegation = *delegation;
  g_strlcpy (record->id, job->id, sizeof record->id);
  iv_recorder_add (task->recorder, key, value, strlen (value), on_delegation_stored, record);
  g_free (value);
  g_free (key);
}

/* A batch of progress records. Once it is stored, workers may discard the ends that it covers. */
struct progress_batch
{
  struct iv_cell_task *task;
  gint64 term;
  guint64 number; /* for iv_owner_records_stored() */
};

static void
on_progress_batch_stored (void *context, enum iv_status status, gint64 end)
{
  struct progress_batch *batch = context;
  struct iv_cell_task *task = batch->task;
  if (task->owner && task->term == batch->term)
    {
      task->progress_appends--;
      if (status == IV_OK)
        iv_owner_records_stored (task->owner, batch->number);
      else if (status == IV_ERR_STALE)
        iv_cell_task_end_ownership (task, "fenced_in_stream");
    }
  g_free (batch);
}

/* The records of a job being appended. They are collected again, with the newest state, if they
   could not be stored. */
struct job_record
{
  struct iv_cell_task *task;
  gint64 term;
  char id[IV_JOB_ID_LEN + 1];
};

static void
on_job_record_stored (void *context, enum iv_status status, gint64 end)
{
  struct job_record *record = context;
  struct iv_cell_task *task = record->task;
  struct iv_job_entry *job;
  if (status == IV_ERR_UNAVAILABLE && task->owner && task->term == record->term)
    {
      job = iv_job_table_find (task->deps.job_table, record->id);
      if (job)
        iv_owner_record_failed (task->owner, job, FALSE);
    }
  g_free (record);
}

static void
append_job_record (void *context, const char *key, const GByteArray *value)
{
  struct iv_cell_task *task = context;
  struct job_record *record = g_new0 (struct job_record, 1);
  record->task = task;
  record->term = task->term;
  g_strlcpy (record->id, key, sizeof record->id);
  iv_recorder_add (task->recorder, key, value->data, value->len, on_job_record_stored, record);
}

static void
record_progress (struct iv_cell_task *task)
{
  GPtrArray *jobs;
  struct progress_batch *batch;
  guint64 number;
  guint encoded = 0;
  if (task->progress_appends > 0 || !iv_owner_has_unrecorded (task->owner))
    return;
  jobs = iv_owner_collect_unrecorded (task->owner, &number);
  for (guint i = 0; i < jobs->len; i++)
    encoded += iv_owner_encode_records (task->owner, g_ptr_array_index (jobs, i), append_job_record,
                                        task);
  g_ptr_array_free (jobs, TRUE);
  if (encoded == 0)
    {
      iv_owner_records_stored (task->owner, number);
      return;
    }
  batch = g_new0 (struct progress_batch, 1);
  batch->task = task;
  batch->term = task->term;
  batch->number = number;
  task->progress_appends++;
  iv_recorder_add (task->recorder, NULL, NULL, 0, on_progress_batch_stored, batch);
}

static void
add_cell_record (struct iv_cell_task *task, const char *prefix, const void *value, gsize len)
{
  char key[32];
  g_snprintf (key, sizeof key, "%s%u", prefix, task->cell);
  iv_recorder_add (task->recorder, key, value, len, NULL, NULL);
}

/* The outcome of a roster. */
struct roster_record
{
  struct iv_cell_task *task;
  gint64 term;
};

static void
on_roster_stored (void *context, enum iv_status status, gint64 end)
{
  struct roster_record *record = context;
  if (record->task->owner && record->task->term == record->term)
    {
      if (status == IV_ERR_STALE)
        iv_cell_task_end_ownership (record->task, "fenced_in_stream");
      else
        iv_owner_roster_stored (record->task->owner, status == IV_OK);
    }
  g_free (record);
}

static void
record_roster (struct iv_cell_task *task)
{
  GByteArray *bytes = iv_owner_collect_roster (task->owner, iv_cell_task_now_ms (task));
  struct roster_record *record;
  char key[32];
  if (bytes == NULL)
    return;
  record = g_new (struct roster_record, 1);
  *record = (struct roster_record){ task, task->term };
  g_snprintf (key, sizeof key, "%s%u", IV_KEY_ROSTER, task->cell);
  iv_recorder_add (task->recorder, key, bytes->data, bytes->len, on_roster_stored, record);
  g_byte_array_free (bytes, TRUE);
}

/* The model and the load are queued just before progress records, so that they share an append. */
static void
record_model (struct iv_cell_task *task)
{
  GByteArray *bytes;
  if (iv_cell_task_now_ms (task) < task->next_model_ms
      || iv_recorder_append_pending (task->recorder))
    return;
  task->next_model_ms = iv_cell_task_now_ms (task) + MODEL_INTERVAL_MS;
  bytes = iv_owner_save_model (task->owner, iv_cell_task_now_ms (task));
  if (bytes == NULL)
    return;
  add_cell_record (task, IV_KEY_MODEL, bytes->data, bytes->len);
  g_byte_array_free (bytes, TRUE);
}

static void
record_load (struct iv_cell_task *task)
{
  struct iv_cell_capacity capacity;
  GPtrArray *offers = NULL;
  GArray *pieces;
  char *value;
  if (iv_cell_task_now_ms (task) < task->next_load_ms
      || iv_recorder_append_pending (task->recorder))
    return;
  if (!iv_owner_free_capacity (task->owner, &capacity))
    return;
  task->next_load_ms = iv_cell_task_now_ms (task) + LOAD_INTERVAL_MS;
  pieces = iv_owner_free_pieces (task->owner);
  if (iv_layout_cells (task->deps.layout (task->deps.context)) > 1)
    offers = iv_owner_offers (task->owner);
  value = iv_cell_loads_format (&capacity, pieces, offers);
  add_cell_record (task, IV_KEY_LOAD, value, strlen (value));
  g_array_unref (pieces);
  g_clear_pointer (&offers, g_ptr_array_unref);
  g_free (value);
}

static struct iv_confirmation
get_confirmation (const struct iv_cell_task *task)
{
  const struct iv_membership *membership = task->deps.membership;
  return (struct iv_confirmation){ iv_membership_unconfirmed_ms (membership),
                                   iv_membership_member_ms (membership),
                                   iv_stream_age_ms (task->deps.jobs),
                                   task->deps.settings->member_ttl_ms };
}

/* Whether the owner may act. Suspending it, rather than ending its ownership, spares the cell a new
   owner when the store returns before another host has claimed the cell. */
static gboolean
update_suspension (struct iv_cell_task *task, const struct iv_confirmation *confirmation)
{
  const struct iv_fleet_settings *settings = task->deps.settings;
  const struct iv_confirmation_limits limits
      = { settings->owner_timeout_ms, settings->owner_partition_timeout_ms };
  gboolean suspended = task->suspended_since_ms > 0;
  gboolean partitioned
      = iv_confirmation_age_ms (confirmation) > settings->owner_partition_timeout_ms
        && iv_owner_is_partitioned (task->owner);
  gboolean permitted = iv_confirmation_permits (confirmation, &limits, suspended, partitioned);
  if (suspended == !permitted)
    return permitted;
  if (permitted)
    iv_event (IV_LEVEL_INFO, "owner.resumed",
              "cell=%u term=%" G_GINT64_FORMAT " after_ms=%" G_GINT64_FORMAT, task->cell,
              task->term, iv_cell_task_now_ms (task) - task->suspended_since_ms);
  else
    iv_event (IV_LEVEL_WARNING, "owner.suspended",
              "cell=%u term=%" G_GINT64_FORMAT " confirmed_ago_ms=%" G_GINT64_FORMAT, task->cell,
              task->term, iv_confirmation_age_ms (confirmation));
  task->suspended_since_ms = permitted ? 0 : iv_cell_task_now_ms (task);
  if (!permitted)
    iv_owner_suspend (task->owner, iv_cell_task_now_ms (task));
  return permitted;
}

static void
on_step (void *context)
{
  struct iv_cell_task *task = context;
  gint64 now = iv_cell_task_now_ms (task);
  struct iv_owner_authority authority;
  struct iv_confirmation confirmation;
  if (task->owner == NULL)
    return;
  confirmation = get_confirmation (task);
  schedule_step (task, STEP_INTERVAL_MS);
  if (!update_suspension (task, &confirmation))
    return;
  authority.evidence_age_ms = iv_stream_age_ms (task->deps.operators);
  authority.valid_until_ms
      = now + task->deps.settings->owner_timeout_ms - iv_confirmation_age_ms (&confirmation);
  authority.confirmed = iv_confirmation_is_current (&confirmation);
  iv_owner_tick (task->owner, &authority, now, iv_clock_wall_ms ());
  if (iv_owner_is_deposed (task->owner))
    {
      iv_cell_task_end_ownership (task, "fenced_by_worker");
      return;
    }
  step_caps (task);
  record_roster (task);
  record_model (task);
  record_load (task);
  record_progress (task);
}

static void
on_worker (void *context, const char *key, const guint8 *value, gsize len)
{
  struct iv_cell_task *task = context;
  const struct iv_routes *routes = task->deps.routes (task->deps.context);
  const struct iv_layout *layout = task->deps.layout (task->deps.context);
  struct iv_wire_worker worker;
  if (task->owner == NULL)
    return;
  if (value == NULL)
    {
      iv_owner_worker_unlisted (task->owner, key, iv_cell_task_now_ms (task));
      return;
    }
  if (iv_wire_parse_worker (key, value, len, &worker) != IV_OK)
    {
      iv_event (IV_LEVEL_WARNING, "worker.ignored", "worker=%s reason=%s", iv_quote (key),
                iv_quote (iv_last_message ()));
      return;
    }
  if (iv_layout_worker_cell (layout, worker.listed.rack) != task->cell)
    {
      iv_wire_worker_clear (&worker);
      return;
    }
  if (routes == NULL || iv_routes_has_service (routes, worker.listed.service))
    iv_owner_worker_listed (task->owner, &worker.listed, iv_cell_task_now_ms (task));
  else
    iv_event (IV_LEVEL_WARNING, "worker.ignored", "worker=%s reason=unknown_service",
              iv_quote (key));
  iv_wire_worker_clear (&worker);
  schedule_step (task, 0);
}

static void
on_workers_loaded (void *context)
{
  struct iv_cell_task *task = context;
  if (task->owner)
    iv_owner_worker_list_loaded (task->owner);
  schedule_step (task, 0);
}

void
iv_cell_task_begin_ownership (struct iv_cell_task *task)
{
  const struct iv_layout *layout = task->deps.layout (task->deps.context);
  const struct iv_fleet_settings *settings = task->deps.settings;
  struct iv_owner_limits limits
      = { .lease_ms = settings->lease_ms,
          .lease_max_ms = settings->lease_max_ms,
          .start_ms = settings->start_window_ms,
          .horizon_ms = settings->horizon_ms,
          .evidence_max_age_ms = settings->evidence_max_age_ms,
          .harm_ms = settings->harm_ms,
          .far_factor_milli = settings->far_factor_milli,
          .gang_wait_ms = settings->gang_wait_ms,
          .learn_lengths = settings->learn_lengths != 0,
          .capacity_max_age_ms = (settings->contact_ms + settings->heartbeat_ms)
                                 * (100 - IV_WORKER_CLOCK_SLOW_PERCENT) / 100,
          .spare_rack = iv_layout_cells (layout) > 1 };
  struct iv_owner_effects effects = { .context = task,
                                      .start = send_start,
                                      .start_credit = start_credit,
                                      .stop = send_stop,
                                      .poll = send_poll,
                                      .throttle = send_pace,
                                      .advise = send_advice_query,
                                      .queue = get_queue_policy,
                                      .is_domain_in_service = is_domain_in_service,
                                      .owns_job = owns_job,
                                      .cell = (gint)task->cell,
                                      .find_move_target = find_move_target,
                                      .choose_cell = settings->choose_cell ? choose_cell : NULL,
                                      .find_delegate = find_delegate,
                                      .record_delegation = record_delegation,
                                      .count_elsewhere = count_elsewhere,
                                      .move_job = move_job,
                                      .workspace_limit = get_workspace_limit,
                                      .workspace_weight = get_workspace_weight };
  static const struct iv_recorder_times recorder_times = { .batch_delay = RECORD_BATCH_DELAY_MS };
  struct iv_worker_reply_handlers callbacks
      = { task, on_start_replied, on_stop_replied, on_poll_replied, on_advice_replied };
  struct iv_stream_options options = { .topic = IV_TOPIC_WORKERS,
                                       .wait_ms = WORKERS_WAIT_MS,
                                       .read_delay_ms = WORKERS_READ_DELAY_MS,
                                       .apply = on_worker,
                                       .loaded = on_workers_loaded,
                                       .context = task };
  task->claiming = FALSE;
  task->term = task->claim_term;
  task->owned_since_ms = iv_cell_task_now_ms (task);
  iv_event (IV_LEVEL_INFO, "owner.gained", "cell=%u term=%" G_GINT64_FORMAT, task->cell,
            task->term);
  /* What an owner that is not heard from has running ends at the latest when it has stopped for
     lack of a confirmation and its last leases have ended, which are counted with a margin. */
  iv_cap_task_begin (task->caps, iv_layout_cells (layout),
                     settings->owner_timeout_ms + settings->lease_max_ms * 102 / 100);
  configure_caps (task);
  task->owner = iv_owner_new (task->deps.job_table, task->term, &limits, &effects,
                              iv_cell_task_now_ms (task), iv_clock_wall_ms ());
  if (task->roster)
    iv_owner_load_roster (task->owner, task->roster->data, task->roster->len,
                          iv_cell_task_now_ms (task));
  else if (task->replaced_term > 0)
    iv_owner_load_roster (task->owner, NULL, 0, iv_cell_task_now_ms (task));
  if (task->previous_ended)
    iv_owner_previous_ended (task->owner, task->owned_since_ms, task->replaced_claim_ms);
  if (task->handover && g_ascii_strtoll (task->handover[0], NULL, 10) == task->replaced_term)
    iv_owner_apply_handover (task->owner, task->handover + 1);
  if (task->model)
    iv_owner_load_model (task->owner, task->model->data, task->model->len,
                         iv_cell_task_now_ms (task));
  task->next_model_ms = iv_cell_task_now_ms (task) + MODEL_INTERVAL_MS;
  task->calls = iv_worker_calls_new (task->deps.workers, task->deps.loop, task->deps.worker_limits,
                                     &callbacks);
  task->recorder = iv_recorder_new (task->deps.loop, task->deps.deadlines, task->deps.store,
                                    IV_TOPIC_JOBS, task->writer, task->term, &recorder_times);
  iv_recorder_set_sequence (task->recorder, task->claim_sequence + 1);
  task->workers = iv_stream_new (task->deps.loop, task->deps.deadlines, task->deps.store, &options);
  iv_stream_set_read_delay (
      task->deps.jobs,
      MIN (JOBS_READ_DELAY_OWNER_MS * iv_layout_cells (layout), JOBS_READ_DELAY_OWNER_MAX_MS));
  schedule_step (task, 0);
}

struct iv_cell_task *
iv_cell_task_new (const struct iv_cell_task_deps *deps, guint cell)
{
  struct iv_cell_task *task = g_new0 (struct iv_cell_task, 1);
  task->deps = *deps;
  task->cell = cell;
  task->writer = g_strdup_printf ("owner%u", cell);
  task->current_owner = g_strdup ("");
  task->caps = iv_cap_task_new (deps->caps, cell, on_caps_fenced, task);
  task->step.fire = on_step;
  task->step.context = task;
  return task;
}

void
iv_cell_task_changed (struct iv_cell_task *task, struct iv_job_entry *job)
{
  if (task == NULL || task->owner == NULL)
    return;
  if (job)
    iv_owner_job_changed (task->owner, job, iv_cell_task_now_ms (task));
  else
    {
      configure_caps (task);
      iv_owner_config_changed (task->owner);
    }
  schedule_step (task, 0);
}

static void
replace_bytes (GByteArray **bytes, const guint8 *value, gsize len)
{
  if (*bytes)
    g_byte_array_free (*bytes, TRUE);
  *bytes = g_byte_array_new ();
  g_byte_array_append (*bytes, value, (guint)len);
}

void
iv_cell_task_apply_model (struct iv_cell_task *task, guint cell, const guint8 *value, gsize len)
{
  if (cell != task->cell)
    {
      /* Images are the same in every cell, so estimates of other cells are valid here. */
      if (task->owner)
        iv_owner_load_model (task->owner, value, len, iv_cell_task_now_ms (task));
      return;
    }
  replace_bytes (&task->model, value, len);
}

void
iv_cell_task_apply_roster (struct iv_cell_task *task, const guint8 *value, gsize len)
{
  replace_bytes (&task->roster, value, len);
}

gboolean
iv_cell_task_owns (const struct iv_cell_task *task)
{
  return task->owner != NULL;
}

gboolean
iv_cell_task_is_suspended (const struct iv_cell_task *task)
{
  return task->suspended_since_ms > 0;
}

gint64
iv_cell_task_owned_ms (const struct iv_cell_task *task)
{
  return task->owner ? iv_cell_task_now_ms (task) - task->owned_since_ms : 0;
}
