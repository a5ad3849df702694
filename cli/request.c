#include "request.h"

#define RESPONSE_BYTES_MAX (64 * 1024 * 1024)

static void
on_done (void *context, const struct iv_http_response *response)
{
  struct iv_response *result = context;
  result->result = response->result;
  result->status = response->status;
  result->text = g_strndup ((const char *)response->body->data, response->body->len);
  result->body = json_loadb ((const char *)response->body->data, response->body->len, 0, NULL);
  uv_stop (uv_default_loop ());
}

struct iv_response
iv_request (const char *server, const char *method, const char *path, const void *body, gsize len,
            gint64 timeout_ms)
{
  uv_loop_t *loop = uv_default_loop ();
  struct iv_deadlines *deadlines = iv_deadlines_new (loop);
  struct iv_http_client *client
      = iv_http_client_new (loop, deadlines, timeout_ms, RESPONSE_BYTES_MAX);
  struct iv_response response = { .result = IV_HTTP_NOT_SENT };
  struct iv_http_call call = { .method = method, .path = path, .body = body, .body_len = len };
  uv_update_time (loop);
  call.deadline_ms = (gint64)uv_now (loop) + timeout_ms;
  iv_http_call (client, server, &call, on_done, &response);
  if (response.text == NULL)
    uv_run (loop, UV_RUN_DEFAULT);
  return response;
}

void
iv_response_clear (struct iv_response *response)
{
  json_decref (response->body);
  g_free (response->text);
}
