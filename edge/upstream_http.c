#include "platform.h"

static void
call_instance (void *context, const char *address, const struct iv_http_call *call,
               iv_http_done done, void *done_context)
{
  iv_http_call (context, address, call, done, done_context);
}

static void
probe_instance (void *context, const char *address, gint64 deadline_ms, iv_http_done done,
                void *done_context)
{
  struct iv_http_call call
      = { .method = "GET", .path = "/healthz", .deadline_ms = deadline_ms, .new_connection = TRUE };
  iv_http_call (context, address, &call, done, done_context);
}

static void
drop_instance (void *context, const char *address)
{
  iv_http_client_drop_connections (context, address);
}

void
iv_upstream_http (struct iv_http_client *client, struct iv_upstream_ops *upstreams)
{
  *upstreams = (struct iv_upstream_ops){ .context = client,
                                         .call = call_instance,
                                         .probe = probe_instance,
                                         .drop_connections = drop_instance };
}
