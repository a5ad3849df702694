/**
 * @file sched_bench.c
 * Scheduling decisions for one failure domain of each deployment, against baselines in the same
 * run: first fit, and placement without the interference model, which assumes that all pairs of
 * workloads interfere alike.
 *
 * The simulation has one planner and fake workers. Tasks on a worker slow each other down by pair;
 * usage and slowdown are reported with a delay, declared run times are off by up to a half, and
 * tasks that interfere strongly come in waves. Time is simulated.
 */
#include "fake_worker.h"
#include "planner.h"

#include <gsl/gsl_rng.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_MS 200
#define RUN_MS 150000
#define WARM_UP_MS 30000 /* before latencies are sampled */
#define WAVE_MS 40000
#define JOBS_PER_SECOND 8
#define TASKS_PER_WORKER_MAX 40
#define SLOWDOWN_LEVELS 6
#define BASE_LATENCY_MS 10.0
#define START_MS 1000000
#define START_WALL_MS G_GUINT64_CONSTANT (1700000000000)

/* A deployment of one user. */
struct user
{
  const char *name;
  const char *service;
  guint workers; /* in this failure domain */
  struct iv_weights weights;
  double throttle_above, evict_above;
};

static const struct user users[] = {
  { "khairat", "ledger", 22, { 0.5, 2, 0.2, 0.5, 0.2, 0.5 }, 0.5, 1 },
  { "zlatar", "ticket", 16, { 4, 0.5, 0.1, 0.5, 0.2, 0.05 }, 0.25, 0.6 },
};

struct sim
{
  const struct user *user;
  gint64 now_ms;
  guint64 wall_ms;
  guint64 next_offset;
  gsl_rng *rng;
  struct iv_config *config;
  guint64 config_sequence;
  struct iv_planner *planner;
  GPtrArray *workers;
  double completed_core_ms; /* declared run time of completed batch tasks, times their cores */
  GArray *latencies;        /* of double, in ms */
  gboolean out;
};

struct result
{
  double p99_ms;
  double batch_core_hours;
  double evictions;
};

/* Actual slowdown of a pair of workloads, derived from their names: low for most pairs, high for
 * some. */
static double
coefficient (void *context, const char *victim, const char *other)
{
  gboolean service = strchr (victim, '-') == NULL;
  guint level = (guint)other[5] * 5 + (service ? 3 : (guint)victim[5] * 3);
  static const double slowdowns[SLOWDOWN_LEVELS] = { 0.1, 0.2, 0.3, 0.6, 1.5, 4 };
  return slowdowns[level % SLOWDOWN_LEVELS] * (service ? 1 : 0.5);
}

static void
on_done (void *context, struct fake_worker *worker, const struct fake_task *task)
{
  struct sim *sim = context;
  sim->completed_core_ms += (double)task->run_ms * task->size.cpu_milli / 1000;
}

static void
apply_config (struct sim *sim, ivx_record *record)
{
  ivx_batch batch = {
    .writer = 1, .incarnation = 1, .sequence = ++sim->config_sequence, .records = { 1, record }
  };
  iv_config_apply (sim->config, sim->config->next, &batch);
}

static void
submit (struct sim *sim, ivx_type type, const char *name, guint tasks, guint cpu_milli,
        guint run_ms, guint priority)
{
  ivx_share share = { (char *)"d", 0, tasks };
  ivx_item item = { .change = IVX_ADDED,
                    .type = type,
                    .name = (char *)name,
                    .team = (char *)"t",
                    .size = { cpu_milli, 1000, 0 },
                    .tasks = tasks,
                    .priority = priority,
                    .run_ms = run_ms,
                    .shares = { 1, &share } };
  ivx_record record = { .kind = type == IVX_JOB ? IVX_SUBMIT : IVX_RELEASE };
  if (type == IVX_JOB)
    record.ivx_record_u.submit = item;
  else
    record.ivx_record_u.release = (ivx_release){
      sim->config->release + 1, sim->config->release, (char *)"o", (char *)"", { 1, &item }
    };
  apply_config (sim, &record);
}

