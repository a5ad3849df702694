#include "bench_fleet.h"

#include <string.h>

#define STEP_MS 10
#define CALL_MS 4
#define ASK_MS 50
#define TIMEOUT_MS 800
#define LATE_LONGEST_MS 100000

enum call_kind
{
  CALL_START,
  CALL_STOP,
  CALL_LOOK
};

struct bench_call
{
  enum call_kind kind;
  gint64 term;
  guint worker;
  guint32 handle;
  struct iv_task_name name;
  gint64 number;
  gint64 until;
  gboolean has_ticket;
  gint64 lease;
  gint64 seen;
  gint64 sent_ms;
  gint64 answer_ms; /* when the answer, or the timeout, arrives */
  gint64 wait_until_ms;
  gboolean done; /* carried out */
  enum iv_command_outcome outcome;
  gint64 clock;
  struct iv_poll_reply *poll;
};

static guint
index_of (const struct bench *bench, const char *id)
{
  for (guint i = 0; i < bench->count; i++)
    if (strcmp (bench->workers[i].id, id) == 0)
      return i;
  return 0;
}

static struct bench_call *
call_new (struct bench *bench, enum call_kind kind, const struct iv_fleet_worker *worker)
{
  struct bench_call *call = g_new0 (struct bench_call, 1);
  call->kind = kind;
  call->term = bench->term;
  call->worker = index_of (bench, worker->id);
  call->handle = worker->handle;
  call->sent_ms = bench->now_ms;
  call->answer_ms = bench->now_ms + CALL_MS;
  g_ptr_array_add (bench->calls, call);
  return call;
}

static void
on_start (void *context, const struct iv_fleet_worker *worker, const struct iv_start_command *order)
{
  struct bench *bench = context;
  struct bench_call *call = call_new (bench, CALL_START, worker);
  call->name = order->name;
  call->number = order->number;
  call->until = order->until_clock;
  call->has_ticket = g_strcmp0 (order->ticket, worker->id) == 0;
  bench->started++;
}

static void
on_stop (void *context, const struct iv_fleet_worker *worker, const struct iv_task_name *name,
         gint64 number)
{
  struct bench_call *call = call_new (context, CALL_STOP, worker);
  call->name = *name;
  call->number = number;
}

static void
on_look (void *context, const struct iv_fleet_worker *worker, gint64 lease_clock, gint64 wait_ms)
{
  struct bench *bench = context;
  struct bench_call *call = call_new (bench, CALL_LOOK, worker);
  call->lease = lease_clock;
  call->seen = worker->seen;
  call->wait_until_ms = bench->now_ms + wait_ms;
}

static void
on_pace (void *context, const struct iv_fleet_worker *worker, const struct iv_task_name *name,
         gint64 number, guint percent)
{
  struct bench *bench = context;
  bench->paces++;
  bench->last_pace = percent;
}

static void
on_advise (void *context, const struct iv_task_name *name, const GPtrArray *workers)
{
  struct bench *bench = context;
  bench->questions++;
  bench->ask_answer_ms = bench->now_ms + ASK_MS;
  for (guint i = 0; i < workers->len; i++)
    g_ptr_array_add (
        bench->asked,
        g_strdup (((const struct iv_fleet_worker *)g_ptr_array_index (workers, i))->id));
}

static void
answer_question (struct bench *bench)
{
  struct iv_allowed_worker allowed[BENCH_WORKERS_MAX];
  struct iv_advice_reply answer = { .valid_ms = bench->valid_ms, .allowed = allowed };
  if (bench->ask_answer_ms == 0 || bench->now_ms < bench->ask_answer_ms)
    return;
  for (guint i = 0; i < bench->asked->len; i++)
    {
      const char *id = g_ptr_array_index (bench->asked, i);
      if (index_of (bench, id) % 2 == 1)
        allowed[answer.count++] = (struct iv_allowed_worker){ id, id };
    }
  bench->ask_answer_ms = 0;
  if (bench->owner)
    iv_owner_advice_replied (bench->owner, &answer, bench->now_ms);
  g_ptr_array_set_size (bench->asked, 0);
}

