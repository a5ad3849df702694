/**
 * @file router.h
 * Assigns requests to upstream instances: queueing, load shedding, retries, hedged calls, and loans
 * of slots between entry hosts.
 *
 * The router does no I/O and reads no clock. Its user adds requests, executes the actions from
 * iv_router_next() until there are none, and reports how calls and probes ended. Times are in
 * milliseconds on one monotonic clock.
 */
#ifndef IV_ROUTER_H
#define IV_ROUTER_H

#include "budget.h"
#include "instance.h"

/** How an instance is selected. */
enum iv_router_strategy
{
  IV_ROUTER_LEAST_COST, /**< lowest iv_instance_cost() */
  IV_ROUTER_ROUND_ROBIN /**< baseline for benchmarks; may call the same instance again */
};

/** Settings of a router. */
struct iv_router_options
{
  guint rank;            /**< index of this host among the entry hosts, from 0 */
  guint hosts;           /**< number of entry hosts */
  guint queue_max;       /**< queued requests */
  gint64 retry_percent;  /**< retries and hedged calls for each 100 requests */
  gint64 eject_ms;       /**< duration of an instance's first ejection */
  gint64 slot_hold_ms;   /**< time to hold the slot of a call that was given up and may still run */
  gint64 remote_cost_ms; /**< added to the cost of instances in other failure domains */
  gint64 hedge_after_ms; /**< age at which an idempotent request is hedged; 0: never */
  enum iv_router_strategy strategy;
  gboolean unlimited_retries; /**< baseline for benchmarks: no retry budget */
  guint64 seed;               /**< of the random backoff */
};

/** An instance as given in the host list. */
struct iv_instance_info
{
  const char *name;
  const char *service;
  const char *domain;
  const char *address;
  guint slots;       /**< concurrent calls that the instance accepts from all hosts together */
  guint connections; /**< connections that it accepts from all hosts together */
  gboolean local;    /**< in this host's failure domain */
  gboolean leaving;  /**< draining: gets no new calls */
};

/** A request to route. */
struct iv_request_info
{
  guint64 id;
  const char *service;
  gint64 deadline_ms;
  guint priority;      /**< higher values are served first */
  guint64 caller;      /**< hash of the caller's identity, for fair sharing of the queue */
  gboolean idempotent; /**< may be executed more than once */
};

/** What the user of the router is to do. */
enum iv_action_kind
{
  IV_ACTION_NONE,
  IV_ACTION_CALL,   /**< send the request to the instance */
  IV_ACTION_REFUSE, /**< answer that it was not run, or may have run if may_have_run is set */
  IV_ACTION_PROBE   /**< probe the ejected instance on a new connection */
};

/** Why a request was refused. iv_refusal_name() gives the stable names. */
enum iv_refusal
{
  IV_REFUSAL_NONE,
  IV_REFUSAL_NO_INSTANCE, /**< the service has no instance that is up */
  IV_REFUSAL_EXPIRED,     /**< too little time was left when it could have been called */
  IV_REFUSAL_OVERLOAD     /**< shed: the queue is full or the deadline cannot be met */
};

/** One action. Fields that the kind does not use are zero. */
struct iv_action
{
  enum iv_action_kind kind;
  guint64 request;         /**< id, of IV_ACTION_CALL and IV_ACTION_REFUSE */
  enum iv_refusal refusal; /**< of IV_ACTION_REFUSE */
  gboolean may_have_run;   /**< of IV_ACTION_REFUSE: an earlier call may have run */
  char address[80];        /**< of IV_ACTION_CALL and IV_ACTION_PROBE */
  char instance[80];       /**< name, of IV_ACTION_CALL and IV_ACTION_PROBE */
  gint64 deadline_ms;      /**< of IV_ACTION_CALL */
  gboolean hedge; /**< of IV_ACTION_CALL: a further call while the first one is in flight */
};

/** What to do with a request after one of its calls ended. */
enum iv_route_verdict
{
  IV_ROUTE_FINAL,        /**< answer with the outcome of this call */
  IV_ROUTE_MAY_HAVE_RUN, /**< answer that it may have run: so may this or an earlier call */
  IV_ROUTE_RETRY,        /**< nothing: it was queued again */
  IV_ROUTE_WAIT          /**< nothing: another call of it is in flight */
};

/** Router of one entry host. */
struct iv_router;

/** Create a router without instances. @a options is copied. */
struct iv_router *iv_router_new (const struct iv_router_options *options);

/** Free @a router. */
void iv_router_free (struct iv_router *router);

/** Replace the list of instances by the @a count elements of @a list. Instances that are no longer
 * listed get no new calls and are removed when their calls have ended. */
void iv_router_set_instances (struct iv_router *router, const struct iv_instance_info *list,
                              guint count);

/** Add a request. Later actions call an instance for it or refuse it. */
void iv_router_add (struct iv_router *router, gint64 now_ms, const struct iv_request_info *info);

/** Next action; IV_ACTION_NONE when there is nothing to do now. */
struct iv_action iv_router_next (struct iv_router *router, gint64 now_ms);

/** Report that the call of @a request to @a instance ended, after @a elapsed_ms. Returns what to do
 * with the request; IV_ROUTE_FINAL if the router no longer knows it. */
enum iv_route_verdict iv_router_call_ended (struct iv_router *router, gint64 now_ms,
                                            guint64 request, const char *instance,
                                            enum iv_call_outcome outcome, gint64 elapsed_ms);

/** Report the result of an IV_ACTION_PROBE. */
void iv_router_probe_ended (struct iv_router *router, gint64 now_ms, const char *instance,
                            gboolean alive);

/** Report that a call of @a request stalled: an idempotent request is hedged at once. */
void iv_router_hedge_now (struct iv_router *router, gint64 now_ms, guint64 request);

/** Report the result of a probe that was sent because a call stalled, without IV_ACTION_PROBE. */
void iv_router_stall_probe_ended (struct iv_router *router, gint64 now_ms, const char *instance,
                                  gboolean alive);

/** Drop @a request, whose caller has disconnected, without a further action. */
void iv_router_cancel (struct iv_router *router, guint64 request);

/** Lend up to @a wanted free slots of @a instance to a peer until @a until_ms. Returns the number
 * lent: 0 while requests are queued or an earlier loan lasts. */
guint iv_router_lend (struct iv_router *router, gint64 now_ms, const char *instance, guint wanted,
                      gint64 until_ms);

/** Use @a slots more slots of @a instance, borrowed until @a until_ms. Count that time from before
 * the loan was requested, so that the loan never ends later here than at the lender. */
void iv_router_set_borrowed (struct iv_router *router, const char *instance, guint slots,
                             gint64 until_ms);

/** Name of the instance whose slots to borrow for the first queued request: the fastest one of its
 * service without a current loan; NULL if none. */
const char *iv_router_loan_candidate (struct iv_router *router, gint64 now_ms);

/** Number of queued requests. */
guint iv_router_queued (const struct iv_router *router);

/** Number of retries and hedged calls so far. */
guint64 iv_router_retries (const struct iv_router *router);

/** Number of listed instances of @a service that are neither leaving nor ejected. */
guint iv_router_up_count (const struct iv_router *router, const char *service);

/** Look up an instance by name; NULL if unknown. For tests and status output. */
const struct iv_instance *iv_router_instance (const struct iv_router *router, const char *name);

/** Stable name of @a refusal, such as "no_instance". */
const char *iv_refusal_name (enum iv_refusal refusal);

#endif
