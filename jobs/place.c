#include "advice.h"
#include "sharing.h"

#include <string.h>

/* Terms of a score, in thousandths of a core: higher is better. */
#define SCORE_NEAR 1000000    /* beside its data: elsewhere it takes a multiple of the time */
#define SCORE_AVOID (-500000) /* where it failed last */
#define SCORE_SAME_IMAGE 10000
#define SCORE_OTHER_IMAGE (-60000)
#define SCORE_TAIL (-120000) /* a tail at its target */
#define TAIL_WORST 10.0      /* beyond it all are alike */
#define TAIL_MAX 0.70        /* of a target: no task that fills is added beyond */

static gboolean
has_label (const struct iv_fleet_worker *worker, const char *label)
{
  return *label == '\0'
         || (worker->labels && g_strv_contains ((const char *const *)worker->labels, label));
}

static guint
siblings (const struct iv_fleet_worker *worker, const struct iv_placement_view *view)
{
  guint count = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct iv_run *run = g_ptr_array_index (worker->runs, i);
      count += run->name.step == view->stage->number && run->name.occurrence == view->occurrence
               && strcmp (run->name.job, view->job->id) == 0;
    }
  return count;
}

gboolean
iv_place_fits (const struct iv_fleet_worker *worker, const struct iv_placement_view *view)
{
  const ivj_step *step = view->stage->step;
  const struct iv_owner *owner = view->owner;
  return worker->listed && worker->fenced && !worker->draining && worker->failures == 0
         && worker->quarantined_until_ms <= view->now_ms
         && strcmp (worker->service, view->service) == 0 && iv_worker_has_capacity (worker, step)
         && has_label (worker, step->label)
         && (view->rack == NULL || strcmp (view->rack, worker->rack) == 0)
         && owner->effects.domain_open (owner->effects.context, worker->domain)
         && (step->per_worker_max == 0 || siblings (worker, view) < step->per_worker_max);
}

static gboolean
is_usable (const struct iv_fleet_worker *worker, const struct iv_placement_view *view)
{
  return iv_place_fits (worker, view)
         && (!view->advised || iv_advice_ticket (view->stage->advice, worker, view->now_ms));
}

/* Tasks that serve keep to their own image: what fills then finds workers where it harms nobody. */
static gint64
company (const struct iv_fleet_worker *worker, guint32 workload)
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
score (const struct iv_fleet_worker *worker, const struct iv_placement_view *view,
       const struct iv_job_task *task)
{
  const ivj_step *step = view->stage->step;
  gint64 value;
  /* What needs room is packed: it leaves whole workers to what fills, and wide tasks find room. */
  if (step->flags & IVJ_BEST_EFFORT)
    value = iv_sharing_leftover (worker);
  else
    value = worker->used.cpu_milli - worker->capacity.cpu_milli;
  if (*step->data_rack && strcmp (step->data_rack, worker->rack) == 0)
    value += SCORE_NEAR;
  if (task->avoid_worker == worker->handle)
    value += SCORE_AVOID;
  if (step->target_ms > 0)
    value += company (worker, view->workload);
  return value;
}

/* Points of a place for a task that fills, less its harm to tasks that serve. FALSE when the harm
   would be too much; a starved job takes the place that harms least. */
static gboolean
allow_fill (const struct iv_fleet_worker *worker, const struct iv_placement_view *view,
            gint64 *points)
{
  double tail;
  if (!view->starved && iv_sharing_leftover (worker) < view->stage->step->cpu_milli)
    return FALSE;
  tail = iv_sharing_expect (view->owner, worker, view->stage->step, view->workload, view->now_ms);
  if (tail > TAIL_MAX && !view->starved)
    return FALSE;
  *points += (gint64)(MIN (tail, TAIL_WORST) * SCORE_TAIL);
  return TRUE;
}

struct iv_fleet_worker *
iv_place (const struct iv_placement_view *view, const struct iv_job_task *task)
{
  struct iv_fleet_worker *best = NULL;
  gint64 best_score = 0;
  gboolean fills = (view->stage->step->flags & IVJ_BEST_EFFORT) != 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, view->owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gint64 points;
      if (!is_usable (value, view))
        continue;
      points = score (value, view, task);
      if ((best && points <= best_score) || (fills && !allow_fill (value, view, &points)))
        continue;
      if (best == NULL || points > best_score)
        {
          best = value;
          best_score = points;
        }
    }
  return best;
}
