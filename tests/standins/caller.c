/**
 * @file caller.c
 * Load generator: sends requests to entry hosts or instances and prints outcomes and latencies.
 *
 * Usage: caller_load ADDRESS[,ADDRESS...] PATH REQUESTS CONCURRENCY [RATE_PER_S [TIMEOUT_MS
 * [KEY_PREFIX [RETRIES]]]]
 *
 * Requests go to the addresses in turn, at most CONCURRENCY at a time. With a rate other than 0
 * they start on schedule, else as soon as an earlier one ends. With a key prefix other than "-"
 * they are POSTs, each with an idempotency key. A request without a result is repeated up to
 * RETRIES times, at the next address. Each response is checked to belong to its request; exits with
 * status 1 when one does not.
 */
#include "http_client.h"
#include "standin.h"

#include <gsl/gsl_statistics_double.h>
#include <gsl/gsl_sort.h>
#include <signal.h>
#include <stdio.h>

struct load
{
  char **addresses;
  guint address_count;
  const char *path;
  guint total, concurrency;
  double rate; /* per second; 0: without a schedule */
  gint64 timeout_ms;
  const char *key_prefix;
  guint retries_max;
  guint started, ended, active;
  guint ok, not_run, may_have_run;
  guint wrong;  /* responses with status 200 that do not name their request */
  guint broken; /* requests without a complete response */
  double *latencies_ms;
  gint64 begin_us; /* monotonic time */
  uv_loop_t *loop;
  struct iv_http_client *client;
};

struct request
{
  struct load *load;
  guint number;
  guint retries;
  gboolean may_have_run_seen; /* the response to some attempt said that it may have run */
  gint64 started_us;
};

#define RETRY_DELAY_MS 100

static void start_due_requests (struct load *load);
static void send_request (struct request *request);

static void
on_retry_timer (uv_timer_t *timer)
{
  send_request (timer->data);
  uv_close ((uv_handle_t *)timer, (uv_close_cb)free);
}

static void
schedule_retry (struct request *request)
{
  uv_timer_t *timer = malloc (sizeof *timer);
  uv_timer_init (request->load->loop, timer);
  timer->data = request;
  uv_timer_start (timer, on_retry_timer, RETRY_DELAY_MS, 0);
}

static gboolean
response_matches (const struct request *request, const struct iv_http_response *response)
{
  char *expected = g_strdup_printf ("n=%u ", request->number);
  char *text = g_strndup ((const char *)response->body->data, response->body->len);
  gboolean matches = strstr (text, expected) != NULL;
  g_free (expected);
  g_free (text);
  return matches;
}

static void
on_response (void *context, const struct iv_http_response *response)
{
  struct request *request = context;
  struct load *load = request->load;
  const char *outcome = iv_http_response_header (response, "x-ibisvane-outcome");
  request->may_have_run_seen |= outcome && strcmp (outcome, "may-have-run") == 0;
  if ((response->result != IV_HTTP_COMPLETE || response->status != 200)
      && request->retries < load->retries_max)
    {
      request->retries++;
      schedule_retry (request);
      return;
    }
  if (request->may_have_run_seen
      && (response->result != IV_HTTP_COMPLETE || response->status != 200))
    load->may_have_run++;
  else if (response->result != IV_HTTP_COMPLETE)
    load->broken++;
  else if (response->status == 200 && response_matches (request, response))
    load->latencies_ms[load->ok++] = (double)(g_get_monotonic_time () - request->started_us) / 1000;
  else if (response->status == 200)
    load->wrong++;
  else
    load->not_run++;
  load->ended++;
  load->active--;
  g_free (request);
  if (load->ended == load->total)
    uv_stop (load->loop);
  else
    start_due_requests (load);
}

static void
send_request (struct request *request)
{
  struct load *load = request->load;
  char *path = g_strdup_printf ("%s?n=%u", load->path, request->number);
  char *key
      = load->key_prefix ? g_strdup_printf ("%s-%u", load->key_prefix, request->number) : NULL;
  char timeout[24];
  struct iv_http_header headers[]
      = { { "x-timeout-ms", timeout }, { "idempotency-key", key }, { NULL, NULL } };
  struct iv_http_call call = { .method = key ? "POST" : "GET", .path = path, .headers = headers };
  guint address = (request->number + request->retries) % load->address_count;
  if (key == NULL)
    headers[1].name = NULL;
  snprintf (timeout, sizeof timeout, "%" G_GINT64_FORMAT, load->timeout_ms);
  call.deadline_ms = (gint64)uv_now (load->loop) + load->timeout_ms + 1000;
  iv_http_call (load->client, load->addresses[address], &call, on_response, request);
  g_free (path);
  g_free (key);
}

static void
start_request (struct load *load)
{
  struct request *request = g_new0 (struct request, 1);
  request->load = load;
  request->number = load->started++;
  request->started_us = g_get_monotonic_time ();
  load->active++;
  send_request (request);
}

static void
start_due_requests (struct load *load)
{
  guint due = load->total;
  if (load->rate > 0)
    due = (guint)MIN ((double)load->total,
                      load->rate * (double)(g_get_monotonic_time () - load->begin_us) / 1e6);
  while (load->started < due && load->active < load->concurrency)
    start_request (load);
}

static void
on_tick (uv_timer_t *timer)
{
  start_due_requests (timer->data);
}

static void
print_summary (struct load *load)
{
  double seconds = (double)(g_get_monotonic_time () - load->begin_us) / 1e6;
  gsl_sort (load->latencies_ms, 1, load->ok);
  printf (
      "requests=%u ok=%u not_run=%u may_have_run=%u wrong=%u broken=%u seconds=%.3f rate=%.1f "
      "p50_ms=%.2f p99_ms=%.2f p999_ms=%.2f\n",
      load->total, load->ok, load->not_run, load->may_have_run, load->wrong, load->broken, seconds,
      load->ok / seconds,
      load->ok ? gsl_stats_quantile_from_sorted_data (load->latencies_ms, 1, load->ok, 0.5) : 0,
      load->ok ? gsl_stats_quantile_from_sorted_data (load->latencies_ms, 1, load->ok, 0.99) : 0,
      load->ok ? gsl_stats_quantile_from_sorted_data (load->latencies_ms, 1, load->ok, 0.999) : 0);
}

int
main (int argc, char **argv)
{
  struct load load = { 0 };
  uv_timer_t tick;
  if (argc < 5)
    return 64;
  load.addresses = g_strsplit (argv[1], ",", -1);
  load.address_count = g_strv_length (load.addresses);
  load.path = argv[2];
  load.total = (guint)atoi (argv[3]);
  load.concurrency = (guint)atoi (argv[4]);
  load.rate = argc > 5 ? atof (argv[5]) : 0;
  load.timeout_ms = argc > 6 ? atoi (argv[6]) : 5000;
  load.key_prefix = argc > 7 && strcmp (argv[7], "-") != 0 ? argv[7] : NULL;
  load.retries_max = argc > 8 ? (guint)atoi (argv[8]) : 0;
  load.latencies_ms = g_new (double, load.total + 1);
  signal (SIGPIPE, SIG_IGN);
  load.loop = uv_default_loop ();
  load.client
      = iv_http_client_new (load.loop, iv_deadlines_new (load.loop), 3600000, 64 * 1024 * 1024);
  load.begin_us = g_get_monotonic_time ();
  uv_timer_init (load.loop, &tick);
  tick.data = &load;
  uv_timer_start (&tick, on_tick, 0, 1);
  uv_run (load.loop, UV_RUN_DEFAULT);
  print_summary (&load);
  return load.wrong == 0 ? 0 : 1;
}
