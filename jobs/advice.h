/**
 * @file advice.h
 * Tickets of the advice service: for some queues, only it knows which workers may run a step.
 *
 * At most one query is outstanding. Each names the workers with the most free cores for which no
 * reply is known. Whether a worker may run a step never changes; a ticket is valid for a limited
 * time and for one instance of the worker.
 */
#ifndef IV_ADVICE_H
#define IV_ADVICE_H

#include "owner_private.h"

/** Replies known for one stage; NULL before the first one. Functions accept NULL. */
struct iv_advice;

void iv_advice_free (struct iv_advice *advice);

/** A ticket for @a worker that stays valid long enough for a start; NULL: there is none. */
const char *iv_advice_ticket (const struct iv_advice *advice, const struct iv_fleet_worker *worker,
                              gint64 now_ms);

/** Whether the service is known not to allow @a worker. */
gboolean iv_advice_is_denied (const struct iv_advice *advice, const struct iv_fleet_worker *worker);

/** Invalidate the ticket of @a worker after it refused a start for lack of a valid ticket. */
void iv_advice_invalidate (struct iv_advice *advice, const struct iv_fleet_worker *worker);

/** Query the service for the stage of @a query, unless a query is outstanding or a feasible worker
 *  has a ticket. */
void iv_advice_send_query (struct iv_owner *owner, const struct iv_placement_query *query,
                           struct iv_stage *stage);

#endif
