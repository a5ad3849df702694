#include "rpc.h"

#include "frame.h"

#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <string.h>

#define READ_BUFFER_BYTES 65536
#define SWEEP_INTERVAL_MS 50
#define CONNECT_TIMEOUT_MS 1000
#define OUTSTANDING_CALLS_MAX 256

struct call
{
  guint32 xid;
  GByteArray *bytes; /* encoded record; NULL once handed to uv_write() */
  iv_xdr_proc result_proc;
  gsize result_size;
  gint64 deadline_ms;
  iv_rpc_result_fn done;
  void *context;
};

/* Separate from the client, because the client may open a new connection before libuv has closed
   the handle of the old one. */
struct connection
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  struct iv_rpc_client *client; /* NULL once it was dropped */
  struct iv_frame_reader reader;
  gboolean ready;
  gint64 connect_deadline_ms;
};

struct iv_rpc_client
{
  uv_loop_t *loop;
  uv_timer_t sweep;
  struct sockaddr_storage address;
  guint32 program;
  guint32 version;
  guint32 next_xid;
  struct connection *connection;
  GPtrArray *calls; /* of struct call, oldest first */
  gboolean closing;
};

struct sent
{
  uv_write_t write;
  GByteArray *bytes;
};

static char read_buffer[READ_BUFFER_BYTES];

static void
end_call (struct call *call, enum iv_status status, void *result)
{
  call->done (call->context, status, result);
  if (call->bytes)
    g_byte_array_free (call->bytes, TRUE);
  g_free (call);
}

static void
on_connection_closed (uv_handle_t *handle)
{
  struct connection *connection = handle->data;
  iv_frame_reader_clear (&connection->reader);
  g_free (connection);
}

static void
drop_connection (struct iv_rpc_client *client)
{
  struct connection *connection = client->connection;
  if (connection == NULL)
    return;
  client->connection = NULL;
  connection->client = NULL;
  uv_close ((uv_handle_t *)&connection->tcp, on_connection_closed);
}

/* Ends all outstanding calls after a disconnect: no reply can arrive any more. Calls that were
   already sent may have run. */
static void
fail_all_calls (struct iv_rpc_client *client, enum iv_status status)
{
  GPtrArray *calls = client->calls;
  client->calls = g_ptr_array_new ();
  for (guint i = 0; i < calls->len; i++)
    end_call (g_ptr_array_index (calls, i), status, NULL);
  g_ptr_array_free (calls, TRUE);
}

static void
disconnect (struct iv_rpc_client *client)
{
  drop_connection (client);
  iv_fail (IV_ERR_UNAVAILABLE, "RPC connection to the peer was closed");
  fail_all_calls (client, IV_ERR_UNAVAILABLE);
}

static struct call *
take_call (struct iv_rpc_client *client, guint32 xid)
{
  for (guint i = 0; i < client->calls->len; i++)
    {
      struct call *call = g_ptr_array_index (client->calls, i);
      if (call->xid == xid)
        return g_ptr_array_remove_index (client->calls, i);
    }
  return NULL;
}

static gboolean
on_record (void *context, const guint8 *bytes, gsize len)
{
  struct connection *connection = context;
  struct rpc_msg message = { 0 };
  struct call *call;
  iv_xdr_proc result_proc;
  gpointer result;
  XDR xdr;
  gboolean ok;
  guint32 xid;
  if (len < 4)
    return TRUE;
  xid = (guint32)bytes[0] << 24 | (guint32)bytes[1] << 16 | (guint32)bytes[2] << 8 | bytes[3];
  call = take_call (connection->client, xid);
  if (call == NULL)
    return TRUE;
  result_proc = call->result_proc;
  result = g_malloc0 (call->result_size + 1);
  message.acpted_rply.ar_verf = _null_auth;
  message.acpted_rply.ar_results.where = result;
  message.acpted_rply.ar_results.proc = (xdrproc_t)result_proc;
  xdrmem_create (&xdr, (char *)bytes, (u_int)len, XDR_DECODE);
  ok = xdr_replymsg (&xdr, &message) && message.rm_reply.rp_stat == MSG_ACCEPTED
       && message.acpted_rply.ar_stat == SUCCESS;
  xdr_destroy (&xdr);
  if (message.rm_reply.rp_stat == MSG_ACCEPTED && message.acpted_rply.ar_verf.oa_base)
    free (message.acpted_rply.ar_verf.oa_base);
  if (ok)
    end_call (call, IV_OK, result);
  else
    end_call (
        call,
        iv_fail (IV_ERR_UNAVAILABLE, "RPC call was rejected by the peer or its reply is malformed"),
        NULL);
  xdr_free ((xdrproc_t)result_proc, result);
  g_free (result);
  return connection->client != NULL;
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
  if (connection->client == NULL)
    return;
  if (count < 0
      || iv_frame_reader_push (&connection->reader, buffer->base, (gsize)count, on_record,
                               connection)
             != IV_OK)
    if (connection->client)
      disconnect (connection->client);
}

static void
on_sent (uv_write_t *write, int status)
{
  struct sent *sent = (struct sent *)write;
  g_byte_array_free (sent->bytes, TRUE);
  g_free (sent);
}

