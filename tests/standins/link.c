/**
 * @file link.c
 * Stand-in for a network link: forwards TCP from one address to another, and can lose it.
 *
 * Usage: link_standin LISTEN TARGET CONTROL; POST /faults?mode=MODE on CONTROL sets the mode:
 * pass; silent (bytes of open connections vanish, new ones pass); forth (bytes to the target
 * vanish); back (bytes from it vanish); cut (all bytes vanish, new connections are not accepted
 * further).
 */
#include "http_server.h"
#include "standin.h"

#include <signal.h>
#include <stdio.h>

#define CHUNK 65536

enum mode
{
  MODE_PASS,
  MODE_SILENT,
  MODE_FORTH,
  MODE_BACK,
  MODE_CUT
};

static const char *const mode_names[] = { "pass", "silent", "forth", "back", "cut" };

struct side
{
  uv_tcp_t tcp;
  struct pair *pair;
  struct side *other;
  gboolean to_target;
};

struct pair
{
  struct side near, far;
  uv_connect_t connect;
  guint open;
  gboolean silent;
  gboolean closing;
};

struct chunk
{
  uv_write_t write;
  char *bytes;
};

static uv_loop_t *loop;
static enum mode mode;
static struct sockaddr_storage target;
static GPtrArray *pairs;

static void
on_closed (uv_handle_t *handle)
{
  struct side *side = handle->data;
  if (--side->pair->open > 0)
    return;
  g_ptr_array_remove_fast (pairs, side->pair);
  g_free (side->pair);
}

static void
close_pair (struct pair *pair)
{
  if (pair->closing)
    return;
  pair->closing = TRUE;
  uv_close ((uv_handle_t *)&pair->near.tcp, on_closed);
  uv_close ((uv_handle_t *)&pair->far.tcp, on_closed);
}

static void
on_written (uv_write_t *write, int status)
{
  struct chunk *chunk = (struct chunk *)write;
  g_free (chunk->bytes);
  g_free (chunk);
}

static gboolean
is_lost (const struct side *side)
{
  return side->pair->silent || mode == MODE_CUT || (mode == MODE_FORTH && side->to_target)
         || (mode == MODE_BACK && !side->to_target);
}

static void
on_allocate (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[CHUNK];
  *buffer = uv_buf_init (bytes, CHUNK);
}

static void
on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  struct side *side = stream->data;
  struct chunk *chunk;
  uv_buf_t out;
  if (count <= 0 || is_lost (side))
    {
      /* A lost link does not show that the other end went away. */
      if (count < 0 && !is_lost (side))
        close_pair (side->pair);
      else if (count < 0)
        uv_read_stop (stream);
      return;
    }
  chunk = g_new0 (struct chunk, 1);
  chunk->bytes = g_memdup2 (buffer->base, (gsize)count);
  out = uv_buf_init (chunk->bytes, (unsigned)count);
  uv_write (&chunk->write, (uv_stream_t *)&side->other->tcp, &out, 1, on_written);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct pair *pair = connect->data;
  if (pair->closing)
    return;
  if (status < 0)
    {
      close_pair (pair);
      return;
    }
  uv_read_start ((uv_stream_t *)&pair->near.tcp, on_allocate, on_read);
  uv_read_start ((uv_stream_t *)&pair->far.tcp, on_allocate, on_read);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct pair *pair = g_new0 (struct pair, 1);
  pair->near.pair = pair->far.pair = pair;
  pair->near.other = &pair->far;
  pair->far.other = &pair->near;
  pair->near.to_target = TRUE;
  pair->open = 2;
  uv_tcp_init (loop, &pair->near.tcp);
  uv_tcp_init (loop, &pair->far.tcp);
  pair->near.tcp.data = &pair->near;
  pair->far.tcp.data = &pair->far;
  pair->connect.data = pair;
  g_ptr_array_add (pairs, pair);
  uv_accept (listener, (uv_stream_t *)&pair->near.tcp);
  uv_tcp_nodelay (&pair->near.tcp, 1);
  if (mode == MODE_CUT)
    return;
  if (uv_tcp_connect (&pair->connect, &pair->far.tcp, (struct sockaddr *)&target, on_connected)
      != 0)
    close_pair (pair);
}

static void
on_request (void *context, struct iv_http_request *http)
{
  char *name = iv_http_query (iv_http_path (http), "mode");
  for (guint i = 0; name && i < G_N_ELEMENTS (mode_names); i++)
    if (strcmp (name, mode_names[i]) == 0)
      mode = (enum mode)i;
  for (guint i = 0; i < pairs->len; i++)
    ((struct pair *)g_ptr_array_index (pairs, i))->silent = mode == MODE_SILENT;
  if (mode == MODE_SILENT)
    mode = MODE_PASS;
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
  pairs = g_ptr_array_new ();
  split_address (argv[2], ip, &port);
  uv_ip4_addr (ip, port, (struct sockaddr_in *)&target);
  split_address (argv[1], ip, &port);
  uv_ip4_addr (ip, port, &listen_address);
  uv_tcp_init (loop, &listener);
  if (uv_tcp_bind (&listener, (struct sockaddr *)&listen_address, 0) != 0
      || uv_listen ((uv_stream_t *)&listener, 64, on_connection) != 0)
    return 69;
  split_address (argv[3], ip, &port);
  if (iv_http_server_new (loop, ip, port, &limits, on_request, NULL) == NULL)
    return 69;
  uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}
