#include "response_time.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define MIN_MS 300
#define MAX_MS 2000

static gint64
limit_ms (const struct iv_response_time *time)
{
  return iv_response_time_limit_ms (time, MIN_MS, MAX_MS);
}

/* Sound link: guards against a dead peer that is found later than before. */
static void
test_limit_is_the_least_while_responses_are_prompt (void **state)
{
  struct iv_response_time time = { 0 };
  assert_int_equal (limit_ms (&time), MIN_MS);
  for (guint i = 0; i < 100; i++)
    iv_response_time_add (&time, 11 + i % 3);
  assert_int_equal (limit_ms (&time), MIN_MS);
}

/* Thin link: guards against calls that are given up, and made again, just before each response. */
static void
test_limit_exceeds_steady_responses (void **state)
{
  struct iv_response_time time = { 0 };
  for (guint i = 0; i < 50; i++)
    {
      iv_response_time_add (&time, i % 2 ? 700 : 900);
      assert_true (limit_ms (&time) > 900);
    }
  for (guint i = 0; i < 200; i++)
    iv_response_time_add (&time, 12);
  assert_int_equal (limit_ms (&time), MIN_MS);
}

static void
test_lapses_double_the_limit_until_a_response (void **state)
{
  struct iv_response_time time = { 0 };
  iv_response_time_lapse (&time);
  assert_int_equal (limit_ms (&time), 2 * MIN_MS);
  iv_response_time_lapse (&time);
  assert_int_equal (limit_ms (&time), 4 * MIN_MS);
  for (guint i = 0; i < 100; i++)
    iv_response_time_lapse (&time);
  assert_int_equal (limit_ms (&time), MAX_MS);
  iv_response_time_add (&time, 20);
  assert_int_equal (limit_ms (&time), MIN_MS);
}

/* Store away: guards against a host that notices seconds late that the store is back, and against
   one that never waits long enough for a store that has become slow. */
static void
test_probes_are_short_and_long_in_turn (void **state)
{
  static const gint64 expected[] = { 300, 600, 1200, 1500, 300, 600, 1200, 1500, 300 };
  struct iv_response_time time = { 0 };
  iv_response_time_add (&time, 5);
  for (guint i = 0; i < G_N_ELEMENTS (expected); i++)
    {
      assert_int_equal (iv_response_time_probe_ms (&time, MIN_MS, 1500), expected[i]);
      iv_response_time_lapse (&time);
    }
  for (guint i = 0; i < 50; i++)
    iv_response_time_add (&time, 3000);
  assert_int_equal (iv_response_time_probe_ms (&time, MIN_MS, 1500), 1500);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limit_is_the_least_while_responses_are_prompt),
    cmocka_unit_test (test_limit_exceeds_steady_responses),
    cmocka_unit_test (test_probes_are_short_and_long_in_turn),
    cmocka_unit_test (test_lapses_double_the_limit_until_a_response),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