static void
send_pending (struct iv_rpc_client *client)
{
  for (guint i = 0; i < client->calls->len; i++)
    {
      struct call *call = g_ptr_array_index (client->calls, i);
      struct sent *sent;
      uv_buf_t buffer;
      if (call->bytes == NULL)
        continue;
      sent = g_new0 (struct sent, 1);
      sent->bytes = call->bytes;
      call->bytes = NULL;
      buffer = uv_buf_init ((char *)sent->bytes->data, sent->bytes->len);
      if (uv_write (&sent->write, (uv_stream_t *)&client->connection->tcp, &buffer, 1, on_sent)
          != 0)
        {
          g_byte_array_free (sent->bytes, TRUE);
          g_free (sent);
        }
    }
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct connection *connection = connect->data;
  if (connection->client == NULL)
    return;
  if (status < 0)
    {
      disconnect (connection->client);
      return;
    }
  connection->ready = TRUE;
  uv_tcp_nodelay (&connection->tcp, 1);
  uv_read_start ((uv_stream_t *)&connection->tcp, on_allocate, on_read);
  send_pending (connection->client);
}

static void
open_connection (struct iv_rpc_client *client)
{
  struct connection *connection = g_new0 (struct connection, 1);
  client->connection = connection;
  connection->client = client;
  connection->connect.data = connection;
  connection->connect_deadline_ms = (gint64)uv_now (client->loop) + CONNECT_TIMEOUT_MS;
  iv_frame_reader_init (&connection->reader, IV_RPC_RECORD_BYTES_MAX);
  uv_tcp_init (client->loop, &connection->tcp);
  connection->tcp.data = connection;
  /* If connecting fails at once, the calls are left to on_sweep(): a call must not end before
     iv_rpc_call() has returned. */
  if (uv_tcp_connect (&connection->connect, &connection->tcp, (struct sockaddr *)&client->address,
                      on_connected)
      != 0)
    drop_connection (client);
}

static void
on_sweep (uv_timer_t *timer)
{
  struct iv_rpc_client *client = timer->data;
  gint64 now = (gint64)uv_now (client->loop);
  gboolean timed_out = FALSE;
  for (guint i = 0; i < client->calls->len;)
    {
      struct call *call = g_ptr_array_index (client->calls, i);
      if (now < call->deadline_ms)
        {
          i++;
          continue;
        }
      timed_out |= call->bytes == NULL;
      g_ptr_array_remove_index (client->calls, i);
      end_call (call, iv_fail (IV_ERR_TIMEOUT, "RPC call timed out waiting for the peer"), NULL);
    }
  /* A timeout does not show that the peer is down, but a new connection may work where this one
     does not. */
  if (timed_out
      || (client->connection && !client->connection->ready
          && now >= client->connection->connect_deadline_ms))
    disconnect (client);
}

static void
on_client_closed (uv_handle_t *handle)
{
  struct iv_rpc_client *client = handle->data;
  g_ptr_array_free (client->calls, TRUE);
  g_free (client);
}

struct iv_rpc_client *
iv_rpc_client_new (uv_loop_t *loop, const char *ip, guint16 port, guint32 program, guint32 version)
{
  struct iv_rpc_client *client = g_new0 (struct iv_rpc_client, 1);
  client->loop = loop;
  client->program = program;
  client->version = version;
  client->next_xid = g_random_int ();
  client->calls = g_ptr_array_new ();
  if (uv_ip4_addr (ip, port, (struct sockaddr_in *)&client->address) != 0)
    uv_ip6_addr (ip, port, (struct sockaddr_in6 *)&client->address);
  uv_timer_init (loop, &client->sweep);
  client->sweep.data = client;
  uv_timer_start (&client->sweep, on_sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS);
  return client;
}

void
iv_rpc_client_close (struct iv_rpc_client *client)
{
  if (client == NULL || client->closing)
    return;
  client->closing = TRUE;
  disconnect (client);
  uv_close ((uv_handle_t *)&client->sweep, on_client_closed);
}

static GByteArray *
encode_call (const struct iv_rpc_client *client, guint32 xid, guint32 procedure,
             iv_xdr_proc argument_proc, const void *argument)
{
  struct rpc_msg message = { 0 };
  GByteArray *head, *body;
  guint8 header[IV_FRAME_HEADER_BYTES];
  message.rm_xid = xid;
  message.rm_direction = CALL;
  message.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  message.rm_call.cb_prog = client->program;
  message.rm_call.cb_vers = client->version;
  message.rm_call.cb_proc = procedure;
  message.rm_call.cb_cred = message.rm_call.cb_verf = _null_auth;
  body = iv_xdr_encode (argument_proc, argument, IV_RPC_RECORD_BYTES_MAX);
  if (body == NULL)
    return NULL;
  head = iv_xdr_encode ((iv_xdr_proc)xdr_callmsg, &message, IV_RPC_RECORD_BYTES_MAX);
  g_byte_array_append (head, body->data, body->len);
  g_byte_array_free (body, TRUE);
  iv_frame_write_header (header, head->len);
  return g_byte_array_prepend (head, header, sizeof header);
}

void
iv_rpc_call (struct iv_rpc_client *client, guint32 procedure, iv_xdr_proc argument_proc,
             const void *argument, iv_xdr_proc result_proc, gsize result_size, gint64 deadline_ms,
             iv_rpc_result_fn done, void *context)
{
  struct call *call = g_new0 (struct call, 1);
  call->xid = client->next_xid++;
  call->bytes = encode_call (client, call->xid, procedure, argument_proc, argument);
  call->result_proc = result_proc;
  call->result_size = result_size;
  call->deadline_ms = call->bytes && client->calls->len < OUTSTANDING_CALLS_MAX ? deadline_ms : 0;
  call->done = done;
  call->context = context;
  g_ptr_array_add (client->calls, call);
  if (call->deadline_ms == 0)
    return;
  if (client->connection == NULL)
    open_connection (client);
  else if (client->connection->ready)
    send_pending (client);
}
