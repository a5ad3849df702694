#include "bench_fleet.h"

#include <string.h>

#define TICK_MS 10           /* of simulated time */
#define CALL_LATENCY_MS 4    /* from a call to its reply */
#define ADVICE_LATENCY_MS 50 /* from an advice query to its reply */
#define CALL_TIMEOUT_MS 800
#define HEARTBEAT_MS 1000 /* from the start of an instance to the reading of its entry */

enum call_kind
{
  CALL_START,
  CALL_STOP,
  CALL_POLL
};

struct sim_call
{
  enum call_kind kind;
  gint64 term;
  guint worker;
  guint32 handle;
  struct iv_task_name name;
  gint64 number;
  gint64 until; /* start deadline on the clock of the worker */
  gboolean has_ticket;
  gint64 lease_end_clock_ms;
  gint64 acked_end;
  gint64 sent_ms;
  gint64 reply_ms;      /* when the reply arrives; a timeout arrives CALL_TIMEOUT_MS later */
  gint64 wait_until_ms; /* a poll without new ends gets its reply then */
  gint64 late_ms;       /* carried out this long after it was sent, without a reply */
  gboolean dropped;     /* its connection was reset before the worker handled it */
  gboolean done;        /* handled by the worker, or its timeout was delivered */
  enum iv_command_outcome outcome;
  gint64 clock;
  struct iv_poll_reply *poll;
};

static guint
index_of (const struct sim *sim, const char *id)
{
  for (guint i = 0; i < sim->count; i++)
    if (strcmp (sim->workers[i].id, id) == 0)
      return i;
  return 0;
}

static struct sim_call *
call_new (struct sim *sim, enum call_kind kind, const struct iv_fleet_worker *worker)
{
  struct sim_call *call = g_new0 (struct sim_call, 1);
  call->kind = kind;
  call->term = sim->term;
  call->worker = index_of (sim, worker->id);
  call->handle = worker->handle;
  call->sent_ms = sim->now_ms;
  call->reply_ms = sim->now_ms + CALL_LATENCY_MS;
  g_ptr_array_add (sim->calls, call);
  return call;
}

static void
on_start (void *context, const struct iv_fleet_worker *worker,
          const struct iv_start_command *command)
{
  struct sim *sim = context;
  struct sim_call *call = call_new (sim, CALL_START, worker);
  call->name = command->name;
  call->number = command->number;
  call->until = command->deadline_clock_ms;
  call->has_ticket = g_strcmp0 (command->ticket, worker->id) == 0;
  call->late_ms = sim->workers[call->worker].late_starts_ms;
  sim->start_calls++;
}

static void
on_stop (void *context, const struct iv_fleet_worker *worker, const struct iv_task_name *name,
         gint64 number)
{
  struct sim_call *call = call_new (context, CALL_STOP, worker);
  call->name = *name;
  call->number = number;
}

static void
on_poll (void *context, const struct iv_fleet_worker *worker, gint64 lease_end_clock_ms,
         gint64 wait_ms)
{
  struct sim *sim = context;
  struct sim_call *call = call_new (sim, CALL_POLL, worker);
  call->lease_end_clock_ms = lease_end_clock_ms;
  call->acked_end = worker->acked_end;
  call->wait_until_ms = sim->now_ms + wait_ms;
}

static void
on_throttle (void *context, const struct iv_fleet_worker *worker, const struct iv_task_name *name,
             gint64 number, guint percent)
{
  struct sim *sim = context;
  sim->throttle_calls++;
  sim->last_cpu_limit_percent = percent;
}

static void
on_advise (void *context, const struct iv_task_name *name, const GPtrArray *workers)
{
  struct sim *sim = context;
  sim->advice_queries++;
  sim->advice_reply_ms = sim->now_ms + ADVICE_LATENCY_MS;
  for (guint i = 0; i < workers->len; i++)
    g_ptr_array_add (
        sim->advice_worker_ids,
        g_strdup (((const struct iv_fleet_worker *)g_ptr_array_index (workers, i))->id));
}

