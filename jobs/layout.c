#include "layout.h"

#include "status.h"

#include <stdlib.h>
#include <string.h>

/* Job ids are random; their first digits suffice to spread jobs evenly over the cells. */
#define HASHED_ID_DIGITS 8

struct iv_layout
{
  guint cells;
  guint workers;
  GHashTable *racks; /* from name to cell + 1; 0: not in the layout */
};

struct rack
{
  char *domain;
  char *name;
};

struct iv_rack_list
{
  GPtrArray *racks; /* of struct rack */
  guint workers;
};

static void
free_rack (gpointer data)
{
  struct rack *rack = data;
  g_free (rack->domain);
  g_free (rack->name);
  g_free (rack);
}

struct iv_rack_list *
iv_rack_list_new (void)
{
  struct iv_rack_list *list = g_new0 (struct iv_rack_list, 1);
  list->racks = g_ptr_array_new_with_free_func (free_rack);
  return list;
}

void
iv_rack_list_free (struct iv_rack_list *list)
{
  if (list == NULL)
    return;
  g_ptr_array_free (list->racks, TRUE);
  g_free (list);
}

void
iv_rack_list_add (struct iv_rack_list *list, const char *domain, const char *rack)
{
  struct rack *row;
  list->workers++;
  for (guint i = 0; i < list->racks->len; i++)
    if (strcmp (((struct rack *)g_ptr_array_index (list->racks, i))->name, rack) == 0)
      return;
  row = g_new0 (struct rack, 1);
  row->domain = g_strdup (domain);
  row->name = g_strdup (rack);
  g_ptr_array_add (list->racks, row);
}

guint
iv_rack_list_workers (const struct iv_rack_list *list)
{
  return list->workers;
}

static gint
compare_racks (gconstpointer a, gconstpointer b)
{
  const struct rack *left = *(struct rack *const *)a;
  const struct rack *right = *(struct rack *const *)b;
  gint order = strcmp (left->domain, right->domain);
  return order ? order : strcmp (left->name, right->name);
}

char *
iv_layout_build (const struct iv_rack_list *list, guint workers_per_cell)
{
  guint cells = (list->workers + workers_per_cell / 2) / MAX (workers_per_cell, 1);
  GPtrArray *sorted = g_ptr_array_new ();
  GString *record;
  cells = CLAMP (cells, 1, MIN (IV_CELLS_MAX, MAX (list->racks->len, 1)));
  for (guint i = 0; i < list->racks->len; i++)
    g_ptr_array_add (sorted, g_ptr_array_index (list->racks, i));
  g_ptr_array_sort (sorted, compare_racks);
  record = g_string_new (NULL);
  g_string_printf (record, "%u %u", cells, list->workers);
  for (guint i = 0; i < sorted->len; i++)
    g_string_append_printf (record, "\n%u %s", i % cells,
                            ((struct rack *)g_ptr_array_index (sorted, i))->name);
  g_ptr_array_free (sorted, TRUE);
  return g_string_free (record, FALSE);
}

/* Parses a further line, "CELL RACK". */
static gboolean
parse_rack (struct iv_layout *layout, const char *line)
{
  char *name;
  guint64 cell = g_ascii_strtoull (line, &name, 10);
  if (name == line || *name != ' ' || cell >= layout->cells)
    return FALSE;
  g_hash_table_replace (layout->racks, g_strdup (name + 1), GUINT_TO_POINTER ((guint)cell + 1));
  return TRUE;
}

/* Parses the first line, "CELLS WORKERS". */
static gboolean
parse_sizes (struct iv_layout *layout, const char *line)
{
  char **words = g_strsplit (line, " ", 0);
  guint64 cells = 0;
  guint64 workers = 0;
  gboolean ok = g_strv_length (words) == 2
                && g_ascii_string_to_unsigned (words[0], 10, 1, IV_CELLS_MAX, &cells, NULL)
                && g_ascii_string_to_unsigned (words[1], 10, 0, G_MAXINT, &workers, NULL);
  layout->cells = (guint)cells;
  layout->workers = (guint)workers;
  g_strfreev (words);
  return ok;
}

struct iv_layout *
iv_layout_parse (const char *record, gsize len)
{
  struct iv_layout *layout = g_new0 (struct iv_layout, 1);
  char *text = g_strndup (record, len);
  char **lines = g_strsplit (text, "\n", 0);
  gboolean ok = lines[0] && parse_sizes (layout, lines[0]);
  layout->racks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 1; ok && lines[i]; i++)
    ok = parse_rack (layout, lines[i]);
  g_strfreev (lines);
  g_free (text);
  if (ok)
    return layout;
  iv_layout_free (layout);
  iv_fail (IV_ERR_INVALID,
           "malformed layout record: expected \"CELLS WORKERS\", then \"CELL RACK\" lines");
  return NULL;
}

void
iv_layout_free (struct iv_layout *layout)
{
  if (layout == NULL)
    return;
  g_hash_table_destroy (layout->racks);
  g_free (layout);
}

guint
iv_layout_cells (const struct iv_layout *layout)
{
  return layout->cells;
}

guint
iv_layout_cell_workers (const struct iv_layout *layout)
{
  return layout->workers / layout->cells;
}

guint
iv_layout_worker_cell (const struct iv_layout *layout, const char *rack)
{
  guint assigned = GPOINTER_TO_UINT (g_hash_table_lookup (layout->racks, rack));
  return assigned > 0 ? assigned - 1 : g_str_hash (rack) % layout->cells;
}

gint
iv_layout_rack_cell (const struct iv_layout *layout, const char *rack)
{
  return (gint)GPOINTER_TO_UINT (g_hash_table_lookup (layout->racks, rack)) - 1;
}

static guint
cell_by_job_id (const struct iv_layout *layout, const char *id)
{
  char digits[HASHED_ID_DIGITS + 1];
  g_strlcpy (digits, id, sizeof digits);
  return (guint)(strtoul (digits, NULL, 16) % layout->cells);
}

/* Returns the cell that has the rack requested by a step of the job; -1: there is none. */
static gint
cell_by_rack (const struct iv_layout *layout, const ivj_job *spec)
{
  for (guint i = 0; i < spec->steps.steps_len; i++)
    {
      const ivj_step *step = &spec->steps.steps_val[i];
      const char *rack = *step->data_rack ? step->data_rack : step->label;
      gint cell = iv_layout_rack_cell (layout, rack);
      if (cell >= 0)
        return cell;
    }
  return -1;
}

gboolean
iv_layout_names_rack (const struct iv_layout *layout, const ivj_job *spec)
{
  return cell_by_rack (layout, spec) >= 0;
}

double
iv_layout_job_draw (const char *id)
{
  const char *last = id + strlen (id) - MIN (strlen (id), HASHED_ID_DIGITS);
  return (double)strtoul (last, NULL, 16)
         / (double)(G_GUINT64_CONSTANT (1) << 4 * HASHED_ID_DIGITS);
}

guint
iv_layout_job_cell (const struct iv_layout *layout, const struct iv_job_entry *job)
{
  gint cell;
  if (job->moved_to >= 0)
    return (guint)job->moved_to % layout->cells;
  cell = cell_by_rack (layout, &job->spec);
  if (cell >= 0)
    return (guint)cell;
  return job->chosen_cell >= 0 ? (guint)job->chosen_cell % layout->cells
                               : cell_by_job_id (layout, job->id);
}
