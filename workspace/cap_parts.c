#include "cap_parts.h"

#include "cap_private.h"

#include <string.h>

#define WRITE_INTERVAL_MS 100   /* between two records of a workspace */
#define BEAT_INTERVAL_MS 700    /* a request that lasts is repeated this often... */
#define REQUEST_MAX_AGE_MS 2000 /* ...and one that was not repeated has expired */
/* A cell that cannot start anything in its share takes a ticket after this time: a request for
   what others do not use is answered within it in calm times. */
#define STALL_MS 300
/* Tasks that can never start, such as a gang larger than the cap, must not keep a ticket: it ends
   when nothing has started in this time with the whole cap... */
#define TURN_MS 1000
#define TICKET_PAUSE_MS 5000 /* ...and the cell takes none for this long, so that others start */
#define NEED_STEP (IV_CAP_WHOLE / 64)   /* requests are rounded up, so that few are recorded */
#define GRANT_MIN (IV_CAP_WHOLE / 1024) /* smaller grants are made only to complete a request */
#define CHANGES_PER_STEP_MAX 64         /* a record has about 150 bytes */

/* The part of one workspace. */
struct part
{
  char *name;
  const struct iv_cap_name_rows *rows; /* NULL: there are too many workspaces */
  struct iv_resources cap;             /* -1: no limit */
  gboolean over_possible;              /* the cap was lowered, and more may run than the part */
  struct iv_resources high;            /* highest cap that another cell may apply */
  gint64 lowered_version;              /* cells that do not know this version may apply it... */
  gint64 lowered_until_ms;             /* ...until then */
  gint64 given[IV_CAP_CELLS_MAX];
  gint64 stored[IV_CAP_CELLS_MAX]; /* of that, what is or may be stored */
  struct iv_cap_row queued;        /* last record that was queued or read */
  gboolean has_queued;
  gboolean in_flight;
  gint64 next_write_ms;
  gint64 next_beat_ms;
  gint64 hold; /* fraction to stay below for the sake of other cells */
  gint64 ticket;
  gint64 stalled_since_ms; /* 0: it is not stalled */
  gint64 stalled_share;    /* what was in use then */
  gint64 turn_until_ms;    /* the ticket ends then; 0: the cell does not hold the whole cap */
  gint64 no_ticket_until_ms;
  struct iv_resources used;
  struct iv_resources wanted;
  guint64 demand_round;
  struct iv_cap_limit last_limit;
};

struct iv_cap_parts
{
  const struct iv_cap_rows *rows;
  guint cell;
  guint cells;
  gint64 silence_ms;
  gint64 version;
  GHashTable *by_name; /* to struct part */
  GPtrArray *all;
  guint64 round;
  guint next; /* index to begin the next step with */
};

/* a * b / c; 0 when c is. */
static gint64
scale (gint64 a, gint64 b, gint64 c, gboolean round_up)
{
  __int128 product = (__int128)a * b + (round_up ? c - 1 : 0);
  __int128 result = c == 0 ? 0 : product / c;
  return result > IV_CAP_AMOUNT_MAX ? IV_CAP_AMOUNT_MAX : (gint64)result;
}

static gboolean
is_zero (const struct iv_resources *amounts)
{
  return amounts->cpu_milli <= 0 && amounts->mem_mb <= 0 && amounts->accelerators <= 0;
}

static gboolean
is_limited (const struct iv_resources *cap)
{
  return cap->cpu_milli >= 0 || cap->mem_mb >= 0 || cap->accelerators >= 0;
}

/* The smallest fraction of @a cap that holds @a amounts; at most one. */
static gint64
share_of (const struct iv_resources *amounts, const struct iv_resources *cap)
{
  gint64 share = 0;
  for (guint i = 0; i < IV_CAP_RESOURCES; i++)
    if (iv_cap_amount (cap, i) > 0)
      share = MAX (share, scale (MAX (iv_cap_amount (amounts, i), 0), IV_CAP_WHOLE,
                                 iv_cap_amount (cap, i), TRUE));
  return MIN (share, IV_CAP_WHOLE);
}