static void
reply_to_advice_query (struct sim *sim)
{
  struct iv_allowed_worker allowed[SIM_WORKERS_MAX];
  struct iv_advice_reply reply = { .valid_ms = sim->ticket_valid_ms, .allowed = allowed };
  if (sim->advice_reply_ms == 0 || sim->now_ms < sim->advice_reply_ms)
    return;
  for (guint i = 0; i < sim->advice_worker_ids->len; i++)
    {
      const char *id = g_ptr_array_index (sim->advice_worker_ids, i);
      if (index_of (sim, id) % 2 == 1)
        allowed[reply.count++] = (struct iv_allowed_worker){ id, id };
    }
  sim->advice_reply_ms = 0;
  if (sim->owner)
    iv_owner_advice_replied (sim->owner, &reply, sim->now_ms);
  g_ptr_array_set_size (sim->advice_worker_ids, 0);
}

static gboolean
on_queue (void *context, const char *host, const char *prefix, struct iv_queue_policy *policy)
{
  struct sim *sim = context;
  *policy = (struct iv_queue_policy){ "service",      0, sim->attempts, 2.0, 1000, sim->advised,
                                      !sim->unguarded };
  return TRUE;
}

static gboolean
on_is_domain_in_service (void *context, const char *domain)
{
  return !(((struct sim *)context)->domain_a_out && strcmp (domain, "a") == 0);
}

static gboolean
is_same_task (const struct iv_task_name *a, const struct iv_task_name *b)
{
  return a->index == b->index && a->step == b->step && a->occurrence == b->occurrence
         && strcmp (a->job, b->job) == 0;
}

static void
end_run (struct sim_worker *worker, guint i, enum iv_end_reason reason)
{
  const struct sim_run *run = &g_array_index (worker->runs, struct sim_run, i);
  struct iv_listed_end end = {
    .sequence = ++worker->last_end, .name = run->name, .number = run->number, .reason = reason
  };
  g_array_append_val (worker->ends, end);
  g_array_remove_index (worker->runs, i);
}

static gboolean
is_in (const GArray *ends, const struct sim_call *call)
{
  for (guint i = 0; i < ends->len; i++)
    {
      const struct iv_listed_end *end = &g_array_index (ends, struct iv_listed_end, i);
      if (is_same_task (&end->name, &call->name) && end->number >= call->number)
        return TRUE;
    }
  return FALSE;
}

static void
extend_lease (struct sim_worker *worker, gint64 end_clock_ms)
{
  end_clock_ms = MIN (end_clock_ms, worker->clock + SIM_LEASE_MAX_MS);
  worker->lease_end_clock_ms = MAX (worker->lease_end_clock_ms, end_clock_ms);
}

static struct iv_resources
resources_of (const struct sim *sim, const struct iv_task_name *name)
{
  const struct iv_job_entry *job = iv_job_table_find (sim->job_table, name->job);
  const ivj_step *step = &job->spec.steps.steps_val[name->step];
  return (struct iv_resources){ step->flags & IVJ_BEST_EFFORT ? 0 : step->cpu_milli, step->mem_mb,
                                step->accelerators };
}

/* Whether the runs of @a worker, those that are being stopped among them, and @a run exceed its
   capacity. */
static gboolean
exceeds_capacity (const struct sim_worker *worker, const struct sim_run *run)
{
  struct iv_resources used = run->resources;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct sim_run *other = &g_array_index (worker->runs, struct sim_run, i);
      used.cpu_milli += other->resources.cpu_milli;
      used.mem_mb += other->resources.mem_mb;
      used.accelerators += other->resources.accelerators;
    }
  return used.cpu_milli > worker->capacity_milli || used.mem_mb > worker->mem_mb
         || used.accelerators > worker->accelerators;
}

static void
note_deadly_start (struct sim *sim, struct sim_worker *worker, const struct iv_task_name *name)
{
  if (sim->is_deadly == NULL || !sim->is_deadly (name))
    return;
  sim->deadly_starts[name->index % SIM_DEADLY_MAX]++;
  worker->crash_ms = sim->now_ms + sim->crash_after_ms;
  worker->holds_suspect = sim->deadly_starts[name->index % SIM_DEADLY_MAX] > 1;
}

