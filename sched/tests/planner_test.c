/**
 * @file planner_test.c
 * The fault matrix of the scheduling decisions: every fault at every step of a task's life, and
 * single scenarios, each of which is shown to fail on a broken version.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "oracle.h"

#define ALPHA 0
#define BETA 1
#define SETTLE_MS 240000

/* Broken versions: each has to be noticed by the scenario that is made for it. */
enum mutation
{
  INTACT,
  NO_LEASE,   /* workers run on when a lease has lapsed */
  NO_EVIDENCE /* starts need no fresh evidence */
};

struct scene
{
  struct world *world;
  struct oracle *oracle;
};

static struct scene
scene_new (enum mutation mutation)
{
  struct iv_planner_options options = iv_planner_default_options ();
  struct scene scene;
  options.horizon_ms = 10000;
  options.snapshot_ms = 5000;
  options.cooldown_ms = 2000;
  options.drain_ms = 1000;
  if (mutation == NO_EVIDENCE)
    options.evidence_ms = 1000000;
  scene.world = world_new (7, &options);
  scene.oracle = oracle_new (scene.world);
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    for (guint w = 0; w < WORLD_WORKERS; w++)
      scene.world->workers[d][w]->skip_lease = mutation == NO_LEASE;
  world_run (scene.world, 2000);
  return scene;
}

static void
scene_free (struct scene *scene)
{
  oracle_free (scene->oracle);
  world_free (scene->world);
}

/* Steps until @a ms have passed; FALSE as soon as something does not hold. */
static gboolean
watch (struct scene *scene, gint64 ms)
{
  for (gint64 until = scene->world->now_ms + ms; scene->world->now_ms < until;)
    {
      world_step (scene->world);
      if (!oracle_check (scene->oracle))
        return FALSE;
    }
  return TRUE;
}

static gboolean
finishes (struct scene *scene)
{
  world_heal (scene->world);
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    world_set_out (scene->world, d, FALSE);
  for (gint64 until = scene->world->now_ms + SETTLE_MS; scene->world->now_ms < until;)
    {
      if (!watch (scene, 1000))
        return FALSE;
      if (oracle_all_ended (scene->oracle))
        return oracle_states_agree (scene->oracle);
    }
  oracle_explain (scene->oracle, stderr);
  return FALSE;
}

static guint
owner_host (const struct scene *scene, guint domain)
{
  for (guint h = 0; h < WORLD_HOSTS; h++)
    if (iv_planner_owns (scene->world->hosts[h].planners[domain]))
      return h;
  fail_msg ("no owner of %s", world_domain (domain));
  return 0;
}

static guint
running_worker (const struct scene *scene, guint domain)
{
  for (guint w = 0; w < WORLD_WORKERS; w++)
    if (scene->world->workers[domain][w]->tasks->len > 0)
      return w;
  fail_msg ("nothing runs in %s", world_domain (domain));
  return 0;
}

static void
cut_workers_of (struct scene *scene, guint domain, gboolean cut)
{
  for (guint h = 0; h < WORLD_HOSTS; h++)
    scene->world->cut[h][domain] = cut;
}

static void
test_jobs_finish (void **state)
{
  struct scene scene = scene_new (INTACT);
  world_submit (scene.world, "job0", ALPHA, 30, 2000, 3000, FALSE);
  world_submit (scene.world, "once1", BETA, 10, 1000, 2000, TRUE);
  assert_true (finishes (&scene));
  assert_int_equal (scene.oracle->done, 40);
  assert_int_equal (scene.oracle->starts, 40);
  scene_free (&scene);
}

/* A worker that does not answer keeps its tasks until their leases lapse; then they run elsewhere.
 */
static gboolean
silent_worker (enum mutation mutation)
{
  struct scene scene = scene_new (mutation);
  gboolean ok;
  world_submit (scene.world, "job0", ALPHA, 2, 2000, 30000, FALSE);
  ok = watch (&scene, 3000);
  scene.world->worker_frozen[ALPHA][running_worker (&scene, ALPHA)] = TRUE;
  ok = ok && watch (&scene, 20000) && finishes (&scene);
  scene_free (&scene);
  return ok;
}

static void
test_silent_worker (void **state)
{
  assert_true (silent_worker (INTACT));
  assert_false (silent_worker (NO_LEASE));
}

/* Orders meant for an earlier boot of a worker arrive after it came back. The delays of each seed
   bring another order about. */
