#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "task_lengths.h"

#define KEY 7
#define MEDIAN IV_TASK_LENGTHS_MEDIAN

static void
add_many (struct iv_task_lengths *lengths, guint count, gint64 duration_ms, gint64 now_ms)
{
  for (guint i = 0; i < count; i++)
    iv_task_lengths_add (lengths, KEY, duration_ms, now_ms);
}

static void
assert_near (gint64 value, gint64 wanted)
{
  assert_in_range (value, wanted * 85 / 100, wanted * 115 / 100);
}

/* Guards against an estimate that one odd run overrides, and one that is off by nine tenths and is
   believed for good. */
static void
test_estimate_counts_while_there_are_few_samples (void **state)
{
  struct iv_task_lengths *lengths = iv_task_lengths_new ();
  assert_int_equal (iv_task_lengths_quantile_ms (lengths, KEY, 1000, MEDIAN), 1000);
  add_many (lengths, 1, 10000, 0);
  assert_near (iv_task_lengths_quantile_ms (lengths, KEY, 1000, MEDIAN), 1000);
  add_many (lengths, 19, 10000, 0);
  assert_near (iv_task_lengths_quantile_ms (lengths, KEY, 1000, MEDIAN), 10000);
  iv_task_lengths_free (lengths);
}

/* Guards against a median that the few tasks which take seven times as long pull up, and against a
   rest of such a task that is still taken for short. */
static void
test_tail_of_seven_times (void **state)
{
  struct iv_task_lengths *lengths = iv_task_lengths_new ();
  for (guint i = 0; i < 10; i++)
    {
      add_many (lengths, 9, 1000, 0);
      add_many (lengths, i % 3 == 0, 7000, 0);
    }
  assert_near (iv_task_lengths_quantile_ms (lengths, KEY, 1000, MEDIAN), 1000);
  assert_near (iv_task_lengths_quantile_ms (lengths, KEY, 1000, 0.99), 7000);
  assert_near (iv_task_lengths_rest_ms (lengths, KEY, 1000, 300, MEDIAN), 700);
  assert_near (iv_task_lengths_rest_ms (lengths, KEY, 1000, 1500, MEDIAN), 5500);
  iv_task_lengths_free (lengths);
}

/* Guards against a place that is held to be free at once since a run there is older than any. */
static void
test_older_than_all_known (void **state)
{
  struct iv_task_lengths *lengths = iv_task_lengths_new ();
  assert_int_equal (iv_task_lengths_rest_ms (lengths, KEY, 1000, 400, MEDIAN), 600);
  assert_int_equal (iv_task_lengths_rest_ms (lengths, KEY, 1000, 4000, MEDIAN), 4000);
  add_many (lengths, 50, 1000, 0);
  assert_int_equal (iv_task_lengths_rest_ms (lengths, KEY, 1000, 4000, MEDIAN), 4000);
  iv_task_lengths_free (lengths);
}

/* Guards against durations that stay after the tasks have changed: at once, or over hours. */
static void
test_old_samples_fade (void **state)
{
  struct iv_task_lengths *lengths = iv_task_lengths_new ();
  add_many (lengths, 2000, 1000, 0);
  add_many (lengths, 250, 4000, 0);
  assert_near (iv_task_lengths_quantile_ms (lengths, KEY, 1000, MEDIAN), 4000);
  add_many (lengths, 20, 500, 2 * 3600000);
  assert_near (iv_task_lengths_quantile_ms (lengths, KEY, 1000, MEDIAN), 500);
  iv_task_lengths_free (lengths);
}

/* Guards against memory that grows with every image ever seen, and the loss of one in use. */
static void
test_number_of_kinds_is_bounded (void **state)
{
  struct iv_task_lengths *lengths = iv_task_lengths_new ();
  for (guint64 i = 0; i < 3 * IV_TASK_LENGTHS_KEYS_MAX; i++)
    {
      iv_task_lengths_add (lengths, KEY, 3000, (gint64)i);
      iv_task_lengths_add (lengths, 1000 + i, 1000, (gint64)i);
    }
  assert_int_equal (iv_task_lengths_keys (lengths), IV_TASK_LENGTHS_KEYS_MAX);
  assert_near (iv_task_lengths_quantile_ms (lengths, KEY, 1000, MEDIAN), 3000);
  iv_task_lengths_free (lengths);
}

/* Guards against one kind for tasks of different queues or sizes, and many for one image. */
static void
test_kinds (void **state)
{
  guint64 plain = iv_task_lengths_key ("", "host", "/queue", 9, 2000);
  assert_true (plain == iv_task_lengths_key ("", "host", "/queue", 10, 2040));
  assert_true (plain != iv_task_lengths_key ("", "host", "/queue", 100, 2000));
  assert_true (plain != iv_task_lengths_key ("", "host", "/queue", 9, 8000));
  assert_true (plain != iv_task_lengths_key ("", "host", "/other", 9, 2000));
  assert_true (plain != iv_task_lengths_key ("", "other", "/queue", 9, 2000));
  assert_true (iv_task_lengths_key ("image", "host", "/queue", 9, 2000)
               == iv_task_lengths_key ("image", "other", "/other", 100, 8000));
  assert_true (iv_task_lengths_key ("image", "", "", 9, 2000)
               != iv_task_lengths_key ("image2", "", "", 9, 2000));
}

/* Guards against values out of range for durations at the ends of the scale. */
static void
test_extreme_durations (void **state)
{
  struct iv_task_lengths *lengths = iv_task_lengths_new ();
  add_many (lengths, 50, 0, 0);
  assert_in_range (iv_task_lengths_quantile_ms (lengths, KEY, 0, MEDIAN), 0, 12);
  add_many (lengths, 400, G_MAXINT64 / 4, 0);
  assert_true (iv_task_lengths_quantile_ms (lengths, KEY, G_MAXINT, MEDIAN) > 3600000);
  assert_true (iv_task_lengths_rest_ms (lengths, KEY, 0, G_MAXINT64 / 4, MEDIAN) > 0);
  iv_task_lengths_free (lengths);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_estimate_counts_while_there_are_few_samples),
    cmocka_unit_test (test_tail_of_seven_times),
    cmocka_unit_test (test_older_than_all_known),
    cmocka_unit_test (test_old_samples_fade),
    cmocka_unit_test (test_number_of_kinds_is_bounded),
    cmocka_unit_test (test_kinds),
    cmocka_unit_test (test_extreme_durations),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
