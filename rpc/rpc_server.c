#include "rpc.h"

#include "frame.h"

#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <stdlib.h>
#include <string.h>

#define LISTEN_BACKLOG 64
#define SWEEP_INTERVAL_MS 500
#define READ_BUFFER_BYTES 65536

struct connection
{
  uv_tcp_t tcp;
  struct iv_rpc_server *server;
  struct iv_frame_reader reader;
  gint64 idle_deadline_ms;
  gboolean closing;
};

struct iv_rpc_server
{
  uv_tcp_t listener;
  uv_timer_t sweep;
  const struct iv_rpc_service *service;
  GPtrArray *connections;
  guint open_handles; /* of listener and sweep timer, those not yet closed */
  gboolean closing;
};

struct reply
{
  uv_write_t write;
  GByteArray *bytes;
};

static char read_buffer[READ_BUFFER_BYTES];

static void
free_if_closed (struct iv_rpc_server *server)
{
  if (!server->closing || server->open_handles > 0 || server->connections->len > 0)
    return;
  g_ptr_array_free (server->connections, TRUE);
  g_free (server);
}

static void
on_connection_closed (uv_handle_t *handle)
{
  struct connection *connection = handle->data;
  struct iv_rpc_server *server = connection->server;
  g_ptr_array_remove_fast (server->connections, connection);
  iv_frame_reader_clear (&connection->reader);
  g_free (connection);
  free_if_closed (server);
}

static void
close_connection (struct connection *connection)
{
  if (connection->closing)
    return;
  connection->closing = TRUE;
  uv_close ((uv_handle_t *)&connection->tcp, on_connection_closed);
}

static void
on_written (uv_write_t *write, int status)
{
  struct reply *reply = (struct reply *)write;
  if (status < 0 && write->handle)
    close_connection (write->handle->data);
  g_byte_array_free (reply->bytes, TRUE);
  g_free (reply);
}

static void
send_reply (struct connection *connection, struct rpc_msg *message)
{
  GByteArray *body = iv_xdr_encode ((iv_xdr_proc)xdr_replymsg, message, IV_RPC_RECORD_BYTES_MAX);
  struct reply *reply;
  uv_buf_t buffer;
  guint8 header[IV_FRAME_HEADER_BYTES];
  if (body == NULL)
    {
      close_connection (connection);
      return;
    }
  iv_frame_write_header (header, body->len);
  g_byte_array_prepend (body, header, sizeof header);
  reply = g_new0 (struct reply, 1);
  reply->bytes = body;
  buffer = uv_buf_init ((char *)body->data, body->len);
  if (uv_write (&reply->write, (uv_stream_t *)&connection->tcp, &buffer, 1, on_written) != 0)
    {
      g_byte_array_free (body, TRUE);
      g_free (reply);
      close_connection (connection);
    }
}

static bool_t
encode_void (XDR *xdr, void *object)
{
  return TRUE;
}

static struct rpc_msg
new_reply (guint32 xid, enum accept_stat stat)
{
  struct rpc_msg message = { 0 };
  message.rm_xid = xid;
  message.rm_direction = REPLY;
  message.rm_reply.rp_stat = MSG_ACCEPTED;
  message.acpted_rply.ar_verf = _null_auth;
  message.acpted_rply.ar_stat = stat;
  message.acpted_rply.ar_results.proc = (xdrproc_t)encode_void;
  return message;
}

static const struct iv_rpc_procedure *
find_procedure (const struct iv_rpc_service *service, guint32 number)
{
  for (guint i = 0; i < service->count; i++)
    if (service->procedures[i].number == number)
      return &service->procedures[i];
  return NULL;
}

static void
execute_procedure (struct connection *connection, const struct iv_rpc_procedure *procedure,
                   guint32 xid, XDR *xdr)
{
  gpointer argument = g_malloc0 (procedure->argument_size + 1);
  gpointer result = g_malloc0 (procedure->result_size + 1);
  struct rpc_msg message = new_reply (xid, GARBAGE_ARGS);
  if (procedure->argument_proc (xdr, argument))
    {
      const struct iv_rpc_service *service = connection->server->service;
      enum iv_status status = procedure->handler (service->context, argument, result);
      message.acpted_rply.ar_stat = status == IV_OK ? SUCCESS : SYSTEM_ERR;
      message.acpted_rply.ar_results.where = result;
      message.acpted_rply.ar_results.proc = (xdrproc_t)procedure->result_proc;
    }
  send_reply (connection, &message);
  xdr_free ((xdrproc_t)procedure->argument_proc, argument);
  xdr_free ((xdrproc_t)procedure->result_proc, result);
  g_free (argument);
  g_free (result);
}

