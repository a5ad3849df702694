#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Guards against further starts of a task because an old run of it, which a late call of a previous
   owner began elsewhere, was stopped. */
static void
test_end_of_an_unwanted_run_frees_no_task (void **state)
{
  static const gint64 numbers[] = { 1, G_MAXINT32 };
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      struct sim *sim = sim_new (3);
      struct sim_run unwanted
          = { .name = { .job = JOB_ID }, .number = numbers[i], .cpu_limit_percent = 100 };
      sim->workers[1].capacity_milli = sim->workers[2].capacity_milli = 0;
      sim_start_owner (sim);
      sim_make_job (2, 0);
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 100);
      assert_int_equal (sim->workers[0].runs->len, 2);
      sim->workers[2].capacity_milli = 4000;
      sim->workers[1].lease_end_clock_ms = sim->workers[1].clock + 5000;
      g_array_append_val (sim->workers[1].runs, unwanted);
      sim_list_workers (sim);
      /* As if a call had failed: an idle worker would not be polled. */
      iv_fleet_find_by_id (iv_owner_fleet (sim->owner), "w1")->failures = 1;
      sim_advance (sim, 1000);
      assert_int_equal (sim->workers[1].runs->len, 0);
      assert_int_equal (sim->start_calls, 2);
      assert_int_equal (sim_max_concurrent_runs (sim), 1);
      sim_end_run (sim, JOB_ID, 0, 0, IV_END_FAILED);
      sim_advance (sim, 300);
      assert_int_equal (sim->start_calls, 3);
      sim_free (sim);
    }
}

static gboolean
runs_as (const struct sim_worker *worker, gint64 number)
{
  for (guint i = 0; i < worker->runs->len; i++)
    if (g_array_index (worker->runs, struct sim_run, i).number == number)
      return TRUE;
  return FALSE;
}

/* Guards against the start of a task that waits while an old run of it is being stopped. */
static void
test_task_waits_for_the_end_of_an_old_run (void **state)
{
  struct sim *sim = sim_new (2);
  struct sim_run old = { .name = { .job = JOB_ID }, .number = 1, .cpu_limit_percent = 100 };
  struct iv_listed_end end
      = { .sequence = 1, .name = old.name, .number = 2, .reason = IV_END_STOPPED };
  sim->workers[0].lease_end_clock_ms = sim->workers[0].clock + 5000;
  sim->workers[0].last_end = 1;
  sim->workers[0].stop_delay_ms = 100;
  g_array_append_val (sim->workers[0].ends, end);
  g_array_append_val (sim->workers[0].runs, old);
  sim_make_job (1, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_start_owner (sim);
  for (guint i = 0; i < 50; i++)
    {
      sim_advance (sim, 10);
      if (runs_as (&sim->workers[0], old.number))
        assert_int_equal (sim->start_calls, 0);
    }
  assert_int_equal (sim->start_calls, 1);
  assert_int_equal (sim_running_count (sim, JOB_ID, 0, 0), 1);
  sim_free (sim);
}

/* A cell whose worker 0 alone has capacity, after @a owned_ms; both workers are idle. */
static struct sim *
cell_with_idle_workers (gint64 owned_ms)
{
  struct sim *sim = sim_new (2);
  sim->late_calls_come_first = TRUE;
  sim->workers[0].clock = 0;
  sim->workers[1].capacity_milli = 0;
  sim_start_owner (sim);
  sim_advance (sim, owned_ms);
  sim_make_job (1, 0);
  return sim;
}

/* From now on worker 1 has capacity too. */
static void
give_capacity (struct sim *sim)
{
  sim->workers[1].capacity_milli = 4000;
  iv_fleet_find_by_id (iv_owner_fleet (sim->owner), "w1")->capacity.cpu_milli = 4000;
}

/* Guards against a second start of a task that a new instance of a worker runs already: an idle
   worker restarts unnoticed, is given a start, and then its restart is learnt, from the list after
   @a list_after_ms or from a poll. The worker may fall silent then, up to the longest lease. */
static void
test_start_on_a_new_instance_is_kept (void **state)
{
  static const struct
  {
    gint64 list_after_ms; /* from the start; 0: the start is in flight; -1: the worker tells */
    gboolean silent;
    gint64 owned_ms; /* by then; beyond the horizon or not */
  } cases[] = { { 0, FALSE, 100 },   { 10, FALSE, 100 },  { 20, FALSE, 100 },  { 100, FALSE, 100 },
                { -1, FALSE, 100 },  { -1, TRUE, 100 },   { -1, TRUE, 20000 }, { 0, TRUE, 100 },
                { 20, TRUE, 100 },   { 100, TRUE, 100 },  { 0, FALSE, 20000 }, { 0, TRUE, 20000 },
                { 20, TRUE, 20000 }, { 100, TRUE, 20000 } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct sim *sim = cell_with_idle_workers (cases[i].owned_ms);
      sim_restart_worker (sim, 0);
      sim->workers[0].next_entry_ms = 0;
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 10);
      assert_int_equal (sim->start_calls, 1);
      give_capacity (sim);
      assert_true (sim_advance_without_duplicates (sim, MAX (cases[i].list_after_ms, 0)));
      if (cases[i].list_after_ms >= 0)
        sim_list_workers (sim);
      if (cases[i].silent)
        sim_advance (sim, 20);
      sim->workers[0].unreachable = cases[i].silent;
      assert_true (sim_advance_without_duplicates (sim, 14000));
      assert_int_equal (sim_running_count (sim, JOB_ID, 0, 0), 1);
      sim_free (sim);
    }
}

