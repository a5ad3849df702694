#include "cell_loads.h"

#define LOAD_MAX_AGE_MS 2000 /* owners record the load of a cell every 500 ms */
/* A long-running job moves only to a cell whose free capacity exceeds that of its own cell by more
   than this multiple of the job's CPU, so that cells differ by no more. */
#define LONG_RUNNING_MOVE_FACTOR 1
/* Any other job moves only to a cell with more than this multiple of the job's CPU free: other jobs
   may be moving there at the same time. */
#define MOVE_CAPACITY_FACTOR 3

/* Free capacity of a cell, and the time when its record was applied. */
struct cell_load
{
  struct iv_cell_capacity capacity;
  GArray *pieces;    /* of struct iv_piece; NULL: no record was applied */
  gint64 applied_ms; /* 0: never */
};

struct iv_cell_loads
{
  struct cell_load cells[IV_CELLS_MAX];
};

struct iv_cell_loads *
iv_cell_loads_new (void)
{
  return g_new0 (struct iv_cell_loads, 1);
}

void
iv_cell_loads_free (struct iv_cell_loads *loads)
{
  if (loads == NULL)
    return;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    if (loads->cells[i].pieces)
      g_array_unref (loads->cells[i].pieces);
  g_free (loads);
}

static gboolean
is_recent (const struct cell_load *load, gint64 now_ms)
{
  return load->applied_ms > 0 && now_ms <= load->applied_ms + LOAD_MAX_AGE_MS;
}

static gint64
capacity_of_kind (const struct cell_load *load, enum iv_capacity_kind kind)
{
  switch (kind)
    {
    case IV_CAPACITY_BEST_EFFORT:
      return load->capacity.best_effort_milli;
    case IV_CAPACITY_LONG_RUNNING:
      return load->capacity.long_running_milli;
    case IV_CAPACITY_EVACUATION:
      return load->capacity.evacuation_milli;
    case IV_CAPACITY_EVACUATION_LARGE:
      return load->capacity.evacuation_large_milli;
    case IV_CAPACITY_BATCH:
    default:
      return load->capacity.free_milli;
    }
}

/* What a cell must have more of than this, to take a job that needs @a cpu_milli from a cell with
   load @a own. */
static gint64
min_move_capacity (const struct cell_load *own, gint64 cpu_milli, enum iv_capacity_kind kind)
{
  if (kind == IV_CAPACITY_LONG_RUNNING)
    return MAX (capacity_of_kind (own, kind), 0) + cpu_milli * LONG_RUNNING_MOVE_FACTOR;
  return kind == IV_CAPACITY_EVACUATION || kind == IV_CAPACITY_EVACUATION_LARGE
             ? cpu_milli
             : cpu_milli * MOVE_CAPACITY_FACTOR;
}

/* Counts @a cpu_milli as used until the next load record of the cell. */
static void
reserve_capacity (struct cell_load *load, gint64 cpu_milli)
{
  load->capacity.free_milli -= cpu_milli;
  load->capacity.best_effort_milli -= cpu_milli;
  load->capacity.long_running_milli -= cpu_milli;
  load->capacity.evacuation_milli -= cpu_milli;
  load->capacity.evacuation_large_milli -= cpu_milli;
}

/* The cell with the most free capacity, but not @a except; NULL when no recent load exceeds
   @a min_milli. */
static struct cell_load *
find_cell_above (struct iv_cell_loads *loads, enum iv_capacity_kind kind, gint64 min_milli,
                 const struct cell_load *except, gint64 now_ms)
{
  struct cell_load *best = NULL;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    {
      struct cell_load *load = &loads->cells[i];
      if (load == except || !is_recent (load, now_ms) || capacity_of_kind (load, kind) <= min_milli)
        continue;
      best = load;
      min_milli = capacity_of_kind (load, kind);
    }
  return best;
}

