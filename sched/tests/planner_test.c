/**
 * @file planner_test.c
 * Scheduling under faults: every fault, and every pair of faults, at every step of a task's life
 * cycle, and single scenarios. Some scenarios are also run with an injected fault and must then
 * fail.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "oracle.h"

#define ALPHA 0
#define BETA 1
#define COMPLETION_TIMEOUT_MS 240000

/* Injected faults, each of which the scenarios written for it have to detect. */
enum mutation
{
  NO_MUTATION,
  NO_LEASE,   /* workers do not stop tasks whose lease has expired */
  NO_EVIDENCE /* starts need no recent read of the log */
};

struct scenario
{
  struct world *world;
  struct oracle *oracle;
};

static struct scenario
scenario_new (enum mutation mutation)
{
  struct iv_planner_options options = iv_planner_default_options ();
  struct scenario scenario;
  options.horizon_ms = 10000;
  options.snapshot_interval_ms = 5000;
  options.cooldown_ms = 2000;
  options.drain_ms = 1000;
  if (mutation == NO_EVIDENCE)
    options.evidence_max_age_ms = 1000000;
  scenario.world = world_new (7, &options);
  scenario.oracle = oracle_new (scenario.world);
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    for (guint w = 0; w < WORLD_WORKERS; w++)
      scenario.world->workers[d][w]->skip_lease = mutation == NO_LEASE;
  world_advance (scenario.world, 2000);
  return scenario;
}

static void
scenario_free (struct scenario *scenario)
{
  oracle_free (scenario->oracle);
  world_free (scenario->world);
}

/* Steps until @a ms have passed; FALSE as soon as an invariant is violated. */
static gboolean
run_checked (struct scenario *scenario, gint64 ms)
{
  for (gint64 until = scenario->world->now_ms + ms; scenario->world->now_ms < until;)
    {
      world_step (scenario->world);
      if (!oracle_check (scenario->oracle))
        return FALSE;
    }
  return TRUE;
}

static gboolean
run_to_completion (struct scenario *scenario)
{
  world_clear_faults (scenario->world);
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    world_set_domain_out (scenario->world, d, FALSE);
  for (gint64 until = scenario->world->now_ms + COMPLETION_TIMEOUT_MS;
       scenario->world->now_ms < until;)
    {
      if (!run_checked (scenario, 1000))
        return FALSE;
      if (oracle_all_ended (scenario->oracle))
        return oracle_states_agree (scenario->oracle);
    }
  oracle_dump (scenario->oracle, stderr);
  return FALSE;
}

static guint
owner_host (const struct scenario *scenario, guint domain)
{
  for (guint h = 0; h < WORLD_HOSTS; h++)
    if (iv_planner_owns (scenario->world->hosts[h].planners[domain]))
      return h;
  fail_msg ("no owner of %s", world_domain_name (domain));
  return 0;
}

static guint
running_worker (const struct scenario *scenario, guint domain)
{
  for (guint w = 0; w < WORLD_WORKERS; w++)
    if (scenario->world->workers[domain][w]->tasks->len > 0)
      return w;
  fail_msg ("nothing runs in %s", world_domain_name (domain));
  return 0;
}

static void
set_workers_cut (struct scenario *scenario, guint domain, gboolean partitioned)
{
  for (guint h = 0; h < WORLD_HOSTS; h++)
    scenario->world->partitioned[h][domain] = partitioned;
}

static void
test_jobs_finish (void **state)
{
  struct scenario scenario = scenario_new (NO_MUTATION);
  world_submit_job (scenario.world, "job0", ALPHA, 30, 2000, 3000, FALSE);
  world_submit_job (scenario.world, "once1", BETA, 10, 1000, 2000, TRUE);
  assert_true (run_to_completion (&scenario));
  assert_int_equal (scenario.oracle->done, 40);
  assert_int_equal (scenario.oracle->starts, 40);
  scenario_free (&scenario);
}

/* Tasks on a worker that does not reply may run on another worker only after their leases have
   expired. */
static gboolean
survives_frozen_worker (enum mutation mutation)
{
  struct scenario scenario = scenario_new (mutation);
  gboolean ok;
  world_submit_job (scenario.world, "job0", ALPHA, 2, 2000, 30000, FALSE);
  ok = run_checked (&scenario, 3000);
  scenario.world->worker_frozen[ALPHA][running_worker (&scenario, ALPHA)] = TRUE;
  ok = ok && run_checked (&scenario, 20000) && run_to_completion (&scenario);
  scenario_free (&scenario);
  return ok;
}

