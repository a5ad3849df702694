#include "event.h"
#include "key_task.h"
#include "route_private.h"

#include <stdio.h>
#include <string.h>

#define PROBE_TIMEOUT_MS 500
#define NOT_RUN_HEADER "x-not-run" /* an instance says with it that it refused without running */

struct call
{
  struct iv_request *request;
  char instance[80];
  char address[80];
  gint64 started_ms;
  struct iv_deadline silence;
  struct iv_span span;
};

struct probe
{
  struct iv_route_task *task;
  char instance[80];
  gboolean ejected;
};

static enum iv_call_outcome
outcome_of (const struct iv_http_response *reply)
{
  if (reply->result == IV_HTTP_NOT_SENT)
    return IV_CALL_NOT_SENT;
  if (reply->result == IV_HTTP_INCOMPLETE)
    return reply->timed_out ? IV_CALL_TIMED_OUT : IV_CALL_INCOMPLETE;
  if (reply->status == 503 && iv_http_response_header (reply, NOT_RUN_HEADER) != NULL)
    return IV_CALL_REFUSED;
  return IV_CALL_OK;
}

static void
answer_call (struct iv_request *request, const struct iv_http_response *reply,
             enum iv_call_outcome outcome)
{
  if (outcome == IV_CALL_OK)
    {
      if (request->keyed)
        {
          iv_kept_answers_add (request->task->kept, request->key, reply);
          iv_key_task_ended (request->task->app->keys, request->key, (guint)reply->status);
        }
      iv_route_finish_result (request, reply);
    }
  else if (outcome == IV_CALL_TIMED_OUT)
    iv_route_finish_may_have_run (request, 504, "the upstream did not answer in time");
  else if (outcome == IV_CALL_INCOMPLETE)
    iv_route_finish_may_have_run (request, 502, "the upstream's answer broke off");
  else
    iv_route_finish_not_run (request, 503, "no upstream took the request");
}

static void
on_called (void *context, const struct iv_http_response *reply)
{
  struct call *call = context;
  struct iv_request *request = call->request;
  struct iv_route_task *task = request->task;
  enum iv_call_outcome outcome = outcome_of (reply);
  enum iv_route_verdict verdict;
  iv_deadline_unset (task->app->deadlines, &call->silence);
  iv_span_end (&call->span, "upstream", outcome == IV_CALL_OK ? "answer" : "failed");
  if (outcome == IV_CALL_TIMED_OUT)
    task->app->upstreams.drop_connections (task->app->upstreams.context, call->address);
  request->calls--;
  verdict = iv_router_call_ended (task->router, iv_route_now (task), request->id, call->instance,
                                  outcome, iv_route_now (task) - call->started_ms);
  if (request->http == NULL)
    iv_route_release (request);
  else if (verdict == IV_ROUTE_FINAL)
    answer_call (request, reply, outcome);
  else if (verdict == IV_ROUTE_MAY_HAVE_RUN)
    iv_route_finish_may_have_run (request, 504, "a call was handed over and not answered");
  g_free (call);
  iv_route_act (task);
}

static void
on_probed (void *context, const struct iv_http_response *reply)
{
  struct probe *probe = context;
  gboolean alive = reply->result == IV_HTTP_COMPLETE && reply->status == 200;
  if (probe->ejected)
    iv_router_probe_ended (probe->task->router, iv_route_now (probe->task), probe->instance, alive);
  else
    iv_router_stall_probe_ended (probe->task->router, iv_route_now (probe->task), probe->instance,
                                 alive);
  iv_event (IV_LEVEL_INFO, "upstream.probed", "instance=%s alive=%d", probe->instance, alive);
  iv_route_act (probe->task);
  g_free (probe);
}

static void
send_probe (struct iv_route_task *task, const char *instance, const char *address, gboolean ejected)
{
  struct probe *probe = g_new0 (struct probe, 1);
  probe->task = task;
  probe->ejected = ejected;
  g_strlcpy (probe->instance, instance, sizeof probe->instance);
  iv_counter_add (task->probes, 1);
  task->app->upstreams.probe (task->app->upstreams.context, address,
                              iv_route_now (task) + PROBE_TIMEOUT_MS, on_probed, probe);
}

/* No byte for a while says nothing about the upstream: it is asked on a new connection, kept
   connections are not used again, and an idempotent request may go elsewhere as well. */
static void
on_silence (void *context)
{
  struct call *call = context;
  struct iv_route_task *task = call->request->task;
  iv_event (IV_LEVEL_INFO, "upstream.silent", "instance=%s", call->instance);
  task->app->upstreams.drop_connections (task->app->upstreams.context, call->address);
  send_probe (task, call->instance, call->address, FALSE);
  iv_router_hedge_now (task->router, iv_route_now (task), call->request->id);
  iv_route_act (task);
}

static void
send_call (struct iv_route_task *task, struct iv_request *request, const struct iv_action *action)
{
  struct call *call = g_new0 (struct call, 1);
  char traceparent[IV_TRACEPARENT_LEN + 1], left[24];
  const char *key = iv_http_request_header (request->http, "idempotency-key");
  const char *type = iv_http_request_header (request->http, "content-type");
  struct iv_http_header headers[5] = { { "traceparent", traceparent }, { "x-timeout-ms", left } };
  struct iv_http_call http = { .method = iv_http_method (request->http),
                               .path = request->target,
                               .headers = headers,
                               .deadline_ms = action->deadline_ms };
  guint count = 2;
  if (key)
    headers[count++] = (struct iv_http_header){ "idempotency-key", key };
  if (type)
    headers[count++] = (struct iv_http_header){ "content-type", type };
  http.body = iv_http_body (request->http, &http.body_len);
  call->request = request;
  call->started_ms = iv_route_now (task);
  call->span = iv_span_child (&request->span);
  g_strlcpy (call->instance, action->instance, sizeof call->instance);
  g_strlcpy (call->address, action->address, sizeof call->address);
  iv_span_format (&call->span, traceparent);
  snprintf (left, sizeof left, "%" G_GINT64_FORMAT,
            MAX (1, action->deadline_ms - call->started_ms));
  call->silence.fire = on_silence;
  call->silence.context = call;
  iv_deadline_set (task->app->deadlines, &call->silence,
                   call->started_ms + task->app->settings->routing.silence_timeout_ms);
  request->calls++;
  if (action->hedge)
    iv_counter_add (task->hedges, 1);
  task->app->upstreams.call (task->app->upstreams.context, action->address, &http, on_called, call);
}

/* Do what the router asks for, until it asks for nothing. */
void
iv_route_act (struct iv_route_task *task)
{
  struct iv_action action;
  while ((action = iv_router_next (task->router, iv_route_now (task))).kind != IV_ACTION_NONE)
    {
      struct iv_request *request = g_hash_table_lookup (task->requests, &action.request);
      if (action.kind == IV_ACTION_PROBE)
        send_probe (task, action.instance, action.address, TRUE);
      else if (action.kind == IV_ACTION_CALL && request && request->http)
        send_call (task, request, &action);
      else if (action.kind == IV_ACTION_CALL)
        iv_router_call_ended (task->router, iv_route_now (task), action.request, action.instance,
                              IV_CALL_REFUSED, 0);
      else if (request && request->http && request->calls == 0 && action.may_have_run)
        iv_route_finish_may_have_run (request, 504, "a call was handed over and not answered");
      else if (request && request->http && request->calls == 0)
        iv_route_finish_not_run (request, 503, iv_refusal_name (action.refusal));
    }
}
