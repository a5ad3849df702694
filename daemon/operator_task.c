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
#define READ_TIMEOUT_MS 10000
#define NOTE_NAME "note"

struct iv_operator_task
{
  struct iv_app *app;
  struct iv_http_server *server;
};

/* An append to the log whose result an operator is waiting for. */
struct pending_append
{
  struct iv_operator_task *task;
  struct iv_http_request *http;
  struct iv_note *note; /* the release to publish; NULL for other appends */
  char *job;            /* name of the submitted job; NULL for other appends */
};

/* A query to the owners of all failure domains, whose replies are merged into one response. */
struct fan_out
{
  struct iv_http_request *http;
  json_t *replies;
  json_t *missing;   /* names of the domains whose owner did not reply */
  char *job;         /* JSON text to add to the response as "job", or NULL */
  guint outstanding; /* replies still to come, and 1 until all queries were sent */
};

struct domain_query
{
  struct fan_out *fan_out;
  const char *domain;
};

static void
respond_json (struct iv_http_request *http, int status, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  iv_http_respond_json (http, status, text);
  free (text);
  json_decref (root);
}

static void
respond_error (struct iv_http_request *http, int status, const char *error, const char *detail)
{
  respond_json (http, status, json_pack ("{s:s,s:s}", "error", error, "detail", detail));
}

static void
respond_json_text (struct iv_http_request *http, char *json)
{
  if (json)
    iv_http_respond_json (http, 200, json);
  else
    respond_error (http, 404, "not_found", "there is no such object");
  free (json);
}

static void
respond_findings (struct iv_http_request *http, struct iv_findings *findings)
{
  char *text = iv_findings_text (findings);
  respond_error (http, 422, "findings", text);
  g_free (text);
}

static void
free_pending (struct pending_append *pending)
{
  iv_note_free (pending->note);
  g_free (pending->job);
  g_free (pending);
}

static gboolean
respond_append_failure (struct pending_append *pending, enum iv_status status)
{
  if (status == IV_OK)
    return FALSE;
  if (status == IV_ERR_UNAVAILABLE)
    respond_error (pending->http, 503, "not_run", "the log cannot be reached; nothing was changed");
  else
    respond_error (pending->http, 504, "may_have_run",
                   "the log did not confirm in time; it may still take effect");
  return TRUE;
}

static const ivx_history_state *
find_release (const struct iv_config *config, guint64 offset)
{
  for (guint i = 0; i < config->history->len; i++)
    if (g_array_index (config->history, ivx_history_state, i).offset == offset)
      return &g_array_index (config->history, ivx_history_state, i);
  return NULL;
}

/* The record has been read back. Whether the release took effect shows only in the state after the
   record was applied. */
static void
on_release_appended (void *context, enum iv_status status, guint64 offset)
{
  struct pending_append *pending = context;
  const struct iv_config *config = iv_config_task_state (pending->task->app->config);
  if (!respond_append_failure (pending, status))
    {
      const ivx_history_state *release = find_release (config, offset);
      if (release)
        respond_json (
            pending->http, 201,
            json_pack ("{s:i,s:I}", "release", (int)release->number, "offset", (json_int_t)offset));
      else
        {
          char *conflict = iv_note_describe_conflict (pending->note, config);
          respond_error (pending->http, 409, "conflict", conflict);
          g_free (conflict);
        }
    }
  free_pending (pending);
}

static gboolean
assign_shares (struct iv_app *app, ivx_item *items, guint count)
{
  GArray *capacities = iv_peer_task_capacities (app->peers);
  gboolean ok = TRUE;
  for (guint i = 0; i < count; i++)
    ok &= iv_shares_assign (&items[i], (struct iv_domain_capacity *)capacities->data,
                            capacities->len);
  g_array_free (capacities, TRUE);
  return ok;
}

static struct pending_append *
new_pending (struct iv_operator_task *task, struct iv_http_request *http)
{
  struct pending_append *pending = g_new0 (struct pending_append, 1);
  pending->task = task;
  pending->http = http;
  return pending;
}

static void
append_release (struct iv_operator_task *task, struct iv_http_request *http, struct iv_note *note)
{
  struct pending_append *pending = new_pending (task, http);
  ivx_record record = { .kind = IVX_RELEASE };
  pending->note = note;
  assign_shares (task->app, note->release.items.items_val, note->release.items.items_len);
  iv_xdr_copy ((iv_xdr_proc)xdr_ivx_release, &note->release, &record.ivx_record_u.release);
  iv_config_task_append (task->app->config, &record, TRUE,
                         iv_app_now (task->app) + APPEND_TIMEOUT_MS, on_release_appended, pending);
}

