#include "cap_private.h"

#include <string.h>
#include <xxhash.h>

#define FORMAT_VERSION 1

gint64 *
iv_cap_amount_at (struct iv_resources *amounts, guint index)
{
  gint64 *const fields[IV_CAP_RESOURCES]
      = { &amounts->cpu_milli, &amounts->mem_mb, &amounts->accelerators };
  return fields[index];
}

gint64
iv_cap_amount (const struct iv_resources *amounts, guint index)
{
  const gint64 fields[IV_CAP_RESOURCES]
      = { amounts->cpu_milli, amounts->mem_mb, amounts->accelerators };
  return fields[index];
}

static void
append_number (GString *text, gint64 number)
{
  g_string_append_printf (text, "%" G_GINT64_FORMAT " ", number);
}

char *
iv_cap_row_format (const char *workspace, const struct iv_cap_row *row)
{
  GString *text = g_string_new (NULL);
  append_number (text, FORMAT_VERSION);
  append_number (text, row->cells);
  append_number (text, row->version);
  for (guint i = 0; i < IV_CAP_RESOURCES; i++)
    append_number (text, iv_cap_amount (&row->cap, i));
  for (guint i = 0; i < IV_CAP_RESOURCES; i++)
    append_number (text, iv_cap_amount (&row->over, i));
  append_number (text, row->need);
  append_number (text, row->ticket);
  append_number (text, row->beat);
  for (guint i = 0; i < row->cells; i++)
    append_number (text, row->given[i]);
  g_string_append (text, workspace);
  return g_string_free (text, FALSE);
}

/* Reads a number from @a low to @a high and the space that follows. */
static gboolean
read_number (char **text, gint64 low, gint64 high, gint64 *number)
{
  char *end;
  if (**text != '-' && !g_ascii_isdigit (**text))
    return FALSE;
  *number = g_ascii_strtoll (*text, &end, 10);
  if (end == *text || *end != ' ' || *number < low || *number > high)
    return FALSE;
  *text = end + 1;
  return TRUE;
}

static gboolean
read_row (char **text, struct iv_cap_row *row)
{
  gint64 format;
  gint64 cells;
  gboolean ok = read_number (text, FORMAT_VERSION, FORMAT_VERSION, &format)
                && read_number (text, 1, IV_CAP_CELLS_MAX, &cells)
                && read_number (text, 0, G_MAXINT64 - 1, &row->version);
  for (guint i = 0; ok && i < IV_CAP_RESOURCES; i++)
    ok = read_number (text, -1, G_MAXINT64 - 1, iv_cap_amount_at (&row->cap, i));
  for (guint i = 0; ok && i < IV_CAP_RESOURCES; i++)
    ok = read_number (text, 0, IV_CAP_AMOUNT_MAX, iv_cap_amount_at (&row->over, i));
  ok = ok && read_number (text, 0, IV_CAP_WHOLE, &row->need)
       && read_number (text, 0, IV_CAP_AMOUNT_MAX, &row->ticket)
       && read_number (text, 0, IV_CAP_AMOUNT_MAX, &row->beat);
  row->cells = ok ? (guint)cells : 0;
  for (guint i = 0; ok && i < row->cells; i++)
    ok = read_number (text, 0, IV_CAP_AMOUNT_MAX, &row->given[i]);
  return ok;
}

enum iv_status
iv_cap_row_parse (const char *value, gsize len, struct iv_cap_row *row, char **workspace)
{
  char *text = g_strndup (value, len);
  char *rest = text;
  gboolean ok = strlen (text) == len;
  memset (row, 0, sizeof *row);
  ok = ok && read_row (&rest, row) && *rest != '\0' && strlen (rest) <= IV_WORKSPACE_NAME_MAX;
  *workspace = ok ? g_strdup (rest) : NULL;
  g_free (text);
  return ok ? IV_OK : iv_fail (IV_ERR_INVALID, "malformed record of a part of a cap");
}

char *
iv_cap_digest (const char *workspace)
{
  XXH128_hash_t hash = XXH3_128bits (workspace, strlen (workspace));
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
                          (guint64)hash.high64, (guint64)hash.low64);
}

static void
free_name_rows (gpointer data)
{
  struct iv_cap_name_rows *rows = data;
  for (guint i = 0; i < IV_CAP_CELLS_MAX; i++)
    g_free (rows->cells[i]);
  g_free (rows->name);
  g_free (rows);
}

struct iv_cap_rows *
iv_cap_rows_new (void)
{
  struct iv_cap_rows *rows = g_new0 (struct iv_cap_rows, 1);
  rows->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_name_rows);
  return rows;
}

void
iv_cap_rows_free (struct iv_cap_rows *rows)
{
  if (rows == NULL)
    return;
  g_hash_table_destroy (rows->by_name);
  g_free (rows);
}

/* NULL when there are too many. */
struct iv_cap_name_rows *
iv_cap_rows_get (const struct iv_cap_rows *rows, const char *name)
{
  struct iv_cap_name_rows *found = g_hash_table_lookup (rows->by_name, name);
  if (found || g_hash_table_size (rows->by_name) >= IV_CAP_NAMES_MAX)
    return found;
  found = g_new0 (struct iv_cap_name_rows, 1);
  found->name = g_strdup (name);
  g_hash_table_insert (rows->by_name, found->name, found);
  return found;
}

/* Whether a counter of @a row is below that of @a last. */
static gboolean
goes_back (const struct iv_cap_row *row, const struct iv_cap_row *last)
{
  /* Another layout begins with new counters. */
  if (last == NULL || row->cells != last->cells)
    return FALSE;
  for (guint i = 0; i < row->cells; i++)
    if (row->given[i] < last->given[i])
      return TRUE;
  return FALSE;
}

enum iv_status
iv_cap_rows_apply (struct iv_cap_rows *rows, guint cell, const char *digest, const char *value,
                   gsize len, gint64 now_ms)
{
  struct iv_cap_row row;
  struct iv_cap_name_rows *found = NULL;
  char *expected = NULL;
  char *name;
  enum iv_status status = iv_cap_row_parse (value, len, &row, &name);
  if (status != IV_OK || name == NULL)
    return status;
  expected = iv_cap_digest (name);
  if (strcmp (expected, digest) != 0 || cell >= row.cells)
    status = iv_fail (IV_ERR_INVALID, "the key of a part of a cap does not match its record");
  else if ((found = iv_cap_rows_get (rows, name)) == NULL)
    status = iv_fail (IV_ERR_LIMIT, "more than %d workspaces", IV_CAP_NAMES_MAX);
  else if (goes_back (&row, found->cells[cell]))
    status = iv_fail (IV_ERR_INVALID, "a cell takes back what it has given");
  g_free (expected);
  g_free (name);
  if (status != IV_OK || found == NULL)
    return status;
  if (found->cells[cell] == NULL)
    found->cells[cell] = g_new (struct iv_cap_row, 1);
  *found->cells[cell] = row;
  found->applied_ms[cell] = now_ms;
  rows->applied++;
  return IV_OK;
}

guint64
iv_cap_rows_applied (const struct iv_cap_rows *rows)
{
  return rows->applied;
}
