#include "route_private.h"

#include "config_task.h"
#include "event.h"
#include "hosts_task.h"
#include "key_task.h"
#include "peer_task.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define TICK_MS 5
#define MIB (1024 * 1024)
#define KEPT_BYTES (16 * MIB)
#define PREFIX "/s/"
#define KEY_POLL_MS 50
#define CLAIM_MARGIN_MS 100 /* left of the deadline for the call when a key was decided */

gint64
iv_route_now (const struct iv_route_task *task)
{
  return iv_app_now (task->app);
}

static void
route (struct iv_request *request)
{
  struct iv_route_task *task = request->task;
  const char *caller = iv_http_request_header (request->http, "x-caller");
  const char *priority = iv_http_request_header (request->http, "x-priority");
  struct iv_request_info info = { .id = request->id,
                                  .service = request->service,
                                  .deadline_ms = request->deadline_ms,
                                  .idempotent = request->idempotent };
  info.caller = caller ? XXH3_64bits (caller, strlen (caller)) : 0;
  info.priority = priority ? (guint)CLAMP (atoi (priority), 0, 9) : 0;
  iv_router_add (task->router, iv_route_now (task), &info);
  iv_route_act (task);
}

static void poll_owner (void *context);

static void
on_owner_answer (void *context, int status, const char *body, gsize len)
{
  guint64 *id = context;
  struct iv_route_task *task = *(struct iv_route_task **)(id + 1);
  struct iv_request *request = g_hash_table_lookup (task->requests, id);
  g_free (id);
  if (request == NULL || request->http == NULL)
    return;
  if (status == 200)
    iv_route_finish_encoded (request, body, len);
  else if (iv_route_now (task) + KEY_POLL_MS >= request->deadline_ms || status == 404)
    iv_route_finish_may_have_run (request, 504,
                                  "the key was taken by another host or an earlier run");
  else
    iv_deadline_set (task->app->deadlines, &request->poll, iv_route_now (task) + KEY_POLL_MS);
}

/* The host that won the key is asked for its answer until the deadline. The request may be gone by
   then, so the call carries its number, not its address. */
static void
poll_owner (void *context)
{
  struct iv_request *request = context;
  guint64 *id = g_malloc (sizeof (guint64) + sizeof (struct iv_route_task *));
  char what[IVP_NAME_MAX + 1];
  snprintf (what, sizeof what, "key/%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
            request->key.hi, request->key.lo);
  *id = request->id;
  *(struct iv_route_task **)(id + 1) = request->task;
  iv_peer_task_query_host (request->task->app->peers, request->owner, what, on_owner_answer, id);
}

static void
on_claimed (void *context, enum iv_claim_result result, const struct iv_key_entry *entry)
{
  struct iv_request *request = context;
  struct iv_route_task *task = request->task;
  const struct iv_kept_answer *kept = iv_kept_answers_find (task->kept, request->key);
  if (result == IV_CLAIM_WON)
    route (request);
  else if (result == IV_CLAIM_UNAVAILABLE)
    iv_route_finish_not_run (request, 503, "the key could not be recorded");
  else if (kept)
    iv_route_finish_kept (request, kept);
  else if (strcmp (entry->host, task->app->settings->host) == 0)
    iv_route_finish_may_have_run (request, 502, "the key was taken by an earlier run");
  else
    {
      iv_route_forget_key (request);
      request->owner = g_strdup (entry->host);
      poll_owner (request);
    }
}

/* A key that runs here already gets one run; the others wait for its answer. */
static void
claim_key (struct iv_request *request)
{
  struct iv_route_task *task = request->task;
  struct iv_request *first = g_hash_table_lookup (task->key_requests, &request->key);
  if (first)
    {
      g_ptr_array_add (first->followers, request);
      return;
    }
  g_hash_table_insert (task->key_requests, &request->key, request);
  iv_key_task_claim (task->app->keys, request->key, request->deadline_ms - CLAIM_MARGIN_MS,
                     on_claimed, request);
}

static gboolean
is_idempotent_method (const char *method)
{
  static const char *const methods[] = { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };
  for (guint i = 0; i < G_N_ELEMENTS (methods); i++)
    if (strcmp (methods[i], method) == 0)
      return TRUE;
  return FALSE;
}

