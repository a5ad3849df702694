#include "sharing.h"

#include "event.h"

#include <string.h>

#define CPU_LIMIT_STEP_PERCENT 10
/* Below this limit a task is halted: it would hold resources for little progress. */
#define CPU_LIMIT_MIN_PERCENT 20
/* Best-effort tasks are throttled to keep tail latencies below this share of the target. */
#define TAIL_LIMIT 0.95
/* From a halt of every best-effort task on a worker until the tail latencies on it show it: one
   poll, and the interval that a tail latency covers. */
#define HALT_REACTION_MS 1000
/* Added tail latency, as a share of the baseline and for use of a whole host, above which a task is
   throttled: most pairs are near 0.2, or above 4. */
#define THROTTLE_INTERFERENCE 1.0
/* Added tail latency, as a share of the baseline, below which placement ignores it. */
#define NEGLIGIBLE_INTERFERENCE 0.02
#define HALTED_MAX_MS 250    /* after this, a halted task that saves its progress is moved */
#define BEST_EFFORT_USE 0.85 /* share of its declared cores that a task uses, if unknown */
#define BASELINE_GAIN 0.4    /* weight of a new observation of the baseline */
/* Lowers the gain, per share of the host that best-effort tasks on it use. */
#define BASELINE_GAIN_DAMPING 10.0
/* Share of its declared cores that a latency-critical task uses: they are sized for peak load. */
#define LATENCY_CRITICAL_USE 0.50
#define CAUTION_DEVIATIONS 0.5 /* standard deviations added to the interference of a pair */
#define NEIGHBOURS_MAX 64

guint32
iv_sharing_workload (struct iv_owner *owner, const ivj_step *step)
{
  char name[64];
  if (step == NULL || *step->image == '\0')
    return 0;
  /* The model strips a number at the end of a name, which may be all that tells images apart. */
  g_snprintf (name, sizeof name, "%.60s/", step->image);
  return iv_interference_workload (owner->model, name);
}

/* Whether @a run has a latency target and is running. */
static gboolean
is_latency_critical (const struct iv_run *run)
{
  return run->phase == IV_RUN_PHASE_RUNNING && run->step && run->step->target_ms > 0;
}

/* Whether the tail latency of @a run stays over its target although the tasks that are known to
   interfere are throttled. Then every best-effort task on the worker is halted, in time for the
   tail latency to fall before the longest time that it may stay over its target. One inexact
   report below the target restarts the count, so only half of that time may pass. */
static gboolean
is_harmed (const struct iv_owner *owner, const struct iv_run *run, gint64 now_ms)
{
  return run->over_target_since_ms > 0
         && now_ms >= run->over_target_since_ms
                          + MAX (0, (owner->limits.harm_ms - HALT_REACTION_MS) / 2);
}

static gboolean
is_best_effort (const struct iv_run *run)
{
  return run->step && (run->step->flags & IVJ_BEST_EFFORT) && run->phase != IV_RUN_PHASE_STOPPING;
}

/* Share of its host that @a run uses at full speed. */
static double
full_speed_share (const struct iv_run *run)
{
  return BEST_EFFORT_USE * (double)run->step->cpu_milli
         / (double)MAX (run->worker->capacity.cpu_milli, 1);
}

/* Share of its host that @a run uses now. The CPU use in a poll reply covers the same interval as
   the tail latencies in it. */
static double
current_share (const struct iv_run *run)
{
  if (run->reported_load > 0 && run->percent > 0)
    return (double)run->reported_load / (double)MAX (run->worker->capacity.cpu_milli, 1);
  return full_speed_share (run) * run->cpu_limit_sent_percent / IV_FULL_SPEED_PERCENT;
}

static double
interference (const struct iv_owner *owner, guint32 victim, guint32 other, double share,
              gint64 now_ms)
{
  return iv_interference_slowdown (owner->model, victim, other, share, CAUTION_DEVIATIONS, now_ms);
}

static struct iv_stage *
find_stage (struct iv_owner *owner, const struct iv_run *run)
{
  struct iv_job_exec *exec = iv_owner_find_exec (owner, &run->name);
  struct iv_stage *stage = NULL;
  if (exec)
    iv_job_exec_task (exec, &run->name, &stage);
  return stage;
}

static guint
list_neighbours (const struct iv_fleet_worker *worker,
                 struct iv_neighbour neighbours[NEIGHBOURS_MAX], double *total)
{
  guint count = 0;
  *total = 0;
  for (guint i = 0; i < worker->runs->len && count < NEIGHBOURS_MAX; i++)
    {
      const struct iv_run *run = g_ptr_array_index (worker->runs, i);
      if (!is_best_effort (run) || run->workload == 0)
        continue;
      neighbours[count].workload = run->workload;
      neighbours[count].share = current_share (run);
      *total += neighbours[count].share;
      count++;
    }
  return count;
}

static double
total_interference (const struct iv_owner *owner, guint32 victim,
                    const struct iv_neighbour *neighbours, guint count, gint64 now_ms)
{
  double sum = 0;
  for (guint i = 0; i < count; i++)
    sum += iv_interference_pair (owner->model, victim, neighbours[i].workload, now_ms).mean
           * neighbours[i].share;
  return sum;
}

