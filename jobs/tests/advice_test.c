#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Tasks of a queue with advice start only on workers that the service allows, and with a ticket. */
static void
test_advised_tasks_start_with_tickets (void **state)
{
  struct bench *bench = bench_new (4);
  bench_own (bench);
  bench->advised = TRUE;
  bench_make_job (3, 0);
  bench_submit (bench, JOB, &bench_spec);
  bench_run_for (bench, 40);
  assert_int_equal (bench_total (bench), 0);
  bench_run_for (bench, 300);
  assert_int_equal (bench_total (bench), 3);
  assert_int_equal (bench->workers[0].runs->len + bench->workers[2].runs->len, 0);
  assert_int_equal (bench->questions, 1);
  assert_int_equal (bench->no_ticket, 0);
  bench_free (bench);
}

/* A ticket that is about to expire is requested again. Denied workers are not queried again. */
static void
test_tickets_are_renewed (void **state)
{
  struct bench *bench = bench_new (2);
  bench_own (bench);
  bench->advised = TRUE;
  bench_make_job (1, 0);
  bench_steps[0].flags = IVJ_LASTS;
  bench_submit (bench, JOB, &bench_spec);
  for (guint i = 0; i < 3; i++)
    {
      bench_run_for (bench, 2000);
      assert_int_equal (bench_total (bench), 1);
      bench_end (bench, JOB, 0, 0, IV_END_FAILED);
    }
  assert_int_equal (bench->questions, 3);
  assert_int_equal (bench->no_ticket, 0);
  bench_free (bench);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_advised_tasks_start_with_tickets),
    cmocka_unit_test (test_tickets_are_renewed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