static gint64
deadline_of (const struct iv_route_task *task, const struct iv_http_request *http)
{
  const char *text = iv_http_request_header (http, "x-timeout-ms");
  gint64 timeout_ms = task->app->settings->routing.timeout_ms;
  guint64 asked;
  if (text && g_ascii_string_to_unsigned (text, 10, 1, 3600000, &asked, NULL))
    timeout_ms = (gint64)asked;
  return iv_route_now (task) + timeout_ms;
}

static struct iv_request *
new_request (struct iv_route_task *task, struct iv_http_request *http, const struct iv_item *item,
             const char *service, const char *target)
{
  struct iv_request *request = g_new0 (struct iv_request, 1);
  const char *key = iv_http_request_header (http, "idempotency-key");
  const char *parent = iv_http_request_header (http, "traceparent");
  request->task = task;
  request->id = ++task->next_id;
  request->http = http;
  request->service = g_strdup (service);
  request->target = *target ? target : "/";
  request->idempotent = item->item.idempotent || is_idempotent_method (iv_http_method (http));
  request->keyed = key != NULL && !request->idempotent;
  if (request->keyed)
    request->key = iv_key_from_text (service, key);
  request->followers = g_ptr_array_new ();
  request->deadline_ms = deadline_of (task, http);
  request->span = iv_span_start (parent, parent ? strlen (parent) : 0);
  request->poll.fire = poll_owner;
  request->poll.context = request;
  g_hash_table_insert (task->requests, &request->id, request);
  return request;
}

static void
on_request (void *context, struct iv_http_request *http)
{
  struct iv_route_task *task = context;
  const char *path = iv_http_path (http);
  const struct iv_item *item;
  struct iv_request *request;
  char *service;
  gsize len;
  iv_counter_add (task->taken, 1);
  if (!g_str_has_prefix (path, PREFIX))
    {
      iv_answer_not_run (http, 404, "the path is not /s/SERVICE/...");
      return;
    }
  len = strcspn (path + strlen (PREFIX), "/?");
  service = g_strndup (path + strlen (PREFIX), len);
  item = iv_config_item (iv_config_task_state (task->app->config), service);
  if (item == NULL || item->ended || item->item.type != IVX_SERVICE)
    iv_answer_not_run (http, 404, "there is no such service");
  else
    {
      request = new_request (task, http, item, service, path + strlen (PREFIX) + len);
      if (request->keyed)
        claim_key (request);
      else
        route (request);
    }
  g_free (service);
}

static void
on_hosts (void *context, const struct iv_message *message)
{
  struct iv_route_task *task = context;
  const GArray *instances = iv_hosts_task_instances (task->app->hosts);
  const struct iv_config *config = iv_config_task_state (task->app->config);
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct iv_instance_info));
  for (guint i = 0; instances && i < instances->len; i++)
    {
      const struct iv_instance_entry *entry
          = &g_array_index (instances, struct iv_instance_entry, i);
      struct iv_instance_info info = { .name = entry->name,
                                       .service = entry->service,
                                       .domain = entry->domain,
                                       .address = entry->address,
                                       .slots = entry->slots,
                                       .connections = entry->connections };
      info.local = strcmp (entry->domain, task->app->settings->domain) == 0;
      info.leaving = entry->leaving || iv_config_domain_out (config, entry->domain);
      g_array_append_val (list, info);
    }
  if (instances)
    iv_router_set_instances (task->router, (struct iv_instance_info *)list->data, list->len);
  g_array_free (list, TRUE);
  iv_route_act (task);
}

static void
on_tick (void *context)
{
  struct iv_route_task *task = context;
  const char *wanted;
  iv_deadline_set (task->app->deadlines, &task->tick, iv_route_now (task) + TICK_MS);
  iv_route_act (task);
  wanted = iv_router_loan_candidate (task->router, iv_route_now (task));
  if (wanted)
    iv_peer_task_borrow (task->app->peers, wanted);
}

