#include "bench_job.h"
#include "counter.h"
#include "owner_private.h"
#include "rack_room.h"
#include "waits.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define SETTLE_MS 300
#define IDLE_MAX_MS 2000 /* a job waits no longer for a place with nothing of it running */
#define TASK_MS 3000     /* estimate: going elsewhere costs as much, more than the bound */

static char *last_line;

static GLogWriterOutput
keep_line (GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data)
{
  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0 && strstr (fields[i].value, "stage.ended"))
      {
        g_free (last_line);
        last_line = g_strdup (fields[i].value);
      }
  return G_LOG_WRITER_HANDLED;
}

/* Eight workers of 4 cores, which a task of the other job fills each: w0 to w2 in rack r0, w3 to w5
   in r1, w6 and w7 in racks of their own. r0 is in domain "a", the others are in "b". */
static struct sim *
start_cell (gboolean learns)
{
  static const char *const racks[] = { "r0", "r0", "r0", "r1", "r1", "r1", "r2", "r3" };
  struct sim *sim = sim_new (SIM_WORKERS_MAX);
  for (guint i = 0; i < sim->count; i++)
    {
      g_strlcpy (sim->workers[i].rack, racks[i], sizeof sim->workers[i].rack);
      g_strlcpy (sim->workers[i].domain, i < 3 ? "a" : "b", sizeof sim->workers[i].domain);
    }
  sim->limits.learn_lengths = learns;
  sim->limits.gang_wait_ms = 4000;
  sim_start_owner (sim);
  sim_advance (sim, SETTLE_MS);
  return sim;
}

static void
make_tasks (guint count, gint64 estimate_ms)
{
  sim_make_job (count, 0);
  sim_steps[0].cpu_milli = 4000;
  sim_steps[0].estimate_ms = (guint64)estimate_ms;
}

/* Fills every worker with a task of the other job. */
static void
fill (struct sim *sim, gint64 estimate_ms)
{
  make_tasks (sim->count, estimate_ms);
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, SETTLE_MS);
  assert_int_equal (sim_total_runs (sim), sim->count);
}

static void
end_on (struct sim *sim, guint worker)
{
  sim_end_oldest_run (sim, worker, OTHER_JOB_ID);
}

static gint64
count_waits (const char *kind, const char *outcome)
{
  char labels[64];
  g_snprintf (labels, sizeof labels, "kind=\"%s\",outcome=\"%s\"", kind, outcome);
  return iv_counter_value (iv_counter_get ("ibisvane_place_waits_total", labels, ""));
}

static void
submit_with_data (struct sim *sim, gint64 estimate_ms)
{
  make_tasks (1, estimate_ms);
  sim_steps[0].data_rack = "r0";
  sim_submit (sim, JOB_ID, &sim_spec);
}

/* Guards against a task that goes elsewhere, for twice its duration, though the rack of its data
   has room soon; and against any wait for data where durations are not learnt. */
static void
test_task_waits_for_the_rack_of_its_data (void **state)
{
  for (guint learns = 0; learns < 2; learns++)
    {
      struct sim *sim = start_cell (learns);
      gint64 paid = count_waits ("data", "paid");
      fill (sim, 1000);
      end_on (sim, 7);
      sim_advance (sim, SETTLE_MS);
      submit_with_data (sim, TASK_MS);
      sim_advance (sim, SETTLE_MS);
      assert_int_equal (sim_worker_runs (sim, 7, JOB_ID), !learns);
      end_on (sim, 1);
      sim_advance (sim, SETTLE_MS);
      assert_int_equal (sim_worker_runs (sim, 1, JOB_ID), learns);
      assert_int_equal (count_waits ("data", "paid") - paid, learns);
      sim_free (sim);
    }
}

