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

#define TICK_INTERVAL_MS 5
#define MIB (1024 * 1024)
#define RESPONSE_CACHE_BYTES (16 * MIB)
#define PATH_PREFIX "/s/"
#define OWNER_POLL_INTERVAL_MS 50
/* Time before the deadline that is reserved for the call after the key has been claimed. */
#define CALL_RESERVE_MS 100

gint64
iv_route_now (const struct iv_route_task *task)
{
  return iv_app_now (task->app);
}

static void
add_to_router (struct iv_route_request *request)
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
  iv_route_run_actions (task);
}

static void poll_owner (void *context);

static void
on_owner_response (void *context, int status, const char *body, gsize len)
{
  guint64 *id = context;
  struct iv_route_task *task = *(struct iv_route_task **)(id + 1);
  struct iv_route_request *request = g_hash_table_lookup (task->requests, id);
  g_free (id);
  if (request == NULL || request->http == NULL)
    return;
  if (status == 200)
    iv_route_finish_encoded (request, body, len);
  else if (iv_route_now (task) + OWNER_POLL_INTERVAL_MS >= request->deadline_ms || status == 404)
    iv_route_finish_may_have_run (request, 504,
                                  "the key was taken by another host or an earlier run");
  else
    iv_deadline_set (task->app->deadlines, &request->owner_poll,
                     iv_route_now (task) + OWNER_POLL_INTERVAL_MS);
}

/* Polls the host that claimed the key for its response until the deadline. The request may be freed
   before the reply arrives, so the context holds the id of the request, followed by the task. */
static void
poll_owner (void *context)
{
  struct iv_route_request *request = context;
  guint64 *id = g_malloc (sizeof (guint64) + sizeof (struct iv_route_task *));
  char path[IVP_NAME_MAX + 1];
  snprintf (path, sizeof path, "key/%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
            request->key.hi, request->key.lo);
  *id = request->id;
  *(struct iv_route_task **)(id + 1) = request->task;
  iv_peer_task_query_host (request->task->app->peers, request->owner_host, path, on_owner_response,
                           id);
}

static void
on_claim_result (void *context, enum iv_claim_result result, const struct iv_key_entry *entry)
{
  struct iv_route_request *request = context;
  struct iv_route_task *task = request->task;
  const struct iv_cached_response *cached
      = iv_response_cache_find (task->response_cache, request->key);
  if (result == IV_CLAIM_WON)
    add_to_router (request);
  else if (result == IV_CLAIM_UNAVAILABLE)
    iv_route_finish_not_run (request, 503, "the key could not be recorded");
  else if (cached)
    iv_route_finish_cached (request, cached);
  else if (strcmp (entry->host, task->app->settings->host) == 0)
    iv_route_finish_may_have_run (request, 502, "the key was taken by an earlier run");
  else
    {
      iv_route_unregister_key (request);
      request->owner_host = g_strdup (entry->host);
      poll_owner (request);
    }
}