static struct sim *
sim_new (const struct user *user, enum iv_strategy strategy, guint64 seed)
{
  struct sim *sim = g_new0 (struct sim, 1);
  struct iv_planner_options options = iv_planner_default_options ();
  sim->user = user;
  sim->now_ms = START_MS;
  sim->wall_ms = START_WALL_MS;
  sim->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (sim->rng, seed);
  sim->config = iv_config_new ();
  sim->latencies = g_array_new (FALSE, FALSE, sizeof (double));
  sim->workers = g_ptr_array_new ();
  options.strategy = strategy;
  options.weights = user->weights;
  options.throttle_above = user->throttle_above;
  options.evict_above = user->evict_above;
  sim->planner = iv_planner_new ("d", "h", 1, &options, sim->now_ms);
  for (guint i = 0; i < user->workers; i++)
    {
      char *name = g_strdup_printf ("w%02u", i);
      struct fake_worker *worker = fake_worker_new (name, (ivx_size){ 64000, 250000, 0 },
                                                    sim->now_ms, sim->wall_ms, i + 1);
      worker->coefficient = coefficient;
      worker->done = on_done;
      worker->context = sim;
      worker->measurement_interval_ms = 3000;
      g_ptr_array_add (sim->workers, worker);
      g_free (name);
    }
  return sim;
}

static void
sim_free (struct sim *sim)
{
  iv_planner_free (sim->planner);
  iv_config_free (sim->config);
  for (guint i = 0; i < sim->workers->len; i++)
    fake_worker_free (g_ptr_array_index (sim->workers, i));
  g_ptr_array_free (sim->workers, TRUE);
  g_array_free (sim->latencies, TRUE);
  gsl_rng_free (sim->rng);
  g_free (sim);
}

static void
set_worker_list (struct sim *sim)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct iv_host_entry));
  for (guint i = 0; i < sim->workers->len; i++)
    {
      struct fake_worker *worker = g_ptr_array_index (sim->workers, i);
      struct iv_host_entry entry = { 0 };
      entry.info = (ivx_worker){ worker->name, (char *)(i < 11 ? "r1" : "r2"), worker->name,
                                 worker->size, START_WALL_MS };
      g_array_append_val (list, entry);
    }
  iv_planner_set_hosts (sim->planner, list);
  g_array_free (list, TRUE);
}

static const char *
no_move (void *context, const char *from, const ivx_item *item)
{
  return NULL;
}

static void
sample_latencies (struct sim *sim)
{
  for (guint i = 0; i < sim->workers->len; i++)
    {
      const struct fake_worker *worker = g_ptr_array_index (sim->workers, i);
      for (guint j = 0; j < worker->tasks->len; j++)
        {
          const struct fake_task *task = g_ptr_array_index (worker->tasks, j);
          double latency = BASE_LATENCY_MS * (1 + task->slowdown);
          if (task->state == IV_RUN_RUNNING && task->run_ms == 0)
            g_array_append_val (sim->latencies, latency);
        }
    }
}

/* Keeps batch tasks waiting at all times. Strongly interfering workloads come in the second half of
   each wave. */
static void
submit_batch_jobs (struct sim *sim, guint *jobs)
{
  gint64 phase = (sim->now_ms - START_MS) % WAVE_MS;
  char name[32];
  if (g_hash_table_size (iv_planner_cell (sim->planner)->tasks)
      > sim->user->workers * TASKS_PER_WORKER_MAX)
    return;
  for (guint i = 0; i < JOBS_PER_SECOND; i++)
    {
      guint kind = phase < WAVE_MS / 2 ? (guint)gsl_rng_uniform_int (sim->rng, 3)
                                       : (guint)gsl_rng_uniform_int (sim->rng, 12);
      guint declared = 4000 + (guint)gsl_rng_uniform_int (sim->rng, 16000);
      snprintf (name, sizeof name, "batch%c-%u", 'a' + (char)kind, (*jobs)++);
      submit (sim, IVX_JOB, name, 6, 1000 * (1 + kind % 4), declared, 1);
    }
}

static void
step (struct sim *sim)
{
  struct iv_now now = { sim->now_ms, sim->wall_ms };
  struct iv_planner_output *output;
  iv_planner_read_end (sim->planner, sim->now_ms);
  iv_planner_set_config (sim->planner, sim->config, sim->now_ms);
  output = iv_planner_step (sim->planner, now, no_move, NULL);
  if (output->batch)
    {
      ivx_batch batch;
      iv_batch_decode (output->batch->data, output->batch->len, &batch);
      iv_planner_apply (sim->planner, now, sim->next_offset++, &batch);
      iv_batch_clear (&batch);
    }
  for (guint i = 0; i < output->config_records->len; i++)
    apply_config (sim, &g_array_index (output->config_records, ivx_record, i));
  for (guint i = 0; i < output->syncs->len; i++)
    {
      const struct iv_sync *sync = g_ptr_array_index (output->syncs, i);
      guint index = (guint)atoi (sync->address + 1);
      iv_planner_handle_reply (
          sim->planner, now, sync->worker, sim->now_ms,
          fake_worker_sync (g_ptr_array_index (sim->workers, index), sim->now_ms, sync));
    }
  iv_planner_output_free (output);
  sim->now_ms += STEP_MS;
  sim->wall_ms += STEP_MS;
  for (guint i = 0; i < sim->workers->len; i++)
    fake_worker_advance (g_ptr_array_index (sim->workers, i), sim->now_ms);
}

