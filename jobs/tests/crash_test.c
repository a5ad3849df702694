#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* The users' bound: no start three times more after three workers have crashed. */
#define STARTS_MAX 5

static gboolean
is_first_task (const struct iv_task_name *name)
{
  return strcmp (name->job, JOB_ID) == 0 && name->step == 0 && name->index == 0;
}

static gboolean
is_any_task_of_job (const struct iv_task_name *name)
{
  return strcmp (name->job, JOB_ID) == 0;
}

static guint
most_starts (const struct sim *sim)
{
  guint most = 0;
  for (guint i = 0; i < SIM_DEADLY_MAX; i++)
    most = MAX (most, sim->deadly_starts[i]);
  return most;
}

/* Owns a cell and submits @a others harmless tasks, then a job of @a count tasks. */
static struct sim *
cell_with_deadly (guint workers, guint count, guint others,
                  gboolean (*is_deadly) (const struct iv_task_name *name))
{
  struct sim *sim = sim_new (workers);
  sim->is_deadly = is_deadly;
  sim->run_ms = 1500;
  sim_start_owner (sim);
  sim_advance (sim, 100);
  if (others > 0)
    {
      sim_make_job (others, 0);
      sim_steps[0].cpu_milli = 500;
      sim_submit (sim, OTHER_JOB_ID, &sim_spec);
    }
  sim_make_job (count, 0);
  sim_steps[0].cpu_milli = 500;
  return sim;
}

/* A task that crashes its workers was started again until the day ended, each time on another. */
static void
test_deadly_task_is_given_up (void **state)
{
  struct sim *sim = cell_with_deadly (8, 1, 0, is_first_task);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 40000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
  assert_in_range (most_starts (sim), 2, STARTS_MAX);
  sim_free (sim);
}

/* Every task of a job may be deadly: each that starts takes a worker with it. */
static void
test_job_of_deadly_tasks_is_given_up (void **state)
{
  struct sim *sim = cell_with_deadly (8, 6, 8, is_any_task_of_job);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 60000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
  assert_in_range (most_starts (sim), 2, STARTS_MAX);
  assert_int_equal (sim_job_state (sim, OTHER_JOB_ID), IVJ_COMPLETED);
  sim_free (sim);
}

/* Harmless tasks on the same workers must be finished, not given up with the deadly one. */
static void
test_tasks_beside_a_deadly_one_are_finished (void **state)
{
  struct sim *sim = cell_with_deadly (4, 1, 24, is_first_task);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 60000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
  assert_in_range (most_starts (sim), 2, STARTS_MAX);
  assert_int_equal (sim_job_state (sim, OTHER_JOB_ID), IVJ_COMPLETED);
  sim_free (sim);
}

/* New starts beside a suspect would be accused with it, so that no crash would ever tell. */
static void
test_nothing_starts_beside_a_suspect (void **state)
{
  struct sim *sim = cell_with_deadly (2, 1, 0, is_first_task);
  sim->crash_after_ms = 400;
  sim_submit (sim, JOB_ID, &sim_spec);
  for (guint i = 0; i < 1000 && most_starts (sim) < 2; i++)
    sim_advance (sim, 10);
  assert_int_equal (most_starts (sim), 2);
  sim_make_job (12, 0);
  sim_steps[0].cpu_milli = 500;
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 200);
  assert_int_equal (sim->beside_suspect, 0);
  assert_int_equal (sim_total_runs (sim), 1 + 8);
  sim_advance (sim, 40000);
  assert_int_equal (sim->beside_suspect, 0);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
  assert_int_equal (sim_job_state (sim, OTHER_JOB_ID), IVJ_COMPLETED);
  sim_free (sim);
}

/* A start whose answer is lost crashes the worker all the same. */
static void
test_start_without_an_answer_counts (void **state)
{
  struct sim *sim = cell_with_deadly (8, 1, 0, is_first_task);
  for (guint i = 0; i < sim->count; i++)
    sim->workers[i].drops_replies = TRUE;
  sim_submit (sim, JOB_ID, &sim_spec);
  for (guint i = 0; i < 600; i++)
    {
      /* Polls get answers again as soon as the worker is back. */
      sim_advance (sim, 100);
      for (guint j = 0; j < sim->count; j++)
        sim->workers[j].drops_replies = sim->workers[j].back_ms > 0 || i % 40 < 2;
    }
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
  assert_in_range (most_starts (sim), 2, STARTS_MAX);
  sim_free (sim);
}

