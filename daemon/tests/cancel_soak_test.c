/* Soak: three hosts with a link each to one store, over which appends are held and carried out
   late, have no response or are refused, and hosts that are lost and replaced. Callers submit,
   repeat, cancel and query jobs at all hosts at once. Arguments: the first seed and the number of
   seeds. */
#include "front_task.h"
#include "http_client.h"
#include "loopback_port.h"
#include "names.h"
#include "store_standin.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define HOSTS 3
#define IDS 40
#define WORLDS 16 /* played at the same time */
#define DISRUPTED_MS 8000
#define CALM_MS 6000 /* appends time out after 1 s, and are tried again within 0.6 s */
#define JOB "{\"Steps\":[{\"Count\":1,\"Cpu\":1,\"MemMb\":1}]}"

static const char config[] = "{\"Version\":1,\"Routes\":[{\"Name\":\"q\",\"Host\":\"127.0.0.1\","
                             "\"PathPrefix\":\"/q/\",\"Service\":\"s\"}]}";

static uv_loop_t *loop;
static struct iv_deadlines *deadlines;
static struct iv_http_client *caller;
static struct iv_routes *routes;
static struct iv_settings settings;
static GPtrArray *readers; /* links and clients of the hosts that read the store in the end */
static guint seed_first = 1;
static guint seed_count = 64;

/* What callers were told of a job. */
struct told
{
  gboolean accepted;
  gboolean cancelled;
  gboolean refused; /* with 503 */
};

struct host
{
  char address[32];
  struct store_standin *link;
  struct iv_job_table *job_table;
};

struct world
{
  guint seed;
  GRand *rand;
  struct host hosts[HOSTS];
  struct told told[IDS];
  struct iv_deadline next;
  gint64 end_ms;
  guint hosts_lost;
};

struct call
{
  struct told *told;
  const char *method;
};

static const struct iv_routes *
get_routes (void *context)
{
  return routes;
}

static gint64
get_config_age (void *context)
{
  return 0;
}

static gboolean
has_capacity (void *context, const struct iv_job_entry *job)
{
  return TRUE;
}

static void
apply_record (void *context, const char *key, const guint8 *value, gsize len)
{
  iv_job_table_apply (context, key, value, len);
}

static struct iv_stream *
follow (struct iv_store *client, struct iv_job_table *job_table)
{
  const struct iv_stream_options options = {
    .topic = IV_TOPIC_JOBS, .read_delay_ms = 50, .apply = apply_record, .context = job_table
  };
  return iv_stream_new (loop, deadlines, client, &options);
}

/* Starts a host with a new link to the store of @a world. */
static void
start_host (struct world *world, struct host *host)
{
  static const struct iv_recorder_times times
      = { .batch_delay = 2, .unknown_timeout = 500, .max_age = 3000 };
  struct iv_front_task_deps deps = { .loop = loop,
                                     .deadlines = deadlines,
                                     .settings = &settings,
                                     .routes = get_routes,
                                     .config_age_ms = get_config_age,
                                     .has_capacity = has_capacity };
  const struct store_standin *other = world->hosts[0].link;
  struct iv_store *client;
  char store_address[32], ready[32], writer[16];
  guint16 port = loopback_port_reserve ();
  g_snprintf (store_address, sizeof store_address, "127.0.0.1:%u", port);
  g_snprintf (host->address, sizeof host->address, "127.0.0.1:%u", loopback_port_reserve ());
  g_snprintf (ready, sizeof ready, "127.0.0.1:%u", loopback_port_reserve ());
  g_snprintf (writer, sizeof writer, "%u", port);
  host->link = store_standin_new (loop, port);
  assert_non_null (host->link);
  if (other)
    {
      host->link->topics = other->topics;
      host->link->producers = other->producers;
    }
  client = iv_store_new (iv_http_client_new (loop, deadlines, 3600000, 1 << 20), store_address);
  host->job_table = deps.job_table = iv_job_table_new ();
  deps.queues = iv_queues_new ();
  deps.jobs = follow (client, deps.job_table);
  deps.recorder = iv_recorder_new (loop, deadlines, client, IV_TOPIC_JOBS, writer, 1, &times);
  settings.fleet.jobs = host->address;
  settings.fleet.ready = ready;
  assert_non_null (iv_front_task_new (&deps));
}

