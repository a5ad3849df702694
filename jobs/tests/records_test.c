#include "bench_job.h"

#include "crash.h"
#include "owner_private.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static gint64
acked_end (const struct sim *sim, const char *worker)
{
  return iv_fleet_find_by_id (iv_owner_fleet (sim->owner), worker)->acked_end;
}

/* Submits a job whose @a count tasks are spread evenly over the workers. */
static void
submit_to (struct sim *sim, const char *id, guint count)
{
  sim_make_job (count, 0);
  sim_steps[0].cpu_milli = 1000;
  sim_steps[0].per_worker_max = count / sim->count;
  sim_submit (sim, id, &sim_spec);
}

/* Guards against confirmed ends that no record holds: after a hand-over their tasks ran again. A
   record that is not stored, for now or for good, holds back the ends that it tells of, and no ends
   of other jobs before them. */
static void
test_ends_without_a_record_are_not_confirmed (void **state)
{
  for (guint for_good = 0; for_good < 2; for_good++)
    {
      struct sim *sim = sim_new (2);
      sim_start_owner (sim);
      submit_to (sim, JOB_ID, 4);
      submit_to (sim, OTHER_JOB_ID, 2);
      sim_advance (sim, 1000);
      assert_int_equal (sim_job_runs (sim, JOB_ID), 4);
      assert_int_equal (sim_job_runs (sim, OTHER_JOB_ID), 2);
      sim->unstorable_job = JOB_ID;
      sim->unstorable_for_good = for_good > 0;
      /* On the first worker an end of the other job comes first, on the second one after. */
      sim_end_oldest_run (sim, 0, OTHER_JOB_ID);
      sim_advance (sim, 1000);
      sim_end_oldest_run (sim, 0, JOB_ID);
      sim_end_oldest_run (sim, 1, JOB_ID);
      sim_advance (sim, 1000);
      sim_end_oldest_run (sim, 1, OTHER_JOB_ID);
      sim_advance (sim, 1000);
      assert_int_equal (sim_job_state (sim, OTHER_JOB_ID), IVJ_COMPLETED);
      assert_int_equal (acked_end (sim, "w0"), 1);
      assert_int_equal (acked_end (sim, "w1"), 0);
      sim_start_owner (sim);
      assert_true (sim_advance_without_duplicates (sim, 12000));
      assert_int_equal (sim_job_runs (sim, JOB_ID), 2);
      sim->unstorable_job = NULL;
      sim_end_oldest_run (sim, 0, JOB_ID);
      sim_end_oldest_run (sim, 1, JOB_ID);
      sim_advance (sim, 1000);
      assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
      assert_int_equal (acked_end (sim, "w0"), 3);
      assert_int_equal (acked_end (sim, "w1"), 3);
      sim_free (sim);
    }
}

#define DUE 3000

static guint starts[DUE];

static void
count_start (const struct iv_task_name *name)
{
  starts[name->occurrence]++;
}

/* Submits a schedule of @a times occurrences, all of them due, of a short task each. */
static void
submit_schedule (struct sim *sim, guint times)
{
  sim_make_job (1, 0);
  sim_steps[0].cpu_milli = 50;
  sim_spec.times = times;
  sim_spec.interval_ms = 1;
  sim_submit (sim, JOB_ID, &sim_spec);
}

/* Guards against occurrences that run again after a hand-over: with more of them due than a record
   holds, none of their ends was recorded. */
static void
test_due_occurrences_run_once_across_hand_overs (void **state)
{
  struct sim *sim = sim_new (8);
  const struct iv_job_entry *job;
  memset (starts, 0, sizeof starts);
  sim->started = count_start;
  sim->run_ms = 300;
  sim_start_owner (sim);
  sim_advance (sim, 100);
  submit_schedule (sim, DUE);
  job = iv_job_table_find (sim->job_table, JOB_ID);
  for (guint round = 0; round < 4; round++)
    {
      sim_advance (sim, 350 + 130 * round);
      /* What ends from here on is known to no record when the owner changes. */
      sim->store_records = FALSE;
      sim_advance (sim, 400);
      sim->store_records = TRUE;
      sim_start_owner (sim);
      for (guint i = 0; i < 20; i++)
        {
          sim_advance (sim, 10);
          assert_true (job->exec == NULL || job->exec->open->len <= IVJ_OPEN_MAX);
        }
    }
  sim_advance (sim, 60000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
  for (guint i = 0; i < DUE; i++)
    assert_int_equal (starts[i], 1);
  sim_free (sim);
}

/* Guards against an occurrence that runs again because the clock of the next owner is behind: it is
   not due there yet when a worker lists its end. */
static void
test_next_owner_with_a_clock_behind_opens_what_has_run (void **state)
{
  struct sim *sim = sim_new (2);
  memset (starts, 0, sizeof starts);
  sim->started = count_start;
  sim->run_ms = 100;
  sim_start_owner (sim);
  sim_advance (sim, 100);
  sim_make_job (1, 0);
  sim_spec.times = 4;
  sim_spec.first_ms = sim->wall_ms;
  sim_spec.interval_ms = 1000;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 950);
  sim->store_records = FALSE;
  sim_advance (sim, 250);
  assert_int_equal (starts[1], 1);
  sim->store_records = TRUE;
  sim->wall_ms -= 400;
  sim_start_owner (sim);
  sim_advance (sim, 12000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
  for (guint i = 0; i < sim_spec.times; i++)
    assert_int_equal (starts[i], 1);
  sim_free (sim);
}

/* Guards against a schedule that takes all memory and stops its cell: whatever is due, only what
   the record holds is open. Other jobs go on beside it. */
static void
test_schedule_opens_what_its_record_holds (void **state)
{
  struct sim *sim = sim_new (2);
  const struct iv_job_entry *job;
  sim_start_owner (sim);
  sim_advance (sim, 100);
  submit_schedule (sim, 50000);
  sim->run_ms = 300;
  sim_advance (sim, 5000);
  job = iv_job_table_find (sim->job_table, JOB_ID);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_RUNNING);
  assert_in_range (job->exec->open->len, 1, IVJ_OPEN_MAX);
  sim_make_job (2, 0);
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 3000);
  assert_int_equal (sim_job_state (sim, OTHER_JOB_ID), IVJ_COMPLETED);
  sim_free (sim);
}