static gboolean
on_queue (void *context, const char *host, const char *prefix, struct iv_queue_policy *rule)
{
  struct bench *bench = context;
  *rule = (struct iv_queue_policy){ "service", 0, bench->attempts, 2.0, 1000, bench->advised };
  return TRUE;
}

static gboolean
on_domain_open (void *context, const char *domain)
{
  return !(((struct bench *)context)->closed_a && strcmp (domain, "a") == 0);
}

static gboolean
same_name (const struct iv_task_name *a, const struct iv_task_name *b)
{
  return a->index == b->index && a->step == b->step && a->occurrence == b->occurrence
         && strcmp (a->job, b->job) == 0;
}

static void
end_run (struct bench_worker *worker, guint i, enum iv_end_reason how)
{
  const struct bench_run *run = &g_array_index (worker->runs, struct bench_run, i);
  struct iv_listed_end end
      = { .sequence = ++worker->last_end, .name = run->name, .number = run->number, .how = how };
  g_array_append_val (worker->ends, end);
  g_array_remove_index (worker->runs, i);
}

static gboolean
ended_there (const struct bench_worker *worker, const struct bench_call *call)
{
  for (guint i = 0; i < worker->ends->len; i++)
    {
      const struct iv_listed_end *end = &g_array_index (worker->ends, struct iv_listed_end, i);
      if (same_name (&end->name, &call->name) && end->number >= call->number)
        return TRUE;
    }
  return FALSE;
}

static enum iv_command_outcome
carry_start (struct bench *bench, struct bench_worker *worker, const struct bench_call *call)
{
  struct bench_run run = { .name = call->name, .number = call->number, .pace = 100 };
  if (call->until < worker->clock)
    return IV_COMMAND_EXPIRED;
  if (ended_there (worker, call))
    return IV_COMMAND_STALE;
  if (worker->refuses)
    return IV_COMMAND_NO_CAPACITY;
  if (bench->advised && !call->has_ticket)
    {
      bench->no_ticket++;
      return IV_COMMAND_NO_TICKET;
    }
  worker->lease = MAX (worker->lease, call->until);
  for (guint i = 0; i < worker->runs->len; i++)
    if (same_name (&g_array_index (worker->runs, struct bench_run, i).name, &call->name))
      return IV_COMMAND_OK;
  g_array_append_val (worker->runs, run);
  return IV_COMMAND_OK;
}

static enum iv_command_outcome
carry_stop (struct bench_worker *worker, const struct bench_call *call)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct bench_run *run = &g_array_index (worker->runs, struct bench_run, i);
      if (same_name (&run->name, &call->name) && run->number == call->number)
        {
          end_run (worker, i, IV_END_STOPPED);
          return IV_COMMAND_OK;
        }
    }
  return IV_COMMAND_OK;
}

static struct iv_poll_reply *
list (const struct bench_worker *worker, gint64 seen)
{
  struct iv_poll_reply *poll = g_new0 (struct iv_poll_reply, 1);
  poll->clock = worker->clock;
  poll->born_ms = worker->born_ms;
  poll->runs = g_array_new (FALSE, FALSE, sizeof (struct iv_listed_run));
  poll->ends = g_array_new (FALSE, FALSE, sizeof (struct iv_listed_end));
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct bench_run *run = &g_array_index (worker->runs, struct bench_run, i);
      struct iv_listed_run listed = { .name = run->name,
                                      .number = run->number,
                                      .percent = (guint)run->percent,
                                      .figure = run->tail_ms };
      g_array_append_val (poll->runs, listed);
    }
  for (guint i = 0; i < worker->ends->len; i++)
    {
      struct iv_listed_end end = g_array_index (worker->ends, struct iv_listed_end, i);
      if (end.sequence > seen)
        g_array_append_val (poll->ends, end);
    }
  return poll;
}