/* Guards against a wait that cannot pay: the runs there are young, or the task is short. */
static void
test_task_does_not_wait_for_long_runs (void **state)
{
  static const struct
  {
    gint64 others_ms;
    gint64 task_ms;
  } rows[] = { { 60000, TASK_MS }, { 1500, 200 } };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct sim *sim = start_cell (TRUE);
      fill (sim, rows[i].others_ms);
      end_on (sim, 7);
      sim_advance (sim, SETTLE_MS);
      submit_with_data (sim, rows[i].task_ms);
      sim_advance (sim, SETTLE_MS);
      assert_int_equal (sim_worker_runs (sim, 7, JOB_ID), 1);
      sim_free (sim);
    }
}

/* Guards against a job without a run (LOST): the place frees just after the longest wait. */
static void
test_wait_for_data_is_bounded (void **state)
{
  struct sim *sim = start_cell (TRUE);
  gint64 waited_ms = 0;
  fill (sim, 1500);
  end_on (sim, 7);
  sim_advance (sim, SETTLE_MS);
  submit_with_data (sim, 60000);
  for (; sim_job_runs (sim, JOB_ID) == 0; waited_ms += 10)
    sim_advance (sim, 10);
  assert_int_equal (sim_worker_runs (sim, 7, JOB_ID), 1);
  assert_in_range (waited_ms, SETTLE_MS, IDLE_MAX_MS + SETTLE_MS);
  sim_free (sim);
}

/* Guards against one rack that more jobs want than it has room for: all of them wait for the same
   workers, and most in vain. */
static void
test_few_wait_for_a_rack_that_many_want (void **state)
{
  struct sim *sim = start_cell (TRUE);
  gint64 paid = count_waits ("data", "paid");
  static const char *const ids[] = { "00000000000000c1", "00000000000000c2", "00000000000000c3",
                                     "00000000000000c4", "00000000000000c5" };
  guint elsewhere = 0;
  guint near = 0;
  fill (sim, 1500);
  for (guint i = 3; i < sim->count; i++)
    end_on (sim, i);
  sim_advance (sim, SETTLE_MS);
  for (guint i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      make_tasks (1, TASK_MS);
      sim_steps[0].data_rack = "r0";
      sim_submit (sim, ids[i], &sim_spec);
    }
  sim_advance (sim, SETTLE_MS);
  for (guint i = 0; i < G_N_ELEMENTS (ids); i++)
    elsewhere += sim_job_runs (sim, ids[i]);
  assert_int_equal (elsewhere, 3);
  for (guint i = 0; i < 3; i++)
    end_on (sim, i);
  sim_advance (sim, SETTLE_MS);
  for (guint i = 0; i < 3; i++)
    for (guint j = 0; j < G_N_ELEMENTS (ids); j++)
      near += sim_worker_runs (sim, i, ids[j]);
  assert_int_equal (near, 2);
  assert_int_equal (count_waits ("data", "paid") - paid, 2);
  sim_free (sim);
}

static void
cut_domain (struct sim *sim)
{
  sim->domain_a_out = TRUE;
}

static void
drain_rack (struct sim *sim)
{
  for (guint i = 0; i < 3; i++)
    sim_drain_worker (sim, i);
}

static void
unlist_rack (struct sim *sim)
{
  for (guint i = 0; i < 3; i++)
    {
      sim->workers[i].unlisted = TRUE;
      iv_owner_worker_unlisted (sim->owner, sim->workers[i].id, sim->now_ms);
    }
}

static void
reset_calls (struct sim *sim)
{
  for (guint i = 0; i < 3; i++)
    sim->workers[i].resets_calls = TRUE;
}

static void (*const losses[]) (struct sim *sim)
    = { cut_domain, drain_rack, unlist_rack, reset_calls };

/* Guards against tasks that go on waiting for a rack that is out of service, drained, lost or cut
   off. */