static void
test_frozen_worker (void **state)
{
  assert_true (survives_frozen_worker (NO_MUTATION));
  assert_false (survives_frozen_worker (NO_LEASE));
}

/* Orders for an earlier boot of a worker arrive after its reboot. The random delays of each seed
   lead to a different message sequence. */
static gboolean
survives_reboot_with_orders_in_flight (void)
{
  gboolean ok = TRUE;
  for (guint seed = 0; seed < 20 && ok; seed++)
    {
      struct scenario scenario = scenario_new (NO_MUTATION);
      struct world *world = scenario.world;
      gsl_rng_set (world->rng, seed);
      world_submit_job (world, "job0", ALPHA, 8, 2000, 1500, FALSE);
      world->delay_max_ms = 900;
      ok = run_checked (&scenario, 1500);
      for (guint w = 0; w < WORLD_WORKERS; w++)
        fake_worker_reboot (world->workers[ALPHA][w], world->now_ms, world->wall_ms,
                            ++world->last_id);
      ok = ok && run_checked (&scenario, 15000) && run_to_completion (&scenario);
      scenario_free (&scenario);
    }
  return ok;
}

static void
test_orders_for_earlier_boot_are_refused (void **state)
{
  assert_true (survives_reboot_with_orders_in_flight ());
}

/* The owner reaches its workers but not the log while operators take the domain out of service: it
   must not start tasks. */
static gboolean
survives_out_while_cut_off (enum mutation mutation)
{
  struct scenario scenario = scenario_new (mutation);
  guint owner = owner_host (&scenario, ALPHA);
  gboolean ok;
  world_submit_job (scenario.world, "job0", ALPHA, 6, 2000, 20000, FALSE);
  set_workers_cut (&scenario, ALPHA, TRUE);
  ok = run_checked (&scenario, 800);
  for (guint h = 0; h < WORLD_HOSTS; h++)
    scenario.world->hosts[h].log_partitioned = TRUE;
  ok = ok && run_checked (&scenario, 200);
  world_set_domain_out (scenario.world, ALPHA, TRUE);
  ok = ok && run_checked (&scenario, 6000);
  scenario.world->partitioned[owner][ALPHA] = FALSE;
  ok = ok && run_checked (&scenario, 3000) && run_to_completion (&scenario);
  scenario_free (&scenario);
  return ok;
}

static void
test_out_while_cut_off (void **state)
{
  assert_true (survives_out_while_cut_off (NO_MUTATION));
  assert_false (survives_out_while_cut_off (NO_EVIDENCE));
}

/* The owner reaches its workers but not the log. Another host, which reaches the log but not the
   workers, takes the domain over and must wait for the horizon before it requeues their tasks. */
static gboolean
survives_takeover_while_tasks_run (enum mutation mutation)
{
  struct scenario scenario = scenario_new (mutation);
  guint owner = owner_host (&scenario, ALPHA);
  gboolean ok;
  world_submit_job (scenario.world, "job0", ALPHA, 4, 2000, 60000, FALSE);
  ok = run_checked (&scenario, 3000);
  scenario.world->hosts[owner].log_partitioned = TRUE;
  for (guint h = 0; h < WORLD_HOSTS; h++)
    scenario.world->partitioned[h][ALPHA] = h != owner;
  ok = ok && run_checked (&scenario, 60000) && run_to_completion (&scenario);
  scenario_free (&scenario);
  return ok;
}

static void
test_takeover_while_tasks_run (void **state)
{
  assert_true (survives_takeover_while_tasks_run (NO_MUTATION));
  assert_false (survives_takeover_while_tasks_run (NO_LEASE));
}

static void
test_domain_out_moves_work (void **state)
{
  struct scenario scenario = scenario_new (NO_MUTATION);
  world_submit_job (scenario.world, "job0", ALPHA, 8, 2000, 20000, FALSE);
  assert_true (run_checked (&scenario, 4000));
  world_set_domain_out (scenario.world, ALPHA, TRUE);
  assert_true (run_checked (&scenario, 8000));
  assert_int_equal (
      g_hash_table_size (iv_planner_cell (world_owner_planner (scenario.world, ALPHA))->tasks), 0);
  assert_int_equal (
      iv_planner_cell (world_owner_planner (scenario.world, BETA))->tasks
          ? g_hash_table_size (iv_planner_cell (world_owner_planner (scenario.world, BETA))->tasks)
          : 0,
      8);
  assert_true (run_checked (&scenario, 40000));
  assert_int_equal (scenario.oracle->done, 8);
  assert_true (run_to_completion (&scenario));
  scenario_free (&scenario);
}

