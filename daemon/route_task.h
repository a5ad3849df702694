/**
 * @file route_task.h
 * Callers' requests: taken over HTTP, routed to an instance, and answered whole or truthfully.
 */
#ifndef IV_ROUTE_TASK_H
#define IV_ROUTE_TASK_H

#include "app.h"
#include "keys.h"
#include "router.h"

/** Start listening; NULL with a last message on failure. */
struct iv_route_task *iv_route_task_new (struct iv_app *app);

/** Stop taking requests; those in progress go on. */
void iv_route_task_stop (struct iv_route_task *task);

/** Requests not answered yet. */
guint iv_route_task_pending (const struct iv_route_task *task);

/** Lend idle slots to a peer for @a valid_ms; returns how many. */
guint iv_route_task_lend (struct iv_route_task *task, const char *instance, guint slots,
                          gint64 valid_ms);

/** Use a peer's loan until @a until_ms. */
void iv_route_task_set_borrowed (struct iv_route_task *task, const char *instance, guint slots,
                                 gint64 until_ms);

/** The router, read only. */
const struct iv_router *iv_route_task_router (const struct iv_route_task *task);

/** Answer that this host gave or will give for a key: 200 with status line, headers and body, 202
 * while it runs, 404 when it is not known here. */
int iv_route_task_key_response (struct iv_route_task *task, const char *key_text, GByteArray *body);

#endif
