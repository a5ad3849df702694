#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "share.h"

/* For any number of hosts and slots, the shares add up to the total and differ by at most one. */
static void
test_shares_add_up (void **state)
{
  char name[16];
  for (guint hosts = 1; hosts <= 20; hosts++)
    for (guint total = 0; total <= 70; total++)
      {
        guint sum = 0;
        snprintf (name, sizeof name, "i-%u-%u", hosts, total);
        for (guint rank = 0; rank < hosts; rank++)
          {
            guint share = iv_share (total, name, rank, hosts);
            assert_in_range (share, total / hosts, total / hosts + 1);
            sum += share;
          }
        assert_int_equal (sum, total);
      }
}

static void
test_remainder_is_spread_over_hosts (void **state)
{
  guint totals[7] = { 0 };
  char name[16];
  for (guint i = 0; i < 700; i++)
    {
      snprintf (name, sizeof name, "u-%u", i);
      for (guint rank = 0; rank < 7; rank++)
        totals[rank] += iv_share (8, name, rank, 7);
    }
  for (guint rank = 0; rank < 7; rank++)
    assert_in_range (totals[rank], 740, 860);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_shares_add_up),
                                      cmocka_unit_test (test_remainder_is_spread_over_hosts) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
