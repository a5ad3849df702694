/**
 * @file link.c
 * Stand-in for a network link: a TCP proxy from one address to another that can drop what passes.
 *
 * Usage: link_standin LISTEN TARGET CONTROL
 *
 * POST /faults?mode=MODE on CONTROL sets the mode:
 * - pass: forward everything;
 * - silent: drop the bytes of the connections that are open now, until the mode is set again; new
 *   connections pass;
 * - forth: drop the bytes to the target;
 * - back: drop the bytes from the target;
 * - cut: drop all bytes; new connections are accepted, but not forwarded to the target.
 *
 * Dropped connections stay open, as on a network that loses packets without a reset.
 */
#include "http_server.h"
#include "standin.h"

#include <signal.h>
#include <stdio.h>

#define CHUNK_BYTES_MAX 65536

enum mode
{
  MODE_PASS,
  MODE_BLACKHOLE_OPEN,
  MODE_DROP_TO_TARGET,
  MODE_DROP_FROM_TARGET,
  MODE_PARTITION
};

static const char *const mode_names[] = { "pass", "silent", "forth", "back", "cut" };

/* One side of a forwarded connection. */
struct endpoint
{
  uv_tcp_t tcp;
  struct connection *connection;
  struct endpoint *peer;
  gboolean to_target; /* what is read here goes to the target */
};

/* A connection of a client, forwarded to the target. */
struct connection
{
  struct endpoint client_end, target_end;
  uv_connect_t connect_request;
  guint open_endpoints;
  gboolean blackholed; /* all its bytes are dropped until the mode is set again */
  gboolean closing;
};

/* Bytes that are being written. */
struct chunk
{
  uv_write_t request;
  char *bytes;
};

static uv_loop_t *loop;
static enum mode current_mode;
static struct sockaddr_storage target;
static GPtrArray *connections;

static void
on_closed (uv_handle_t *handle)
{
  struct endpoint *endpoint = handle->data;
  if (--endpoint->connection->open_endpoints > 0)
    return;
  g_ptr_array_remove_fast (connections, endpoint->connection);
  g_free (endpoint->connection);
}

static void
close_connection (struct connection *connection)
{
  if (connection->closing)
    return;
  connection->closing = TRUE;
  uv_close ((uv_handle_t *)&connection->client_end.tcp, on_closed);
  uv_close ((uv_handle_t *)&connection->target_end.tcp, on_closed);
}

static void
on_write_done (uv_write_t *request, int status)
{
  struct chunk *chunk = (struct chunk *)request;
  g_free (chunk->bytes);
  g_free (chunk);
}

static gboolean
is_dropped (const struct endpoint *endpoint)
{
  return endpoint->connection->blackholed || current_mode == MODE_PARTITION
         || (current_mode == MODE_DROP_TO_TARGET && endpoint->to_target)
         || (current_mode == MODE_DROP_FROM_TARGET && !endpoint->to_target);
}

static void
on_allocate (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[CHUNK_BYTES_MAX];
  *buffer = uv_buf_init (bytes, CHUNK_BYTES_MAX);
}

static void
on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  struct endpoint *endpoint = stream->data;
  struct chunk *chunk;
  uv_buf_t out;
  if (count <= 0 || is_dropped (endpoint))
    {
      /* On a link that drops everything, neither end sees that the other one closed. */
      if (count < 0 && !is_dropped (endpoint))
        close_connection (endpoint->connection);
      else if (count < 0)
        uv_read_stop (stream);
      return;
    }
  chunk = g_new0 (struct chunk, 1);
  chunk->bytes = g_memdup2 (buffer->base, (gsize)count);
  out = uv_buf_init (chunk->bytes, (unsigned)count);
  uv_write (&chunk->request, (uv_stream_t *)&endpoint->peer->tcp, &out, 1, on_write_done);
}

static void
on_connected (uv_connect_t *connect_request, int status)
{
  struct connection *connection = connect_request->data;
  if (connection->closing)
    return;
  if (status < 0)
    {
      close_connection (connection);
      return;
    }
  uv_read_start ((uv_stream_t *)&connection->client_end.tcp, on_allocate, on_read);
  uv_read_start ((uv_stream_t *)&connection->target_end.tcp, on_allocate, on_read);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct connection *connection = g_new0 (struct connection, 1);
  connection->client_end.connection = connection->target_end.connection = connection;
  connection->client_end.peer = &connection->target_end;
  connection->target_end.peer = &connection->client_end;
  connection->client_end.to_target = TRUE;
  connection->open_endpoints = 2;
  uv_tcp_init (loop, &connection->client_end.tcp);
  uv_tcp_init (loop, &connection->target_end.tcp);
  connection->client_end.tcp.data = &connection->client_end;
  connection->target_end.tcp.data = &connection->target_end;
  connection->connect_request.data = connection;
  g_ptr_array_add (connections, connection);
  uv_accept (listener, (uv_stream_t *)&connection->client_end.tcp);
  uv_tcp_nodelay (&connection->client_end.tcp, 1);
  if (current_mode == MODE_PARTITION)
    return;
  if (uv_tcp_connect (&connection->connect_request, &connection->target_end.tcp,
                      (struct sockaddr *)&target, on_connected)
      != 0)
    close_connection (connection);
}

static void
on_request (void *context, struct iv_http_request *http)
{
  char *name = iv_http_query (iv_http_path (http), "mode");
  for (guint i = 0; name && i < G_N_ELEMENTS (mode_names); i++)
    if (strcmp (name, mode_names[i]) == 0)
      current_mode = (enum mode)i;
  for (guint i = 0; i < connections->len; i++)
    ((struct connection *)g_ptr_array_index (connections, i))->blackholed
        = current_mode == MODE_BLACKHOLE_OPEN;
  if (current_mode == MODE_BLACKHOLE_OPEN)
    current_mode = MODE_PASS;
  g_free (name);
  iv_http_respond_json (http, 200, "{}");
}

int
main (int argc, char **argv)
{
  struct iv_http_limits limits = { 65536, 100, 100, 3600000 };
  struct sockaddr_in listen_address;
  uv_tcp_t listener;
  char ip[64];
  guint16 port;
  if (argc < 4)
    return 64;
  signal (SIGPIPE, SIG_IGN);
  loop = uv_default_loop ();
  connections = g_ptr_array_new ();
  parse_address_or_exit (argv[2], ip, &port);
  uv_ip4_addr (ip, port, (struct sockaddr_in *)&target);
  parse_address_or_exit (argv[1], ip, &port);
  uv_ip4_addr (ip, port, &listen_address);
  uv_tcp_init (loop, &listener);
  if (uv_tcp_bind (&listener, (struct sockaddr *)&listen_address, 0) != 0
      || uv_listen ((uv_stream_t *)&listener, 64, on_connection) != 0)
    return 69;
  parse_address_or_exit (argv[3], ip, &port);
  if (iv_http_server_new (loop, ip, port, &limits, on_request, NULL) == NULL)
    return 69;
  uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}
