#include "http_client.h"

#include "schema.h"

#include <h2o.h>
#include <h2o/http1client.h>
#include <string.h>

#define POOL_CAPACITY 1024
#define POOL_IDLE_MS 10000      /* an unused connection is closed after this time */
#define POOL_FREE_DELAY_MS 1000 /* libuv closes the pool's timer within this time */
#define RESPONSE_MAX_MS 60000   /* a response that goes on for longer is given up */
#define HEAD_BYTES_MAX 8192     /* limit of the request line and the header fields */

/* Pooled connections to one address. */
struct pool
{
  h2o_socketpool_t sockets;
  struct iv_http_client *client;
  struct iv_deadline free_deadline;
  guint active;
  gboolean retired;
};

struct iv_http_client
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  h2o_http1client_ctx_t context;
  h2o_timeout_t idle_timeout;
  gsize response_bytes_max;
  GHashTable *pools; /* address to struct pool */
};

struct exchange
{
  struct iv_http_client *client;
  struct pool *pool;
  h2o_http1client_t *call;
  struct iv_deadline deadline;
  gint64 stall_ms;
  gint64 latest_ms; /* the deadline does not move beyond this */
  h2o_iovec_t buffers[2];
  GString *head;
  GByteArray *body;
  GByteArray *response_body;
  GPtrArray *headers;
  int status;
  gboolean sent;
  gboolean length_known;
  gboolean chunked;
  iv_http_done done;
  void *context;
};

static void
free_pool (void *context)
{
  struct pool *pool = context;
  g_free (pool);
}

/* The pool's memory is freed with a delay, because libuv closes its timer asynchronously. */
static void
dispose_pool (struct pool *pool)
{
  h2o_socketpool_dispose (&pool->sockets);
  pool->free_deadline.fire = free_pool;
  pool->free_deadline.context = pool;
  iv_deadline_set (pool->client->deadlines, &pool->free_deadline,
                   (gint64)uv_now (pool->client->loop) + POOL_FREE_DELAY_MS);
}

static void
release_pool (struct pool *pool)
{
  if (pool == NULL)
    return;
  pool->active--;
  if (pool->retired && pool->active == 0)
    dispose_pool (pool);
}

static void
finish (struct exchange *exchange, enum iv_http_result result, const char *reason,
        gboolean timed_out)
{
  struct iv_http_response response = { .result = result,
                                       .status = exchange->status,
                                       .reason = reason,
                                       .timed_out = timed_out,
                                       .body = exchange->response_body,
                                       .headers = exchange->headers };
  iv_deadline_unset (exchange->client->deadlines, &exchange->deadline);
  release_pool (exchange->pool);
  exchange->done (exchange->context, &response);
  g_string_free (exchange->head, TRUE);
  g_byte_array_free (exchange->body, TRUE);
  g_byte_array_free (exchange->response_body, TRUE);
  g_ptr_array_free (exchange->headers, TRUE);
  g_free (exchange);
}

static void
fail (struct exchange *exchange, const char *reason)
{
  gboolean timed_out = strstr (reason, "timeout") != NULL;
  finish (exchange, exchange->sent ? IV_HTTP_INCOMPLETE : IV_HTTP_NOT_SENT, reason, timed_out);
}

static void
on_deadline (void *context)
{
  struct exchange *exchange = context;
  if (exchange->call)
    h2o_http1client_cancel (exchange->call);
  finish (exchange, exchange->sent ? IV_HTTP_INCOMPLETE : IV_HTTP_NOT_SENT, "deadline passed",
          TRUE);
}

/* A part of the response has arrived. */
static void
note_progress (struct exchange *exchange)
{
  gint64 at_ms = (gint64)uv_now (exchange->client->loop) + exchange->stall_ms;
  if (exchange->stall_ms > 0 && at_ms > exchange->deadline.at_ms)
    iv_deadline_set (exchange->client->deadlines, &exchange->deadline,
                     MIN (at_ms, exchange->latest_ms));
}