/* The count must outlive its owner: each takeover would start it from the beginning. */
static void
test_count_survives_takeovers (void **state)
{
  for (gint64 interval_ms = 3500; interval_ms <= 12000; interval_ms += 100)
    {
      struct sim *sim = cell_with_deadly (8, 1, 0, is_first_task);
      sim_submit (sim, JOB_ID, &sim_spec);
      for (guint i = 0; i < 16; i++)
        {
          sim_advance (sim, interval_ms);
          sim_start_owner (sim);
        }
      assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
      assert_in_range (most_starts (sim), 2, STARTS_MAX);
      sim_free (sim);
    }
}

/* A start before the count is in the stream would not be counted after a takeover. */
static void
test_suspect_waits_for_its_record (void **state)
{
  struct sim *sim = cell_with_deadly (8, 1, 0, is_first_task);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  sim->store_records = FALSE;
  sim_advance (sim, 8000);
  assert_int_equal (most_starts (sim), 1);
  sim->store_records = TRUE;
  sim_advance (sim, 1000);
  assert_int_equal (most_starts (sim), 2);
  sim_free (sim);
}

/* A long-running task has no limit of failed runs, but must not crash workers without end. */
static void
test_deadly_long_running_task_is_given_up (void **state)
{
  struct sim *sim = cell_with_deadly (8, 3, 0, is_first_task);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim->run_ms = 0;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 40000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
  assert_in_range (most_starts (sim), 2, STARTS_MAX);
  sim_free (sim);
}

/* The member of a gang that crashes its worker breaks the whole gang each time. */
static void
test_deadly_member_of_a_gang_is_given_up (void **state)
{
  struct sim *sim = cell_with_deadly (8, 3, 0, is_first_task);
  sim_steps[0].flags = IVJ_GANG;
  sim->run_ms = 0;
  sim_submit (sim, JOB_ID, &sim_spec);
  for (guint i = 0; i < 400; i++)
    {
      gboolean whole = sim_running_count (sim, JOB_ID, 0, 0) > 0;
      sim_advance (sim, 100);
      for (guint j = 1; !whole && j < 3; j++)
        sim_end_run (sim, JOB_ID, 0, j, IV_END_GANG_BROKEN);
    }
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
  assert_in_range (most_starts (sim), 2, STARTS_MAX);
  sim_free (sim);
}

/* Workers that crash for causes of their own must not cost a job that can be done. */
static void
test_crashes_of_other_causes_are_forgiven (void **state)
{
  struct sim *sim = cell_with_deadly (8, 1, 0, NULL);
  sim->run_ms = 0;
  sim_submit (sim, JOB_ID, &sim_spec);
  for (guint round = 0; round < 16; round++)
    {
      /* In turn right after the start, and after the run has lasted. */
      for (guint i = 0; i < 1000 && sim_total_runs (sim) == 0; i++)
        sim_advance (sim, 10);
      assert_int_equal (sim_total_runs (sim), 1);
      if (round % 2 == 1)
        sim_advance (sim, 2000);
      for (guint i = 0; i < sim->count; i++)
        if (sim->workers[i].runs->len > 0)
          sim_crash_worker (sim, i);
    }
  sim_advance (sim, 8000);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 1000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
  sim_free (sim);
}

/* Crashes every worker for which @a is_lost holds as soon as all eight tasks have just started,
   four times. The others go on. */
static void
lose_workers_again (struct sim *sim, gboolean (*is_lost) (const struct sim_worker *worker))
{
  sim_start_owner (sim);
  sim->run_ms = 0;
  sim_steps[0].cpu_milli = 3000;
  sim_submit (sim, JOB_ID, &sim_spec);
  for (guint round = 0; round < 4; round++)
    {
      for (guint i = 0; i < 1500 && sim_total_runs (sim) < 8; i++)
        sim_advance (sim, 10);
      assert_int_equal (sim_total_runs (sim), 8);
      for (guint i = 0; i < sim->count; i++)
        if (is_lost (&sim->workers[i]))
          sim_crash_worker (sim, i);
    }
  sim_advance (sim, 8000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_RUNNING);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 1000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
}

static gboolean
is_in_first_rack (const struct sim_worker *worker)
{
  return strcmp (worker->rack, "r0") == 0;
}

