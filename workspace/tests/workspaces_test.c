#include "workspaces.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

static const struct iv_resources no_cap = { 0 };

/* Guards against a key that opens the workspace of another caller, or none that it should. */
static void
test_key_names_its_workspace_only (void **state)
{
  struct iv_workspaces *workspaces = iv_workspaces_new ();
  assert_int_equal (iv_workspaces_add (workspaces, "alpha", 2, &no_cap), IV_OK);
  assert_int_equal (iv_workspaces_add (workspaces, "beta", 1, &no_cap), IV_OK);
  assert_int_equal (iv_workspaces_add_key (workspaces, "alpha", "key-a"), IV_OK);
  assert_int_equal (iv_workspaces_add_key (workspaces, "beta", "key-b"), IV_OK);
  assert_string_equal (iv_workspaces_find_by_key (workspaces, "key-a")->name, "alpha");
  assert_string_equal (iv_workspaces_find_by_key (workspaces, "key-b")->name, "beta");
  assert_null (iv_workspaces_find_by_key (workspaces, "key-"));
  assert_null (iv_workspaces_find_by_key (workspaces, ""));
  iv_workspaces_free (workspaces);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_key_names_its_workspace_only) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
