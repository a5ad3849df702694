#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "shares.h"

/* Assigns the tasks of an item to two domains with the given free CPU. Checks that the shares are
   contiguous; returns the number of tasks assigned, and the number for each domain in `counts`. */
static guint
assign_tasks (ivx_type type, guint tasks, gboolean gang, guint64 free_a_milli, guint64 free_b_milli,
              guint counts[2])
{
  struct iv_domain_capacity capacities[] = { { "a", free_a_milli }, { "b", free_b_milli } };
  ivx_item item
      = { .change = IVX_ADDED, .type = type, .tasks = tasks, .gang = gang, .size = { 100, 1, 0 } };
  guint next = 0;
  counts[0] = counts[1] = 0;
  assert_true (iv_shares_assign (&item, capacities, 2));
  for (u_int i = 0; i < item.shares.shares_len; i++)
    {
      const ivx_share *share = &item.shares.shares_val[i];
      assert_int_equal (share->first, next);
      next += share->count;
      counts[strcmp (share->domain, "b") == 0] = share->count;
    }
  for (u_int i = 0; i < item.shares.shares_len; i++)
    free (item.shares.shares_val[i].domain);
  free (item.shares.shares_val);
  return next;
}

static void
test_every_task_is_assigned (void **state)
{
  guint counts[2];
  assert_int_equal (assign_tasks (IVX_SERVICE, 7, FALSE, 1, 1000, counts), 7);
  assert_int_equal (counts[0], 4);
  assert_int_equal (assign_tasks (IVX_JOB, 5, FALSE, 1, 1000, counts), 5);
  assert_int_equal (counts[1], 5);
  assert_int_equal (assign_tasks (IVX_JOB, 100, FALSE, 1000, 3000, counts), 100);
  assert_int_equal (counts[0], 25);
  assert_int_equal (assign_tasks (IVX_JOB, 100, TRUE, 1000, 3000, counts), 100);
  assert_int_equal (counts[1], 100);
  assert_int_equal (assign_tasks (IVX_JOB, 9, FALSE, 0, 0, counts), 9);
}

static void
test_assignment_fails_without_domain (void **state)
{
  ivx_item item = { .type = IVX_JOB, .tasks = 1 };
  assert_false (iv_shares_assign (&item, NULL, 0));
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_every_task_is_assigned),
                                      cmocka_unit_test (test_assignment_fails_without_domain) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