static void
carry_out (struct bench *bench, struct bench_call *call)
{
  struct bench_worker *worker = &bench->workers[call->worker];
  call->done = TRUE;
  call->clock = worker->clock;
  if (call->term < worker->fence)
    {
      call->outcome = IV_COMMAND_FENCED;
      return;
    }
  worker->fence = call->term;
  if (call->kind == CALL_START)
    call->outcome = carry_start (bench, worker, call);
  else if (call->kind == CALL_STOP)
    call->outcome = carry_stop (worker, call);
  else
    {
      worker->lease = MAX (worker->lease, call->lease);
      call->outcome = IV_COMMAND_OK;
    }
}

static void
deliver (struct bench *bench, struct bench_call *call)
{
  gint64 now = bench->now_ms;
  if (call->term != bench->term || bench->owner == NULL)
    return;
  if (call->kind == CALL_START)
    iv_owner_start_replied (bench->owner, call->handle, &call->name, call->number, call->outcome,
                            call->clock, now);
  else if (call->kind == CALL_STOP)
    iv_owner_stop_replied (bench->owner, call->handle, &call->name, call->number, call->outcome,
                           call->clock, now);
  else
    iv_owner_poll_replied (bench->owner, call->handle, call->outcome, call->poll, now);
}

static gboolean
look_waits (const struct bench *bench, const struct bench_call *call)
{
  const struct bench_worker *worker = &bench->workers[call->worker];
  return call->kind == CALL_LOOK && call->outcome == IV_COMMAND_OK
         && bench->now_ms < call->wait_until_ms && worker->last_end <= call->seen;
}

static void
free_call (struct bench_call *call)
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
advance_call (struct bench *bench, struct bench_call *call)
{
  struct bench_worker *worker = &bench->workers[call->worker];
  if (!call->done)
    {
      if (call->kind == CALL_START && bench->now_ms < call->sent_ms + worker->late_ms)
        return FALSE;
      if (worker->silent)
        {
          call->outcome = IV_COMMAND_UNKNOWN;
          if (bench->now_ms < call->answer_ms + TIMEOUT_MS)
            return FALSE;
          deliver (bench, call);
          return TRUE;
        }
      carry_out (bench, call);
    }
  if (worker->silent || worker->mute)
    {
      if (bench->now_ms < call->answer_ms + TIMEOUT_MS)
        return FALSE;
      call->outcome = IV_COMMAND_UNKNOWN;
      call->clock = 0;
      deliver (bench, call);
      return TRUE;
    }
  if (bench->now_ms < call->answer_ms || look_waits (bench, call))
    return FALSE;
  if (call->kind == CALL_LOOK && call->outcome == IV_COMMAND_OK)
    call->poll = list (worker, call->seen);
  deliver (bench, call);
  return TRUE;
}

static void
advance_calls (struct bench *bench)
{
  for (guint i = 0; i < bench->calls->len;)
    {
      struct bench_call *call = g_ptr_array_index (bench->calls, i);
      if (!advance_call (bench, call))
        {
          i++;
          continue;
        }
      g_ptr_array_remove (bench->calls, call);
      free_call (call);
    }
}

static void
lapse (struct bench *bench)
{
  for (guint i = 0; i < bench->count; i++)
    {
      struct bench_worker *worker = &bench->workers[i];
      worker->clock += STEP_MS;
      for (guint j = 0; !bench->stuck && j < worker->runs->len; j++)
        g_array_index (worker->runs, struct bench_run, j).percent = worker->clock / 200 % 100;
      while (worker->runs->len > 0 && worker->clock > worker->lease)
        end_run (worker, 0, IV_END_LEASE_EXPIRED);
    }
}

