#include "workspace_usage.h"

#include "counter.h"

#include <string.h>

struct iv_workspace_usage
{
  GHashTable *accounts; /* from interned name to struct iv_workspace_account */
};

static const char *const outcome_names[IV_WORKSPACE_OUTCOMES] = { "started", "above", "limited" };

static void
free_account (gpointer data)
{
  struct iv_workspace_account *account = data;
  g_queue_clear (&account->turns);
  g_free (account);
}

struct iv_workspace_usage *
iv_workspace_usage_new (void)
{
  struct iv_workspace_usage *usage = g_new0 (struct iv_workspace_usage, 1);
  usage->accounts = g_hash_table_new_full (NULL, NULL, NULL, free_account);
  return usage;
}

void
iv_workspace_usage_free (struct iv_workspace_usage *usage)
{
  if (usage == NULL)
    return;
  g_hash_table_destroy (usage->accounts);
  g_free (usage);
}

void
iv_workspace_usage_reset (struct iv_workspace_usage *usage)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, usage->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct iv_workspace_account *account = value;
      account->active = FALSE;
      account->used = (struct iv_resources){ 0 };
    }
}

void
iv_workspace_usage_sweep (struct iv_workspace_usage *usage)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, usage->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((const struct iv_workspace_account *)value)->active)
      g_hash_table_iter_remove (&iter);
}

void
iv_workspace_usage_foreach (struct iv_workspace_usage *usage,
                            void (*each) (struct iv_workspace_account *account, void *context),
                            void *context)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, usage->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    each (value, context);
}

struct iv_workspace_account *
iv_workspace_usage_account (struct iv_workspace_usage *usage, const char *name)
{
  struct iv_workspace_account *account = g_hash_table_lookup (usage->accounts, name);
  if (account == NULL)
    {
      account = g_new0 (struct iv_workspace_account, 1);
      account->name = name;
      g_queue_init (&account->turns);
      g_hash_table_insert (usage->accounts, (gpointer)name, account);
    }
  account->active = TRUE;
  return account;
}

struct iv_resources
iv_workspace_needs (const ivj_step *step, guint count)
{
  return (struct iv_resources){ (gint64)step->cpu_milli * count, (gint64)step->mem_mb * count,
                                (gint64)step->accelerators * count };
}

static void
add (struct iv_resources *sum, const struct iv_resources *resources)
{
  sum->cpu_milli += resources->cpu_milli;
  sum->mem_mb += resources->mem_mb;
  sum->accelerators += resources->accelerators;
}

static void
raise_to (struct iv_resources *most, const struct iv_resources *resources)
{
  most->cpu_milli = MAX (most->cpu_milli, resources->cpu_milli);
  most->mem_mb = MAX (most->mem_mb, resources->mem_mb);
  most->accelerators = MAX (most->accelerators, resources->accelerators);
}

void
iv_workspace_account_add (struct iv_workspace_account *account, const struct iv_resources *used)
{
  add (&account->used, used);
}

void
iv_workspace_account_use (struct iv_workspace_account *account, const ivj_step *step, guint count)
{
  struct iv_resources used = iv_workspace_needs (step, count);
  add (&account->used, &used);
}

void
iv_workspace_account_want (struct iv_workspace_account *account, const ivj_step *step, guint count)
{
  struct iv_resources wanted = iv_workspace_needs (step, count);
  add (&account->wanted, &wanted);
}

/* Tasks of a step that may run, and the step that must have ended before they do, if it has not. */
struct possible
{
  guint count;
  gint previous; /* -1: none */
};

/* Counts the most that can run at a time: a step and those that follow it directly or indirectly
   exclude each other. Each step is put below one of those before it, and a tree uses what its root
   uses, or what the trees below use if that is more. */
static void
use_possible (struct iv_workspace_account *account, const ivj_job *spec,
              const struct possible *possible)
{
  struct iv_resources below[IVJ_STEPS_MAX] = { 0 };
  for (guint i = spec->steps.steps_len; i-- > 0;)
    {
      struct iv_resources used = iv_workspace_needs (&spec->steps.steps_val[i], possible[i].count);
      raise_to (&used, &below[i]);
      add (possible[i].previous < 0 ? &account->used : &below[possible[i].previous], &used);
    }
}

/* Tasks of @a stage that a previous owner may have started. */
static guint
count_unknown (const struct iv_stage *stage)
{
  guint count = 0;
  if (stage->runs_known)
    return 0;
  for (guint i = 0; i < stage->step->count; i++)
    count += stage->tasks[i].state == IV_JOB_TASK_WAITING && !stage->tasks[i].runs_known;
  return count;
}

/* Whether all steps before @a stage may have ended by what a previous owner knew. Sets @a previous
   to one of those that have not by what is known here. */
