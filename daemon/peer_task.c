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

#define HELLO_MS 500
#define HELLO_TIMEOUT_MS 1500
#define QUERY_TIMEOUT_MS 2000
#define ALIVE_MS 3000
#define RELAY_AFTER_MS 700 /* age of the evidence from which on peers are asked */
#define LOAN_EXTRA_MS 1000 /* beyond the longest usual request */
#define BORROW_TIMEOUT_MS 300
#define CONNECTIONS_MAX 256
#define IDLE_MS 30000

struct peer
{
  struct iv_peer_task *task;
  const struct iv_member *member;
  struct iv_rpc_client *client;
  ivp_hello hello; /* last one heard */
  gint64 heard_ms;
  gboolean alive; /* last state logged */
  gboolean calling;
};

struct iv_peer_task
{
  struct iv_app *app;
  struct iv_rpc_server *server;
  struct iv_rpc_service service;
  GPtrArray *peers; /* of struct peer, without this host */
  struct iv_deadline tick;
  guint next_relay;
  guint next_lender;
  gboolean reading;
  gboolean borrowing;
};

struct query_call
{
  iv_query_done done;
  void *context;
};

struct read_call
{
  struct iv_peer_task *task;
  gint64 asked_ms;
};

struct loan_call
{
  struct iv_peer_task *task;
  char *instance;
  gint64 asked_ms;
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
      ivp_cell *row = &hello->cells.cells_val[hello->cells.cells_len++];
      guint64 room
          = iv_planner_owns (planner) ? iv_planner_free_cpu_milli (planner, iv_app_now (app)) : 0;
      row->domain = iv_record_strdup (iv_domain_task_name (domain));
      row->owner = iv_record_strdup (cell->owner);
      row->term = cell->term;
      row->owned = iv_planner_owns (planner);
      row->free_milli = (guint32)MIN (room, G_MAXUINT32);
    }
}

static void
fill_hello (const struct iv_app *app, ivp_hello *hello)
{
  const struct iv_config *config = iv_config_task_state (app->config);
  gint64 age = iv_app_now (app) - iv_config_task_evidence_ms (app->config);
  hello->host = iv_record_strdup (app->settings->host);
  hello->domain = iv_record_strdup (app->settings->domain);
  hello->incarnation = app->incarnation;
  hello->leaving = app->leaving;
  hello->config_next = config->next;
  hello->config_age_ms = (guint32)CLAMP (age, 0, G_MAXUINT32);
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
  return peer->heard_ms > 0 && iv_app_now (peer->task->app) - peer->heard_ms <= ALIVE_MS;
}

