#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define LOAD_DELAY_MS 600 /* until the load of a cell shows a job that has moved there */

/* A job that cannot be placed is moved to a cell with capacity, and is not started here any more.
 */
static void
test_unplaceable_job_is_moved (void **state)
{
  struct sim *sim = sim_new (1);
  sim_start_owner (sim);
  sim_make_job (2, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  sim->other_cell_milli = 100000;
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 1000);
  assert_int_equal (sim->move_calls, 1);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 1000);
  assert_int_equal (sim->start_calls, 2);
  sim_free (sim);
}

/* Cells that change owners and jobs: guards against a task that runs again in the cell that a job
   was moved to, which knows nothing yet of the end that only a worker of this cell has told. */
static void
test_job_whose_ends_are_learnt_from_workers_stays (void **state)
{
  struct sim *sim = sim_new (1);
  sim->store_records = FALSE;
  sim_start_owner (sim);
  sim_make_job (4, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  assert_int_equal (sim->start_calls, 2);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_start_owner (sim);
  sim->domain_a_out = TRUE; /* the others of its tasks have no worker */
  sim->other_cell_milli = 100000;
  sim_advance (sim, 2000);
  assert_int_equal (sim->move_calls, 0);
  sim_free (sim);
}

/* When long-running jobs fill one cell, batch jobs in it wait half a second to be moved. A new
   long-running job must therefore be moved to a cell with more free capacity before it starts. */
static void
test_long_running_jobs_are_balanced_across_cells (void **state)
{
  struct sim *sim = sim_new (4);
  sim_start_owner (sim);
  sim_advance (sim, 100);
  sim->other_cell_milli = 100000;
  sim_make_job (1, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  assert_int_equal (sim->move_calls, 1);
  assert_int_equal (sim->start_calls, 0);
  sim_make_job (1, 0);
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  assert_int_equal (sim->move_calls, 1);
  assert_int_equal (sim->start_calls, 1);
  sim_free (sim);
}

/* Guards against a batch job that starts in a full cell, where its later steps wait, while another
   cell is nearly empty; and against one that is moved although it has a place of its own, was moved
   before, or may have started under a previous owner. */
static void
test_new_batch_job_goes_to_the_chosen_cell (void **state)
{
  struct sim *sim = sim_new (4);
  sim_start_owner (sim);
  sim_advance (sim, 100);
  sim->chooses_other_cell = TRUE;
  sim_make_job (1, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  assert_int_equal (sim->move_calls, 1);
  assert_int_equal (sim->start_calls, 0);
  sim_make_job (1, 0);
  sim_steps[0].data_rack = (char *)"r1-1";
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  assert_int_equal (sim->move_calls, 1);
  assert_int_equal (sim->start_calls, 1);
  sim_free (sim);
  sim = sim_new (4);
  sim_start_owner (sim);
  sim_advance (sim, 100);
  sim_make_job (1, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  assert_int_equal (sim->start_calls, 1);
  sim->chooses_other_cell = TRUE;
  sim_start_owner (sim);
  sim_advance (sim, 100);
  assert_int_equal (sim->move_calls, 0);
  sim_free (sim);
}

/* Guards against long-running tasks that cannot be placed after their workers were lost, while
   another cell has capacity. The whole job is moved there once none of its tasks runs here. */
static void
test_unplaced_long_running_job_is_evacuated (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_make_job (4, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 200);
  assert_int_equal (sim_total_runs (sim), 4);
  sim->workers[0].refuses_starts = TRUE;
  sim_restart_worker (sim, 0);
  sim->other_cell_milli = 100000;
  sim_advance (sim, 600);
  sim->workers[1].unreachable = TRUE; /* stops do not reach it: its tasks keep running */
  sim_advance (sim, 2000);
  assert_int_equal (sim->move_calls, 0);
  sim->workers[1].unreachable = FALSE;
  sim_advance (sim, 3000);
  assert_int_equal (sim->move_calls, 1);
  assert_int_equal (sim_total_runs (sim), 0);
  sim_free (sim);
}

/* Guards against long-running tasks that are down while another cell has capacity, as that cell
   keeps it for new jobs and for the loss of a rack. */
static void
test_spare_capacity_takes_evacuated_jobs (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_make_job (4, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 200);
  sim->other_cell_milli = 9000;
  sim->other_cell_spare_milli = 8000;
  sim->workers[0].refuses_starts = TRUE;
  sim_restart_worker (sim, 0);
  sim_advance (sim, 4000);
  assert_int_equal (sim->move_calls, 1);
  sim_free (sim);
}

/* Small cells: guards against a job that is stopped, and moved from cell to cell, without end,
   since it needs more workers than any of them has. */
static void
test_job_that_exceeds_cells_stays (void **state)
{
  for (guint workers = 2; workers <= 4; workers += 2)
    {
      struct sim *sim = sim_new (workers);
      sim_start_owner (sim);
      sim_make_job (4, 0);
      sim_steps[0].flags = IVJ_LONG_RUNNING;
      sim_steps[0].per_worker_max = 1;
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 200);
      sim->other_cell_milli = 100000;
      sim->workers[0].refuses_starts = TRUE;
      sim_restart_worker (sim, 0);
      sim_advance (sim, 4000);
      assert_int_equal (sim->move_calls, workers == 4);
      sim_free (sim);
    }
}

/* Guards against a job that no worker can hold and that stays, as it permits few of its tasks to be
   away, although all of them are. */
static void
test_job_that_is_down_is_evacuated (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_make_job (4, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_steps[0].unavailable_max = 1;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 200);
  sim->other_cell_milli = 100000;
  sim->workers[0].refuses_starts = TRUE;
  sim_restart_worker (sim, 0);
  sim_advance (sim, 4000);
  assert_int_equal (sim->move_calls, 0);
  assert_int_equal (sim_total_runs (sim), 2);
  sim->workers[1].refuses_starts = TRUE;
  sim_restart_worker (sim, 1);
  sim_advance (sim, 4000);
  assert_int_equal (sim->move_calls, 1);
  sim_free (sim);
}

/* Guards against a job that waits for its worker to leave, and for leases to end, before it is
   evacuated to the only cell with capacity. */
static void
test_job_on_a_draining_worker_is_evacuated (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_make_job (4, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 200);
  assert_int_equal (sim_total_runs (sim), 4);
  sim_drain_worker (sim, 0);
  sim_advance (sim, 500);
  assert_int_equal (sim_total_runs (sim), 4);
  sim->other_cell_milli = 100000;
  sim_advance (sim, 1500);
  assert_int_equal (sim->move_calls, 1);
  assert_int_equal (sim_total_runs (sim), 0);
  sim_free (sim);
}

/* Guards against a job of large tasks that is evacuated to a cell whose free cores lie in pieces of
   the mean size, cannot be placed there either, and comes back. */
static void
test_large_tasks_are_not_evacuated_into_small_pieces (void **state)
{
  struct sim *sim = sim_new (2);
  struct iv_cell_capacity capacity;
  sim_start_owner (sim);
  sim_make_job (2, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_make_job (1, 0);
  sim_steps[0].cpu_milli = 4000;
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 3);
  assert_true (iv_owner_free_capacity (sim->owner, &capacity));
  sim->other_cell_milli = 9000;
  sim->other_cell_small_milli = 9000;
  for (guint i = 0; i < 2; i++)
    {
      sim->workers[i].refuses_starts = TRUE;
      sim_restart_worker (sim, i);
    }
  sim_advance (sim, 4000);
  assert_int_equal (sim->move_calls, 1);
  assert_true (iv_job_table_find (sim->job_table, JOB_ID)->moved_to >= 0);
  sim_free (sim);
}

/* Guards against a best-effort job, which reserves no cores, that is evacuated to a cell without
   capacity for any long-running job. */
static void
test_best_effort_job_needs_a_cell_with_capacity (void **state)
{
  struct sim *sim = sim_new (1);
  sim_start_owner (sim);
  sim_make_job (2, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING | IVJ_BEST_EFFORT;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 200);
  assert_int_equal (sim_total_runs (sim), 2);
  sim->other_cell_milli = sim->other_cell_spare_milli = 9000;
  sim->workers[0].refuses_starts = TRUE;
  sim_restart_worker (sim, 0);
  sim_advance (sim, 4000);
  assert_int_equal (sim->move_calls, 0);
  sim->other_cell_spare_milli = 0;
  sim_advance (sim, 4000);
  assert_int_equal (sim->move_calls, 1);
  sim_free (sim);
}

/* Guards against jobs that are evacuated together to a cell with capacity for one of them, and
   against a small job that waits because a larger one does not fit. */
static void
test_evacuated_jobs_share_the_capacity_of_a_cell (void **state)
{
  struct sim *sim = sim_new (4);
  sim_start_owner (sim);
  sim_make_job (4, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_make_job (3, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 200);
  assert_int_equal (sim_total_runs (sim), 7);
  sim->other_cell_milli = 9000;
  for (guint i = 0; i < 4; i++)
    {
      sim->workers[i].refuses_starts = TRUE;
      sim_restart_worker (sim, i);
    }
  while (sim->move_calls == 0)
    sim_advance (sim, 10);
  assert_true (iv_job_table_find (sim->job_table, OTHER_JOB_ID)->moved_to >= 0);
  sim_advance (sim, LOAD_DELAY_MS);
  sim->other_cell_milli -= 6000;
  sim_advance (sim, 4000);
  assert_int_equal (sim->move_calls, 1);
  sim->other_cell_milli = 9000;
  sim_advance (sim, 4000);
  assert_int_equal (sim->move_calls, 2);
  sim_free (sim);
}

/* A moved job that is submitted again before the record of its move is read must not return to its
   old cell: it would run in both cells. */
static void
test_resubmitted_job_does_not_return_before_its_move_is_read (void **state)
{
  for (guint late = 0; late < 2; late++)
    {
      struct sim *sim = sim_new (1);
      sim_start_owner (sim);
      sim_make_job (2, 0);
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 100);
      sim->other_cell_milli = 100000;
      sim->defer_moves = TRUE;
      sim_submit (sim, OTHER_JOB_ID, &sim_spec);
      sim_advance (sim, 1000);
      assert_int_equal (sim->move_calls, 1);
      sim_submit (sim, OTHER_JOB_ID, &sim_spec);
      if (late)
        {
          iv_job_table_apply (sim->job_table, OTHER_JOB_ID IV_KEY_MOVE, (const guint8 *)"1", 1);
          iv_owner_job_changed (sim->owner, iv_job_table_find (sim->job_table, OTHER_JOB_ID),
                                sim->now_ms);
        }
      sim_end_all_runs (sim, IV_END_DONE);
      sim_advance (sim, 1000);
      assert_int_equal (sim->start_calls, 2);
      assert_int_equal (sim->move_calls, 1);
      sim_free (sim);
    }
}

/* A job with tasks that run, or may run, here is not moved. */
static void
test_started_or_unresolved_jobs_are_not_moved (void **state)
{
  struct sim *sim = sim_new (2);
  sim->store_records = FALSE; /* the next owner reads no record of a start */
  sim_start_owner (sim);
  sim_make_job (8, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim->other_cell_milli = 100000;
  sim_advance (sim, 1000);
  assert_int_equal (sim_total_runs (sim), 4);
  sim->workers[0].unreachable = TRUE;
  sim_start_owner (sim);
  sim_advance (sim, 2000);
  assert_int_equal (sim->move_calls, 0);
  sim_free (sim);
}

static gboolean
owns_nothing (void *context, const struct iv_job_entry *job)
{
  return FALSE;
}

/* The owner of a second cell on the same host does not take the jobs of the first. */
static void
test_owners_on_one_host_do_not_share_jobs (void **state)
{
  struct sim *sim = sim_new (2);
  struct iv_owner_effects effects = { .owns_job = owns_nothing };
  struct iv_owner *second;
  struct iv_job_entry *job;
  sim_start_owner (sim);
  sim_make_job (2, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  second = iv_owner_new (sim->job_table, 7, &sim->limits, &effects, sim->now_ms, sim->wall_ms);
  job = iv_job_table_find (sim->job_table, JOB_ID);
  iv_owner_job_changed (second, job, sim->now_ms);
  assert_non_null (job->exec);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 300);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
  iv_owner_free (second);
  sim_free (sim);
}

/* A cell of two workers of another kind than "b", which another cell has. */
static struct sim *
start_without_label (void)
{
  struct sim *sim = sim_new (2);
  sim->other_cell_label = "b";
  sim->other_cell_milli = 1;
  sim_start_owner (sim);
  sim_advance (sim, 100);
  return sim;
}

/* Guards against a job that never starts (LOST) in a cell without its label, which another cell
   has, as its own has more free cores. */
static void
test_job_moves_to_the_cell_with_its_label (void **state)
{
  static const u_int flags[] = { 0, IVJ_GANG, IVJ_LONG_RUNNING, IVJ_BEST_EFFORT };
  for (guint held = 0; held < 2; held++)
    for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
      {
        struct sim *sim = start_without_label ();
        sim_make_job (2, 0);
        sim_steps[0].label = held ? "b" : "c";
        sim_steps[0].flags = flags[i];
        sim_submit (sim, JOB_ID, &sim_spec);
        sim_advance (sim, 500);
        assert_int_equal (sim->move_calls, held);
        assert_int_equal (sim->start_calls, 0);
        sim_free (sim);
      }
}

/* The same for a gang that is wider than the cell, and for workers that the policy of the queue
   does not allow. */
static void
test_job_leaves_a_cell_that_cannot_hold_it (void **state)
{
  for (guint advised = 0; advised < 2; advised++)
    {
      struct sim *sim = sim_new (1);
      sim->advised = advised; /* workers with even numbers are denied */
      sim->other_cell_milli = 1;
      sim_start_owner (sim);
      sim_make_job (advised ? 1 : 3, 0);
      sim_steps[0].flags = IVJ_GANG;
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 1000);
      assert_int_equal (sim->move_calls, 1);
      sim_free (sim);
    }
}

/* Guards against a job that is lost after its first step, as the cell has no worker for the next;
   and against a task that runs again, as the job has moved before its end was stored. */
static void
test_started_job_moves_once_its_progress_is_stored (void **state)
{
  struct sim *sim = start_without_label ();
  const struct iv_job_entry *job;
  sim_make_job (2, 2);
  sim_steps[1].label = "b";
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 1000);
  assert_int_equal (sim_total_runs (sim), 2);
  assert_int_equal (sim->move_calls, 0);
  sim->store_records = FALSE;
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 2000);
  assert_int_equal (sim->move_calls, 0);
  sim->store_records = TRUE;
  sim_advance (sim, 500);
  assert_int_equal (sim->move_calls, 1);
  job = iv_job_table_find (sim->job_table, JOB_ID);
  assert_int_equal (job->progress.open.open_len, 1);
  assert_int_equal (job->progress.open.open_val[0].steps.steps_val[0].done.done_val[0], 3);
  sim_free (sim);
}

/* A step that runs is not stopped for one that has no worker here: the job moves after its end. */
static void
test_job_at_work_moves_afterwards (void **state)
{
  struct sim *sim = start_without_label ();
  sim_make_job (2, 2);
  sim_steps[1].label = "b";
  sim_steps[1].depends.depends_len = 0;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 2000);
  assert_int_equal (sim_total_runs (sim), 2);
  assert_int_equal (sim->move_calls, 0);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 500);
  assert_int_equal (sim->move_calls, 1);
  sim_free (sim);
}