gint
iv_cell_loads_find_target (struct iv_cell_loads *loads, guint cell, gint64 cpu_milli,
                           enum iv_capacity_kind kind, gint64 now_ms)
{
  struct cell_load *own = &loads->cells[cell];
  gboolean evacuated = kind == IV_CAPACITY_EVACUATION || kind == IV_CAPACITY_EVACUATION_LARGE;
  /* A cell that cannot hold a job may still have the most capacity. */
  struct cell_load *best = find_cell_above (loads, kind, min_move_capacity (own, cpu_milli, kind),
                                            evacuated ? own : NULL, now_ms);
  if (best == NULL || best == own)
    {
      if (kind == IV_CAPACITY_LONG_RUNNING)
        reserve_capacity (own, cpu_milli);
      return -1;
    }
  reserve_capacity (best, cpu_milli);
  return (gint)(best - loads->cells);
}

gboolean
iv_cell_loads_admit (struct iv_cell_loads *loads, gint64 cpu_milli, gint64 now_ms)
{
  struct cell_load *best;
  if (cpu_milli == 0
      || find_cell_above (loads, IV_CAPACITY_LONG_RUNNING, G_MININT64 / 2, NULL, now_ms) == NULL)
    return TRUE;
  best = find_cell_above (loads, IV_CAPACITY_LONG_RUNNING, cpu_milli, NULL, now_ms);
  if (best)
    best->capacity.long_running_milli -= cpu_milli;
  return best != NULL;
}

gint
iv_cell_loads_find_delegate (struct iv_cell_loads *loads, guint cell, const struct iv_piece *need,
                             gint64 now_ms)
{
  struct cell_load *best = NULL;
  guint most = 0;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    {
      struct cell_load *load = &loads->cells[i];
      guint count
          = i != cell && is_recent (load, now_ms) ? iv_pieces_count (load->pieces, need) : 0;
      if (count <= most)
        continue;
      most = count;
      best = load;
    }
  if (best == NULL)
    return -1;
  iv_pieces_take (best->pieces, need);
  reserve_capacity (best, need->cpu_milli);
  return (gint)(best - loads->cells);
}

guint
iv_cell_loads_count_elsewhere (const struct iv_cell_loads *loads, guint cell,
                               const struct iv_piece *need, gint64 now_ms)
{
  guint count = 0;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    if (i != cell && is_recent (&loads->cells[i], now_ms))
      count += iv_pieces_count (loads->cells[i].pieces, need);
  return count;
}

char *
iv_cell_loads_format (const struct iv_cell_capacity *capacity, const GArray *pieces)
{
  GString *text = g_string_new (NULL);
  g_string_printf (text,
                   "%" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT
                   " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
                   capacity->free_milli, capacity->best_effort_milli, capacity->long_running_milli,
                   capacity->evacuation_milli, capacity->evacuation_large_milli);
  iv_pieces_format (pieces, text);
  return g_string_free (text, FALSE);
}

/* Read a number that sums can be formed with. */
static gint64
read_milli (const char *text, char **rest)
{
  return CLAMP (g_ascii_strtoll (text, rest, 10), G_MININT64 / 4, G_MAXINT64 / 4);
}

void
iv_cell_loads_apply (struct iv_cell_loads *loads, guint cell, const char *text, gint64 now_ms)
{
  struct cell_load *load = &loads->cells[cell];
  char *rest;
  load->capacity.free_milli = read_milli (text, &rest);
  load->capacity.best_effort_milli = read_milli (rest, &rest);
  load->capacity.long_running_milli = read_milli (rest, &rest);
  /* An earlier release writes three numbers, or five: what is missing is 0, and takes no job. */
  load->capacity.evacuation_milli = read_milli (rest, &rest);
  load->capacity.evacuation_large_milli = read_milli (rest, &rest);
  if (load->pieces)
    g_array_unref (load->pieces);
  load->pieces = iv_pieces_parse (rest);
  load->applied_ms = now_ms;
}