/* Guards against a start without a reply that the next instance of the worker carries out, while
   the task runs elsewhere because the instance before was replaced, was proven not to run it, or
   was silent for too long. */
static void
test_late_start_on_a_new_instance_is_refused (void **state)
{
  static const struct
  {
    gint64 silent_from_ms, restart_ms, silent_until_ms; /* after the start */
    gint64 late_ms;
    gint64 owned_ms; /* by then; also the clock of the worker */
    gint64 stop_delay_ms;
  } cases[] = { { 10, 300, 300, 4000, 9000 },      { 10, 900, 900, 4000, 100 },
                { 10, 900, 900, 4000, 9000 },      { 10, 1200, 1300, 4000, 9000 },
                { 20000, 1700, 1700, 4000, 9000 }, { 10, 6900, 7000, 9000, 9000 },
                { 10, 900, 900, 3500, 9000, 3130 } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct sim *sim = cell_with_idle_workers (cases[i].owned_ms);
      sim->workers[0].late_starts_ms = cases[i].late_ms;
      sim->workers[0].stop_delay_ms = cases[i].stop_delay_ms;
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 10);
      assert_int_equal (sim->start_calls, 1);
      sim->workers[0].late_starts_ms = 0;
      give_capacity (sim);
      for (gint64 now = 0; now < 12000; now += 10)
        {
          sim->workers[0].unreachable
              = now >= cases[i].silent_from_ms && now < cases[i].silent_until_ms;
          if (now == cases[i].restart_ms)
            sim_restart_worker (sim, 0);
          if (now == cases[i].silent_until_ms || now == cases[i].restart_ms)
            sim_list_workers (sim);
          assert_true (sim_advance_without_duplicates (sim, 10));
          /* The task need not wait for the late start. */
          if (now == cases[i].silent_until_ms + 1500 && cases[i].stop_delay_ms == 0)
            assert_int_equal (sim_running_count (sim, JOB_ID, 0, 0), 1);
        }
      assert_int_equal (sim_running_count (sim, JOB_ID, 0, 0), 1);
      sim_free (sim);
    }
}

/* Guards against replies to calls for the instance before, which prove nothing about runs on the
   present one. */