static void
add_amounts (struct iv_resources *sum, const struct iv_resources *more)
{
  for (guint i = 0; i < IV_CAP_RESOURCES; i++)
    *iv_cap_amount_at (sum, i)
        = MIN (iv_cap_amount (sum, i) + iv_cap_amount (more, i), IV_CAP_AMOUNT_MAX);
}

/* Whether cap @a a is below cap @a b in a resource. */
static gboolean
is_lower (gint64 a, gint64 b)
{
  return a >= 0 && (b < 0 || a < b);
}

static gboolean
is_lower_cap (const struct iv_resources *a, const struct iv_resources *b)
{
  return is_lower (a->cpu_milli, b->cpu_milli) || is_lower (a->mem_mb, b->mem_mb)
         || is_lower (a->accelerators, b->accelerators);
}

static void
raise_cap (struct iv_resources *cap, const struct iv_resources *other)
{
  for (guint i = 0; i < IV_CAP_RESOURCES; i++)
    if (is_lower (iv_cap_amount (cap, i), iv_cap_amount (other, i)))
      *iv_cap_amount_at (cap, i) = iv_cap_amount (other, i);
}

static void
free_part (gpointer data)
{
  struct part *part = data;
  g_free (part->name);
  g_free (part);
}

struct iv_cap_parts *
iv_cap_parts_new (const struct iv_cap_rows *rows, guint cell, guint cells, gint64 silence_ms)
{
  struct iv_cap_parts *parts = g_new0 (struct iv_cap_parts, 1);
  parts->rows = rows;
  parts->cell = cell;
  parts->cells = cells;
  parts->silence_ms = silence_ms;
  parts->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  parts->all = g_ptr_array_new_with_free_func (free_part);
  return parts;
}

void
iv_cap_parts_free (struct iv_cap_parts *parts)
{
  if (parts == NULL)
    return;
  g_hash_table_destroy (parts->by_name);
  g_ptr_array_free (parts->all, TRUE);
  g_free (parts);
}

/* The record of another cell; NULL: none that can be used. */
static const struct iv_cap_row *
row_of (const struct iv_cap_parts *parts, const struct part *part, guint cell)
{
  const struct iv_cap_row *row = part->rows ? part->rows->cells[cell] : NULL;
  return row && row->cells == parts->cells ? row : NULL;
}

static gint64
given (const struct iv_cap_parts *parts, const struct part *part, guint from, guint to)
{
  const struct iv_cap_row *row;
  if (from == parts->cell)
    return part->given[to];
  row = row_of (parts, part, from);
  return row ? row->given[to] : 0;
}

/* The fraction of @a cell, as far as its grants and those to it are known. Grants to it that were
   read, without its own that were not, can make it seem to hold more than it does, but never this
   cell, which knows its own. */
static gint64
fraction_of (const struct iv_cap_parts *parts, const struct part *part, guint cell)
{
  gint64 rest = IV_CAP_WHOLE % parts->cells;
  gint64 fraction = IV_CAP_WHOLE / parts->cells + (cell < rest ? 1 : 0);
  for (guint i = 0; i < parts->cells; i++)
    fraction += given (parts, part, i, cell) - given (parts, part, cell, i);
  return CLAMP (fraction, 0, IV_CAP_WHOLE);
}

/* Whether @a cell may still apply a cap that is no longer in force. */
static gboolean
is_unconfirmed (const struct iv_cap_parts *parts, const struct part *part, guint cell,
                gint64 now_ms)
{
  const struct iv_cap_row *row = row_of (parts, part, cell);
  return cell != parts->cell && now_ms < part->lowered_until_ms
         && (row == NULL || row->version < part->lowered_version);
}

