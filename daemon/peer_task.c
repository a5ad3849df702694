#include "peer_task.h"

#include "config_task.h"
#include "domain_task.h"
#include "event.h"
#include "operator_views.h"
#include "route_task.h"
#include "rpc.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define HELLO_INTERVAL_MS 500
#define HELLO_TIMEOUT_MS 1500
#define QUERY_TIMEOUT_MS 2000
#define ALIVE_TIMEOUT_MS 3000
/* When the last evidence for "config" is older than this, the stream is read from a peer. */
#define RELAY_EVIDENCE_AGE_MS 700
/* A loan lasts this much longer than the default timeout of a request. */
#define LOAN_MARGIN_MS 1000
#define BORROW_TIMEOUT_MS 300
#define CONNECTIONS_MAX 256
#define IDLE_TIMEOUT_MS 30000

struct peer
{
  struct iv_peer_task *task;
  const struct iv_member *member;
  struct iv_rpc_client *client;
  ivp_hello hello; /* last received */
  gint64 last_hello_ms;
  gboolean logged_alive; /* state that was logged last */
  gboolean hello_in_flight;
};

struct iv_peer_task
{
  struct iv_app *app;
  struct iv_rpc_server *server;
  struct iv_rpc_service service;
  GPtrArray *peers; /* of struct peer, without this host */
  struct iv_deadline tick;
  guint next_relay_peer;
  guint next_lender;
  gboolean read_in_flight;
  gboolean borrow_in_flight;
};

struct query_call
{
  iv_query_result_fn done;
  void *context;
};

struct read_call
{
  struct iv_peer_task *task;
  gint64 sent_ms;
};

struct loan_call
{
  struct iv_peer_task *task;
  char *instance;
  gint64 sent_ms;
};

static void
fill_cells (const struct iv_app *app, ivp_hello *hello)
{
  hello->cells.cells_val = calloc (app->domain_tasks->len + 1, sizeof (ivp_cell));
  for (guint i = 0; i < app->domain_tasks->len; i++)
    {
      const struct iv_domain_task *domain = g_ptr_array_index (app->domain_tasks, i);
      const struct iv_planner *planner = iv_domain_task_planner (domain);
      const struct iv_cell *cell = iv_planner_cell (planner);
      ivp_cell *entry = &hello->cells.cells_val[hello->cells.cells_len++];
      guint64 free_cpu_milli
          = iv_planner_owns (planner) ? iv_planner_free_cpu_milli (planner, iv_app_now (app)) : 0;
      entry->domain = iv_record_strdup (iv_domain_task_name (domain));
      entry->owner = iv_record_strdup (cell->owner);
      entry->term = cell->term;
      entry->owned = iv_planner_owns (planner);
      entry->free_milli = (guint32)MIN (free_cpu_milli, G_MAXUINT32);
    }
}

static void
fill_hello (const struct iv_app *app, ivp_hello *hello)
{
  const struct iv_config *config = iv_config_task_state (app->config);
  gint64 age_ms = iv_app_now (app) - iv_config_task_evidence_ms (app->config);
  hello->host = iv_record_strdup (app->settings->host);
  hello->domain = iv_record_strdup (app->settings->domain);
  hello->incarnation = app->incarnation;
  hello->leaving = app->leaving;
  hello->config_next = config->next;
  hello->config_age_ms = (guint32)CLAMP (age_ms, 0, G_MAXUINT32);
  hello->release = config->release;
  fill_cells (app, hello);
}

static struct peer *
find_peer (const struct iv_peer_task *task, const char *host)
{
  for (guint i = 0; i < task->peers->len; i++)
    {
      struct peer *peer = g_ptr_array_index (task->peers, i);
      if (strcmp (peer->member->host, host) == 0)
        return peer;
    }
  return NULL;
}

static gboolean
is_alive (const struct peer *peer)
{
  return peer->last_hello_ms > 0
         && iv_app_now (peer->task->app) - peer->last_hello_ms <= ALIVE_TIMEOUT_MS;
}

static void
store_hello (struct peer *peer, const ivp_hello *hello)
{
  xdr_free ((xdrproc_t)xdr_ivp_hello, (char *)&peer->hello);
  memset (&peer->hello, 0, sizeof peer->hello);
  iv_xdr_copy ((iv_xdr_proc)xdr_ivp_hello, hello, &peer->hello);
  peer->last_hello_ms = iv_app_now (peer->task->app);
}

static enum iv_status
serve_null (void *context, const void *argument, void *result)
{
  return IV_OK;
}

static enum iv_status
serve_hello (void *context, const void *argument, void *result)
{
  struct iv_peer_task *task = context;
  const ivp_hello *hello = argument;
  struct peer *peer = find_peer (task, hello->host);
  if (peer)
    store_hello (peer, hello);
  fill_hello (task->app, result);
  return IV_OK;
}