static void
test_replies_of_the_old_instance_prove_nothing (void **state)
{
  struct sim *sim = cell_with_idle_workers (100);
  struct iv_task_name name = { .job = JOB_ID };
  const struct iv_fleet_worker *worker = iv_fleet_find_by_id (iv_owner_fleet (sim->owner), "w0");
  guint32 handle = worker->handle;
  struct iv_poll_reply reply
      = { .clock = 100,
          .runs = g_array_new (FALSE, FALSE, sizeof (struct iv_listed_run)),
          .ends = g_array_new (FALSE, FALSE, sizeof (struct iv_listed_end)) };
  gint64 number;
  sim->workers[0].late_starts_ms = 20000;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 10);
  sim->workers[0].unreachable = TRUE;
  number = ((struct iv_run *)g_ptr_array_index (worker->runs, 0))->number;
  sim_advance (sim, 900);
  sim_restart_worker (sim, 0);
  give_capacity (sim);
  sim_list_workers (sim);
  iv_owner_stop_replied (sim->owner, handle, &name, number, IV_COMMAND_OK, 1, sim->now_ms);
  reply.start_time_ms = sim->workers[0].start_time_ms;
  iv_owner_poll_replied (sim->owner, worker->handle, IV_COMMAND_OK, &reply, sim->now_ms);
  iv_owner_stop_replied (sim->owner, handle, &name, number, IV_COMMAND_OK, 101, sim->now_ms);
  reply.clock = 200;
  iv_owner_poll_replied (sim->owner, worker->handle, IV_COMMAND_OK, &reply, sim->now_ms);
  sim_advance (sim, 500);
  assert_int_equal (sim->start_calls, 1);
  g_array_free (reply.runs, TRUE);
  g_array_free (reply.ends, TRUE);
  sim_free (sim);
}

/* What the instance before had listed died with it: its tasks start again at once, also when the
   new instance has another address. */
static void
test_listed_runs_end_with_their_instance (void **state)
{
  static const char *const addresses[] = { SIM_ADDRESS, "127.0.0.1:3" };
  for (guint i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      struct sim *sim = cell_with_idle_workers (100);
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 600);
      sim_restart_worker (sim, 0);
      sim->workers[0].address = addresses[i];
      give_capacity (sim);
      sim_list_workers (sim);
      sim_advance (sim, 40);
      assert_int_equal (sim_running_count (sim, JOB_ID, 0, 0), 1);
      assert_int_equal (sim->start_calls, 2);
      sim_free (sim);
    }
}

/* The next owner, which the simulation does not have, runs the first task on worker 1; both workers
   have replied to it. */
static void
next_owner_settles (struct sim *sim)
{
  gint64 term = sim->term + IV_FENCES_PER_TERM;
  struct sim_run run = { .name = { .job = JOB_ID }, .number = (term << 20) + 1 };
  sim->workers[0].fence = sim->workers[1].fence = term;
  sim->workers[1].lease_end_clock_ms = sim->workers[1].clock + 8000;
  g_array_append_val (sim->workers[1].runs, run);
}

/* Guards against a start by an owner without the store on a worker that has restarted since: the
   next owner may have settled, and the new instance does not know its fence. In the first case the
   worker has runs and its restart is noticed, in the second it is idle, in the third the owner was
   suspended. Confirmed again, the owner uses it. */
static void
test_unconfirmed_owner_starts_nothing_on_new_instances (void **state)
{
  for (guint i = 0; i < 3; i++)
    {
      gboolean idle = i > 0;
      gboolean suspended = i == 2;
      struct sim *sim = cell_with_idle_workers (3000);
      guint started;
      sim->domain_a_out = idle;
      sim_make_job (idle ? 1 : 3, 0);
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 600);
      started = idle ? 0 : 2;
      assert_int_equal (sim->start_calls, started);
      sim->confirmed = FALSE;
      if (suspended)
        sim->now_ms += 5000;
      else
        sim_advance (sim, 1000);
      next_owner_settles (sim);
      /* A reply would tell the owner of the next one. */
      sim->workers[1].unreachable = TRUE;
      sim_restart_worker (sim, 0);
      if (!suspended)
        assert_true (sim_advance_without_duplicates (sim, 1500));
      sim->domain_a_out = FALSE;
      assert_true (sim_advance_without_duplicates (sim, 4000));
      assert_int_equal (sim->start_calls, started);
      assert_false (iv_owner_is_deposed (sim->owner));
      g_array_set_size (sim->workers[1].runs, 0);
      sim->confirmed = TRUE;
      sim_advance (sim, 1000);
      assert_int_equal (sim->workers[0].runs->len, idle ? 1 : 2);
      sim_free (sim);
    }
}

/* Guards against starts while the next owner has settled: an owner without the store asks idle
   workers too, and so learns of that owner. */
