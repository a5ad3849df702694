#include "cap_task.h"

#include "counter.h"
#include "event.h"
#include "histogram.h"
#include "job_table.h"

#include <string.h>

/* Room that one cell does not need has to be usable in another within a second or two; a request
   and its answer take two steps and two appends. */
#define STEP_INTERVAL_MS 50
#define STEP_AFTER_RECORDS_MS 20
#define LOG_INTERVAL_MS 1000 /* between two lines on the part of one workspace */
#define LABELS_MAX 64        /* workspaces with series of their own; the rest is `other` */
#define LABEL_BYTES_MAX 64
#define PPM 1000000

G_STATIC_ASSERT (IV_CAP_CELLS_MAX == IV_CELLS_MAX);

/* What was logged and measured of a workspace. */
struct account
{
  struct iv_counter *fraction; /* gauge */
  gint64 shown_ppm;            /* what this cell has added to the gauge */
  gint64 next_log_ms;
  gint64 asked_ms; /* when the open request was made; 0: there is none */
  struct iv_cap_limit logged;
};

struct iv_cap_task
{
  const struct iv_cap_rows *rows;
  guint cell;
  void (*fenced) (void *context);
  void *context;
  struct iv_cap_parts *parts; /* NULL without ownership */
  guint64 ownership;          /* number of the present one */
  gboolean has_workspaces;
  gint64 next_step_ms;
  gint64 last_step_ms;
  guint64 applied;              /* records at the last step */
  GHashTable *accounts;         /* by name of the workspace, to struct account */
  struct iv_recorder *recorder; /* during a step */
  gint64 now_ms;                /* of the step */
};

/* A record being appended. */
struct cap_record
{
  struct iv_cap_task *task;
  guint64 ownership;
  char *workspace;
};

static void
count_record (const char *outcome)
{
  char labels[48];
  g_snprintf (labels, sizeof labels, "outcome=\"%s\"", outcome);
  iv_counter_add (iv_counter_get ("ibisvane_cap_records_total", labels,
                                  "Records of parts of caps, by outcome of their append."),
                  1);
}

static const char *
outcome_name (enum iv_status status)
{
  switch (status)
    {
    case IV_OK:
      return "stored";
    case IV_ERR_UNAVAILABLE:
      return "not_stored";
    case IV_ERR_STALE:
      return "fenced";
    default:
      return "unknown";
    }
}

enum iv_status
iv_cap_task_apply (struct iv_cap_rows *rows, const char *key, const guint8 *value, gsize len,
                   gint64 now_ms)
{
  const char *number = key + strlen (IV_KEY_CAP);
  char *end;
  guint64 cell = g_ascii_strtoull (number, &end, 10);
  if (value == NULL)
    return IV_OK;
  if (!g_ascii_isdigit (*number) || *end != '/' || cell >= IV_CELLS_MAX)
    return iv_fail (IV_ERR_INVALID, "malformed key of a part of a cap");
  return iv_cap_rows_apply (rows, (guint)cell, end + 1, (const char *)value, len, now_ms);
}

struct iv_cap_task *
iv_cap_task_new (const struct iv_cap_rows *rows, guint cell, void (*fenced) (void *context),
                 void *context)
{
  struct iv_cap_task *task = g_new0 (struct iv_cap_task, 1);
  task->rows = rows;
  task->cell = cell;
  task->fenced = fenced;
  task->context = context;
  task->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return task;
}

void
iv_cap_task_free (struct iv_cap_task *task)
{
  if (task == NULL)
    return;
  iv_cap_task_end (task);
  g_hash_table_destroy (task->accounts);
  g_free (task);
}

void
iv_cap_task_begin (struct iv_cap_task *task, guint cells, gint64 silence_ms)
{
  iv_cap_task_end (task);
  task->parts = iv_cap_parts_new (task->rows, task->cell, cells, silence_ms);
  task->ownership++;
  task->next_step_ms = 0;
}