static enum iv_status
serve_read (void *context, const void *argument, void *result)
{
  struct iv_peer_task *task = context;
  const ivp_read *read = argument;
  if (strcmp (read->stream, "config") != 0)
    return iv_fail (IV_ERR_NOT_FOUND, "only \"config\" is relayed");
  iv_config_task_serve_read (task->app->config, read->from, result);
  return IV_OK;
}

static enum iv_status
serve_query (void *context, const void *argument, void *result)
{
  struct iv_peer_task *task = context;
  const ivp_query *query = argument;
  ivp_query_reply *reply = result;
  GByteArray *body = g_byte_array_new ();
  reply->status = iv_operator_local_query (task->app, query->domain, query->path, body);
  if (body->len > IVP_BODY_BYTES_MAX)
    {
      reply->status = 413;
      g_byte_array_set_size (body, 0);
    }
  reply->body.body_len = body->len;
  reply->body.body_val = malloc (body->len + 1);
  memcpy (reply->body.body_val, body->data ? body->data : (guint8 *)"", body->len);
  g_byte_array_free (body, TRUE);
  return IV_OK;
}

static enum iv_status
serve_borrow (void *context, const void *argument, void *result)
{
  struct iv_peer_task *task = context;
  const ivp_borrow *borrow = argument;
  ivp_borrow_reply *reply = result;
  guint32 valid_ms = (guint32)task->app->settings->routing.timeout_ms + LOAN_MARGIN_MS;
  reply->slots = iv_route_task_lend (task->app->route, borrow->instance, borrow->slots, valid_ms);
  reply->valid_ms = reply->slots > 0 ? valid_ms : 0;
  return IV_OK;
}

#define PROCEDURE(number, argument, result, handler)                                               \
  {                                                                                                \
    number, (iv_xdr_proc)xdr_##argument, sizeof (argument), (iv_xdr_proc)xdr_##result,             \
        sizeof (result), handler                                                                   \
  }

static bool_t
code_void (XDR *xdr, void *object)
{
  return TRUE;
}

static const struct iv_rpc_procedure procedures[] = {
  { PEER_NULL, code_void, 0, code_void, 0, serve_null },
  PROCEDURE (PEER_HELLO, ivp_hello, ivp_hello, serve_hello),
  PROCEDURE (PEER_READ, ivp_read, ivp_read_reply, serve_read),
  PROCEDURE (PEER_QUERY, ivp_query, ivp_query_reply, serve_query),
  PROCEDURE (PEER_BORROW, ivp_borrow, ivp_borrow_reply, serve_borrow),
};

static void
on_hello_reply (void *context, enum iv_status status, void *result)
{
  struct peer *peer = context;
  peer->hello_in_flight = FALSE;
  if (status == IV_OK)
    store_hello (peer, result);
}

static void
send_hello (struct peer *peer)
{
  struct iv_app *app = peer->task->app;
  ivp_hello hello = { 0 };
  if (peer->hello_in_flight)
    return;
  fill_hello (app, &hello);
  peer->hello_in_flight = TRUE;
  iv_rpc_call (peer->client, PEER_HELLO, (iv_xdr_proc)xdr_ivp_hello, &hello,
               (iv_xdr_proc)xdr_ivp_hello, sizeof (ivp_hello), iv_app_now (app) + HELLO_TIMEOUT_MS,
               on_hello_reply, peer);
  xdr_free ((xdrproc_t)xdr_ivp_hello, (char *)&hello);
}

static void
on_read_reply (void *context, enum iv_status status, void *result)
{
  struct read_call *call = context;
  call->task->read_in_flight = FALSE;
  if (status == IV_OK)
    iv_config_task_handle_read_reply (call->task->app->config, result, call->sent_ms);
  g_free (call);
}

/* When the evidence for "config" is too old, reads the stream from one of the peers that are alive,
   in turn. */
static void
read_from_peer (struct iv_peer_task *task)
{
  struct iv_app *app = task->app;
  gint64 now_ms = iv_app_now (app);
  ivp_read read = { .stream = (char *)"config", .from = iv_config_task_state (app->config)->next };
  if (task->read_in_flight
      || now_ms - iv_config_task_evidence_ms (app->config) < RELAY_EVIDENCE_AGE_MS)
    return;
  for (guint i = 0; i < task->peers->len; i++)
    {
      struct peer *peer
          = g_ptr_array_index (task->peers, task->next_relay_peer++ % task->peers->len);
      struct read_call *call;
      if (!is_alive (peer))
        continue;
      call = g_new (struct read_call, 1);
      call->task = task;
      call->sent_ms = now_ms;
      task->read_in_flight = TRUE;
      iv_rpc_call (peer->client, PEER_READ, (iv_xdr_proc)xdr_ivp_read, &read,
                   (iv_xdr_proc)xdr_ivp_read_reply, sizeof (ivp_read_reply),
                   now_ms + HELLO_TIMEOUT_MS, on_read_reply, call);
      return;
    }
}