static void
end_occurrences (struct iv_job_exec *exec, guint first, guint count)
{
  struct iv_task_name name = { .job = JOB_ID };
  for (name.occurrence = first; name.occurrence < first + count; name.occurrence++)
    iv_job_exec_task_done (exec, &name);
}

/* Guards against records that are too large for the next owner: it opens again what was closed
   since the newest record, beside all that it finds running. */
static void
test_closed_occurrences_count_until_that_is_stored (void **state)
{
  ivj_step step = { .count = 1 };
  struct iv_job_entry job = { .spec = { .times = 5000, .steps = { 1, &step } } };
  struct iv_job_exec *exec = iv_job_exec_new (&job, 0);
  assert_true (iv_job_exec_open_due (exec, 1));
  assert_int_equal (exec->opened, IVJ_OPEN_MAX);
  end_occurrences (exec, 0, 200);
  assert_false (iv_job_exec_open_due (exec, 1));
  iv_job_exec_collected (exec);
  end_occurrences (exec, 200, 100);
  assert_false (iv_job_exec_open_due (exec, 1));
  iv_job_exec_stored (exec);
  assert_true (iv_job_exec_open_due (exec, 1));
  assert_int_equal (exec->opened, IVJ_OPEN_MAX + 200);
  iv_job_exec_free (exec);
}

static guint
count_recorded (const struct iv_job_exec *exec)
{
  const struct iv_stage *stage = &iv_job_exec_occurrence (exec, 0)->stages[0];
  guint count = 0;
  for (guint i = 0; i < stage->step->count; i++)
    count += stage->tasks[i].crashes > 0 && stage->tasks[i].crashes_recorded;
  return count;
}

/* Guards against suspects that start though no record holds their count, as there are too many for
   one: they wait until others are cleared, and those that have started are never left out. */
static void
test_suspects_wait_for_room_in_their_record (void **state)
{
  enum
  {
    SUSPECTS = 10000,
    LATER = 9000
  };
  ivj_step step = { .count = SUSPECTS };
  struct iv_job_entry job = { .spec = { .steps = { 1, &step } } };
  struct iv_job_exec *exec = iv_job_exec_new (&job, 0);
  const struct iv_owner owner = { .stored_batch = 1 };
  struct iv_job_task *tasks;
  GByteArray *bytes;
  gboolean packed_new;
  guint most;
  assert_true (iv_job_exec_open_due (exec, 1));
  tasks = iv_job_exec_occurrence (exec, 0)->stages[0].tasks;
  for (guint i = 0; i < SUSPECTS; i++)
    tasks[i].crashes = 1;
  tasks[LATER].start_announced = TRUE;
  exec->has_crashes = TRUE;
  bytes = iv_job_exec_encode_crashes (exec, &packed_new);
  assert_non_null (bytes);
  assert_true (packed_new);
  g_byte_array_free (bytes, TRUE);
  most = count_recorded (exec);
  assert_in_range (most, 1, SUSPECTS - 1);
  assert_true (iv_crash_may_start (&owner, exec, &tasks[0]));
  assert_true (iv_crash_may_start (&owner, exec, &tasks[LATER]));
  assert_false (iv_crash_may_start (&owner, exec, &tasks[most]));
  for (guint i = 0; i < 100; i++)
    tasks[i].crashes = 0;
  bytes = iv_job_exec_encode_crashes (exec, &packed_new);
  assert_true (packed_new);
  g_byte_array_free (bytes, TRUE);
  assert_int_equal (count_recorded (exec), most);
  assert_true (iv_crash_may_start (&owner, exec, &tasks[most]));
  bytes = iv_job_exec_encode_crashes (exec, &packed_new);
  assert_false (packed_new);
  g_byte_array_free (bytes, TRUE);
  iv_job_exec_free (exec);
}

