/**
 * @file route_private.h
 * The route task's insides, shared by its source files.
 */
#ifndef IV_ROUTE_PRIVATE_H
#define IV_ROUTE_PRIVATE_H

#include "counter.h"
#include "route_answer.h"
#include "route_task.h"
#include "span.h"

/** The task. */
struct iv_route_task
{
  struct iv_app *app;
  struct iv_http_server *server;
  struct iv_router *router;
  struct iv_kept_answers *kept;
  struct iv_deadline tick;
  guint64 next_id;
  GHashTable *requests;     /* id to struct iv_request */
  GHashTable *key_requests; /* key to the struct iv_request that runs it here */
  struct iv_counter *taken, *results, *not_run, *may_have_run, *hedges, *probes;
};

/** One caller's request; it lives until it is answered and its calls have ended. */
struct iv_request
{
  struct iv_route_task *task;
  guint64 id;
  struct iv_http_request *http; /* NULL once answered */
  char *service;
  const char *target; /* path behind the service, within the request's path */
  gboolean idempotent;
  gboolean keyed;
  struct iv_key key;
  GPtrArray *followers; /* of struct iv_request: the same key, sent again */
  gint64 deadline_ms;
  guint calls; /* under way */
  struct iv_span span;
  struct iv_deadline poll; /* while another host runs the key */
  char *owner;             /* that host */
};

/** Present time of the loop. */
gint64 iv_route_now (const struct iv_route_task *task);

/** Do what the router asks for, until it asks for nothing. */
void iv_route_act (struct iv_route_task *task);

/** Free @a request when it was answered and none of its calls is under way. */
void iv_route_release (struct iv_request *request);

/** Whoever sends the key of @a request from now on does not wait for it. */
void iv_route_forget_key (struct iv_request *request);

/** Answer @a request, and whoever sent its key again meanwhile; it may be freed. */
void iv_route_finish_not_run (struct iv_request *request, int status, const char *reason);
void iv_route_finish_may_have_run (struct iv_request *request, int status, const char *reason);
void iv_route_finish_result (struct iv_request *request, const struct iv_http_response *reply);
void iv_route_finish_kept (struct iv_request *request, const struct iv_kept_answer *kept);
void iv_route_finish_encoded (struct iv_request *request, const char *body, gsize len);

#endif
