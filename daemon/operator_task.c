#include "operator_task.h"

#include "config_task.h"
#include "counter.h"
#include "event.h"
#include "hosts_task.h"
#include "http_server.h"
#include "note.h"
#include "operator_views.h"
#include "peer_task.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define APPEND_TIMEOUT_MS 5000
#define REQUESTS_MAX 256
#define CONNECTIONS_MAX 256
#define READ_MS 10000
#define NOTE_NAME "note"

struct iv_operator_task
{
  struct iv_app *app;
  struct iv_http_server *server;
};

/* An append that an operator waits for. */
struct waiting
{
  struct iv_operator_task *task;
  struct iv_http_request *http;
  struct iv_note *note; /* for a release */
  char *job;            /* for a submission */
};

/* Answers of several failure domains, gathered into one. */
struct gathering
{
  struct iv_http_request *http;
  json_t *parts;
  json_t *missing;
  char *head; /* JSON to answer beside the parts, or NULL */
  guint open;
};

struct part
{
  struct gathering *gathering;
  const char *domain;
};

static void
answer_object (struct iv_http_request *http, int status, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  iv_http_respond_json (http, status, text);
  free (text);
  json_decref (root);
}

static void
answer_error (struct iv_http_request *http, int status, const char *error, const char *detail)
{
  answer_object (http, status, json_pack ("{s:s,s:s}", "error", error, "detail", detail));
}

static void
answer_text (struct iv_http_request *http, char *json)
{
  if (json)
    iv_http_respond_json (http, 200, json);
  else
    answer_error (http, 404, "not_found", "there is no such object");
  free (json);
}

static void
answer_findings (struct iv_http_request *http, struct iv_findings *findings)
{
  char *text = iv_findings_text (findings);
  answer_error (http, 422, "findings", text);
  g_free (text);
}

static void
free_waiting (struct waiting *waiting)
{
  iv_note_free (waiting->note);
  g_free (waiting->job);
  g_free (waiting);
}

static gboolean
answer_lost_append (struct waiting *waiting, enum iv_status status)
{
  if (status == IV_OK)
    return FALSE;
  if (status == IV_ERR_UNAVAILABLE)
    answer_error (waiting->http, 503, "not_run", "the log cannot be reached; nothing was changed");
  else
    answer_error (waiting->http, 504, "may_have_run",
                  "the log did not confirm in time; it may still take effect");
  return TRUE;
}

static const ivx_history_state *
history_at (const struct iv_config *config, guint64 offset)
{
  for (guint i = 0; i < config->history->len; i++)
    if (g_array_index (config->history, ivx_history_state, i).offset == offset)
      return &g_array_index (config->history, ivx_history_state, i);
  return NULL;
}

/* The record was read back; whether the note won shows in the folded state alone. */
static void
on_release (void *context, enum iv_status status, guint64 offset)
{
  struct waiting *waiting = context;
  const struct iv_config *config = iv_config_task_state (waiting->task->app->config);
  if (!answer_lost_append (waiting, status))
    {
      const ivx_history_state *head = history_at (config, offset);
      if (head)
        answer_object (
            waiting->http, 201,
            json_pack ("{s:i,s:I}", "release", (int)head->number, "offset", (json_int_t)offset));
      else
        {
          char *conflict = iv_note_describe_conflict (waiting->note, config);
          answer_error (waiting->http, 409, "conflict", conflict);
          g_free (conflict);
        }
    }
  free_waiting (waiting);
}

static gboolean
assign_shares (struct iv_app *app, ivx_item *items, guint count)
{
  GArray *rooms = iv_peer_task_rooms (app->peers);
  gboolean ok = TRUE;
  for (guint i = 0; i < count; i++)
    ok &= iv_shares_assign (&items[i], (struct iv_domain_room *)rooms->data, rooms->len);
  g_array_free (rooms, TRUE);
  return ok;
}

static struct waiting *
new_waiting (struct iv_operator_task *task, struct iv_http_request *http)
{
  struct waiting *waiting = g_new0 (struct waiting, 1);
  waiting->task = task;
  waiting->http = http;
  return waiting;
}

