#include "operator_views.h"

#include "config_task.h"
#include "domain_task.h"
#include "hosts_task.h"
#include "key_task.h"
#include "peer_task.h"
#include "route_task.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static const char *const item_type_names[] = { "", "service", "job", "team" };
static const char *const usage_kind_names[]
    = { "", "workload", "idle", "overhead", "unattributed" };
static const char *const task_state_names[] = { "queued", "bound", "exporting" };

static char *
take_text (json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static void
append_json (GByteArray *body, json_t *root)
{
  char *text = take_text (root);
  g_byte_array_append (body, (const guint8 *)text, (guint)strlen (text));
  free (text);
}

static json_t *
row_json (const ivx_usage_row *row)
{
  return json_pack ("{s:s,s:s,s:s,s:I}", "kind", usage_kind_names[row->kind], "team", row->team,
                    "name", row->name, "units", (json_int_t)row->core_us);
}

static json_t *
rows_json (const GArray *rows)
{
  json_t *list = json_array ();
  for (guint i = 0; i < rows->len; i++)
    json_array_append_new (list, row_json (&g_array_index (rows, ivx_usage_row, i)));
  return list;
}

static json_t *
report_json (const struct iv_cell *cell)
{
  json_t *hosts = json_array ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cell->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_worker *worker = value;
      const struct iv_ledger *ledger = &worker->ledger;
      json_array_append_new (
          hosts, json_pack ("{s:s,s:I,s:I,s:I,s:b,s:o}", "host", worker->info.name, "start_ms",
                            (json_int_t)ledger->start_ms, "until_ms", (json_int_t)ledger->until_ms,
                            "cpu_milli", (json_int_t)ledger->cpu_milli, "balanced",
                            iv_ledger_balanced (ledger), "rows", rows_json (ledger->rows)));
    }
  return json_pack ("{s:s,s:o,s:o}", "domain", cell->domain, "hosts", hosts, "retired",
                    rows_json (cell->removed_usage));
}

static json_t *
job_json (const struct iv_app *app, const struct iv_planner *planner, const char *name)
{
  const struct iv_cell *cell = iv_planner_cell (planner);
  json_t *tasks = json_array ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cell->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_task *task = value;
      const struct iv_job *job = iv_cell_job (cell, task->job);
      const struct iv_worker *worker = iv_cell_worker (cell, task->worker);
      const char *reason = task->state == IV_TASK_QUEUED
                               ? iv_planner_wait_reason (planner, task, iv_app_now (app))
                               : "";
      if (strcmp (job->item.name, name) != 0)
        continue;
      json_array_append_new (tasks,
                             json_pack ("{s:i,s:s,s:i,s:s,s:s,s:i}", "index", (int)task->index,
                                        "state", task_state_names[task->state], "attempt",
                                        (int)task->attempt, "host", worker ? worker->info.name : "",
                                        "reason", reason, "progress_ms", (int)task->progress_ms));
    }
  return json_pack ("{s:s,s:o}", "domain", cell->domain, "tasks", tasks);
}

int
iv_operator_local_query (struct iv_app *app, const char *domain, const char *path, GByteArray *body)
{
  const struct iv_domain_task *task = iv_domain_task_find (app, domain);
  if (g_str_has_prefix (path, "key/"))
    return iv_route_task_key_response (app->route, path + strlen ("key/"), body);
  if (task == NULL || !iv_planner_owns (iv_domain_task_planner (task)))
    return 503;
  if (strcmp (path, "report") == 0)
    append_json (body, report_json (iv_planner_cell (iv_domain_task_planner (task))));
  else if (g_str_has_prefix (path, "job/"))
    append_json (body, job_json (app, iv_domain_task_planner (task), path + strlen ("job/")));
  else
    return 404;
  return 200;
}

static const char *
item_state (const struct iv_item *item)
{
  guint32 failed, ended = iv_item_ended_tasks (item, &failed);
  if (!item->ended)
    return ended > 0 ? "running" : "accepted";
  if (item->item.type == IVX_JOB && ended >= item->item.tasks)
    return failed == 0 ? "done" : "failed";
  return item->item.type == IVX_JOB ? "cancelled" : "withdrawn";
}

static json_t *
item_json (const struct iv_item *item)
{
  const ivx_item *definition = &item->item;
  json_t *progress = json_array ();
  for (guint i = 0; i < item->progress->len; i++)
    {
      const ivx_progress *domain_progress = &g_array_index (item->progress, ivx_progress, i);
      json_array_append_new (
          progress, json_pack ("{s:s,s:i,s:i,s:i,s:i}", "domain", domain_progress->domain, "done",
                               (int)domain_progress->done, "failed", (int)domain_progress->failed,
                               "cancelled", (int)domain_progress->cancelled, "unknown",
                               (int)domain_progress->unknown));
    }
  return json_pack (
      "{s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:s,s:o}", "type", item_type_names[definition->type], "name",
      definition->name, "team", definition->team, "tasks", (int)definition->tasks, "cpu_milli",
      (int)definition->size.cpu_milli, "memory_mib", (int)definition->size.memory_mib, "run_ms",
      (int)definition->run_ms, "state", item_state (item), "progress", progress);
}