static int
on_body (h2o_http1client_t *call, const char *error)
{
  struct exchange *exchange = call->data;
  h2o_buffer_t *input = call->sock->input;
  g_byte_array_append (exchange->response_body, (const guint8 *)input->bytes, (guint)input->size);
  h2o_buffer_consume (&call->sock->input, input->size);
  note_progress (exchange);
  if (error == NULL && exchange->response_body->len <= exchange->client->response_bytes_max)
    return 0;
  if (error == NULL)
    {
      exchange->call = NULL;
      fail (exchange, "response too large");
      return -1;
    }
  exchange->call = NULL;
  /* h2o also reports the end of a chunked response when the connection closes between two chunks.
     Only the last chunk ends the response: receiving it reads bytes, while a close reads none. */
  if (error == h2o_http1client_error_is_eos && exchange->chunked && call->sock->bytes_read == 0)
    fail (exchange, "chunked response truncated");
  else if (error == h2o_http1client_error_is_eos && exchange->length_known)
    finish (exchange, IV_HTTP_COMPLETE, "", FALSE);
  else
    fail (exchange, error == h2o_http1client_error_is_eos ? "response without length" : error);
  return 0;
}

static gboolean
has_header (const h2o_header_t *headers, size_t count, const h2o_token_t *token)
{
  for (size_t i = 0; i < count; i++)
    if (headers[i].name == &token->buf)
      return TRUE;
  return FALSE;
}

/* Without a length or chunks, a complete response that ends with its connection cannot be
   distinguished from a truncated one. */
static gboolean
length_is_known (const h2o_header_t *headers, size_t count)
{
  return has_header (headers, count, H2O_TOKEN_CONTENT_LENGTH)
         || has_header (headers, count, H2O_TOKEN_TRANSFER_ENCODING);
}

static void
copy_headers (struct exchange *exchange, const h2o_header_t *headers, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      g_ptr_array_add (exchange->headers,
                       g_ascii_strdown (headers[i].name->base, (gssize)headers[i].name->len));
      g_ptr_array_add (exchange->headers, g_strndup (headers[i].value.base, headers[i].value.len));
    }
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *call, const char *error, int minor_version, int status,
         h2o_iovec_t message, h2o_header_t *headers, size_t count, int rlen)
{
  struct exchange *exchange = call->data;
  if (error != NULL && error != h2o_http1client_error_is_eos)
    {
      exchange->call = NULL;
      fail (exchange, error);
      return NULL;
    }
  exchange->status = status;
  copy_headers (exchange, headers, count);
  exchange->chunked = has_header (headers, count, H2O_TOKEN_TRANSFER_ENCODING);
  exchange->length_known = length_is_known (headers, count) || status == 204 || status == 304;
  if (error == NULL)
    {
      note_progress (exchange);
      return on_body;
    }
  exchange->call = NULL;
  if (exchange->length_known)
    finish (exchange, IV_HTTP_COMPLETE, "", FALSE);
  else
    fail (exchange, "response without length");
  return NULL;
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *call, const char *error, h2o_iovec_t **buffers, size_t *count,
            int *is_head)
{
  struct exchange *exchange = call->data;
  if (error != NULL)
    {
      exchange->call = NULL;
      fail (exchange, error);
      return NULL;
    }
  exchange->sent = TRUE;
  exchange->buffers[0] = h2o_iovec_init (exchange->head->str, exchange->head->len);
  exchange->buffers[1] = h2o_iovec_init ((char *)exchange->body->data, exchange->body->len);
  *buffers = exchange->buffers;
  *count = exchange->body->len > 0 ? 2 : 1;
  *is_head = 0;
  return on_head;
}

static struct pool *
find_pool (struct iv_http_client *client, const char *address, const char *ip, guint16 port)
{
  struct pool *pool = g_hash_table_lookup (client->pools, address);
  struct sockaddr_storage sockaddr;
  if (pool)
    return pool;
  pool = g_new0 (struct pool, 1);
  pool->client = client;
  if (uv_ip4_addr (ip, port, (struct sockaddr_in *)&sockaddr) == 0)
    h2o_socketpool_init_by_address (&pool->sockets, (struct sockaddr *)&sockaddr,
                                    sizeof (struct sockaddr_in), 0, POOL_CAPACITY);
  else
    {
      uv_ip6_addr (ip, port, (struct sockaddr_in6 *)&sockaddr);
      h2o_socketpool_init_by_address (&pool->sockets, (struct sockaddr *)&sockaddr,
                                      sizeof (struct sockaddr_in6), 0, POOL_CAPACITY);
    }
  h2o_socketpool_set_timeout (&pool->sockets, client->loop, POOL_IDLE_MS);
  g_hash_table_insert (client->pools, g_strdup (address), pool);
  return pool;
}

