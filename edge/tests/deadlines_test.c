#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "deadlines.h"

struct probe
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
  struct probe *probe = context;
  g_string_append_c (probe->fired, probe->name);
  if (probe->unset)
    iv_deadline_unset (probe->deadlines, probe->unset);
}

static void
on_alive (uv_timer_t *timer)
{
}

static void
test_order_and_unset (void **state)
{
  uv_loop_t loop;
  uv_timer_t alive; /* the deadlines alone do not keep a loop running */
  GString *fired = g_string_new (NULL);
  struct probe probes[4] = { 0 };
  static const gint64 after_ms[] = { 30, 10, 10, 20 };
  struct iv_deadlines *deadlines;
  gint64 start;
  uv_loop_init (&loop);
  deadlines = iv_deadlines_new (&loop);
  uv_timer_init (&loop, &alive);
  uv_timer_start (&alive, on_alive, 1, 1);
  start = (gint64)uv_now (&loop);
  for (guint i = 0; i < 4; i++)
    {
      probes[i] = (struct probe){ .deadlines = deadlines, .fired = fired, .name = (char)('a' + i) };
      probes[i].deadline.fire = fire;
      probes[i].deadline.context = &probes[i];
      iv_deadline_set (deadlines, &probes[i].deadline, start + after_ms[i]);
    }
  probes[2].unset = &probes[3].deadline;
  iv_deadline_set (deadlines, &probes[0].deadline, start + 40);
  while (probes[0].deadline.set)
    uv_run (&loop, UV_RUN_ONCE);
  assert_string_equal (fired->str, "bca");
  iv_deadlines_free (deadlines);
  uv_close ((uv_handle_t *)&alive, NULL);
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
