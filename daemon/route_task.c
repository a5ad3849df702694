#include "route_task.h"

#include "config_task.h"
#include "counter.h"
#include "event.h"
#include "hosts_task.h"
#include "key_task.h"
#include "peer_task.h"
#include "route_answer.h"
#include "span.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define TICK_MS 5
#define MIB (1024 * 1024)
#define KEPT_BYTES (16 * MIB)
#define PREFIX "/s/"
#define PROBE_TIMEOUT_MS 500
#define KEY_POLL_MS 50
#define NOT_RUN_HEADER "x-not-run" /* an instance says with it that it refused without running */
#define CLAIM_MARGIN_MS 100        /* left of the deadline for the call when a key was decided */

struct iv_route_task
{
  struct iv_app *app;
  struct iv_http_server *server;
  struct iv_router *router;
  struct iv_kept_answers *kept;
  struct iv_deadline tick;
  guint64 next_id;
  GHashTable *requests;     /* id to struct request */
  GHashTable *key_requests; /* key to the struct request that runs it here */
  struct iv_counter *taken, *results, *not_run, *may_have_run, *hedges, *probes;
};

/* One caller's request; it lives until it is answered and its calls have ended. */
struct request
{
  struct iv_route_task *task;
  guint64 id;
  struct iv_http_request *http; /* NULL once answered */
  char *service;
  const char *target; /* path behind the service, within the request's path */
  gboolean idempotent;
  gboolean keyed;
  struct iv_key key;
  GPtrArray *followers; /* of struct request: the same key, sent again */
  gint64 deadline_ms;
  guint calls; /* under way */
  struct iv_span span;
  struct iv_deadline poll; /* while another host runs the key */
  char *owner;             /* that host */
};

struct call
{
  struct request *request;
  char instance[80];
  char address[80];
  gint64 started_ms;
  struct iv_deadline silence;
  struct iv_span span;
};

struct probe
{
  struct iv_route_task *task;
  char instance[80];
  gboolean ejected;
};

static void act (struct iv_route_task *task);

static guint
hash_key (gconstpointer data)
{
  return (guint)((const struct iv_key *)data)->lo;
}

static gboolean
equal_key (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct iv_key)) == 0;
}

static gint64
now_of (const struct iv_route_task *task)
{
  return iv_app_now (task->app);
}

static void
free_request (struct request *request)
{
  iv_deadline_unset (request->task->app->deadlines, &request->poll);
  g_hash_table_remove (request->task->requests, &request->id);
  g_ptr_array_free (request->followers, TRUE);
  g_free (request->service);
  g_free (request->owner);
  g_free (request);
}

static void
release_request (struct request *request)
{
  if (request->http == NULL && request->calls == 0)
    free_request (request);
}

/* Whoever sent the same key again gets what the one that ran gets. */
static void
forget_key (struct request *request)
{
  if (request->keyed && g_hash_table_lookup (request->task->key_requests, &request->key) == request)
    g_hash_table_remove (request->task->key_requests, &request->key);
}

static void
finish_not_run (struct request *request, int status, const char *reason)
{
  forget_key (request);
  for (guint i = 0; i < request->followers->len; i++)
    finish_not_run (g_ptr_array_index (request->followers, i), status, reason);
  g_ptr_array_set_size (request->followers, 0);
  iv_counter_add (request->task->not_run, 1);
  iv_span_end (&request->span, "entry", "not_run");
  iv_answer_not_run (request->http, status, reason);
  request->http = NULL;
  release_request (request);
}

static void
finish_may_have_run (struct request *request, int status, const char *reason)
{
  forget_key (request);
  for (guint i = 0; i < request->followers->len; i++)
    finish_may_have_run (g_ptr_array_index (request->followers, i), status, reason);
  g_ptr_array_set_size (request->followers, 0);
  iv_counter_add (request->task->may_have_run, 1);
  iv_span_end (&request->span, "entry", "may_have_run");
  iv_answer_may_have_run (request->http, status, reason);
  request->http = NULL;
  release_request (request);
}