static gboolean
late_orders (void)
{
  gboolean ok = TRUE;
  for (guint seed = 0; seed < 20 && ok; seed++)
    {
      struct scene scene = scene_new (INTACT);
      struct world *world = scene.world;
      gsl_rng_set (world->rng, seed);
      world_submit (world, "job0", ALPHA, 8, 2000, 1500, FALSE);
      world->delay_max_ms = 900;
      ok = watch (&scene, 1500);
      for (guint w = 0; w < WORLD_WORKERS; w++)
        fake_worker_reboot (world->workers[ALPHA][w], world->now_ms, world->wall_ms,
                            ++world->next_boot);
      ok = ok && watch (&scene, 15000) && finishes (&scene);
      scene_free (&scene);
    }
  return ok;
}

static void
test_late_orders (void **state)
{
  assert_true (late_orders ());
}

/* The owner reaches its workers but not the log, while operators take the domain out. */
static gboolean
out_while_cut_off (enum mutation mutation)
{
  struct scene scene = scene_new (mutation);
  guint owner = owner_host (&scene, ALPHA);
  gboolean ok;
  world_submit (scene.world, "job0", ALPHA, 6, 2000, 20000, FALSE);
  cut_workers_of (&scene, ALPHA, TRUE);
  ok = watch (&scene, 800);
  for (guint h = 0; h < WORLD_HOSTS; h++)
    scene.world->hosts[h].log_cut = TRUE;
  ok = ok && watch (&scene, 200);
  world_set_out (scene.world, ALPHA, TRUE);
  ok = ok && watch (&scene, 6000);
  scene.world->cut[owner][ALPHA] = FALSE;
  ok = ok && watch (&scene, 3000) && finishes (&scene);
  scene_free (&scene);
  return ok;
}

static void
test_out_while_cut_off (void **state)
{
  assert_true (out_while_cut_off (INTACT));
  assert_false (out_while_cut_off (NO_EVIDENCE));
}

/* The owner keeps its workers but loses the log; another host, which reaches the log but not the
   workers, takes the domain over and must wait for the horizon. */
static gboolean
adopted_while_running (enum mutation mutation)
{
  struct scene scene = scene_new (mutation);
  guint owner = owner_host (&scene, ALPHA);
  gboolean ok;
  world_submit (scene.world, "job0", ALPHA, 4, 2000, 60000, FALSE);
  ok = watch (&scene, 3000);
  scene.world->hosts[owner].log_cut = TRUE;
  for (guint h = 0; h < WORLD_HOSTS; h++)
    scene.world->cut[h][ALPHA] = h != owner;
  ok = ok && watch (&scene, 60000) && finishes (&scene);
  scene_free (&scene);
  return ok;
}

static void
test_adopted_while_running (void **state)
{
  assert_true (adopted_while_running (INTACT));
  assert_false (adopted_while_running (NO_LEASE));
}

static void
test_domain_out_moves_work (void **state)
{
  struct scene scene = scene_new (INTACT);
  world_submit (scene.world, "job0", ALPHA, 8, 2000, 20000, FALSE);
  assert_true (watch (&scene, 4000));
  world_set_out (scene.world, ALPHA, TRUE);
  assert_true (watch (&scene, 8000));
  assert_int_equal (g_hash_table_size (iv_planner_cell (world_owner (scene.world, ALPHA))->tasks),
                    0);
  assert_int_equal (iv_planner_cell (world_owner (scene.world, BETA))->tasks ? g_hash_table_size (
                        iv_planner_cell (world_owner (scene.world, BETA))->tasks)
                                                                             : 0,
                    8);
  assert_true (watch (&scene, 40000));
  assert_int_equal (scene.oracle->done, 8);
  assert_true (finishes (&scene));
  scene_free (&scene);
}

static void
test_evicted_resumes_once (void **state)
{
  struct scene scene = scene_new (INTACT);
  world_submit (scene.world, "once0", ALPHA, 4, 2000, 20000, TRUE);
  assert_true (watch (&scene, 6000));
  world_set_out (scene.world, ALPHA, TRUE);
  assert_true (watch (&scene, 40000));
  assert_int_equal (scene.oracle->done, 4);
  assert_int_equal (scene.oracle->starts, 8);
  assert_true (finishes (&scene));
  scene_free (&scene);
}

static void
test_bad_worker_is_no_sink (void **state)
{
  struct scene scene = scene_new (INTACT);
  char name[16];
  scene.world->workers[ALPHA][0]->fails_everything = TRUE;
  for (guint i = 0; i < 12; i++)
    {
      snprintf (name, sizeof name, "job%u", i);
      world_submit (scene.world, name, ALPHA, 2, 1000, 2000, FALSE);
    }
  assert_true (watch (&scene, 40000));
  assert_true (finishes (&scene));
  assert_int_equal (scene.oracle->done, 24);
  scene_free (&scene);
}

static guint
fails_always (void *context, const struct fake_task *task)
{
  return strcmp (task->name, "job0") == 0;
}

