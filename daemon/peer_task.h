/**
 * @file peer_task.h
 * Membership among the entry hosts by heartbeat, relaying of "config", and queries to the owners
 * of failure domains. Nothing here is agreed: each host believes what it heard lately.
 */
#ifndef IV_PEER_TASK_H
#define IV_PEER_TASK_H

#include "app.h"
#include "peer_xdr.h"
#include "shares.h"

struct iv_peer_task *iv_peer_task_new (struct iv_app *app);

/** Domain in service with the most room, other than @a from; NULL when there is none. The text
 * lives as long as the daemon. */
const char *iv_peer_task_most_free_domain (const struct iv_peer_task *task, const char *from);

/** Domains in service with their room (GArray of struct iv_domain_room). Free with g_array_free().
 */
GArray *iv_peer_task_capacities (const struct iv_peer_task *task);

/** Answer of a query, valid during the callback; @a status is like HTTP's. */
typedef void (*iv_query_result_fn) (void *context, int status, const char *body, gsize len);

/** Ask the owner of @a domain for @a what. */
void iv_peer_task_query_domain (struct iv_peer_task *task, const char *domain, const char *what,
                                iv_query_result_fn done, void *context);

/** Ask the member @a host for @a what. */
void iv_peer_task_query_host (struct iv_peer_task *task, const char *host, const char *what,
                              iv_query_result_fn done, void *context);

/** Ask some peer for a loan of a slot of @a instance. */
void iv_peer_task_borrow_slot (struct iv_peer_task *task, const char *instance);

/** What this host knows of each member: JSON array. Free with free(). */
char *iv_peer_task_members (const struct iv_peer_task *task);

#endif