static void
finish_result (struct request *request, const struct iv_http_reply *reply)
{
  char traceparent[IV_TRACEPARENT_LEN + 1];
  forget_key (request);
  for (guint i = 0; i < request->followers->len; i++)
    finish_result (g_ptr_array_index (request->followers, i), reply);
  g_ptr_array_set_size (request->followers, 0);
  iv_counter_add (request->task->results, 1);
  iv_span_end (&request->span, "entry", "result");
  iv_span_format (&request->span, traceparent);
  iv_answer_result (request->http, reply, traceparent);
  request->http = NULL;
  release_request (request);
}

static void
finish_kept (struct request *request, const struct iv_kept_answer *kept)
{
  forget_key (request);
  for (guint i = 0; i < request->followers->len; i++)
    finish_kept (g_ptr_array_index (request->followers, i), kept);
  g_ptr_array_set_size (request->followers, 0);
  iv_counter_add (request->task->results, 1);
  iv_span_end (&request->span, "entry", "result");
  iv_answer_kept (request->http, kept);
  request->http = NULL;
  release_request (request);
}

static void
finish_encoded (struct request *request, const char *body, gsize len)
{
  struct iv_http_request *http = request->http;
  for (guint i = 0; i < request->followers->len; i++)
    finish_encoded (g_ptr_array_index (request->followers, i), body, len);
  g_ptr_array_set_size (request->followers, 0);
  iv_span_end (&request->span, "entry", "result");
  if (iv_answer_encoded (http, body, len))
    iv_counter_add (request->task->results, 1);
  else
    iv_answer_may_have_run (http, 502, "the peer's answer was malformed");
  request->http = NULL;
  release_request (request);
}

static enum iv_call_outcome
outcome_of (const struct iv_http_reply *reply)
{
  if (reply->result == IV_HTTP_NOT_SENT)
    return IV_CALL_NOT_SENT;
  if (reply->result == IV_HTTP_SENT)
    return reply->timed_out ? IV_CALL_SILENT : IV_CALL_BROKEN;
  if (reply->status == 503 && iv_http_reply_header (reply, NOT_RUN_HEADER) != NULL)
    return IV_CALL_REFUSED;
  return IV_CALL_OK;
}

static void
answer_call (struct request *request, const struct iv_http_reply *reply,
             enum iv_call_outcome outcome)
{
  if (outcome == IV_CALL_OK)
    {
      if (request->keyed)
        {
          iv_kept_answers_add (request->task->kept, request->key, reply);
          iv_key_task_ended (request->task->app->keys, request->key, (guint)reply->status);
        }
      finish_result (request, reply);
    }
  else if (outcome == IV_CALL_SILENT)
    finish_may_have_run (request, 504, "the upstream did not answer in time");
  else if (outcome == IV_CALL_BROKEN)
    finish_may_have_run (request, 502, "the upstream's answer broke off");
  else
    finish_not_run (request, 503, "no upstream took the request");
}

static void
on_called (void *context, const struct iv_http_reply *reply)
{
  struct call *call = context;
  struct request *request = call->request;
  struct iv_route_task *task = request->task;
  enum iv_call_outcome outcome = outcome_of (reply);
  enum iv_verdict_kind verdict;
  iv_deadline_unset (task->app->deadlines, &call->silence);
  iv_span_end (&call->span, "upstream", outcome == IV_CALL_OK ? "answer" : "failed");
  if (outcome == IV_CALL_SILENT)
    task->app->upstreams.drop (task->app->upstreams.context, call->address);
  request->calls--;
  verdict = iv_router_ended (task->router, now_of (task), request->id, call->instance, outcome,
                             now_of (task) - call->started_ms);
  if (request->http == NULL)
    release_request (request);
  else if (verdict == IV_ROUTE_FINAL)
    answer_call (request, reply, outcome);
  else if (verdict == IV_ROUTE_DOUBT)
    finish_may_have_run (request, 504, "a call was handed over and not answered");
  g_free (call);
  act (task);
}