/* Fails tasks of each open occurrence up to @a most times. */
static void
fail_tasks (struct iv_job_exec *exec, GRand *rand, guint most)
{
  struct iv_task_name name = { .job = JOB_ID };
  gint64 run = 1;
  for (guint i = 0; i < exec->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      name.occurrence = occurrence->number;
      for (name.step = 0; name.step < exec->job->spec.steps.steps_len; name.step++)
        for (name.index = 0; name.index < occurrence->stages[name.step].step->count; name.index++)
          for (guint failed = (guint)g_rand_int_range (rand, 0, (gint)most + 1); failed > 0;
               failed--)
            assert_false (iv_job_exec_task_failed (exec, &name, run++, G_MAXUINT));
    }
}

/* Applies the records of @a exec to @a table. */
static void
store (const struct iv_job_exec *exec, struct iv_job_table *table)
{
  GPtrArray *records = iv_job_exec_encode (exec);
  assert_non_null (records);
  for (guint i = 0; i < records->len; i++)
    {
      const GByteArray *bytes = g_ptr_array_index (records, i);
      char key[32];
      assert_in_range (bytes->len, 1, IV_RECORD_MAX_BYTES);
      if (i == 0)
        g_snprintf (key, sizeof key, JOB_ID IV_KEY_PROGRESS);
      else
        g_snprintf (key, sizeof key, JOB_ID IV_KEY_FAILURES "%u", i);
      assert_int_equal (iv_job_table_apply (table, key, bytes->data, bytes->len), IV_OK);
    }
  g_ptr_array_unref (records);
}

static void
assert_same_failures (const struct iv_job_exec *a, const struct iv_job_exec *b)
{
  assert_int_equal (a->open->len, b->open->len);
  for (guint i = 0; i < a->open->len; i++)
    for (guint j = 0; j < a->job->spec.steps.steps_len; j++)
      {
        const struct iv_stage *x = &((struct iv_occurrence *)a->open->pdata[i])->stages[j];
        const struct iv_stage *y = &((struct iv_occurrence *)b->open->pdata[i])->stages[j];
        for (guint k = 0; k < x->step->count; k++)
          {
            assert_int_equal (x->tasks[k].failures, y->tasks[k].failures);
            assert_memory_equal (x->tasks[k].failed_runs, y->tasks[k].failed_runs,
                                 x->tasks[k].failures * sizeof (gint64));
          }
      }
}

/* Guards against progress that no record holds: whatever job is accepted, and however often its
   tasks fail, the next owner reads what was open and which runs have failed. */
static void
test_records_hold_all_progress (void **state)
{
  GRand *rand = g_rand_new_with_seed (39);
  for (guint round = 0; round < 100; round++)
    {
      static const guint failures[] = { 0, 2, 30, 2500 };
      ivj_step steps[IVJ_STEPS_MAX];
      ivj_job spec = { .times = 5000, .steps = { 0, steps } };
      struct iv_job_entry job = { .spec = spec };
      struct iv_job_table *table = iv_job_table_new ();
      guint most_failures = failures[round % G_N_ELEMENTS (failures)];
      guint left = most_failures > 30 ? 20 : IVJ_TASKS_MAX;
      struct iv_job_entry *read;
      struct iv_job_exec *exec;
      memset (steps, 0, sizeof steps);
      spec.steps.steps_len
          = (guint)g_rand_int_range (rand, 1, most_failures > 30 || round % 3 ? 4 : IVJ_STEPS_MAX);
      for (guint i = 0; i < spec.steps.steps_len; i++)
        {
          guint most = MIN (left - (spec.steps.steps_len - i - 1), 1u << (round % 15));
          steps[i].count = (guint)g_rand_int_range (rand, 1, (gint)most + 1);
          steps[i].label = steps[i].data_rack = steps[i].image = "";
          left -= steps[i].count;
        }
      spec.host = spec.prefix = spec.spec = "x";
      if (most_failures > 2)
        spec.times = 1;
      job.spec = spec;
      exec = iv_job_exec_new (&job, 0);
      assert_true (iv_job_exec_open_due (exec, 1));
      fail_tasks (exec, rand, most_failures);
      GByteArray *accepted = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_job, &spec, IV_RECORD_MAX_BYTES);
      iv_job_table_apply (table, JOB_ID, accepted->data, accepted->len);
      g_byte_array_free (accepted, TRUE);
      store (exec, table);
      read = iv_job_table_find (table, JOB_ID);
      assert_same_failures (exec, iv_job_exec_new (read, 0));
      iv_job_exec_free (read->exec);
      iv_job_exec_free (exec);
      iv_job_table_free (table);
    }
  g_rand_free (rand);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_ends_without_a_record_are_not_confirmed),
    cmocka_unit_test (test_due_occurrences_run_once_across_hand_overs),
    cmocka_unit_test (test_next_owner_with_a_clock_behind_opens_what_has_run),
    cmocka_unit_test (test_schedule_opens_what_its_record_holds),
    cmocka_unit_test (test_closed_occurrences_count_until_that_is_stored),
    cmocka_unit_test (test_suspects_wait_for_room_in_their_record),
    cmocka_unit_test (test_records_hold_all_progress),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
