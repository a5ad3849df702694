#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "deadlines.h"

struct test_deadline
{
  struct iv_deadlines *deadlines;
  struct iv_deadline deadline;
  GString *fired;
  char name;
  struct iv_deadline *unset;
};

static void
fire (void *context)
{
  struct test_deadline *test_deadline = context;
  g_string_append_c (test_deadline->fired, test_deadline->name);
  if (test_deadline->unset)
    iv_deadline_unset (test_deadline->deadlines, test_deadline->unset);
}

static void
on_keep_alive (uv_timer_t *timer)
{
}

static void
test_order_and_unset (void **state)
{
  uv_loop_t loop;
  uv_timer_t keep_alive; /* deadlines alone do not keep a loop running */
  GString *fired = g_string_new (NULL);
  struct test_deadline test_deadlines[4] = { 0 };
  static const gint64 after_ms[] = { 30, 10, 10, 20 };
  struct iv_deadlines *deadlines;
  gint64 start;
  uv_loop_init (&loop);
  deadlines = iv_deadlines_new (&loop);
  uv_timer_init (&loop, &keep_alive);
  uv_timer_start (&keep_alive, on_keep_alive, 1, 1);
  start = (gint64)uv_now (&loop);
  for (guint i = 0; i < 4; i++)
    {
      test_deadlines[i] = (struct test_deadline){ .deadlines = deadlines,
                                                  .fired = fired,
                                                  .name = (char)('a' + i) };
      test_deadlines[i].deadline.fire = fire;
      test_deadlines[i].deadline.context = &test_deadlines[i];
      iv_deadline_set (deadlines, &test_deadlines[i].deadline, start + after_ms[i]);
    }
  test_deadlines[2].unset = &test_deadlines[3].deadline;
  iv_deadline_set (deadlines, &test_deadlines[0].deadline, start + 40);
  while (test_deadlines[0].deadline.set)
    uv_run (&loop, UV_RUN_ONCE);
  assert_string_equal (fired->str, "bca");
  iv_deadlines_free (deadlines);
  uv_close ((uv_handle_t *)&keep_alive, NULL);
  uv_run (&loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&loop), 0);
  g_string_free (fired, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_order_and_unset) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
