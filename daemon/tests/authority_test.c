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

/* Store away, then back: an owner that no other host has replaced goes on under its term. Guards
   against a new owner for every cell after an outage, and against one that acts while its successor
   may. */
static void
test_unconfirmed_owner_is_suspended_until_it_is_confirmed (void **state)
{
  static const struct iv_confirmation_limits limits = { 8000, 3000 };
  static const struct
  {
    const char *what;
    struct iv_confirmation confirmation;
    gboolean suspended;
    gboolean partitioned;
    gboolean permitted;
  } rows[] = {
    { "steady", { 200, 60000, 700, TTL_MS }, FALSE, FALSE, TRUE },
    { "store away", { 8000, 60000, 8000, TTL_MS }, FALSE, FALSE, TRUE },
    { "store away for too long", { 8001, 60000, 8001, TTL_MS }, FALSE, FALSE, FALSE },
    { "store and workers away", { 3000, 60000, 3000, TTL_MS }, FALSE, TRUE, TRUE },
    { "store and workers away for too long", { 3001, 60000, 3001, TTL_MS }, FALSE, TRUE, FALSE },
    { "reached again, not a member", { 9000, 60000, 10, TTL_MS }, TRUE, FALSE, FALSE },
    { "member again, claims not read since", { 10, 10, 9000, TTL_MS }, TRUE, FALSE, FALSE },
    { "member again, claims read before that", { 10, 20, 30, TTL_MS }, TRUE, FALSE, FALSE },
    { "member again, claims read since", { 10, 40, 30, TTL_MS }, TRUE, FALSE, TRUE },
    { "member again, workers still away", { 10, 40, 30, TTL_MS }, TRUE, TRUE, TRUE },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      print_message ("%s\n", rows[i].what);
      assert_int_equal (iv_confirmation_permits (&rows[i].confirmation, &limits, rows[i].suspended,
                                                 rows[i].partitioned),
                        rows[i].permitted);
    }
}

/* Herd of returns: the store has dropped all memberships. Guards against the first host to join
   again replacing the owners of all cells, which are about to join. */
static void
test_missing_member_is_replaced_once_sound_hosts_have_joined (void **state)
{
  static const struct
  {
    const char *what;
    const char *members[4];
    gint64 member_for_ms;
    enum iv_owner_presence presence;
  } rows[] = {
    { "still a member", { "h-1-0a", "h-2-0b" }, 60000, IV_OWNER_PRESENT },
    { "missing from a steady group", { "h-1-0a", "h-3-0c" }, 60000, IV_OWNER_MISSING },
    { "missing just after this host has joined", { "h-1-0a" }, 0, IV_OWNER_PRESENT },
    { "missing while others join", { "h-1-0a", "h-3-0c" }, 1200, IV_OWNER_PRESENT },
    { "missing after all had the time to join", { "h-1-0a", "h-3-0c" }, 1500, IV_OWNER_MISSING },
    { "its host has restarted", { "h-1-0a", "h-2-0d" }, 0, IV_OWNER_ENDED },
    { "a host with a longer name has joined", { "h-1-0a", "h-2-2-0d" }, 0, IV_OWNER_PRESENT },
    { "a host with a shorter name has joined", { "h-1-0a", "h-0d" }, 0, IV_OWNER_PRESENT },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GPtrArray *members = g_ptr_array_new ();
      print_message ("%s\n", rows[i].what);
      for (guint j = 0; rows[i].members[j]; j++)
        g_ptr_array_add (members, (gpointer)rows[i].members[j]);
      assert_int_equal (iv_authority_find_owner (members, "h-2-0b", rows[i].member_for_ms),
                        rows[i].presence);
      g_ptr_array_free (members, TRUE);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_rejoined_owner_is_confirmed_only_by_the_claims),
          cmocka_unit_test (test_unconfirmed_owner_is_suspended_until_it_is_confirmed),
          cmocka_unit_test (test_missing_member_is_replaced_once_sound_hosts_have_joined) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