/* What @a cell may run above its part, if it does not know that the cap was lowered. */
static void
add_unconfirmed (const struct iv_cap_parts *parts, const struct part *part, guint cell,
                 struct iv_resources *sum)
{
  struct iv_resources more = { 0 };
  gint64 fraction = fraction_of (parts, part, cell);
  for (guint i = 0; i < IV_CAP_RESOURCES; i++)
    {
      gint64 cap = iv_cap_amount (&part->cap, i);
      gint64 high = iv_cap_amount (&part->high, i);
      if (cap >= 0 && high < 0)
        *iv_cap_amount_at (&more, i) = IV_CAP_AMOUNT_MAX;
      else if (is_lower (cap, high))
        *iv_cap_amount_at (&more, i) = scale (high - cap, fraction, IV_CAP_WHOLE, TRUE);
    }
  add_amounts (sum, &more);
}

/* What other cells may be running above their parts. */
static struct iv_resources
find_excess (const struct iv_cap_parts *parts, const struct part *part, gint64 now_ms)
{
  struct iv_resources sum = { 0 };
  for (guint i = 0; i < parts->cells; i++)
    {
      const struct iv_cap_row *row = row_of (parts, part, i);
      if (is_unconfirmed (parts, part, i, now_ms))
        add_unconfirmed (parts, part, i, &sum);
      if (i != parts->cell && row && now_ms < part->rows->applied_ms[i] + parts->silence_ms)
        add_amounts (&sum, &row->over);
    }
  return sum;
}

/* What fraction @a fraction allows, without @a excess. Above one half, of which there is one cell,
   the part is rounded up: with the others' parts, rounded down, it is at most the cap. Otherwise a
   cap of one accelerator would be 0 when another cell holds a trace of it. */
static struct iv_resources
amounts_of (const struct part *part, gint64 fraction, const struct iv_resources *excess)
{
  struct iv_resources amounts = { -1, -1, -1 };
  gboolean round_up = fraction > IV_CAP_WHOLE / 2;
  for (guint i = 0; i < IV_CAP_RESOURCES; i++)
    if (iv_cap_amount (&part->cap, i) >= 0)
      *iv_cap_amount_at (&amounts, i)
          = MAX (scale (iv_cap_amount (&part->cap, i), fraction, IV_CAP_WHOLE, round_up)
                     - iv_cap_amount (excess, i),
                 0);
  return amounts;
}

static void
find_limit (const struct iv_cap_parts *parts, const struct part *part, struct iv_cap_limit *limit,
            gint64 now_ms)
{
  struct iv_resources excess;
  gint64 fraction;
  memset (limit, 0, sizeof *limit);
  limit->limited = is_limited (&part->cap);
  if (!limit->limited || part->rows == NULL)
    return;
  excess = find_excess (parts, part, now_ms);
  fraction = MIN (fraction_of (parts, part, parts->cell), part->hold);
  limit->max = amounts_of (part, fraction, &excess);
  limit->may_exceed_by_one = fraction > IV_CAP_WHOLE / 2;
}

void
iv_cap_parts_limit (const struct iv_cap_parts *parts, const char *workspace,
                    struct iv_cap_limit *limit, gint64 now_ms)
{
  const struct part *part = g_hash_table_lookup (parts->by_name, workspace);
  if (part)
    find_limit (parts, part, limit, now_ms);
  else
    memset (limit, 0, sizeof *limit);
}

static struct iv_resources
cap_in (const struct iv_workspace *workspace)
{
  struct iv_resources cap = { -1, -1, -1 };
  for (guint i = 0; workspace && i < IV_CAP_RESOURCES; i++)
    if (iv_cap_amount (&workspace->cap, i) > 0)
      *iv_cap_amount_at (&cap, i) = iv_cap_amount (&workspace->cap, i);
  return cap;
}

/* Other cells may apply the cap @a old until they confirm the version. */
static void
begin_lowering (struct iv_cap_parts *parts, struct part *part, const struct iv_resources *old,
                gint64 now_ms)
{
  if (now_ms >= part->lowered_until_ms)
    part->high = *old;
  raise_cap (&part->high, old);
  part->lowered_version = parts->version;
  part->lowered_until_ms = now_ms + parts->silence_ms;
  part->over_possible = TRUE;
}

/* Whether the last lowering has counted cells that apply the version and the cap of @a row. It is
   not begun again: frequent configurations must not prolong the deduction for a silent cell. */
