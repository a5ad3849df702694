/**
 * @file advice.h
 * Tickets of an advice service: on some queues only it knows which workers may run a step.
 *
 * One question at a time is on its way; each names the workers with the most room that were not
 * asked about yet. Whether a worker may run a step never changes; a ticket is valid for a while and
 * for one life of the worker.
 */
#ifndef IV_ADVICE_H
#define IV_ADVICE_H

#include "owner_private.h"

/** What is known about one stage; NULL until something is asked. */
struct iv_advice;

void iv_advice_free (struct iv_advice *advice);

/** The ticket for @a worker that will be valid for a while yet; NULL when there is none. */
const char *iv_advice_ticket (const struct iv_advice *advice, const struct iv_fleet_worker *worker,
                              gint64 now_ms);

/** Whether @a worker is known not to be allowed. */
gboolean iv_advice_refused (const struct iv_advice *advice, const struct iv_fleet_worker *worker);

/** A start on @a worker was rejected for want of a ticket. */
void iv_advice_forget (struct iv_advice *advice, const struct iv_fleet_worker *worker);

/** Ask for the stage of @a view unless a question is on its way or tickets are at hand. */
void iv_advice_ask (struct iv_owner *owner, const struct iv_placement_view *view,
                    struct iv_stage *stage);

#endif