static void
take_hello (struct peer *peer, const ivp_hello *hello)
{
  xdr_free ((xdrproc_t)xdr_ivp_hello, (char *)&peer->hello);
  memset (&peer->hello, 0, sizeof peer->hello);
  iv_xdr_copy ((iv_xdr_proc)xdr_ivp_hello, hello, &peer->hello);
  peer->heard_ms = iv_app_now (peer->task->app);
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
    take_hello (peer, hello);
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
  guint32 valid_ms = (guint32)task->app->settings->routing.timeout_ms + LOAN_EXTRA_MS;
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
code_nothing (XDR *xdr, void *object)
{
  return TRUE;
}

static const struct iv_rpc_procedure procedures[] = {
  { PEER_NULL, code_nothing, 0, code_nothing, 0, serve_null },
  PROCEDURE (PEER_HELLO, ivp_hello, ivp_hello, serve_hello),
  PROCEDURE (PEER_READ, ivp_read, ivp_read_reply, serve_read),
  PROCEDURE (PEER_QUERY, ivp_query, ivp_query_reply, serve_query),
  PROCEDURE (PEER_BORROW, ivp_borrow, ivp_borrow_reply, serve_borrow),
};

static void
on_hello (void *context, enum iv_status status, void *result)
{
  struct peer *peer = context;
  peer->calling = FALSE;
  if (status == IV_OK)
    take_hello (peer, result);
}

static void
say_hello (struct peer *peer)
{
  struct iv_app *app = peer->task->app;
  ivp_hello hello = { 0 };
  if (peer->calling)
    return;
  fill_hello (app, &hello);
  peer->calling = TRUE;
  iv_rpc_call (peer->client, PEER_HELLO, (iv_xdr_proc)xdr_ivp_hello, &hello,
               (iv_xdr_proc)xdr_ivp_hello, sizeof (ivp_hello), iv_app_now (app) + HELLO_TIMEOUT_MS,
               on_hello, peer);
  xdr_free ((xdrproc_t)xdr_ivp_hello, (char *)&hello);
}

static void
on_relayed (void *context, enum iv_status status, void *result)
{
  struct read_call *call = context;
  call->task->reading = FALSE;
  if (status == IV_OK)
    iv_config_task_handle_read_reply (call->task->app->config, result, call->asked_ms);
  g_free (call);
}

/* A host whose evidence ages asks its peers in turn, the ones alive first. */
static void
read_from_peer (struct iv_peer_task *task)
{
  struct iv_app *app = task->app;
  gint64 now = iv_app_now (app);
  ivp_read read = { .stream = (char *)"config", .from = iv_config_task_state (app->config)->next };
  if (task->reading || now - iv_config_task_evidence_ms (app->config) < RELAY_AFTER_MS)
    return;
  for (guint i = 0; i < task->peers->len; i++)
    {
      struct peer *peer = g_ptr_array_index (task->peers, task->next_relay++ % task->peers->len);
      struct read_call *call;
      if (!is_alive (peer))
        continue;
      call = g_new (struct read_call, 1);
      call->task = task;
      call->asked_ms = now;
      task->reading = TRUE;
      iv_rpc_call (peer->client, PEER_READ, (iv_xdr_proc)xdr_ivp_read, &read,
                   (iv_xdr_proc)xdr_ivp_read_reply, sizeof (ivp_read_reply), now + HELLO_TIMEOUT_MS,
                   on_relayed, call);
      return;
    }
}

static void
log_changes (struct peer *peer)
{
  gboolean alive = is_alive (peer);
  if (alive != peer->alive)
    iv_event (alive ? IV_LEVEL_INFO : IV_LEVEL_WARNING, alive ? "peer.up" : "peer.silent",
              "peer=%s domain=%s", peer->member->host, peer->member->domain);
  peer->alive = alive;
}

static void
on_tick (void *context)
{
  struct iv_peer_task *task = context;
  iv_deadline_set (task->app->deadlines, &task->tick, iv_app_now (task->app) + HELLO_MS);
  for (guint i = 0; i < task->peers->len; i++)
    {
      struct peer *peer = g_ptr_array_index (task->peers, i);
      say_hello (peer);
      log_changes (peer);
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
                                           .idle_ms = IDLE_MS,
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

/* Room as the owner said lately; a domain without a known owner counts as without room. */
static guint64
room_of (const struct iv_peer_task *task, const char *domain)
{
  const struct iv_domain_task *own = iv_domain_task_find (task->app, domain);
  if (own && iv_planner_owns (iv_domain_task_planner (own)))
    return iv_planner_free_cpu_milli (iv_domain_task_planner (own), iv_app_now (task->app));
  for (guint i = 0; i < task->peers->len; i++)
    {
      const ivp_cell *cell = owned_cell (g_ptr_array_index (task->peers, i), domain);
      if (cell)
        return cell->free_milli;
    }
  return 0;
}

GArray *
iv_peer_task_rooms (const struct iv_peer_task *task)
{
  GArray *rooms = g_array_new (FALSE, FALSE, sizeof (struct iv_domain_room));
  for (guint i = 0; i < task->app->domains->len; i++)
    {
      struct iv_domain_room room = { .domain = g_ptr_array_index (task->app->domains, i) };
      if (iv_config_domain_out (iv_config_task_state (task->app->config), room.domain))
        continue;
      room.free_milli = room_of (task, room.domain);
      g_array_append_val (rooms, room);
    }
  return rooms;
}

const char *
iv_peer_task_roomiest (const struct iv_peer_task *task, const char *from)
{
  GArray *rooms = iv_peer_task_rooms (task);
  const char *best = NULL;
  guint64 best_room = 0;
  for (guint i = 0; i < rooms->len; i++)
    {
      const struct iv_domain_room *room = &g_array_index (rooms, struct iv_domain_room, i);
      if (strcmp (room->domain, from) == 0 || (best && room->free_milli <= best_room))
        continue;
      best = room->domain;
      best_room = room->free_milli;
    }
  g_array_free (rooms, TRUE);
  return best;
}

static void
on_answer (void *context, enum iv_status status, void *result)
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
query_peer (struct peer *peer, const char *domain, const char *what, iv_query_done done,
            void *context)
{
  ivp_query query = { .domain = (char *)domain, .path = (char *)what };
  struct query_call *call = g_new (struct query_call, 1);
  call->done = done;
  call->context = context;
  iv_rpc_call (peer->client, PEER_QUERY, (iv_xdr_proc)xdr_ivp_query, &query,
               (iv_xdr_proc)xdr_ivp_query_reply, sizeof (ivp_query_reply),
               iv_app_now (peer->task->app) + QUERY_TIMEOUT_MS, on_answer, call);
}

void
iv_peer_task_query_domain (struct iv_peer_task *task, const char *domain, const char *what,
                           iv_query_done done, void *context)
{
  if (iv_domain_task_owns (task->app, domain))
    {
      GByteArray *body = g_byte_array_new ();
      int status = iv_operator_local_query (task->app, domain, what, body);
      done (context, status, (const char *)body->data, body->len);
      g_byte_array_free (body, TRUE);
      return;
    }
  for (guint i = 0; i < task->peers->len; i++)
    {
      struct peer *peer = g_ptr_array_index (task->peers, i);
      if (owned_cell (peer, domain) == NULL)
        continue;
      query_peer (peer, domain, what, done, context);
      return;
    }
  done (context, 503, "", 0);
}

void
iv_peer_task_query_host (struct iv_peer_task *task, const char *host, const char *what,
                         iv_query_done done, void *context)
{
  struct peer *peer = find_peer (task, host);
  if (peer && is_alive (peer))
    query_peer (peer, "", what, done, context);
  else
    done (context, 503, "", 0);
}

static void
on_loan (void *context, enum iv_status status, void *result)
{
  struct loan_call *call = context;
  const ivp_borrow_reply *reply = result;
  call->task->borrowing = FALSE;
  if (status == IV_OK && reply->slots > 0)
    iv_route_task_borrowed (call->task->app->route, call->instance, reply->slots,
                            call->asked_ms + reply->valid_ms);
  g_free (call->instance);
  g_free (call);
}

void
iv_peer_task_borrow (struct iv_peer_task *task, const char *instance)
{
  struct iv_app *app = task->app;
  ivp_borrow borrow = { .host = app->settings->host, .instance = (char *)instance, .slots = 1 };
  for (guint i = 0; !task->borrowing && i < task->peers->len; i++)
    {
      struct peer *peer = g_ptr_array_index (task->peers, task->next_lender++ % task->peers->len);
      struct loan_call *call;
      if (!is_alive (peer))
        continue;
      call = g_new (struct loan_call, 1);
      call->task = task;
      call->instance = g_strdup (instance);
      call->asked_ms = iv_app_now (app);
      task->borrowing = TRUE;
      iv_rpc_call (peer->client, PEER_BORROW, (iv_xdr_proc)xdr_ivp_borrow, &borrow,
                   (iv_xdr_proc)xdr_ivp_borrow_reply, sizeof (ivp_borrow_reply),
                   call->asked_ms + BORROW_TIMEOUT_MS, on_loan, call);
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
