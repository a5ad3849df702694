#include "workspaces.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

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

/* Guards against keys that are valid because they share a beginning, a length or letters with one
   that is, and against comparisons that look at only a part of a digest. */
static void
test_similar_keys_are_unknown (void **state)
{
  struct iv_workspaces *workspaces = iv_workspaces_new ();
  char key[17] = "0123456789abcdef";
  assert_int_equal (iv_workspaces_add (workspaces, "alpha", 1, &no_cap), IV_OK);
  assert_int_equal (iv_workspaces_add_key (workspaces, "alpha", key), IV_OK);
  for (guint i = 0; i < 16; i++)
    for (guint bit = 0; bit < 7; bit++)
      {
        char similar[17];
        memcpy (similar, key, sizeof similar);
        similar[i] = (char)(similar[i] ^ (1 << bit));
        assert_null (iv_workspaces_find_by_key (workspaces, similar));
      }
  assert_null (iv_workspaces_find_by_key (workspaces, "0123456789abcdef0"));
  assert_non_null (iv_workspaces_find_by_key (workspaces, key));
  iv_workspaces_free (workspaces);
}

/* Guards against a table that loses keys or confuses workspaces when it grows to its bound. */
static void
test_many_keys (void **state)
{
  struct iv_workspaces *workspaces = iv_workspaces_new ();
  assert_int_equal (iv_workspaces_add (workspaces, "even", 1, &no_cap), IV_OK);
  assert_int_equal (iv_workspaces_add (workspaces, "odd", 1, &no_cap), IV_OK);
  for (guint i = 0; i <= IV_WORKSPACE_KEYS_MAX; i++)
    {
      char key[24];
      g_snprintf (key, sizeof key, "key-%u", i);
      assert_int_equal (iv_workspaces_add_key (workspaces, i % 2 ? "odd" : "even", key),
                        i < IV_WORKSPACE_KEYS_MAX ? IV_OK : IV_ERR_LIMIT);
    }
  for (guint i = 0; i < IV_WORKSPACE_KEYS_MAX; i++)
    {
      char key[24];
      g_snprintf (key, sizeof key, "key-%u", i);
      assert_string_equal (iv_workspaces_find_by_key (workspaces, key)->name,
                           i % 2 ? "odd" : "even");
    }
  iv_workspaces_free (workspaces);
}

/* Guards against entries out of bounds, of which one changes what was added before. */
static void
test_what_is_out_of_bounds_is_not_added (void **state)
{
  static const double weights[] = { 0, -1, 1e-7, 1e7, NAN, INFINITY };
  static const struct iv_resources caps[]
      = { { .cpu_milli = -1 }, { .mem_mb = -1 }, { .accelerators = -1 } };
  struct iv_workspaces *workspaces = iv_workspaces_new ();
  char *longest = g_strnfill (IV_WORKSPACE_NAME_MAX, 'n');
  char *too_long = g_strnfill (IV_WORKSPACE_NAME_MAX + 1, 'n');
  assert_int_equal (iv_workspaces_add (workspaces, longest, 3, &no_cap), IV_OK);
  assert_int_equal (iv_workspaces_add (workspaces, longest, 4, &no_cap), IV_ERR_INVALID);
  assert_int_equal (iv_workspaces_add (workspaces, too_long, 1, &no_cap), IV_ERR_INVALID);
  assert_int_equal (iv_workspaces_add (workspaces, "", 1, &no_cap), IV_ERR_INVALID);
  for (guint i = 0; i < G_N_ELEMENTS (weights); i++)
    assert_int_equal (iv_workspaces_add (workspaces, "w", weights[i], &no_cap), IV_ERR_INVALID);
  for (guint i = 0; i < G_N_ELEMENTS (caps); i++)
    assert_int_equal (iv_workspaces_add (workspaces, "c", 1, &caps[i]), IV_ERR_INVALID);
  assert_int_equal (iv_workspaces_count (workspaces), 1);
  assert_true (iv_workspaces_at (workspaces, 0)->weight == 3);
  assert_int_equal (iv_workspaces_add_key (workspaces, longest, too_long), IV_ERR_INVALID);
  assert_null (strstr (iv_last_message (), too_long));
  assert_int_equal (iv_workspaces_add_key (workspaces, longest, ""), IV_ERR_INVALID);
  assert_null (iv_workspaces_find_by_key (workspaces, too_long));
  for (guint i = 1; i <= IV_WORKSPACES_MAX; i++)
    {
      char name[24];
      g_snprintf (name, sizeof name, "w-%u", i);
      assert_int_equal (iv_workspaces_add (workspaces, name, 1, &no_cap),
                        i < IV_WORKSPACES_MAX ? IV_OK : IV_ERR_LIMIT);
    }
  g_free (longest);
  g_free (too_long);
  iv_workspaces_free (workspaces);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_key_names_its_workspace_only),
    cmocka_unit_test (test_similar_keys_are_unknown),
    cmocka_unit_test (test_many_keys),
    cmocka_unit_test (test_what_is_out_of_bounds_is_not_added),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