static void
publish_release (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  const struct iv_config *config = iv_config_task_state (task->app->config);
  struct iv_findings *findings = iv_findings_new (NOTE_NAME);
  GArray *sizes = iv_hosts_task_sizes (task->app->hosts);
  GArray *capacities = iv_peer_task_capacities (task->app->peers);
  gsize len;
  const char *text = iv_http_body (http, &len);
  struct iv_note *note = iv_note_read (text, len, findings);
  if (iv_findings_count (findings) == 0 && note->release.base == config->release)
    iv_note_check (note, config, sizes, findings);
  if (iv_findings_count (findings) > 0)
    respond_findings (http, findings);
  else if (note->release.base != config->release)
    {
      char *conflict = iv_note_describe_conflict (note, config);
      respond_error (http, 409, "conflict", conflict);
      g_free (conflict);
    }
  else if (sizes->len == 0)
    respond_error (http, 503, "not_run",
                   "no worker is known, so the note cannot be checked; nothing was published");
  else if (capacities->len == 0)
    respond_error (http, 409, "conflict", "every failure domain is out of service");
  else
    {
      append_release (task, http, note);
      note = NULL;
    }
  iv_note_free (note);
  iv_findings_free (findings);
  g_array_free (sizes, TRUE);
  g_array_free (capacities, TRUE);
}

static void
show_release (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  respond_json_text (http, iv_operator_release_json (task->app));
}

static void
show_history (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  respond_json_text (http, iv_operator_history_json (task->app));
}

static void
on_change_appended (void *context, enum iv_status status, guint64 offset)
{
  struct pending_append *pending = context;
  if (!respond_append_failure (pending, status))
    respond_json (pending->http, 200, json_pack ("{s:I}", "offset", (json_int_t)offset));
  free_pending (pending);
}

static void
append_domain_status (struct iv_operator_task *task, struct iv_http_request *http,
                      const char *domain, gboolean out)
{
  ivx_record record = { .kind = IVX_DOMAIN };
  gboolean known = FALSE;
  for (guint i = 0; i < task->app->domains->len; i++)
    known |= strcmp (g_ptr_array_index (task->app->domains, i), domain) == 0;
  if (!known)
    {
      respond_error (http, 404, "not_found", "there is no such failure domain");
      return;
    }
  record.ivx_record_u.domain.name = iv_record_strdup (domain);
  record.ivx_record_u.domain.out = out;
  iv_config_task_append (task->app->config, &record, FALSE,
                         iv_app_now (task->app) + APPEND_TIMEOUT_MS, on_change_appended,
                         new_pending (task, http));
}

static void
take_domain_out (struct iv_operator_task *task, struct iv_http_request *http, const char *domain)
{
  append_domain_status (task, http, domain, TRUE);
}

static void
bring_domain_in (struct iv_operator_task *task, struct iv_http_request *http, const char *domain)
{
  append_domain_status (task, http, domain, FALSE);
}

static void
on_job_appended (void *context, enum iv_status status, guint64 offset)
{
  struct pending_append *pending = context;
  const struct iv_item *item
      = iv_config_item (iv_config_task_state (pending->task->app->config), pending->job);
  if (!respond_append_failure (pending, status))
    {
      if (item && iv_gen_offset (item->gen) == offset)
        respond_json (pending->http, 201,
                      json_pack ("{s:s,s:I}", "job", pending->job, "offset", (json_int_t)offset));
      else
        respond_error (pending->http, 409, "conflict", "the name is taken");
    }
  free_pending (pending);
}

static void
submit_job (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  struct iv_findings *findings = iv_findings_new ("job");
  struct pending_append *pending;
  ivx_record record = { .kind = IVX_SUBMIT };
  gsize len;
  const char *text = iv_http_body (http, &len);
  if (!iv_note_read_job (text, len, &record.ivx_record_u.submit, findings))
    respond_findings (http, findings);
  else if (!assign_shares (task->app, &record.ivx_record_u.submit, 1))
    {
      respond_error (http, 409, "conflict", "every failure domain is out of service");
      xdr_free ((xdrproc_t)xdr_ivx_record, (char *)&record);
    }
  else
    {
      pending = new_pending (task, http);
      pending->job = g_strdup (record.ivx_record_u.submit.name);
      iv_config_task_append (task->app->config, &record, FALSE,
                             iv_app_now (task->app) + APPEND_TIMEOUT_MS, on_job_appended, pending);
    }
  iv_findings_free (findings);
}

static void
list_jobs (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  respond_json_text (http, iv_operator_jobs_json (task->app));
}