static void
append_release (struct iv_operator_task *task, struct iv_http_request *http, struct iv_note *note)
{
  struct waiting *waiting = new_waiting (task, http);
  ivx_record record = { .kind = IVX_RELEASE };
  waiting->note = note;
  assign_shares (task->app, note->release.items.items_val, note->release.items.items_len);
  iv_xdr_copy ((iv_xdr_proc)xdr_ivx_release, &note->release, &record.ivx_record_u.release);
  iv_config_task_append (task->app->config, &record, TRUE,
                         iv_app_now (task->app) + APPEND_TIMEOUT_MS, on_release, waiting);
}

static void
publish_release (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  const struct iv_config *config = iv_config_task_state (task->app->config);
  struct iv_findings *findings = iv_findings_new (NOTE_NAME);
  GArray *sizes = iv_hosts_task_sizes (task->app->hosts);
  GArray *rooms = iv_peer_task_rooms (task->app->peers);
  gsize len;
  const char *text = iv_http_body (http, &len);
  struct iv_note *note = iv_note_read (text, len, findings);
  if (iv_findings_count (findings) == 0 && note->release.base == config->release)
    iv_note_check (note, config, sizes, findings);
  if (iv_findings_count (findings) > 0)
    answer_findings (http, findings);
  else if (note->release.base != config->release)
    {
      char *conflict = iv_note_describe_conflict (note, config);
      answer_error (http, 409, "conflict", conflict);
      g_free (conflict);
    }
  else if (rooms->len == 0)
    answer_error (http, 409, "conflict", "every failure domain is out of service");
  else
    {
      append_release (task, http, note);
      note = NULL;
    }
  iv_note_free (note);
  iv_findings_free (findings);
  g_array_free (sizes, TRUE);
  g_array_free (rooms, TRUE);
}

static void
show_release (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  answer_text (http, iv_operator_release (task->app));
}

static void
show_history (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  answer_text (http, iv_operator_history (task->app));
}

static void
on_changed (void *context, enum iv_status status, guint64 offset)
{
  struct waiting *waiting = context;
  if (!answer_lost_append (waiting, status))
    answer_object (waiting->http, 200, json_pack ("{s:I}", "offset", (json_int_t)offset));
  free_waiting (waiting);
}

static void
set_domain (struct iv_operator_task *task, struct iv_http_request *http, const char *domain,
            gboolean out)
{
  ivx_record record = { .kind = IVX_DOMAIN };
  gboolean known = FALSE;
  for (guint i = 0; i < task->app->domains->len; i++)
    known |= strcmp (g_ptr_array_index (task->app->domains, i), domain) == 0;
  if (!known)
    {
      answer_error (http, 404, "not_found", "there is no such failure domain");
      return;
    }
  record.ivx_record_u.domain.name = iv_record_strdup (domain);
  record.ivx_record_u.domain.out = out;
  iv_config_task_append (task->app->config, &record, FALSE,
                         iv_app_now (task->app) + APPEND_TIMEOUT_MS, on_changed,
                         new_waiting (task, http));
}

static void
take_domain_out (struct iv_operator_task *task, struct iv_http_request *http, const char *domain)
{
  set_domain (task, http, domain, TRUE);
}

static void
bring_domain_in (struct iv_operator_task *task, struct iv_http_request *http, const char *domain)
{
  set_domain (task, http, domain, FALSE);
}

static void
on_submitted (void *context, enum iv_status status, guint64 offset)
{
  struct waiting *waiting = context;
  const struct iv_item *item
      = iv_config_item (iv_config_task_state (waiting->task->app->config), waiting->job);
  if (!answer_lost_append (waiting, status))
    {
      if (item && iv_gen_offset (item->gen) == offset)
        answer_object (waiting->http, 201,
                       json_pack ("{s:s,s:I}", "job", waiting->job, "offset", (json_int_t)offset));
      else
        answer_error (waiting->http, 409, "conflict", "the name is taken");
    }
  free_waiting (waiting);
}

