#include "ledger.h"

#include <string.h>

static void
clear_row (gpointer data)
{
  xdr_free ((xdrproc_t)xdr_ivx_usage_row, data);
}

static GArray *
new_rows (void)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (ivx_usage_row));
  g_array_set_clear_func (rows, clear_row);
  return rows;
}

static ivx_usage_row *
find_row (GArray *rows, ivx_row_kind kind, const char *team, const char *name)
{
  for (guint i = 0; i < rows->len; i++)
    {
      ivx_usage_row *row = &g_array_index (rows, ivx_usage_row, i);
      if (row->kind == kind && strcmp (row->name, name) == 0 && strcmp (row->team, team) == 0)
        return row;
    }
  return NULL;
}

/* Thousandths of a core x milliseconds = core-microseconds. */
static guint64
host_core_us (const struct iv_ledger *ledger, guint64 from_ms, guint64 until_ms)
{
  return ledger->cpu_milli * (until_ms - from_ms);
}

static gboolean
sum_rows (const ivx_usage *usage, guint64 limit, guint64 *reported_us)
{
  *reported_us = 0;
  for (u_int i = 0; i < usage->rows.rows_len; i++)
    {
      const ivx_usage_row *row = &usage->rows.rows_val[i];
      if (row->kind == IVX_ROW_UNATTRIBUTED || row->core_us > limit - *reported_us)
        return FALSE;
      *reported_us += row->core_us;
    }
  return TRUE;
}

static void
add_rows (struct iv_ledger *ledger, const ivx_usage *usage)
{
  for (u_int i = 0; i < usage->rows.rows_len; i++)
    {
      const ivx_usage_row *row = &usage->rows.rows_val[i];
      iv_usage_rows_add (ledger->rows, row->kind, row->team, row->name, row->core_us);
    }
}

static void
open_gap (struct iv_ledger *ledger, guint64 from_ms, guint64 until_ms)
{
  ivx_gap gap = { from_ms, until_ms };
  iv_usage_rows_add (ledger->rows, IVX_ROW_UNATTRIBUTED, "", IV_CAUSE_NO_REPORT,
                     host_core_us (ledger, from_ms, until_ms));
  if (ledger->gaps->len >= IV_GAPS_MAX)
    g_array_remove_index (ledger->gaps, 0);
  g_array_append_val (ledger->gaps, gap);
}

static gint
find_gap (const struct iv_ledger *ledger, const ivx_usage *usage)
{
  for (guint i = 0; i < ledger->gaps->len; i++)
    {
      const ivx_gap *gap = &g_array_index (ledger->gaps, ivx_gap, i);
      if (gap->from_ms <= usage->from_ms && usage->until_ms <= gap->until_ms)
        return (gint)i;
    }
  return -1;
}

/* Removes the interval of the report from the gap, so that a repeated report is rejected. */
static void
shrink_gap (struct iv_ledger *ledger, guint index, const ivx_usage *usage)
{
  ivx_gap whole = g_array_index (ledger->gaps, ivx_gap, index);
  ivx_gap before = { whole.from_ms, usage->from_ms };
  ivx_gap after = { usage->until_ms, whole.until_ms };
  g_array_remove_index (ledger->gaps, index);
  if (after.from_ms < after.until_ms)
    g_array_insert_val (ledger->gaps, index, after);
  if (before.from_ms < before.until_ms)
    g_array_insert_val (ledger->gaps, index, before);
}

static gboolean
add_late_usage (struct iv_ledger *ledger, const ivx_usage *usage)
{
  guint64 available_us = host_core_us (ledger, usage->from_ms, usage->until_ms);
  gint gap = find_gap (ledger, usage);
  guint64 reported_us;
  if (gap < 0 || !sum_rows (usage, available_us, &reported_us))
    return FALSE;
  find_row (ledger->rows, IVX_ROW_UNATTRIBUTED, "", IV_CAUSE_NO_REPORT)->core_us -= available_us;
  add_rows (ledger, usage);
  iv_usage_rows_add (ledger->rows, IVX_ROW_UNATTRIBUTED, "", IV_CAUSE_MEASUREMENT,
                     available_us - reported_us);
  shrink_gap (ledger, (guint)gap, usage);
  return TRUE;
}

void
iv_ledger_init (struct iv_ledger *ledger, guint64 cpu_milli, guint64 start_ms)
{
  ledger->cpu_milli = cpu_milli;
  ledger->start_ms = start_ms;
  ledger->until_ms = start_ms;
  ledger->rows = new_rows ();
  ledger->gaps = g_array_new (FALSE, FALSE, sizeof (ivx_gap));
}

void
iv_ledger_clear (struct iv_ledger *ledger)
{
  iv_usage_rows_free (ledger->rows);
  g_array_free (ledger->gaps, TRUE);
  ledger->rows = NULL;
  ledger->gaps = NULL;
}

gboolean
iv_ledger_add_usage (struct iv_ledger *ledger, const ivx_usage *usage)
{
  guint64 available_us, reported_us;
  if (usage->until_ms <= usage->from_ms || usage->until_ms - usage->from_ms > G_MAXUINT32)
    return FALSE;
  if (usage->until_ms <= ledger->until_ms)
    return add_late_usage (ledger, usage);
  if (usage->from_ms < ledger->until_ms)
    return FALSE;
  available_us = host_core_us (ledger, usage->from_ms, usage->until_ms);
  if (!sum_rows (usage, available_us, &reported_us))
    return FALSE;
  if (usage->from_ms > ledger->until_ms)
    open_gap (ledger, ledger->until_ms, usage->from_ms);
  add_rows (ledger, usage);
  iv_usage_rows_add (ledger->rows, IVX_ROW_UNATTRIBUTED, "", IV_CAUSE_MEASUREMENT,
                     available_us - reported_us);
  ledger->until_ms = usage->until_ms;
  return TRUE;
}

gboolean
iv_ledger_has_gap (const struct iv_ledger *ledger, const ivx_usage *usage)
{
  return find_gap (ledger, usage) >= 0;
}

void
iv_ledger_close (struct iv_ledger *ledger, guint64 end_ms)
{
  if (end_ms <= ledger->until_ms)
    return;
  iv_usage_rows_add (ledger->rows, IVX_ROW_UNATTRIBUTED, "", IV_CAUSE_HOST_LOST,
                     host_core_us (ledger, ledger->until_ms, end_ms));
  ledger->until_ms = end_ms;
}

void
iv_usage_rows_add (GArray *rows, ivx_row_kind kind, const char *team, const char *name,
                   guint64 core_us)
{
  ivx_usage_row *existing = find_row (rows, kind, team, name);
  ivx_usage_row row = { .kind = kind, .core_us = core_us };
  if (existing)
    {
      existing->core_us += core_us;
      return;
    }
  if (core_us == 0)
    return;
  row.team = iv_record_strdup (team);
  row.name = iv_record_strdup (name);
  g_array_append_val (rows, row);
}

guint64
iv_usage_rows_total (const GArray *rows)
{
  guint64 total = 0;
  for (guint i = 0; i < rows->len; i++)
    total += g_array_index (rows, ivx_usage_row, i).core_us;
  return total;
}

void
iv_usage_rows_free (GArray *rows)
{
  if (rows)
    g_array_free (rows, TRUE);
}

gboolean
iv_ledger_balanced (const struct iv_ledger *ledger)
{
  return iv_usage_rows_total (ledger->rows)
         == host_core_us (ledger, ledger->start_ms, ledger->until_ms);
}
