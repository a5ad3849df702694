#include "advice.h"
#include "crash.h"
#include "event.h"
#include "reserve.h"
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
/* Longer than the interval between dispatches, each of which extends the reservations. */
#define RENEWED_FOR_MS 500
/* When no batch task on a reserved worker has ended for this long, they may run for much longer:
   another is reserved, and this one not again for as long. */
#define RESERVE_STALL_MS 1500

/* Silence of a worker after which it is not expected back. */
#define SILENT_MAX_MS 2000

static gboolean
has_label (const struct iv_fleet_worker *worker, const char *label)
{
  return *label == '\0'
         || (worker->labels && g_strv_contains ((const char *const *)worker->labels, label));
}

guint
iv_place_count_runs (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
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
  gint64 gang_wait_ms
      = query->stage->step->flags & IVJ_GANG ? query->owner->limits.gang_wait_ms : 0;
  gint64 expires = iv_worker_clock (worker, query->now_ms)
                   + iv_place_gang_window_ms (query->owner->start_window_ms, gang_wait_ms);
  gint64 valid_until = capacity_valid_until (worker, query);
  return MIN (expires, valid_until);
}

static gboolean
is_available (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  (void)query;
  return worker->listed && worker->fenced && worker->recorded && !worker->draining
         && worker->failures == 0;
}

static gboolean
is_out_of_quarantine (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  return worker->quarantined_until_ms <= query->now_ms;
}

static gboolean
is_trusted (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  return iv_owner_trusts_instance (query->owner, worker, query->now_ms);
}

static gboolean
is_of_service (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  return strcmp (worker->service, query->service) == 0;
}

static gboolean
has_capacity (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  return iv_worker_has_capacity (worker, query->stage->step);
}

static gboolean
is_capacity_recent (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  return iv_worker_clock (worker, query->now_ms) + IV_MIN_START_WINDOW_MS
         <= capacity_valid_until (worker, query);
}

static gboolean
has_required_label (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  return has_label (worker, query->stage->step->label);
}

static gboolean
is_in_rack (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  return query->rack == NULL || strcmp (query->rack, worker->rack) == 0;
}

static gboolean
is_in_service (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  const struct iv_owner_effects *effects = &query->owner->effects;
  return effects->is_domain_in_service (effects->context, worker->domain);
}

static gboolean
is_below_worker_max (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  guint max = query->stage->step->per_worker_max;
  return max == 0 || iv_place_count_runs (worker, query) < max;
}

static gboolean
has_ticket (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  return !query->advised || iv_advice_ticket (query->stage->advice, worker, query->now_ms);
}

/* Conditions on a worker, cheap ones first; a ticket is requested only where the others hold. */
enum
{
  CONDITION_AVAILABLE,
  CONDITION_QUARANTINE,
  CONDITION_TRUST,
  CONDITION_SERVICE,
  CONDITION_CAPACITY,
  CONDITION_CAPACITY_AGE,
  CONDITION_LABEL,
  CONDITION_RACK,
  CONDITION_DOMAIN,
  CONDITION_WORKER_MAX,
  CONDITION_TICKET,
  CONDITIONS
};

static const struct
{
  const char *name;
  gboolean (*holds) (const struct iv_fleet_worker *worker, const struct iv_placement_query *query);
} conditions[CONDITIONS] = {
  [CONDITION_AVAILABLE] = { "unavailable", is_available },
  [CONDITION_QUARANTINE] = { "quarantined", is_out_of_quarantine },
  [CONDITION_TRUST] = { "untrusted", is_trusted },
  [CONDITION_SERVICE] = { "other_service", is_of_service },
  [CONDITION_CAPACITY] = { "full", has_capacity },
  [CONDITION_CAPACITY_AGE] = { "old_entry", is_capacity_recent },
  [CONDITION_LABEL] = { "other_label", has_required_label },
  [CONDITION_RACK] = { "other_rack", is_in_rack },
  [CONDITION_DOMAIN] = { "out_of_service", is_in_service },
  [CONDITION_WORKER_MAX] = { "at_worker_max", is_below_worker_max },
  [CONDITION_TICKET] = { "no_ticket", has_ticket },
};

static gboolean
hold (const struct iv_fleet_worker *worker, const struct iv_placement_query *query, guint count)
{
  for (guint i = 0; i < count; i++)
    if (!conditions[i].holds (worker, query))
      return FALSE;
  return TRUE;
}

gboolean
iv_place_is_feasible (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  return hold (worker, query, CONDITION_TICKET);
}

/* Whether nothing keeps the stage off @a worker but capacity, its own tasks there, and a ticket
   that may still be requested. */
static gboolean
is_eligible (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  for (guint i = 0; i < CONDITION_TICKET; i++)
    if (i != CONDITION_CAPACITY && i != CONDITION_WORKER_MAX
        && !conditions[i].holds (worker, query))
      return FALSE;
  return !query->advised || !iv_advice_is_denied (query->stage->advice, worker);
}