static gboolean
is_counted (const struct part *part, const struct iv_cap_row *row)
{
  return row->version < part->lowered_version && !is_lower_cap (&part->high, &row->cap);
}

/* Caps that other cells last applied may be higher than any that this host has read. */
static void
begin_lowering_from_rows (struct iv_cap_parts *parts, struct part *part, gint64 now_ms)
{
  for (guint i = 0; part->rows && i < parts->cells; i++)
    {
      const struct iv_cap_row *row = row_of (parts, part, i);
      const struct iv_resources *cap = &part->cap;
      if (row && row->version < parts->version && is_lower_cap (cap, &row->cap))
        if (!is_counted (part, row))
          begin_lowering (parts, part, &row->cap, now_ms);
    }
}

/* Whether what runs in this cell began under a cap that the records do not tell. */
static gboolean
may_run_above (const struct iv_cap_parts *parts, const struct iv_cap_row *own)
{
  return own == NULL || own->version < parts->version || !is_zero (&own->over);
}

/* Takes what the records tell: what this cell has given, and caps that other cells last applied. */
static struct part *
add_part (struct iv_cap_parts *parts, const char *name, const struct iv_resources *cap,
          gint64 now_ms)
{
  struct part *part = g_new0 (struct part, 1);
  const struct iv_cap_row *own;
  part->name = g_strdup (name);
  part->rows = iv_cap_rows_get (parts->rows, name);
  part->cap = *cap;
  part->hold = IV_CAP_WHOLE;
  g_hash_table_insert (parts->by_name, part->name, part);
  g_ptr_array_add (parts->all, part);
  own = row_of (parts, part, parts->cell);
  part->over_possible = may_run_above (parts, own);
  begin_lowering_from_rows (parts, part, now_ms);
  if (own)
    {
      part->queued = *own;
      part->has_queued = TRUE;
      memcpy (part->given, own->given, sizeof part->given);
      memcpy (part->stored, own->given, sizeof part->stored);
    }
  return part;
}

static void
set_cap (struct iv_cap_parts *parts, struct part *part, const struct iv_resources *cap,
         gint64 now_ms)
{
  struct iv_resources old = part->cap;
  part->cap = *cap;
  if (is_lower_cap (cap, &old))
    begin_lowering (parts, part, &old, now_ms);
  begin_lowering_from_rows (parts, part, now_ms);
}

void
iv_cap_parts_configure (struct iv_cap_parts *parts, const struct iv_workspaces *workspaces,
                        gint64 version, gint64 now_ms)
{
  parts->version = version;
  for (guint i = 0; i < parts->all->len; i++)
    {
      struct part *part = g_ptr_array_index (parts->all, i);
      struct iv_resources cap
          = cap_in (workspaces ? iv_workspaces_find (workspaces, part->name) : NULL);
      set_cap (parts, part, &cap, now_ms);
    }
  for (guint i = 0; workspaces && i < iv_workspaces_count (workspaces); i++)
    {
      const struct iv_workspace *workspace = iv_workspaces_at (workspaces, i);
      struct iv_resources cap = cap_in (workspace);
      if (!g_hash_table_contains (parts->by_name, workspace->name))
        add_part (parts, workspace->name, &cap, now_ms);
    }
}

void
iv_cap_parts_set_demand (struct iv_cap_parts *parts, const char *workspace,
                         const struct iv_resources *used, const struct iv_resources *wanted)
{
  struct part *part = g_hash_table_lookup (parts->by_name, workspace);
  if (part == NULL)
    return;
  part->used = *used;
  part->wanted = *wanted;
  part->demand_round = parts->round;
}

/* What a step knows of a workspace. */
struct view
{
  gint64 fraction[IV_CAP_CELLS_MAX];
  gint64 need[IV_CAP_CELLS_MAX];   /* 0: the cell asks for nothing */
  gint64 target[IV_CAP_CELLS_MAX]; /* of cells that ask */
  gint64 share;                    /* what this cell uses */
  gboolean others_ask;
  gint winner; /* cell with the first ticket; -1: none */
};

