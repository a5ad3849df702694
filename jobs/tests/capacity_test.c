#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Long enough for starts, ends and their records to take effect; leases last longer. */
#define SETTLE_MS 400

/* A job of @a count tasks of one core, 100 MiB and an accelerator each. */
static void
submit (struct sim *sim, const char *id, guint count, u_int flags)
{
  sim_make_job (count, 0);
  sim_steps[0].cpu_milli = 1000;
  sim_steps[0].mem_mb = 100;
  sim_steps[0].accelerators = 1;
  sim_steps[0].flags = flags;
  sim_submit (sim, id, &sim_spec);
}

/* A cell of @a workers workers with 4 cores, 400 MiB and 4 accelerators each. */
static struct sim *
start_cell (guint workers)
{
  struct sim *sim = sim_new (workers);
  for (guint i = 0; i < workers; i++)
    {
      sim->workers[i].mem_mb = 400;
      sim->workers[i].accelerators = 4;
    }
  sim_start_owner (sim);
  sim_advance (sim, SETTLE_MS);
  return sim;
}

static void
set_capacity (struct sim *sim, guint i, struct iv_resources capacity)
{
  sim->workers[i].capacity_milli = capacity.cpu_milli;
  sim->workers[i].mem_mb = capacity.mem_mb;
  sim->workers[i].accelerators = capacity.accelerators;
}

/* Four tasks fill a worker, which shrinks and then loses one of them: tasks start again only where
   they fit, and once the capacity has grown. */