static gboolean
is_in_domain_a (const struct sim_worker *worker)
{
  return strcmp (worker->domain, "a") == 0;
}

/* A rack that loses power accuses none of the tasks that had just started there. */
static void
test_loss_of_a_rack_accuses_nobody (void **state)
{
  struct sim *sim = cell_with_deadly (8, 8, 0, NULL);
  for (guint i = 0; i < 4; i++)
    g_strlcpy (sim->workers[i].rack, "r0", sizeof sim->workers[i].rack);
  lose_workers_again (sim, is_in_first_rack);
  sim_free (sim);
}

/* Nor does a failure domain, whose racks may be small. */
static void
test_loss_of_a_domain_accuses_nobody (void **state)
{
  struct sim *sim = cell_with_deadly (8, 8, 0, NULL);
  lose_workers_again (sim, is_in_domain_a);
  sim_free (sim);
}

/* Crashes the workers that hold a run of step 0 that started less than 50 ms ago. */
static void
crash_newest (struct sim *sim)
{
  for (guint i = 0; i < sim->count; i++)
    for (guint j = 0; j < sim->workers[i].runs->len; j++)
      {
        const struct sim_run *run = &g_array_index (sim->workers[i].runs, struct sim_run, j);
        if (sim->now_ms >= run->started_ms + 50)
          continue;
        sim_crash_worker (sim, i);
        break;
      }
}

/* A harmless task that was beside a crash, and then alone on a worker that crashed for another
   cause, can still be done. */
static void
test_crash_in_company_is_no_proof (void **state)
{
  struct sim *sim = cell_with_deadly (4, 2, 0, NULL);
  sim->run_ms = 0;
  sim_submit (sim, JOB_ID, &sim_spec);
  for (guint round = 0; round < 2; round++)
    {
      for (guint i = 0; i < 1000 && sim_total_runs (sim) < 2; i++)
        sim_advance (sim, 10);
      assert_int_equal (sim_total_runs (sim), 2);
      crash_newest (sim);
      assert_int_equal (sim_total_runs (sim), 0);
    }
  sim_advance (sim, 8000);
  assert_int_equal (sim_total_runs (sim), 2);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 1000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
  sim_free (sim);
}

static gboolean
is_suspected (const struct sim *sim, const char *id)
{
  return iv_job_table_find (sim->job_table, id)->has_crash_record;
}

static void
lose_worker (struct sim *sim, guint worker)
{
  sim->workers[worker].unreachable = TRUE;
  sim->workers[worker].unlisted = TRUE;
  iv_owner_worker_unlisted (sim->owner, sim->workers[worker].id, sim->now_ms);
}

/* Guards against tasks under suspicion because many workers of all racks went at once: each takes a
   worker for itself for a second, while all that was lost has to start again. Workers on which
   nothing was new went too, so that the new tasks on the others are not to blame. */
static void
test_loss_of_workers_of_all_racks_accuses_nobody (void **state)
{
  static const struct
  {
    guint lost[4];
    guint count;
    gboolean suspected;
  } rows[] = { { { 0, 3, 4, 7 }, 4, FALSE }, { { 0, 3, 4, 7 }, 2, TRUE } };
  for (guint row = 0; row < G_N_ELEMENTS (rows); row++)
    {
      struct sim *sim = sim_new (8);
      /* Long-running tasks fill all but the first two that are lost. */
      for (guint i = 0; i < sim->count; i++)
        sim->workers[i].capacity_milli = i == 0 || i == 3 ? 4000 : 2000;
      sim_start_owner (sim);
      sim_make_job (8, 0);
      sim_steps[0].flags = IVJ_LONG_RUNNING;
      sim_steps[0].per_worker_max = 1;
      sim_submit (sim, OTHER_JOB_ID, &sim_spec);
      sim_advance (sim, 3000);
      sim_make_job (2, 0);
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 50);
      assert_int_equal (sim_worker_runs (sim, 0, JOB_ID) + sim_worker_runs (sim, 3, JOB_ID), 2);
      for (guint i = 0; i < rows[row].count; i++)
        lose_worker (sim, rows[row].lost[i]);
      sim_advance (sim, sim->limits.lease_ms + 2000);
      assert_int_equal (is_suspected (sim, JOB_ID), rows[row].suspected);
      assert_false (is_suspected (sim, OTHER_JOB_ID));
      sim_free (sim);
    }
}