static void
submit_job (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  struct iv_findings *findings = iv_findings_new ("job");
  struct waiting *waiting;
  ivx_record record = { .kind = IVX_SUBMIT };
  gsize len;
  const char *text = iv_http_body (http, &len);
  if (!iv_note_read_job (text, len, &record.ivx_record_u.submit, findings))
    answer_findings (http, findings);
  else if (!assign_shares (task->app, &record.ivx_record_u.submit, 1))
    {
      answer_error (http, 409, "conflict", "every failure domain is out of service");
      xdr_free ((xdrproc_t)xdr_ivx_record, (char *)&record);
    }
  else
    {
      waiting = new_waiting (task, http);
      waiting->job = g_strdup (record.ivx_record_u.submit.name);
      iv_config_task_append (task->app->config, &record, FALSE,
                             iv_app_now (task->app) + APPEND_TIMEOUT_MS, on_submitted, waiting);
    }
  iv_findings_free (findings);
}

static void
list_jobs (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  answer_text (http, iv_operator_jobs (task->app));
}

static void
cancel_job (struct iv_operator_task *task, struct iv_http_request *http, const char *job)
{
  const struct iv_item *item = iv_config_item (iv_config_task_state (task->app->config), job);
  ivx_record record = { .kind = IVX_CANCEL };
  if (item == NULL || item->item.type != IVX_JOB)
    {
      answer_error (http, 404, "not_found", "there is no such job");
      return;
    }
  record.ivx_record_u.cancel.job = iv_record_strdup (job);
  iv_config_task_append (task->app->config, &record, FALSE,
                         iv_app_now (task->app) + APPEND_TIMEOUT_MS, on_changed,
                         new_waiting (task, http));
}

static void
answer_gathered (struct gathering *gathering)
{
  json_t *root
      = json_pack ("{s:o,s:o}", "domains", gathering->parts, "missing", gathering->missing);
  if (gathering->head)
    json_object_set_new (root, "job", json_loads (gathering->head, 0, NULL));
  answer_object (gathering->http, 200, root);
  free (gathering->head);
  g_free (gathering);
}

static void
close_part (struct gathering *gathering)
{
  if (--gathering->open == 0)
    answer_gathered (gathering);
}

static void
on_part (void *context, int status, const char *body, gsize len)
{
  struct part *part = context;
  struct gathering *gathering = part->gathering;
  json_t *value = status == 200 ? json_loadb (body, len, 0, NULL) : NULL;
  if (value)
    json_array_append_new (gathering->parts, value);
  else
    json_array_append_new (gathering->missing, json_string (part->domain));
  g_free (part);
  close_part (gathering);
}

static void
gather (struct iv_operator_task *task, struct iv_http_request *http, const char *what, char *head)
{
  struct gathering *gathering = g_new0 (struct gathering, 1);
  gathering->http = http;
  gathering->parts = json_array ();
  gathering->missing = json_array ();
  gathering->head = head;
  gathering->open = task->app->domains->len + 1;
  for (guint i = 0; i < task->app->domains->len; i++)
    {
      struct part *part = g_new0 (struct part, 1);
      part->gathering = gathering;
      part->domain = g_ptr_array_index (task->app->domains, i);
      iv_peer_task_query_domain (task->app->peers, part->domain, what, on_part, part);
    }
  close_part (gathering);
}

static void
show_report (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  gather (task, http, "report", NULL);
}

static void
show_job (struct iv_operator_task *task, struct iv_http_request *http, const char *job)
{
  char *head = iv_operator_job (task->app, job);
  char *what;
  if (head == NULL)
    {
      answer_text (http, NULL);
      return;
    }
  what = g_strdup_printf ("job/%.100s", job);
  gather (task, http, what, head);
  g_free (what);
}

static void
show_status (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  answer_text (http, iv_operator_status (task->app));
}

static void
show_metrics (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  char *text;
  iv_gauge_set (iv_gauge_get ("ibisvane_release", "", "Release in force."),
                iv_config_task_state (task->app->config)->release);
  iv_gauge_set (iv_gauge_get ("ibisvane_log_up", "", "Whether the log answers."),
                iv_config_task_log_up (task->app->config));
  text = iv_counters_text ();
  iv_http_respond (http, 200, "text/plain; version=0.0.4", NULL, text, strlen (text));
  g_free (text);
}