static void
test_unconfirmed_owner_learns_of_the_next (void **state)
{
  struct sim *sim = cell_with_idle_workers (3000);
  sim->confirmed = FALSE;
  next_owner_settles (sim);
  sim_advance (sim, 1000);
  assert_true (iv_owner_is_deposed (sim->owner));
  sim_free (sim);
}

/* An owner without the store goes on to start tasks on the instances that it knew before. */
static void
test_unconfirmed_owner_starts_on_known_instances (void **state)
{
  struct sim *sim = cell_with_idle_workers (3000);
  sim->confirmed = FALSE;
  sim_advance (sim, 3000);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 600);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* An entry of another writer under the id of a worker. */
struct odd_entry
{
  const char *name;
  gint64 later_ms;   /* its start, after the worker's */
  gint64 clock_ms;   /* 0: none; else after the worker's */
  gboolean misleads; /* it names another address... */
  gboolean answered; /* ...where another worker answers */
};

static const struct odd_entry odd_entries[]
    = { { "start 1 ms later", 1 },
        { "start 1 ms later, with a clock", 1, 10 },
        { "start a minute later", 60000, 10 },
        { "start in a year", G_GINT64_CONSTANT (31536000000) },
        { "clock far ahead", 0, G_GINT64_CONSTANT (200000000000000) },
        { "start and clock far ahead", G_GINT64_CONSTANT (31536000000),
          G_GINT64_CONSTANT (200000000000000) },
        { "other address", 0, 10, TRUE },
        { "other address of another worker", 0, 10, TRUE, TRUE },
        { "other address, later start", 1, 10, TRUE },
        { "other address of another worker, later start", 1, 10, TRUE, TRUE } };

static void
list_odd_entry (struct sim *sim, guint worker, const struct odd_entry *entry)
{
  sim->workers[worker].other_elsewhere = entry->answered;
  sim_list_odd_entry (sim, worker, sim->workers[worker].start_time_ms + entry->later_ms,
                      entry->clock_ms > 0 ? sim->workers[worker].clock + entry->clock_ms : 0,
                      entry->misleads ? "127.0.0.1:2" : SIM_ADDRESS);
}

/* The worker writes its entry each second. FALSE once a task has two runs. */
static gboolean
heartbeats_without_duplicates (struct sim *sim, guint worker, guint seconds)
{
  for (guint i = 0; i < seconds; i++)
    {
      if (!sim_advance_without_duplicates (sim, 1000))
        return FALSE;
      sim_list_worker (sim, worker);
    }
  return TRUE;
}

/* Guards against the end of a run by an entry that another writer left under the id of its worker:
   the task started elsewhere while it ran on, and the worker was lost. */
static void
test_odd_entry_ends_no_run (void **state)
{
  guint failures = 0;
  for (guint i = 0; i < G_N_ELEMENTS (odd_entries); i++)
    {
      struct sim *sim = cell_with_idle_workers (100);
      const struct iv_fleet_worker *worker;
      gboolean single;
      gboolean usable;
      sim_steps[0].flags = IVJ_LONG_RUNNING;
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 600);
      assert_int_equal (sim->workers[0].runs->len, 1);
      give_capacity (sim);
      list_odd_entry (sim, 0, &odd_entries[i]);
      single = heartbeats_without_duplicates (sim, 0, 30);
      worker = iv_fleet_find_by_id (iv_owner_fleet (sim->owner), "w0");
      usable = worker->fenced && worker->failures == 0 && strcmp (worker->address, SIM_ADDRESS) == 0
               && worker->start_time_ms == sim->workers[0].start_time_ms
               && worker->entry_clock_ms <= sim->workers[0].clock && worker->claim == NULL;
      if (!single || !usable || sim->start_calls > 1 || sim_running_count (sim, JOB_ID, 0, 0) != 1)
        {
          print_error ("%s: single=%d usable=%d starts=%u running=%u\n", odd_entries[i].name,
                       single, usable, sim->start_calls, sim_running_count (sim, JOB_ID, 0, 0));
          failures++;
        }
      sim_free (sim);
    }
  assert_int_equal (failures, 0);
}