static void
test_bad_job_is_given_up (void **state)
{
  struct scene scene = scene_new (INTACT);
  const struct iv_item *item;
  guint32 bad;
  for (guint w = 0; w < WORLD_WORKERS; w++)
    scene.world->workers[ALPHA][w]->fails = fails_always;
  world_submit (scene.world, "job0", ALPHA, 1, 1000, 2000, FALSE);
  world_submit (scene.world, "job1", ALPHA, 6, 1000, 2000, FALSE);
  assert_true (finishes (&scene));
  item = iv_config_item (scene.world->hosts[0].config, "job0");
  assert_int_equal (iv_item_ended_tasks (item, &bad), 1);
  assert_int_equal (bad, 1);
  scene_free (&scene);
}

static void
test_too_large_is_parked (void **state)
{
  struct scene scene = scene_new (INTACT);
  const struct iv_planner *planner;
  GHashTableIter iter;
  gpointer value;
  world_submit (scene.world, "job0", ALPHA, 1, 64000, 1000, FALSE);
  assert_true (watch (&scene, 5000));
  planner = world_owner (scene.world, ALPHA);
  g_hash_table_iter_init (&iter, iv_planner_cell (planner)->tasks);
  assert_true (g_hash_table_iter_next (&iter, NULL, &value));
  assert_string_equal (iv_planner_wait_reason (planner, value, scene.world->now_ms),
                       "parked: larger than every host");
  scene_free (&scene);
}

static void
test_mass_cancellation (void **state)
{
  struct scene scene = scene_new (INTACT);
  guint64 before;
  world_submit (scene.world, "job0", ALPHA, 1500, 1000, 60000, FALSE);
  assert_true (watch (&scene, 4000));
  before = iv_planner_cell (world_owner (scene.world, ALPHA))->next;
  world_cancel (scene.world, "job0");
  assert_true (watch (&scene, 5000));
  assert_int_equal (g_hash_table_size (iv_planner_cell (world_owner (scene.world, ALPHA))->tasks),
                    0);
  /* One record cancels what is queued; ends of the running ones share a few batches. */
  assert_true (iv_planner_cell (world_owner (scene.world, ALPHA))->next - before < 20);
  scene_free (&scene);
}

static void
test_all_hosts_replaced (void **state)
{
  struct scene scene = scene_new (INTACT);
  world_submit (scene.world, "job0", ALPHA, 10, 2000, 10000, FALSE);
  assert_true (watch (&scene, 12000));
  world_expire (scene.world, 3000);
  for (guint h = 0; h < WORLD_HOSTS; h++)
    world_replace_host (scene.world, h);
  assert_true (watch (&scene, 12000));
  assert_true (finishes (&scene));
  assert_int_equal (scene.oracle->done, 10);
  scene_free (&scene);
}

static void
test_owner_writes_snapshots (void **state)
{
  struct scene scene = scene_new (INTACT);
  guint64 first;
  struct fake_stream *stream = fake_log_stream (scene.world->log, "domain.alpha");
  assert_true (watch (&scene, 60000));
  world_expire (scene.world, 6000);
  first = stream->first;
  assert_true (first > 0);
  assert_true (watch (&scene, 30000));
  world_expire (scene.world, 6000);
  assert_true (stream->first > first);
  scene_free (&scene);
}

/* The fault matrix. A fault begins when the life of a job's tasks has come to a step, and ends
 * later. */
typedef void (*fault_fn) (struct scene *scene, gboolean on);

static void
fault_kill_owner (struct scene *scene, gboolean on)
{
  if (on)
    world_replace_host (scene->world, owner_host (scene, ALPHA));
}

static void
fault_pause_owner (struct scene *scene, gboolean on)
{
  static guint paused;
  if (on)
    paused = owner_host (scene, ALPHA);
  scene->world->hosts[paused].paused = on;
}

static void
fault_log_down (struct scene *scene, gboolean on)
{
  scene->world->log_down = on;
}

static void
fault_lost_answers (struct scene *scene, gboolean on)
{
  scene->world->lose_answers = on;
}

static void
fault_owner_cut_from_log (struct scene *scene, gboolean on)
{
  static guint cut;
  if (on)
    cut = owner_host (scene, ALPHA);
  scene->world->hosts[cut].log_cut = on;
}

static void
fault_owner_cut_from_workers (struct scene *scene, gboolean on)
{
  static guint cut;
  if (on)
    cut = owner_host (scene, ALPHA);
  scene->world->cut[cut][ALPHA] = on;
}

static void
fault_domain_cut (struct scene *scene, gboolean on)
{
  cut_workers_of (scene, ALPHA, on);
}

static void
fault_freeze_worker (struct scene *scene, gboolean on)
{
  scene->world->worker_frozen[ALPHA][0] = on;
}

static void
fault_reboot_worker (struct scene *scene, gboolean on)
{
  struct world *world = scene->world;
  if (on)
    fake_worker_reboot (world->workers[ALPHA][1], world->now_ms, world->wall_ms,
                        ++world->next_boot);
}