static enum iv_command_outcome
handle_start (struct sim *sim, struct sim_worker *worker, const struct sim_call *call)
{
  struct sim_run run = {
    .name = call->name, .number = call->number, .started_ms = sim->now_ms, .cpu_limit_percent = 100
  };
  if (call->until < worker->clock)
    return IV_COMMAND_EXPIRED;
  if (is_in (worker->ends, call) || is_in (worker->stopped, call))
    return IV_COMMAND_STALE;
  if (worker->refuses_starts)
    return IV_COMMAND_NO_CAPACITY;
  if (sim->advised && !call->has_ticket)
    {
      sim->no_ticket++;
      return IV_COMMAND_NO_TICKET;
    }
  extend_lease (worker, call->until);
  for (guint i = 0; i < worker->runs->len; i++)
    if (is_same_task (&g_array_index (worker->runs, struct sim_run, i).name, &call->name))
      return IV_COMMAND_OK;
  run.resources = resources_of (sim, &call->name);
  if (exceeds_capacity (worker, &run))
    {
      if (worker->checks_capacity)
        {
          sim->refused_starts++;
          return IV_COMMAND_NO_CAPACITY;
        }
      sim->over_capacity++;
    }
  sim->beside_suspect += worker->holds_suspect;
  g_array_append_val (worker->runs, run);
  note_deadly_start (sim, worker, &call->name);
  return IV_COMMAND_OK;
}

static enum iv_command_outcome
handle_stop (struct sim_worker *worker, const struct sim_call *call)
{
  struct iv_listed_end stopped = { .name = call->name, .number = call->number };
  for (guint i = 0; i < worker->runs->len; i++)
    {
      struct sim_run *run = &g_array_index (worker->runs, struct sim_run, i);
      if (is_same_task (&run->name, &call->name) && run->number == call->number)
        {
          if (worker->stop_grace_ms == 0)
            end_run (worker, i, IV_END_STOPPED);
          else if (run->stop_clock_ms == 0)
            run->stop_clock_ms = worker->clock + worker->stop_grace_ms;
          return IV_COMMAND_OK;
        }
    }
  g_array_append_val (worker->stopped, stopped);
  return IV_COMMAND_OK;
}

static struct iv_poll_reply *
create_poll_reply (const struct sim_worker *worker, gint64 acked_end)
{
  struct iv_poll_reply *poll = g_new0 (struct iv_poll_reply, 1);
  poll->clock = worker->clock;
  poll->start_time_ms = worker->start_time_ms;
  poll->runs = g_array_new (FALSE, FALSE, sizeof (struct iv_listed_run));
  poll->ends = g_array_new (FALSE, FALSE, sizeof (struct iv_listed_end));
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct sim_run *run = &g_array_index (worker->runs, struct sim_run, i);
      struct iv_listed_run listed = { .name = run->name,
                                      .number = run->number,
                                      .percent = (guint)run->percent,
                                      .reported_load = run->tail_ms };
      g_array_append_val (poll->runs, listed);
    }
  for (guint i = 0; i < worker->ends->len; i++)
    {
      struct iv_listed_end end = g_array_index (worker->ends, struct iv_listed_end, i);
      if (end.sequence > acked_end)
        g_array_append_val (poll->ends, end);
    }
  return poll;
}

static void
handle_call (struct sim *sim, struct sim_call *call)
{
  struct sim_worker *worker = &sim->workers[call->worker];
  call->done = TRUE;
  call->clock = worker->clock;
  if (worker->replaced)
    {
      call->outcome = IV_COMMAND_WRONG_INSTANCE;
      call->clock = 0;
      return;
    }
  if (call->term < worker->fence)
    {
      call->outcome = IV_COMMAND_FENCED;
      return;
    }
  worker->fence = call->term;
  if (call->kind == CALL_START)
    call->outcome = handle_start (sim, worker, call);
  else if (call->kind == CALL_STOP)
    call->outcome = handle_stop (worker, call);
  else
    {
      extend_lease (worker, call->lease_end_clock_ms);
      call->outcome = IV_COMMAND_OK;
    }
}

static void
deliver (struct sim *sim, struct sim_call *call)
{
  gint64 now = sim->now_ms;
  if (call->term != sim->term || sim->owner == NULL)
    return;
  if (call->kind == CALL_START)
    iv_owner_start_replied (sim->owner, call->handle, &call->name, call->number, call->outcome,
                            call->clock, now);
  else if (call->kind == CALL_STOP)
    iv_owner_stop_replied (sim->owner, call->handle, &call->name, call->number, call->outcome,
                           call->clock, now);
  else
    iv_owner_poll_replied (sim->owner, call->handle, call->outcome, call->poll, now);
}

