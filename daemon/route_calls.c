#include "event.h"
#include "key_task.h"
#include "route_private.h"

#include <stdio.h>
#include <string.h>

#define PROBE_TIMEOUT_MS 500
/* An instance sets this header on a 503 when it refused the request without running it. */
#define NOT_RUN_HEADER "x-not-run"

struct call
{
  struct iv_route_request *request;
  char instance[80];
  char address[80];
  gint64 started_ms;
  struct iv_deadline silence_timer;
  struct iv_span span;
};

struct probe
{
  struct iv_route_task *task;
  char instance[80];
  gboolean is_ejected;
};

static enum iv_call_outcome
call_outcome (const struct iv_http_response *response)
{
  if (response->result == IV_HTTP_NOT_SENT)
    return IV_CALL_NOT_SENT;
  if (response->result == IV_HTTP_INCOMPLETE)
    return response->timed_out ? IV_CALL_TIMED_OUT : IV_CALL_INCOMPLETE;
  if (response->status == 503 && iv_http_response_header (response, NOT_RUN_HEADER) != NULL)
    return IV_CALL_REFUSED;
  return IV_CALL_OK;
}

static void
finish_request (struct iv_route_request *request, const struct iv_http_response *response,
                enum iv_call_outcome outcome)
{
  if (outcome == IV_CALL_OK)
    {
      if (request->keyed)
        {
          iv_response_cache_add (request->task->response_cache, request->key, response);
          iv_key_task_complete (request->task->app->keys, request->key, (guint)response->status);
        }
      iv_route_finish_result (request, response);
    }
  else if (outcome == IV_CALL_TIMED_OUT)
    iv_route_finish_may_have_run (request, 504, "the upstream did not answer in time");
  else if (outcome == IV_CALL_INCOMPLETE)
    iv_route_finish_may_have_run (request, 502, "the upstream's answer broke off");
  else
    iv_route_finish_not_run (request, 503, "no upstream took the request");
}

static void
on_call_ended (void *context, const struct iv_http_response *response)
{
  struct call *call = context;
  struct iv_route_request *request = call->request;
  struct iv_route_task *task = request->task;
  enum iv_call_outcome outcome = call_outcome (response);
  enum iv_route_verdict verdict;
  iv_deadline_unset (task->app->deadlines, &call->silence_timer);
  iv_span_end (&call->span, "upstream", outcome == IV_CALL_OK ? "answer" : "failed");
  if (outcome == IV_CALL_TIMED_OUT)
    task->app->upstreams.drop_connections (task->app->upstreams.context, call->address);
  request->calls_in_flight--;
  verdict = iv_router_call_ended (task->router, iv_route_now (task), request->id, call->instance,
                                  outcome, iv_route_now (task) - call->started_ms);
  if (request->http == NULL)
    iv_route_free_if_done (request);
  else if (verdict == IV_ROUTE_FINAL)
    finish_request (request, response, outcome);
  else if (verdict == IV_ROUTE_MAY_HAVE_RUN)
    iv_route_finish_may_have_run (request, 504, "a call was handed over and not answered");
  g_free (call);
  iv_route_run_actions (task);
}

static void
on_probed (void *context, const struct iv_http_response *response)
{
  struct probe *probe = context;
  gboolean alive = response->result == IV_HTTP_COMPLETE && response->status == 200;
  if (probe->is_ejected)
    iv_router_probe_ended (probe->task->router, iv_route_now (probe->task), probe->instance, alive);
  else
    iv_router_stall_probe_ended (probe->task->router, iv_route_now (probe->task), probe->instance,
                                 alive);
  iv_event (IV_LEVEL_INFO, "upstream.probed", "instance=%s alive=%d", probe->instance, alive);
  iv_route_run_actions (probe->task);
  g_free (probe);
}

