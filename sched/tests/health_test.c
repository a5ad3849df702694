#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "health.h"

static void
test_bad_worker (void **state)
{
  struct iv_health *health = iv_health_new ();
  assert_int_equal (iv_health_failed (health, 1, 10, 0), IV_VERDICT_RETRY);
  assert_int_equal (iv_health_failed (health, 1, 10, 0), IV_VERDICT_RETRY);
  assert_int_equal (iv_health_failed (health, 1, 11, 0), IV_VERDICT_RETRY);
  assert_int_equal (iv_health_failed (health, 1, 12, 0), IV_VERDICT_BAD_WORKER);
  assert_false (iv_health_usable (health, 1, 1));
  assert_true (iv_health_usable (health, 1, 10000));
  /* It failed again when it was tried: the next time aside is longer. */
  assert_int_equal (iv_health_failed (health, 1, 13, 10000), IV_VERDICT_BAD_WORKER);
  assert_false (iv_health_usable (health, 1, 29999));
  assert_true (iv_health_usable (health, 1, 30000));
  iv_health_succeeded (health, 1, 13);
  assert_int_equal (iv_health_failed (health, 1, 14, 40000), IV_VERDICT_RETRY);
  iv_health_free (health);
}

static void
test_bad_job (void **state)
{
  struct iv_health *health = iv_health_new ();
  assert_int_equal (iv_health_failed (health, 1, 10, 0), IV_VERDICT_RETRY);
  iv_health_succeeded (health, 1, 20);
  assert_int_equal (iv_health_failed (health, 2, 10, 0), IV_VERDICT_RETRY);
  assert_int_equal (iv_health_failed (health, 3, 10, 0), IV_VERDICT_BAD_JOB);
  iv_health_free (health);
}

static void
test_blame_is_taken_back (void **state)
{
  struct iv_health *health = iv_health_new ();
  iv_health_failed (health, 1, 10, 0);
  iv_health_failed (health, 2, 10, 0);
  iv_health_failed (health, 1, 11, 0);
  iv_health_failed (health, 1, 12, 0);
  assert_int_equal (iv_health_failed (health, 3, 10, 0), IV_VERDICT_RETRY);
  iv_health_forget_worker (health, 1);
  assert_true (iv_health_usable (health, 1, 0));
  iv_health_free (health);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_bad_worker), cmocka_unit_test (test_bad_job),
          cmocka_unit_test (test_blame_is_taken_back) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