gboolean
iv_place_may_become_feasible (const struct iv_fleet_worker *worker,
                              const struct iv_placement_query *query)
{
  return query->reserves && is_eligible (worker, query) && is_below_worker_max (worker, query)
         && iv_worker_can_hold (worker, query->stage->step);
}

/* Whether @a worker is reserved for a task of the stage. */
static gboolean
is_reserved_within (const struct iv_fleet_worker *worker, const struct iv_stage *stage)
{
  const struct iv_job_task *holder = worker->reserved_for;
  return holder >= stage->tasks && holder < stage->tasks + stage->step->count;
}

/* How many more tasks of the stage @a worker takes beside @a runs of them. */
static guint
count_below_max (const struct iv_placement_query *query, guint runs)
{
  guint max = query->stage->step->per_worker_max;
  return max > 0 ? MAX (max, runs) - runs : G_MAXUINT;
}

gboolean
iv_place_is_candidate (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  return is_eligible (worker, query)
         && !(iv_reserve_is_held (worker, query->now_ms)
              && !is_reserved_within (worker, query->stage));
}

gboolean
iv_place_is_there (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  return worker->listed && !worker->draining && worker->failures == 0
         && is_of_service (worker, query) && has_required_label (worker, query)
         && is_in_service (worker, query);
}

guint
iv_place_count_fitting (const struct iv_fleet_worker *worker,
                        const struct iv_placement_query *query)
{
  if (!iv_place_is_candidate (worker, query))
    return 0;
  return MIN (iv_worker_count_fitting (worker, query->stage->step),
              count_below_max (query, iv_place_count_runs (worker, query)));
}

guint
iv_place_count_holding (const struct iv_fleet_worker *worker,
                        const struct iv_placement_query *query)
{
  gboolean stay = query->stage->step->flags & IVJ_LONG_RUNNING;
  if (!is_eligible (worker, query))
    return 0;
  return MIN (iv_worker_count_holding (worker, query->stage->step),
              count_below_max (query, stay ? iv_place_count_runs (worker, query) : 0));
}

/* Whether @a worker is there, whatever keeps it from taking tasks at the moment. */
static gboolean
is_present (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  return worker->listed && !worker->draining
         && (worker->failures == 0 || query->now_ms <= worker->alive_ms + SILENT_MAX_MS)
         && is_of_service (worker, query) && has_required_label (worker, query)
         && is_in_service (worker, query)
         && !(query->advised && iv_advice_is_denied (query->stage->advice, worker));
}

gboolean
iv_place_can_hold_stage (const struct iv_placement_query *query)
{
  const ivj_step *step = query->stage->step;
  guint needed = step->flags & IVJ_GANG ? step->count : 1;
  guint held = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, query->owner->fleet->by_id);
  while (held < needed && g_hash_table_iter_next (&iter, NULL, &value))
    if (is_present (value, query))
      held += MIN (needed, MIN (iv_worker_count_empty (value, step), count_below_max (query, 0)));
  return held >= needed;
}

static gboolean
is_usable (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  return hold (worker, query, CONDITIONS);
}

/* The condition that keeps the stage off @a worker: lack of capacity only if it is the only one;
   CONDITIONS if all hold. */
static guint
find_refusal (const struct iv_fleet_worker *worker, const struct iv_placement_query *query)
{
  for (guint i = 0; i < CONDITIONS; i++)
    if (i != CONDITION_CAPACITY && !conditions[i].holds (worker, query))
      return i;
  return has_capacity (worker, query) ? CONDITIONS : CONDITION_CAPACITY;
}

void
iv_place_log_waiting (const struct iv_placement_query *query, gint64 waited_ms)
{
  const struct iv_stage *stage = query->stage;
  guint refusals[CONDITIONS + 1] = { 0 };
  gint64 free_milli = 0;
  gint64 largest_milli = 0;
  guint holding = 0;
  guint reserved = 0;
  guint suspect = 0;
  const struct iv_owner_effects *effects = &query->owner->effects;
  const struct iv_piece need = { stage->step->cpu_milli, stage->step->mem_mb };
  GString *counts = g_string_new (NULL);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, query->owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      guint refusal = find_refusal (value, query);
      refusals[refusal]++;
      if (refusal == CONDITIONS)
        {
          reserved += iv_reserve_is_held (value, query->now_ms);
          suspect += ((const struct iv_fleet_worker *)value)->suspects > 0;
        }
      if (refusal != CONDITION_CAPACITY)
        continue;
      free_milli += iv_worker_free_milli (value);
      largest_milli = MAX (largest_milli, iv_worker_free_milli (value));
      holding += iv_worker_can_hold (value, stage->step);
    }
  for (guint i = 0; i < CONDITIONS; i++)
    if (refusals[i] > 0)
      g_string_append_printf (counts, " %s=%u", conditions[i].name, refusals[i]);
  iv_event (IV_LEVEL_INFO, "stage.waiting",
            "job=%s step=%u tasks=%u waited_ms=%" G_GINT64_FORMAT
            " needs_milli=%u needs_mb=%u free_milli=%" G_GINT64_FORMAT
            " largest_milli=%" G_GINT64_FORMAT
            " holding=%u elsewhere=%u usable=%u reserved=%u suspect=%u%s",
            query->job->id, stage->number, iv_stage_waiting (stage), waited_ms,
            stage->step->cpu_milli, stage->step->mem_mb, free_milli, largest_milli, holding,
            effects->count_elsewhere (effects->context, &need), refusals[CONDITIONS], reserved,
            suspect, counts->str);
  g_string_free (counts, TRUE);
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
  if (iv_stage_suspect (query->stage, task)->crashes > 0)
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