static void
init_counters (struct iv_route_task *task)
{
  task->taken = iv_counter_get ("ibisvane_requests_total", "", "Requests taken from callers.");
  task->results
      = iv_counter_get ("ibisvane_outcomes_total", "outcome=\"result\"", "Answers to callers.");
  task->not_run
      = iv_counter_get ("ibisvane_outcomes_total", "outcome=\"not_run\"", "Answers to callers.");
  task->may_have_run = iv_counter_get ("ibisvane_outcomes_total", "outcome=\"may_have_run\"",
                                       "Answers to callers.");
  task->hedges = iv_counter_get ("ibisvane_hedges_total", "", "Second calls of one request.");
  task->probes = iv_counter_get ("ibisvane_probes_total", "", "Probes of upstream instances.");
}

static struct iv_router *
new_router (const struct iv_app *app)
{
  const struct iv_routing_settings *routing = &app->settings->routing;
  struct iv_router_options options = { .rank = app->rank,
                                       .hosts = app->settings->members->len,
                                       .queue_max = (guint)routing->queue_max,
                                       .retry_percent = routing->retry_percent,
                                       .eject_ms = routing->eject_ms,
                                       .slot_hold_ms = routing->silence_timeout_ms,
                                       .remote_cost_ms = routing->remote_cost_ms,
                                       .hedge_after_ms = routing->hedge_after_ms,
                                       .seed = app->incarnation };
  return iv_router_new (&options);
}

struct iv_route_task *
iv_route_task_new (struct iv_app *app)
{
  struct iv_route_task *task = g_new0 (struct iv_route_task, 1);
  const struct iv_limit_settings *limit = &app->settings->limits;
  struct iv_http_limits limits = { .body_bytes_max = (gsize)limit->body_mib * MIB,
                                   .requests_max = (guint)limit->requests,
                                   .connections_max = (guint)limit->connections,
                                   .request_read_timeout_ms = limit->read_timeout_ms };
  char ip[64];
  guint16 port;
  task->app = app;
  iv_parse_address (app->settings->listen.callers, ip, &port);
  task->server = iv_http_server_new (app->loop, ip, port, &limits, on_request, task);
  if (task->server == NULL)
    return NULL;
  task->router = new_router (app);
  task->kept = iv_kept_answers_new (KEPT_BYTES);
  task->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  task->key_requests = g_hash_table_new (iv_key_hash, iv_key_equal);
  init_counters (task);
  task->tick.fire = on_tick;
  task->tick.context = task;
  iv_deadline_set (app->deadlines, &task->tick, iv_app_now (app));
  iv_mailbox_subscribe (app->mailbox, IV_MSG_HOSTS, on_hosts, task);
  return task;
}

void
iv_route_task_stop (struct iv_route_task *task)
{
  iv_http_server_stop (task->server);
}

guint
iv_route_task_pending (const struct iv_route_task *task)
{
  return iv_http_server_pending (task->server);
}

guint
iv_route_task_lend (struct iv_route_task *task, const char *instance, guint slots, gint64 valid_ms)
{
  gint64 rate = task->app->settings->scheduling.clock_rate_permille;
  gint64 until_ms = iv_route_now (task) + valid_ms + valid_ms * rate / 1000 + 1;
  return iv_router_lend (task->router, iv_route_now (task), instance, slots, until_ms);
}

void
iv_route_task_borrowed (struct iv_route_task *task, const char *instance, guint slots,
                        gint64 until_ms)
{
  iv_router_set_borrowed (task->router, instance, slots, until_ms);
  iv_route_act (task);
}

const struct iv_router *
iv_route_task_router (const struct iv_route_task *task)
{
  return task->router;
}

int
iv_route_task_key_answer (struct iv_route_task *task, const char *key_text, GByteArray *body)
{
  struct iv_key key;
  char hi[17];
  const struct iv_kept_answer *kept;
  if (strlen (key_text) != 32)
    return 404;
  g_strlcpy (hi, key_text, sizeof hi);
  key.hi = g_ascii_strtoull (hi, NULL, 16);
  key.lo = g_ascii_strtoull (key_text + 16, NULL, 16);
  kept = iv_kept_answers_find (task->kept, key);
  if (kept)
    {
      iv_kept_answer_encode (kept, body);
      return 200;
    }
  return g_hash_table_contains (task->key_requests, &key) ? 202 : 404;
}
