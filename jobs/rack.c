#include "rack.h"

#include "rack_room.h"
#include "waits.h"

#include <string.h>

/* What a rack can take of a stage, in tasks. */
struct rack
{
  const char *name;
  guint fits;         /* now */
  guint holds;        /* once the tasks there that end by themselves have ended */
  guint runs;         /* of the stage */
  gboolean usable;    /* a worker there can be used, or will be */
  GPtrArray *workers; /* kept from the stage by nothing but their runs */
};

static guint
add_capped (guint a, guint b)
{
  return a > G_MAXUINT - b ? G_MAXUINT : a + b;
}

static void
rack_free (gpointer data)
{
  struct rack *rack = data;
  g_ptr_array_free (rack->workers, TRUE);
  g_free (rack);
}

static struct rack *
find_or_add (GPtrArray *racks, GHashTable *by_name, const char *name)
{
  struct rack *rack = g_hash_table_lookup (by_name, name);
  if (rack)
    return rack;
  rack = g_new0 (struct rack, 1);
  rack->name = name;
  rack->workers = g_ptr_array_new ();
  g_hash_table_insert (by_name, (gpointer)name, rack);
  g_ptr_array_add (racks, rack);
  return rack;
}

static GPtrArray *
count_racks (const struct iv_placement_query *query)
{
  GPtrArray *racks = g_ptr_array_new_with_free_func (rack_free);
  GHashTable *by_name = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, query->owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_fleet_worker *worker = value;
      struct rack *rack = find_or_add (racks, by_name, worker->rack);
      rack->fits = add_capped (rack->fits, iv_place_count_fitting (worker, query));
      rack->holds = add_capped (rack->holds, iv_place_count_holding (worker, query));
      rack->runs += iv_place_count_runs (worker, query);
      rack->usable |= iv_place_is_there (worker, query);
      if (query->owner->lengths && iv_place_is_candidate (worker, query))
        g_ptr_array_add (rack->workers, value);
    }
  g_hash_table_destroy (by_name);
  return racks;
}

/* The rack that is preferred to start the stage in: by what fits, then by what it holds. */
static const struct rack *
find_best (const GPtrArray *racks, guint holds_min)
{
  const struct rack *best = NULL;
  for (guint i = 0; i < racks->len; i++)
    {
      const struct rack *rack = g_ptr_array_index (racks, i);
      if (rack->holds < holds_min)
        continue;
      if (best == NULL || rack->fits > best->fits
          || (rack->fits == best->fits && rack->holds > best->holds))
        best = rack;
    }
  return best;
}

/* Number of racks that tasks of the stage run in, and one of them. */
static guint
count_in_use (const GPtrArray *racks, const struct rack **in_use)
{
  guint count = 0;
  for (guint i = 0; i < racks->len; i++)
    {
      const struct rack *rack = g_ptr_array_index (racks, i);
      if (rack->runs == 0)
        continue;
      *in_use = rack;
      count++;
    }
  return count;
}

/* Tasks that end by themselves can take turns in a rack that holds one; the others need room for
   all that wait. */
static guint
holds_min (const struct iv_stage *stage)
{
  gboolean together = stage->step->flags & (IVJ_GANG | IVJ_LONG_RUNNING);
  return together ? MAX (1, iv_stage_waiting (stage)) : 1;
}

/* The only rack that the stage may prefer; NULL: there is none. A stage on several racks takes
   longer already. */
static const struct rack *
choose (const GPtrArray *racks, const struct iv_stage *stage)
{
  const struct rack *rack = NULL;
  guint count = count_in_use (racks, &rack);
  if (count > 1)
    return NULL;
  if (rack)
    return rack->holds >= holds_min (stage) ? rack : NULL;
  return find_best (racks, holds_min (stage));
}

/* Tasks that wait for @a rack ahead of the stage in the queue, in tasks of the stage. */
static guint
count_claimed (const struct iv_placement_query *query, const struct rack *rack)
{
  const gint64 *milli = g_hash_table_lookup (query->owner->rack_claims, rack->name);
  gint64 cpu_milli = query->stage->step->cpu_milli;
  if (milli == NULL || cpu_milli == 0)
    return 0;
  return (guint)MIN ((*milli + cpu_milli - 1) / cpu_milli, IVJ_TASKS_MAX);
}