static void
dispatch_call (struct connection *connection, const struct rpc_msg *call, XDR *xdr)
{
  const struct iv_rpc_service *service = connection->server->service;
  const struct iv_rpc_procedure *procedure = find_procedure (service, call->rm_call.cb_proc);
  struct rpc_msg message;
  if (call->rm_call.cb_prog != service->program)
    message = new_reply (call->rm_xid, PROG_UNAVAIL);
  else if (call->rm_call.cb_vers != service->version)
    {
      message = new_reply (call->rm_xid, PROG_MISMATCH);
      message.acpted_rply.ar_vers.low = message.acpted_rply.ar_vers.high = service->version;
    }
  else if (procedure == NULL)
    message = new_reply (call->rm_xid, PROC_UNAVAIL);
  else
    {
      execute_procedure (connection, procedure, call->rm_xid, xdr);
      return;
    }
  send_reply (connection, &message);
}

static gboolean
on_record (void *context, const guint8 *bytes, gsize len)
{
  struct connection *connection = context;
  struct rpc_msg call = { 0 };
  char credentials[2 * MAX_AUTH_BYTES];
  XDR xdr;
  gboolean ok;
  call.rm_call.cb_cred.oa_base = credentials;
  call.rm_call.cb_verf.oa_base = credentials + MAX_AUTH_BYTES;
  xdrmem_create (&xdr, (char *)bytes, (u_int)len, XDR_DECODE);
  ok = xdr_callmsg (&xdr, &call);
  if (ok)
    dispatch_call (connection, &call, &xdr);
  else
    close_connection (connection);
  xdr_destroy (&xdr);
  connection->idle_deadline_ms
      = (gint64)uv_now (connection->tcp.loop) + connection->server->service->idle_ms;
  return ok && !connection->closing;
}

static void
on_allocate (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  *buffer = uv_buf_init (read_buffer, sizeof read_buffer);
}

static void
on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  struct connection *connection = stream->data;
  if (count < 0
      || iv_frame_reader_push (&connection->reader, buffer->base, (gsize)count, on_record,
                               connection)
             != IV_OK)
    close_connection (connection);
}

static void
on_connection (uv_stream_t *stream, int status)
{
  struct iv_rpc_server *server = stream->data;
  struct connection *connection;
  if (status < 0)
    return;
  connection = g_new0 (struct connection, 1);
  connection->server = server;
  connection->idle_deadline_ms = (gint64)uv_now (stream->loop) + server->service->idle_ms;
  iv_frame_reader_init (&connection->reader, IV_RPC_RECORD_BYTES_MAX);
  uv_tcp_init (stream->loop, &connection->tcp);
  connection->tcp.data = connection;
  g_ptr_array_add (server->connections, connection);
  if (uv_accept (stream, (uv_stream_t *)&connection->tcp) != 0
      || server->connections->len > server->service->connections_max)
    {
      close_connection (connection);
      return;
    }
  uv_tcp_nodelay (&connection->tcp, 1);
  uv_read_start ((uv_stream_t *)&connection->tcp, on_allocate, on_read);
}

static void
on_sweep (uv_timer_t *timer)
{
  struct iv_rpc_server *server = timer->data;
  for (guint i = 0; i < server->connections->len; i++)
    {
      struct connection *connection = g_ptr_array_index (server->connections, i);
      if ((gint64)uv_now (timer->loop) >= connection->idle_deadline_ms)
        close_connection (connection);
    }
}

static void
on_handle_closed (uv_handle_t *handle)
{
  struct iv_rpc_server *server = handle->data;
  server->open_handles--;
  free_if_closed (server);
}

struct iv_rpc_server *
iv_rpc_server_new (uv_loop_t *loop, const char *ip, guint16 port,
                   const struct iv_rpc_service *service)
{
  struct iv_rpc_server *server = g_new0 (struct iv_rpc_server, 1);
  struct sockaddr_storage address;
  int error;
  server->service = service;
  server->connections = g_ptr_array_new ();
  server->open_handles = 2;
  uv_tcp_init (loop, &server->listener);
  uv_timer_init (loop, &server->sweep);
  server->listener.data = server->sweep.data = server;
  if (uv_ip4_addr (ip, port, (struct sockaddr_in *)&address) != 0)
    uv_ip6_addr (ip, port, (struct sockaddr_in6 *)&address);
  error = uv_tcp_bind (&server->listener, (struct sockaddr *)&address, 0);
  if (error == 0)
    error = uv_listen ((uv_stream_t *)&server->listener, LISTEN_BACKLOG, on_connection);
  if (error != 0)
    {
      iv_fail (IV_ERR_UNAVAILABLE, "cannot listen on %s:%u: %s", ip, port, uv_strerror (error));
      iv_rpc_server_close (server);
      return NULL;
    }
  uv_timer_start (&server->sweep, on_sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS);
  return server;
}

void
iv_rpc_server_close (struct iv_rpc_server *server)
{
  if (server == NULL || server->closing)
    return;
  server->closing = TRUE;
  uv_close ((uv_handle_t *)&server->listener, on_handle_closed);
  uv_close ((uv_handle_t *)&server->sweep, on_handle_closed);
  for (guint i = 0; i < server->connections->len; i++)
    close_connection (g_ptr_array_index (server->connections, i));
}