static void
test_evicted_resumes_once (void **state)
{
  struct scenario scenario = scenario_new (NO_MUTATION);
  world_submit_job (scenario.world, "once0", ALPHA, 4, 2000, 20000, TRUE);
  assert_true (run_checked (&scenario, 6000));
  world_set_domain_out (scenario.world, ALPHA, TRUE);
  assert_true (run_checked (&scenario, 40000));
  assert_int_equal (scenario.oracle->done, 4);
  assert_int_equal (scenario.oracle->starts, 8);
  assert_true (run_to_completion (&scenario));
  scenario_free (&scenario);
}

static void
test_failing_worker_is_quarantined (void **state)
{
  struct scenario scenario = scenario_new (NO_MUTATION);
  char name[16];
  scenario.world->workers[ALPHA][0]->fail_all_tasks = TRUE;
  for (guint i = 0; i < 12; i++)
    {
      snprintf (name, sizeof name, "job%u", i);
      world_submit_job (scenario.world, name, ALPHA, 2, 1000, 2000, FALSE);
    }
  assert_true (run_checked (&scenario, 40000));
  assert_true (run_to_completion (&scenario));
  assert_int_equal (scenario.oracle->done, 24);
  scenario_free (&scenario);
}

static guint
fails_always (void *context, const struct fake_task *task)
{
  return strcmp (task->name, "job0") == 0;
}

static void
test_failing_job_ends (void **state)
{
  struct scenario scenario = scenario_new (NO_MUTATION);
  const struct iv_item *item;
  guint32 bad;
  for (guint w = 0; w < WORLD_WORKERS; w++)
    scenario.world->workers[ALPHA][w]->should_fail = fails_always;
  world_submit_job (scenario.world, "job0", ALPHA, 1, 1000, 2000, FALSE);
  world_submit_job (scenario.world, "job1", ALPHA, 6, 1000, 2000, FALSE);
  assert_true (run_to_completion (&scenario));
  item = iv_config_item (scenario.world->hosts[0].config, "job0");
  assert_int_equal (iv_item_ended_tasks (item, &bad), 1);
  assert_int_equal (bad, 1);
  scenario_free (&scenario);
}

static void
test_too_large_is_parked (void **state)
{
  struct scenario scenario = scenario_new (NO_MUTATION);
  const struct iv_planner *planner;
  GHashTableIter iter;
  gpointer value;
  world_submit_job (scenario.world, "job0", ALPHA, 1, 64000, 1000, FALSE);
  assert_true (run_checked (&scenario, 5000));
  planner = world_owner_planner (scenario.world, ALPHA);
  g_hash_table_iter_init (&iter, iv_planner_cell (planner)->tasks);
  assert_true (g_hash_table_iter_next (&iter, NULL, &value));
  assert_string_equal (iv_planner_wait_reason (planner, value, scenario.world->now_ms),
                       "parked: larger than every host");
  scenario_free (&scenario);
}

static void
test_mass_cancellation (void **state)
{
  struct scenario scenario = scenario_new (NO_MUTATION);
  guint64 before;
  world_submit_job (scenario.world, "job0", ALPHA, 1500, 1000, 60000, FALSE);
  assert_true (run_checked (&scenario, 4000));
  before = iv_planner_cell (world_owner_planner (scenario.world, ALPHA))->next;
  world_cancel_job (scenario.world, "job0");
  assert_true (run_checked (&scenario, 5000));
  assert_int_equal (
      g_hash_table_size (iv_planner_cell (world_owner_planner (scenario.world, ALPHA))->tasks), 0);
  /* One record cancels all queued tasks; the ends of the running ones fit in a few batches. */
  assert_true (iv_planner_cell (world_owner_planner (scenario.world, ALPHA))->next - before < 20);
  scenario_free (&scenario);
}

