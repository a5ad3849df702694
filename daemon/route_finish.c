#include "route_private.h"

static void
free_request (struct iv_request *request)
{
  iv_deadline_unset (request->task->app->deadlines, &request->poll);
  g_hash_table_remove (request->task->requests, &request->id);
  g_ptr_array_free (request->followers, TRUE);
  g_free (request->service);
  g_free (request->owner);
  g_free (request);
}

void
iv_route_release (struct iv_request *request)
{
  if (request->http == NULL && request->calls == 0)
    free_request (request);
}

/* Whoever sent the same key again gets what the one that ran gets. */
void
iv_route_forget_key (struct iv_request *request)
{
  if (request->keyed && g_hash_table_lookup (request->task->key_requests, &request->key) == request)
    g_hash_table_remove (request->task->key_requests, &request->key);
}

void
iv_route_finish_not_run (struct iv_request *request, int status, const char *reason)
{
  iv_route_forget_key (request);
  for (guint i = 0; i < request->followers->len; i++)
    iv_route_finish_not_run (g_ptr_array_index (request->followers, i), status, reason);
  g_ptr_array_set_size (request->followers, 0);
  iv_counter_add (request->task->not_run, 1);
  iv_span_end (&request->span, "entry", "not_run");
  iv_answer_not_run (request->http, status, reason);
  request->http = NULL;
  iv_route_release (request);
}

void
iv_route_finish_may_have_run (struct iv_request *request, int status, const char *reason)
{
  iv_route_forget_key (request);
  for (guint i = 0; i < request->followers->len; i++)
    iv_route_finish_may_have_run (g_ptr_array_index (request->followers, i), status, reason);
  g_ptr_array_set_size (request->followers, 0);
  iv_counter_add (request->task->may_have_run, 1);
  iv_span_end (&request->span, "entry", "may_have_run");
  iv_answer_may_have_run (request->http, status, reason);
  request->http = NULL;
  iv_route_release (request);
}

void
iv_route_finish_result (struct iv_request *request, const struct iv_http_response *reply)
{
  char traceparent[IV_TRACEPARENT_LEN + 1];
  iv_route_forget_key (request);
  for (guint i = 0; i < request->followers->len; i++)
    iv_route_finish_result (g_ptr_array_index (request->followers, i), reply);
  g_ptr_array_set_size (request->followers, 0);
  iv_counter_add (request->task->results, 1);
  iv_span_end (&request->span, "entry", "result");
  iv_span_format (&request->span, traceparent);
  iv_answer_result (request->http, reply, traceparent);
  request->http = NULL;
  iv_route_release (request);
}

void
iv_route_finish_kept (struct iv_request *request, const struct iv_kept_answer *kept)
{
  iv_route_forget_key (request);
  for (guint i = 0; i < request->followers->len; i++)
    iv_route_finish_kept (g_ptr_array_index (request->followers, i), kept);
  g_ptr_array_set_size (request->followers, 0);
  iv_counter_add (request->task->results, 1);
  iv_span_end (&request->span, "entry", "result");
  iv_answer_kept (request->http, kept);
  request->http = NULL;
  iv_route_release (request);
}

void
iv_route_finish_encoded (struct iv_request *request, const char *body, gsize len)
{
  struct iv_http_request *http = request->http;
  for (guint i = 0; i < request->followers->len; i++)
    iv_route_finish_encoded (g_ptr_array_index (request->followers, i), body, len);
  g_ptr_array_set_size (request->followers, 0);
  iv_span_end (&request->span, "entry", "result");
  if (iv_answer_encoded (http, body, len))
    iv_counter_add (request->task->results, 1);
  else
    iv_answer_may_have_run (http, 502, "the peer's answer was malformed");
  request->http = NULL;
  iv_route_release (request);
}
