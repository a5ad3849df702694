#include "advice.h"
#include "crash.h"
#include "sharing.h"

#include <string.h>

/* Terms of the score of a worker, in thousandths of a core: higher is better. */
/* In the rack of its data: elsewhere a task takes several times as long. */
#define SCORE_DATA_LOCAL 1000000
#define SCORE_AVOID (-500000) /* the worker on which the task failed last */
#define SCORE_SAME_IMAGE 10000
#define SCORE_OTHER_IMAGE (-60000)
#define SCORE_TAIL (-120000) /* for a tail latency at its target */
#define TAIL_SCORE_CAP 10.0  /* multiple of a target beyond which all score the same */
#define TAIL_MAX 0.70        /* share of a target beyond which no best-effort task is added */

static gboolean
has_label (const struct iv_fleet_worker *worker, const char *label)
{
  return *label == '\0'
         || (worker->labels && g_strv_contains ((const char *const *)worker->labels, label));
}

/* Number of tasks of the stage on @a worker. */
static guint
count_stage_runs (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  guint count = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct iv_run *run = g_ptr_array_index (worker->runs, i);
      count += run->name.step == query->stage->number && run->name.occurrence == query->occurrence
               && strcmp (run->name.job, query->job->id) == 0;
    }
  return count;
}

/* Until when the capacity in the entry of @a worker holds, on its clock. */
static gint64
capacity_valid_until (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  if (query->checks_capacity || worker->entry_clock_ms == 0)
    return G_MAXINT64;
  return worker->entry_clock_ms + query->owner->limits.capacity_max_age_ms;
}

gint64
iv_place_start_deadline (const struct iv_fleet_worker *worker,
                         const struct iv_placement_query *query)
{
  gint64 expires = iv_worker_clock (worker, query->now_ms) + query->owner->start_window_ms;
  gint64 valid_until = capacity_valid_until (worker, query);
  return MIN (expires, valid_until);
}

gboolean
iv_place_is_feasible (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  const ivj_step *step = query->stage->step;
  const struct iv_owner *owner = query->owner;
  return worker->listed && worker->fenced && worker->recorded && !worker->draining
         && worker->failures == 0 && worker->quarantined_until_ms <= query->now_ms
         && iv_owner_trusts_instance (owner, worker, query->now_ms)
         && strcmp (worker->service, query->service) == 0 && iv_worker_has_capacity (worker, step)
         && iv_worker_clock (worker, query->now_ms) + IV_MIN_START_WINDOW_MS
                <= capacity_valid_until (worker, query)
         && has_label (worker, step->label)
         && (query->rack == NULL || strcmp (query->rack, worker->rack) == 0)
         && owner->effects.is_domain_in_service (owner->effects.context, worker->domain)
         && (step->per_worker_max == 0 || count_stage_runs (worker, query) < step->per_worker_max);
}

static gboolean
is_usable (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  return iv_place_is_feasible (worker, query)
         && (!query->advised || iv_advice_ticket (query->stage->advice, worker, query->now_ms));
}

/* Groups latency-critical tasks by image, so that best-effort tasks find workers on which they do
   not interfere. */
static gint64
image_affinity (const struct iv_fleet_worker *worker, guint32 workload)
{
  gint64 points = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct iv_run *run = g_ptr_array_index (worker->runs, i);
      if (run->step && run->step->target_ms > 0)
        points += run->workload == workload ? SCORE_SAME_IMAGE : SCORE_OTHER_IMAGE;
    }
  return points;
}

static gint64
score (const struct iv_fleet_worker *worker, const struct iv_placement_query *query,
       const struct iv_job_task *task)
{
  const ivj_step *step = query->stage->step;
  gint64 value;
  /* Tasks that reserve cores are packed, which leaves whole workers to best-effort tasks and to
     tasks that need many cores. */
  if (step->flags & IVJ_BEST_EFFORT)
    value = iv_sharing_spare_milli (worker);
  else
    value = worker->used.cpu_milli - worker->capacity.cpu_milli;
  if (*step->data_rack && strcmp (step->data_rack, worker->rack) == 0)
    value += SCORE_DATA_LOCAL;
  if (task->avoid_worker == worker->handle)
    value += SCORE_AVOID;
  if (task->crashes > 0)
    value += iv_crash_score (worker);
  if (step->target_ms > 0)
    value += image_affinity (worker, query->workload);
  return value;
}

/* Subtracts the expected tail latency beside a best-effort task from the score @a points. FALSE
   when it would be too high; a starved job takes the worker with the lowest. */
static gboolean
score_best_effort (const struct iv_fleet_worker *worker, const struct iv_placement_query *query,
                   gint64 *points)
{
  double tail;
  if (!query->starved && iv_sharing_spare_milli (worker) < query->stage->step->cpu_milli)
    return FALSE;
  tail = iv_sharing_expected_tail (query->owner, worker, query->stage->step, query->workload,
                                   query->now_ms);
  if (tail > TAIL_MAX && !query->starved)
    return FALSE;
  *points += (gint64)(MIN (tail, TAIL_SCORE_CAP) * SCORE_TAIL);
  return TRUE;
}

struct iv_fleet_worker *
iv_place_task (const struct iv_placement_query *query, const struct iv_job_task *task)
{
  struct iv_fleet_worker *best = NULL;
  struct iv_fleet_worker *busy = NULL; /* the best that would do without its newest runs */
  gint64 best_score = 0;
  gboolean best_effort = (query->stage->step->flags & IVJ_BEST_EFFORT) != 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, query->owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gint64 points;
      if (!is_usable (value, query))
        continue;
      if (!iv_crash_admits (value, task, query->now_ms))
        {
          busy = iv_crash_better_busy (busy, value, task, query->now_ms);
          continue;
        }
      points = score (value, query, task);
      if ((best && points <= best_score)
          || (best_effort && !score_best_effort (value, query, &points)))
        continue;
      if (best == NULL || points > best_score)
        {
          best = value;
          best_score = points;
        }
    }
  if (best == NULL && busy)
    iv_crash_reserve (query->owner, busy, task, query->now_ms);
  return best;
}
