/**
 * @file peer_task.h
 * Membership of the entry hosts by heartbeats, relaying of the stream "config", queries to the
 * owners of failure domains, and loans of slots. Membership is not agreed upon: each host relies on
 * the heartbeats that it received most recently.
 */
#ifndef IV_PEER_TASK_H
#define IV_PEER_TASK_H

#include "app.h"
#include "peer_xdr.h"
#include "shares.h"

/** Start listening for peers and sending heartbeats. Returns NULL on failure, with a message in
 * iv_last_message(). */
struct iv_peer_task *iv_peer_task_new (struct iv_app *app);

/** Name of the failure domain in service with the most free capacity, other than @a from; NULL if
 * there is none. Valid as long as the daemon runs. */
const char *iv_peer_task_most_free_domain (const struct iv_peer_task *task, const char *from);

/** Free capacity of the failure domains in service, a GArray of struct iv_domain_capacity. Free
 * with g_array_free(). */
GArray *iv_peer_task_capacities (const struct iv_peer_task *task);

/** Receives the reply to a query. @a status is an HTTP status, 503 if the peer did not reply.
 *  @a body is valid during the callback. */
typedef void (*iv_query_result_fn) (void *context, int status, const char *body, gsize len);

/** Query the owner of @a domain for @a path, as iv_operator_local_query() takes it. @a done is
 * called exactly once, possibly before this function returns. */
void iv_peer_task_query_domain (struct iv_peer_task *task, const char *domain, const char *path,
                                iv_query_result_fn done, void *context);

/** Query the entry host @a host for @a path. @a done is called as for a domain. */
void iv_peer_task_query_host (struct iv_peer_task *task, const char *host, const char *path,
                              iv_query_result_fn done, void *context);

/** Request a loan of one slot of @a instance from the next peer that is alive. Does nothing while a
 * request is in flight. */
void iv_peer_task_borrow_slot (struct iv_peer_task *task, const char *instance);

/** What this host knows of its peers, as a JSON array. Free with free(). */
char *iv_peer_task_members (const struct iv_peer_task *task);

#endif
