#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define SETTLE_MS 400    /* for starts, ends and their records to take effect */
#define BATCH_END_MS 100 /* a batch task ends this often */
#define LONG_NOTICE_MS 10000
#define NOTICE_MS 4500        /* from the notice of a worker to its end */
#define STOP_GRACE_MS 200     /* a run that is stopped ends this much later... */
#define STOP_GRACE_MAX_MS 900 /* ...at most */
#define DOWN_MAX_MS 1000      /* a move takes the stop, its report and the start */

static void
submit (struct sim *sim, const char *id, guint count, u_int cpu_milli, u_int flags)
{
  sim_make_job (count, 0);
  sim_steps[0].cpu_milli = cpu_milli;
  sim_steps[0].flags = flags;
  sim_submit (sim, id, &sim_spec);
}

static struct sim *
start_cell (guint workers)
{
  struct sim *sim = sim_new (workers);
  for (guint i = 0; i < workers; i++)
    {
      sim->workers[i].checks_capacity = TRUE;
      sim->workers[i].stop_grace_ms = STOP_GRACE_MS;
    }
  sim_start_owner (sim);
  sim_advance (sim, SETTLE_MS);
  return sim;
}

static gboolean
is_stopping (const struct sim *sim, guint worker)
{
  const GArray *runs = sim->workers[worker].runs;
  return runs->len > 0 && g_array_index (runs, struct sim_run, 0).stop_clock_ms > 0;
}

/* Guards against long-running tasks that stay on a worker that has announced that it leaves, and
   are down for a lease and a wait for capacity once it has left. */
static void
test_long_running_tasks_leave_a_draining_worker (void **state)
{
  static const struct
  {
    const char *what;
    gboolean full;          /* batch tasks fill the other worker, and end one by one */
    gboolean batch_at_stop; /* batch tasks arrive when the run is being stopped */
  } rows[] = {
    { "the other worker is full", TRUE, FALSE },
    { "the other worker is idle", FALSE, FALSE },
    { "batch tasks arrive during the move", FALSE, TRUE },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct sim *sim = start_cell (2);
      gint64 down_ms = 0;
      guint from;
      print_message ("%s\n", rows[i].what);
      submit (sim, JOB_ID, 1, 3000, IVJ_LONG_RUNNING);
      sim_advance (sim, SETTLE_MS);
      from = sim_find_worker (sim, JOB_ID);
      if (rows[i].full)
        submit (sim, OTHER_JOB_ID, 400, 1000, 0);
      sim_advance (sim, SETTLE_MS);
      sim_drain_worker (sim, from);
      for (gint64 ms = 0; ms < NOTICE_MS; ms += 10)
        {
          if (rows[i].batch_at_stop && is_stopping (sim, from)
              && iv_job_table_find (sim->job_table, OTHER_JOB_ID) == NULL)
            submit (sim, OTHER_JOB_ID, 400, 1000, 0);
          if (rows[i].full && ms % BATCH_END_MS == 0)
            sim_end_oldest_run (sim, 1 - from, OTHER_JOB_ID);
          assert_true (sim_advance_without_duplicates (sim, 10));
          down_ms += sim_job_runs (sim, JOB_ID) == 0 ? 10 : 0;
        }
      assert_int_equal (sim_worker_runs (sim, from, JOB_ID), 0);
      assert_int_equal (sim_worker_runs (sim, 1 - from, JOB_ID), 1);
      assert_in_range (down_ms, 0, DOWN_MAX_MS);
      assert_int_equal (sim->refused_starts, 0);
      sim_free (sim);
    }
}

/* A task that has nowhere to go stays until its worker leaves. */
static void
test_tasks_stay_on_a_draining_worker_without_capacity_elsewhere (void **state)
{
  struct sim *sim = start_cell (2);
  guint from;
  submit (sim, JOB_ID, 1, 3000, IVJ_LONG_RUNNING);
  sim_advance (sim, SETTLE_MS);
  submit (sim, OTHER_JOB_ID, 1, 2000, IVJ_LONG_RUNNING);
  sim_advance (sim, SETTLE_MS);
  from = sim_find_worker (sim, JOB_ID);
  assert_int_not_equal (from, sim_find_worker (sim, OTHER_JOB_ID));
  sim_drain_worker (sim, from);
  for (gint64 i = 0; i < NOTICE_MS; i += 10)
    {
      sim_advance (sim, 10);
      assert_int_equal (sim_worker_runs (sim, from, JOB_ID), 1);
    }
  sim_free (sim);
}

/* Guards against tasks that still run on a draining worker when it leaves, as they leave it one by
   one. */