static GString *
format_head (const char *address, const struct iv_http_call *call)
{
  GString *head = g_string_sized_new (512);
  g_string_append_printf (head, "%s %s HTTP/1.1\r\nhost: %s\r\ncontent-length: %zu\r\n",
                          call->method, call->path, address, call->body_len);
  for (const struct iv_http_header *h = call->headers; h && h->name; h++)
    g_string_append_printf (head, "%s: %s\r\n", h->name, h->value);
  if (call->new_connection)
    g_string_append (head, "connection: close\r\n");
  g_string_append (head, "\r\n");
  return head;
}

static void
on_bad_address (void *context)
{
  fail (context, "address is not IP:port, or request head too large");
}

struct iv_http_client *
iv_http_client_new (uv_loop_t *loop, struct iv_deadlines *deadlines, gint64 idle_timeout_ms,
                    gsize response_bytes_max)
{
  struct iv_http_client *client = g_new0 (struct iv_http_client, 1);
  client->loop = loop;
  client->deadlines = deadlines;
  client->response_bytes_max = response_bytes_max;
  h2o_timeout_init (loop, &client->idle_timeout, (uint64_t)idle_timeout_ms);
  client->context.loop = loop;
  client->context.io_timeout = &client->idle_timeout;
  client->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return client;
}

void
iv_http_call (struct iv_http_client *client, const char *address, const struct iv_http_call *call,
              iv_http_done done, void *context)
{
  struct exchange *exchange = g_new0 (struct exchange, 1);
  char ip[64];
  guint16 port;
  exchange->client = client;
  exchange->head = format_head (address, call);
  exchange->body = g_byte_array_new ();
  if (call->body_len > 0)
    g_byte_array_append (exchange->body, call->body, (guint)call->body_len);
  exchange->response_body = g_byte_array_new ();
  exchange->headers = g_ptr_array_new_with_free_func (g_free);
  exchange->done = done;
  exchange->context = context;
  exchange->deadline.context = exchange;
  if (!iv_parse_address (address, ip, &port) || exchange->head->len > HEAD_BYTES_MAX)
    {
      exchange->deadline.fire = on_bad_address;
      iv_deadline_set (client->deadlines, &exchange->deadline, 0);
      return;
    }
  exchange->deadline.fire = on_deadline;
  iv_deadline_set (client->deadlines, &exchange->deadline, call->deadline_ms);
  exchange->stall_ms = call->stall_ms;
  exchange->latest_ms = MAX (call->deadline_ms, (gint64)uv_now (client->loop) + RESPONSE_MAX_MS);
  if (call->new_connection)
    {
      h2o_http1client_connect (&exchange->call, exchange, &client->context,
                               h2o_iovec_init (ip, strlen (ip)), port, 0, on_connect);
      return;
    }
  exchange->pool = find_pool (client, address, ip, port);
  exchange->pool->active++;
  h2o_http1client_connect_with_pool (&exchange->call, exchange, &client->context,
                                     &exchange->pool->sockets, on_connect);
}

void
iv_http_client_drop_connections (struct iv_http_client *client, const char *address)
{
  gpointer key, value;
  struct pool *pool;
  if (!g_hash_table_steal_extended (client->pools, address, &key, &value))
    return;
  g_free (key);
  pool = value;
  pool->retired = TRUE;
  if (pool->active == 0)
    dispose_pool (pool);
}

const char *
iv_http_response_header (const struct iv_http_response *response, const char *name)
{
  for (guint i = 0; i + 1 < response->headers->len; i += 2)
    if (strcmp (g_ptr_array_index (response->headers, i), name) == 0)
      return g_ptr_array_index (response->headers, i + 1);
  return NULL;
}
