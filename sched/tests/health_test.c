#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "health.h"

static void
test_bad_worker (void **state)
{
  struct iv_health *health = iv_health_new ();
  assert_int_equal (iv_health_record_failure (health, 1, 10, 0), IV_FAILURE_UNDETERMINED);
  assert_int_equal (iv_health_record_failure (health, 1, 10, 0), IV_FAILURE_UNDETERMINED);
  assert_int_equal (iv_health_record_failure (health, 1, 11, 0), IV_FAILURE_UNDETERMINED);
  assert_int_equal (iv_health_record_failure (health, 1, 12, 0), IV_FAILURE_WORKER);
  assert_false (iv_health_usable (health, 1, 1));
  assert_true (iv_health_usable (health, 1, 10000));
  /* A failure right after the quarantine doubles the next one. */
  assert_int_equal (iv_health_record_failure (health, 1, 13, 10000), IV_FAILURE_WORKER);
  assert_false (iv_health_usable (health, 1, 29999));
  assert_true (iv_health_usable (health, 1, 30000));
  iv_health_record_success (health, 1, 13);
  assert_int_equal (iv_health_record_failure (health, 1, 14, 40000), IV_FAILURE_UNDETERMINED);
  iv_health_free (health);
}

static void
test_bad_job (void **state)
{
  struct iv_health *health = iv_health_new ();
  assert_int_equal (iv_health_record_failure (health, 1, 10, 0), IV_FAILURE_UNDETERMINED);
  iv_health_record_success (health, 1, 20);
  assert_int_equal (iv_health_record_failure (health, 2, 10, 0), IV_FAILURE_UNDETERMINED);
  assert_int_equal (iv_health_record_failure (health, 3, 10, 0), IV_FAILURE_JOB);
  iv_health_free (health);
}

static void
test_quarantine_discards_failures (void **state)
{
  struct iv_health *health = iv_health_new ();
  iv_health_record_failure (health, 1, 10, 0);
  iv_health_record_failure (health, 2, 10, 0);
  iv_health_record_failure (health, 1, 11, 0);
  iv_health_record_failure (health, 1, 12, 0);
  assert_int_equal (iv_health_record_failure (health, 3, 10, 0), IV_FAILURE_UNDETERMINED);
  iv_health_remove_worker (health, 1);
  assert_true (iv_health_usable (health, 1, 0));
  iv_health_free (health);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_bad_worker), cmocka_unit_test (test_bad_job),
          cmocka_unit_test (test_quarantine_discards_failures) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
