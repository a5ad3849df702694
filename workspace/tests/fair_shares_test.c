#include "fair_shares.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#define JOBS 400
#define START_MS G_GINT64_CONSTANT (1700000000000)

static char ids[JOBS][17];

static void
test_dominant_share (void **state)
{
  const struct iv_resources capacity = { 100000, 1000, 0 };
  const struct iv_resources memory = { 1000, 500, 0 };
  const struct iv_resources accelerators = { 0, 0, 8 };
  assert_true (iv_dominant_share (&memory, &capacity) > 0.49);
  assert_true (iv_dominant_share (&memory, &capacity) < 0.51);
  /* Guards against a division by a resource that the cell does not have. */
  assert_true (iv_dominant_share (&accelerators, &capacity) < 0.01);
}

/* Adds jobs at an interval, in the order that @a step gives, and judges all of them. */
static guint
judge (guint step, double rate, gint64 interval_ms, gboolean beyond[JOBS])
{
  struct iv_arrivals *arrivals = iv_arrivals_new ();
  guint count = 0;
  for (guint i = 0; i < JOBS; i++)
    {
      guint job = i * step % JOBS;
      g_snprintf (ids[job], sizeof ids[job], "%016x", job * 7919 % JOBS);
      iv_arrivals_add (arrivals, START_MS + job * interval_ms, ids[job]);
    }
  for (guint i = 0; i < JOBS; i++)
    {
      beyond[i] = iv_arrivals_is_beyond (arrivals, rate, START_MS + i * interval_ms, ids[i]);
      count += beyond[i];
    }
  iv_arrivals_free (arrivals);
  return count;
}

/* Guards against owners that order the same jobs differently: one reads them as they are accepted,
   another from a stream that holds them in any order. */
static void
test_order_of_reading_does_not_matter (void **state)
{
  gboolean first[JOBS], second[JOBS];
  assert_int_equal (judge (1, 10, 20, first), judge (131, 10, 20, second));
  assert_memory_equal (first, second, sizeof first);
  assert_int_equal (judge (1, 10, 0, first), judge (131, 10, 0, second));
  assert_memory_equal (first, second, sizeof first);
}

/* Guards against a rate that refuses what a workspace is owed, or lets pass what it is not: jobs at
   half of it are all within, those at five times within for a fifth and one second's worth. */
static void
test_rate (void **state)
{
  gboolean beyond[JOBS];
  assert_int_equal (judge (1, 10, 200, beyond), 0);
  assert_in_range (JOBS - judge (1, 10, 20, beyond), JOBS / 5, JOBS / 5 + 11);
  /* All at one time. */
  assert_int_equal (JOBS - judge (1, 10, 0, beyond), 10);
  assert_int_equal (JOBS - judge (1, 0.25, 0, beyond), 1);
}

/* Guards against tokens that are saved up for longer than a second. */
static void
test_quiet_time_owes_one_second (void **state)
{
  struct iv_arrivals *arrivals = iv_arrivals_new ();
  guint within = 0;
  iv_arrivals_add (arrivals, START_MS, "first");
  for (guint i = 0; i < JOBS; i++)
    iv_arrivals_add (arrivals, START_MS + IV_ARRIVALS_WINDOW_MS / 2, ids[i]);
  for (guint i = 0; i < JOBS; i++)
    within += !iv_arrivals_is_beyond (arrivals, 10, START_MS + IV_ARRIVALS_WINDOW_MS / 2, ids[i]);
  assert_int_equal (within, 10);
  iv_arrivals_free (arrivals);
}

/* Guards against a judgement that an expired job still counts in. */
static void
test_removed_job_takes_no_token (void **state)
{
  struct iv_arrivals *arrivals = iv_arrivals_new ();
  iv_arrivals_add (arrivals, START_MS, "a");
  iv_arrivals_add (arrivals, START_MS, "b");
  assert_true (iv_arrivals_is_beyond (arrivals, 1, START_MS, "b"));
  iv_arrivals_remove (arrivals, START_MS, "c");
  iv_arrivals_remove (arrivals, START_MS, "a");
  assert_false (iv_arrivals_is_beyond (arrivals, 1, START_MS, "b"));
  iv_arrivals_remove (arrivals, START_MS, "b");
  assert_int_equal (iv_arrivals_count (arrivals), 0);
  iv_arrivals_free (arrivals);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_dominant_share),
    cmocka_unit_test (test_order_of_reading_does_not_matter),
    cmocka_unit_test (test_rate),
    cmocka_unit_test (test_quiet_time_owes_one_second),
    cmocka_unit_test (test_removed_job_takes_no_token),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
