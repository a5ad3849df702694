#include "route_private.h"

static void
free_request (struct iv_route_request *request)
{
  iv_deadline_unset (request->task->app->deadlines, &request->owner_poll);
  g_hash_table_remove (request->task->requests, &request->id);
  g_ptr_array_free (request->duplicates, TRUE);
  g_free (request->service);
  g_free (request->owner_host);
  g_free (request);
}

void
iv_route_free_if_done (struct iv_route_request *request)
{
  if (request->http == NULL && request->calls_in_flight == 0)
    free_request (request);
}

void
iv_route_unregister_key (struct iv_route_request *request)
{
  if (request->keyed && g_hash_table_lookup (request->task->key_requests, &request->key) == request)
    g_hash_table_remove (request->task->key_requests, &request->key);
}

/* Requests that were sent with the same key while this one ran get the same outcome as this one. */
void
iv_route_finish_not_run (struct iv_route_request *request, int status, const char *reason)
{
  iv_route_unregister_key (request);
  for (guint i = 0; i < request->duplicates->len; i++)
    iv_route_finish_not_run (g_ptr_array_index (request->duplicates, i), status, reason);
  g_ptr_array_set_size (request->duplicates, 0);
  iv_counter_add (request->task->not_run, 1);
  iv_span_end (&request->span, "entry", "not_run");
  iv_respond_not_run (request->http, status, reason);
  request->http = NULL;
  iv_route_free_if_done (request);
}

void
iv_route_finish_may_have_run (struct iv_route_request *request, int status, const char *reason)
{
  iv_route_unregister_key (request);
  for (guint i = 0; i < request->duplicates->len; i++)
    iv_route_finish_may_have_run (g_ptr_array_index (request->duplicates, i), status, reason);
  g_ptr_array_set_size (request->duplicates, 0);
  iv_counter_add (request->task->may_have_run, 1);
  iv_span_end (&request->span, "entry", "may_have_run");
  iv_respond_may_have_run (request->http, status, reason);
  request->http = NULL;
  iv_route_free_if_done (request);
}

void
iv_route_finish_result (struct iv_route_request *request, const struct iv_http_response *response)
{
  char traceparent[IV_TRACEPARENT_LEN + 1];
  iv_route_unregister_key (request);
  for (guint i = 0; i < request->duplicates->len; i++)
    iv_route_finish_result (g_ptr_array_index (request->duplicates, i), response);
  g_ptr_array_set_size (request->duplicates, 0);
  iv_counter_add (request->task->results, 1);
  iv_span_end (&request->span, "entry", "result");
  iv_span_format (&request->span, traceparent);
  iv_respond_result (request->http, response, traceparent);
  request->http = NULL;
  iv_route_free_if_done (request);
}

void
iv_route_finish_cached (struct iv_route_request *request, const struct iv_cached_response *cached)
{
  iv_route_unregister_key (request);
  for (guint i = 0; i < request->duplicates->len; i++)
    iv_route_finish_cached (g_ptr_array_index (request->duplicates, i), cached);
  g_ptr_array_set_size (request->duplicates, 0);
  iv_counter_add (request->task->results, 1);
  iv_span_end (&request->span, "entry", "result");
  iv_respond_cached (request->http, cached);
  request->http = NULL;
  iv_route_free_if_done (request);
}

void
iv_route_finish_encoded (struct iv_route_request *request, const char *body, gsize len)
{
  struct iv_http_request *http = request->http;
  for (guint i = 0; i < request->duplicates->len; i++)
    iv_route_finish_encoded (g_ptr_array_index (request->duplicates, i), body, len);
  g_ptr_array_set_size (request->duplicates, 0);
  iv_span_end (&request->span, "entry", "result");
  if (iv_respond_encoded (http, body, len))
    iv_counter_add (request->task->results, 1);
  else
    iv_respond_may_have_run (http, 502, "the peer's answer was malformed");
  request->http = NULL;
  iv_route_free_if_done (request);
}