/* Guards against a job that was at work on a rack that is lost, and whose tasks wait for good. */
static void
test_job_leaves_a_lost_rack (void **state)
{
  struct sim *sim = sim_new (4);
  sim->other_cell_label = "r0";
  sim->other_cell_milli = 1;
  sim_start_owner (sim);
  sim_make_job (2, 0);
  sim_steps[0].label = "r0";
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 2000);
  assert_int_equal (sim_total_runs (sim), 2);
  for (guint i = 0; i < 2; i++)
    {
      sim->workers[i].unreachable = TRUE;
      sim->workers[i].unlisted = TRUE;
      iv_owner_worker_unlisted (sim->owner, sim->workers[i].id, sim->now_ms);
    }
  sim_advance (sim, sim->limits.lease_ms + 1500);
  assert_int_equal (sim->move_calls, 1);
  sim_free (sim);
}

/* Guards against a job that goes to and fro between two cells, none of which holds it. */
static void
test_job_that_came_here_stays_for_a_while (void **state)
{
  static const char key[] = JOB_ID IV_KEY_MOVE;
  struct sim *sim = start_without_label ();
  sim_make_job (1, 0);
  sim_steps[0].label = "b";
  sim->evidence_age_ms
      = EVIDENCE_MAX_AGE_MS; /* nothing starts, so nothing waits for a worker yet */
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_apply_record (sim, key, (const guint8 *)"0", 1);
  sim->evidence_age_ms = 0;
  sim_advance (sim, 9000);
  assert_int_equal (sim->move_calls, 0);
  sim_advance (sim, 2000);
  assert_int_equal (sim->move_calls, 1);
  sim_free (sim);
}

