/**
 * @file rpc.h
 * ONC RPC (RFC 5531) over TCP on libuv: a server for a table of procedures and a client that never
 * blocks.
 */
#ifndef IV_RPC_H
#define IV_RPC_H

#include "batch.h"
#include "peer_xdr.h"
#include "status.h"

#include <glib.h>
#include <uv.h>

#define IV_RPC_RECORD_BYTES_MAX (6 * 1024 * 1024)

/** One procedure. */
struct iv_rpc_procedure
{
  guint32 number;
  iv_xdr_proc argument_proc;
  gsize argument_size;
  iv_xdr_proc result_proc;
  gsize result_size;
  /** Fills @a result, of the procedure's result type, from @a argument. Both are freed afterwards.
   *  Anything but IV_OK is answered with SYSTEM_ERR. */
  enum iv_status (*handler) (void *context, const void *argument, void *result);
};

/** What a server offers. */
struct iv_rpc_service
{
  guint32 program;
  guint32 version;
  const struct iv_rpc_procedure *procedures;
  guint count;
  guint connections_max;
  gint64 idle_ms; /**< a connection without a whole record for this long is closed */
  void *context;
};

/** A listening server. */
struct iv_rpc_server;

/** Listen on @a ip and @a port. The service is borrowed. NULL with a last message on failure. */
struct iv_rpc_server *iv_rpc_server_new (uv_loop_t *loop, const char *ip, guint16 port,
                                         const struct iv_rpc_service *service);

/** Close all connections and stop listening. The memory is freed by the loop afterwards. */
void iv_rpc_server_close (struct iv_rpc_server *server);

/** A connection to one peer; it is opened when needed and again after it broke. */
struct iv_rpc_client;

/** Receives the decoded result, which is freed afterwards, or NULL with the reason. */
typedef void (*iv_rpc_result_fn) (void *context, enum iv_status status, void *result);

/** Create a client for one address. */
struct iv_rpc_client *iv_rpc_client_new (uv_loop_t *loop, const char *ip, guint16 port,
                                         guint32 program, guint32 version);

/** Close; outstanding calls end with IV_ERR_UNAVAILABLE. */
void iv_rpc_client_close (struct iv_rpc_client *client);

/** Call a procedure. @a done is called exactly once, not before this returns, and at @a deadline_ms
 *  (uv_now() time) at the latest. */
void iv_rpc_call (struct iv_rpc_client *client, guint32 procedure, iv_xdr_proc argument_proc,
                  const void *argument, iv_xdr_proc result_proc, gsize result_size,
                  gint64 deadline_ms, iv_rpc_result_fn done, void *context);

#endif