/* Guards against deadly tasks that excuse each other: workers that crashed and were replaced have
   no runs left, but went because of new ones. */
static void
test_workers_that_were_replaced_excuse_nobody (void **state)
{
  static const guint large[] = { 0, 3, 4, 7 };
  struct sim *sim = sim_new (8);
  for (guint i = 0; i < sim->count; i++)
    sim->workers[i].capacity_milli = 1000;
  sim_start_owner (sim);
  sim_advance (sim, 500);
  sim_make_job (8, 0);
  sim_steps[0].cpu_milli = 1000;
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 3000);
  assert_int_equal (sim_job_runs (sim, OTHER_JOB_ID), 8);
  for (guint i = 0; i < G_N_ELEMENTS (large); i++)
    sim->workers[large[i]].capacity_milli = 3000;
  sim_list_workers (sim);
  sim_make_job (4, 0);
  sim_steps[0].per_worker_max = 1;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 200);
  assert_int_equal (sim_job_runs (sim, JOB_ID), 4);
  for (guint i = 0; i < G_N_ELEMENTS (large); i++)
    sim->workers[large[i]].unreachable = TRUE;
  sim_advance (sim, 1000);
  for (guint i = 0; i < G_N_ELEMENTS (large); i++)
    {
      sim->workers[large[i]].unreachable = FALSE;
      sim->workers[large[i]].replaced = TRUE;
    }
  sim_advance (sim, 2500);
  assert_int_equal (iv_job_table_find (sim->job_table, JOB_ID)->crashes.tasks.tasks_len, 4);
  sim_free (sim);
}

/* Guards against long-running tasks under suspicion, after a worker went just when its cell had a
   new owner: to it, all runs there looked as if they had just been started. */
static void
test_runs_of_a_previous_owner_are_not_new (void **state)
{
  struct sim *sim = cell_with_deadly (4, 1, 0, NULL);
  guint worker;
  sim->run_ms = 0;
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 3000);
  sim_start_owner (sim);
  sim_advance (sim, 50);
  worker = sim_find_worker (sim, JOB_ID);
  assert_int_not_equal (worker, sim->count);
  lose_worker (sim, worker);
  sim_advance (sim, SIM_LEASE_MAX_MS + 2000);
  assert_false (is_suspected (sim, JOB_ID));
  sim_free (sim);
}

/* Silence is no crash: a task whose leases ran out twice on workers that were cut off, and whose
   third worker crashed, has seen one crash only. */
static void
test_silence_is_no_crash (void **state)
{
  struct sim *sim = cell_with_deadly (8, 1, 0, NULL);
  sim->run_ms = 0;
  sim_submit (sim, JOB_ID, &sim_spec);
  for (guint round = 0; round < 3; round++)
    {
      for (guint i = 0; i < 2000 && sim_total_runs (sim) == 0; i++)
        sim_advance (sim, 10);
      assert_int_equal (sim_total_runs (sim), 1);
      for (guint i = 0; i < sim->count; i++)
        if (sim->workers[i].runs->len > 0 && round < 2)
          {
            sim->workers[i].unreachable = TRUE;
            iv_owner_worker_unlisted (sim->owner, sim->workers[i].id, sim->now_ms);
          }
        else if (sim->workers[i].runs->len > 0)
          sim_crash_worker (sim, i);
      for (guint i = 0; i < 1000 && sim_total_runs (sim) > 0; i++)
        sim_advance (sim, 10);
    }
  sim_advance (sim, 8000);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 1000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
  sim_free (sim);
}

/* A start that never arrived on a worker that crashed, and a takeover, are no crashes under a task:
   callers were told `failed` after the only one that was. */
static void
test_start_that_never_arrived_is_no_crash (void **state)
{
  struct sim *sim = cell_with_deadly (1, 2, 0, is_first_task);
  sim->run_ms = 0;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim->workers[0].unreachable = TRUE;
  sim_advance (sim, 100);
  sim_crash_worker (sim, 0);
  sim->evidence_age_ms = EVIDENCE_MAX_AGE_MS;
  sim_advance (sim, SIM_DOWN_MS + 200);
  sim_start_owner (sim);
  sim_advance (sim, 300);
  assert_int_equal (most_starts (sim), 0);
  sim->evidence_age_ms = 0;
  for (guint i = 0; i < 1000 && most_starts (sim) == 0; i++)
    sim_advance (sim, 10);
  sim_advance (sim, SIM_DOWN_MS + 20);
  assert_int_equal (most_starts (sim), 1);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_RUNNING);
  sim_advance (sim, 20000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
  assert_in_range (most_starts (sim), 2, STARTS_MAX);
  sim_free (sim);
}

