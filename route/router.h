/**
 * @file router.h
 * Which request goes to which instance, and when: queues, shares, shedding, retries and hedging.
 *
 * The router does no I/O and reads no clock. Its caller adds requests, takes actions from
 * iv_router_next() until there is none, and reports how calls ended.
 */
#ifndef IV_ROUTER_H
#define IV_ROUTER_H

#include "budget.h"
#include "instance.h"

/** Baselines beside the product's own choice. */
enum iv_router_strategy
{
  IV_ROUTER_LEAST_COST,
  IV_ROUTER_ROUND_ROBIN
};

/** Tunables. */
struct iv_router_options
{
  guint rank;  /**< of this host among the members, and */
  guint hosts; /**< their number */
  guint queue_max;
  gint64 retry_percent;
  gint64 eject_ms;
  gint64 slot_hold_ms; /**< a slot is held this long after a call was given up */
  gint64 remote_cost_ms;
  gint64 hedge_after_ms; /**< 0: never */
  enum iv_router_strategy strategy;
  gboolean unlimited_retries; /**< baseline */
  guint64 seed;
};

/** An instance as the host list names it. */
struct iv_instance_info
{
  const char *name;
  const char *service;
  const char *domain;
  const char *address;
  guint slots;
  guint connections;
  gboolean local;
  gboolean leaving;
};

/** A request to route. */
struct iv_request_info
{
  guint64 id;
  const char *service;
  gint64 deadline_ms;
  guint priority;
  guint64 caller;      /**< hash of who asks, for fair shares */
  gboolean idempotent; /**< it may run more than once */
};

/** What the caller of the router is to do. */
enum iv_action_kind
{
  IV_ACTION_NONE,
  IV_ACTION_CALL,   /**< hand the request to the instance */
  IV_ACTION_REFUSE, /**< answer that it was not run, or may have run when that is set */
  IV_ACTION_PROBE   /**< ask the instance on a new connection whether it lives */
};

/** Why a request was refused; each has a stable name. */
enum iv_refusal
{
  IV_REFUSAL_NONE,
  IV_REFUSAL_NO_INSTANCE, /**< the service has no instance that is up */
  IV_REFUSAL_EXPIRED,     /**< its deadline passed in the queue */
  IV_REFUSAL_OVERLOAD     /**< it could not have been answered in time */
};

struct iv_action
{
  enum iv_action_kind kind;
  guint64 request;
  enum iv_refusal refusal;
  gboolean may_have_run; /**< of a refusal: an earlier call was handed over */
  char address[80];
  char instance[80];
  gint64 deadline_ms;
  gboolean hedge; /**< a second call of the same request */
};

/** What becomes of a request whose call ended. */
enum iv_route_verdict
{
  IV_ROUTE_FINAL,        /**< answer with this outcome */
  IV_ROUTE_MAY_HAVE_RUN, /**< answer that it may have run: an earlier call was handed over */
  IV_ROUTE_RETRY,        /**< it was queued again */
  IV_ROUTE_WAIT          /**< another call of the same request is under way */
};

/** The router. */
struct iv_router;

struct iv_router *iv_router_new (const struct iv_router_options *options);
void iv_router_free (struct iv_router *router);

/** Take a host list (an array of @a count). Instances that are no longer named get nothing new. */
void iv_router_set_instances (struct iv_router *router, const struct iv_instance_info *list,
                              guint count);

/** Add a request. It is answered by a later action. */
void iv_router_add (struct iv_router *router, gint64 now_ms, const struct iv_request_info *info);

/** Next thing to do; IV_ACTION_NONE when there is nothing now. */
struct iv_action iv_router_next (struct iv_router *router, gint64 now_ms);

/** A call ended. */
enum iv_route_verdict iv_router_call_ended (struct iv_router *router, gint64 now_ms,
                                            guint64 request, const char *instance,
                                            enum iv_call_outcome outcome, gint64 elapsed_ms);

/** A probe ended. */
void iv_router_probe_ended (struct iv_router *router, gint64 now_ms, const char *instance,
                            gboolean alive);

/** A call has made no progress: a second one may go elsewhere when the request is idempotent. */
void iv_router_hedge_now (struct iv_router *router, gint64 now_ms, guint64 request);

/** A probe of an instance that is not ejected, sent because a call made no progress, ended. */
void iv_router_stall_probe_ended (struct iv_router *router, gint64 now_ms, const char *instance,
                                  gboolean alive);

/** The caller of @a request is gone; a queued one is dropped without an action. */
void iv_router_cancel (struct iv_router *router, guint64 request);

/** Lend up to @a wanted idle slots of @a instance until @a until_ms; returns how many. */
guint iv_router_lend (struct iv_router *router, gint64 now_ms, const char *instance, guint wanted,
                      gint64 until_ms);

/** Use @a slots more of @a instance until @a until_ms, a deadline counted from before they were
 * asked for. */
void iv_router_set_borrowed (struct iv_router *router, const char *instance, guint slots,
                             gint64 until_ms);

/** Instance whose share is used up while requests wait, so that a loan would help; NULL if none. */
const char *iv_router_loan_candidate (struct iv_router *router, gint64 now_ms);

/** Numbers for counters. */
guint iv_router_queued (const struct iv_router *router);
guint64 iv_router_retries (const struct iv_router *router);
guint iv_router_up_count (const struct iv_router *router, const char *service);

/** Look up an instance; for tests and status pages. */
const struct iv_instance *iv_router_instance (const struct iv_router *router, const char *name);

/** Stable name of a refusal. */
const char *iv_refusal_name (enum iv_refusal refusal);

#endif