static gboolean
request_is_live (const struct iv_cap_parts *parts, const struct part *part, guint cell,
                 gint64 now_ms)
{
  const struct iv_cap_row *row = row_of (parts, part, cell);
  return cell != parts->cell && row && row->need > 0
         && now_ms <= part->rows->applied_ms[cell] + REQUEST_MAX_AGE_MS;
}

/* What this cell asks for in all; 0: it has enough. */
static gint64
find_need (const struct part *part, const struct iv_resources *excess)
{
  struct iv_resources sum = part->used;
  gint64 need;
  if (is_zero (&part->wanted))
    return 0;
  if (part->ticket > 0)
    return IV_CAP_WHOLE;
  add_amounts (&sum, &part->wanted);
  add_amounts (&sum, excess);
  need = share_of (&sum, &part->cap);
  return MIN ((need + NEED_STEP - 1) / NEED_STEP * NEED_STEP, IV_CAP_WHOLE);
}

/* Divides what the cells that ask hold together: each gets what it needs, but none more than a
   level that is the same for all (max-min fairness). */
static void
find_targets (const struct iv_cap_parts *parts, struct view *view)
{
  gboolean done[IV_CAP_CELLS_MAX] = { FALSE };
  gint64 pool = 0;
  guint left = 0;
  gboolean changed = TRUE;
  for (guint i = 0; i < parts->cells; i++)
    {
      done[i] = view->need[i] == 0;
      left += !done[i];
      pool += done[i] ? 0 : view->fraction[i];
    }
  while (changed)
    {
      changed = FALSE;
      for (guint i = 0; i < parts->cells; i++)
        {
          if (done[i] || view->need[i] > pool / left)
            continue;
          view->target[i] = view->need[i];
          pool -= view->need[i];
          left--;
          done[i] = TRUE;
          changed = TRUE;
        }
    }
  for (guint i = 0; i < parts->cells; i++)
    if (!done[i])
      view->target[i] = pool / left;
}

static gint64
ticket_of (const struct iv_cap_parts *parts, const struct part *part, guint cell)
{
  const struct iv_cap_row *row;
  if (cell == parts->cell)
    return part->ticket;
  row = row_of (parts, part, cell);
  return row ? row->ticket : 0;
}

static void
find_winner (const struct iv_cap_parts *parts, const struct part *part, struct view *view)
{
  view->winner = -1;
  for (guint i = 0; i < parts->cells; i++)
    {
      gint64 ticket = view->need[i] > 0 ? ticket_of (parts, part, i) : 0;
      if (ticket > 0 && (view->winner < 0 || ticket < ticket_of (parts, part, (guint)view->winner)))
        view->winner = (gint)i;
    }
}

static void
find_view (const struct iv_cap_parts *parts, const struct part *part, struct view *view,
           const struct iv_resources *excess, gint64 now_ms)
{
  memset (view, 0, sizeof *view);
  view->share = share_of (&part->used, &part->cap);
  for (guint i = 0; i < parts->cells; i++)
    {
      view->fraction[i] = fraction_of (parts, part, i);
      if (i == parts->cell)
        view->need[i] = find_need (part, excess);
      else if (request_is_live (parts, part, i, now_ms))
        {
          view->need[i] = row_of (parts, part, i)->need;
          view->others_ask |= view->need[i] > view->fraction[i];
        }
    }
  find_targets (parts, view);
  find_winner (parts, part, view);
}

/* Whether this cell holds the whole cap for its ticket, and has started nothing for too long. */
static gboolean
is_turn_over (const struct iv_cap_parts *parts, struct part *part, const struct view *view,
              gint64 now_ms)
{
  if (view->winner != (gint)parts->cell || view->fraction[parts->cell] < IV_CAP_WHOLE)
    part->turn_until_ms = 0;
  else if (part->turn_until_ms == 0)
    part->turn_until_ms = now_ms + TURN_MS;
  return part->turn_until_ms > 0 && now_ms >= part->turn_until_ms;
}

