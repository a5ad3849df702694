#include "cell_private.h"

#include "clock.h"
#include "event.h"
#include "names.h"

#include <string.h>

#define STEP_EVERY_MS 25
#define RECORD_GATHER_MS 20
#define MODEL_EVERY_MS 2000
#define LOAD_EVERY_MS 500 /* other cells send jobs by it, hosts refuse jobs by it */
#define WORKERS_GAP_MS 250
#define WORKERS_WAIT_MS 1000
#define WORKERS_HISTORY 12 /* workers write about every second: longer than the horizon */
#define JOBS_GAP_OWNER_MS                                                                          \
  10 /* the owner learns of new jobs by reading; for each cell, as reads are priced */
#define JOBS_GAP_OWNER_MAX_MS 40
#define JOBS_GAP_OTHER_MS 500

gint64
iv_cell_now (const struct iv_cell_task *task)
{
  return (gint64)uv_now (task->links.loop);
}

void
iv_cell_frame (const struct iv_cell_task *task, GByteArray *body, const char *prefix,
               const void *value, gsize len)
{
  char key[32];
  g_snprintf (key, sizeof key, "%s%u", prefix, task->cell);
  iv_store_frame (body, key, value, len);
}

static void
step_after (struct iv_cell_task *task, gint64 delay_ms)
{
  gint64 at = iv_cell_now (task) + delay_ms;
  if (!task->step.set || task->step.at_ms > at)
    iv_deadline_set (task->links.deadlines, &task->step, at);
}

void
iv_cell_lose (struct iv_cell_task *task, const char *reason)
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
  iv_stream_close (task->workers);
  task->calls = NULL;
  task->recorder = NULL;
  task->workers = NULL;
  task->recording = 0;
  iv_deadline_unset (task->links.deadlines, &task->step);
  iv_stream_set_gap (task->links.jobs, JOBS_GAP_OTHER_MS);
}

static void
on_started (void *context, guint32 worker, const struct iv_task_name *name, gint64 number,
            enum iv_command_outcome outcome, gint64 clock)
{
  struct iv_cell_task *task = context;
  iv_owner_start_replied (task->owner, worker, name, number, outcome, clock, iv_cell_now (task));
  step_after (task, 0);
}

static void
on_stopped (void *context, guint32 worker, const struct iv_task_name *name, gint64 number,
            enum iv_command_outcome outcome, gint64 clock)
{
  struct iv_cell_task *task = context;
  iv_owner_stop_replied (task->owner, worker, name, number, outcome, clock, iv_cell_now (task));
  step_after (task, 0);
}

static void
on_looked (void *context, guint32 worker, enum iv_command_outcome outcome,
           const struct iv_poll_reply *poll)
{
  struct iv_cell_task *task = context;
  iv_owner_poll_replied (task->owner, worker, outcome, poll, iv_cell_now (task));
  step_after (task, 0);
}

static void
on_advised (void *context, const struct iv_advice_reply *answer)
{
  struct iv_cell_task *task = context;
  iv_owner_advice_replied (task->owner, answer, iv_cell_now (task));
  step_after (task, 0);
}

/* Without a service nobody may run the step: asked again, it stays so. */
static void
send_question (void *context, const struct iv_task_name *name, const GPtrArray *workers)
{
  struct iv_cell_task *task = context;
  if (task->links.settings->advice)
    iv_worker_advise (task->calls, task->links.settings->advice, name, workers);
}

static void
send_start (void *context, const struct iv_fleet_worker *worker,
            const struct iv_start_command *order)
{
  iv_worker_start (((struct iv_cell_task *)context)->calls, worker, order);
}

static void
send_stop (void *context, const struct iv_fleet_worker *worker, const struct iv_task_name *name,
           gint64 number)
{
  iv_worker_stop (((struct iv_cell_task *)context)->calls, worker, name, number);
}

static void
send_look (void *context, const struct iv_fleet_worker *worker, gint64 lease_clock, gint64 wait_ms)
{
  iv_worker_look (((struct iv_cell_task *)context)->calls, worker, lease_clock, wait_ms);
}

static void
send_pace (void *context, const struct iv_fleet_worker *worker, const struct iv_task_name *name,
           gint64 number, guint percent)
{
  iv_worker_pace (((struct iv_cell_task *)context)->calls, worker, name, number, percent);
}