static void
on_response (void *context, const struct iv_http_response *response)
{
  struct call *call = context;
  gboolean posted = strcmp (call->method, "POST") == 0;
  gboolean deleted = strcmp (call->method, "DELETE") == 0;
  if (response->result == IV_HTTP_COMPLETE)
    {
      call->told->accepted |= posted && response->status == 200;
      call->told->refused |= posted && response->status == 503;
      call->told->cancelled |= deleted && (response->status == 200 || response->status == 410);
    }
  g_free (call);
}

static void
send_call (struct world *world, guint host, guint id, const char *method)
{
  static const struct iv_http_header headers[] = { { IV_HEADER_WAIT_MS, "900" }, { NULL, NULL } };
  char path[32];
  const struct iv_http_call http_call = { .method = method,
                                          .path = path,
                                          .headers = headers,
                                          .body = JOB,
                                          .body_len = *method == 'P' ? strlen (JOB) : 0,
                                          .deadline_ms = (gint64)uv_now (loop) + 2000 };
  struct call *call = g_new (struct call, 1);
  *call = (struct call){ &world->told[id], method };
  g_snprintf (path, sizeof path, "/q/%016x", id);
  iv_http_call (caller, world->hosts[host].address, &http_call, on_response, call);
}

/* A lost host answers nobody; what it has sent may be carried out late. */
static void
lose_host (struct world *world, struct host *host)
{
  store_standin_release (host->link);
  host->link->refuse = TRUE;
  world->hosts_lost++;
  start_host (world, host);
}

static void
disrupt (struct world *world, struct host *host)
{
  switch (g_rand_int_range (world->rand, 0, 7))
    {
    case 0:
    case 1:
      host->link->appends_to_hold = (guint)g_rand_int_range (world->rand, 1, 6);
      break;
    case 2:
      store_standin_release (host->link);
      break;
    case 3:
      host->link->responses_to_drop = (guint)g_rand_int_range (world->rand, 1, 4);
      break;
    case 4:
      host->link->refuse = !host->link->refuse;
      break;
    case 5:
      store_standin_truncate (host->link, IV_TOPIC_JOBS);
      break;
    default:
      if (world->hosts_lost < 4)
        lose_host (world, host);
    }
}

static void
play (void *context)
{
  static const char *const methods[] = { "POST", "POST", "POST", "DELETE", "DELETE", "GET" };
  struct world *world = context;
  guint host = (guint)g_rand_int_range (world->rand, 0, HOSTS);
  gint64 now = (gint64)uv_now (loop);
  if (now >= world->end_ms)
    {
      for (guint i = 0; i < HOSTS; i++)
        {
          store_standin_release (world->hosts[i].link);
          world->hosts[i].link->responses_to_drop = 0;
          world->hosts[i].link->refuse = FALSE;
        }
      return;
    }
  if (g_rand_int_range (world->rand, 0, 10) == 0)
    disrupt (world, &world->hosts[host]);
  else
    send_call (world, host, (guint)g_rand_int_range (world->rand, 0, IDS),
               methods[g_rand_int_range (world->rand, 0, G_N_ELEMENTS (methods))]);
  iv_deadline_set (deadlines, &world->next, now + g_rand_int_range (world->rand, 10, 100));
}

static void
start_world (struct world *world, guint seed)
{
  memset (world, 0, sizeof *world);
  world->seed = seed;
  world->rand = g_rand_new_with_seed (seed);
  for (guint i = 0; i < HOSTS; i++)
    start_host (world, &world->hosts[i]);
  world->next.fire = play;
  world->next.context = world;
  world->end_ms = (gint64)uv_now (loop) + DISRUPTED_MS;
  iv_deadline_set (deadlines, &world->next, (gint64)uv_now (loop) + 200);
}