static void
store (struct bench *bench)
{
  guint64 upto;
  GPtrArray *jobs;
  if (!bench->stored || !iv_owner_has_unrecorded (bench->owner))
    return;
  jobs = iv_owner_collect_unrecorded (bench->owner, &upto);
  for (guint i = 0; i < jobs->len; i++)
    {
      struct iv_job *job = g_ptr_array_index (jobs, i);
      GByteArray *bytes = iv_owner_encode_progress (job);
      char key[IV_JOB_ID_LEN + 8];
      g_snprintf (key, sizeof key, "%s" IV_KEY_PROGRESS, job->id);
      iv_book_fold (bench->book, key, bytes->data, bytes->len);
      g_byte_array_free (bytes, TRUE);
    }
  iv_owner_records_stored (bench->owner, upto);
  g_ptr_array_free (jobs, TRUE);
}

void
bench_run_for (struct bench *bench, gint64 ms)
{
  for (gint64 end = bench->now_ms + ms; bench->now_ms < end;)
    {
      struct iv_owner_authority leave = { bench->evidence_age_ms, bench->confirmed };
      bench->now_ms += STEP_MS;
      bench->wall_ms += STEP_MS;
      lapse (bench);
      advance_calls (bench);
      answer_question (bench);
      if (bench->owner)
        {
          iv_owner_step (bench->owner, &leave, bench->now_ms, bench->wall_ms);
          store (bench);
        }
    }
}

struct bench *
bench_new (guint workers)
{
  struct bench *bench = g_new0 (struct bench, 1);
  bench->count = workers;
  bench->book = iv_book_new ();
  bench->calls = g_ptr_array_new ();
  bench->asked = g_ptr_array_new_with_free_func (g_free);
  bench->valid_ms = 1000;
  bench->now_ms = 1000;
  bench->wall_ms = 1000000;
  bench->confirmed = TRUE;
  bench->stored = TRUE;
  bench->attempts = 3;
  bench->limits = (struct iv_owner_limits){
    .lease_ms = 5000, .start_ms = 1500, .horizon_ms = 8600, .evidence_ms = 5000
  };
  for (guint i = 0; i < workers; i++)
    {
      struct bench_worker *worker = &bench->workers[i];
      g_snprintf (worker->id, sizeof worker->id, "w%u", i);
      g_snprintf (worker->rack, sizeof worker->rack, "r%u", i / 2);
      g_snprintf (worker->domain, sizeof worker->domain, "%s", i % 2 ? "b" : "a");
      worker->clock = 5000 + 777 * i;
      worker->born_ms = 1;
      worker->room_milli = 4000;
      worker->runs = g_array_new (FALSE, FALSE, sizeof (struct bench_run));
      worker->ends = g_array_new (FALSE, FALSE, sizeof (struct iv_listed_end));
    }
  return bench;
}

void
bench_free (struct bench *bench)
{
  iv_owner_free (bench->owner);
  iv_book_free (bench->book);
  for (guint i = 0; i < bench->calls->len; i++)
    free_call (g_ptr_array_index (bench->calls, i));
  g_ptr_array_free (bench->calls, TRUE);
  g_ptr_array_free (bench->asked, TRUE);
  for (guint i = 0; i < bench->count; i++)
    {
      g_array_free (bench->workers[i].runs, TRUE);
      g_array_free (bench->workers[i].ends, TRUE);
    }
  g_free (bench);
}

static void
list_workers (struct bench *bench)
{
  for (guint i = 0; i < bench->count; i++)
    {
      const struct bench_worker *worker = &bench->workers[i];
      char *labels[] = { "kind", (char *)worker->rack, NULL };
      struct iv_listed_worker listed = { .id = worker->id,
                                         .service = "service",
                                         .address = "127.0.0.1:1",
                                         .domain = worker->domain,
                                         .rack = worker->rack,
                                         .labels = labels,
                                         .room = { worker->room_milli, 100000, 0 },
                                         .draining = worker->draining,
                                         .born_ms = worker->born_ms };
      iv_owner_worker_listed (bench->owner, &listed, bench->now_ms);
    }
  iv_owner_worker_list_loaded (bench->owner);
}

static gboolean
on_owns_job (void *context, const struct iv_job *job)
{
  return job->moved_to < 0;
}

static gint
on_roomier_cell (void *context, gint64 cpu_milli, enum iv_capacity_kind kind)
{
  struct bench *bench = context;
  return bench->elsewhere_milli > cpu_milli ? 1 : -1;
}