static void
test_wait_ends_with_its_place (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (losses); i++)
    {
      struct sim *sim = start_cell (TRUE);
      gint64 lost = count_waits ("data", "lost");
      print_message ("loss %u\n", i);
      fill (sim, 1500);
      end_on (sim, 7);
      sim_advance (sim, SETTLE_MS);
      submit_with_data (sim, 60000);
      sim_advance (sim, SETTLE_MS);
      assert_int_equal (sim_job_runs (sim, JOB_ID), 0);
      losses[i](sim);
      sim_advance (sim, 2 * SETTLE_MS);
      assert_int_equal (sim_worker_runs (sim, 7, JOB_ID), 1);
      assert_int_equal (count_waits ("data", "lost") - lost, 1);
      sim_free (sim);
    }
}

static const struct iv_stage *
first_stage (const struct sim *sim)
{
  const struct iv_job_exec *exec = iv_job_table_find (sim->job_table, JOB_ID)->exec;
  const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, 0);
  return &occurrence->stages[0];
}

/* Guards against a gang that holds a worker while others are missing, or waits for a second rack
   once the first is gone, with and without learnt durations: r0 and r1 could hold both members, the
   free workers are in two racks. */
static void
test_gang_waits_for_one_rack (void **state)
{
  for (guint learns = 0; learns < 2; learns++)
    for (guint lost = 0; lost < 2; lost++)
      {
        struct sim *sim = start_cell (learns);
        gint64 paid = count_waits ("gang", "paid");
        gint64 ended = count_waits ("gang", "lost");
        fill (sim, 1500);
        end_on (sim, 6);
        end_on (sim, 7);
        sim_advance (sim, SETTLE_MS);
        make_tasks (2, 60000);
        sim_steps[0].flags = IVJ_GANG | IVJ_RACK_LOCAL;
        sim_submit (sim, JOB_ID, &sim_spec);
        sim_advance (sim, SETTLE_MS);
        assert_int_equal (sim_job_runs (sim, JOB_ID), 0);
        if (lost)
          {
            const char *place = first_stage (sim)->wait.place;
            guint first = strcmp (place, "r0") == 0 ? 0 : 3;
            for (guint i = first; i < first + 3; i++)
              sim_drain_worker (sim, i);
          }
        else
          for (guint i = 3; i < 5; i++)
            end_on (sim, i);
        sim_advance (sim, SETTLE_MS);
        assert_int_equal (sim_worker_runs (sim, 3, JOB_ID) + sim_worker_runs (sim, 4, JOB_ID),
                          lost ? 0 : 2);
        assert_int_equal (sim_worker_runs (sim, 6, JOB_ID) + sim_worker_runs (sim, 7, JOB_ID),
                          lost ? 2 : 0);
        assert_int_equal (count_waits ("gang", "lost") - ended, lost);
        assert_in_range (count_waits ("gang", "paid") - paid, 0, !lost);
        sim_free (sim);
      }
}

static gint64
learnt_ms (const struct sim *sim)
{
  struct iv_owner *owner = sim->owner;
  return iv_task_lengths_quantile_ms (owner->lengths, iv_task_lengths_key ("image", "", "", 1, 1),
                                      TASK_MS, IV_TASK_LENGTHS_MEDIAN);
}

static void
run_many (struct sim *sim, guint jobs, char *data_rack)
{
  char id[IV_JOB_ID_LEN + 1];
  static guint next;
  for (guint i = 0; i < jobs; i++)
    {
      g_snprintf (id, sizeof id, "%016x", ++next + 0x1000);
      make_tasks (8, TASK_MS);
      sim_steps[0].image = "image";
      sim_steps[0].data_rack = data_rack;
      sim_submit (sim, id, &sim_spec);
      sim_advance (sim, 2 * sim->run_ms);
    }
}

/* Guards against durations that are not learnt, or learnt from tasks that ran away from their data;
   and a job whose estimate is off by nine tenths that goes before shorter ones. */
