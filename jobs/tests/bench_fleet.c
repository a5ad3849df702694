#include "bench_private.h"

#include <string.h>

#define ADVICE_LATENCY_MS 50 /* from an advice query to its reply */

static void
on_start (void *context, const struct iv_fleet_worker *worker,
          const struct iv_start_command *command)
{
  struct sim *sim = context;
  struct sim_call *call = sim_call_new (sim, CALL_START, worker);
  call->name = command->name;
  call->number = command->number;
  call->until = command->deadline_clock_ms;
  call->has_ticket = g_strcmp0 (command->ticket, worker->id) == 0;
  call->late_ms = sim->workers[call->worker].late_starts_ms;
  call->resources = sim_task_resources (sim, &command->name);
  sim->start_calls++;
}

static guint
on_start_credit (void *context)
{
  return ((struct sim *)context)->start_credit;
}

static void
on_stop (void *context, const struct iv_fleet_worker *worker, const struct iv_task_name *name,
         gint64 number)
{
  struct sim_call *call = sim_call_new (context, CALL_STOP, worker);
  call->name = *name;
  call->number = number;
}

static void
on_poll (void *context, const struct iv_fleet_worker *worker, gint64 lease_end_clock_ms,
         gint64 wait_ms)
{
  struct sim *sim = context;
  struct sim_call *call = sim_call_new (sim, CALL_POLL, worker);
  call->lease_end_clock_ms = lease_end_clock_ms;
  call->acked_end = worker->acked_end;
  call->wait_until_ms = sim->now_ms + wait_ms;
  call->late_ms = sim->workers[call->worker].late_polls_ms;
  sim->workers[call->worker].polls++;
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
      if (sim_worker_index (sim, id) % 2 == 1)
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
apply_record (struct sim *sim, const char *key, const GByteArray *value)
{
  iv_job_table_apply (sim->job_table, key, value->data, value->len);
  if (sim->record)
    sim->record (sim, key, value->data, value->len);
}

static void
store_record (void *context, const char *key, const GByteArray *value)
{
  struct sim *sim = context;
  if (sim->record_delay_ms == 0)
    {
      apply_record (sim, key, value);
      return;
    }
  g_ptr_array_add (sim->sent_keys, g_strdup (key));
  g_ptr_array_add (sim->sent_values,
                   g_byte_array_append (g_byte_array_new (), value->data, value->len));
}

/* Stores the records that were sent before. FALSE while they are on their way. */
static gboolean
finish_records (struct sim *sim)
{
  if (sim->sent_batch == 0)
    return TRUE;
  if (sim->now_ms < sim->sent_until_ms)
    return FALSE;
  for (guint i = 0; i < sim->sent_keys->len; i++)
    apply_record (sim, g_ptr_array_index (sim->sent_keys, i),
                  g_ptr_array_index (sim->sent_values, i));
  iv_owner_records_stored (sim->owner, sim->sent_batch);
  sim_drop_records (sim);
  return TRUE;
}

void
sim_drop_records (struct sim *sim)
{
  g_ptr_array_set_size (sim->sent_keys, 0);
  g_ptr_array_set_size (sim->sent_values, 0);
  sim->sent_batch = 0;
}

static void
store_progress (struct sim *sim)
{
  guint64 batch;
  GPtrArray *jobs;
  if (!finish_records (sim) || !sim->store_records || !iv_owner_has_unrecorded (sim->owner))
    return;
  jobs = iv_owner_collect_unrecorded (sim->owner, &batch);
  for (guint i = 0; i < jobs->len; i++)
    {
      struct iv_job_entry *job = g_ptr_array_index (jobs, i);
      if (g_strcmp0 (job->id, sim->unstorable_job) == 0)
        iv_owner_record_failed (sim->owner, job, sim->unstorable_for_good);
      else
        iv_owner_encode_records (sim->owner, job, store_record, sim);
    }
  g_ptr_array_free (jobs, TRUE);
  if (sim->record_delay_ms == 0)
    {
      iv_owner_records_stored (sim->owner, batch);
      return;
    }
  sim->sent_batch = batch;
  sim->sent_until_ms = sim->now_ms + sim->record_delay_ms;
}

static void
store_roster (struct sim *sim)
{
  GByteArray *bytes = iv_owner_collect_roster (sim->owner, sim->now_ms);
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
sim_apply_record (struct sim *sim, const char *key, const guint8 *value, gsize len)
{
  char id[IV_JOB_ID_LEN + 1];
  struct iv_job_entry *job;
  g_strlcpy (id, key, sizeof id);
  iv_job_table_apply (sim->job_table, key, value, len);
  job = iv_job_table_find (sim->job_table, id);
  if (sim->owner && job)
    iv_owner_job_changed (sim->owner, job, sim->now_ms);
}

static void
read_delegations (struct sim *sim)
{
  for (guint i = 0; i < sim->delegation_keys->len; i++)
    {
      const char *value = g_ptr_array_index (sim->delegation_values, i);
      sim_apply_record (sim, g_ptr_array_index (sim->delegation_keys, i), (const guint8 *)value,
                        strlen (value));
    }
  g_ptr_array_set_size (sim->delegation_keys, 0);
  g_ptr_array_set_size (sim->delegation_values, 0);
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
      if (sim->workers == sim->own_workers)
        sim_advance_workers (sim);
      sim_advance_calls (sim);
      reply_to_advice_query (sim);
      if (sim->owner)
        {
          read_entries (sim);
          read_delegations (sim);
          if (!sim->suspended && !sim->frozen)
            iv_owner_tick (sim->owner, &authority, sim->now_ms, sim->wall_ms);
          store_progress (sim);
          store_roster (sim);
        }
    }
}

gboolean
sim_advance_without_duplicates (struct sim *sim, gint64 ms)
{
  for (gint64 i = 0; i < ms; i += TICK_MS)
    {
      sim_advance (sim, TICK_MS);
      if (sim_max_concurrent_runs (sim) > 1)
        return FALSE;
    }
  return TRUE;
}

static struct sim *
sim_new_host (void)
{
  struct sim *sim = g_new0 (struct sim, 1);
  sim->job_table = iv_job_table_new ();
  sim->calls = g_ptr_array_new ();
  sim->advice_worker_ids = g_ptr_array_new_with_free_func (g_free);
  sim->delegation_keys = g_ptr_array_new_with_free_func (g_free);
  sim->delegation_values = g_ptr_array_new_with_free_func (g_free);
  sim->sent_keys = g_ptr_array_new_with_free_func (g_free);
  sim->sent_values = g_ptr_array_new_with_free_func ((GDestroyNotify)g_byte_array_unref);
  sim->ticket_valid_ms = 1000;
  sim->now_ms = 1000;
  sim->wall_ms = 1000000;
  sim->confirmed = TRUE;
  sim->authority_ms = 8000;
  sim->store_records = TRUE;
  sim->start_credit = G_MAXUINT;
  sim->store_rosters = TRUE;
  sim->attempts = 3;
  sim->crash_after_ms = 10;
  sim->limits = (struct iv_owner_limits){ .lease_ms = 5000,
                                          .lease_max_ms = SIM_LEASE_MAX_MS,
                                          .start_ms = 1500,
                                          .horizon_ms = 8600,
                                          .evidence_max_age_ms = 5000,
                                          .harm_ms = 4000,
                                          .far_factor_milli = 2000,
                                          .capacity_max_age_ms = 4000 };
  return sim;
}

struct sim *
sim_new_sharing (struct sim *other)
{
  struct sim *sim = sim_new_host ();
  sim->workers = other->workers;
  sim->count = other->count;
  return sim;
}

struct sim *
sim_new (guint workers)
{
  struct sim *sim = sim_new_host ();
  sim->workers = sim->own_workers;
  sim->count = workers;
  for (guint i = 0; i < workers; i++)
    {
      struct sim_worker *worker = &sim->workers[i];
      g_snprintf (worker->id, sizeof worker->id, "w%u", i);
      g_snprintf (worker->rack, sizeof worker->rack, "r%u", i / 2);
      g_strlcpy (worker->kind, "kind", sizeof worker->kind);
      g_snprintf (worker->domain, sizeof worker->domain, "%s", i % 2 ? "b" : "a");
      worker->clock = 5000 + 777 * i;
      worker->start_time_ms = 1;
      worker->address = SIM_ADDRESS;
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
    sim_call_free (g_ptr_array_index (sim->calls, i));
  g_ptr_array_free (sim->calls, TRUE);
  g_ptr_array_free (sim->advice_worker_ids, TRUE);
  g_ptr_array_free (sim->delegation_keys, TRUE);
  g_ptr_array_free (sim->delegation_values, TRUE);
  g_ptr_array_free (sim->sent_keys, TRUE);
  g_ptr_array_free (sim->sent_values, TRUE);
  for (guint i = 0; sim->workers == sim->own_workers && i < sim->count; i++)
    {
      g_array_free (sim->workers[i].runs, TRUE);
      g_array_free (sim->workers[i].ends, TRUE);
      g_array_free (sim->workers[i].stopped, TRUE);
    }
  g_free (sim);
}

void
sim_list_odd_entry (struct sim *sim, guint i, gint64 start_time_ms, gint64 clock_ms,
                    const char *address)
{
  const struct sim_worker *worker = &sim->workers[i];
  char *labels[] = { (char *)worker->kind, (char *)worker->rack, NULL };
  struct iv_listed_worker listed
      = { .id = worker->id,
          .service = "service",
          .address = address,
          .domain = worker->domain,
          .rack = worker->rack,
          .labels = labels,
          .capacity = { worker->capacity_milli, worker->mem_mb, worker->accelerators },
          .draining = worker->draining,
          .start_time_ms = start_time_ms,
          .clock_ms = clock_ms,
          .leaves_clock_ms = worker->leaves_clock_ms };
  iv_owner_worker_listed (sim->owner, &listed, sim->now_ms);
}

void
sim_list_worker (struct sim *sim, guint i)
{
  const struct sim_worker *worker = &sim->workers[i];
  sim_list_odd_entry (sim, i, worker->start_time_ms, worker->clock - worker->entry_age_ms,
                      worker->address);
}

void
sim_list_workers (struct sim *sim)
{
  for (guint i = 0; i < sim->count; i++)
    if (!sim->workers[i].unlisted)
      sim_list_worker (sim, i);
  iv_owner_worker_list_loaded (sim->owner);
}

static gint
own_cell (const struct sim *sim)
{
  return sim->is_delegate ? SIM_OTHER_CELL : 0;
}

static gboolean
on_owns_job (void *context, const struct iv_job_entry *job)
{
  return MAX (job->moved_to, 0) == own_cell (context);
}

/* Whether workers of the other cell have @a label. */
static gboolean
holds_label (const struct sim *sim, const char *label)
{
  return *label == '\0' || g_strcmp0 (label, sim->other_cell_label) == 0;
}

static gint
on_find_move_target (void *context, const struct iv_move_needs *needs)
{
  struct sim *sim = context;
  enum iv_capacity_kind kind = needs->kind;
  gint64 free_milli = sim->other_cell_milli;
  for (guint i = 0; i < needs->steps->len; i++)
    if (!holds_label (sim, ((const ivj_step *)g_ptr_array_index (needs->steps, i))->label))
      return -1;
  if (kind == IV_CAPACITY_LONG_RUNNING)
    free_milli -= sim->other_cell_spare_milli;
  if (kind == IV_CAPACITY_EVACUATION_LARGE)
    free_milli -= sim->other_cell_small_milli;
  return free_milli > needs->cpu_milli ? SIM_OTHER_CELL - own_cell (sim) : -1;
}

static guint
on_count_elsewhere (void *context, const struct iv_piece *need)
{
  const struct sim *sim = context;
  return (guint)(sim->other_cell_milli / MAX (need->cpu_milli, 1));
}

static gint
on_find_delegate (void *context, const char *service, const ivj_step *step)
{
  struct sim *sim = context;
  if (sim->delegate_milli < step->cpu_milli || !holds_label (sim, step->label))
    return -1;
  sim->delegate_milli -= step->cpu_milli;
  return SIM_OTHER_CELL;
}

static void
on_record_delegation (void *context, const struct iv_job_entry *job,
                      const struct iv_delegation *delegation)
{
  struct sim *sim = context;
  char *key, *value;
  sim->delegation_calls++;
  sim->last_delegation = *delegation;
  if (sim->defer_delegations)
    return;
  key = iv_delegation_format_key (job->id, delegation);
  value = iv_delegation_format_value (delegation);
  if (sim->record)
    {
      sim->record (sim, key, (const guint8 *)value, strlen (value));
      g_free (key);
      g_free (value);
      return;
    }
  g_ptr_array_add (sim->delegation_keys, key);
  g_ptr_array_add (sim->delegation_values, value);
}

static void
on_move_job (void *context, const struct iv_job_entry *job, guint cell)
{
  struct sim *sim = context;
  char key[IV_JOB_ID_LEN + 8];
  char value[16];
  g_snprintf (key, sizeof key, "%s" IV_KEY_MOVE, job->id);
  g_snprintf (value, sizeof value, "%u", cell);
  sim->move_calls++;
  if (sim->defer_moves)
    return;
  if (sim->record)
    sim->record (sim, key, (const guint8 *)value, strlen (value));
  else
    iv_job_table_apply (sim->job_table, key, (const guint8 *)value, strlen (value));
}

static const struct sim_workspace *
find_workspace (const struct sim *sim, const char *name)
{
  for (guint i = 0; i < sim->workspace_count; i++)
    if (strcmp (sim->workspaces[i].name, name) == 0)
      return &sim->workspaces[i];
  return NULL;
}

static void
on_workspace_limit (void *context, const char *workspace, struct iv_workspace_limit *limit)
{
  const struct sim_workspace *known = find_workspace (context, workspace);
  if (known)
    *limit = known->limit;
}

static double
on_workspace_weight (void *context, const char *workspace)
{
  const struct sim_workspace *known = find_workspace (context, workspace);
  return known ? known->weight : 0;
}

void
sim_start_owner (struct sim *sim)
{
  struct iv_owner_effects effects = { .context = sim,
                                      .start = on_start,
                                      .start_credit = on_start_credit,
                                      .stop = on_stop,
                                      .poll = on_poll,
                                      .throttle = on_throttle,
                                      .advise = on_advise,
                                      .queue = on_queue,
                                      .is_domain_in_service = on_is_domain_in_service,
                                      .owns_job = on_owns_job,
                                      .cell = own_cell (sim),
                                      .find_move_target = on_find_move_target,
                                      .find_delegate = on_find_delegate,
                                      .record_delegation = on_record_delegation,
                                      .count_elsewhere = on_count_elsewhere,
                                      .move_job = on_move_job };
  if (sim->workspace_count > 0)
    {
      effects.workspace_limit = on_workspace_limit;
      effects.workspace_weight = on_workspace_weight;
    }
  iv_owner_free (sim->owner);
  sim_drop_records (sim);
  sim->term += IV_FENCES_PER_TERM;
  sim->owner
      = iv_owner_new (sim->job_table, sim->term, &sim->limits, &effects, sim->now_ms, sim->wall_ms);
  if (sim->roster)
    iv_owner_load_roster (sim->owner, sim->roster->data, sim->roster->len, sim->now_ms);
  else if (sim->term > IV_FENCES_PER_TERM)
    iv_owner_load_roster (sim->owner, NULL, 0, sim->now_ms);
  sim_list_workers (sim);
  store_roster (sim);
}

void
sim_submit (struct sim *sim, const char *id, const ivj_job *spec)
{
  sim_submit_for (sim, "", id, spec);
}

gint64
sim_workspace_milli (const struct sim *sim, const char *workspace)
{
  gint64 sum = 0;
  for (guint i = 0; i < sim->count; i++)
    for (guint j = 0; j < sim->workers[i].runs->len; j++)
      {
        const struct sim_run *run = &g_array_index (sim->workers[i].runs, struct sim_run, j);
        const struct iv_job_entry *job = iv_job_table_find (sim->job_table, run->name.job);
        if (job && strcmp (job->workspace, workspace) == 0)
          sum += job->spec.steps.steps_val[run->name.step].cpu_milli;
      }
  return sum;
}

void
sim_submit_for (struct sim *sim, const char *workspace, const char *id, const ivj_job *spec)
{
  GByteArray *bytes = iv_job_encode_spec (spec, workspace, -1);
  iv_job_table_apply (sim->job_table, id, bytes->data, bytes->len);
  g_byte_array_free (bytes, TRUE);
  if (sim->owner)
    iv_owner_job_changed (sim->owner, iv_job_table_find (sim->job_table, id), sim->now_ms);
}

void
sim_apply_delegation (struct sim *sim, const char *id, const struct iv_delegation *delegation)
{
  g_ptr_array_add (sim->delegation_keys, iv_delegation_format_key (id, delegation));
  g_ptr_array_add (sim->delegation_values, iv_delegation_format_value (delegation));
  read_delegations (sim);
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
            sim_worker_end_run (&sim->workers[i], j, reason);
            return TRUE;
          }
      }
  return FALSE;
}