static gboolean
queue_rule (void *context, const char *host, const char *prefix, struct iv_queue_policy *rule)
{
  struct iv_cell_task *task = context;
  const struct iv_routes *routes = task->links.routes (task->links.context);
  const struct iv_route *route = routes ? iv_routes_find (routes, host, prefix) : NULL;
  if (route == NULL)
    return FALSE;
  rule->service = route->service;
  rule->priority = route->priority;
  rule->attempts = (guint)MAX (route->attempts, 1);
  rule->stretch = route->stretch;
  rule->objective_ms = route->objective_ms;
  rule->advised = route->advised;
  return TRUE;
}

static gboolean
is_domain_in_service (void *context, const char *domain)
{
  struct iv_cell_task *task = context;
  return task->links.is_domain_in_service (task->links.context, domain);
}

static gboolean
owns_job (void *context, const struct iv_job_entry *job)
{
  struct iv_cell_task *task = context;
  const struct iv_layout *layout = task->links.layout (task->links.context);
  return layout && iv_layout_job_cell (layout, job) == task->cell;
}

static gint
find_move_target (void *context, gint64 cpu_milli, enum iv_capacity_kind kind)
{
  struct iv_cell_task *task = context;
  return task->links.find_move_target (task->links.context, task->cell, cpu_milli, kind);
}

/* A job that leaves for another cell: it is ours again when that could not be stored. */
struct moving
{
  struct iv_cell_task *task;
  gint64 term;
  char id[IV_JOB_ID_LEN + 1];
};

static void
on_moved (void *context, enum iv_status status, gint64 end)
{
  struct moving *moving = context;
  struct iv_cell_task *task = moving->task;
  struct iv_job_entry *job = iv_job_table_find (task->links.job_table, moving->id);
  if (status == IV_ERR_UNAVAILABLE && job && task->owner && task->term == moving->term)
    iv_owner_move_failed (task->owner, job, iv_cell_now (task));
  g_free (moving);
}

static void
move_job (void *context, const struct iv_job_entry *job, guint cell)
{
  struct iv_cell_task *task = context;
  struct moving *moving = g_new0 (struct moving, 1);
  char key[IV_JOB_ID_LEN + 8];
  char value[16];
  moving->task = task;
  moving->term = task->term;
  g_strlcpy (moving->id, job->id, sizeof moving->id);
  g_snprintf (key, sizeof key, "%s" IV_KEY_MOVE, job->id);
  g_snprintf (value, sizeof value, "%u", cell);
  iv_recorder_add (task->recorder, key, value, strlen (value), on_moved, moving);
}

/* A group of records is stored: ends may be forgotten by their workers. */
struct recording
{
  struct iv_cell_task *task;
  gint64 term;
  guint64 upto;
};

static void
on_recorded (void *context, enum iv_status status, gint64 end)
{
  struct recording *recording = context;
  struct iv_cell_task *task = recording->task;
  if (task->owner && task->term == recording->term)
    {
      task->recording--;
      if (status == IV_OK)
        iv_owner_records_stored (task->owner, recording->upto);
      else if (status == IV_ERR_STALE)
        iv_cell_lose (task, "fenced_in_stream");
    }
  g_free (recording);
}

/* The state that is appended is the newest; a record that was refused is offered again. */
struct progress
{
  struct iv_cell_task *task;
  gint64 term;
  char id[IV_JOB_ID_LEN + 1];
  GByteArray *bytes;
};

static void
on_progress (void *context, enum iv_status status, gint64 end)
{
  struct progress *progress = context;
  struct iv_cell_task *task = progress->task;
  struct iv_job_entry *job;
  if (status == IV_ERR_UNAVAILABLE && task->owner && task->term == progress->term)
    {
      job = iv_job_table_find (task->links.job_table, progress->id);
      if (job)
        iv_owner_requeue_record (task->owner, job);
    }
  g_free (progress);
}

