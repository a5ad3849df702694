#include "delegations.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define JOB_ID "00000000000000aa"

static void
test_records_of_a_loan (void **state)
{
  struct iv_delegation sent = { .step = 1, .index = 12, .generation = 3, .cell = 2, .crashes = 1 };
  struct iv_task_name name = { .step = 1, .index = 12 };
  char *key = iv_delegation_format_key (JOB_ID, &sent);
  char *value = iv_delegation_format_value (&sent);
  GArray *delegations = NULL;
  assert_string_equal (key, JOB_ID IV_KEY_DELEGATION "0.1.12");
  assert_string_equal (value, "3 2 1");
  assert_int_equal (iv_delegations_cell (delegations, &name), -1);
  assert_int_equal (iv_delegations_apply (&delegations, "0.1.12", value), IV_OK);
  assert_int_equal (iv_delegations_cell (delegations, &name), 2);
  assert_true (iv_delegations_any (delegations, 2));
  assert_false (iv_delegations_any (delegations, 1));
  name.index = 13;
  assert_int_equal (iv_delegations_cell (delegations, &name), -1);
  g_array_unref (delegations);
  g_free (value);
  g_free (key);
}

/* A stream that is read again from an earlier position must not give a task back to a cell that has
   returned it. */
static void
test_earlier_records_change_nothing (void **state)
{
  struct iv_task_name name = { 0 };
  GArray *delegations = NULL;
  assert_int_equal (iv_delegations_apply (&delegations, "0.0.0", "2 -1 0"), IV_OK);
  assert_int_equal (iv_delegations_apply (&delegations, "0.0.0", "1 4 0"), IV_OK);
  assert_int_equal (iv_delegations_cell (delegations, &name), -1);
  assert_int_equal (iv_delegations_apply (&delegations, "0.0.0", "3 4 0"), IV_OK);
  assert_int_equal (iv_delegations_cell (delegations, &name), 4);
  assert_int_equal (iv_delegations_find (delegations, &name)->generation, 3);
  assert_int_equal (delegations->len, 1);
  g_array_unref (delegations);
}

static void
test_malformed_records_are_refused (void **state)
{
  static const struct
  {
    const char *task;
    const char *value;
  } rows[] = { { "", "1 1 0" },       { "0.0", "1 1 0" },     { "0.0.0.0", "1 1 0" },
               { "0.0.x", "1 1 0" },  { "0.0.-1", "1 1 0" },  { "0.0.99999999999", "1 1 0" },
               { "0.0.0", "" },       { "0.0.0", "1 24 0" },  { "0.0.0", "1 1 -1" },
               { "0.0.0", "1 1" },    { "0.0.0", "1" },       { "0.0.0", "0 1 0" },
               { "0.0.0", "1 -2 0" }, { "0.0.0", "1 1 0 0" }, { "0.0.0", "x 1 0" },
               { "0.0.0", "1,1,0" },  { "0.0.0 ", "1 1 0" } };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GArray *delegations = NULL;
      print_message ("\"%s\" \"%s\"\n", rows[i].task, rows[i].value);
      assert_int_equal (iv_delegations_apply (&delegations, rows[i].task, rows[i].value),
                        IV_ERR_INVALID);
      assert_null (delegations);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_records_of_a_loan),
    cmocka_unit_test (test_earlier_records_change_nothing),
    cmocka_unit_test (test_malformed_records_are_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