/* Guards against a lasting job that is stopped (LOST) to move to a cell that cannot hold it. */
static void
test_evacuated_job_needs_its_label (void **state)
{
  for (guint held = 0; held < 2; held++)
    {
      struct sim *sim = sim_new (4);
      sim->other_cell_label = held ? "r0" : "c";
      sim->other_cell_milli = 100000;
      sim_start_owner (sim);
      sim_make_job (4, 0);
      sim_steps[0].label = "r0";
      sim_steps[0].flags = IVJ_LONG_RUNNING;
      sim->defer_moves = TRUE;
      sim->other_cell_spare_milli = 100000;
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 2000);
      assert_int_equal (sim_total_runs (sim), 4);
      sim->workers[1].unreachable = TRUE;
      sim->workers[1].unlisted = TRUE;
      g_array_set_size (sim->workers[1].runs, 0);
      iv_owner_worker_unlisted (sim->owner, sim->workers[1].id, sim->now_ms);
      sim_advance (sim, sim->limits.lease_ms + 5000);
      assert_int_equal (sim->move_calls, held);
      assert_int_equal (sim_total_runs (sim), held ? 0 : 2);
      sim_free (sim);
    }
}

static void
copy_record (struct sim *sim, const char *key, const guint8 *value, gsize len)
{
  sim_apply_record (sim->record_context, key, value, len);
}