static gboolean
is_long_poll_pending (const struct sim *sim, const struct sim_call *call)
{
  const struct sim_worker *worker = &sim->workers[call->worker];
  return call->kind == CALL_POLL && call->outcome == IV_COMMAND_OK
         && sim->now_ms < call->wait_until_ms && worker->last_end <= call->acked_end;
}

static void
free_call (struct sim_call *call)
{
  if (call->poll)
    {
      g_array_free (call->poll->runs, TRUE);
      g_array_free (call->poll->ends, TRUE);
      g_free (call->poll);
    }
  g_free (call);
}

static gboolean
advance_late_call (struct sim *sim, struct sim_call *call)
{
  if (!call->done && sim->now_ms >= call->reply_ms + CALL_TIMEOUT_MS)
    {
      call->done = TRUE;
      call->outcome = IV_COMMAND_UNKNOWN;
      deliver (sim, call);
    }
  if (sim->now_ms < call->sent_ms + call->late_ms)
    return FALSE;
  handle_call (sim, call);
  return TRUE;
}

static gboolean
advance_call (struct sim *sim, struct sim_call *call)
{
  struct sim_worker *worker = &sim->workers[call->worker];
  if (call->late_ms > 0)
    return advance_late_call (sim, call);
  if (!call->done)
    {
      if (call->kind == CALL_START && sim->now_ms < call->sent_ms + worker->start_delay_ms)
        return FALSE;
      if (call->kind == CALL_STOP && sim->now_ms < call->sent_ms + worker->stop_delay_ms)
        return FALSE;
      if (worker->unreachable || worker->resets_calls || call->dropped)
        {
          call->outcome = IV_COMMAND_UNKNOWN;
          if (sim->now_ms < call->reply_ms + (worker->resets_calls ? 0 : CALL_TIMEOUT_MS))
            return FALSE;
          deliver (sim, call);
          return TRUE;
        }
      handle_call (sim, call);
    }
  if (worker->unreachable || worker->drops_replies)
    {
      if (sim->now_ms < call->reply_ms + CALL_TIMEOUT_MS)
        return FALSE;
      call->outcome = IV_COMMAND_UNKNOWN;
      call->clock = 0;
      deliver (sim, call);
      return TRUE;
    }
  if (sim->now_ms < call->reply_ms || is_long_poll_pending (sim, call))
    return FALSE;
  if (call->kind == CALL_POLL && call->outcome == IV_COMMAND_OK)
    call->poll = create_poll_reply (worker, call->acked_end);
  deliver (sim, call);
  return TRUE;
}

static void
advance_calls (struct sim *sim)
{
  for (guint i = 0; i < sim->calls->len;)
    {
      struct sim_call *call = g_ptr_array_index (sim->calls, i);
      if (!advance_call (sim, call))
        {
          i++;
          continue;
        }
      g_ptr_array_remove (sim->calls, call);
      free_call (call);
    }
}

static void
end_stopped_runs (struct sim_worker *worker)
{
  for (guint i = worker->runs->len; i-- > 0;)
    {
      gint64 stop_clock_ms = g_array_index (worker->runs, struct sim_run, i).stop_clock_ms;
      if (stop_clock_ms > 0 && worker->clock >= stop_clock_ms)
        end_run (worker, i, IV_END_STOPPED);
    }
}

void
sim_drain_worker (struct sim *sim, guint i)
{
  sim->workers[i].draining = TRUE;
  sim_list_worker (sim, i);
}

void
sim_crash_worker (struct sim *sim, guint i)
{
  struct sim_worker *worker = &sim->workers[i];
  g_array_set_size (worker->runs, 0);
  worker->crash_ms = 0;
  worker->holds_suspect = FALSE;
  worker->next_entry_ms = 0;
  worker->back_ms = sim->now_ms + SIM_DOWN_MS;
  worker->unreachable = TRUE;
}

/* Crashes the worker, or brings it back, when it is time. */
static void
advance_crash (struct sim *sim, guint i)
{
  struct sim_worker *worker = &sim->workers[i];
  if (worker->crash_ms > 0 && sim->now_ms >= worker->crash_ms)
    sim_crash_worker (sim, i);
  if (worker->back_ms == 0 || sim->now_ms < worker->back_ms)
    return;
  worker->back_ms = 0;
  worker->unreachable = FALSE;
  sim_restart_worker (sim, i);
  if (sim->owner)
    sim_list_worker (sim, i);
}