/* A cell that has its share, and uses at most half of it although tasks wait, cannot start any of
   them in it. It takes a ticket; the cell with the lowest one gets all that is not in use. When a
   task has started, the next one has its turn. */
static void
update_ticket (const struct iv_cap_parts *parts, struct part *part, const struct view *view,
               gint64 now_ms)
{
  gint64 fraction = view->fraction[parts->cell];
  gboolean stalled = !is_zero (&part->wanted) && fraction < IV_CAP_WHOLE
                     && 2 * view->share <= fraction
                     && fraction + GRANT_MIN >= view->target[parts->cell];
  if (part->ticket > 0 && !is_zero (&part->wanted) && view->share <= part->stalled_share)
    {
      if (!is_turn_over (parts, part, view, now_ms))
        return;
      part->no_ticket_until_ms = now_ms + TICKET_PAUSE_MS;
    }
  part->turn_until_ms = 0;
  if (!stalled || (part->stalled_since_ms > 0 && view->share > part->stalled_share))
    part->stalled_since_ms = 0;
  else if (part->stalled_since_ms == 0)
    {
      part->stalled_since_ms = now_ms;
      part->stalled_share = view->share;
    }
  part->ticket = 0;
  if (part->stalled_since_ms == 0 || now_ms < part->stalled_since_ms + STALL_MS
      || now_ms < part->no_ticket_until_ms)
    return;
  for (guint i = 0; i < parts->cells; i++)
    part->ticket = MAX (part->ticket, ticket_of (parts, part, i));
  part->ticket++;
}

/* What this cell would give to @a cell. */
static gint64
find_deficit (const struct iv_cap_parts *parts, const struct part *part, const struct view *view,
              guint cell, gint64 now_ms)
{
  gint64 goal = view->need[cell];
  if (cell == parts->cell || goal == 0 || is_unconfirmed (parts, part, cell, now_ms)
      || (view->winner >= 0 && (guint)view->winner != cell))
    return 0;
  if (view->winner < 0 && view->need[parts->cell] > 0)
    goal = view->target[cell];
  return MAX (goal - view->fraction[cell], 0);
}

/* What this cell keeps: what it uses; of what it wants more, what is its due. */
static gint64
find_keep (const struct iv_cap_parts *parts, const struct view *view)
{
  gboolean wants = view->need[parts->cell] > 0;
  if (view->winner >= 0)
    return view->winner == (gint)parts->cell ? IV_CAP_WHOLE : view->share;
  return wants ? MAX (view->share, view->target[parts->cell]) : view->share;
}

/* Gives what is above @a keep. Returns how much. */
static gint64
give (struct iv_cap_parts *parts, struct part *part, const struct view *view, gint64 keep,
      gint64 now_ms, guint *receiver)
{
  gint64 deficits[IV_CAP_CELLS_MAX];
  gint64 sum = 0;
  gint64 total;
  gint64 most = 0;
  gint64 done = 0;
  for (guint i = 0; i < parts->cells; i++)
    sum += deficits[i] = find_deficit (parts, part, view, i, now_ms);
  total = MIN (view->fraction[parts->cell] - keep, sum);
  if (total <= 0 || (total < GRANT_MIN && total < sum))
    return 0;
  for (guint i = 0; i < parts->cells; i++)
    {
      gint64 amount = scale (total, deficits[i], sum, FALSE);
      part->given[i] += amount;
      done += amount;
      if (amount > most)
        *receiver = i;
      most = MAX (most, amount);
    }
  return done;
}

/* While others ask, tasks that end make room for them rather than for new ones here. So this cell
   starts nothing above its due, also when it still runs more. */
static void
update_hold (const struct iv_cap_parts *parts, struct part *part, const struct view *view)
{
  gint64 due = view->winner < 0 ? view->target[parts->cell] : 0;
  gint64 asked = 0;
  for (guint i = 0; i < parts->cells; i++)
    if (i != parts->cell && view->need[i] > view->fraction[i])
      asked += view->need[i] - view->fraction[i];
  part->hold = IV_CAP_WHOLE;
  if (!view->others_ask || view->winner == (gint)parts->cell
      || (view->winner < 0 && view->need[parts->cell] == 0))
    return;
  part->hold = MAX (due, view->fraction[parts->cell] - asked);
}

