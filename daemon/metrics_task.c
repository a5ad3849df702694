#include "metrics_task.h"

#include "counter.h"
#include "histogram.h"
#include "schema.h"

#include <string.h>

#define REQUESTS_MAX 4
#define CONNECTIONS_MAX 8
#define READ_TIMEOUT_MS 5000

struct metrics_task
{
  iv_metrics_refresh_fn refresh;
  void *context;
};

static void
on_request (void *context, struct iv_http_request *request)
{
  struct metrics_task *task = context;
  char *counters;
  char *histograms;
  char *text;
  task->refresh (task->context);
  counters = iv_counters_text ();
  histograms = iv_histograms_text ();
  text = g_strconcat (counters, histograms, NULL);
  iv_http_respond (request, 200, "text/plain; version=0.0.4", NULL, text, strlen (text));
  g_free (text);
  g_free (histograms);
  g_free (counters);
}

gboolean
iv_metrics_task_start (uv_loop_t *loop, const char *address, iv_metrics_refresh_fn refresh,
                       void *context)
{
  static const struct iv_http_limits limits = { .requests_max = REQUESTS_MAX,
                                                .connections_max = CONNECTIONS_MAX,
                                                .request_read_timeout_ms = READ_TIMEOUT_MS };
  struct metrics_task *task;
  char ip[64];
  guint16 port;
  if (!iv_parse_address (address, ip, &port))
    return FALSE;
  task = g_new0 (struct metrics_task, 1);
  task->refresh = refresh;
  task->context = context;
  if (iv_http_server_new (loop, ip, port, &limits, on_request, task))
    return TRUE;
  g_free (task);
  return FALSE;
}