static void
test_shrunk_capacity_limits_starts (void **state)
{
  static const struct
  {
    const char *what;
    struct iv_resources shrunk;
    u_int flags;
    guint ended;           /* tasks of the first job that end */
    guint started_shrunk;  /* tasks of the second job that start on the shrunk worker... */
    guint started_regrown; /* ...and once it has grown again */
  } rows[] = {
    { "not at all", { 4000, 400, 4 }, 0, 1, 1, 1 },
    { "cores", { 2000, 400, 4 }, 0, 1, 0, 1 },
    { "cores, to what runs", { 3000, 400, 4 }, 0, 1, 0, 1 },
    { "cores, one is left", { 3000, 400, 4 }, 0, 2, 1, 2 },
    { "memory", { 4000, 200, 4 }, 0, 1, 0, 1 },
    { "accelerators", { 4000, 400, 2 }, 0, 1, 0, 1 },
    { "to nothing", { 0, 0, 0 }, 0, 4, 0, 4 },
    { "best-effort, cores", { 2000, 400, 4 }, IVJ_BEST_EFFORT, 1, 0, 1 },
    { "best-effort, memory", { 4000, 200, 4 }, IVJ_BEST_EFFORT, 2, 0, 2 },
    { "best-effort, accelerators", { 4000, 400, 2 }, IVJ_BEST_EFFORT, 2, 0, 2 },
    { "best-effort, to nothing", { 0, 0, 0 }, IVJ_BEST_EFFORT, 4, 0, 4 },
    { "long-running", { 2000, 400, 4 }, IVJ_LONG_RUNNING, 1, 0, 1 },
    { "gang of four", { 3000, 400, 4 }, IVJ_GANG, 4, 0, 4 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct sim *sim = start_cell (1);
      print_message ("%s\n", rows[i].what);
      submit (sim, JOB_ID, 4, 0);
      sim_advance (sim, SETTLE_MS);
      assert_int_equal (sim_total_runs (sim), 4);
      set_capacity (sim, 0, rows[i].shrunk);
      sim_list_worker (sim, 0);
      submit (sim, OTHER_JOB_ID, 4, rows[i].flags);
      for (guint j = 0; j < rows[i].ended; j++)
        assert_true (sim_end_run (sim, JOB_ID, 0, j, IV_END_DONE));
      sim_advance (sim, 2 * SETTLE_MS);
      assert_int_equal (sim_total_runs (sim), 4 - rows[i].ended + rows[i].started_shrunk);
      assert_int_equal (sim->over_capacity, 0);
      set_capacity (sim, 0, (struct iv_resources){ 4000, 400, 4 });
      sim_list_worker (sim, 0);
      sim_advance (sim, 2 * SETTLE_MS);
      assert_int_equal (sim_total_runs (sim), 4 - rows[i].ended + rows[i].started_regrown);
      assert_int_equal (sim->over_capacity, 0);
      sim_free (sim);
    }
}

/* A start that is on its way when the entry of a worker that has shrunk is read still counts. */
static void
test_starts_on_their_way_count (void **state)
{
  struct sim *sim = start_cell (1);
  sim->workers[0].start_delay_ms = 300;
  submit (sim, JOB_ID, 2, 0);
  sim_advance (sim, 100);
  assert_int_equal (sim_total_runs (sim), 0);
  set_capacity (sim, 0, (struct iv_resources){ 2000, 400, 4 });
  sim_list_worker (sim, 0);
  submit (sim, OTHER_JOB_ID, 1, 0);
  sim_advance (sim, 2 * SETTLE_MS);
  assert_int_equal (sim_total_runs (sim), 2);
  assert_int_equal (sim->start_calls, 2);
  sim_free (sim);
}

/* What is being stopped uses its worker until its end is listed. */
static void
test_stopping_runs_count (void **state)
{
  struct sim *sim = start_cell (1);
  sim->workers[0].stop_grace_ms = 300;
  submit (sim, JOB_ID, 3, 0);
  sim_advance (sim, SETTLE_MS);
  set_capacity (sim, 0, (struct iv_resources){ 2000, 400, 4 });
  sim_list_worker (sim, 0);
  iv_job_table_apply (sim->job_table, JOB_ID IV_KEY_CANCEL, (const guint8 *)"", 0);
  iv_owner_job_changed (sim->owner, iv_job_table_find (sim->job_table, JOB_ID), sim->now_ms);
  submit (sim, OTHER_JOB_ID, 4, 0);
  sim_advance (sim, 200);
  assert_int_equal (sim_total_runs (sim), 3);
  sim_advance (sim, 2 * SETTLE_MS);
  assert_int_equal (sim_total_runs (sim), 2);
  assert_int_equal (sim->over_capacity, 0);
  sim_free (sim);
}

/* A new instance with another capacity, whose entry is read first. */
static void
test_capacity_of_a_listed_new_instance (void **state)
{
  struct sim *sim = start_cell (1);
  submit (sim, JOB_ID, 4, 0);
  sim_advance (sim, SETTLE_MS);
  sim_restart_worker (sim, 0);
  set_capacity (sim, 0, (struct iv_resources){ 1000, 100, 1 });
  sim_list_worker (sim, 0);
  sim_advance (sim, 2 * SETTLE_MS);
  assert_int_equal (sim_total_runs (sim), 1);
  assert_int_equal (sim->over_capacity, 0);
  sim_free (sim);
}

/* The poll reply of a new instance arrives before its entry. Its capacity and labels are unknown
   until then, as an instance may be of another kind. */
static void
test_capacity_of_a_polled_new_instance (void **state)
{
  struct sim *sim = start_cell (1);
  submit (sim, JOB_ID, 4, 0);
  sim_advance (sim, SETTLE_MS);
  sim_restart_worker (sim, 0);
  set_capacity (sim, 0, (struct iv_resources){ 1000, 100, 1 });
  sim_advance (sim, 2 * SETTLE_MS);
  assert_int_equal (sim->over_capacity, 0);
  assert_int_equal (sim_total_runs (sim), 0);
  sim_list_worker (sim, 0);
  sim_advance (sim, SETTLE_MS);
  assert_int_equal (sim_total_runs (sim), 1);
  assert_int_equal (sim->over_capacity, 0);
  sim_free (sim);
}

/* The next owner finds runs that no job wants. They use the worker until their ends are listed,
   also when their job is not known any more. */
static void
test_unwanted_runs_count (void **state)
{
  static const gboolean job_known[] = { TRUE, FALSE };
  for (guint i = 0; i < G_N_ELEMENTS (job_known); i++)
    {
      struct sim *sim = start_cell (1);
      sim->workers[0].stop_grace_ms = 300;
      submit (sim, JOB_ID, 4, 0);
      sim_advance (sim, SETTLE_MS);
      iv_owner_free (sim->owner);
      sim->owner = NULL;
      iv_job_table_apply (sim->job_table, JOB_ID IV_KEY_CANCEL, (const guint8 *)"", 0);
      if (!job_known[i])
        sim_forget_job (sim, JOB_ID);
      submit (sim, OTHER_JOB_ID, 4, 0);
      sim_start_owner (sim);
      sim_advance (sim, 200);
      assert_int_equal (sim_total_runs (sim), 4);
      sim_advance (sim, 3 * SETTLE_MS);
      assert_int_equal (sim->over_capacity, 0);
      assert_int_equal (sim_running_count (sim, OTHER_JOB_ID, 0, 0), 1);
      assert_int_equal (sim_total_runs (sim), 4);
      sim_free (sim);
    }
}

/* A worker that is over its capacity does not hide the free cores of the others in its rack: a
   rack-local step is not spread over racks, where its tasks would take several times as long. */
static void
test_overfull_worker_hides_no_rack (void **state)
{
  static const struct iv_resources none = { 0, 0, 0 };
  static const struct iv_resources one = { 1000, 100, 1 };
  struct sim *sim = start_cell (4);
  guint used;
  for (guint i = 2; i < 4; i++)
    {
      set_capacity (sim, i, none);
      sim_list_worker (sim, i);
    }
  submit (sim, JOB_ID, 4, 0);
  sim_advance (sim, SETTLE_MS);
  used = sim->workers[0].runs->len > 0 ? 0 : 1;
  assert_int_equal (sim->workers[used].runs->len, 4);
  set_capacity (sim, used, none);
  sim_list_worker (sim, used);
  for (guint i = 2; i < 4; i++)
    {
      set_capacity (sim, i, one);
      sim_list_worker (sim, i);
    }
  submit (sim, OTHER_JOB_ID, 4, IVJ_RACK_LOCAL);
  sim_advance (sim, SETTLE_MS);
  assert_int_equal (sim->workers[1 - used].runs->len, 4);
  assert_int_equal (sim->over_capacity, 0);
  sim_free (sim);
}

/* The cell has as much free capacity as its workers have, however far one of them has shrunk. */
static void
test_free_capacity_beside_an_overfull_worker (void **state)
{
  static const struct
  {
    gint64 capacity_milli; /* of the worker on which 4 cores are used */
    gint64 free_milli;     /* of the cell; its other worker has 4 cores */
    gint64 long_running_milli;
  } rows[] = {
    { 6000, 6000, 10000 },
    { 4000, 4000, 8000 },
    { 3000, 4000, 7000 },
    { 0, 4000, 4000 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct sim *sim = start_cell (2);
      struct iv_cell_capacity capacity;
      guint used;
      submit (sim, JOB_ID, 4, 0);
      sim_advance (sim, SETTLE_MS);
      used = sim->workers[0].runs->len > 0 ? 0 : 1;
      set_capacity (sim, used, (struct iv_resources){ rows[i].capacity_milli, 400, 4 });
      sim_list_worker (sim, used);
      assert_true (iv_owner_free_capacity (sim->owner, &capacity));
      assert_int_equal (capacity.free_milli, rows[i].free_milli);
      assert_int_equal (capacity.best_effort_milli, rows[i].free_milli);
      /* Less the reserve for the batch job: a tenth of the capacity. */
      assert_int_equal (capacity.long_running_milli, rows[i].long_running_milli * 9 / 10);
      sim_free (sim);
    }
}

/* The entry of a worker is not read any more: the store is away, or the worker cannot reach it. A
   worker that starts what it is told gets no start that arrives when its capacity may have shrunk
   long ago; the others refuse what does not fit. */
static void
test_old_entries_permit_no_start (void **state)
{
  static const struct
  {
    gboolean unguarded;
    gint64 entry_age_ms; /* when the owner reads it */
    gint64 wait_ms;      /* until a job is submitted, beyond SETTLE_MS */
    gint64 start_delay_ms;
    guint runs; /* after a second and a half */
  } rows[] = {
    { TRUE, 0, 0, 0, 4 },      { TRUE, 0, 3000, 0, 4 },    { TRUE, 0, 3600, 0, 0 },
    { TRUE, 2500, 0, 0, 4 },   { TRUE, 2500, 1500, 0, 0 }, { TRUE, 0, 2000, 800, 4 },
    { TRUE, 0, 3000, 800, 0 }, { FALSE, 0, 3600, 0, 4 },   { FALSE, 0, 3000, 800, 4 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct sim *sim = sim_new (1);
      print_message ("row %u\n", i);
      sim->unguarded = rows[i].unguarded;
      sim->workers[0].accelerators = 4;
      sim->workers[0].entry_age_ms = rows[i].entry_age_ms;
      sim->workers[0].start_delay_ms = rows[i].start_delay_ms;
      sim_start_owner (sim);
      sim_advance (sim, SETTLE_MS + rows[i].wait_ms);
      submit (sim, JOB_ID, 4, 0);
      sim_advance (sim, 1500);
      assert_int_equal (sim_total_runs (sim), rows[i].runs);
      if (rows[i].start_delay_ms == 0)
        assert_int_equal (sim->start_calls, rows[i].runs);
      sim->workers[0].entry_age_ms = 0;
      sim->workers[0].start_delay_ms = 0;
      sim_list_worker (sim, 0);
      sim_advance (sim, 2000);
      assert_int_equal (sim_total_runs (sim), 4);
      sim_free (sim);
    }
}

/* Entries are read in the order of the stream, and a write without a response may be carried out
   late: an older entry of the same instance changes nothing. */
static void
test_older_entry_is_ignored (void **state)
{
  struct sim *sim = start_cell (1);
  set_capacity (sim, 0, (struct iv_resources){ 1000, 100, 1 });
  sim_list_worker (sim, 0);
  set_capacity (sim, 0, (struct iv_resources){ 4000, 400, 4 });
  sim->workers[0].entry_age_ms = 300;
  sim_list_worker (sim, 0);
  set_capacity (sim, 0, (struct iv_resources){ 1000, 100, 1 });
  submit (sim, JOB_ID, 4, 0);
  sim_advance (sim, SETTLE_MS);
  assert_int_equal (sim->over_capacity, 0);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* A guarding worker shrinks and refuses; its entry is not read for seconds. Refused starts are
   billed, and are not repeated before the entry is read or a run ends. */
static void
test_refusal_shows_the_capacity (void **state)
{
  static const struct iv_resources shrunk[]
      = { { 2000, 400, 4 }, { 4000, 200, 4 }, { 4000, 400, 2 }, { 0, 0, 0 } };
  for (guint i = 0; i < G_N_ELEMENTS (shrunk); i++)
    {
      struct sim *sim = start_cell (1);
      sim->workers[0].checks_capacity = TRUE;
      submit (sim, JOB_ID, 2, 0);
      sim_advance (sim, SETTLE_MS);
      set_capacity (sim, 0, shrunk[i]);
      submit (sim, OTHER_JOB_ID, 4, 0);
      sim_advance (sim, 5000);
      assert_int_equal (sim_total_runs (sim), 2);
      assert_int_equal (sim->refused_starts, 2);
      assert_true (sim_end_run (sim, JOB_ID, 0, 0, IV_END_DONE));
      sim_advance (sim, 1000);
      assert_int_equal (sim_total_runs (sim), i < 3 ? 2 : 1);
      assert_in_range (sim->refused_starts, 2, 3);
      set_capacity (sim, 0, (struct iv_resources){ 4000, 400, 4 });
      sim_list_worker (sim, 0);
      sim_advance (sim, 1000);
      assert_int_equal (sim_total_runs (sim), 4);
      sim_free (sim);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_shrunk_capacity_limits_starts),
    cmocka_unit_test (test_starts_on_their_way_count),
    cmocka_unit_test (test_stopping_runs_count),
    cmocka_unit_test (test_capacity_of_a_listed_new_instance),
    cmocka_unit_test (test_capacity_of_a_polled_new_instance),
    cmocka_unit_test (test_unwanted_runs_count),
    cmocka_unit_test (test_overfull_worker_hides_no_rack),
    cmocka_unit_test (test_free_capacity_beside_an_overfull_worker),
    cmocka_unit_test (test_old_entries_permit_no_start),
    cmocka_unit_test (test_older_entry_is_ignored),
    cmocka_unit_test (test_refusal_shows_the_capacity),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
