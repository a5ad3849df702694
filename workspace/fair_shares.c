#include "fair_shares.h"

#include <string.h>

/* Jobs arrive about in the order of their times: a few late ones are moved into their places, more,
   as when all jobs are read at the start, are sorted. */
#define LATE_MAX 32

struct arrival
{
  gint64 accepted_ms;
  const char *id;
};

struct iv_arrivals
{
  GArray *rows;  /* of struct arrival */
  guint ordered; /* those at the front that are in order */
};

static double
fraction (gint64 used, gint64 capacity)
{
  return capacity > 0 ? (double)used / (double)capacity : 0;
}

double
iv_dominant_share (const struct iv_resources *used, const struct iv_resources *capacity)
{
  double share = fraction (used->cpu_milli, capacity->cpu_milli);
  share = MAX (share, fraction (used->mem_mb, capacity->mem_mb));
  return MAX (share, fraction (used->accelerators, capacity->accelerators));
}

struct iv_arrivals *
iv_arrivals_new (void)
{
  struct iv_arrivals *arrivals = g_new0 (struct iv_arrivals, 1);
  arrivals->rows = g_array_new (FALSE, FALSE, sizeof (struct arrival));
  return arrivals;
}

void
iv_arrivals_free (struct iv_arrivals *arrivals)
{
  if (arrivals == NULL)
    return;
  g_array_unref (arrivals->rows);
  g_free (arrivals);
}

static gint
compare_rows (gconstpointer a, gconstpointer b)
{
  const struct arrival *x = a;
  const struct arrival *y = b;
  if (x->accepted_ms != y->accepted_ms)
    return x->accepted_ms < y->accepted_ms ? -1 : 1;
  return strcmp (x->id, y->id);
}

static struct arrival *
row_at (const struct iv_arrivals *arrivals, guint place)
{
  return &g_array_index (arrivals->rows, struct arrival, place);
}

void
iv_arrivals_add (struct iv_arrivals *arrivals, gint64 accepted_ms, const char *id)
{
  struct arrival row = { accepted_ms, id };
  guint last = arrivals->rows->len;
  g_array_append_val (arrivals->rows, row);
  if (arrivals->ordered == last
      && (last == 0 || compare_rows (row_at (arrivals, last - 1), &row) <= 0))
    arrivals->ordered++;
}

/* Moves the row at @a place, up to which rows are in order, into its place. */
static void
move_into_place (struct iv_arrivals *arrivals, guint place)
{
  struct arrival row = *row_at (arrivals, place);
  while (place > 0 && compare_rows (row_at (arrivals, place - 1), &row) > 0)
    {
      *row_at (arrivals, place) = *row_at (arrivals, place - 1);
      place--;
    }
  *row_at (arrivals, place) = row;
}

static void
put_in_order (struct iv_arrivals *arrivals)
{
  if (arrivals->rows->len - arrivals->ordered > LATE_MAX)
    g_array_sort (arrivals->rows, compare_rows);
  else
    for (guint i = arrivals->ordered; i < arrivals->rows->len; i++)
      move_into_place (arrivals, i);
  arrivals->ordered = arrivals->rows->len;
}

/* Place of the first row that does not come before @a row. */
static guint
find_place (const struct iv_arrivals *arrivals, const struct arrival *row)
{
  guint begin = 0;
  guint end = arrivals->rows->len;
  while (begin < end)
    {
      guint middle = begin + (end - begin) / 2;
      if (compare_rows (row_at (arrivals, middle), row) < 0)
        begin = middle + 1;
      else
        end = middle;
    }
  return begin;
}

void
iv_arrivals_remove (struct iv_arrivals *arrivals, gint64 accepted_ms, const char *id)
{
  struct arrival row = { accepted_ms, id };
  guint place;
  put_in_order (arrivals);
  place = find_place (arrivals, &row);
  if (place == arrivals->rows->len || compare_rows (row_at (arrivals, place), &row) != 0)
    return;
  g_array_remove_index (arrivals->rows, place);
  arrivals->ordered--;
}

guint
iv_arrivals_count (const struct iv_arrivals *arrivals)
{
  return arrivals->rows->len;
}

gboolean
iv_arrivals_is_beyond (struct iv_arrivals *arrivals, double rate, gint64 accepted_ms,
                       const char *id)
{
  struct arrival job = { accepted_ms, id };
  struct arrival begin = { accepted_ms - accepted_ms % IV_ARRIVALS_WINDOW_MS, "" };
  double full = MAX (rate, 1);
  double tokens = full;
  gint64 at_ms = begin.accepted_ms;
  put_in_order (arrivals);
  for (guint i = find_place (arrivals, &begin); i < arrivals->rows->len; i++)
    {
      const struct arrival *row = row_at (arrivals, i);
      gboolean is_job = compare_rows (row, &job) == 0;
      tokens = MIN (full, tokens + rate * (double)(row->accepted_ms - at_ms) / 1000);
      at_ms = row->accepted_ms;
      if (is_job)
        return tokens < 1;
      if (tokens >= 1)
        tokens -= 1;
    }
  return FALSE;
}