static void
on_move_job (void *context, const struct iv_job *job, guint cell)
{
  struct bench *bench = context;
  char key[IV_JOB_ID_LEN + 8];
  g_snprintf (key, sizeof key, "%s" IV_KEY_MOVE, job->id);
  bench->moved++;
  if (bench->moves_wait)
    return;
  iv_book_fold (bench->book, key, (const guint8 *)(cell == 1 ? "1" : "2"), 1);
}

void
bench_own (struct bench *bench)
{
  struct iv_owner_effects effects = { .context = bench,
                                      .start = on_start,
                                      .stop = on_stop,
                                      .poll = on_look,
                                      .pace = on_pace,
                                      .advise = on_advise,
                                      .queue = on_queue,
                                      .domain_open = on_domain_open,
                                      .owns_job = on_owns_job,
                                      .roomier_cell = on_roomier_cell,
                                      .move_job = on_move_job };
  iv_owner_free (bench->owner);
  bench->term++;
  bench->owner = iv_owner_new (bench->book, bench->term, &bench->limits, &effects, bench->now_ms,
                               bench->wall_ms);
  list_workers (bench);
}

void
bench_reboot (struct bench *bench, guint i)
{
  struct bench_worker *worker = &bench->workers[i];
  g_array_set_size (worker->runs, 0);
  g_array_set_size (worker->ends, 0);
  worker->last_end = 0;
  worker->clock = 0;
  worker->fence = 0;
  worker->lease = 0;
  worker->born_ms++;
}

void
bench_submit (struct bench *bench, const char *id, const ivj_job *spec)
{
  GByteArray *bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_job, spec, IV_RECORD_MAX);
  iv_book_fold (bench->book, id, bytes->data, bytes->len);
  g_byte_array_free (bytes, TRUE);
  if (bench->owner)
    iv_owner_job_changed (bench->owner, iv_book_find (bench->book, id), bench->now_ms);
}

gboolean
bench_end (struct bench *bench, const char *id, guint step, guint index, enum iv_end_reason how)
{
  for (guint i = 0; i < bench->count; i++)
    for (guint j = 0; j < bench->workers[i].runs->len; j++)
      {
        const struct bench_run *run = &g_array_index (bench->workers[i].runs, struct bench_run, j);
        if (strcmp (run->name.job, id) == 0 && run->name.step == step && run->name.index == index)
          {
            end_run (&bench->workers[i], j, how);
            return TRUE;
          }
      }
  return FALSE;
}

void
bench_end_all (struct bench *bench, enum iv_end_reason how)
{
  for (guint i = 0; i < bench->count; i++)
    while (bench->workers[i].runs->len > 0)
      end_run (&bench->workers[i], 0, how);
}

guint
bench_running (const struct bench *bench, const char *id, guint step, guint index)
{
  guint count = 0;
  for (guint i = 0; i < bench->count; i++)
    for (guint j = 0; j < bench->workers[i].runs->len; j++)
      {
        const struct bench_run *run = &g_array_index (bench->workers[i].runs, struct bench_run, j);
        count += strcmp (run->name.job, id) == 0 && run->name.step == step
                 && run->name.index == index;
      }
  return count;
}

guint
bench_doubled (const struct bench *bench)
{
  guint most = 0;
  for (guint i = 0; i < bench->count; i++)
    for (guint j = 0; j < bench->workers[i].runs->len; j++)
      {
        const struct bench_run *run = &g_array_index (bench->workers[i].runs, struct bench_run, j);
        most = MAX (most, bench_running (bench, run->name.job, run->name.step, run->name.index));
      }
  return most;
}

guint
bench_total (const struct bench *bench)
{
  guint count = 0;
  for (guint i = 0; i < bench->count; i++)
    count += bench->workers[i].runs->len;
  return count;
}

enum ivj_state
bench_state (const struct bench *bench, const char *id)
{
  return iv_job_state (iv_book_find (bench->book, id));
}