void
iv_cap_task_end (struct iv_cap_task *task)
{
  GHashTableIter iter;
  gpointer value;
  g_clear_pointer (&task->parts, iv_cap_parts_free);
  task->has_workspaces = FALSE;
  g_hash_table_iter_init (&iter, task->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct account *account = value;
      iv_gauge_set (account->fraction, iv_counter_value (account->fraction) - account->shown_ppm);
    }
  g_hash_table_remove_all (task->accounts);
}

void
iv_cap_task_configure (struct iv_cap_task *task, const struct iv_workspaces *workspaces,
                       gint64 version, gint64 now_ms)
{
  if (task->parts == NULL)
    return;
  iv_cap_parts_configure (task->parts, workspaces, version, now_ms);
  /* Parts of workspaces that are gone still take part in transfers. */
  task->has_workspaces |= workspaces && iv_workspaces_count (workspaces) > 0;
  task->next_step_ms = now_ms;
}

void
iv_cap_task_limit (const struct iv_cap_task *task, const char *workspace,
                   struct iv_workspace_limit *limit, gint64 now_ms)
{
  struct iv_cap_limit part = { 0 };
  if (task->parts)
    iv_cap_parts_limit (task->parts, workspace, &part, now_ms);
  limit->limited = part.limited;
  limit->max = part.max;
  limit->may_exceed_by_one = part.may_exceed_by_one;
}

gboolean
iv_cap_task_is_due (const struct iv_cap_task *task, gint64 now_ms)
{
  if (task->parts == NULL || !task->has_workspaces)
    return FALSE;
  return now_ms >= task->next_step_ms
         || (iv_cap_rows_applied (task->rows) != task->applied
             && now_ms >= task->last_step_ms + STEP_AFTER_RECORDS_MS);
}

/* The gauge of a workspace; those after the first LABELS_MAX of this process share one. */
static struct iv_counter *
find_gauge (const char *workspace)
{
  static GHashTable *labelled;
  char label[LABEL_BYTES_MAX + 1];
  char labels[LABEL_BYTES_MAX + 32];
  if (labelled == NULL)
    labelled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_strlcpy (label, workspace, sizeof label);
  for (char *c = label; *c; c++)
    if (!g_ascii_isgraph (*c) || *c == '"' || *c == '\\')
      *c = '_';
  if (!g_hash_table_contains (labelled, label) && g_hash_table_size (labelled) >= LABELS_MAX)
    g_strlcpy (label, "other", sizeof label);
  else
    g_hash_table_add (labelled, g_strdup (label));
  g_snprintf (labels, sizeof labels, "workspace=\"%s\"", label);
  return iv_gauge_get ("ibisvane_cap_fraction_ppm", labels,
                       "Fraction of a workspace's cap that the cells of this host hold.");
}

static struct account *
get_account (struct iv_cap_task *task, const char *workspace)
{
  struct account *account = g_hash_table_lookup (task->accounts, workspace);
  if (account)
    return account;
  account = g_new0 (struct account, 1);
  account->fraction = find_gauge (workspace);
  g_hash_table_insert (task->accounts, g_strdup (workspace), account);
  return account;
}

static void
log_part (const struct iv_cap_task *task, struct account *account,
          const struct iv_cap_change *change)
{
  const struct iv_cap_limit *limit = &change->limit;
  if (task->now_ms < account->next_log_ms || memcmp (&account->logged, limit, sizeof *limit) == 0)
    return;
  account->next_log_ms = task->now_ms + LOG_INTERVAL_MS;
  account->logged = *limit;
  iv_event (IV_LEVEL_INFO, "cap.part",
            "cell=%u workspace=%s fraction_ppm=%" G_GINT64_FORMAT
            " limited=%d cpu=%" G_GINT64_FORMAT " mem=%" G_GINT64_FORMAT
            " accelerators=%" G_GINT64_FORMAT " exceed=%d",
            task->cell, iv_quote (change->workspace), change->fraction * PPM / IV_CAP_WHOLE,
            limit->limited, limit->max.cpu_milli, limit->max.mem_mb, limit->max.accelerators,
            limit->may_exceed_by_one);
}