/* What runs here above the part, since the cap was lowered. */
static struct iv_resources
find_over (const struct iv_cap_parts *parts, struct part *part)
{
  static const struct iv_resources none = { 0 };
  struct iv_resources over = { 0 };
  struct iv_resources own = amounts_of (part, fraction_of (parts, part, parts->cell), &none);
  for (guint i = 0; i < IV_CAP_RESOURCES; i++)
    if (iv_cap_amount (&own, i) >= 0)
      *iv_cap_amount_at (&over, i)
          = CLAMP (iv_cap_amount (&part->used, i) - iv_cap_amount (&own, i), 0, IV_CAP_AMOUNT_MAX);
  part->over_possible &= !is_zero (&over);
  return part->over_possible ? over : none;
}

/* Whether another cell has confirmed a version that this cell knows and has not confirmed. */
static gboolean
is_asked_for_version (const struct iv_cap_parts *parts, const struct part *part)
{
  for (guint i = 0; i < parts->cells; i++)
    {
      const struct iv_cap_row *row = row_of (parts, part, i);
      if (row && i != parts->cell && row->version > part->queued.version
          && row->version <= parts->version)
        return TRUE;
    }
  return FALSE;
}

static gboolean
amounts_equal (const struct iv_resources *a, const struct iv_resources *b)
{
  return a->cpu_milli == b->cpu_milli && a->mem_mb == b->mem_mb
         && a->accelerators == b->accelerators;
}

/* Whether @a row has to be recorded. */
static gboolean
is_changed (const struct iv_cap_parts *parts, const struct part *part, const struct iv_cap_row *row,
            gint64 now_ms)
{
  const struct iv_cap_row *last = &part->queued;
  if (!part->has_queued)
    return is_limited (&part->cap);
  if (!amounts_equal (&row->cap, &last->cap) || !amounts_equal (&row->over, &last->over)
      || row->need != last->need || row->ticket != last->ticket
      || memcmp (row->given, last->given, sizeof row->given) != 0)
    return TRUE;
  return is_asked_for_version (parts, part)
         || ((row->need > 0 || !is_zero (&row->over)) && now_ms >= part->next_beat_ms);
}

static gboolean
may_write (const struct part *part, gint64 now_ms)
{
  return !part->in_flight && now_ms >= part->next_write_ms;
}

static struct iv_cap_row
make_row (const struct iv_cap_parts *parts, struct part *part, const struct view *view)
{
  struct iv_cap_row row = { .version = parts->version, .cap = part->cap, .cells = parts->cells };
  row.over = find_over (parts, part);
  row.need = view->need[parts->cell] > view->fraction[parts->cell] ? view->need[parts->cell] : 0;
  row.ticket = part->ticket;
  row.beat = part->queued.beat;
  memcpy (row.given, part->given, sizeof row.given);
  return row;
}

static void
queue_row (const struct iv_cap_parts *parts, struct part *part, struct iv_cap_change *change,
           struct iv_cap_row *row, gint64 now_ms, iv_cap_change_fn emit, void *context)
{
  row->beat++;
  part->queued = *row;
  part->has_queued = TRUE;
  part->in_flight = TRUE;
  part->next_write_ms = now_ms + WRITE_INTERVAL_MS;
  part->next_beat_ms = now_ms + BEAT_INTERVAL_MS;
  change->workspace = part->name;
  change->value = iv_cap_row_format (part->name, row);
  change->fraction = fraction_of (parts, part, parts->cell);
  change->need = row->need;
  change->ticket = row->ticket;
  find_limit (parts, part, &change->limit, now_ms);
  emit (context, change);
  g_free (change->value);
}