/* Ends the runs on @a worker that are done. */
static void
end_done_runs (const struct sim *sim, struct sim_worker *worker)
{
  for (guint i = worker->runs->len; sim->run_ms > 0 && i-- > 0;)
    {
      const struct sim_run *run = &g_array_index (worker->runs, struct sim_run, i);
      if (sim->now_ms >= run->started_ms + sim->run_ms
          && (sim->is_deadly == NULL || !sim->is_deadly (&run->name)))
        end_run (worker, i, IV_END_DONE);
    }
}

static void
advance_workers (struct sim *sim)
{
  for (guint i = 0; i < sim->count; i++)
    {
      struct sim_worker *worker = &sim->workers[i];
      worker->clock_rest += TICK_MS * (100 - worker->clock_slow_percent);
      worker->clock += worker->clock_rest / 100;
      worker->clock_rest %= 100;
      end_stopped_runs (worker);
      for (guint j = 0; !sim->stalled && j < worker->runs->len; j++)
        g_array_index (worker->runs, struct sim_run, j).percent = worker->clock / 200 % 100;
      while (worker->runs->len > 0 && worker->clock > worker->lease_end_clock_ms)
        end_run (worker, 0, IV_END_LEASE_EXPIRED);
      end_done_runs (sim, worker);
      advance_crash (sim, i);
    }
}

static void
read_entries (struct sim *sim)
{
  for (guint i = 0; i < sim->count; i++)
    {
      struct sim_worker *worker = &sim->workers[i];
      if (worker->next_entry_ms == 0 || sim->now_ms < worker->next_entry_ms)
        continue;
      worker->next_entry_ms = 0;
      sim_list_worker (sim, i);
    }
}

static void
store_record (struct sim *sim, const struct iv_job_entry *job, const char *suffix,
              GByteArray *bytes)
{
  char key[IV_JOB_ID_LEN + 8];
  if (bytes == NULL)
    return;
  g_snprintf (key, sizeof key, "%s%s", job->id, suffix);
  iv_job_table_apply (sim->job_table, key, bytes->data, bytes->len);
  g_byte_array_free (bytes, TRUE);
}

static void
store_progress (struct sim *sim)
{
  guint64 batch;
  GPtrArray *jobs;
  if (!sim->store_records || !iv_owner_has_unrecorded (sim->owner))
    return;
  jobs = iv_owner_collect_unrecorded (sim->owner, &batch);
  for (guint i = 0; i < jobs->len; i++)
    {
      struct iv_job_entry *job = g_ptr_array_index (jobs, i);
      store_record (sim, job, IV_KEY_CRASHES, iv_owner_encode_crashes (job));
      store_record (sim, job, IV_KEY_PROGRESS, iv_owner_encode_progress (job));
    }
  iv_owner_records_stored (sim->owner, batch);
  g_ptr_array_free (jobs, TRUE);
}

static void
store_roster (struct sim *sim)
{
  GByteArray *bytes = iv_owner_collect_roster (sim->owner);
  if (bytes == NULL)
    return;
  iv_owner_roster_stored (sim->owner, sim->store_rosters);
  if (!sim->store_rosters)
    {
      g_byte_array_free (bytes, TRUE);
      return;
    }
  if (sim->roster)
    g_byte_array_free (sim->roster, TRUE);
  sim->roster = bytes;
}

void
sim_advance (struct sim *sim, gint64 ms)
{
  for (gint64 end = sim->now_ms + ms; sim->now_ms < end;)
    {
      struct iv_owner_authority authority
          = { sim->evidence_age_ms, sim->confirmed, sim->now_ms + sim->authority_ms };
      sim->now_ms += TICK_MS;
      sim->wall_ms += TICK_MS;
      advance_workers (sim);
      advance_calls (sim);
      reply_to_advice_query (sim);
      if (sim->owner)
        {
          read_entries (sim);
          iv_owner_tick (sim->owner, &authority, sim->now_ms, sim->wall_ms);
          store_progress (sim);
          store_roster (sim);
        }
    }
}