static void
on_probed (void *context, const struct iv_http_reply *reply)
{
  struct probe *probe = context;
  gboolean alive = reply->result == IV_HTTP_WHOLE && reply->status == 200;
  if (probe->ejected)
    iv_router_probed (probe->task->router, now_of (probe->task), probe->instance, alive);
  else
    iv_router_suspected (probe->task->router, now_of (probe->task), probe->instance, alive);
  iv_event (IV_LEVEL_INFO, "upstream.probed", "instance=%s alive=%d", probe->instance, alive);
  act (probe->task);
  g_free (probe);
}

static void
send_probe (struct iv_route_task *task, const char *instance, const char *address, gboolean ejected)
{
  struct probe *probe = g_new0 (struct probe, 1);
  probe->task = task;
  probe->ejected = ejected;
  g_strlcpy (probe->instance, instance, sizeof probe->instance);
  iv_counter_add (task->probes, 1);
  task->app->upstreams.probe (task->app->upstreams.context, address,
                              now_of (task) + PROBE_TIMEOUT_MS, on_probed, probe);
}

/* No byte for a while says nothing about the upstream: it is asked on a new connection, kept
   connections are not used again, and an idempotent request may go elsewhere as well. */
static void
on_silence (void *context)
{
  struct call *call = context;
  struct iv_route_task *task = call->request->task;
  iv_event (IV_LEVEL_INFO, "upstream.silent", "instance=%s", call->instance);
  task->app->upstreams.drop (task->app->upstreams.context, call->address);
  send_probe (task, call->instance, call->address, FALSE);
  iv_router_hedge_now (task->router, now_of (task), call->request->id);
  act (task);
}

static void
send_call (struct iv_route_task *task, struct request *request, const struct iv_action *action)
{
  struct call *call = g_new0 (struct call, 1);
  char traceparent[IV_TRACEPARENT_LEN + 1], left[24];
  const char *key = iv_http_request_header (request->http, "idempotency-key");
  const char *type = iv_http_request_header (request->http, "content-type");
  struct iv_http_header headers[5] = { { "traceparent", traceparent }, { "x-timeout-ms", left } };
  struct iv_http_call http = { .method = iv_http_method (request->http),
                               .path = request->target,
                               .headers = headers,
                               .deadline_ms = action->deadline_ms };
  guint count = 2;
  if (key)
    headers[count++] = (struct iv_http_header){ "idempotency-key", key };
  if (type)
    headers[count++] = (struct iv_http_header){ "content-type", type };
  http.body = iv_http_body (request->http, &http.body_len);
  call->request = request;
  call->started_ms = now_of (task);
  call->span = iv_span_child (&request->span);
  g_strlcpy (call->instance, action->instance, sizeof call->instance);
  g_strlcpy (call->address, action->address, sizeof call->address);
  iv_span_format (&call->span, traceparent);
  snprintf (left, sizeof left, "%" G_GINT64_FORMAT,
            MAX (1, action->deadline_ms - call->started_ms));
  call->silence.fire = on_silence;
  call->silence.context = call;
  iv_deadline_set (task->app->deadlines, &call->silence,
                   call->started_ms + task->app->settings->routing.silence_ms);
  request->calls++;
  if (action->hedge)
    iv_counter_add (task->hedges, 1);
  task->app->upstreams.call (task->app->upstreams.context, action->address, &http, on_called, call);
}

/* Do what the router asks for, until it asks for nothing. */
static void
act (struct iv_route_task *task)
{
  struct iv_action action;
  while ((action = iv_router_next (task->router, now_of (task))).kind != IV_ACTION_NONE)
    {
      struct request *request = g_hash_table_lookup (task->requests, &action.request);
      if (action.kind == IV_ACTION_PROBE)
        send_probe (task, action.instance, action.address, TRUE);
      else if (action.kind == IV_ACTION_CALL && request && request->http)
        send_call (task, request, &action);
      else if (action.kind == IV_ACTION_CALL)
        iv_router_ended (task->router, now_of (task), action.request, action.instance,
                         IV_CALL_REFUSED, 0);
      else if (request && request->http && request->calls == 0 && action.may_have_run)
        finish_may_have_run (request, 504, "a call was handed over and not answered");
      else if (request && request->http && request->calls == 0)
        finish_not_run (request, 503, iv_refusal_name (action.refusal));
    }
}

