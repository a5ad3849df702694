#include "report.h"

#include <stdlib.h>
#include <string.h>

#define CORE_US_PER_CORE_SECOND 1000000

struct row
{
  char *kind;
  char *name;
  guint64 core_us;
};

static const char *
string_member (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text ? text : "";
}

static void
free_row (gpointer data)
{
  struct row *row = data;
  g_free (row->kind);
  g_free (row->name);
  g_free (row);
}

static void
add_core_us (GHashTable *rows, const char *kind, const char *name, guint64 core_us)
{
  char *key = g_strdup_printf ("%s/%s", kind, name);
  struct row *row = g_hash_table_lookup (rows, key);
  if (row == NULL)
    {
      row = g_new0 (struct row, 1);
      row->kind = g_strdup (kind);
      row->name = g_strdup (name);
      g_hash_table_insert (rows, g_strdup (key), row);
    }
  row->core_us += core_us;
  g_free (key);
}

static void
add_usage_rows (GHashTable *rows, const json_t *list, enum iv_report_grouping by,
                const char *domain, const char *host)
{
  size_t i;
  json_t *value;
  json_array_foreach (list, i, value)
    {
      const char *kind = string_member (value, "kind"), *name = string_member (value, "name");
      guint64 core_us = (guint64)json_integer_value (json_object_get (value, "units"));
      gboolean workload = strcmp (kind, "workload") == 0;
      if (by == IV_REPORT_TEAM && workload)
        name = string_member (value, "team");
      else if (by == IV_REPORT_DOMAIN)
        name = domain;
      else if (by == IV_REPORT_HOST)
        name = host;
      add_core_us (rows, kind, name, core_us);
    }
}

static GHashTable *
aggregate (const json_t *response, enum iv_report_grouping by)
{
  GHashTable *rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_row);
  size_t i, j;
  json_t *domain, *host;
  json_array_foreach (json_object_get (response, "domains"), i, domain)
    {
      const char *name = string_member (domain, "domain");
      json_array_foreach (json_object_get (domain, "hosts"), j, host)
        add_usage_rows (rows, json_object_get (host, "rows"), by, name,
                        string_member (host, "host"));
      add_usage_rows (rows, json_object_get (domain, "retired"), by, name, "replaced hosts");
    }
  return rows;
}

static gint
compare_rows (gconstpointer a, gconstpointer b)
{
  const struct row *left = a, *right = b;
  int by_kind = strcmp (left->kind, right->kind);
  if (by_kind != 0)
    return strcmp (left->kind, "workload") == 0    ? -1
           : strcmp (right->kind, "workload") == 0 ? 1
                                                   : by_kind;
  return strcmp (left->name, right->name);
}

static char *
render_json (GList *rows, const json_t *missing, guint64 total)
{
  json_t *list = json_array (), *root;
  char *text, *terminated;
  for (GList *node = rows; node; node = node->next)
    {
      const struct row *row = node->data;
      json_array_append_new (list, json_pack ("{s:s,s:s,s:I}", "kind", row->kind, "name", row->name,
                                              "core_microseconds", (json_int_t)row->core_us));
    }
  root = json_pack ("{s:o,s:I,s:O}", "rows", list, "total_core_microseconds", (json_int_t)total,
                    "missing", missing);
  text = json_dumps (root, JSON_INDENT (2));
  terminated = g_strdup_printf ("%s\n", text);
  free (text);
  json_decref (root);
  return terminated;
}

static char *
render_lines (GList *rows, const json_t *missing, guint64 total, gboolean csv)
{
  GString *text = g_string_new (csv ? "kind,name,core_microseconds\n" : "");
  size_t i;
  json_t *domain;
  for (GList *node = rows; node; node = node->next)
    {
      const struct row *row = node->data;
      if (csv)
        g_string_append_printf (text, "%s,%s,%" G_GUINT64_FORMAT "\n", row->kind, row->name,
                                row->core_us);
      else
        g_string_append_printf (text, "%-13s %-32s %16.3f core-seconds %5.1f %%\n", row->kind,
                                row->name, (double)row->core_us / CORE_US_PER_CORE_SECOND,
                                total ? 100.0 * (double)row->core_us / (double)total : 0);
    }
  if (!csv)
    g_string_append_printf (text, "%-13s %-32s %16.3f core-seconds\n", "total", "",
                            (double)total / CORE_US_PER_CORE_SECOND);
  json_array_foreach (missing, i, domain)
    if (!csv)
      g_string_append_printf (text, "incomplete: the owner of %s did not answer\n",
                              json_string_value (domain));
  return g_string_free (text, FALSE);
}

char *
iv_report_render (const json_t *response, enum iv_report_grouping by, enum iv_report_format format)
{
  guint64 total = 0;
  GHashTable *rows = aggregate (response, by);
  GList *sorted = g_list_sort (g_hash_table_get_values (rows), compare_rows);
  json_t *missing = json_object_get (response, "missing");
  char *text;
  for (GList *node = sorted; node; node = node->next)
    total += ((struct row *)node->data)->core_us;
  text = format == IV_REPORT_JSON ? render_json (sorted, missing, total)
                                  : render_lines (sorted, missing, total, format == IV_REPORT_CSV);
  g_list_free (sorted);
  g_hash_table_destroy (rows);
  return text;
}
