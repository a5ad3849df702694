#include <string.h>

#include "planner_private.h"

static const ivx_share *
share_of (const struct iv_planner *planner, const ivx_item *item)
{
  for (u_int i = 0; i < item->shares.shares_len; i++)
    if (strcmp (item->shares.shares_val[i].domain, planner->domain) == 0)
      return &item->shares.shares_val[i];
  return NULL;
}

static void
add_admit (struct iv_planner *planner, GArray *records, const struct iv_item *item,
           const ivx_share *share)
{
  ivx_record record = { .kind = IVX_ADMIT };
  ivx_admit *admit = &record.ivx_record_u.admit;
  iv_xdr_copy ((iv_xdr_proc)xdr_ivx_item, &item->item, &admit->item);
  admit->gen = item->gen;
  admit->first = share->first;
  admit->count = share->count;
  admit->config_next = planner->config->next;
  iv_records_add (records, &record);
}

static void
plan_admissions (struct iv_planner *planner, GArray *records)
{
  GHashTableIter iter;
  gpointer value;
  if (planner->config->next < planner->cell->config_floor)
    return;
  g_hash_table_iter_init (&iter, planner->config->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_item *item = value;
      const ivx_share *share;
      const struct iv_job *job;
      if (item->ended || item->item.type == IVX_TEAM)
        continue;
      share = share_of (planner, &item->item);
      job = iv_cell_job_by_gen (planner->cell, item->gen);
      if (share && share->count > 0 && (job == NULL || !job->admitted))
        add_admit (planner, records, item, share);
    }
}

/* Whether the job's definition has ended, was replaced or is no longer stored. FALSE as long as
   this host has not read the definition, as is possible for a task from another failure domain. */
static gboolean
job_is_over (const struct iv_planner *planner, const struct iv_job *job)
{
  const struct iv_item *item = iv_config_item (planner->config, job->item.name);
  if (planner->config->next <= iv_gen_offset (job->gen))
    return FALSE;
  return item == NULL || item->gen != job->gen || item->ended;
}

static void
add_cancel (GArray *records, const struct iv_job *job)
{
  ivx_record record = { .kind = IVX_CANCEL_JOB };
  record.ivx_record_u.cancel_job.job = iv_record_strdup (job->item.name);
  record.ivx_record_u.cancel_job.gen = job->gen;
  iv_records_add (records, &record);
}

static void
add_forget (struct iv_planner *planner, GArray *records, const struct iv_job *job)
{
  ivx_record record = { .kind = IVX_JOB_REMOVED };
  record.ivx_record_u.job_removed.job = iv_record_strdup (job->item.name);
  record.ivx_record_u.job_removed.gen = job->gen;
  record.ivx_record_u.job_removed.config_next = planner->config->next;
  iv_records_add (records, &record);
}

static const ivx_progress *
known_progress (const struct iv_planner *planner, const struct iv_job *job)
{
  const struct iv_item *item = iv_config_item (planner->config, job->item.name);
  if (item == NULL || item->gen != job->gen)
    return NULL;
  for (guint i = 0; i < item->progress->len; i++)
    {
      const ivx_progress *row = &g_array_index (item->progress, ivx_progress, i);
      if (strcmp (row->domain, planner->domain) == 0)
        return row;
    }
  return NULL;
}

static gboolean
progress_is_known (const struct iv_planner *planner, const struct iv_job *job)
{
  const ivx_progress *row = known_progress (planner, job);
  return row && row->done + row->failed + row->cancelled + row->unknown >= iv_job_ended_tasks (job);
}

static void
add_progress (struct iv_planner *planner, GArray *config_records, const struct iv_job *job)
{
  ivx_record record = { .kind = IVX_PROGRESS };
  ivx_progress *progress = &record.ivx_record_u.progress;
  progress->job = iv_record_strdup (job->item.name);
  progress->gen = job->gen;
  progress->domain = iv_record_strdup (planner->domain);
  progress->done = job->done;
  progress->failed = job->failed;
  progress->cancelled = job->cancel_count;
  progress->unknown = job->unknown;
  iv_records_add (config_records, &record);
}

/* Progress is published only after all tasks here have ended, to limit the records per job in
   "config". */
static void
plan_job (struct iv_planner *planner, const struct iv_job *job, GArray *records,
          GArray *config_records)
{
  const struct iv_item *item = iv_config_item (planner->config, job->item.name);
  gboolean current = item && item->gen == job->gen;
  gboolean over = job_is_over (planner, job);
  if (over && !job->cancelled && job->live_tasks > 0)
    add_cancel (records, job);
  if (job->live_tasks > 0)
    return;
  if (current && iv_job_ended_tasks (job) > 0 && !progress_is_known (planner, job))
    add_progress (planner, config_records, job);
  else if (over)
    add_forget (planner, records, job);
}

void
iv_planner_plan_jobs (struct iv_planner *planner, GArray *records, GArray *config_records)
{
  GHashTableIter iter;
  gpointer value;
  if (planner->config == NULL || planner->config->next < planner->cell->config_floor)
    return;
  plan_admissions (planner, records);
  g_hash_table_iter_init (&iter, planner->cell->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    plan_job (planner, value, records, config_records);
}