static void
log_liveness_change (struct peer *peer)
{
  gboolean alive = is_alive (peer);
  if (alive != peer->logged_alive)
    iv_event (alive ? IV_LEVEL_INFO : IV_LEVEL_WARNING, alive ? "peer.up" : "peer.silent",
              "peer=%s domain=%s", peer->member->host, peer->member->domain);
  peer->logged_alive = alive;
}

static void
on_tick (void *context)
{
  struct iv_peer_task *task = context;
  iv_deadline_set (task->app->deadlines, &task->tick, iv_app_now (task->app) + HELLO_INTERVAL_MS);
  for (guint i = 0; i < task->peers->len; i++)
    {
      struct peer *peer = g_ptr_array_index (task->peers, i);
      send_hello (peer);
      log_liveness_change (peer);
    }
  read_from_peer (task);
}

static void
add_peers (struct iv_peer_task *task)
{
  const GArray *members = task->app->settings->members;
  for (guint i = 0; i < members->len; i++)
    {
      const struct iv_member *member = &g_array_index (members, struct iv_member, i);
      struct peer *peer;
      char ip[64];
      guint16 port;
      if (strcmp (member->host, task->app->settings->host) == 0
          || !iv_parse_address (member->peers, ip, &port))
        continue;
      peer = g_new0 (struct peer, 1);
      peer->task = task;
      peer->member = member;
      peer->client = iv_rpc_client_new (task->app->loop, ip, port, IBISVANE_PEER, IBISVANE_PEER_V1);
      g_ptr_array_add (task->peers, peer);
    }
}

struct iv_peer_task *
iv_peer_task_new (struct iv_app *app)
{
  struct iv_peer_task *task = g_new0 (struct iv_peer_task, 1);
  char ip[64];
  guint16 port;
  task->app = app;
  task->peers = g_ptr_array_new ();
  task->service = (struct iv_rpc_service){ .program = IBISVANE_PEER,
                                           .version = IBISVANE_PEER_V1,
                                           .procedures = procedures,
                                           .count = G_N_ELEMENTS (procedures),
                                           .connections_max = CONNECTIONS_MAX,
                                           .idle_ms = IDLE_TIMEOUT_MS,
                                           .context = task };
  iv_parse_address (app->settings->listen.peers, ip, &port);
  task->server = iv_rpc_server_new (app->loop, ip, port, &task->service);
  if (task->server == NULL)
    return NULL;
  add_peers (task);
  task->tick.fire = on_tick;
  task->tick.context = task;
  iv_deadline_set (app->deadlines, &task->tick, iv_app_now (app));
  return task;
}

static const ivp_cell *
owned_cell (const struct peer *peer, const char *domain)
{
  for (u_int i = 0; is_alive (peer) && i < peer->hello.cells.cells_len; i++)
    {
      const ivp_cell *cell = &peer->hello.cells.cells_val[i];
      if (cell->owned && strcmp (cell->domain, domain) == 0)
        return cell;
    }
  return NULL;
}

/* Free capacity as the owner reported it last; 0 for a domain without a known owner. */
static guint64
domain_free_cpu_milli (const struct iv_peer_task *task, const char *domain)
{
  const struct iv_domain_task *local = iv_domain_task_find (task->app, domain);
  if (local && iv_planner_owns (iv_domain_task_planner (local)))
    return iv_planner_free_cpu_milli (iv_domain_task_planner (local), iv_app_now (task->app));
  for (guint i = 0; i < task->peers->len; i++)
    {
      const ivp_cell *cell = owned_cell (g_ptr_array_index (task->peers, i), domain);
      if (cell)
        return cell->free_milli;
    }
  return 0;
}

GArray *
iv_peer_task_capacities (const struct iv_peer_task *task)
{
  GArray *capacities = g_array_new (FALSE, FALSE, sizeof (struct iv_domain_capacity));
  for (guint i = 0; i < task->app->domains->len; i++)
    {
      struct iv_domain_capacity capacity = { .domain = g_ptr_array_index (task->app->domains, i) };
      if (iv_config_domain_out (iv_config_task_state (task->app->config), capacity.domain))
        continue;
      capacity.free_cpu_milli = domain_free_cpu_milli (task, capacity.domain);
      g_array_append_val (capacities, capacity);
    }
  return capacities;
}

