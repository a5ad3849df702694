#include "http_server.h"

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
#include <string.h>

#define BACKLOG 512          /* connections that wait to be accepted */
#define HEAD_BYTES_MAX 16384 /* bytes of path and header fields */

struct iv_http_server
{
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  uv_tcp_t listener;
  struct iv_http_limits limits;
  iv_http_handler handler;
  void *handler_context;
  guint pending;
  guint connections;
  gboolean stopped;
};

/* Lives in the memory pool of h2o's request. Its destructor reports that h2o frees the request,
   because the caller has disconnected. */
struct request_ref
{
  struct iv_http_request *request;
};

struct iv_http_request
{
  struct iv_http_server *server;
  h2o_req_t *req; /* NULL once the caller has disconnected */
  struct request_ref *request_ref;
  char *method;
  char *path;
  char *host;
  char *body;
  gsize body_len;
  GHashTable *headers;
};

/* The handle's data field belongs to h2o, so the server is stored beside the handle. */
struct connection
{
  uv_tcp_t tcp;
  struct iv_http_server *server;
};

struct root_handler
{
  h2o_handler_t super;
  struct iv_http_server *server;
};

static void
on_req_disposed (void *data)
{
  struct request_ref *request_ref = data;
  if (request_ref->request)
    request_ref->request->req = NULL;
}

static GHashTable *
copy_headers (const h2o_req_t *req)
{
  GHashTable *headers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (size_t i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *header = &req->headers.entries[i];
      char *name = g_ascii_strdown (header->name->base, (gssize)header->name->len);
      if (g_hash_table_contains (headers, name))
        g_free (name);
      else
        g_hash_table_insert (headers, name, g_strndup (header->value.base, header->value.len));
    }
  return headers;
}

static void
send_json (h2o_req_t *req, int status, const char *reason, const char *json)
{
  req->res.status = status;
  req->res.reason = reason;
  h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                  H2O_STRLIT ("application/json"));
  h2o_send_inline (req, json, strlen (json));
}

/* h2o limits the size of a head only while the head is incomplete. */
static gboolean
head_too_large (const h2o_req_t *req)
{
  size_t size = req->path.len;
  for (size_t i = 0; i < req->headers.size; i++)
    size += req->headers.entries[i].name->len + req->headers.entries[i].value.len;
  return size > HEAD_BYTES_MAX;
}

static int
on_request (h2o_handler_t *self, h2o_req_t *req)
{
  struct iv_http_server *server = ((struct root_handler *)self)->server;
  struct iv_http_request *request;
  if (head_too_large (req))
    {
      send_json (req, 431, "Request Header Fields Too Large",
                 "{\"outcome\":\"not_run\",\"reason\":\"head too large\"}\n");
      return 0;
    }
  if (server->pending >= server->limits.requests_max)
    {
      if (server->limits.overload_status == 504)
        send_json (req, 504, "Gateway Timeout", "{\"reason\":\"overloaded\"}\n");
      else
        send_json (req, 503, "Service Unavailable",
                   "{\"outcome\":\"not_run\",\"reason\":\"overloaded\"}\n");
      return 0;
    }
  request = g_new0 (struct iv_http_request, 1);
  request->server = server;
  request->req = req;
  request->method = g_strndup (req->method.base, req->method.len);
  request->path = g_strndup (req->path.base, req->path.len);
  request->host = g_strndup (req->input.authority.base, req->input.authority.len);
  request->body_len = req->entity.len;
  request->body = g_malloc (req->entity.len + 1);
  if (req->entity.len > 0)
    memcpy (request->body, req->entity.base, req->entity.len);
  request->body[request->body_len] = '\0';
  request->headers = copy_headers (req);
  request->request_ref
      = h2o_mem_alloc_shared (&req->pool, sizeof (struct request_ref), on_req_disposed);
  request->request_ref->request = request;
  server->pending++;
  server->handler (server->handler_context, request);
  return 0;
}

static void
on_socket_closed (uv_handle_t *handle)
{
  struct connection *connection = (struct connection *)handle;
  connection->server->connections--;
  g_free (connection);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct iv_http_server *server = listener->data;
  struct connection *connection;
  if (status != 0)
    return;
  connection = g_new0 (struct connection, 1);
  connection->server = server;
  server->connections++;
  uv_tcp_init (listener->loop, &connection->tcp);
  if (uv_accept (listener, (uv_stream_t *)&connection->tcp) != 0
      || server->connections > server->limits.connections_max)
    {
      uv_close ((uv_handle_t *)&connection->tcp, on_socket_closed);
      return;
    }
  uv_tcp_nodelay (&connection->tcp, 1);
  h2o_accept (&server->accept,
              h2o_uv_socket_create ((uv_stream_t *)&connection->tcp, on_socket_closed));
}

