#include "bench_job.h"
#include "reserve.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define BATCH_JOB_ID "00000000000000cc"
#define LONG_BATCH_JOB_ID "00000000000000dd"
#define SETTLE_MS 400    /* for starts, ends and their records to take effect */
#define BATCH_END_MS 100 /* a batch task ends this often */
#define LEASE_MS 5000    /* of sim_new(): the runs of a lost worker are given up after it */
#define WAIT_MAX_MS 3000 /* a task without a run for longer, with capacity for it, is lost */

static struct sim *
start_cell (guint workers)
{
  struct sim *sim = sim_new (workers);
  for (guint i = 0; i < workers; i++)
    {
      sim->workers[i].mem_mb = 400;
      sim->workers[i].accelerators = 4;
      sim->workers[i].checks_capacity = TRUE;
    }
  sim_start_owner (sim);
  sim_advance (sim, SETTLE_MS);
  return sim;
}

static void
submit (struct sim *sim, const char *id, guint count, struct iv_resources size, u_int flags)
{
  sim_make_job (count, 0);
  sim_steps[0].cpu_milli = (u_int)size.cpu_milli;
  sim_steps[0].mem_mb = (u_int)size.mem_mb;
  sim_steps[0].accelerators = (u_int)size.accelerators;
  sim_steps[0].flags = flags;
  sim_submit (sim, id, &sim_spec);
}

/* Advances while one batch task after the other ends, on the workers in turn, until job @a id has
   @a count runs. FALSE when it still has not after @a ms. */
static gboolean
advance_under_batch_load (struct sim *sim, gint64 ms, const char *id, guint count)
{
  for (gint64 elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += BATCH_END_MS)
    {
      if (sim_job_runs (sim, id) == count)
        return TRUE;
      sim_end_oldest_run (sim, (guint)(elapsed_ms / BATCH_END_MS) % sim->count, BATCH_JOB_ID);
      sim_advance (sim, BATCH_END_MS);
    }
  return sim_job_runs (sim, id) == count;
}

static void
lose_worker (struct sim *sim, guint worker)
{
  sim->workers[worker].unreachable = TRUE;
  sim->workers[worker].unlisted = TRUE;
  iv_owner_worker_unlisted (sim->owner, sim->workers[worker].id, sim->now_ms);
}

/* Guards against long-running tasks that wait without end for a worker because each piece that
   becomes free, too small for them, goes to smaller batch tasks. */
static void
test_small_tasks_do_not_starve_a_large_long_running_task (void **state)
{
  static const struct
  {
    const char *what;
    struct iv_resources large, small;
  } rows[] = {
    { "cores", { 3000, 1, 0 }, { 1000, 1, 0 } },
    { "a whole worker", { 4000, 1, 0 }, { 1000, 1, 0 } },
    { "memory", { 100, 300, 0 }, { 100, 100, 0 } },
    { "accelerators", { 100, 1, 3 }, { 100, 1, 1 } },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct sim *sim = start_cell (3);
      guint lost;
      print_message ("%s\n", rows[i].what);
      submit (sim, JOB_ID, 1, rows[i].large, IVJ_LONG_RUNNING);
      sim_advance (sim, SETTLE_MS);
      submit (sim, BATCH_JOB_ID, 400, rows[i].small, 0);
      sim_advance (sim, SETTLE_MS);
      lost = sim_find_worker (sim, JOB_ID);
      assert_int_not_equal (lost, sim->count);
      lose_worker (sim, lost);
      sim_advance (sim, LEASE_MS);
      assert_true (advance_under_batch_load (sim, WAIT_MAX_MS, JOB_ID, 1));
      assert_int_equal (sim->refused_starts, 0);
      sim_free (sim);
    }
}

/* Guards against a task that waits for the worker that lacks least while nothing there ends. */
static void
test_a_worker_that_stays_full_is_given_up (void **state)
{
  struct sim *sim = start_cell (2);
  submit (sim, LONG_BATCH_JOB_ID, 1, (struct iv_resources){ 1500, 1, 0 }, 0);
  sim_advance (sim, SETTLE_MS);
  sim->workers[1 - sim_find_worker (sim, LONG_BATCH_JOB_ID)].capacity_milli = 8000;
  sim_list_workers (sim);
  submit (sim, BATCH_JOB_ID, 400, (struct iv_resources){ 2600, 1, 0 }, 0);
  sim_advance (sim, SETTLE_MS);
  assert_int_equal (sim_job_runs (sim, BATCH_JOB_ID), 3);
  submit (sim, JOB_ID, 1, (struct iv_resources){ 3000, 1, 0 }, IVJ_LONG_RUNNING);
  sim_advance (sim, BATCH_END_MS);
  assert_true (advance_under_batch_load (sim, WAIT_MAX_MS, JOB_ID, 1));
  sim_free (sim);
}

/* Guards against long-running tasks that take every worker from the batch tasks for as long as they
   wait. */
static void
test_most_workers_stay_open_to_batch_tasks (void **state)
{
  struct sim *sim = start_cell (8);
  submit (sim, BATCH_JOB_ID, 400, (struct iv_resources){ 1000, 1, 0 }, 0);
  sim_advance (sim, SETTLE_MS);
  submit (sim, JOB_ID, 8, (struct iv_resources){ 3000, 1, 0 }, IVJ_LONG_RUNNING);
  for (guint i = 0; i < 100; i++)
    {
      sim_end_oldest_run (sim, i % sim->count, BATCH_JOB_ID);
      sim_advance (sim, BATCH_END_MS);
      assert_in_range (iv_reserve_count (iv_owner_fleet (sim->owner), sim->now_ms), 0, 2);
    }
  assert_int_equal (sim_job_runs (sim, JOB_ID), 8);
  sim_free (sim);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_small_tasks_do_not_starve_a_large_long_running_task),
    cmocka_unit_test (test_a_worker_that_stays_full_is_given_up),
    cmocka_unit_test (test_most_workers_stay_open_to_batch_tasks),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