const char *
iv_peer_task_most_free_domain (const struct iv_peer_task *task, const char *from)
{
  GArray *capacities = iv_peer_task_capacities (task);
  const char *best = NULL;
  guint64 best_free_milli = 0;
  for (guint i = 0; i < capacities->len; i++)
    {
      const struct iv_domain_capacity *capacity
          = &g_array_index (capacities, struct iv_domain_capacity, i);
      if (strcmp (capacity->domain, from) == 0
          || (best && capacity->free_cpu_milli <= best_free_milli))
        continue;
      best = capacity->domain;
      best_free_milli = capacity->free_cpu_milli;
    }
  g_array_free (capacities, TRUE);
  return best;
}

static void
on_query_reply (void *context, enum iv_status status, void *result)
{
  struct query_call *call = context;
  const ivp_query_reply *reply = result;
  if (status == IV_OK)
    call->done (call->context, reply->status, reply->body.body_val, reply->body.body_len);
  else
    call->done (call->context, 503, "", 0);
  g_free (call);
}

static void
query_peer (struct peer *peer, const char *domain, const char *path, iv_query_result_fn done,
            void *context)
{
  ivp_query query = { .domain = (char *)domain, .path = (char *)path };
  struct query_call *call = g_new (struct query_call, 1);
  call->done = done;
  call->context = context;
  iv_rpc_call (peer->client, PEER_QUERY, (iv_xdr_proc)xdr_ivp_query, &query,
               (iv_xdr_proc)xdr_ivp_query_reply, sizeof (ivp_query_reply),
               iv_app_now (peer->task->app) + QUERY_TIMEOUT_MS, on_query_reply, call);
}

void
iv_peer_task_query_domain (struct iv_peer_task *task, const char *domain, const char *path,
                           iv_query_result_fn done, void *context)
{
  if (iv_domain_task_owns (task->app, domain))
    {
      GByteArray *body = g_byte_array_new ();
      int status = iv_operator_local_query (task->app, domain, path, body);
      done (context, status, (const char *)body->data, body->len);
      g_byte_array_free (body, TRUE);
      return;
    }
  for (guint i = 0; i < task->peers->len; i++)
    {
      struct peer *peer = g_ptr_array_index (task->peers, i);
      if (owned_cell (peer, domain) == NULL)
        continue;
      query_peer (peer, domain, path, done, context);
      return;
    }
  done (context, 503, "", 0);
}

void
iv_peer_task_query_host (struct iv_peer_task *task, const char *host, const char *path,
                         iv_query_result_fn done, void *context)
{
  struct peer *peer = find_peer (task, host);
  if (peer && is_alive (peer))
    query_peer (peer, "", path, done, context);
  else
    done (context, 503, "", 0);
}

static void
on_borrow_reply (void *context, enum iv_status status, void *result)
{
  struct loan_call *call = context;
  const ivp_borrow_reply *reply = result;
  call->task->borrow_in_flight = FALSE;
  if (status == IV_OK && reply->slots > 0)
    iv_route_task_set_borrowed (call->task->app->route, call->instance, reply->slots,
                                call->sent_ms + reply->valid_ms);
  g_free (call->instance);
  g_free (call);
}

void
iv_peer_task_borrow_slot (struct iv_peer_task *task, const char *instance)
{
  struct iv_app *app = task->app;
  ivp_borrow borrow = { .host = app->settings->host, .instance = (char *)instance, .slots = 1 };
  for (guint i = 0; !task->borrow_in_flight && i < task->peers->len; i++)
    {
      struct peer *peer = g_ptr_array_index (task->peers, task->next_lender++ % task->peers->len);
      struct loan_call *call;
      if (!is_alive (peer))
        continue;
      call = g_new (struct loan_call, 1);
      call->task = task;
      call->instance = g_strdup (instance);
      call->sent_ms = iv_app_now (app);
      task->borrow_in_flight = TRUE;
      iv_rpc_call (peer->client, PEER_BORROW, (iv_xdr_proc)xdr_ivp_borrow, &borrow,
                   (iv_xdr_proc)xdr_ivp_borrow_reply, sizeof (ivp_borrow_reply),
                   call->sent_ms + BORROW_TIMEOUT_MS, on_borrow_reply, call);
    }
}

char *
iv_peer_task_members (const struct iv_peer_task *task)
{
  json_t *list = json_array ();
  char *text;
  for (guint i = 0; i < task->peers->len; i++)
    {
      const struct peer *peer = g_ptr_array_index (task->peers, i);
      json_array_append_new (list, json_pack ("{s:s,s:s,s:b,s:b,s:i}", "host", peer->member->host,
                                              "domain", peer->member->domain, "alive",
                                              is_alive (peer), "leaving", (int)peer->hello.leaving,
                                              "release", (int)peer->hello.release));
    }
  text = json_dumps (list, JSON_COMPACT);
  json_decref (list);
  return text;
}
