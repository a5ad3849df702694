#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "budget.h"

static void
test_ten_percent_of_requests (void **state)
{
  struct iv_budget budget;
  guint retries = 0;
  iv_budget_init (&budget, 10);
  while (iv_budget_withdraw (&budget))
    ;
  for (guint i = 0; i < 1000; i++)
    {
      iv_budget_deposit (&budget);
      retries += iv_budget_withdraw (&budget);
    }
  assert_int_equal (retries, 100);
}

static void
test_zero_percent_allows_none (void **state)
{
  struct iv_budget budget;
  iv_budget_init (&budget, 0);
  iv_budget_deposit (&budget);
  assert_false (iv_budget_withdraw (&budget));
}

static void
test_credit_is_bounded (void **state)
{
  struct iv_budget budget;
  guint retries = 0;
  iv_budget_init (&budget, 100);
  for (guint i = 0; i < 100000; i++)
    iv_budget_deposit (&budget);
  while (iv_budget_withdraw (&budget))
    retries++;
  assert_int_equal (retries, 100);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_ten_percent_of_requests),
                                      cmocka_unit_test (test_zero_percent_allows_none),
                                      cmocka_unit_test (test_credit_is_bounded) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