static void
show_health (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  iv_http_respond_json (http, 200, "{\"healthy\":true}\n");
}

static void
show_ready (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  const char *reason;
  gboolean ready = iv_operator_ready (task->app, &reason);
  answer_object (http, ready ? 200 : 503,
                 json_pack ("{s:b,s:s}", "ready", ready, "reason", reason));
}

/* The argument is the part of the path between prefix and suffix. */
static const struct
{
  const char *method;
  const char *prefix;
  const char *suffix;
  gboolean has_argument;
  void (*serve) (struct iv_operator_task *task, struct iv_http_request *http, const char *argument);
} resources[] = {
  { "GET", "/healthz", "", FALSE, show_health },
  { "GET", "/readyz", "", FALSE, show_ready },
  { "GET", "/metrics", "", FALSE, show_metrics },
  { "POST", "/v1/releases", "", FALSE, publish_release },
  { "GET", "/v1/releases/current", "", FALSE, show_release },
  { "GET", "/v1/releases", "", FALSE, show_history },
  { "POST", "/v1/domains/", "/out", TRUE, take_domain_out },
  { "POST", "/v1/domains/", "/in", TRUE, bring_domain_in },
  { "POST", "/v1/jobs", "", FALSE, submit_job },
  { "GET", "/v1/jobs", "", FALSE, list_jobs },
  { "POST", "/v1/jobs/", "/cancel", TRUE, cancel_job },
  { "GET", "/v1/jobs/", "", TRUE, show_job },
  { "GET", "/v1/report", "", FALSE, show_report },
  { "GET", "/v1/status", "", FALSE, show_status },
};

static char *
argument_in (const char *path, const char *prefix, const char *suffix, gboolean has_argument)
{
  gsize len = strlen (path), prefix_len = strlen (prefix), suffix_len = strlen (suffix);
  if (!has_argument)
    return strcmp (path, prefix) == 0 ? g_strdup ("") : NULL;
  if (!g_str_has_prefix (path, prefix) || !g_str_has_suffix (path, suffix)
      || len <= prefix_len + suffix_len)
    return NULL;
  path = path + prefix_len;
  len -= prefix_len + suffix_len;
  return memchr (path, '/', len) ? NULL : g_strndup (path, len);
}

static void
on_request (void *context, struct iv_http_request *http)
{
  struct iv_operator_task *task = context;
  char *path = g_strndup (iv_http_path (http), strcspn (iv_http_path (http), "?"));
  gboolean path_known = FALSE;
  for (guint i = 0; i < G_N_ELEMENTS (resources); i++)
    {
      char *argument
          = argument_in (path, resources[i].prefix, resources[i].suffix, resources[i].has_argument);
      if (argument && strcmp (resources[i].method, iv_http_method (http)) == 0)
        {
          resources[i].serve (task, http, argument);
          g_free (argument);
          g_free (path);
          return;
        }
      path_known |= argument != NULL;
      g_free (argument);
    }
  if (path_known)
    answer_error (http, 405, "method", "the method is not supported here");
  else
    answer_error (http, 404, "not_found", "there is no such resource");
  g_free (path);
}

struct iv_operator_task *
iv_operator_task_new (struct iv_app *app)
{
  struct iv_operator_task *task = g_new0 (struct iv_operator_task, 1);
  struct iv_http_limits limits = { .body_bytes_max = IV_FILE_BYTES_MAX,
                                   .requests_max = REQUESTS_MAX,
                                   .connections_max = CONNECTIONS_MAX,
                                   .request_read_timeout_ms = READ_MS };
  char ip[64];
  guint16 port;
  task->app = app;
  iv_parse_address (app->settings->listen.operators, ip, &port);
  task->server = iv_http_server_new (app->loop, ip, port, &limits, on_request, task);
  return task->server ? task : NULL;
}

void
iv_operator_task_stop (struct iv_operator_task *task)
{
  iv_http_server_stop (task->server);
}