static void
note_given (const struct iv_cap_task *task, const struct iv_cap_change *change)
{
  if (change->given == 0)
    return;
  iv_counter_add (
      iv_counter_get ("ibisvane_cap_given_total", "", "Times that a cell gave part of a cap."), 1);
  iv_event (IV_LEVEL_INFO, "cap.given",
            "cell=%u workspace=%s to=%u given_ppm=%" G_GINT64_FORMAT
            " fraction_ppm=%" G_GINT64_FORMAT,
            task->cell, iv_quote (change->workspace), change->receiver,
            change->given * PPM / IV_CAP_WHOLE, change->fraction * PPM / IV_CAP_WHOLE);
}

/* Measures how long requests last: until the cell has what it asked for, or wants it no longer. */
static void
note_asked (const struct iv_cap_task *task, struct account *account,
            const struct iv_cap_change *change)
{
  if (change->need == 0 && account->asked_ms > 0)
    iv_histogram_add (iv_histogram_get ("ibisvane_cap_asked_ms",
                                        "Time for which a cell asks for a part of a cap, in ms."),
                      task->now_ms - account->asked_ms);
  if (change->need > 0 && account->asked_ms == 0)
    {
      iv_counter_add (iv_counter_get ("ibisvane_cap_asked_total", "",
                                      "Times that a cell asked for part of a cap."),
                      1);
      iv_event (IV_LEVEL_INFO, "cap.asked",
                "cell=%u workspace=%s need_ppm=%" G_GINT64_FORMAT " fraction_ppm=%" G_GINT64_FORMAT
                " ticket=%" G_GINT64_FORMAT,
                task->cell, iv_quote (change->workspace), change->need * PPM / IV_CAP_WHOLE,
                change->fraction * PPM / IV_CAP_WHOLE, change->ticket);
      account->asked_ms = task->now_ms;
    }
  if (change->need == 0)
    account->asked_ms = 0;
}

static void
on_stored (void *context, enum iv_status status, gint64 end)
{
  struct cap_record *record = context;
  struct iv_cap_task *task = record->task;
  count_record (outcome_name (status));
  if (task->parts && task->ownership == record->ownership)
    {
      if (status == IV_ERR_STALE)
        task->fenced (task->context);
      else
        iv_cap_parts_stored (task->parts, record->workspace, status);
    }
  g_free (record->workspace);
  g_free (record);
}

static void
on_change (void *context, const struct iv_cap_change *change)
{
  struct iv_cap_task *task = context;
  struct cap_record *record = g_new0 (struct cap_record, 1);
  struct account *account = get_account (task, change->workspace);
  gint64 ppm = change->fraction * PPM / IV_CAP_WHOLE;
  char *digest = iv_cap_digest (change->workspace);
  char *key = g_strdup_printf (IV_KEY_CAP "%u/%s", task->cell, digest);
  iv_gauge_set (account->fraction, iv_counter_value (account->fraction) + ppm - account->shown_ppm);
  account->shown_ppm = ppm;
  log_part (task, account, change);
  note_given (task, change);
  note_asked (task, account, change);
  record->task = task;
  record->ownership = task->ownership;
  record->workspace = g_strdup (change->workspace);
  iv_recorder_add (task->recorder, key, change->value, strlen (change->value), on_stored, record);
  g_free (key);
  g_free (digest);
}

gboolean
iv_cap_task_step (struct iv_cap_task *task, const GArray *demand, struct iv_recorder *recorder,
                  gint64 now_ms)
{
  if (task->parts == NULL)
    return FALSE;
  for (guint i = 0; demand && i < demand->len; i++)
    {
      const struct iv_workspace_demand *row
          = &g_array_index (demand, struct iv_workspace_demand, i);
      iv_cap_parts_set_demand (task->parts, row->workspace, &row->used, &row->wanted);
    }
  task->recorder = recorder;
  task->now_ms = now_ms;
  task->last_step_ms = now_ms;
  task->next_step_ms = now_ms + STEP_INTERVAL_MS;
  task->applied = iv_cap_rows_applied (task->rows);
  return iv_cap_parts_step (task->parts, now_ms, on_change, task);
}