static void
cancel_job (struct iv_operator_task *task, struct iv_http_request *http, const char *job)
{
  const struct iv_item *item = iv_config_item (iv_config_task_state (task->app->config), job);
  ivx_record record = { .kind = IVX_CANCEL };
  if (item == NULL || item->item.type != IVX_JOB)
    {
      respond_error (http, 404, "not_found", "there is no such job");
      return;
    }
  record.ivx_record_u.cancel.job = iv_record_strdup (job);
  iv_config_task_append (task->app->config, &record, FALSE,
                         iv_app_now (task->app) + APPEND_TIMEOUT_MS, on_change_appended,
                         new_pending (task, http));
}

static void
respond_fan_out (struct fan_out *fan_out)
{
  json_t *root = json_pack ("{s:o,s:o}", "domains", fan_out->replies, "missing", fan_out->missing);
  if (fan_out->job)
    json_object_set_new (root, "job", json_loads (fan_out->job, 0, NULL));
  respond_json (fan_out->http, 200, root);
  free (fan_out->job);
  g_free (fan_out);
}

static void
finish_query (struct fan_out *fan_out)
{
  if (--fan_out->outstanding == 0)
    respond_fan_out (fan_out);
}

static void
on_domain_reply (void *context, int status, const char *body, gsize len)
{
  struct domain_query *domain_query = context;
  struct fan_out *fan_out = domain_query->fan_out;
  json_t *value = status == 200 ? json_loadb (body, len, 0, NULL) : NULL;
  if (value)
    json_array_append_new (fan_out->replies, value);
  else
    json_array_append_new (fan_out->missing, json_string (domain_query->domain));
  g_free (domain_query);
  finish_query (fan_out);
}

static void
query_all_domains (struct iv_operator_task *task, struct iv_http_request *http, const char *path,
                   char *job_json)
{
  struct fan_out *fan_out = g_new0 (struct fan_out, 1);
  fan_out->http = http;
  fan_out->replies = json_array ();
  fan_out->missing = json_array ();
  fan_out->job = job_json;
  fan_out->outstanding = task->app->domains->len + 1;
  for (guint i = 0; i < task->app->domains->len; i++)
    {
      struct domain_query *domain_query = g_new0 (struct domain_query, 1);
      domain_query->fan_out = fan_out;
      domain_query->domain = g_ptr_array_index (task->app->domains, i);
      iv_peer_task_query_domain (task->app->peers, domain_query->domain, path, on_domain_reply,
                                 domain_query);
    }
  finish_query (fan_out);
}

static void
show_report (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  query_all_domains (task, http, "report", NULL);
}

static void
show_job (struct iv_operator_task *task, struct iv_http_request *http, const char *job)
{
  char *job_json = iv_operator_job_json (task->app, job);
  char *path;
  if (job_json == NULL)
    {
      respond_json_text (http, NULL);
      return;
    }
  path = g_strdup_printf ("job/%.100s", job);
  query_all_domains (task, http, path, job_json);
  g_free (path);
}

static void
show_status (struct iv_operator_task *task, struct iv_http_request *http, const char *argument)
{
  respond_json_text (http, iv_operator_status_json (task->app));
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
  gboolean ready = iv_operator_is_ready (task->app, &reason);
  respond_json (http, ready ? 200 : 503, json_pack ("{s:b,s:s}", "ready", ready, "reason", reason));
}

/* The argument of a handler is the part of the path between prefix and suffix. */
static const struct
{
  const char *method;
  const char *prefix;
  const char *suffix;
  gboolean has_argument;
  void (*handle) (struct iv_operator_task *task, struct iv_http_request *http,
                  const char *argument);
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
match_argument (const char *path, const char *prefix, const char *suffix, gboolean has_argument)
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
      char *argument = match_argument (path, resources[i].prefix, resources[i].suffix,
                                       resources[i].has_argument);
      if (argument && strcmp (resources[i].method, iv_http_method (http)) == 0)
        {
          resources[i].handle (task, http, argument);
          g_free (argument);
          g_free (path);
          return;
        }
      path_known |= argument != NULL;
      g_free (argument);
    }
  if (path_known)
    respond_error (http, 405, "method", "the method is not supported here");
  else
    respond_error (http, 404, "not_found", "there is no such resource");
  g_free (path);
}

struct iv_operator_task *
iv_operator_task_new (struct iv_app *app)
{
  struct iv_operator_task *task = g_new0 (struct iv_operator_task, 1);
  struct iv_http_limits limits = { .body_bytes_max = IV_FILE_BYTES_MAX,
                                   .requests_max = REQUESTS_MAX,
                                   .connections_max = CONNECTIONS_MAX,
                                   .request_read_timeout_ms = READ_TIMEOUT_MS };
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