/* Whether no other task has reserved @a worker; members of a gang reserve for each other. */
static gboolean
is_unreserved (const struct iv_fleet_worker *worker, const struct iv_placement_query *query,
               const struct iv_job_task *task)
{
  const struct iv_stage *stage = query->stage;
  return iv_reserve_admits (worker, task, query->now_ms)
         || (stage->step->flags & IVJ_GANG && is_reserved_within (worker, stage));
}

struct iv_fleet_worker *
iv_place_task (const struct iv_placement_query *query, const struct iv_job_task *task)
{
  struct iv_fleet_worker *best = NULL;
  struct iv_fleet_worker *busy = NULL; /* the best that would do without its newest runs */
  gint64 best_score = 0;
  gboolean best_effort = (query->stage->step->flags & IVJ_BEST_EFFORT) != 0;
  gboolean gang = (query->stage->step->flags & IVJ_GANG) != 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, query->owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gint64 points;
      if (!is_usable (value, query))
        continue;
      if (!is_unreserved (value, query, task) || !iv_crash_admits (value, query, task))
        {
          busy = gang ? NULL : iv_crash_better_busy (busy, value, task, query->now_ms);
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
    iv_crash_reserve (query->owner->fleet, busy, task, query->now_ms);
  return best;
}

/* Whether nothing keeps @a task off @a worker but runs that will end or prove harmless. */
static gboolean
is_reservable (const struct iv_fleet_worker *worker, const struct iv_placement_query *query,
               const struct iv_job_task *task)
{
  return iv_reserve_admits (worker, task, query->now_ms)
         && query->now_ms >= worker->unreservable_until_ms
         && iv_place_may_become_feasible (worker, query) && has_ticket (worker, query);
}

static struct iv_fleet_worker *
find_reservable (const struct iv_placement_query *query, const struct iv_job_task *task)
{
  struct iv_fleet_worker *best = NULL;
  double best_shortage = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, query->owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      double shortage = iv_worker_shortage (value, query->stage->step);
      if ((best && shortage >= best_shortage) || !is_reservable (value, query, task))
        continue;
      best = value;
      best_shortage = shortage;
    }
  return best;
}

struct iv_fleet_worker *
iv_place_reserved (const struct iv_placement_query *query, const struct iv_job_task *task)
{
  struct iv_fleet_worker *worker = iv_reserve_find (query->owner->fleet, task, query->now_ms);
  return worker && is_usable (worker, query) && iv_crash_admits (worker, query, task) ? worker
                                                                                      : NULL;
}

static void
note_progress (struct iv_fleet_worker *worker, const ivj_step *step, gint64 now_ms)
{
  double shortage = iv_worker_shortage (worker, step);
  if (shortage < worker->reserved_shortage)
    {
      worker->reserved_shortage = shortage;
      worker->reserved_progress_ms = now_ms;
    }
  else if (now_ms >= worker->reserved_progress_ms + RESERVE_STALL_MS)
    worker->unreservable_until_ms = now_ms + RESERVE_STALL_MS;
}

enum iv_reserve_outcome
iv_place_reserve (const struct iv_placement_query *query, const struct iv_job_task *task,
                  guint max_percent)
{
  struct iv_fleet *fleet = query->owner->fleet;
  gint64 now_ms = query->now_ms;
  struct iv_fleet_worker *worker = iv_reserve_find (fleet, task, now_ms);
  gboolean is_new = worker == NULL;
  if (worker)
    note_progress (worker, query->stage->step, now_ms);
  if (is_new || !is_reservable (worker, query, task))
    worker = find_reservable (query, task);
  if (worker == NULL)
    return IV_RESERVE_IMPOSSIBLE;
  if (is_new
      && iv_reserve_count (fleet, now_ms) * 100
             >= MAX (100, g_hash_table_size (fleet->by_id) * max_percent))
    return IV_RESERVE_LATER;
  iv_reserve_hold (fleet, worker, task, now_ms, now_ms + RENEWED_FOR_MS);
  return IV_RESERVE_DONE;
}