static gint64
room_in_ms (const struct iv_placement_query *query, const GPtrArray *workers, guint tasks)
{
  struct iv_room_need need
      = { query->stage->step, tasks, iv_job_exec_expected_ms (query->exec, query->stage) };
  return iv_rack_room_in_ms (workers, &need, query->owner->lengths, query->now_ms);
}

static gint64
rack_room_in_ms (const struct iv_placement_query *query, const struct rack *rack, guint tasks)
{
  guint needed = iv_place_tasks_needed (tasks, count_claimed (query, rack), rack->fits);
  if (rack->fits >= needed)
    return 0;
  if (rack->holds < holds_min (query->stage))
    return IV_PLACE_NEVER;
  return room_in_ms (query, rack->workers, needed);
}

/* Time until @a tasks tasks of the stage, and those that wait for a rack ahead of it, have room
   anywhere. */
static gint64
elsewhere_in_ms (const struct iv_placement_query *query, const GPtrArray *racks, guint tasks)
{
  GPtrArray *all = g_ptr_array_new ();
  guint fits = 0;
  gint64 in_ms = 0;
  for (guint i = 0; i < racks->len; i++)
    {
      const struct rack *rack = g_ptr_array_index (racks, i);
      tasks = add_capped (tasks, count_claimed (query, rack));
      fits = add_capped (fits, rack->fits);
      for (guint j = 0; j < rack->workers->len; j++)
        g_ptr_array_add (all, g_ptr_array_index (rack->workers, j));
    }
  if (fits < tasks)
    in_ms = room_in_ms (query, all, tasks);
  g_ptr_array_free (all, TRUE);
  return in_ms;
}

static struct iv_place_query
make_inputs (const struct iv_placement_query *query)
{
  const struct iv_stage *stage = query->stage;
  return (struct iv_place_query){
    .waited_for = stage->wait.place,
    .rest_ms = MIN (iv_job_exec_expected_ms (query->exec, stage), G_MAXINT),
    .far_factor_milli = query->owner->limits.far_factor_milli,
    .since_ms = stage->waiting_since_ms,
    .now_ms = query->now_ms,
    .fitted = stage->wait.fitted,
  };
}

static struct iv_place_bounds
make_bounds (const struct iv_placement_query *query)
{
  u_int flags = query->stage->step->flags;
  return (struct iv_place_bounds){
    .long_running = (flags & IVJ_LONG_RUNNING) != 0,
    .gang_wait_ms = flags & IVJ_GANG ? query->owner->limits.gang_wait_ms : 0,
    .idle_since_ms = query->exec->placed > 0 ? 0 : query->exec->last_placed_ms,
    .objective_ms = query->exec->objective_ms,
  };
}

/* No rack is to be preferred. */
static const struct rack no_rack;

/* The places that the module of decisions sees; durations until they have room only where they are
   learnt. @a only: no other is considered; NULL: all are. */
static struct iv_place *
make_places (const struct iv_placement_query *query, const GPtrArray *racks,
             const struct rack *only, guint tasks)
{
  struct iv_place *places = g_new0 (struct iv_place, MAX (1, racks->len));
  for (guint i = 0; i < racks->len; i++)
    {
      const struct rack *rack = g_ptr_array_index (racks, i);
      places[i] = (struct iv_place){ rack->name, rack->fits, IV_PLACE_NEVER, rack->usable };
      if (only && only != rack)
        continue;
      if (query->owner->lengths)
        places[i].room_in_ms = rack_room_in_ms (query, rack, tasks);
      else
        places[i].room_in_ms = rack->fits >= tasks ? 0 : 1;
    }
  return places;
}

/* Without learnt durations: wait for the rack that takes most, by the estimate. */
static struct iv_place_decision
decide_by_estimate (const struct iv_placement_query *query, const GPtrArray *racks,
                    struct iv_place_query *inputs)
{
  const struct rack *rack = choose (racks, query->stage);
  struct iv_place *places
      = make_places (query, racks, rack ? rack : &no_rack, iv_stage_waiting (query->stage));
  struct iv_place_decision made;
  inputs->places = places;
  inputs->count = racks->len;
  inputs->preferred = rack ? rack->name : NULL;
  inputs->bounds.idle_since_ms = inputs->since_ms;
  made = iv_place_wait_constant (inputs);
  g_free (places);
  inputs->places = NULL;
  return made;
}