/* Guards against the loss of an idle worker by such an entry, which was read before the worker had
   answered, or after it. */
static void
test_odd_entry_loses_no_idle_worker (void **state)
{
  guint failures = 0;
  for (guint i = 0; i < 2 * G_N_ELEMENTS (odd_entries); i++)
    {
      const struct odd_entry *entry = &odd_entries[i / 2];
      gboolean first = i % 2 == 0;
      struct sim *sim = sim_new (1);
      sim->workers[0].unreachable = first;
      sim_start_owner (sim);
      sim_advance (sim, 3000);
      list_odd_entry (sim, 0, entry);
      sim_advance (sim, 3000);
      sim->workers[0].unreachable = FALSE;
      heartbeats_without_duplicates (sim, 0, 15);
      sim->workers[0].capacity_milli = 2000;
      heartbeats_without_duplicates (sim, 0, 5);
      sim_make_job (2, 0);
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 2000);
      if (sim_total_runs (sim) != 1 || sim->over_capacity > 0)
        {
          print_error ("%s%s: runs=%u over_capacity=%u\n", entry->name,
                       first ? ", before it answered" : "", sim_total_runs (sim),
                       sim->over_capacity);
          failures++;
        }
      sim_free (sim);
    }
  assert_int_equal (failures, 0);
}

/* Guards against the loss of an idle worker that writes no entry after such a one: its own answers
   count. */
static void
test_own_answer_refutes_an_entry (void **state)
{
  for (guint i = 0; i < 2; i++)
    {
      struct sim *sim = sim_new (1);
      const struct iv_fleet_worker *worker;
      sim->workers[0].unreachable = i > 0;
      sim_start_owner (sim);
      sim_advance (sim, 3000);
      sim_list_odd_entry (sim, 0, 60000, 0, SIM_ADDRESS);
      sim->workers[0].unreachable = FALSE;
      sim_advance (sim, 3000);
      worker = iv_fleet_find_by_id (iv_owner_fleet (sim->owner), "w0");
      assert_true (worker->fenced);
      assert_int_equal (worker->start_time_ms, sim->workers[0].start_time_ms);
      sim_free (sim);
    }
}

/* Guards against a second run while the first, which reached a new instance unnoticed, has a lease
   as long as any: the worker falls silent when its entry tells of the restart. */
static void
test_claimed_restart_counts_the_longest_lease (void **state)
{
  struct sim *sim = cell_with_idle_workers (20000);
  sim_restart_worker (sim, 0);
  sim->workers[0].next_entry_ms = 0;
  sim->workers[0].drops_replies = TRUE;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 20);
  assert_int_equal (sim->workers[0].runs->len, 1);
  give_capacity (sim);
  sim_list_workers (sim);
  sim->workers[0].unreachable = TRUE;
  assert_true (sim_advance_without_duplicates (sim, 14000));
  assert_int_equal (sim_running_count (sim, JOB_ID, 0, 0), 1);
  sim_free (sim);
}

static void
advance_until_run (struct sim *sim, guint worker)
{
  for (guint i = 0; i < 500 && sim->workers[worker].runs->len == 0; i++)
    sim_advance (sim, 10);
  assert_int_equal (sim->workers[worker].runs->len, 1);
}

/* Guards against a second run of a task while the first one goes on: a late poll that was meant for
   the instance before gave its worker the longest lease, of which the owner did not know. */
static void
test_late_poll_does_not_lengthen_the_lease_of_the_next_instance (void **state)
{
  for (gint64 late_ms = 3000; late_ms <= 9000; late_ms += 1000)
    {
      struct sim *sim = cell_with_idle_workers (60000);
      sim->late_calls_come_first = FALSE;
      sim_submit (sim, JOB_ID, &sim_spec);
      advance_until_run (sim, 0);
      sim->workers[0].late_polls_ms = late_ms;
      sim_advance (sim, 1000);
      sim->workers[0].late_polls_ms = 0;
      sim_restart_worker (sim, 0);
      sim_list_worker (sim, 0);
      advance_until_run (sim, 0);
      give_capacity (sim);
      /* Cut off from when the longest lease that the owner knows of has ended. */
      sim_advance (sim, 11000);
      assert_int_equal (sim->workers[0].runs->len, 1);
      sim->workers[0].unreachable = TRUE;
      assert_true (sim_advance_without_duplicates (sim, 12000));
      sim_free (sim);
    }
}