/* Cells whose first owners have the same term: guards against runs of a task that have the numbers
   of its failed runs in another cell, which are not counted again. */
static void
test_attempts_are_counted_across_cells (void **state)
{
  struct sim *sim = sim_new (2);
  struct sim *next = sim_new (2);
  GByteArray *spec;
  next->is_delegate = TRUE;
  sim->attempts = next->attempts = 4;
  sim->record = copy_record;
  sim->record_context = next;
  sim_start_owner (sim);
  sim_start_owner (next);
  sim_make_job (1, 0);
  spec = iv_job_encode_spec (&sim_spec, "");
  sim_apply_record (sim, JOB_ID, spec->data, spec->len);
  for (guint i = 0; i < 2; i++)
    {
      sim_advance (sim, 500);
      assert_true (sim_end_run (sim, JOB_ID, 0, 0, IV_END_FAILED));
    }
  sim_advance (sim, 500);
  sim_apply_record (next, JOB_ID IV_KEY_MOVE, (const guint8 *)"1", 1);
  sim_apply_record (next, JOB_ID, spec->data, spec->len);
  for (guint i = 0; i < 2; i++)
    {
      sim_advance (next, 500);
      assert_int_not_equal (sim_job_state (next, JOB_ID), IVJ_FAILED);
      assert_true (sim_end_run (next, JOB_ID, 0, 0, IV_END_FAILED));
    }
  sim_advance (next, 500);
  assert_int_equal (sim_job_state (next, JOB_ID), IVJ_FAILED);
  assert_int_equal (next->start_calls, 2);
  g_byte_array_unref (spec);
  sim_free (next);
  sim_free (sim);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_unplaceable_job_is_moved),
    cmocka_unit_test (test_job_whose_ends_are_learnt_from_workers_stays),
    cmocka_unit_test (test_long_running_jobs_are_balanced_across_cells),
    cmocka_unit_test (test_new_batch_job_goes_to_the_chosen_cell),
    cmocka_unit_test (test_unplaced_long_running_job_is_evacuated),
    cmocka_unit_test (test_spare_capacity_takes_evacuated_jobs),
    cmocka_unit_test (test_job_that_exceeds_cells_stays),
    cmocka_unit_test (test_job_that_is_down_is_evacuated),
    cmocka_unit_test (test_job_on_a_draining_worker_is_evacuated),
    cmocka_unit_test (test_large_tasks_are_not_evacuated_into_small_pieces),
    cmocka_unit_test (test_best_effort_job_needs_a_cell_with_capacity),
    cmocka_unit_test (test_evacuated_jobs_share_the_capacity_of_a_cell),
    cmocka_unit_test (test_resubmitted_job_does_not_return_before_its_move_is_read),
    cmocka_unit_test (test_started_or_unresolved_jobs_are_not_moved),
    cmocka_unit_test (test_owners_on_one_host_do_not_share_jobs),
    cmocka_unit_test (test_job_moves_to_the_cell_with_its_label),
    cmocka_unit_test (test_job_leaves_a_cell_that_cannot_hold_it),
    cmocka_unit_test (test_started_job_moves_once_its_progress_is_stored),
    cmocka_unit_test (test_job_at_work_moves_afterwards),
    cmocka_unit_test (test_job_leaves_a_lost_rack),
    cmocka_unit_test (test_job_that_came_here_stays_for_a_while),
    cmocka_unit_test (test_evacuated_job_needs_its_label),
    cmocka_unit_test (test_attempts_are_counted_across_cells),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