void
sim_end_oldest_run (struct sim *sim, guint worker, const char *id)
{
  struct sim_worker *w = &sim->workers[worker];
  const struct sim_run *oldest = NULL;
  guint place = 0;
  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct sim_run *run = &g_array_index (w->runs, struct sim_run, i);
      if (strcmp (run->name.job, id) != 0 || (oldest && run->started_ms >= oldest->started_ms))
        continue;
      oldest = run;
      place = i;
    }
  if (oldest)
    sim_worker_end_run (w, place, IV_END_DONE);
}

void
sim_end_all_runs (struct sim *sim, enum iv_end_reason reason)
{
  for (guint i = 0; i < sim->count; i++)
    while (sim->workers[i].runs->len > 0)
      sim_worker_end_run (&sim->workers[i], 0, reason);
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

guint
sim_worker_runs (const struct sim *sim, guint worker, const char *id)
{
  const GArray *runs = sim->workers[worker].runs;
  guint count = 0;
  for (guint i = 0; i < runs->len; i++)
    count += strcmp (g_array_index (runs, struct sim_run, i).name.job, id) == 0;
  return count;
}

guint
sim_job_runs (const struct sim *sim, const char *id)
{
  guint count = 0;
  for (guint i = 0; i < sim->count; i++)
    count += sim_worker_runs (sim, i, id);
  return count;
}

guint
sim_find_worker (const struct sim *sim, const char *id)
{
  for (guint i = 0; i < sim->count; i++)
    if (sim_worker_runs (sim, i, id) > 0)
      return i;
  return sim->count;
}

enum ivj_state
sim_job_state (const struct sim *sim, const char *id)
{
  return iv_job_state (iv_job_table_find (sim->job_table, id));
}
