/**
 * @file worker.c
 * Stand-in for the workers of a failure domain: COUNT workers on consecutive ports from IP:PORT on.
 *
 * Usage: worker_standin PLATFORM IP:PORT COUNT DOMAIN PREFIX CPU_MILLI MEMORY_MIB ACCELERATORS
 * [USAGE_LAG_MS]
 *
 * Faults of one worker are set by POST /faults on its port: fail=1 makes all its tasks fail,
 * frozen=1 makes it stop responding; 0 clears them. GET /starts lists every start and every
 * completed task with its time.
 */
#include "fake_worker.h"
#include "http_server.h"
#include "platform.h"
#include "standin.h"

#include <signal.h>
#include <stdio.h>

#define TICK_MS 50
#define WORKERS_PER_RACK 11

struct worker
{
  struct fake_worker *fake;
  struct iv_http_server *server;
  gboolean frozen;
  /* A line for each start: wall-clock time, worker, task, index, attempt; the task of a completed
     attempt has the prefix "done:". */
  GString *starts;
};

static uv_loop_t *loop;
static GPtrArray *workers;
static GPtrArray *unanswered; /* requests to frozen workers, which get no response */

static void
on_started (void *context, struct fake_worker *fake, const struct fake_task *task)
{
  struct worker *worker = context;
  g_string_append_printf (worker->starts, "%" G_GUINT64_FORMAT " %s %s %u %u\n", wall_clock_ms (),
                          fake->name, task->name, task->index, task->attempt);
}

static void
on_done (void *context, struct fake_worker *fake, const struct fake_task *task)
{
  struct worker *worker = context;
  g_string_append_printf (worker->starts, "%" G_GUINT64_FORMAT " %s done:%s %u %u\n",
                          wall_clock_ms (), fake->name, task->name, task->index, task->attempt);
}

static void
serve_sync (struct worker *worker, struct iv_http_request *http)
{
  gsize len;
  const char *body = iv_http_body (http, &len);
  struct iv_sync *sync = iv_worker_decode_sync (body, len);
  struct iv_sync_reply *reply;
  char *text;
  if (sync == NULL)
    {
      iv_http_respond_json (http, 400, "{}");
      return;
    }
  reply = fake_worker_sync (worker->fake, (gint64)uv_now (loop), sync);
  text = iv_worker_encode_reply (reply);
  iv_http_respond_json (http, 200, text);
  free (text);
  iv_sync_reply_free (reply);
  iv_sync_free (sync);
}

static void
serve_faults (struct worker *worker, struct iv_http_request *http)
{
  char *fail = iv_http_query (iv_http_path (http), "fail");
  char *frozen = iv_http_query (iv_http_path (http), "frozen");
  if (fail)
    worker->fake->fail_all_tasks = *fail == '1';
  if (frozen)
    worker->frozen = *frozen == '1';
  g_free (fail);
  g_free (frozen);
  iv_http_respond_json (http, 200, "{}");
}

static void
on_request (void *context, struct iv_http_request *http)
{
  struct worker *worker = context;
  const char *path = iv_http_path (http);
  if (g_str_has_prefix (path, "/faults"))
    serve_faults (worker, http);
  else if (strcmp (path, "/starts") == 0)
    iv_http_respond (http, 200, "text/plain", NULL, worker->starts->str, worker->starts->len);
  else if (worker->frozen)
    g_ptr_array_add (unanswered, http);
  else if (strcmp (path, "/v1/sync") == 0)
    serve_sync (worker, http);
  else
    iv_http_respond_json (http, 404, "{}");
}

static void
on_tick (uv_timer_t *timer)
{
  for (guint i = 0; i < workers->len; i++)
    fake_worker_advance (((struct worker *)g_ptr_array_index (workers, i))->fake,
                         (gint64)uv_now (loop));
}

int
main (int argc, char **argv)
{
  struct iv_http_limits limits = { 16 * 1024 * 1024, 10000, 10000, 3600000 };
  struct registration registration;
  json_t *rows = json_array ();
  char ip[64];
  guint16 port;
  uv_timer_t tick;
  ivx_size size;
  guint64 start = wall_clock_ms ();
  if (argc < 9)
    return 64;
  signal (SIGPIPE, SIG_IGN);
  loop = uv_default_loop ();
  workers = g_ptr_array_new ();
  unanswered = g_ptr_array_new ();
  parse_address_or_exit (argv[2], ip, &port);
  size = (ivx_size){ (guint32)atoi (argv[6]), (guint32)atoi (argv[7]), (guint32)atoi (argv[8]) };
  for (int i = 0; i < atoi (argv[3]); i++)
    {
      struct worker *worker = g_new0 (struct worker, 1);
      char *name = g_strdup_printf ("%s-%d", argv[5], i + 1);
      char *rack = g_strdup_printf ("%s-rack-%d", argv[4], i / WORKERS_PER_RACK + 1);
      char *address = g_strdup_printf ("%s:%d", ip, port + i);
      worker->fake = fake_worker_new (name, size, (gint64)uv_now (loop), start, start + (guint64)i);
      worker->fake->usage_lag_ms = argc > 9 ? atoi (argv[9]) : worker->fake->usage_lag_ms;
      worker->fake->started = on_started;
      worker->fake->done = on_done;
      worker->fake->context = worker;
      worker->starts = g_string_new (NULL);
      worker->server
          = iv_http_server_new (loop, ip, (guint16)(port + i), &limits, on_request, worker);
      if (worker->server == NULL)
        {
          fprintf (stderr, "worker_standin: %s\n", iv_last_message ());
          return 69;
        }
      g_ptr_array_add (workers, worker);
      json_array_append_new (
          rows, json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:I,s:b}", "name", name, "rack", rack,
                           "domain", argv[4], "address", address, "cpu_milli", (int)size.cpu_milli,
                           "memory_mib", (int)size.memory_mib, "accelerators",
                           (int)size.accelerators, "start_ms", (json_int_t)start, "leaving", 0));
      g_free (name);
      g_free (rack);
      g_free (address);
    }
  register_rows (&registration, loop, argv[1], "/hosts/workers", rows);
  uv_timer_init (loop, &tick);
  uv_timer_start (&tick, on_tick, TICK_MS, TICK_MS);
  uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}
