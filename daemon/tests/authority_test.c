#include "authority.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define TTL_MS 1000

/* Guards against tasks that run twice: a host that was removed as a member joins again after a
   partition and counts as the owner before it reads the claim of its successor. */
static void
test_rejoined_owner_is_confirmed_only_by_the_claims (void **state)
{
  static const struct
  {
    const char *what;
    struct iv_confirmation confirmation;
    gboolean current;
    gint64 age_ms;
  } rows[] = {
    { "steady", { 200, 60000, 700, TTL_MS }, TRUE, 700 },
    { "membership lapsed", { 1000, 60000, 700, TTL_MS }, FALSE, 1000 },
    { "joined again, claims read before the lapse", { 10, 10, 5000, TTL_MS }, FALSE, 5000 },
    { "joined again, claims read before that", { 300, 900, 900, TTL_MS }, FALSE, 900 },
    { "joined again, claims read since", { 300, 900, 850, TTL_MS }, TRUE, 850 },
    { "reads fail while joins succeed", { 100, 4000, 9000, TTL_MS }, FALSE, 9000 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      print_message ("%s\n", rows[i].what);
      assert_int_equal (iv_confirmation_is_current (&rows[i].confirmation), rows[i].current);
      assert_int_equal (iv_confirmation_age_ms (&rows[i].confirmation), rows[i].age_ms);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_rejoined_owner_is_confirmed_only_by_the_claims) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