static void
test_all_hosts_replaced (void **state)
{
  struct scenario scenario = scenario_new (NO_MUTATION);
  world_submit_job (scenario.world, "job0", ALPHA, 10, 2000, 10000, FALSE);
  assert_true (run_checked (&scenario, 12000));
  world_expire_records (scenario.world, 3000);
  for (guint h = 0; h < WORLD_HOSTS; h++)
    world_replace_host (scenario.world, h);
  assert_true (run_checked (&scenario, 12000));
  assert_true (run_to_completion (&scenario));
  assert_int_equal (scenario.oracle->done, 10);
  scenario_free (&scenario);
}

static void
test_owner_writes_snapshots (void **state)
{
  struct scenario scenario = scenario_new (NO_MUTATION);
  guint64 first;
  struct fake_stream *stream = fake_log_stream (scenario.world->log, "domain.alpha");
  assert_true (run_checked (&scenario, 60000));
  world_expire_records (scenario.world, 6000);
  first = stream->first;
  assert_true (first > 0);
  assert_true (run_checked (&scenario, 30000));
  world_expire_records (scenario.world, 6000);
  assert_true (stream->first > first);
  scenario_free (&scenario);
}

/* Fault matrix: a fault begins when the tasks of a job have reached a step of their life cycle, and
   ends later. */
typedef void (*fault_fn) (struct scenario *scenario, gboolean on);

static void
fault_kill_owner (struct scenario *scenario, gboolean on)
{
  if (on)
    world_replace_host (scenario->world, owner_host (scenario, ALPHA));
}

static void
fault_pause_owner (struct scenario *scenario, gboolean on)
{
  static guint paused;
  if (on)
    paused = owner_host (scenario, ALPHA);
  scenario->world->hosts[paused].paused = on;
}

static void
fault_log_down (struct scenario *scenario, gboolean on)
{
  scenario->world->log_down = on;
}

static void
fault_lost_answers (struct scenario *scenario, gboolean on)
{
  scenario->world->lossy_log = on;
}

static void
fault_owner_cut_from_log (struct scenario *scenario, gboolean on)
{
  static guint partitioned;
  if (on)
    partitioned = owner_host (scenario, ALPHA);
  scenario->world->hosts[partitioned].log_partitioned = on;
}

static void
fault_owner_cut_from_workers (struct scenario *scenario, gboolean on)
{
  static guint partitioned;
  if (on)
    partitioned = owner_host (scenario, ALPHA);
  scenario->world->partitioned[partitioned][ALPHA] = on;
}

static void
fault_domain_cut (struct scenario *scenario, gboolean on)
{
  set_workers_cut (scenario, ALPHA, on);
}

static void
fault_freeze_worker (struct scenario *scenario, gboolean on)
{
  scenario->world->worker_frozen[ALPHA][0] = on;
}

static void
fault_reboot_worker (struct scenario *scenario, gboolean on)
{
  struct world *world = scenario->world;
  if (on)
    fake_worker_reboot (world->workers[ALPHA][1], world->now_ms, world->wall_ms, ++world->last_id);
}

static void
fault_unlist_worker (struct scenario *scenario, gboolean on)
{
  scenario->world->worker_listed[ALPHA][2] = !on;
}

static void
fault_slow_network (struct scenario *scenario, gboolean on)
{
  scenario->world->delay_max_ms = on ? 5000 : 20;
}

static void
fault_domain_out (struct scenario *scenario, gboolean on)
{
  world_set_domain_out (scenario->world, ALPHA, on);
}

static void
fault_failing_worker (struct scenario *scenario, gboolean on)
{
  scenario->world->workers[ALPHA][0]->fail_all_tasks = on;
}

static const struct
{
  const char *name;
  fault_fn set;
} faults[] = {
  { "owner killed", fault_kill_owner },
  { "owner paused", fault_pause_owner },
  { "log down", fault_log_down },
  { "answers lost", fault_lost_answers },
  { "owner cut from log", fault_owner_cut_from_log },
  { "owner cut from workers", fault_owner_cut_from_workers },
  { "domain's workers cut", fault_domain_cut },
  { "worker frozen", fault_freeze_worker },
  { "worker rebooted", fault_reboot_worker },
  { "worker unlisted", fault_unlist_worker },
  { "network slow", fault_slow_network },
  { "domain out", fault_domain_out },
  { "worker failing", fault_failing_worker },
};

/* Bring the tasks to a step of their life cycle; the fault begins right after it. */
static void
step_submit (struct scenario *scenario)
{
}