static void
route (struct request *request)
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
  iv_router_add (task->router, now_of (task), &info);
  act (task);
}

static void poll_owner (void *context);

static void
on_owner_answer (void *context, int status, const char *body, gsize len)
{
  guint64 *id = context;
  struct iv_route_task *task = *(struct iv_route_task **)(id + 1);
  struct request *request = g_hash_table_lookup (task->requests, id);
  g_free (id);
  if (request == NULL || request->http == NULL)
    return;
  if (status == 200)
    finish_encoded (request, body, len);
  else if (now_of (task) + KEY_POLL_MS >= request->deadline_ms || status == 404)
    finish_may_have_run (request, 504, "the key was taken by another host or an earlier run");
  else
    iv_deadline_set (task->app->deadlines, &request->poll, now_of (task) + KEY_POLL_MS);
}

/* The host that won the key is asked for its answer until the deadline. The request may be gone by
   then, so the call carries its number, not its address. */
static void
poll_owner (void *context)
{
  struct request *request = context;
  guint64 *id = g_malloc (sizeof (guint64) + sizeof (struct iv_route_task *));
  char what[IVP_NAME + 1];
  snprintf (what, sizeof what, "key/%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
            request->key.hi, request->key.lo);
  *id = request->id;
  *(struct iv_route_task **)(id + 1) = request->task;
  iv_peer_task_query_host (request->task->app->peers, request->owner, what, on_owner_answer, id);
}

static void
on_claimed (void *context, enum iv_claim_result result, const struct iv_key_entry *entry)
{
  struct request *request = context;
  struct iv_route_task *task = request->task;
  const struct iv_kept_answer *kept = iv_kept_answers_find (task->kept, request->key);
  if (result == IV_CLAIM_WON)
    route (request);
  else if (result == IV_CLAIM_UNAVAILABLE)
    finish_not_run (request, 503, "the key could not be recorded");
  else if (kept)
    finish_kept (request, kept);
  else if (strcmp (entry->host, task->app->settings->host) == 0)
    finish_may_have_run (request, 502, "the key was taken by an earlier run");
  else
    {
      forget_key (request);
      request->owner = g_strdup (entry->host);
      poll_owner (request);
    }
}

/* A key that runs here already gets one run; the others wait for its answer. */
static void
claim_key (struct request *request)
{
  struct iv_route_task *task = request->task;
  struct request *first = g_hash_table_lookup (task->key_requests, &request->key);
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
  return now_of (task) + timeout_ms;
}

static struct request *
new_request (struct iv_route_task *task, struct iv_http_request *http, const struct iv_item *item,
             const char *service, const char *target)
{
  struct request *request = g_new0 (struct request, 1);
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
    request->key = iv_key_of (service, key);
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
  struct request *request;
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
  act (task);
}

static void
on_tick (void *context)
{
  struct iv_route_task *task = context;
  const char *wanted;
  iv_deadline_set (task->app->deadlines, &task->tick, now_of (task) + TICK_MS);
  act (task);
  wanted = iv_router_wants_loan (task->router, now_of (task));
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
                                       .linger_ms = routing->silence_ms,
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
  struct iv_http_limits limits = { .body_max = (gsize)limit->body_mib * MIB,
                                   .requests_max = (guint)limit->requests,
                                   .connections_max = (guint)limit->connections,
                                   .read_ms = limit->read_ms };
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
  task->key_requests = g_hash_table_new (hash_key, equal_key);
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
  gint64 until_ms = now_of (task) + valid_ms + valid_ms * rate / 1000 + 1;
  return iv_router_lend (task->router, now_of (task), instance, slots, until_ms);
}

void
iv_route_task_borrowed (struct iv_route_task *task, const char *instance, guint slots,
                        gint64 until_ms)
{
  iv_router_borrowed (task->router, instance, slots, until_ms);
  act (task);
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
