#include "cell_loads.h"

#define LOAD_MAX_AGE_MS 2000 /* owners record the load of a cell every 500 ms */
/* A long-running job moves only to a cell whose free capacity exceeds that of its own cell by more
   than this multiple of the job's CPU, so that cells differ by no more. */
#define LONG_RUNNING_MOVE_FACTOR 1
/* Any other job moves only to a cell with more than this multiple of the job's CPU free: other jobs
   may be moving there at the same time. */
#define MOVE_CAPACITY_FACTOR 3

/* A job that is accepted stays in the cell of its id when that has this share of the mean free
   capacity: cells differ by chance, and a choice costs bytes that every host reads. */
#define STAY_MIN_PERCENT 75

/* Free capacity of a cell, and the time when its record was applied. */
struct cell_load
{
  struct iv_cell_capacity capacity;
  GArray *pieces;    /* of struct iv_piece; NULL: no record was applied */
  GPtrArray *offers; /* of struct iv_offer; NULL: the cell does not tell */
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
    {
      g_clear_pointer (&loads->cells[i].pieces, g_array_unref);
      g_clear_pointer (&loads->cells[i].offers, g_ptr_array_unref);
    }
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
    case IV_CAPACITY_ANY:
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
  if (kind == IV_CAPACITY_ANY)
    return G_MININT64;
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

/* The cell with the most free capacity for long-running tasks; NULL when no recent load exceeds
   @a min_milli. */
static struct cell_load *
find_for_long_running (struct iv_cell_loads *loads, gint64 min_milli, gint64 now_ms)
{
  struct cell_load *best = NULL;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    {
      struct cell_load *load = &loads->cells[i];
      if (!is_recent (load, now_ms) || load->capacity.long_running_milli <= min_milli)
        continue;
      best = load;
      min_milli = load->capacity.long_running_milli;
    }
  return best;
}

static struct iv_piece
piece_for (const ivj_step *step)
{
  return (struct iv_piece){ step->cpu_milli, step->mem_mb };
}

/* How well a cell can hold a job. */
enum fit
{
  FIT_NONE,
  FIT_UNKNOWN, /* the cell does not tell */
  FIT_EMPTY,   /* its workers could, if they were empty */
  FIT_NOW      /* and the tasks that last have pieces now */
};

static enum fit
step_fit (const struct cell_load *load, const char *service, const ivj_step *step)
{
  guint count = iv_offers_count (load->offers, service, step);
  const GArray *pieces = iv_offers_pieces (load->offers, service, step);
  struct iv_piece need = piece_for (step);
  if (count < (step->flags & IVJ_GANG ? step->count : 1))
    return FIT_NONE;
  /* A full list names the largest pieces alone. */
  if (!(step->flags & IVJ_LONG_RUNNING) || pieces == NULL || pieces->len == IV_PIECES_MAX)
    return FIT_NOW;
  return iv_pieces_count (pieces, &need) >= step->count ? FIT_NOW : FIT_EMPTY;
}

static enum fit
job_fit (const struct cell_load *load, const struct iv_move_needs *needs)
{
  enum fit worst = FIT_NOW;
  if (load->offers == NULL)
    return FIT_UNKNOWN;
  for (guint i = 0; i < needs->steps->len; i++)
    worst = MIN (worst, step_fit (load, needs->service, g_ptr_array_index (needs->steps, i)));
  return worst;
}

static gboolean
is_accepted (enum fit fit, enum iv_capacity_kind kind)
{
  return fit == FIT_NOW || fit == FIT_UNKNOWN || (kind == IV_CAPACITY_ANY && fit == FIT_EMPTY);
}

/* The cell for a job of the cell with load @a own, which is among the choices unless it cannot hold
   the job. NULL: there is none. */
static struct cell_load *
find_target (struct iv_cell_loads *loads, const struct cell_load *own, gint only,
             const struct iv_move_needs *needs, gint64 now_ms)
{
  enum iv_capacity_kind kind = needs->kind;
  gboolean own_excluded = kind == IV_CAPACITY_EVACUATION || kind == IV_CAPACITY_EVACUATION_LARGE
                          || kind == IV_CAPACITY_ANY;
  gint64 min_milli = min_move_capacity (own, needs->cpu_milli, kind);
  struct cell_load *best = NULL;
  enum fit best_fit = FIT_NONE;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    {
      struct cell_load *load = &loads->cells[i];
      enum fit fit;
      if ((load == own && own_excluded) || (only >= 0 && load != own && only != (gint)i)
          || !is_recent (load, now_ms) || capacity_of_kind (load, kind) <= min_milli)
        continue;
      fit = load == own ? FIT_NOW : job_fit (load, needs);
      if (!is_accepted (fit, kind))
        continue;
      /* Capacity decides, unless no worker of the own cell can hold the job. */
      if (best && kind == IV_CAPACITY_ANY
          && (fit < best_fit
              || (fit == best_fit
                  && capacity_of_kind (load, kind) <= capacity_of_kind (best, kind))))
        continue;
      best = load;
      best_fit = fit;
      if (kind != IV_CAPACITY_ANY)
        min_milli = capacity_of_kind (load, kind);
    }
  return best;
}

/* Counts what long-running tasks of @a needs take of the pieces as used until the next record. */
static void
take_pieces (const struct cell_load *load, const struct iv_move_needs *needs)
{
  for (guint i = 0; load->offers && i < needs->steps->len; i++)
    {
      const ivj_step *step = g_ptr_array_index (needs->steps, i);
      GArray *pieces = iv_offers_pieces (load->offers, needs->service, step);
      struct iv_piece need = piece_for (step);
      if (pieces == NULL || !(step->flags & IVJ_LONG_RUNNING))
        continue;
      for (guint j = 0; j < step->count && iv_pieces_take (pieces, &need); j++)
        ;
    }
}

gint
iv_cell_loads_find_target (struct iv_cell_loads *loads, guint cell, gint only,
                           const struct iv_move_needs *needs, gint64 now_ms)
{
  struct cell_load *own = &loads->cells[cell];
  struct cell_load *best = find_target (loads, own, only, needs, now_ms);
  if (best == NULL || best == own)
    {
      if (needs->kind == IV_CAPACITY_LONG_RUNNING)
        reserve_capacity (own, needs->cpu_milli);
      return -1;
    }
  reserve_capacity (best, needs->cpu_milli);
  take_pieces (best, needs);
  return (gint)(best - loads->cells);
}

/* What each cell has free for a job with needs @a needs, 0 where it cannot hold the job. Returns
   the sum. */
static gint64
measure_cells (const struct iv_cell_loads *loads, const struct iv_move_needs *needs, gint64 now_ms,
               gint64 free_milli[IV_CELLS_MAX], guint *recent)
{
  gint64 sum = 0;
  *recent = 0;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    {
      const struct cell_load *load = &loads->cells[i];
      free_milli[i] = 0;
      if (!is_recent (load, now_ms))
        continue;
      (*recent)++;
      if (is_accepted (job_fit (load, needs), needs->kind))
        free_milli[i] = MAX (0, capacity_of_kind (load, needs->kind));
      sum += free_milli[i];
    }
  return sum;
}

static guint
draw_cell (const gint64 free_milli[IV_CELLS_MAX], gint64 sum, double draw)
{
  gint64 left = (gint64)(draw * (double)sum);
  guint cell = 0;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    {
      if (free_milli[i] == 0)
        continue;
      cell = i;
      if (left < free_milli[i])
        break;
      left -= free_milli[i];
    }
  return cell;
}

static guint
freest_cell (const gint64 free_milli[IV_CELLS_MAX])
{
  guint best = 0;
  for (guint i = 1; i < IV_CELLS_MAX; i++)
    if (free_milli[i] > free_milli[best])
      best = i;
  return best;
}

guint
iv_cell_loads_choose (struct iv_cell_loads *loads, guint cell, const struct iv_move_needs *needs,
                      double draw, gint64 now_ms)
{
  gint64 free_milli[IV_CELLS_MAX];
  guint recent;
  gint64 sum = measure_cells (loads, needs, now_ms, free_milli, &recent);
  guint chosen = cell;
  if (!is_recent (&loads->cells[cell], now_ms) || recent < 2)
    return cell;
  if (sum > 0 && free_milli[cell] * recent * 100 < sum * STAY_MIN_PERCENT)
    chosen = needs->kind == IV_CAPACITY_LONG_RUNNING ? freest_cell (free_milli)
                                                     : draw_cell (free_milli, sum, draw);
  reserve_capacity (&loads->cells[chosen], needs->cpu_milli);
  return chosen;
}

gboolean
iv_cell_loads_admit (struct iv_cell_loads *loads, gint64 cpu_milli, gint64 now_ms)
{
  struct cell_load *best;
  if (cpu_milli == 0 || find_for_long_running (loads, G_MININT64 / 2, now_ms) == NULL)
    return TRUE;
  best = find_for_long_running (loads, cpu_milli, now_ms);
  if (best)
    best->capacity.long_running_milli -= cpu_milli;
  return best != NULL;
}

/* The pieces of the cell that a task of @a step may use; NULL: it cannot hold one, or does not
 * tell.
 */
static GArray *
find_pieces (const struct cell_load *load, const char *service, const ivj_step *step)
{
  GArray *pieces;
  if (load->offers == NULL)
    return *step->label ? NULL : load->pieces;
  if (iv_offers_count (load->offers, service, step) == 0)
    return NULL;
  pieces = iv_offers_pieces (load->offers, service, step);
  return pieces ? pieces : load->pieces;
}

gint
iv_cell_loads_find_delegate (struct iv_cell_loads *loads, guint cell, const char *service,
                             const ivj_step *step, gint64 now_ms)
{
  struct iv_piece need = piece_for (step);
  struct cell_load *best = NULL;
  GArray *best_pieces = NULL;
  guint most = 0;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    {
      struct cell_load *load = &loads->cells[i];
      GArray *pieces
          = i != cell && is_recent (load, now_ms) ? find_pieces (load, service, step) : NULL;
      guint count = pieces ? iv_pieces_count (pieces, &need) : 0;
      if (count <= most)
        continue;
      most = count;
      best = load;
      best_pieces = pieces;
    }
  if (best == NULL)
    return -1;
  iv_pieces_take (best_pieces, &need);
  reserve_capacity (best, need.cpu_milli);
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
iv_cell_loads_format (const struct iv_cell_capacity *capacity, const GArray *pieces,
                      const GPtrArray *offers)
{
  GString *text = g_string_new (NULL);
  g_string_printf (text,
                   "%" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT
                   " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
                   capacity->free_milli, capacity->best_effort_milli, capacity->long_running_milli,
                   capacity->evacuation_milli, capacity->evacuation_large_milli);
  iv_pieces_format (pieces, text);
  if (offers)
    iv_offers_format (offers, text);
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
  g_clear_pointer (&load->pieces, g_array_unref);
  g_clear_pointer (&load->offers, g_ptr_array_unref);
  load->pieces = iv_pieces_parse (rest);
  load->offers = iv_offers_parse (rest);
  load->applied_ms = now_ms;
}
