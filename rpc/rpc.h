/**
 * @file rpc.h
 * ONC RPC (RFC 5531) over TCP on libuv: a server for a table of procedures, and a non-blocking
 * client. Times are in milliseconds of uv_now().
 */
#ifndef IV_RPC_H
#define IV_RPC_H

#include "batch.h"
#include "peer_xdr.h"
#include "status.h"

#include <glib.h>
#include <uv.h>

#define IV_RPC_RECORD_BYTES_MAX (6 * 1024 * 1024) /**< of a call or a reply */

/** One procedure of a service. */
struct iv_rpc_procedure
{
  guint32 number; /**< in the RPC program */
  iv_xdr_proc argument_proc;
  gsize argument_size; /**< in bytes, of the decoded type */
  iv_xdr_proc result_proc;
  gsize result_size; /**< in bytes, of the decoded type */
  /** Fills the zeroed @a result from @a argument. The server frees both, and their content, after
   * the reply. The reply to any status but IV_OK is SYSTEM_ERR. */
  enum iv_status (*handler) (void *context, const void *argument, void *result);
};

/** The service that a server provides. */
struct iv_rpc_service
{
  guint32 program;
  guint32 version;
  const struct iv_rpc_procedure *procedures;
  guint count;           /**< of procedures */
  guint connections_max; /**< further connections are closed at once */
  gint64 idle_ms;        /**< a connection without a complete record for this long is closed */
  void *context;         /**< passed to the handlers */
};

/** A listening server. */
struct iv_rpc_server;

/** Listen on @a ip and @a port. @a service must outlive the server. Returns NULL on failure, with
 * the reason in iv_last_message(). */
struct iv_rpc_server *iv_rpc_server_new (uv_loop_t *loop, const char *ip, guint16 port,
                                         const struct iv_rpc_service *service);

/** Stop listening and close all connections. The loop frees the memory later, so it must go on
 * running. */
void iv_rpc_server_close (struct iv_rpc_server *server);

/** A client of one peer. It connects at the first call, and again at the next call after a
 * disconnect. */
struct iv_rpc_client;

/** Receives the decoded result, which is freed afterwards, or NULL and the reason in @a status. */
typedef void (*iv_rpc_result_fn) (void *context, enum iv_status status, void *result);

/** Create a client of @a program in @a version at @a ip and @a port. */
struct iv_rpc_client *iv_rpc_client_new (uv_loop_t *loop, const char *ip, guint16 port,
                                         guint32 program, guint32 version);

/** Close @a client. Outstanding calls end with IV_ERR_UNAVAILABLE before this returns. The loop
 * frees the memory later, so it must go on running. */
void iv_rpc_client_close (struct iv_rpc_client *client);

/** Call @a procedure. @a done is called exactly once, after this function has returned. On IV_OK it
 * gets the result, of @a result_size bytes. IV_ERR_TIMEOUT comes at the first check after
 * @a deadline_ms (checks are 50 ms apart), and at the next check when the call is too large or 256
 * calls are outstanding. IV_ERR_UNAVAILABLE: the peer rejected the call, or the connection closed.
 * After an error the call may have run. */
void iv_rpc_call (struct iv_rpc_client *client, guint32 procedure, iv_xdr_proc argument_proc,
                  const void *argument, iv_xdr_proc result_proc, gsize result_size,
                  gint64 deadline_ms, iv_rpc_result_fn done, void *context);

#endif