static void
set_out (struct sim *sim, gboolean out)
{
  ivx_record record = { .kind = IVX_DOMAIN };
  record.ivx_record_u.domain = (ivx_domain){ (char *)"d", out };
  apply_config (sim, &record);
}

/* With @a domain_out the domain is out of service from a third to half of the run. */
static struct result
run (const struct user *user, enum iv_strategy strategy, guint64 seed, gboolean domain_out)
{
  struct sim *sim = sim_new (user, strategy, seed);
  struct result result;
  guint jobs = 0;
  gint64 start_ms = sim->now_ms;
  set_worker_list (sim);
  submit (sim, IVX_SERVICE, user->service, user->workers, 8000, 0, 100);
  while (sim->now_ms - start_ms < RUN_MS)
    {
      gint64 elapsed_ms = sim->now_ms - start_ms;
      if (domain_out && elapsed_ms == RUN_MS / 3)
        set_out (sim, TRUE);
      if (domain_out && elapsed_ms == RUN_MS / 2)
        set_out (sim, FALSE);
      if (elapsed_ms % 1000 == 0)
        submit_batch_jobs (sim, &jobs);
      step (sim);
      if (elapsed_ms > WARM_UP_MS && elapsed_ms % 1000 == 0)
        sample_latencies (sim);
    }
  gsl_sort ((double *)(gpointer)sim->latencies->data, 1, sim->latencies->len);
  result.p99_ms = gsl_stats_quantile_from_sorted_data ((double *)(gpointer)sim->latencies->data, 1,
                                                       sim->latencies->len, 0.99);
  result.batch_core_hours = sim->completed_core_ms / 3600000;
  result.evictions = iv_planner_cell (sim->planner)->evictions;
  sim_free (sim);
  return result;
}

static void
print_measure (const char *measure_name, const char *user, double ours, double baseline,
               const char *baseline_name, const char *unit, guint64 seed)
{
  printf ("bench measure=%s user=%s ours=%.3f baseline=%.3f baseline_name=%s unit=%s "
          "seed=%" G_GUINT64_FORMAT "\n",
          measure_name, user, ours, baseline, baseline_name, unit, seed);
}

int
main (int argc, char **argv)
{
  guint64 seed = argc > 1 ? g_ascii_strtoull (argv[1], NULL, 10) : 1;
  for (guint i = 0; i < G_N_ELEMENTS (users); i++)
    {
      const struct user *user = &users[i];
      struct result ours = run (user, IV_STRATEGY_INTERFERENCE, seed, FALSE);
      struct result first_fit = run (user, IV_STRATEGY_FIRST_FIT, seed, FALSE);
      struct result no_model = run (user, IV_STRATEGY_NO_MODEL, seed, FALSE);
      struct result ours_domain_out = run (user, IV_STRATEGY_INTERFERENCE, seed, TRUE);
      struct result first_fit_domain_out = run (user, IV_STRATEGY_FIRST_FIT, seed, TRUE);
      print_measure ("service_p99", user->name, ours.p99_ms, no_model.p99_ms,
                     "no_interference_model", "ms", seed);
      print_measure ("service_p99", user->name, ours.p99_ms, first_fit.p99_ms, "first_fit", "ms",
                     seed);
      print_measure ("batch_throughput", user->name, ours.batch_core_hours,
                     first_fit.batch_core_hours, "first_fit", "core-hours", seed);
      print_measure ("batch_throughput", user->name, ours.batch_core_hours,
                     no_model.batch_core_hours, "no_interference_model", "core-hours", seed);
      print_measure ("evictions", user->name, ours.evictions, no_model.evictions,
                     "no_interference_model", "count", seed);
      print_measure ("work_during_domain_change", user->name, ours_domain_out.batch_core_hours,
                     first_fit_domain_out.batch_core_hours, "first_fit", "core-hours", seed);
    }
  return 0;
}