static struct iv_place_decision
decide_rack (const struct iv_placement_query *query, const GPtrArray *racks,
             struct iv_place_query *inputs)
{
  const struct rack *in_use = NULL;
  guint count = count_in_use (racks, &in_use);
  guint tasks = iv_stage_waiting (query->stage);
  struct iv_place *places = make_places (query, racks, count > 1 ? &no_rack : in_use, tasks);
  struct iv_place_decision made;
  inputs->places = places;
  inputs->count = racks->len;
  inputs->preferred = count == 1 ? in_use->name : NULL;
  inputs->bounds = make_bounds (query);
  inputs->elsewhere_in_ms = elsewhere_in_ms (query, racks, tasks);
  made = iv_place_wait_decide (inputs);
  g_free (places);
  inputs->places = NULL;
  return made;
}

/* Tasks with data are on their own: the decision is that of the middle one of those that do not
   find room now, and a gang's that of all. */
static guint
count_for_data (const struct iv_placement_query *query, guint fits)
{
  guint waiting = iv_stage_waiting (query->stage);
  if (query->stage->step->flags & IVJ_GANG || fits >= waiting)
    return waiting;
  return fits + (waiting - fits + 1) / 2;
}

static struct iv_place_decision
decide_data (const struct iv_placement_query *query, const GPtrArray *racks,
             struct iv_place_query *inputs)
{
  const char *name = query->stage->step->data_rack;
  struct iv_place place = { .name = name, .room_in_ms = IV_PLACE_NEVER };
  struct iv_place_decision made;
  guint tasks = iv_stage_waiting (query->stage);
  for (guint i = 0; i < racks->len; i++)
    {
      const struct rack *rack = g_ptr_array_index (racks, i);
      if (strcmp (rack->name, name) != 0)
        continue;
      tasks = count_for_data (query, rack->fits);
      place = (struct iv_place){ name, rack->fits, rack_room_in_ms (query, rack, tasks),
                                 rack->usable };
    }
  inputs->places = &place;
  inputs->count = 1;
  inputs->preferred = name;
  inputs->bounds = make_bounds (query);
  inputs->elsewhere_in_ms = elsewhere_in_ms (query, racks, tasks);
  made = iv_place_wait_decide (inputs);
  inputs->places = NULL;
  return made;
}

struct iv_rack_choice
iv_rack_choose (const struct iv_placement_query *query, gboolean with_data)
{
  const ivj_step *step = query->stage->step;
  gboolean local = (step->flags & IVJ_RACK_LOCAL) != 0;
  gboolean data = with_data && query->owner->lengths && *step->data_rack;
  struct iv_rack_choice choice = { .decided = local || data, .inputs = make_inputs (query) };
  GPtrArray *racks;
  if (!choice.decided)
    return choice;
  racks = count_racks (query);
  choice.kind = data ? IV_PLACE_DATA : IV_PLACE_RACK;
  if (data)
    choice.made = decide_data (query, racks, &choice.inputs);
  if (local && choice.made.place == NULL)
    {
      choice.kind = IV_PLACE_RACK;
      choice.made = query->owner->lengths ? decide_rack (query, racks, &choice.inputs)
                                          : decide_by_estimate (query, racks, &choice.inputs);
    }
  if (step->flags & IVJ_GANG)
    choice.kind = IV_PLACE_GANG;
  g_ptr_array_free (racks, TRUE);
  return choice;
}

/* The tasks of @a stage that lack a worker take the next room in @a rack before others behind them.
   Those that the limit of their workspace holds take none. */
static void
claim (struct iv_owner *owner, const char *rack, const struct iv_stage *stage)
{
  gint64 *milli = g_hash_table_lookup (owner->rack_claims, rack);
  if (milli == NULL)
    {
      milli = g_new0 (gint64, 1);
      g_hash_table_insert (owner->rack_claims, g_strdup (rack), milli);
    }
  *milli += (gint64)stage->step->cpu_milli * iv_stage_lacking (stage);
}

void
iv_rack_note (struct iv_owner *owner, const struct iv_rack_choice *choice, struct iv_stage *stage,
              const char *job)
{
  struct iv_wait_report report
      = { job, stage->number, choice->kind, &choice->inputs, choice->made, 0 };
  if (!choice->decided)
    return;
  report.waiting = iv_stage_lacking (stage);
  if (choice->made.place && report.waiting > 0)
    claim (owner, choice->made.place, stage);
  iv_wait_note (&stage->wait, &report, &owner->wait_lines);
}