static void
test_tasks_leave_in_time (void **state)
{
  static const struct
  {
    guint tasks;
    gint64 notice_ms;
  } rows[] = { { 4, 4000 }, { 8, 7000 } };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct sim *sim = start_cell (5);
      guint from;
      for (guint j = 0; j < 5; j++)
        sim->workers[j].stop_grace_ms = STOP_GRACE_MAX_MS;
      submit (sim, JOB_ID, rows[i].tasks, 4000 / rows[i].tasks, IVJ_LONG_RUNNING);
      sim_advance (sim, SETTLE_MS);
      from = sim_find_worker (sim, JOB_ID);
      assert_int_equal (sim_worker_runs (sim, from, JOB_ID), rows[i].tasks);
      sim->workers[from].leaves_clock_ms = sim->workers[from].clock + rows[i].notice_ms;
      sim_drain_worker (sim, from);
      sim_advance (sim, rows[i].notice_ms);
      assert_int_equal (sim_worker_runs (sim, from, JOB_ID), 0);
      sim_free (sim);
    }
}

/* Guards against a job that is stopped whole because one best-effort task of it drains and finds no
   quiet worker. */
static void
test_best_effort_jobs_are_not_evacuated (void **state)
{
  struct sim *sim = start_cell (2);
  submit (sim, JOB_ID, 4, 1900, IVJ_LONG_RUNNING | IVJ_BEST_EFFORT);
  sim_advance (sim, SETTLE_MS);
  assert_int_equal (sim_job_runs (sim, JOB_ID), 4);
  sim->other_cell_milli = 100000;
  sim_drain_worker (sim, sim_find_worker (sim, JOB_ID));
  for (gint64 ms = 0; ms < NOTICE_MS; ms += 10)
    {
      sim_advance (sim, 10);
      assert_in_range (sim_job_runs (sim, JOB_ID), 2, 4);
    }
  sim_free (sim);
}

/* Guards against long-running tasks that take cores from batch tasks seconds before they have to
   leave their worker. */
static void
test_tasks_stay_while_their_worker_has_time_left (void **state)
{
  struct sim *sim = start_cell (2);
  guint from;
  submit (sim, JOB_ID, 1, 3000, IVJ_LONG_RUNNING);
  sim_advance (sim, SETTLE_MS);
  from = sim_find_worker (sim, JOB_ID);
  sim->workers[from].leaves_clock_ms = sim->workers[from].clock + LONG_NOTICE_MS;
  sim_drain_worker (sim, from);
  sim_advance (sim, LONG_NOTICE_MS / 2);
  assert_int_equal (sim_worker_runs (sim, from, JOB_ID), 1);
  sim_advance (sim, LONG_NOTICE_MS / 2 - DOWN_MAX_MS);
  assert_int_equal (sim_worker_runs (sim, 1 - from, JOB_ID), 1);
  sim_free (sim);
}

/* Guards against a step that loses more of its tasks at once than it permits when the worker that
   runs them leaves. */
static void
test_tasks_leave_a_draining_worker_a_few_at_a_time (void **state)
{
  /* A step that permits no number keeps half of its tasks. */
  static const guint permitted[] = { 0, 1, 3 };
  for (guint i = 0; i < G_N_ELEMENTS (permitted); i++)
    {
      struct sim *sim = start_cell (5);
      guint from;
      sim_make_job (4, 0);
      sim_steps[0].cpu_milli = 1000;
      sim_steps[0].flags = IVJ_LONG_RUNNING;
      sim_steps[0].unavailable_max = permitted[i];
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, SETTLE_MS);
      from = sim_find_worker (sim, JOB_ID);
      assert_int_equal (sim_worker_runs (sim, from, JOB_ID), 4);
      sim_drain_worker (sim, from);
      for (gint64 j = 0; j < NOTICE_MS; j += 10)
        {
          assert_true (sim_advance_without_duplicates (sim, 10));
          assert_in_range (sim_job_runs (sim, JOB_ID), 4 - (permitted[i] ? permitted[i] : 2), 4);
        }
      assert_int_equal (sim_worker_runs (sim, from, JOB_ID), 0);
      sim_free (sim);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_long_running_tasks_leave_a_draining_worker),
    cmocka_unit_test (test_tasks_stay_on_a_draining_worker_without_capacity_elsewhere),
    cmocka_unit_test (test_tasks_leave_in_time),
    cmocka_unit_test (test_best_effort_jobs_are_not_evacuated),
    cmocka_unit_test (test_tasks_stay_while_their_worker_has_time_left),
    cmocka_unit_test (test_tasks_leave_a_draining_worker_a_few_at_a_time),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