/* Whether nothing is in use, wanted or asked for. */
static gboolean
is_idle (const struct iv_cap_parts *parts, const struct part *part, gint64 now_ms)
{
  if (!is_zero (&part->used) || !is_zero (&part->wanted) || part->ticket > 0)
    return FALSE;
  for (guint i = 0; i < parts->cells; i++)
    if (request_is_live (parts, part, i, now_ms))
      return FALSE;
  return TRUE;
}

/* Decides what to ask for. Returns the fraction that this cell keeps. */
static gint64
decide (const struct iv_cap_parts *parts, struct part *part, struct view *view, gint64 now_ms)
{
  struct iv_resources excess = find_excess (parts, part, now_ms);
  find_view (parts, part, view, &excess, now_ms);
  update_ticket (parts, part, view, now_ms);
  view->need[parts->cell] = find_need (part, &excess);
  find_winner (parts, part, view);
  update_hold (parts, part, view);
  return find_keep (parts, view);
}

/* Returns whether a record was queued. */
static gboolean
step_part (struct iv_cap_parts *parts, struct part *part, gint64 now_ms, gboolean may_queue,
           iv_cap_change_fn emit, void *context)
{
  struct iv_cap_change change = { 0 };
  struct iv_cap_row row;
  struct view view = { 0 };
  gint64 keep = 0;
  part->hold = IV_CAP_WHOLE;
  if (is_idle (parts, part, now_ms))
    part->stalled_since_ms = 0;
  else
    keep = decide (parts, part, &view, now_ms);
  if (!may_queue || !may_write (part, now_ms))
    return FALSE;
  if (is_limited (&part->cap))
    change.given = give (parts, part, &view, keep, now_ms, &change.receiver);
  row = make_row (parts, part, &view);
  if (!is_changed (parts, part, &row, now_ms))
    return FALSE;
  queue_row (parts, part, &change, &row, now_ms, emit, context);
  return TRUE;
}

static gboolean
has_risen (const struct iv_cap_limit *limit, const struct iv_cap_limit *last)
{
  if (!limit->limited || !last->limited)
    return last->limited && !limit->limited;
  return is_lower_cap (&last->max, &limit->max)
         || (limit->may_exceed_by_one && !last->may_exceed_by_one);
}

gboolean
iv_cap_parts_step (struct iv_cap_parts *parts, gint64 now_ms, iv_cap_change_fn emit, void *context)
{
  static const struct iv_resources none = { 0 };
  gboolean risen = FALSE;
  guint queued = 0;
  guint count = parts->all->len;
  for (guint i = 0; i < count; i++)
    {
      guint index = (parts->next + i) % count;
      struct part *part = g_ptr_array_index (parts->all, index);
      struct iv_cap_limit limit;
      if (part->rows == NULL)
        continue;
      /* A record of a raised cap may be read after a newer version. */
      begin_lowering_from_rows (parts, part, now_ms);
      if (part->demand_round != parts->round)
        part->used = part->wanted = none;
      queued += step_part (parts, part, now_ms, queued < CHANGES_PER_STEP_MAX, emit, context);
      find_limit (parts, part, &limit, now_ms);
      risen |= has_risen (&limit, &part->last_limit);
      part->last_limit = limit;
    }
  parts->next = count > 0 ? (parts->next + queued) % count : 0;
  parts->round++;
  return risen;
}

void
iv_cap_parts_stored (struct iv_cap_parts *parts, const char *workspace, enum iv_status outcome)
{
  struct part *part = g_hash_table_lookup (parts->by_name, workspace);
  if (part == NULL || !part->in_flight)
    return;
  part->in_flight = FALSE;
  if (outcome == IV_ERR_UNAVAILABLE)
    memcpy (part->given, part->stored, sizeof part->given);
  else
    memcpy (part->stored, part->given, sizeof part->stored);
  /* What was not stored is recorded again when it is still due. */
  if (outcome != IV_OK)
    part->queued.need = -1;
}

gint64
iv_cap_parts_fraction (const struct iv_cap_parts *parts, const char *workspace)
{
  const struct part *part = g_hash_table_lookup (parts->by_name, workspace);
  return part && part->rows ? fraction_of (parts, part, parts->cell) : 0;
}