static gboolean
may_be_ready (const struct iv_occurrence *occurrence, const struct iv_stage *stage,
              const struct possible *possible, gint *previous)
{
  *previous = -1;
  for (guint i = 0; i < stage->step->depends.depends_len; i++)
    {
      guint number = stage->step->depends.depends_val[i];
      const struct iv_stage *before = &occurrence->stages[number];
      guint left = before->step->count - before->done;
      if (possible[number].count < left)
        return FALSE;
      if (left > 0)
        *previous = (gint)number;
    }
  return TRUE;
}

void
iv_workspace_account_use_unknown (struct iv_workspace_account *account,
                                  const struct iv_job_exec *exec)
{
  const ivj_job *spec = &exec->job->spec;
  for (guint i = 0; i < exec->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      struct possible possible[IVJ_STEPS_MAX] = { 0 };
      for (guint j = 0; j < spec->steps.steps_len; j++)
        {
          const struct iv_stage *stage = &occurrence->stages[j];
          if (may_be_ready (occurrence, stage, possible, &possible[j].previous))
            possible[j].count = count_unknown (stage);
        }
      use_possible (account, spec, possible);
    }
}

void
iv_workspace_account_use_ended (struct iv_workspace_account *account,
                                const struct iv_job_entry *job)
{
  const ivj_job *spec = &job->spec;
  /* The record of an end does not say how many were open. */
  guint occurrences = CLAMP (spec->times, 1, iv_job_exec_open_max (spec));
  struct possible possible[IVJ_STEPS_MAX] = { 0 };
  for (guint i = 0; i < spec->steps.steps_len; i++)
    {
      const ivj_step *step = &spec->steps.steps_val[i];
      possible[i].count = step->count;
      possible[i].previous
          = step->depends.depends_len > 0 ? (gint)step->depends.depends_val[0] : -1;
    }
  for (guint i = 0; i < occurrences; i++)
    use_possible (account, spec, possible);
}

/* Whether @a count tasks that need @a need each fit into what is left of @a max. */
static gboolean
admits (gint64 used, gint64 max, gint64 need, guint count, gboolean may_exceed_by_one)
{
  if (max < 0 || need == 0)
    return TRUE;
  return used + need * count <= max || (may_exceed_by_one && used + need * (count - 1) < max);
}

static gboolean
admits_beside (const struct iv_workspace_limit *limit, const struct iv_resources *used,
               const ivj_step *step, guint count)
{
  const struct iv_resources *max = &limit->max;
  gboolean by_one = limit->may_exceed_by_one;
  return !limit->limited
         || (admits (used->cpu_milli, max->cpu_milli, step->cpu_milli, count, by_one)
             && admits (used->mem_mb, max->mem_mb, step->mem_mb, count, by_one)
             && admits (used->accelerators, max->accelerators, step->accelerators, count, by_one));
}

gboolean
iv_workspace_account_admits (const struct iv_workspace_account *account, const ivj_step *step,
                             guint count)
{
  return admits_beside (&account->limit, &account->used, step, count);
}

gboolean
iv_workspace_account_admits_again (const struct iv_workspace_account *account, const ivj_step *step)
{
  struct iv_resources others = account->used;
  others.cpu_milli -= step->cpu_milli;
  others.mem_mb -= step->mem_mb;
  others.accelerators -= step->accelerators;
  return admits_beside (&account->limit, &others, step, 1);
}

/* The label of a workspace in the metrics of this process. */
static const char *
label_of (const char *name)
{
  static GHashTable *labels; /* from name to label */
  const char *known;
  char *label;
  if (labels == NULL)
    labels = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  known = g_hash_table_lookup (labels, name);
  if (known)
    return known;
  if (g_hash_table_size (labels) >= IV_WORKSPACE_LABELS_MAX)
    return "other";
  label = g_strdup (name);
  for (char *c = label; *c; c++)
    if (g_ascii_iscntrl (*c) || *c == '"' || *c == '\\')
      *c = '_';
  g_hash_table_insert (labels, g_strdup (name), label);
  return label;
}

void
iv_workspace_account_count (struct iv_workspace_account *account, enum iv_workspace_outcome outcome,
                            guint n)
{
  struct iv_counter **counter = &account->counters[outcome];
  if (*counter == NULL)
    {
      char *labels = g_strdup_printf ("workspace=\"%s\",outcome=\"%s\"", label_of (account->name),
                                      outcome_names[outcome]);
      *counter = iv_counter_get ("ibisvane_workspace_tasks_total", labels,
                                 "Tasks by workspace: started, started above its share, held by "
                                 "its limit.");
      g_free (labels);
    }
  iv_counter_add (*counter, n);
}
