#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "slots.h"

static void
test_stale_handles (void **state)
{
  struct iv_slots *slots = iv_slots_new (sizeof (int), 2);
  guint32 a = iv_slots_take (slots), b = iv_slots_take (slots), again;
  assert_int_equal (iv_slots_take (slots), IV_HANDLE_NONE);
  *(int *)iv_slots_row (slots, a) = 7;
  iv_slots_give (slots, a);
  assert_null (iv_slots_row (slots, a));
  iv_slots_give (slots, a);
  assert_int_equal (iv_slots_count (slots), 1);
  again = iv_slots_take (slots);
  assert_int_not_equal (again, a);
  assert_int_equal (*(int *)iv_slots_row (slots, again), 0);
  assert_null (iv_slots_row (slots, a));
  assert_non_null (iv_slots_row (slots, b));
  assert_null (iv_slots_row (slots, IV_HANDLE_NONE));
  iv_slots_free (slots);
}

static void
test_iteration (void **state)
{
  struct iv_slots *slots = iv_slots_new (1, 100);
  guint32 handles[5];
  guint seen = 0;
  for (guint i = 0; i < 5; i++)
    handles[i] = iv_slots_take (slots);
  iv_slots_give (slots, handles[0]);
  iv_slots_give (slots, handles[3]);
  for (guint32 h = iv_slots_next (slots, IV_HANDLE_NONE); h; h = iv_slots_next (slots, h))
    seen++;
  assert_int_equal (seen, 3);
  iv_slots_free (slots);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_stale_handles), cmocka_unit_test (test_iteration) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