static void
step_admit (struct scenario *scenario)
{
  run_checked (scenario, 100);
}

static void
step_bind (struct scenario *scenario)
{
  run_checked (scenario, 200);
}

static void
step_start (struct scenario *scenario)
{
  run_checked (scenario, 400);
}

static void
step_renew (struct scenario *scenario)
{
  run_checked (scenario, 2500);
}

static void
step_evict (struct scenario *scenario)
{
  run_checked (scenario, 2500);
  world_set_domain_out (scenario->world, ALPHA, TRUE);
  run_checked (scenario, 300);
}

static void
step_move (struct scenario *scenario)
{
  run_checked (scenario, 2500);
  world_set_domain_out (scenario->world, ALPHA, TRUE);
  run_checked (scenario, 900);
}

static void
step_return (struct scenario *scenario)
{
  step_move (scenario);
  run_checked (scenario, 1000);
  world_set_domain_out (scenario->world, ALPHA, FALSE);
  run_checked (scenario, 200);
}

static void
step_finish (struct scenario *scenario)
{
  run_checked (scenario, 8300);
}

static void
step_cancel (struct scenario *scenario)
{
  run_checked (scenario, 2500);
  world_cancel_job (scenario->world, "job0");
  run_checked (scenario, 200);
}

static const struct
{
  const char *name;
  void (*reach) (struct scenario *scenario);
} steps[] = {
  { "submit", step_submit }, { "admit", step_admit },   { "bind", step_bind },
  { "start", step_start },   { "renew", step_renew },   { "evict", step_evict },
  { "move", step_move },     { "return", step_return }, { "finish", step_finish },
  { "cancel", step_cancel },
};

static void
run_case (guint step, guint first, guint second)
{
  struct scenario scenario = scenario_new (NO_MUTATION);
  gboolean ok;
  world_submit_job (scenario.world, "job0", ALPHA, 6, 2000, 8000, FALSE);
  world_submit_job (scenario.world, "once1", ALPHA, 3, 1000, 8000, TRUE);
  steps[step].reach (&scenario);
  faults[first].set (&scenario, TRUE);
  ok = run_checked (&scenario, 700);
  if (second < G_N_ELEMENTS (faults) && world_owner_planner (scenario.world, ALPHA))
    faults[second].set (&scenario, TRUE);
  ok = ok && run_checked (&scenario, 12000);
  faults[first].set (&scenario, FALSE);
  ok = ok && run_checked (&scenario, 2000) && run_to_completion (&scenario);
  if (!ok)
    fail_msg ("%s at %s%s%s: %s", faults[first].name, steps[step].name,
              second < G_N_ELEMENTS (faults) ? ", then " : "",
              second < G_N_ELEMENTS (faults) ? faults[second].name : "",
              scenario.oracle->violation ? scenario.oracle->violation : "did not finish");
  scenario_free (&scenario);
}

static void
test_fault_matrix (void **state)
{
  for (guint step = 0; step < G_N_ELEMENTS (steps); step++)
    for (guint fault = 0; fault < G_N_ELEMENTS (faults); fault++)
      run_case (step, fault, G_MAXUINT);
}

/* Faults may coincide, and the same fault may occur twice. */
static void
test_fault_pairs (void **state)
{
  for (guint step = 0; step < G_N_ELEMENTS (steps); step++)
    for (guint first = 0; first < G_N_ELEMENTS (faults); first++)
      for (guint second = 0; second < G_N_ELEMENTS (faults); second++)
        run_case (step, first, second);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_jobs_finish),
    cmocka_unit_test (test_frozen_worker),
    cmocka_unit_test (test_orders_for_earlier_boot_are_refused),
    cmocka_unit_test (test_out_while_cut_off),
    cmocka_unit_test (test_takeover_while_tasks_run),
    cmocka_unit_test (test_domain_out_moves_work),
    cmocka_unit_test (test_evicted_resumes_once),
    cmocka_unit_test (test_failing_worker_is_quarantined),
    cmocka_unit_test (test_failing_job_ends),
    cmocka_unit_test (test_too_large_is_parked),
    cmocka_unit_test (test_mass_cancellation),
    cmocka_unit_test (test_all_hosts_replaced),
    cmocka_unit_test (test_owner_writes_snapshots),
    cmocka_unit_test (test_fault_matrix),
    cmocka_unit_test (test_fault_pairs),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