struct sim *
sim_new (guint workers)
{
  struct sim *sim = g_new0 (struct sim, 1);
  sim->count = workers;
  sim->job_table = iv_job_table_new ();
  sim->calls = g_ptr_array_new ();
  sim->advice_worker_ids = g_ptr_array_new_with_free_func (g_free);
  sim->ticket_valid_ms = 1000;
  sim->now_ms = 1000;
  sim->wall_ms = 1000000;
  sim->confirmed = TRUE;
  sim->authority_ms = 8000;
  sim->store_records = TRUE;
  sim->store_rosters = TRUE;
  sim->attempts = 3;
  sim->crash_after_ms = 10;
  sim->limits = (struct iv_owner_limits){ .lease_ms = 5000,
                                          .lease_max_ms = SIM_LEASE_MAX_MS,
                                          .start_ms = 1500,
                                          .horizon_ms = 8600,
                                          .evidence_max_age_ms = 5000,
                                          .harm_ms = 4000,
                                          .capacity_max_age_ms = 4000 };
  for (guint i = 0; i < workers; i++)
    {
      struct sim_worker *worker = &sim->workers[i];
      g_snprintf (worker->id, sizeof worker->id, "w%u", i);
      g_snprintf (worker->rack, sizeof worker->rack, "r%u", i / 2);
      g_snprintf (worker->domain, sizeof worker->domain, "%s", i % 2 ? "b" : "a");
      worker->clock = 5000 + 777 * i;
      worker->start_time_ms = 1;
      worker->capacity_milli = 4000;
      worker->mem_mb = 100000;
      worker->runs = g_array_new (FALSE, FALSE, sizeof (struct sim_run));
      worker->ends = g_array_new (FALSE, FALSE, sizeof (struct iv_listed_end));
      worker->stopped = g_array_new (FALSE, FALSE, sizeof (struct iv_listed_end));
    }
  return sim;
}

void
sim_free (struct sim *sim)
{
  iv_owner_free (sim->owner);
  iv_job_table_free (sim->job_table);
  if (sim->roster)
    g_byte_array_free (sim->roster, TRUE);
  for (guint i = 0; i < sim->calls->len; i++)
    free_call (g_ptr_array_index (sim->calls, i));
  g_ptr_array_free (sim->calls, TRUE);
  g_ptr_array_free (sim->advice_worker_ids, TRUE);
  for (guint i = 0; i < sim->count; i++)
    {
      g_array_free (sim->workers[i].runs, TRUE);
      g_array_free (sim->workers[i].ends, TRUE);
      g_array_free (sim->workers[i].stopped, TRUE);
    }
  g_free (sim);
}

void
sim_list_worker (struct sim *sim, guint i)
{
  const struct sim_worker *worker = &sim->workers[i];
  char *labels[] = { "kind", (char *)worker->rack, NULL };
  struct iv_listed_worker listed
      = { .id = worker->id,
          .service = "service",
          .address = "127.0.0.1:1",
          .domain = worker->domain,
          .rack = worker->rack,
          .labels = labels,
          .capacity = { worker->capacity_milli, worker->mem_mb, worker->accelerators },
          .draining = worker->draining,
          .start_time_ms = worker->start_time_ms,
          .clock_ms = worker->clock - worker->entry_age_ms };
  iv_owner_worker_listed (sim->owner, &listed, sim->now_ms);
}

void
sim_list_workers (struct sim *sim)
{
  for (guint i = 0; i < sim->count; i++)
    if (!sim->workers[i].unlisted)
      sim_list_worker (sim, i);
  iv_owner_worker_list_loaded (sim->owner);
}

static gboolean
on_owns_job (void *context, const struct iv_job_entry *job)
{
  return job->moved_to < 0;
}

static gint
on_find_move_target (void *context, gint64 cpu_milli, enum iv_capacity_kind kind)
{
  struct sim *sim = context;
  return sim->other_cell_milli > cpu_milli ? 1 : -1;
}

static void
on_move_job (void *context, const struct iv_job_entry *job, guint cell)
{
  struct sim *sim = context;
  char key[IV_JOB_ID_LEN + 8];
  g_snprintf (key, sizeof key, "%s" IV_KEY_MOVE, job->id);
  sim->move_calls++;
  if (sim->defer_moves)
    return;
  iv_job_table_apply (sim->job_table, key, (const guint8 *)(cell == 1 ? "1" : "2"), 1);
}

