/**
 * @file route_task.h
 * Receives the requests of callers over HTTP, routes each to an upstream instance, and answers with
 * the complete response of the upstream or with whether the request may have run.
 */
#ifndef IV_ROUTE_TASK_H
#define IV_ROUTE_TASK_H

#include "app.h"
#include "keys.h"
#include "router.h"

/** Start listening for callers. Returns NULL on failure, with a message in iv_last_message(). */
struct iv_route_task *iv_route_task_new (struct iv_app *app);

/** Stop accepting requests. Requests in progress continue. */
void iv_route_task_stop (struct iv_route_task *task);

/** Number of requests that have not been answered. */
guint iv_route_task_pending (const struct iv_route_task *task);

/** Lend up to @a slots free slots of @a instance to a peer, for @a valid_ms on the clock of the
 * peer. Returns the number lent. */
guint iv_route_task_lend (struct iv_route_task *task, const char *instance, guint slots,
                          gint64 valid_ms);

/** Use @a slots slots of @a instance that a peer has lent, until @a until_ms of the event loop. */
void iv_route_task_set_borrowed (struct iv_route_task *task, const char *instance, guint slots,
                                 gint64 until_ms);

/** Router of this host, for status output. */
const struct iv_router *iv_route_task_router (const struct iv_route_task *task);

/** Look up the response to the key @a key_text, 32 hexadecimal digits. Returns an HTTP status: 200
 * with the response, encoded by iv_cached_response_encode(), appended to @a body; 202 while the
 * request is running; 404 when the key is malformed or not known to this host. */
int iv_route_task_key_response (struct iv_route_task *task, const char *key_text, GByteArray *body);

#endif
