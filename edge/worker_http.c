#include "platform.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

struct worker_call
{
  iv_worker_sync_done done;
  void *context;
};

static json_t *
encode_task (const struct iv_sync_task *task)
{
  return json_pack (
      "{s:I,s:I,s:I,s:i,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:s,s:s}", "gen", (json_int_t)task->gen,
      "index", (json_int_t)task->index, "attempt", (json_int_t)task->attempt, "order",
      (int)task->order, "start_until", (json_int_t)task->start_until, "lease_until",
      (json_int_t)task->lease_until, "cpu_milli", (json_int_t)task->size.cpu_milli, "memory_mib",
      (json_int_t)task->size.memory_mib, "accelerators", (json_int_t)task->size.accelerators,
      "run_ms", (json_int_t)task->run_ms, "progress_ms", (json_int_t)task->progress_ms,
      "speed_permille", (json_int_t)task->speed_permille, "name", task->name, "team", task->team);
}

static gint64
int_field (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static guint32
u32_field (const json_t *object, const char *key)
{
  return (guint32)CLAMP (int_field (object, key), 0, G_MAXUINT32);
}

static const char *
text_field (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text ? text : "";
}

char *
iv_worker_encode_sync (const struct iv_sync *sync)
{
  json_t *tasks = json_array (), *acks = json_array (), *root;
  char *text;
  for (guint i = 0; i < sync->tasks->len; i++)
    json_array_append_new (tasks,
                           encode_task (&g_array_index (sync->tasks, struct iv_sync_task, i)));
  for (guint i = 0; i < sync->acks->len; i++)
    {
      const struct iv_sync_ack *ack = &g_array_index (sync->acks, struct iv_sync_ack, i);
      json_array_append_new (acks, json_pack ("[I,I,I]", (json_int_t)ack->gen,
                                              (json_int_t)ack->index, (json_int_t)ack->attempt));
    }
  root = json_pack ("{s:s,s:I,s:I,s:I,s:o,s:o}", "domain", sync->domain, "term",
                    (json_int_t)sync->term, "boot", (json_int_t)sync->boot, "usage_ack_ms",
                    (json_int_t)sync->usage_ack_ms, "tasks", tasks, "acks", acks);
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static void
decode_task (GArray *tasks, const json_t *row)
{
  struct iv_sync_task task = { .gen = (guint64)int_field (row, "gen"),
                               .index = u32_field (row, "index"),
                               .attempt = u32_field (row, "attempt"),
                               .order = (enum iv_order)u32_field (row, "order"),
                               .start_until = (guint64)int_field (row, "start_until"),
                               .lease_until = (guint64)int_field (row, "lease_until"),
                               .run_ms = u32_field (row, "run_ms"),
                               .progress_ms = u32_field (row, "progress_ms"),
                               .speed_permille = u32_field (row, "speed_permille") };
  task.size.cpu_milli = u32_field (row, "cpu_milli");
  task.size.memory_mib = u32_field (row, "memory_mib");
  task.size.accelerators = u32_field (row, "accelerators");
  task.name = g_strdup (text_field (row, "name"));
  task.team = g_strdup (text_field (row, "team"));
  g_array_append_val (tasks, task);
}

struct iv_sync *
iv_worker_decode_sync (const char *text, gsize len)
{
  json_t *root = json_loadb (text, len, 0, NULL), *row;
  struct iv_sync *sync;
  size_t i;
  if (!json_is_object (root))
    {
      json_decref (root);
      iv_fail (IV_ERR_INVALID, "the sync is not a JSON object");
      return NULL;
    }
  sync = iv_sync_new (0, "", text_field (root, "domain"));
  sync->term = u32_field (root, "term");
  sync->boot = (guint64)int_field (root, "boot");
  sync->usage_ack_ms = (guint64)int_field (root, "usage_ack_ms");
  json_array_foreach (json_object_get (root, "tasks"), i, row)
    decode_task (sync->tasks, row);
  json_array_foreach (json_object_get (root, "acks"), i, row)
    {
      struct iv_sync_ack ack = { (guint64)json_integer_value (json_array_get (row, 0)),
                                 (guint32)json_integer_value (json_array_get (row, 1)),
                                 (guint32)json_integer_value (json_array_get (row, 2)) };
      g_array_append_val (sync->acks, ack);
    }
  json_decref (root);
  return sync;
}

static json_t *
encode_report (const struct iv_run_report *report)
{
  return json_pack ("{s:I,s:I,s:I,s:s,s:I,s:I,s:I}", "gen", (json_int_t)report->gen, "index",
                    (json_int_t)report->index, "attempt", (json_int_t)report->attempt, "state",
                    iv_run_state_name (report->state), "progress_ms",
                    (json_int_t)report->progress_ms, "slowdown_permille",
                    (json_int_t)report->slowdown_permille, "measured_at",
                    (json_int_t)report->measured_at);
}

static json_t *
encode_usage (const ivx_usage *usage)
{
  json_t *rows = json_array ();
  for (u_int i = 0; i < usage->rows.rows_len; i++)
    {
      const ivx_usage_row *row = &usage->rows.rows_val[i];
      json_array_append_new (rows, json_pack ("{s:i,s:s,s:s,s:I}", "kind", (int)row->kind, "team",
                                              row->team, "name", row->name, "units",
                                              (json_int_t)row->core_us));
    }
  return json_pack ("{s:I,s:I,s:o}", "from_ms", (json_int_t)usage->from_ms, "until_ms",
                    (json_int_t)usage->until_ms, "rows", rows);
}

char *
iv_worker_encode_reply (const struct iv_sync_reply *reply)
{
  json_t *reports = json_array (), *usage = json_array (), *root;
  char *text;
  for (guint i = 0; i < reply->reports->len; i++)
    json_array_append_new (
        reports, encode_report (&g_array_index (reply->reports, struct iv_run_report, i)));
  for (guint i = 0; i < reply->usage->len; i++)
    json_array_append_new (usage, encode_usage (&g_array_index (reply->usage, ivx_usage, i)));
  root = json_pack ("{s:I,s:I,s:I,s:b,s:o,s:o}", "clock_ms", (json_int_t)reply->clock_ms, "boot",
                    (json_int_t)reply->boot, "term", (json_int_t)reply->term, "refused",
                    reply->refused, "reports", reports, "usage", usage);
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static void
decode_usage (GArray *list, const json_t *object)
{
  ivx_usage usage = { .from_ms = (guint64)int_field (object, "from_ms"),
                      .until_ms = (guint64)int_field (object, "until_ms") };
  json_t *rows = json_object_get (object, "rows"), *row;
  size_t i;
  usage.rows.rows_val = calloc (json_array_size (rows) + 1, sizeof (ivx_usage_row));
  json_array_foreach (rows, i, row)
    {
      ivx_usage_row *out = &usage.rows.rows_val[usage.rows.rows_len];
      guint32 kind = u32_field (row, "kind");
      if (kind < IVX_ROW_WORKLOAD || kind > IVX_ROW_OVERHEAD
          || usage.rows.rows_len >= IVX_ENTRIES_MAX)
        continue;
      out->kind = (ivx_row_kind)kind;
      out->team = strndup (text_field (row, "team"), IVX_NAME_MAX);
      out->name = strndup (text_field (row, "name"), IVX_NAME_MAX);
      out->core_us = (guint64)int_field (row, "units");
      usage.rows.rows_len++;
    }
  g_array_append_val (list, usage);
}

struct iv_sync_reply *
iv_worker_decode_reply (const char *text, gsize len)
{
  json_t *root = json_loadb (text, len, 0, NULL), *row;
  struct iv_sync_reply *reply;
  size_t i;
  if (!json_is_object (root))
    {
      json_decref (root);
      iv_fail (IV_ERR_INVALID, "the worker's reply to a sync is not a JSON object");
      return NULL;
    }
  reply = iv_sync_reply_new ();
  reply->clock_ms = (guint64)int_field (root, "clock_ms");
  reply->boot = (guint64)int_field (root, "boot");
  reply->term = u32_field (root, "term");
  reply->refused = json_is_true (json_object_get (root, "refused"));
  json_array_foreach (json_object_get (root, "reports"), i, row)
    {
      struct iv_run_report report = { .gen = (guint64)int_field (row, "gen"),
                                      .index = u32_field (row, "index"),
                                      .attempt = u32_field (row, "attempt"),
                                      .state = iv_run_state_parse (text_field (row, "state")),
                                      .progress_ms = u32_field (row, "progress_ms"),
                                      .slowdown_permille = u32_field (row, "slowdown_permille"),
                                      .measured_at = (guint64)int_field (row, "measured_at") };
      if (report.state != 0)
        g_array_append_val (reply->reports, report);
    }
  json_array_foreach (json_object_get (root, "usage"), i, row)
    decode_usage (reply->usage, row);
  json_decref (root);
  return reply;
}

static void
on_synced (void *context, const struct iv_http_response *response)
{
  struct worker_call *call = context;
  struct iv_sync_reply *reply = NULL;
  if (response->result == IV_HTTP_COMPLETE && response->status == 200)
    reply = iv_worker_decode_reply ((const char *)response->body->data, response->body->len);
  call->done (call->context, reply);
  g_free (call);
}

static void
sync_worker (void *context, const struct iv_sync *sync, gint64 deadline_ms,
             iv_worker_sync_done done, void *done_context)
{
  char *text = iv_worker_encode_sync (sync);
  struct iv_http_call response = { .method = "POST",
                                   .path = "/v1/sync",
                                   .body = text,
                                   .body_len = strlen (text),
                                   .deadline_ms = deadline_ms };
  struct worker_call *call = g_new (struct worker_call, 1);
  call->done = done;
  call->context = done_context;
  iv_http_call (context, sync->address, &response, on_synced, call);
  free (text);
}

void
iv_worker_http (struct iv_http_client *client, struct iv_worker_ops *workers)
{
  *workers = (struct iv_worker_ops){ .context = client, .sync = sync_worker };
}
