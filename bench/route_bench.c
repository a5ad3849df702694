/**
 * @file route_bench.c
 * Routing decisions in simulated time: seven entry hosts and the instances of one deployment,
 * against baselines in the same run (round robin, no retry budget).
 *
 * An instance serves 8 requests at a time. Service times are 10 ms plus an exponentially
 * distributed part with a mean of 10 ms; one instance in ten is ten times slower in scenarios with
 * slow instances.
 */
#include "router.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 7
#define SLOTS 8
#define SERVICE_MS 20.0 /* mean */
#define SLOW_FACTOR 10
#define DEADLINE_MS 300
#define RUN_MS 20000

struct user
{
  const char *name;
  guint instances;
};

static const struct user users[] = { { "khairat", 66 }, { "zlatar", 48 } };

struct call
{
  guint router;
  guint64 request;
  guint instance;
  gint64 started_ms, ends_ms;
  gboolean incomplete; /* ends without a complete response */
  gboolean timed_out;  /* the deadline precedes the response */
};

struct scenario
{
  double load;          /* offered load as a fraction of the capacity of all slots */
  gboolean slow;        /* one instance in ten is slow */
  double failure_ratio; /* fraction of the calls that end without a complete response */
  enum iv_router_strategy strategy;
  gboolean no_retry_budget; /* retries without a budget */
};

struct result
{
  double p50, p99, p999; /* latency in ms */
  double goodput;        /* complete responses per second */
  double retry_ratio;    /* retries per request */
  guint not_run, may_have_run;
};

struct sim
{
  const struct user *user;
  const struct scenario *scenario;
  struct iv_router *routers[HOSTS];
  GArray *calls;
  GArray *arrivals_ms; /* of gint64, arrival time by request */
  GArray *latencies;   /* of double, in ms */
  gint64 now_ms;
  guint64 requests, calls_made;
  guint not_run, may_have_run;
  gsl_rng *rng;
};

static void
set_instances (struct sim *sim)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct iv_instance_info));
  GStringChunk *names = g_string_chunk_new (1024);
  for (guint i = 0; i < sim->user->instances; i++)
    {
      char name[16];
      struct iv_instance_info info
          = { .service = "s", .domain = "d", .slots = SLOTS, .connections = 64, .local = TRUE };
      snprintf (name, sizeof name, "i%u", i);
      info.name = info.address = g_string_chunk_insert (names, name);
      g_array_append_val (list, info);
    }
  for (guint h = 0; h < HOSTS; h++)
    iv_router_set_instances (sim->routers[h], (struct iv_instance_info *)(gpointer)list->data,
                             list->len);
  g_array_free (list, TRUE);
  g_string_chunk_free (names);
}

static void
start_call (struct sim *sim, guint router, const struct iv_action *action)
{
  guint instance = (guint)atoi (action->instance + 1);
  double mean = SERVICE_MS * (sim->scenario->slow && instance % 10 == 0 ? SLOW_FACTOR : 1);
  struct call call = {
    .router = router, .request = action->request, .instance = instance, .started_ms = sim->now_ms
  };
  call.ends_ms = sim->now_ms + 1 + (gint64)(mean / 2 + gsl_ran_exponential (sim->rng, mean / 2));
  call.incomplete = gsl_rng_uniform (sim->rng) < sim->scenario->failure_ratio;
  call.timed_out = call.ends_ms > action->deadline_ms;
  call.ends_ms = MIN (call.ends_ms, action->deadline_ms);
  sim->calls_made++;
  g_array_append_val (sim->calls, call);
}

static void
run_actions (struct sim *sim, guint router)
{
  struct iv_action action;
  while ((action = iv_router_next (sim->routers[router], sim->now_ms)).kind != IV_ACTION_NONE)
    if (action.kind == IV_ACTION_CALL)
      start_call (sim, router, &action);
    else if (action.kind == IV_ACTION_REFUSE && action.may_have_run)
      sim->may_have_run++;
    else if (action.kind == IV_ACTION_REFUSE)
      sim->not_run++;
    else
      iv_router_probe_ended (sim->routers[router], sim->now_ms, action.instance, TRUE);
}

static void
end_calls (struct sim *sim)
{
  for (guint i = 0; i < sim->calls->len;)
    {
      struct call call = g_array_index (sim->calls, struct call, i);
      enum iv_call_outcome outcome = call.timed_out    ? IV_CALL_TIMED_OUT
                                     : call.incomplete ? IV_CALL_INCOMPLETE
                                                       : IV_CALL_OK;
      char name[16];
      if (call.ends_ms > sim->now_ms)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (sim->calls, i);
      snprintf (name, sizeof name, "i%u", call.instance);
      if (iv_router_call_ended (sim->routers[call.router], sim->now_ms, call.request, name, outcome,
                                sim->now_ms - call.started_ms)
          >= IV_ROUTE_RETRY)
        continue;
      if (outcome == IV_CALL_OK)
        {
          double latency
              = (double)(sim->now_ms - g_array_index (sim->arrivals_ms, gint64, call.request));
          g_array_append_val (sim->latencies, latency);
        }
      else
        sim->may_have_run++;
    }
}

static void
add_requests (struct sim *sim, double rate_per_ms)
{
  guint count = gsl_ran_poisson (sim->rng, rate_per_ms);
  for (guint i = 0; i < count; i++)
    {
      struct iv_request_info info = { .id = sim->requests++,
                                      .service = "s",
                                      .deadline_ms = sim->now_ms + DEADLINE_MS,
                                      .idempotent = TRUE };
      g_array_append_val (sim->arrivals_ms, sim->now_ms);
      iv_router_add (sim->routers[info.id % HOSTS], sim->now_ms, &info);
    }
}