/* The same where the owner learns of the new instance by its reply to a call that was meant for the
   one before, and has nothing to start there yet. */
static void
test_new_instance_gets_its_fence_at_once (void **state)
{
  struct sim *sim = cell_with_idle_workers (60000);
  sim->late_calls_come_first = FALSE;
  sim_submit (sim, JOB_ID, &sim_spec);
  advance_until_run (sim, 0);
  sim->workers[0].late_polls_ms = 6000;
  sim_advance (sim, 1000);
  sim->workers[0].late_polls_ms = 0;
  sim->evidence_age_ms = EVIDENCE_MAX_AGE_MS;
  sim_restart_worker (sim, 0);
  sim->workers[0].next_entry_ms = 0;
  sim_advance (sim, 6500);
  sim_list_worker (sim, 0);
  sim->evidence_age_ms = 0;
  advance_until_run (sim, 0);
  sim->workers[0].unreachable = TRUE;
  give_capacity (sim);
  assert_true (sim_advance_without_duplicates (sim, 14000));
  sim_free (sim);
}

/* Guards against a task that runs again after its end: a late poll that was meant for the instance
   before made the next one forget it before any reply had listed it. */
static void
test_late_poll_takes_no_ends_of_the_next_instance (void **state)
{
  struct sim *sim = cell_with_idle_workers (60000);
  guint started;
  sim->late_calls_come_first = FALSE;
  for (guint i = 0; i < 20; i++)
    {
      char id[IV_JOB_ID_LEN + 1];
      g_snprintf (id, sizeof id, "%016x", 0x200 + i);
      sim_submit (sim, id, &sim_spec);
      sim_advance (sim, 200);
      sim_end_all_runs (sim, IV_END_DONE);
      sim_advance (sim, 800);
    }
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  advance_until_run (sim, 0);
  sim->workers[0].late_polls_ms = 3000;
  sim_advance (sim, 600);
  sim->workers[0].late_polls_ms = 0;
  sim_restart_worker (sim, 0);
  sim_list_worker (sim, 0);
  advance_until_run (sim, 0);
  started = sim->start_calls;
  /* Ends and late polls alternate, so that some end has not been listed when one comes. */
  for (guint i = 0; i < 300; i++)
    {
      sim->workers[0].drops_replies = TRUE;
      if (i == 100)
        sim_end_all_runs (sim, IV_END_DONE);
      sim_advance (sim, 10);
    }
  sim->workers[0].drops_replies = FALSE;
  sim_advance (sim, 6000);
  assert_int_equal (sim_job_state (sim, OTHER_JOB_ID), IVJ_COMPLETED);
  assert_int_equal (sim->start_calls, started);
  sim_free (sim);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_end_of_an_unwanted_run_frees_no_task),
    cmocka_unit_test (test_task_waits_for_the_end_of_an_old_run),
    cmocka_unit_test (test_start_on_a_new_instance_is_kept),
    cmocka_unit_test (test_late_start_on_a_new_instance_is_refused),
    cmocka_unit_test (test_replies_of_the_old_instance_prove_nothing),
    cmocka_unit_test (test_listed_runs_end_with_their_instance),
    cmocka_unit_test (test_unconfirmed_owner_starts_nothing_on_new_instances),
    cmocka_unit_test (test_unconfirmed_owner_learns_of_the_next),
    cmocka_unit_test (test_unconfirmed_owner_starts_on_known_instances),
    cmocka_unit_test (test_odd_entry_ends_no_run),
    cmocka_unit_test (test_odd_entry_loses_no_idle_worker),
    cmocka_unit_test (test_own_answer_refutes_an_entry),
    cmocka_unit_test (test_claimed_restart_counts_the_longest_lease),
    cmocka_unit_test (test_late_poll_does_not_lengthen_the_lease_of_the_next_instance),
    cmocka_unit_test (test_new_instance_gets_its_fence_at_once),
    cmocka_unit_test (test_late_poll_takes_no_ends_of_the_next_instance),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