/* Requests with a key that is already running here wait for the response of the first one. */
static void
claim_key (struct iv_route_request *request)
{
  struct iv_route_task *task = request->task;
  struct iv_route_request *running = g_hash_table_lookup (task->key_requests, &request->key);
  if (running)
    {
      g_ptr_array_add (running->duplicates, request);
      return;
    }
  g_hash_table_insert (task->key_requests, &request->key, request);
  iv_key_task_claim (task->app->keys, request->key, request->deadline_ms - CALL_RESERVE_MS,
                     on_claim_result, request);
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
compute_deadline_ms (const struct iv_route_task *task, const struct iv_http_request *http)
{
  const char *text = iv_http_request_header (http, "x-timeout-ms");
  gint64 timeout_ms = task->app->settings->routing.timeout_ms;
  guint64 requested_ms;
  if (text && g_ascii_string_to_unsigned (text, 10, 1, 3600000, &requested_ms, NULL))
    timeout_ms = (gint64)requested_ms;
  return iv_route_now (task) + timeout_ms;
}

static struct iv_route_request *
new_request (struct iv_route_task *task, struct iv_http_request *http, const struct iv_item *item,
             const char *service, const char *target)
{
  struct iv_route_request *request = g_new0 (struct iv_route_request, 1);
  const char *key = iv_http_request_header (http, "idempotency-key");
  const char *parent = iv_http_request_header (http, "traceparent");
  request->task = task;
  request->id = ++task->last_id;
  request->http = http;
  request->service = g_strdup (service);
  request->target = *target ? target : "/";
  request->idempotent = item->item.idempotent || is_idempotent_method (iv_http_method (http));
  request->keyed = key != NULL && !request->idempotent;
  if (request->keyed)
    request->key = iv_key_from_text (service, key);
  request->duplicates = g_ptr_array_new ();
  request->deadline_ms = compute_deadline_ms (task, http);
  request->span = iv_span_start (parent, parent ? strlen (parent) : 0);
  request->owner_poll.fire = poll_owner;
  request->owner_poll.context = request;
  g_hash_table_insert (task->requests, &request->id, request);
  return request;
}

static void
on_request (void *context, struct iv_http_request *http)
{
  struct iv_route_task *task = context;
  const char *path = iv_http_path (http);
  const struct iv_item *item;
  struct iv_route_request *request;
  char *service;
  gsize len;
  iv_counter_add (task->requests_received, 1);
  if (!g_str_has_prefix (path, PATH_PREFIX))
    {
      iv_respond_not_run (http, 404, "the path is not /s/SERVICE/...");
      return;
    }
  len = strcspn (path + strlen (PATH_PREFIX), "/?");
  service = g_strndup (path + strlen (PATH_PREFIX), len);
  item = iv_config_item (iv_config_task_state (task->app->config), service);
  if (item == NULL || item->ended || item->item.type != IVX_SERVICE)
    iv_respond_not_run (http, 404, "there is no such service");
  else
    {
      request = new_request (task, http, item, service, path + strlen (PATH_PREFIX) + len);
      if (request->keyed)
        claim_key (request);
      else
        add_to_router (request);
    }
  g_free (service);
}

static void
on_hosts_changed (void *context, const struct iv_message *message)
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
  iv_route_run_actions (task);
}

static void
on_tick (void *context)
{
  struct iv_route_task *task = context;
  const char *instance;
  iv_deadline_set (task->app->deadlines, &task->tick, iv_route_now (task) + TICK_INTERVAL_MS);
  iv_route_run_actions (task);
  instance = iv_router_loan_candidate (task->router, iv_route_now (task));
  if (instance)
    iv_peer_task_borrow_slot (task->app->peers, instance);
}

static void
init_counters (struct iv_route_task *task)
{
  task->requests_received
      = iv_counter_get ("ibisvane_requests_total", "", "Requests taken from callers.");
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
  task->response_cache = iv_response_cache_new (RESPONSE_CACHE_BYTES);
  task->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  task->key_requests = g_hash_table_new (iv_key_hash, iv_key_equal);
  init_counters (task);
  task->tick.fire = on_tick;
  task->tick.context = task;
  iv_deadline_set (app->deadlines, &task->tick, iv_app_now (app));
  iv_mailbox_subscribe (app->mailbox, IV_MSG_HOSTS, on_hosts_changed, task);
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
  gint64 clock_rate_permille = task->app->settings->scheduling.clock_rate_permille;
  /* The clock of the peer may run slower: the loan must not end here before it ends there. */
  gint64 until_ms = iv_route_now (task) + valid_ms + valid_ms * clock_rate_permille / 1000 + 1;
  return iv_router_lend (task->router, iv_route_now (task), instance, slots, until_ms);
}

void
iv_route_task_set_borrowed (struct iv_route_task *task, const char *instance, guint slots,
                            gint64 until_ms)
{
  iv_router_set_borrowed (task->router, instance, slots, until_ms);
  iv_route_run_actions (task);
}

const struct iv_router *
iv_route_task_router (const struct iv_route_task *task)
{
  return task->router;
}

int
iv_route_task_key_response (struct iv_route_task *task, const char *key_text, GByteArray *body)
{
  struct iv_key key;
  char hi[17];
  const struct iv_cached_response *cached;
  if (strlen (key_text) != 32)
    return 404;
  g_strlcpy (hi, key_text, sizeof hi);
  key.hi = g_ascii_strtoull (hi, NULL, 16);
  key.lo = g_ascii_strtoull (key_text + 16, NULL, 16);
  cached = iv_response_cache_find (task->response_cache, key);
  if (cached)
    {
      iv_cached_response_encode (cached, body);
      return 200;
    }
  return g_hash_table_contains (task->key_requests, &key) ? 202 : 404;
}