static void
send_probe (struct iv_route_task *task, const char *instance, const char *address,
            gboolean is_ejected)
{
  struct probe *probe = g_new0 (struct probe, 1);
  probe->task = task;
  probe->is_ejected = is_ejected;
  g_strlcpy (probe->instance, instance, sizeof probe->instance);
  iv_counter_add (task->probes, 1);
  task->app->upstreams.probe (task->app->upstreams.context, address,
                              iv_route_now (task) + PROBE_TIMEOUT_MS, on_probed, probe);
}

/* A call without traffic does not prove that the upstream failed. Probes the upstream on a new
   connection, stops reusing its open connections, and hedges an idempotent request. */
static void
on_silence_timeout (void *context)
{
  struct call *call = context;
  struct iv_route_task *task = call->request->task;
  iv_event (IV_LEVEL_INFO, "upstream.silent", "instance=%s", call->instance);
  task->app->upstreams.drop_connections (task->app->upstreams.context, call->address);
  send_probe (task, call->instance, call->address, FALSE);
  iv_router_hedge_now (task->router, iv_route_now (task), call->request->id);
  iv_route_run_actions (task);
}

static void
send_call (struct iv_route_task *task, struct iv_route_request *request,
           const struct iv_action *action)
{
  struct call *call = g_new0 (struct call, 1);
  char traceparent[IV_TRACEPARENT_LEN + 1], remaining_ms[24];
  const char *key = iv_http_request_header (request->http, "idempotency-key");
  const char *content_type = iv_http_request_header (request->http, "content-type");
  struct iv_http_header headers[5]
      = { { "traceparent", traceparent }, { "x-timeout-ms", remaining_ms } };
  struct iv_http_call http = { .method = iv_http_method (request->http),
                               .path = request->target,
                               .headers = headers,
                               .deadline_ms = action->deadline_ms };
  guint count = 2;
  if (key)
    headers[count++] = (struct iv_http_header){ "idempotency-key", key };
  if (content_type)
    headers[count++] = (struct iv_http_header){ "content-type", content_type };
  http.body = iv_http_body (request->http, &http.body_len);
  call->request = request;
  call->started_ms = iv_route_now (task);
  call->span = iv_span_child (&request->span);
  g_strlcpy (call->instance, action->instance, sizeof call->instance);
  g_strlcpy (call->address, action->address, sizeof call->address);
  iv_span_format (&call->span, traceparent);
  snprintf (remaining_ms, sizeof remaining_ms, "%" G_GINT64_FORMAT,
            MAX (1, action->deadline_ms - call->started_ms));
  call->silence_timer.fire = on_silence_timeout;
  call->silence_timer.context = call;
  iv_deadline_set (task->app->deadlines, &call->silence_timer,
                   call->started_ms + task->app->settings->routing.silence_timeout_ms);
  request->calls_in_flight++;
  if (action->hedge)
    iv_counter_add (task->hedges, 1);
  task->app->upstreams.call (task->app->upstreams.context, action->address, &http, on_call_ended,
                             call);
}

void
iv_route_run_actions (struct iv_route_task *task)
{
  struct iv_action action;
  while ((action = iv_router_next (task->router, iv_route_now (task))).kind != IV_ACTION_NONE)
    {
      struct iv_route_request *request = g_hash_table_lookup (task->requests, &action.request);
      if (action.kind == IV_ACTION_PROBE)
        send_probe (task, action.instance, action.address, TRUE);
      else if (action.kind == IV_ACTION_CALL && request && request->http)
        send_call (task, request, &action);
      else if (action.kind == IV_ACTION_CALL)
        iv_router_call_ended (task->router, iv_route_now (task), action.request, action.instance,
                              IV_CALL_REFUSED, 0);
      else if (request && request->http && request->calls_in_flight == 0 && action.may_have_run)
        iv_route_finish_may_have_run (request, 504, "a call was handed over and not answered");
      else if (request && request->http && request->calls_in_flight == 0)
        iv_route_finish_not_run (request, 503, iv_refusal_name (action.refusal));
    }
}