static json_t *
items_json (const struct iv_app *app, gboolean jobs)
{
  const struct iv_config *config = iv_config_task_state (app->config);
  GList *names = g_list_sort (g_hash_table_get_keys (config->items), (GCompareFunc)strcmp);
  json_t *list = json_array ();
  for (GList *node = names; node; node = node->next)
    {
      const struct iv_item *item = iv_config_item (config, node->data);
      if (jobs ? item->item.type == IVX_JOB : !item->ended)
        json_array_append_new (list, item_json (item));
    }
  g_list_free (names);
  return list;
}

char *
iv_operator_release_json (const struct iv_app *app)
{
  const struct iv_config *config = iv_config_task_state (app->config);
  return take_text (json_pack ("{s:i,s:o,s:s}", "release", (int)config->release, "items",
                               items_json (app, FALSE), "text", config->text));
}

char *
iv_operator_history_json (const struct iv_app *app)
{
  const struct iv_config *config = iv_config_task_state (app->config);
  json_t *list = json_array ();
  for (guint i = 0; i < config->history->len; i++)
    {
      const ivx_history_state *release = &g_array_index (config->history, ivx_history_state, i);
      json_array_append_new (list, json_pack ("{s:i,s:s,s:I,s:i,s:i,s:i}", "release",
                                              (int)release->number, "author", release->author,
                                              "offset", (json_int_t)release->offset, "added",
                                              (int)release->added, "changed", (int)release->changed,
                                              "withdrawn", (int)release->withdrawn));
    }
  return take_text (list);
}

char *
iv_operator_jobs_json (const struct iv_app *app)
{
  return take_text (items_json (app, TRUE));
}

char *
iv_operator_job_json (const struct iv_app *app, const char *name)
{
  const struct iv_item *item = iv_config_item (iv_config_task_state (app->config), name);
  return item && item->item.type == IVX_JOB ? take_text (item_json (item)) : NULL;
}

static json_t *
domains_json (const struct iv_app *app)
{
  const struct iv_config *config = iv_config_task_state (app->config);
  json_t *list = json_array ();
  for (guint i = 0; i < app->domains->len; i++)
    {
      const char *name = g_ptr_array_index (app->domains, i);
      const struct iv_domain_task *task = iv_domain_task_find (app, name);
      const struct iv_cell *cell = task ? iv_planner_cell (iv_domain_task_planner (task)) : NULL;
      json_array_append_new (list,
                             json_pack ("{s:s,s:b,s:s,s:i,s:b,s:i,s:i,s:i}", "domain", name, "out",
                                        iv_config_domain_out (config, name), "owner",
                                        cell ? cell->owner : "", "term", cell ? (int)cell->term : 0,
                                        "owned", iv_domain_task_owns (app, name), "workers",
                                        cell ? (int)g_hash_table_size (cell->workers) : 0, "tasks",
                                        cell ? (int)g_hash_table_size (cell->tasks) : 0,
                                        "evictions", cell ? (int)cell->evictions : 0));
    }
  return list;
}

char *
iv_operator_status_json (const struct iv_app *app)
{
  char *members = iv_peer_task_members (app->peers);
  const char *reason;
  gboolean ready = iv_operator_is_ready (app, &reason);
  gint64 age_ms = iv_app_now (app) - iv_config_task_evidence_ms (app->config);
  json_t *root
      = json_pack ("{s:s,s:s,s:b,s:s,s:i,s:I,s:b,s:b,s:i,s:o,s:o}", "host", app->settings->host,
                   "domain", app->settings->domain, "ready", ready, "reason", reason, "release",
                   (int)iv_config_task_state (app->config)->release, "config_age_ms",
                   (json_int_t)MIN (age_ms, G_MAXINT32), "log_up",
                   iv_config_task_log_up (app->config), "keys_ready", iv_key_task_ready (app->keys),
                   "queued", (int)iv_router_queued (iv_route_task_router (app->route)), "domains",
                   domains_json (app), "members", json_loads (members, 0, NULL));
  free (members);
  return take_text (root);
}

gboolean
iv_operator_is_ready (const struct iv_app *app, const char **reason)
{
  *reason = "";
  if (app->leaving)
    *reason = "the host is leaving";
  else if (!iv_config_task_is_complete (app->config))
    *reason = "the configuration was not read whole yet";
  else if (iv_hosts_task_instances (app->hosts) == NULL)
    *reason = "the host list was not read yet";
  else if (!iv_hosts_task_names_any (app->hosts))
    *reason = "the host list names no worker and no upstream instance";
  return **reason == '\0';
}