static void
fault_unlist_worker (struct scene *scene, gboolean on)
{
  scene->world->worker_listed[ALPHA][2] = !on;
}

static void
fault_slow_network (struct scene *scene, gboolean on)
{
  scene->world->delay_max_ms = on ? 5000 : 20;
}

static void
fault_domain_out (struct scene *scene, gboolean on)
{
  world_set_out (scene->world, ALPHA, on);
}

static void
fault_failing_worker (struct scene *scene, gboolean on)
{
  scene->world->workers[ALPHA][0]->fails_everything = on;
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

/* What brings the life of the tasks to a step; the fault begins right after it. */
static void
step_submit (struct scene *scene)
{
}

static void
step_admit (struct scene *scene)
{
  watch (scene, 100);
}

static void
step_bind (struct scene *scene)
{
  watch (scene, 200);
}

static void
step_start (struct scene *scene)
{
  watch (scene, 400);
}

static void
step_renew (struct scene *scene)
{
  watch (scene, 2500);
}

static void
step_evict (struct scene *scene)
{
  watch (scene, 2500);
  world_set_out (scene->world, ALPHA, TRUE);
  watch (scene, 300);
}

static void
step_move (struct scene *scene)
{
  watch (scene, 2500);
  world_set_out (scene->world, ALPHA, TRUE);
  watch (scene, 900);
}

static void
step_return (struct scene *scene)
{
  step_move (scene);
  watch (scene, 1000);
  world_set_out (scene->world, ALPHA, FALSE);
  watch (scene, 200);
}

static void
step_finish (struct scene *scene)
{
  watch (scene, 8300);
}

static void
step_cancel (struct scene *scene)
{
  watch (scene, 2500);
  world_cancel (scene->world, "job0");
  watch (scene, 200);
}

static const struct
{
  const char *name;
  void (*reach) (struct scene *scene);
} steps[] = {
  { "submit", step_submit }, { "admit", step_admit },   { "bind", step_bind },
  { "start", step_start },   { "renew", step_renew },   { "evict", step_evict },
  { "move", step_move },     { "return", step_return }, { "finish", step_finish },
  { "cancel", step_cancel },
};

static void
run_cell (guint step, guint first, guint second)
{
  struct scene scene = scene_new (INTACT);
  gboolean ok;
  world_submit (scene.world, "job0", ALPHA, 6, 2000, 8000, FALSE);
  world_submit (scene.world, "once1", ALPHA, 3, 1000, 8000, TRUE);
  steps[step].reach (&scene);
  faults[first].set (&scene, TRUE);
  ok = watch (&scene, 700);
  if (second < G_N_ELEMENTS (faults) && world_owner (scene.world, ALPHA))
    faults[second].set (&scene, TRUE);
  ok = ok && watch (&scene, 12000);
  faults[first].set (&scene, FALSE);
  ok = ok && watch (&scene, 2000) && finishes (&scene);
  if (!ok)
    fail_msg ("%s at %s%s%s: %s", faults[first].name, steps[step].name,
              second < G_N_ELEMENTS (faults) ? ", then " : "",
              second < G_N_ELEMENTS (faults) ? faults[second].name : "",
              scene.oracle->violation ? scene.oracle->violation : "did not finish");
  scene_free (&scene);
}

static void
test_fault_matrix (void **state)
{
  for (guint step = 0; step < G_N_ELEMENTS (steps); step++)
    for (guint fault = 0; fault < G_N_ELEMENTS (faults); fault++)
      run_cell (step, fault, G_MAXUINT);
}

/* "Any of these may come together or twice." */
static void
test_fault_pairs (void **state)
{
  for (guint step = 0; step < G_N_ELEMENTS (steps); step++)
    for (guint first = 0; first < G_N_ELEMENTS (faults); first++)
      for (guint second = 0; second < G_N_ELEMENTS (faults); second++)
        run_cell (step, first, second);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_jobs_finish),
    cmocka_unit_test (test_silent_worker),
    cmocka_unit_test (test_late_orders),
    cmocka_unit_test (test_out_while_cut_off),
    cmocka_unit_test (test_adopted_while_running),
    cmocka_unit_test (test_domain_out_moves_work),
    cmocka_unit_test (test_evicted_resumes_once),
    cmocka_unit_test (test_bad_worker_is_no_sink),
    cmocka_unit_test (test_bad_job_is_given_up),
    cmocka_unit_test (test_too_large_is_parked),
    cmocka_unit_test (test_mass_cancellation),
    cmocka_unit_test (test_all_hosts_replaced),
    cmocka_unit_test (test_owner_writes_snapshots),
    cmocka_unit_test (test_fault_matrix),
    cmocka_unit_test (test_fault_pairs),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