static void
record (struct iv_cell_task *task)
{
  GPtrArray *jobs;
  struct recording *recording;
  guint64 upto;
  if (task->recording > 0 || !iv_owner_has_unrecorded (task->owner))
    return;
  jobs = iv_owner_collect_unrecorded (task->owner, &upto);
  for (guint i = 0; i < jobs->len; i++)
    {
      const struct iv_job_entry *job = g_ptr_array_index (jobs, i);
      GByteArray *bytes = iv_owner_encode_progress (job);
      struct progress *progress;
      char key[IV_JOB_ID_LEN + 8];
      if (bytes == NULL)
        {
          iv_event (IV_LEVEL_ERROR, "record.too_large", "job=%s", job->id);
          continue;
        }
      progress = g_new0 (struct progress, 1);
      progress->task = task;
      progress->term = task->term;
      g_strlcpy (progress->id, job->id, sizeof progress->id);
      g_snprintf (key, sizeof key, "%s" IV_KEY_PROGRESS, job->id);
      iv_recorder_add (task->recorder, key, bytes->data, bytes->len, on_progress, progress);
      g_byte_array_free (bytes, TRUE);
    }
  recording = g_new0 (struct recording, 1);
  recording->task = task;
  recording->term = task->term;
  recording->upto = upto;
  if (jobs->len == 0)
    {
      iv_owner_records_stored (task->owner, upto);
      g_free (recording);
    }
  else
    {
      task->recording++;
      iv_recorder_add (task->recorder, NULL, NULL, 0, on_recorded, recording);
    }
  g_ptr_array_free (jobs, TRUE);
}

static void
record_for_cell (struct iv_cell_task *task, const char *prefix, const void *value, gsize len)
{
  char key[32];
  g_snprintf (key, sizeof key, "%s%u", prefix, task->cell);
  iv_recorder_add (task->recorder, key, value, len, NULL, NULL);
}

/* Ride on the appends of progress. */
static void
record_model (struct iv_cell_task *task)
{
  GByteArray *bytes;
  if (iv_cell_now (task) < task->model_at_ms || iv_recorder_busy (task->recorder))
    return;
  task->model_at_ms = iv_cell_now (task) + MODEL_EVERY_MS;
  bytes = iv_owner_save_model (task->owner, iv_cell_now (task));
  if (bytes == NULL)
    return;
  record_for_cell (task, IV_KEY_MODEL, bytes->data, bytes->len);
  g_byte_array_free (bytes, TRUE);
}

static void
record_load (struct iv_cell_task *task)
{
  struct iv_cell_capacity room;
  char value[96];
  if (iv_cell_now (task) < task->load_at_ms || iv_recorder_busy (task->recorder))
    return;
  if (!iv_owner_free_capacity (task->owner, &room))
    return;
  task->load_at_ms = iv_cell_now (task) + LOAD_EVERY_MS;
  g_snprintf (value, sizeof value, "%" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
              room.free_milli, room.best_effort_milli, room.long_running_milli);
  record_for_cell (task, IV_KEY_LOAD, value, strlen (value));
}

/* Without the store's word an owner goes on for a while, a shorter one when it may be cut off. */
static gboolean
held_too_long (const struct iv_cell_task *task)
{
  const struct iv_fleet_settings *settings = task->links.settings;
  gint64 unconfirmed = iv_membership_unconfirmed_ms (task->links.membership);
  if (unconfirmed <= settings->owner_partition_timeout_ms)
    return FALSE;
  return unconfirmed > settings->owner_timeout_ms || iv_owner_is_partitioned (task->owner);
}

static void
on_step (void *context)
{
  struct iv_cell_task *task = context;
  gint64 now = iv_cell_now (task);
  struct iv_owner_authority leave;
  if (task->owner == NULL)
    return;
  if (held_too_long (task))
    {
      iv_cell_lose (task, "unconfirmed");
      return;
    }
  leave.evidence_age_ms = iv_stream_age_ms (task->links.operators);
  leave.confirmed
      = iv_membership_unconfirmed_ms (task->links.membership) < task->links.settings->member_ttl_ms;
  iv_owner_tick (task->owner, &leave, now, iv_clock_wall_ms ());
  if (iv_owner_is_deposed (task->owner))
    {
      iv_cell_lose (task, "fenced_by_worker");
      return;
    }
  record_model (task);
  record_load (task);
  record (task);
  if (task->owner)
    step_after (task, STEP_EVERY_MS);
}

static void
on_worker (void *context, const char *key, const guint8 *value, gsize len)
{
  struct iv_cell_task *task = context;
  const struct iv_routes *routes = task->links.routes (task->links.context);
  const struct iv_layout *layout = task->links.layout (task->links.context);
  struct iv_wire_worker worker;
  if (task->owner == NULL)
    return;
  if (value == NULL)
    {
      iv_owner_worker_unlisted (task->owner, key, iv_cell_now (task));
      return;
    }
  if (iv_wire_worker (key, value, len, &worker) != IV_OK)
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
  if (routes == NULL || iv_routes_name_service (routes, worker.listed.service))
    iv_owner_worker_listed (task->owner, &worker.listed, iv_cell_now (task));
  else
    iv_event (IV_LEVEL_WARNING, "worker.ignored", "worker=%s reason=unknown_service",
              iv_quote (key));
  iv_wire_worker_clear (&worker);
  step_after (task, 0);
}