/* The same when nothing else was new on that worker: it may have gone before the start arrived. */
static void
test_start_to_a_worker_that_had_gone_is_no_crash (void **state)
{
  struct sim *sim = cell_with_deadly (1, 1, 0, is_first_task);
  sim->run_ms = 0;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_crash_worker (sim, 0);
  for (guint i = 0; i < 1000 && most_starts (sim) == 0; i++)
    sim_advance (sim, 10);
  assert_int_equal (sim->start_calls, 2);
  sim_advance (sim, SIM_DOWN_MS + 20);
  assert_int_equal (most_starts (sim), 1);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_RUNNING);
  sim_advance (sim, 20000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
  assert_in_range (most_starts (sim), 2, STARTS_MAX);
  sim_free (sim);
}

/* A worker that drains and ends takes its runs with it in order. */
static void
test_worker_that_leaves_accuses_nobody (void **state)
{
  struct sim *sim = cell_with_deadly (8, 1, 0, NULL);
  sim->run_ms = 0;
  sim_submit (sim, JOB_ID, &sim_spec);
  for (guint round = 0; round < 4; round++)
    {
      for (guint i = 0; i < 1000 && sim_total_runs (sim) == 0; i++)
        sim_advance (sim, 10);
      for (guint i = 0; i < sim->count; i++)
        if (sim->workers[i].runs->len > 0)
          {
            sim_drain_worker (sim, i);
            sim_advance (sim, 20);
            sim_crash_worker (sim, i);
            sim->workers[i].draining = FALSE;
          }
    }
  sim_advance (sim, 8000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_RUNNING);
  sim_free (sim);
}

/* Owners in turn that start nothing must not count crashes: a job that could be done was given up.
 */
static void
test_owners_that_start_nothing_accuse_nobody (void **state)
{
  struct sim *sim = cell_with_deadly (8, 1, 0, NULL);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 20);
  for (guint i = 0; i < sim->count; i++)
    if (sim->workers[i].runs->len > 0)
      sim_crash_worker (sim, i);
  sim->evidence_age_ms = EVIDENCE_MAX_AGE_MS;
  sim_advance (sim, 12000);
  for (guint i = 0; i < 6; i++)
    {
      sim_start_owner (sim);
      sim_advance (sim, 10000);
      assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_RUNNING);
    }
  sim->evidence_age_ms = 0;
  sim_advance (sim, 5000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
  sim_free (sim);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_deadly_task_is_given_up),
    cmocka_unit_test (test_job_of_deadly_tasks_is_given_up),
    cmocka_unit_test (test_tasks_beside_a_deadly_one_are_finished),
    cmocka_unit_test (test_nothing_starts_beside_a_suspect),
    cmocka_unit_test (test_start_without_an_answer_counts),
    cmocka_unit_test (test_count_survives_takeovers),
    cmocka_unit_test (test_suspect_waits_for_its_record),
    cmocka_unit_test (test_deadly_long_running_task_is_given_up),
    cmocka_unit_test (test_deadly_member_of_a_gang_is_given_up),
    cmocka_unit_test (test_crashes_of_other_causes_are_forgiven),
    cmocka_unit_test (test_crash_in_company_is_no_proof),
    cmocka_unit_test (test_loss_of_a_rack_accuses_nobody),
    cmocka_unit_test (test_loss_of_a_domain_accuses_nobody),
    cmocka_unit_test (test_loss_of_workers_of_all_racks_accuses_nobody),
    cmocka_unit_test (test_workers_that_were_replaced_excuse_nobody),
    cmocka_unit_test (test_runs_of_a_previous_owner_are_not_new),
    cmocka_unit_test (test_silence_is_no_crash),
    cmocka_unit_test (test_start_that_never_arrived_is_no_crash),
    cmocka_unit_test (test_start_to_a_worker_that_had_gone_is_no_crash),
    cmocka_unit_test (test_worker_that_leaves_accuses_nobody),
    cmocka_unit_test (test_owners_that_start_nothing_accuse_nobody),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