static void
test_durations_are_learnt_from_ended_runs (void **state)
{
  struct sim *sim = start_cell (TRUE);
  sim->run_ms = 400;
  run_many (sim, 1, "elsewhere");
  assert_int_equal (learnt_ms (sim), TASK_MS);
  assert_non_null (strstr (last_line, "tasks=8 last="));
  run_many (sim, 5, "");
  assert_in_range (learnt_ms (sim), 400 * 9 / 10, 400 + 200);
  sim->run_ms = 0;
  make_tasks (4, TASK_MS);
  sim_steps[0].image = "image";
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, SETTLE_MS);
  assert_in_range (iv_job_exec_remaining_ms (iv_job_table_find (sim->job_table, JOB_ID)->exec), 360,
                   600);
  assert_in_range (iv_job_exec_remaining_work (iv_job_table_find (sim->job_table, JOB_ID)->exec),
                   4 * 4 * 360, 4 * 4 * 600);
  assert_int_equal (iv_job_critical_path_ms (&sim_spec), TASK_MS);
  sim_free (sim);
}

/* A worker with @a count runs that began @a age_ms ago. */
static struct iv_fleet *
make_fleet (guint count, gint64 age_ms, gint64 now_ms, const ivj_step *step)
{
  struct iv_listed_worker listed = { .id = "w",
                                     .service = "s",
                                     .address = "a",
                                     .domain = "d",
                                     .rack = "r",
                                     .capacity = { 4000, 1000, 0 },
                                     .start_time_ms = 1 };
  struct iv_fleet *fleet = iv_fleet_new (1024);
  gboolean restarted;
  struct iv_fleet_worker *worker = iv_fleet_update_worker (fleet, &listed, &restarted);
  worker->sample_clock_ms = worker->clock_sampled_at_ms = now_ms;
  for (guint i = 0; i < count; i++)
    {
      struct iv_task_name name = { .job = JOB_ID, .index = i };
      struct iv_run *run = iv_run_add (worker, &name, step, 1, now_ms - age_ms - 100 * i);
      run->phase = IV_RUN_PHASE_RUNNING;
      run->acked_clock_ms = run->sent_ms;
    }
  return fleet;
}

/* Guards against room that is expected too early: for more tasks than runs end, for a gang that is
   too wide, beside runs that stay. */
static void
test_expected_room (void **state)
{
  struct iv_task_lengths *lengths = iv_task_lengths_new ();
  GPtrArray *workers = g_ptr_array_new ();
  struct iv_fleet *fleet;
  struct iv_room_need need = { .step = &sim_steps[1], .task_ms = 1000 };
  static const struct
  {
    guint tasks;
    u_int flags;
    u_int runs_flags;
    gint64 in_ms;
  } rows[] = {
    { 1, 0, 0, 300 },
    { 2, 0, 0, 400 },
    { 3, 0, 0, 1400 },
    { 5, 0, 0, 2400 },
    { 2, IVJ_GANG, 0, 400 },
    { 3, IVJ_GANG, 0, IV_PLACE_NEVER },
    { 1, 0, IVJ_LONG_RUNNING, IV_PLACE_NEVER },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      sim_make_job (2, 2);
      sim_steps[0].flags = rows[i].runs_flags;
      sim_steps[1].flags = rows[i].flags;
      fleet = make_fleet (2, 600, 5000, &sim_steps[0]);
      g_ptr_array_set_size (workers, 0);
      g_ptr_array_add (workers, iv_fleet_find_by_id (fleet, "w"));
      need.tasks = rows[i].tasks;
      assert_int_equal (iv_rack_room_in_ms (workers, &need, lengths, 5000), rows[i].in_ms);
      iv_fleet_free (fleet);
    }
  fleet = make_fleet (1, 600, 5000, &sim_steps[0]);
  g_ptr_array_set_size (workers, 0);
  g_ptr_array_add (workers, iv_fleet_find_by_id (fleet, "w"));
  need.tasks = 1;
  assert_int_equal (iv_rack_room_in_ms (workers, &need, lengths, 5000), 0);
  iv_fleet_free (fleet);
  g_ptr_array_free (workers, TRUE);
  iv_task_lengths_free (lengths);
}