/* Updates the baseline of the stage of @a run, and the model. The load of a job is the same
   wherever its tasks run, so tasks without neighbours show its baseline. */
static void
update_baseline (struct iv_owner *owner, struct iv_run *run, const struct iv_neighbour *neighbours,
                 guint count, double total, gint64 now_ms)
{
  struct iv_stage *stage = find_stage (owner, run);
  double tail = (double)run->reported_load;
  double baseline;
  double gain;
  if (tail <= run->step->target_ms)
    run->over_target_since_ms = 0;
  else if (run->over_target_since_ms == 0)
    run->over_target_since_ms = now_ms;
  if (stage == NULL || tail <= 0)
    return;
  baseline = tail / (1 + total_interference (owner, run->workload, neighbours, count, now_ms));
  gain = stage->baseline_tail_ms > 0 ? BASELINE_GAIN / (1 + BASELINE_GAIN_DAMPING * total) : 1;
  stage->baseline_tail_ms += gain * (baseline - stage->baseline_tail_ms);
  if (count > 0)
    iv_interference_observe (owner->model, run->workload, neighbours, count,
                             tail / stage->baseline_tail_ms - 1,
                             (guint64)run->number << 8 | run->name.index, now_ms);
  run->predicted_tail = stage->baseline_tail_ms
                        * (1 + total_interference (owner, run->workload, neighbours, count, now_ms))
                        / run->step->target_ms;
  run->baseline = stage->baseline_tail_ms / run->step->target_ms;
}

static void
set_cpu_limit (struct iv_owner *owner, struct iv_run *run, guint cpu_limit_percent, gint64 now_ms)
{
  if (run->cpu_limit_percent != cpu_limit_percent)
    iv_run_time_note_limit (run, now_ms);
  if (run->cpu_limit_percent != 0 && cpu_limit_percent == 0)
    run->halted_since_ms = now_ms;
  run->cpu_limit_percent = cpu_limit_percent;
  if (cpu_limit_percent == run->cpu_limit_sent_percent || run->phase != IV_RUN_PHASE_RUNNING)
    return;
  run->cpu_limit_sent_percent = cpu_limit_percent;
  run->progress_changed_ms = now_ms;
  owner->effects.throttle (owner->effects.context, run->worker, &run->name, run->number,
                           cpu_limit_percent);
}

/* Whether @a run interferes enough with @a victim to be throttled for it. */
static gboolean
is_throttled_for (const struct iv_owner *owner, const struct iv_run *run,
                  const struct iv_run *victim, gint64 now_ms)
{
  return iv_interference_pair (owner->model, victim->workload, run->workload, now_ms).mean
         > THROTTLE_INTERFERENCE;
}

/* CPU limit, in percent, at which @a run and all others that are throttled for @a victim keep its
   tail latency within the limit. */
static double
cpu_limit_for (const struct iv_owner *owner, const struct iv_run *run, const struct iv_run *victim,
               gint64 now_ms)
{
  double throttled = 0;
  double others = 0;
  if (is_harmed (owner, victim, now_ms))
    return 0;
  if (victim->baseline <= 0 || !is_throttled_for (owner, run, victim, now_ms))
    return IV_FULL_SPEED_PERCENT;
  for (guint i = 0; i < victim->worker->runs->len; i++)
    {
      const struct iv_run *other = g_ptr_array_index (victim->worker->runs, i);
      double added;
      if (!is_best_effort (other))
        continue;
      added = interference (owner, victim->workload, other->workload, full_speed_share (other),
                            now_ms);
      if (is_throttled_for (owner, other, victim, now_ms))
        throttled += added;
      else
        others += added;
    }
  return IV_FULL_SPEED_PERCENT * (TAIL_LIMIT / victim->baseline - 1 - others) / throttled;
}

static guint
max_cpu_limit_percent (const struct iv_owner *owner, const struct iv_run *run, gint64 now_ms)
{
  double allowed = IV_FULL_SPEED_PERCENT;
  for (guint i = 0; i < run->worker->runs->len; i++)
    {
      const struct iv_run *victim = g_ptr_array_index (run->worker->runs, i);
      if (is_latency_critical (victim))
        allowed = MIN (allowed, cpu_limit_for (owner, run, victim, now_ms));
    }
  return allowed < CPU_LIMIT_MIN_PERCENT
             ? 0
             : (guint)allowed / CPU_LIMIT_STEP_PERCENT * CPU_LIMIT_STEP_PERCENT;
}

/* Whether no other run of its job is placed; such a run is not moved. */
static gboolean
is_last_run (struct iv_owner *owner, const struct iv_run *run)
{
  const struct iv_job_exec *exec = iv_owner_find_exec (owner, &run->name);
  return exec && exec->placed <= 1;
}