static void
run_for (gint64 duration_ms)
{
  gint64 end = (gint64)uv_now (loop) + duration_ms;
  while ((gint64)uv_now (loop) < end)
    uv_run (loop, UV_RUN_ONCE);
}

/* The number of answers that were not true of the store in the end. */
static guint
count_untrue (const struct world *world, struct iv_job_table *job_table, const char *reader)
{
  guint untrue = 0;
  for (guint i = 0; i < IDS; i++)
    {
      const struct told *told = &world->told[i];
      const struct iv_job_entry *job;
      gboolean runs, wrong;
      char id[IV_JOB_ID_LEN + 1];
      g_snprintf (id, sizeof id, "%016x", i);
      job = iv_job_table_find (job_table, id);
      runs = job && iv_job_state (job) != IVJ_CANCELLED;
      wrong = (told->cancelled && runs) || (told->accepted && job == NULL) || told->refused;
      if (wrong)
        print_error ("seed %u, job %u as read by %s: accepted %d, cancelled %d, refused %d, runs "
                     "%d\n",
                     world->seed, i, reader, told->accepted, told->cancelled, told->refused, runs);
      untrue += wrong;
    }
  return untrue;
}

static guint
check_world (const struct world *world)
{
  struct iv_job_table *job_table = iv_job_table_new ();
  char address[32];
  struct iv_store *client;
  struct iv_stream *stream;
  guint untrue = 0;
  guint16 port = loopback_port_reserve ();
  struct store_standin *link = store_standin_new (loop, port);
  g_ptr_array_add (readers, link);
  link->topics = world->hosts[0].link->topics;
  g_snprintf (address, sizeof address, "127.0.0.1:%u", port);
  client = iv_store_new (iv_http_client_new (loop, deadlines, 3600000, 1 << 20), address);
  g_ptr_array_add (readers, client);
  stream = follow (client, job_table);
  while (!iv_stream_loaded (stream))
    uv_run (loop, UV_RUN_ONCE);
  untrue += count_untrue (world, job_table, "a host that starts");
  for (guint i = 0; i < HOSTS; i++)
    untrue += count_untrue (world, world->hosts[i].job_table, "a host");
  iv_stream_close (stream);
  iv_job_table_free (job_table);
  return untrue;
}

/* Guards against jobs that run after their cancellation was acknowledged, accepted jobs that are
   lost, and refusals that tell that a job never runs. */
static void
test_answers_stay_true (void **state)
{
  static struct world worlds[WORLDS];
  guint untrue = 0;
  guint cancelled = 0;
  for (guint first = 0; first < seed_count; first += WORLDS)
    {
      guint count = MIN (WORLDS, seed_count - first);
      for (guint i = 0; i < count; i++)
        start_world (&worlds[i], seed_first + first + i);
      run_for (DISRUPTED_MS + CALM_MS);
      for (guint i = 0; i < count; i++)
        {
          untrue += check_world (&worlds[i]);
          for (guint j = 0; j < IDS; j++)
            cancelled += worlds[i].told[j].cancelled;
        }
    }
  print_message ("%u seeds from %u on, %u jobs cancelled, %u answers untrue\n", seed_count,
                 seed_first, cancelled, untrue);
  assert_true (cancelled > 0);
  assert_int_equal (untrue, 0);
}

static GLogWriterOutput
ignore_line (GLogLevelFlags level, const GLogField *fields, gsize count, gpointer context)
{
  return G_LOG_WRITER_HANDLED;
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_answers_stay_true) };
  if (argc > 2)
    {
      seed_first = (guint)g_ascii_strtoull (argv[1], NULL, 10);
      seed_count = (guint)g_ascii_strtoull (argv[2], NULL, 10);
    }
  settings.limits
      = (struct iv_limit_settings){ .requests = 100, .connections = 100, .read_timeout_ms = 5000 };
  readers = g_ptr_array_new ();
  loop = uv_default_loop ();
  deadlines = iv_deadlines_new (loop);
  caller = iv_http_client_new (loop, deadlines, 3600000, 1 << 20);
  routes = iv_wire_parse_config ((const guint8 *)config, strlen (config));
  g_log_set_writer_func (ignore_line, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