void
sim_start_owner (struct sim *sim)
{
  struct iv_owner_effects effects = { .context = sim,
                                      .start = on_start,
                                      .stop = on_stop,
                                      .poll = on_poll,
                                      .throttle = on_throttle,
                                      .advise = on_advise,
                                      .queue = on_queue,
                                      .is_domain_in_service = on_is_domain_in_service,
                                      .owns_job = on_owns_job,
                                      .find_move_target = on_find_move_target,
                                      .move_job = on_move_job };
  iv_owner_free (sim->owner);
  sim->term++;
  sim->owner
      = iv_owner_new (sim->job_table, sim->term, &sim->limits, &effects, sim->now_ms, sim->wall_ms);
  if (sim->roster)
    iv_owner_load_roster (sim->owner, sim->roster->data, sim->roster->len, sim->now_ms);
  else if (sim->term > 1)
    iv_owner_load_roster (sim->owner, NULL, 0, sim->now_ms);
  sim_list_workers (sim);
  store_roster (sim);
}

void
sim_restart_worker (struct sim *sim, guint i)
{
  struct sim_worker *worker = &sim->workers[i];
  g_array_set_size (worker->runs, 0);
  g_array_set_size (worker->ends, 0);
  worker->last_end = 0;
  worker->clock = 0;
  worker->fence = 0;
  worker->lease_end_clock_ms = 0;
  worker->start_time_ms++;
  g_array_set_size (worker->stopped, 0);
  for (guint j = 0; j < sim->calls->len; j++)
    {
      struct sim_call *call = g_ptr_array_index (sim->calls, j);
      call->dropped |= call->worker == i && !call->done;
    }
  worker->next_entry_ms = sim->now_ms + HEARTBEAT_MS;
}

void
sim_submit (struct sim *sim, const char *id, const ivj_job *spec)
{
  GByteArray *bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_job, spec, IV_RECORD_MAX_BYTES);
  iv_job_table_apply (sim->job_table, id, bytes->data, bytes->len);
  g_byte_array_free (bytes, TRUE);
  if (sim->owner)
    iv_owner_job_changed (sim->owner, iv_job_table_find (sim->job_table, id), sim->now_ms);
}

void
sim_forget_job (struct sim *sim, const char *id)
{
  iv_job_table_remove (sim->job_table, id);
}

gboolean
sim_end_run (struct sim *sim, const char *id, guint step, guint index, enum iv_end_reason reason)
{
  for (guint i = 0; i < sim->count; i++)
    for (guint j = 0; j < sim->workers[i].runs->len; j++)
      {
        const struct sim_run *run = &g_array_index (sim->workers[i].runs, struct sim_run, j);
        if (strcmp (run->name.job, id) == 0 && run->name.step == step && run->name.index == index)
          {
            end_run (&sim->workers[i], j, reason);
            return TRUE;
          }
      }
  return FALSE;
}

void
sim_end_all_runs (struct sim *sim, enum iv_end_reason reason)
{
  for (guint i = 0; i < sim->count; i++)
    while (sim->workers[i].runs->len > 0)
      end_run (&sim->workers[i], 0, reason);
}

guint
sim_running_count (const struct sim *sim, const char *id, guint step, guint index)
{
  guint count = 0;
  for (guint i = 0; i < sim->count; i++)
    for (guint j = 0; j < sim->workers[i].runs->len; j++)
      {
        const struct sim_run *run = &g_array_index (sim->workers[i].runs, struct sim_run, j);
        count += strcmp (run->name.job, id) == 0 && run->name.step == step
                 && run->name.index == index;
      }
  return count;
}

guint
sim_max_concurrent_runs (const struct sim *sim)
{
  guint most = 0;
  for (guint i = 0; i < sim->count; i++)
    for (guint j = 0; j < sim->workers[i].runs->len; j++)
      {
        const struct sim_run *run = &g_array_index (sim->workers[i].runs, struct sim_run, j);
        most = MAX (most, sim_running_count (sim, run->name.job, run->name.step, run->name.index));
      }
  return most;
}

guint
sim_total_runs (const struct sim *sim)
{
  guint count = 0;
  for (guint i = 0; i < sim->count; i++)
    count += sim->workers[i].runs->len;
  return count;
}

enum ivj_state
sim_job_state (const struct sim *sim, const char *id)
{
  return iv_job_state (iv_job_table_find (sim->job_table, id));
}