static void
update_cpu_limit (struct iv_owner *owner, struct iv_run *run, gint64 now_ms)
{
  set_cpu_limit (owner, run, max_cpu_limit_percent (owner, run, now_ms), now_ms);
  if (run->cpu_limit_percent > 0 || now_ms < run->halted_since_ms + HALTED_MAX_MS
      || run->phase != IV_RUN_PHASE_RUNNING || !(run->step->flags & IVJ_SAVES_PROGRESS)
      || is_last_run (owner, run))
    return;
  iv_event (IV_LEVEL_INFO, "run.moved", "job=%s step=%u index=%u worker=%s reason=halted",
            run->name.job, run->name.step, run->name.index, run->worker->id);
  iv_owner_stop_run (owner, run, now_ms);
}

void
iv_sharing_update (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 now_ms)
{
  struct iv_neighbour neighbours[NEIGHBOURS_MAX];
  double total;
  guint count = list_neighbours (worker, neighbours, &total);
  if (worker->latency_tasks == 0 && count == 0)
    return;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      struct iv_run *run = g_ptr_array_index (worker->runs, i);
      if (is_latency_critical (run))
        update_baseline (owner, run, neighbours, count, total, now_ms);
    }
  for (guint i = 0; i < worker->runs->len; i++)
    {
      struct iv_run *run = g_ptr_array_index (worker->runs, i);
      if (is_best_effort (run))
        update_cpu_limit (owner, run, now_ms);
    }
}

static void
add_pair (void *context, const char *victim, const char *other,
          const struct iv_pair_estimate *estimate)
{
  ivj_model *model = context;
  if (model->pairs.pairs_len == IVJ_PAIRS_MAX)
    return;
  model->pairs.pairs_val[model->pairs.pairs_len++]
      = (ivj_pair){ (char *)victim, (char *)other, estimate->mean, estimate->variance };
}

GByteArray *
iv_owner_save_model (const struct iv_owner *owner, gint64 now_ms)
{
  ivj_pair *pairs = g_new0 (ivj_pair, IVJ_PAIRS_MAX);
  ivj_model model = { .pairs = { 0, pairs } };
  GByteArray *bytes = NULL;
  iv_interference_foreach (owner->model, add_pair, &model, now_ms);
  if (model.pairs.pairs_len > 0)
    bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_model, &model, IV_RECORD_MAX_BYTES);
  g_free (pairs);
  return bytes;
}

void
iv_owner_load_model (struct iv_owner *owner, const guint8 *bytes, gsize len, gint64 now_ms)
{
  ivj_model model = { 0 };
  if (iv_xdr_decode ((iv_xdr_proc)xdr_ivj_model, bytes, len, &model) != IV_OK)
    {
      iv_event (IV_LEVEL_WARNING, "model.ignored", "bytes=%zu", len);
      return;
    }
  for (guint i = 0; i < model.pairs.pairs_len; i++)
    {
      const ivj_pair *pair = &model.pairs.pairs_val[i];
      struct iv_pair_estimate estimate = { pair->mean, pair->variance, 1 };
      guint32 victim = iv_interference_workload (owner->model, pair->victim);
      guint32 other = iv_interference_workload (owner->model, pair->other);
      if (iv_interference_pair (owner->model, victim, other, now_ms).variance > pair->variance)
        iv_interference_set (owner->model, victim, other, &estimate, now_ms);
    }
  iv_event (IV_LEVEL_INFO, "model.loaded", "pairs=%u", model.pairs.pairs_len);
  xdr_free ((xdrproc_t)xdr_ivj_model, (char *)&model);
}

double
iv_sharing_expected_tail (const struct iv_owner *owner, const struct iv_fleet_worker *worker,
                          const ivj_step *step, guint32 workload, gint64 now_ms)
{
  double share = (double)step->cpu_milli / (double)MAX (worker->capacity.cpu_milli, 1);
  double worst = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct iv_run *run = g_ptr_array_index (worker->runs, i);
      double added;
      if (!is_latency_critical (run))
        continue;
      if (is_harmed (owner, run, now_ms))
        return G_MAXDOUBLE;
      added = interference (owner, run->workload, workload, share, now_ms);
      if (added < NEGLIGIBLE_INTERFERENCE)
        continue;
      worst
          = MAX (worst, MAX (run->predicted_tail, (double)run->reported_load / run->step->target_ms)
                            + added * run->baseline);
    }
  return worst;
}

void
iv_sharing_add_run (const struct iv_owner *owner, const struct iv_run *run, gint64 now_ms)
{
  if (!is_best_effort (run))
    return;
  for (guint i = 0; i < run->worker->runs->len; i++)
    {
      struct iv_run *victim = g_ptr_array_index (run->worker->runs, i);
      if (is_latency_critical (victim))
        victim->predicted_tail
            += interference (owner, victim->workload, run->workload, current_share (run), now_ms)
               * victim->baseline;
    }
}

gint64
iv_sharing_spare_milli (const struct iv_fleet_worker *worker)
{
  return worker->capacity.cpu_milli - worker->best_effort_cpu_milli
         - (worker->used.cpu_milli - worker->latency_cpu_milli)
         - (gint64)((double)worker->latency_cpu_milli * LATENCY_CRITICAL_USE);
}
