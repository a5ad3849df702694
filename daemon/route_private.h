/**
 * @file route_private.h
 * Internal declarations of the route task, shared by its source files.
 */
#ifndef IV_ROUTE_PRIVATE_H
#define IV_ROUTE_PRIVATE_H

#include "counter.h"
#include "route_answer.h"
#include "route_task.h"
#include "span.h"

/** State of the route task. */
struct iv_route_task
{
  struct iv_app *app;
  struct iv_http_server *server;
  struct iv_router *router;
  struct iv_response_cache *response_cache; /**< responses to keyed requests */
  struct iv_deadline tick;
  guint64 last_id;          /**< id of the most recent request */
  GHashTable *requests;     /**< id to struct iv_route_request */
  GHashTable *key_requests; /**< key to the struct iv_route_request that claims or runs it here */
  struct iv_counter *requests_received, *results, *not_run, *may_have_run, *hedges, *probes;
};

/** One caller's request. It is freed once it has been answered and its calls have ended. */
struct iv_route_request
{
  struct iv_route_task *task;
  guint64 id;
  struct iv_http_request *http; /**< NULL once answered */
  char *service;
  const char *target;  /**< rest of the path after the service, a pointer into the path of `http` */
  gboolean idempotent; /**< may be executed more than once, by its method or its service */
  gboolean keyed;      /**< has an idempotency key and is not idempotent itself */
  struct iv_key key;
  GPtrArray *duplicates; /**< of struct iv_route_request: requests with the same key */
  gint64 deadline_ms;
  guint calls_in_flight;
  struct iv_span span;
  struct iv_deadline owner_poll; /**< next poll of owner_host */
  char *owner_host;              /**< host that claimed the key; NULL unless another host did */
};

/** Time of the event loop in milliseconds. */
gint64 iv_route_now (const struct iv_route_task *task);

/** Execute the actions of the router until there are none. */
void iv_route_run_actions (struct iv_route_task *task);

/** Free @a request if it has been answered and none of its calls is in flight. */
void iv_route_free_if_done (struct iv_route_request *request);

/** Remove the key of @a request from the table of running keys: later requests with this key no
 * longer wait for @a request. */
void iv_route_unregister_key (struct iv_route_request *request);

/** Answer @a request and its duplicates that nothing was run, with the HTTP @a status. All
 * functions that finish a request free it if none of its calls is in flight. */
void iv_route_finish_not_run (struct iv_route_request *request, int status, const char *reason);

/** Answer @a request and its duplicates that the request may have run. */
void iv_route_finish_may_have_run (struct iv_route_request *request, int status,
                                   const char *reason);

/** Answer @a request and its duplicates with the complete response of an upstream. */
void iv_route_finish_result (struct iv_route_request *request,
                             const struct iv_http_response *response);

/** Answer @a request and its duplicates with a cached response. */
void iv_route_finish_cached (struct iv_route_request *request,
                             const struct iv_cached_response *cached);

/** Answer @a request and its duplicates with a response that a peer encoded by
 * iv_cached_response_encode(); that it may have run if @a body is malformed. */
void iv_route_finish_encoded (struct iv_route_request *request, const char *body, gsize len);

#endif