struct iv_http_server *
iv_http_server_new (uv_loop_t *loop, const char *ip, guint16 port,
                    const struct iv_http_limits *limits, iv_http_handler handler, void *context)
{
  struct iv_http_server *server = g_new0 (struct iv_http_server, 1);
  struct sockaddr_storage address;
  h2o_hostconf_t *host;
  h2o_pathconf_t *path;
  struct root_handler *root_handler;
  int error;
  server->limits = *limits;
  server->handler = handler;
  server->handler_context = context;
  h2o_config_init (&server->config);
  server->config.max_request_entity_size = limits->body_bytes_max;
  server->config.http1.req_timeout = (uint64_t)limits->request_read_timeout_ms;
  server->config.http2.idle_timeout = (uint64_t)limits->request_read_timeout_ms;
  server->config.server_name = h2o_iovec_init (H2O_STRLIT ("ibisvane"));
  host = h2o_config_register_host (&server->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  path = h2o_config_register_path (host, "/", 0);
  root_handler = (struct root_handler *)h2o_create_handler (path, sizeof *root_handler);
  root_handler->server = server;
  root_handler->super.on_req = on_request;
  h2o_context_init (&server->context, loop, &server->config);
  server->accept.ctx = &server->context;
  server->accept.hosts = server->config.hosts;
  uv_tcp_init (loop, &server->listener);
  server->listener.data = server;
  if (uv_ip4_addr (ip, port, (struct sockaddr_in *)&address) != 0)
    uv_ip6_addr (ip, port, (struct sockaddr_in6 *)&address);
  error = uv_tcp_bind (&server->listener, (struct sockaddr *)&address, 0);
  if (error == 0)
    error = uv_listen ((uv_stream_t *)&server->listener, BACKLOG, on_connection);
  if (error == 0)
    return server;
  iv_fail (IV_ERR_UNAVAILABLE, "cannot listen on %s:%u: %s", ip, port, uv_strerror (error));
  return NULL;
}

void
iv_http_server_stop (struct iv_http_server *server)
{
  if (server->stopped)
    return;
  server->stopped = TRUE;
  uv_close ((uv_handle_t *)&server->listener, NULL);
  h2o_context_request_shutdown (&server->context);
}

guint
iv_http_server_pending (const struct iv_http_server *server)
{
  return server->pending;
}

const char *
iv_http_method (const struct iv_http_request *request)
{
  return request->method;
}

const char *
iv_http_path (const struct iv_http_request *request)
{
  return request->path;
}

const char *
iv_http_request_header (const struct iv_http_request *request, const char *name)
{
  return g_hash_table_lookup (request->headers, name);
}

const char *
iv_http_host (const struct iv_http_request *request)
{
  return request->host;
}

const char *
iv_http_body (const struct iv_http_request *request, gsize *len)
{
  *len = request->body_len;
  return request->body;
}

gboolean
iv_http_is_disconnected (const struct iv_http_request *request)
{
  return request->req == NULL;
}

static const char *
reason_phrase (int status)
{
  static const struct
  {
    int status;
    const char *reason;
  } reasons[] = { { 200, "OK" },
                  { 201, "Created" },
                  { 202, "Accepted" },
                  { 400, "Bad Request" },
                  { 404, "Not Found" },
                  { 405, "Method Not Allowed" },
                  { 409, "Conflict" },
                  { 413, "Payload Too Large" },
                  { 422, "Unprocessable Entity" },
                  { 429, "Too Many Requests" },
                  { 502, "Bad Gateway" },
                  { 503, "Service Unavailable" },
                  { 504, "Gateway Timeout" } };
  for (guint i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (reasons[i].status == status)
      return reasons[i].reason;
  return "Status";
}

static void
fill_headers (h2o_req_t *req, const char *content_type, const struct iv_http_header *headers)
{
  if (content_type)
    {
      h2o_iovec_t value = h2o_strdup (&req->pool, content_type, SIZE_MAX);
      h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL, value.base,
                      value.len);
    }
  for (; headers && headers->name; headers++)
    {
      h2o_iovec_t name = h2o_strdup (&req->pool, headers->name, SIZE_MAX);
      h2o_iovec_t value = h2o_strdup (&req->pool, headers->value, SIZE_MAX);
      h2o_add_header_by_str (&req->pool, &req->res.headers, name.base, name.len, 1, NULL,
                             value.base, value.len);
    }
}

void
iv_http_respond (struct iv_http_request *request, int status, const char *content_type,
                 const struct iv_http_header *headers, const void *body, gsize len)
{
  h2o_req_t *req = request->req;
  request->request_ref = request->req ? request->request_ref : NULL;
  if (request->request_ref)
    request->request_ref->request = NULL;
  request->server->pending--;
  if (req)
    {
      h2o_iovec_t copy = h2o_strdup (&req->pool, body ? body : "", len);
      req->res.status = status;
      req->res.reason = reason_phrase (status);
      req->res.content_length = len;
      fill_headers (req, content_type, headers);
      if (request->server->stopped)
        req->http1_is_persistent = 0;
      h2o_send_inline (req, copy.base, copy.len);
    }
  g_hash_table_destroy (request->headers);
  g_free (request->method);
  g_free (request->path);
  g_free (request->host);
  g_free (request->body);
  g_free (request);
}

void
iv_http_respond_json (struct iv_http_request *request, int status, const char *json)
{
  iv_http_respond (request, status, "application/json", NULL, json, strlen (json));
}

char *
iv_http_query (const char *path, const char *key)
{
  const char *query = strchr (path, '?');
  gsize len = strlen (key);
  while (query)
    {
      query++;
      if (strncmp (query, key, len) == 0 && query[len] == '=')
        {
          gsize value_len = strcspn (query + len + 1, "&");
          return g_uri_unescape_segment (query + len + 1, query + len + 1 + value_len, NULL);
        }
      query = strchr (query, '&');
    }
  return NULL;
}
