#include "rack_room.h"

/* From a stop until its end is listed: a poll, and what the task takes to stop. */
#define STOPPING_MS 500

/* A run that ends, or room that it leaves. */
struct release
{
  gint64 in_ms;
  struct iv_resources resources; /* of a run */
  guint tasks;                   /* that fit then, and did not before */
};

static gint
compare_releases (gconstpointer a, gconstpointer b)
{
  const struct release *x = a;
  const struct release *y = b;
  return (x->in_ms > y->in_ms) - (x->in_ms < y->in_ms);
}

static gint64
rest_ms (const struct iv_run *run, const struct iv_task_lengths *lengths, gint64 now_ms)
{
  if (run->phase == IV_RUN_PHASE_STOPPING)
    return STOPPING_MS;
  if (run->step->flags & IVJ_LONG_RUNNING)
    return IV_PLACE_NEVER;
  return iv_task_lengths_rest_ms (lengths, run->length_key,
                                  (gint64)MIN (run->step->estimate_ms, G_MAXINT),
                                  MAX (0, now_ms - run->sent_ms), IV_TASK_LENGTHS_MEDIAN);
}

/* The runs on @a worker that end, by time. */
static GArray *
list_ends (const struct iv_fleet_worker *worker, const struct iv_task_lengths *lengths,
           gint64 now_ms)
{
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (struct release));
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct iv_run *run = g_ptr_array_index (worker->runs, i);
      struct release end = { .in_ms = rest_ms (run, lengths, now_ms) };
      if (end.in_ms == IV_PLACE_NEVER)
        continue;
      end.resources = iv_step_resources (run->step);
      g_array_append_val (ends, end);
    }
  g_array_sort (ends, compare_releases);
  return ends;
}

static guint
limit_tasks (guint tasks, const ivj_step *step)
{
  return step->per_worker_max > 0 ? MIN (tasks, step->per_worker_max) : tasks;
}

/* Appends to @a rooms what @a worker has room for, now and as its runs end. */
static void
add_rooms (GArray *rooms, const struct iv_fleet_worker *worker, const ivj_step *step,
           const struct iv_task_lengths *lengths, gint64 now_ms)
{
  struct release room = { .tasks = limit_tasks (iv_worker_count_fitting (worker, step), step) };
  struct iv_resources used = worker->used;
  guint fits = room.tasks;
  GArray *ends;
  if (fits > 0)
    g_array_append_val (rooms, room);
  if (worker->unsized_runs > 0)
    return;
  ends = list_ends (worker, lengths, now_ms);
  for (guint i = 0; i < ends->len; i++)
    {
      const struct release *end = &g_array_index (ends, struct release, i);
      guint then;
      used.cpu_milli -= end->resources.cpu_milli;
      used.mem_mb -= end->resources.mem_mb;
      used.accelerators -= end->resources.accelerators;
      then = limit_tasks (iv_worker_count_beside (worker, step, &used), step);
      room = (struct release){ .in_ms = end->in_ms, .tasks = then - MIN (fits, then) };
      if (room.tasks > 0)
        g_array_append_val (rooms, room);
      fits = MAX (fits, then);
    }
  g_array_unref (ends);
}

/* Time of the last of @a rooms that @a need takes up; those who do not find any follow. */
static gint64
time_of (const GArray *rooms, const struct iv_room_need *need)
{
  gboolean together = need->step->flags & (IVJ_GANG | IVJ_LONG_RUNNING);
  guint64 held = 0;
  gint64 in_ms = 0;
  for (guint i = 0; i < rooms->len && held < need->tasks; i++)
    {
      const struct release *room = &g_array_index (rooms, struct release, i);
      held += room->tasks;
      in_ms = room->in_ms;
    }
  if (held >= need->tasks)
    return in_ms;
  if (held == 0 || together)
    return IV_PLACE_NEVER;
  return in_ms + (gint64)((need->tasks - 1) / held) * need->task_ms;
}

gint64
iv_rack_room_in_ms (const GPtrArray *workers, const struct iv_room_need *need,
                    const struct iv_task_lengths *lengths, gint64 now_ms)
{
  GArray *rooms = g_array_new (FALSE, FALSE, sizeof (struct release));
  gint64 in_ms;
  for (guint i = 0; i < workers->len; i++)
    add_rooms (rooms, g_ptr_array_index (workers, i), need->step, lengths, now_ms);
  g_array_sort (rooms, compare_releases);
  in_ms = time_of (rooms, need);
  g_array_unref (rooms);
  return in_ms;
}