static void
on_workers_loaded (void *context)
{
  struct iv_cell_task *task = context;
  if (task->owner)
    iv_owner_worker_list_loaded (task->owner);
  step_after (task, 0);
}

void
iv_cell_begin (struct iv_cell_task *task)
{
  const struct iv_layout *layout = task->links.layout (task->links.context);
  const struct iv_fleet_settings *settings = task->links.settings;
  struct iv_owner_limits limits = { .lease_ms = settings->lease_ms,
                                    .start_ms = settings->start_window_ms,
                                    .horizon_ms = settings->horizon_ms,
                                    .evidence_max_age_ms = settings->evidence_max_age_ms,
                                    .spare_rack = iv_layout_cells (layout) > 1 };
  struct iv_owner_effects effects = { .context = task,
                                      .start = send_start,
                                      .stop = send_stop,
                                      .poll = send_look,
                                      .throttle = send_pace,
                                      .advise = send_question,
                                      .queue = queue_rule,
                                      .is_domain_in_service = is_domain_in_service,
                                      .owns_job = owns_job,
                                      .find_move_target = find_move_target,
                                      .move_job = move_job };
  struct iv_worker_answers answers = { task, on_started, on_stopped, on_looked, on_advised };
  struct iv_stream_options options = { .topic = IV_TOPIC_WORKERS,
                                       .wait_ms = WORKERS_WAIT_MS,
                                       .gap_ms = WORKERS_GAP_MS,
                                       .history = WORKERS_HISTORY,
                                       .fold = on_worker,
                                       .loaded = on_workers_loaded,
                                       .context = task };
  task->claiming = FALSE;
  task->term = task->claim_term;
  task->since_ms = iv_cell_now (task);
  iv_event (IV_LEVEL_INFO, "owner.gained", "cell=%u term=%" G_GINT64_FORMAT, task->cell,
            task->term);
  task->owner = iv_owner_new (task->links.job_table, task->term, &limits, &effects,
                              iv_cell_now (task), iv_clock_wall_ms ());
  if (task->handover && g_ascii_strtoll (task->handover[0], NULL, 10) == task->replaced_term)
    iv_owner_apply_handover (task->owner, task->handover + 1);
  if (task->model)
    iv_owner_load_model (task->owner, task->model->data, task->model->len, iv_cell_now (task));
  task->model_at_ms = iv_cell_now (task) + MODEL_EVERY_MS;
  task->calls = iv_worker_calls_new (task->links.workers, task->links.loop, task->term, &answers);
  task->recorder = iv_recorder_new (task->links.loop, task->links.deadlines, task->links.store,
                                    IV_TOPIC_JOBS, task->writer, task->term, RECORD_GATHER_MS, 0);
  iv_recorder_set_sequence (task->recorder, task->sequence + 1);
  task->workers
      = iv_stream_new (task->links.loop, task->links.deadlines, task->links.store, &options);
  iv_stream_set_gap (task->links.jobs,
                     MIN (JOBS_GAP_OWNER_MS * iv_layout_cells (layout), JOBS_GAP_OWNER_MAX_MS));
  step_after (task, 0);
}

struct iv_cell_task *
iv_cell_task_new (const struct iv_cell_links *links, guint cell)
{
  struct iv_cell_task *task = g_new0 (struct iv_cell_task, 1);
  task->links = *links;
  task->cell = cell;
  task->writer = g_strdup_printf ("owner%u", cell);
  task->incumbent = g_strdup ("");
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
    iv_owner_job_changed (task->owner, job, iv_cell_now (task));
  else
    iv_owner_config_changed (task->owner);
  step_after (task, 0);
}

void
iv_cell_task_model (struct iv_cell_task *task, guint cell, const guint8 *value, gsize len)
{
  if (cell != task->cell)
    {
      /* Images are the same in every cell. */
      if (task->owner)
        iv_owner_load_model (task->owner, value, len, iv_cell_now (task));
      return;
    }
  if (task->model)
    g_byte_array_free (task->model, TRUE);
  task->model = g_byte_array_new ();
  g_byte_array_append (task->model, value, (guint)len);
}

gboolean
iv_cell_task_owns (const struct iv_cell_task *task)
{
  return task->owner != NULL;
}

gint64
iv_cell_task_owned_ms (const struct iv_cell_task *task)
{
  return task->owner ? iv_cell_now (task) - task->since_ms : 0;
}