static struct result
run (const struct user *user, const struct scenario *scenario, guint64 seed)
{
  struct sim sim = { .user = user, .scenario = scenario, .now_ms = 1000 };
  double capacity = user->instances * SLOTS / SERVICE_MS;
  struct result result;
  sim.rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (sim.rng, seed);
  sim.calls = g_array_new (FALSE, FALSE, sizeof (struct call));
  sim.arrivals_ms = g_array_new (FALSE, FALSE, sizeof (gint64));
  sim.latencies = g_array_new (FALSE, FALSE, sizeof (double));
  for (guint h = 0; h < HOSTS; h++)
    {
      struct iv_router_options options = { .rank = h,
                                           .hosts = HOSTS,
                                           .queue_max = 2000,
                                           .retry_percent = 10,
                                           .eject_ms = 1000,
                                           .slot_hold_ms = 200,
                                           .remote_cost_ms = 10,
                                           .seed = seed };
      options.strategy = scenario->strategy;
      options.unlimited_retries = scenario->no_retry_budget;
      sim.routers[h] = iv_router_new (&options);
    }
  set_instances (&sim);
  for (gint64 until = sim.now_ms + RUN_MS; sim.now_ms < until; sim.now_ms++)
    {
      end_calls (&sim);
      add_requests (&sim, capacity * scenario->load);
      for (guint h = 0; h < HOSTS; h++)
        run_actions (&sim, h);
    }
  gsl_sort ((double *)(gpointer)sim.latencies->data, 1, sim.latencies->len);
  result.p50 = gsl_stats_quantile_from_sorted_data ((double *)(gpointer)sim.latencies->data, 1,
                                                    sim.latencies->len, 0.5);
  result.p99 = gsl_stats_quantile_from_sorted_data ((double *)(gpointer)sim.latencies->data, 1,
                                                    sim.latencies->len, 0.99);
  result.p999 = gsl_stats_quantile_from_sorted_data ((double *)(gpointer)sim.latencies->data, 1,
                                                     sim.latencies->len, 0.999);
  result.goodput = sim.latencies->len * 1000.0 / RUN_MS;
  result.retry_ratio = 0;
  for (guint h = 0; h < HOSTS; h++)
    result.retry_ratio
        += (double)iv_router_retries (sim.routers[h]) / (double)MAX (1, sim.requests);
  result.not_run = sim.not_run;
  result.may_have_run = sim.may_have_run;
  for (guint h = 0; h < HOSTS; h++)
    iv_router_free (sim.routers[h]);
  g_array_free (sim.calls, TRUE);
  g_array_free (sim.arrivals_ms, TRUE);
  g_array_free (sim.latencies, TRUE);
  gsl_rng_free (sim.rng);
  return result;
}

static void
print_measure (const char *measure, const char *user, double ours, double baseline,
               const char *baseline_name, const char *unit, guint64 seed)
{
  printf ("bench measure=%s user=%s ours=%.3f baseline=%.3f baseline_name=%s unit=%s "
          "seed=%" G_GUINT64_FORMAT "\n",
          measure, user, ours, baseline, baseline_name, unit, seed);
}

static void
bench_user (const struct user *user, guint64 seed)
{
  static const double loads[] = { 0.5, 0.9, 1.0, 1.5 };
  struct scenario failing = { .load = 0.7, .failure_ratio = 0.5 },
                  failing_no_budget
                  = { .load = 0.7, .failure_ratio = 0.5, .no_retry_budget = TRUE };
  struct scenario slow = { .load = 0.7, .slow = TRUE },
                  slow_round_robin
                  = { .load = 0.7, .slow = TRUE, .strategy = IV_ROUTER_ROUND_ROBIN };
  struct result ours, baseline;
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      struct scenario scenario = { .load = loads[i] },
                      round_robin = { .load = loads[i], .strategy = IV_ROUTER_ROUND_ROBIN };
      char name[32];
      ours = run (user, &scenario, seed);
      baseline = run (user, &round_robin, seed);
      snprintf (name, sizeof name, "request_p50_load%.0f", loads[i] * 100);
      print_measure (name, user->name, ours.p50, baseline.p50, "round_robin", "ms", seed);
      snprintf (name, sizeof name, "request_p99_load%.0f", loads[i] * 100);
      print_measure (name, user->name, ours.p99, baseline.p99, "round_robin", "ms", seed);
      snprintf (name, sizeof name, "request_p999_load%.0f", loads[i] * 100);
      print_measure (name, user->name, ours.p999, baseline.p999, "round_robin", "ms", seed);
      snprintf (name, sizeof name, "goodput_load%.0f", loads[i] * 100);
      print_measure (name, user->name, ours.goodput, baseline.goodput, "round_robin", "1/s", seed);
    }
  ours = run (user, &slow, seed);
  baseline = run (user, &slow_round_robin, seed);
  print_measure ("request_p99_one_in_ten_slow", user->name, ours.p99, baseline.p99, "round_robin",
                 "ms", seed);
  ours = run (user, &failing, seed);
  baseline = run (user, &failing_no_budget, seed);
  print_measure ("retries_per_request_half_breaking", user->name, ours.retry_ratio,
                 baseline.retry_ratio, "no_retry_budget", "retries", seed);
}

int
main (int argc, char **argv)
{
  guint64 seed = argc > 1 ? g_ascii_strtoull (argv[1], NULL, 10) : 1;
  for (guint i = 0; i < G_N_ELEMENTS (users); i++)
    bench_user (&users[i], seed);
  return 0;
}