/* Guards against durations that include time without progress: halted time is not counted, and a
   throttled or resumed run tells nothing. */
static void
test_clean_time_of_a_run (void **state)
{
  struct iv_fleet *fleet;
  struct iv_run *run;
  sim_make_job (1, 0);
  fleet = make_fleet (1, 1000, 5000, &sim_steps[0]);
  run = g_ptr_array_index (iv_fleet_find_by_id (fleet, "w")->runs, 0);
  assert_int_equal (iv_run_time_clean_ms (run, 5000), 1000);
  run->cpu_limit_percent = 0;
  assert_int_equal (iv_run_time_clean_ms (run, 5300), 1000);
  iv_run_time_note_limit (run, 5300);
  run->cpu_limit_percent = 50;
  assert_int_equal (iv_run_time_clean_ms (run, 5400), -1);
  assert_int_equal (run->halted_ms, 300);
  assert_int_equal (run->throttled_ms, 100);
  iv_fleet_free (fleet);
  fleet = make_fleet (1, 1000, 5000, &sim_steps[0]);
  run = g_ptr_array_index (iv_fleet_find_by_id (fleet, "w")->runs, 0);
  run->resumed = TRUE;
  assert_int_equal (iv_run_time_clean_ms (run, 5000), -1);
  run->resumed = FALSE;
  run->acked_clock_ms = 0;
  assert_int_equal (iv_run_time_clean_ms (run, 5000), -1);
  iv_fleet_free (fleet);
}

/* Guards against a log that grows with the load, and lines that are lost without a count. */
static void
test_lines_are_bounded (void **state)
{
  struct iv_line_limit limit = { 0 };
  guint admitted = 0;
  for (guint i = 0; i < 1000; i++)
    admitted += iv_line_limit_admit (&limit, 5000 + i);
  assert_int_equal (admitted, 20);
  assert_int_equal (limit.suppressed, 980);
  assert_true (iv_line_limit_admit (&limit, 6000));
}

/* Guards against shares of the time of a step that do not add up to it. */
static void
test_end_of_a_step_is_divided (void **state)
{
  struct iv_line_limit limit = { .suppressed = 3 };
  struct iv_stage_end end = { .name = { .job = JOB_ID, .index = 4 },
                              .worker = "w",
                              .ready_ms = 1000,
                              .first_sent_ms = 1200,
                              .sent_ms = 2000,
                              .throttled_ms = 300,
                              .halted_ms = 40,
                              .ended_ms = 5000,
                              .expected_ms = 900,
                              .count = 5 };
  iv_stage_end_log (&end, &limit);
  assert_non_null (last_line);
  assert_non_null (strstr (last_line,
                           "last=4 worker=w took_ms=4000 waiting_ms=200 repeated_ms=800"
                           " running_ms=2660 throttled_ms=300 halted_ms=40 expected_ms=900"
                           " suppressed=3"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_task_waits_for_the_rack_of_its_data),
    cmocka_unit_test (test_task_does_not_wait_for_long_runs),
    cmocka_unit_test (test_wait_for_data_is_bounded),
    cmocka_unit_test (test_few_wait_for_a_rack_that_many_want),
    cmocka_unit_test (test_wait_ends_with_its_place),
    cmocka_unit_test (test_gang_waits_for_one_rack),
    cmocka_unit_test (test_durations_are_learnt_from_ended_runs),
    cmocka_unit_test (test_expected_room),
    cmocka_unit_test (test_clean_time_of_a_run),
    cmocka_unit_test (test_lines_are_bounded),
    cmocka_unit_test (test_end_of_a_step_is_divided),
  };
  g_log_set_writer_func (keep_line, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
