#include "access.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define STORM 20000

static const struct iv_resources no_cap = { 0 };

/* Workspaces "alpha" and "beta" with the keys "key-a" and "key-b". */
static struct iv_workspaces *
two_workspaces (void)
{
  struct iv_workspaces *workspaces = iv_workspaces_new ();
  assert_int_equal (iv_workspaces_add (workspaces, "alpha", 2, &no_cap), IV_OK);
  assert_int_equal (iv_workspaces_add (workspaces, "beta", 1, &no_cap), IV_OK);
  assert_int_equal (iv_workspaces_add_key (workspaces, "alpha", "key-a"), IV_OK);
  assert_int_equal (iv_workspaces_add_key (workspaces, "beta", "key-b"), IV_OK);
  return workspaces;
}

/* Guards against a header that is read wrongly, and a refusal with the wrong status. */
static void
test_verdicts_on_keys (void **state)
{
  static const struct
  {
    const char *authorization;
    enum iv_access verdict;
    int status;
    const char *workspace;
  } rows[] = {
    { "Bearer key-a", IV_ACCESS_GRANTED, 200, "alpha" },
    { "bearer key-a", IV_ACCESS_GRANTED, 200, "alpha" },
    { "BEARER   key-b", IV_ACCESS_GRANTED, 200, "beta" },
    { NULL, IV_ACCESS_KEY_MISSING, 401, "" },
    { "", IV_ACCESS_KEY_MALFORMED, 401, "" },
    { "Bearer", IV_ACCESS_KEY_MALFORMED, 401, "" },
    { "Bearer ", IV_ACCESS_KEY_MALFORMED, 401, "" },
    { "Bearer\tkey-a", IV_ACCESS_KEY_MALFORMED, 401, "" },
    { "Bearerkey-a", IV_ACCESS_KEY_MALFORMED, 401, "" },
    { "Basic key-a", IV_ACCESS_KEY_MALFORMED, 401, "" },
    { "key-a", IV_ACCESS_KEY_MALFORMED, 401, "" },
    { "B", IV_ACCESS_KEY_MALFORMED, 401, "" },
    { "Bearer key-", IV_ACCESS_KEY_UNKNOWN, 401, "" },
    { "Bearer key-a ", IV_ACCESS_KEY_UNKNOWN, 401, "" },
    { "Bearer key-a key-b", IV_ACCESS_KEY_UNKNOWN, 401, "" },
    { "Bearer KEY-A", IV_ACCESS_KEY_UNKNOWN, 401, "" },
  };
  struct iv_workspaces *workspaces = two_workspaces ();
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct iv_access_request request
          = { .workspaces = workspaces, .authorization = rows[i].authorization };
      struct iv_access_caller caller;
      iv_access_identify (&request, &caller);
      assert_int_equal (caller.verdict, rows[i].verdict);
      assert_string_equal (caller.workspace, rows[i].workspace);
      assert_int_equal (iv_access_to_queue (&caller), rows[i].verdict);
      assert_int_equal (iv_access_status (caller.verdict), rows[i].status);
      assert_true (rows[i].authorization == NULL || strstr (rows[i].authorization, "key") == NULL
                   || strstr (iv_access_reason (caller.verdict), "key-") == NULL);
      request.public_access = TRUE;
      iv_access_identify (&request, &caller);
      assert_int_equal (iv_access_to_queue (&caller), IV_ACCESS_GRANTED);
      assert_string_equal (caller.workspace, rows[i].workspace);
    }
  iv_workspaces_free (workspaces);
}

/* Guards against keys that are asked for where the configuration has no workspaces, and against
   none that is asked for where it has a list without any. */
static void
test_table_without_workspaces_admits_nobody (void **state)
{
  struct iv_access_request request = { .authorization = "Bearer key-a" };
  struct iv_access_caller caller;
  iv_access_identify (&request, &caller);
  assert_int_equal (iv_access_to_queue (&caller), IV_ACCESS_GRANTED);
  assert_int_equal (iv_access_to_job (&caller, FALSE, "alpha"), IV_ACCESS_GRANTED);
  request.workspaces = iv_workspaces_new ();
  iv_access_identify (&request, &caller);
  assert_int_equal (iv_access_to_queue (&caller), IV_ACCESS_KEY_UNKNOWN);
  iv_workspaces_free ((struct iv_workspaces *)request.workspaces);
}

/* Guards against a job that another workspace, or anybody by way of a public queue, can reach. */
static void
test_verdicts_on_jobs (void **state)
{
  static const struct
  {
    const char *authorization;
    gboolean public_access;
    gboolean is_job_queue_public;
    const char *job_workspace;
    enum iv_access verdict;
  } rows[] = {
    { "Bearer key-a", FALSE, FALSE, "alpha", IV_ACCESS_GRANTED },
    { "Bearer key-b", FALSE, FALSE, "alpha", IV_ACCESS_OTHER_WORKSPACE },
    { "Bearer key-b", FALSE, TRUE, "alpha", IV_ACCESS_OTHER_WORKSPACE },
    { "Bearer key-b", FALSE, FALSE, "removed", IV_ACCESS_OTHER_WORKSPACE },
    { "Bearer key-b", FALSE, FALSE, "", IV_ACCESS_GRANTED },
    { "Bearer key-c", FALSE, FALSE, "alpha", IV_ACCESS_KEY_UNKNOWN },
    { NULL, TRUE, TRUE, "alpha", IV_ACCESS_GRANTED },
    { NULL, TRUE, TRUE, "", IV_ACCESS_GRANTED },
    { NULL, TRUE, FALSE, "alpha", IV_ACCESS_KEY_MISSING },
    { NULL, TRUE, FALSE, "", IV_ACCESS_KEY_MISSING },
    { "Bearer key-c", TRUE, FALSE, "alpha", IV_ACCESS_KEY_UNKNOWN },
    { "Bearer key-b", TRUE, FALSE, "alpha", IV_ACCESS_OTHER_WORKSPACE },
    { "Bearer key-a", TRUE, FALSE, "alpha", IV_ACCESS_GRANTED },
  };
  struct iv_workspaces *workspaces = two_workspaces ();
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const struct iv_access_request request = { .workspaces = workspaces,
                                                 .public_access = rows[i].public_access,
                                                 .authorization = rows[i].authorization };
      struct iv_access_caller caller;
      iv_access_identify (&request, &caller);
      assert_int_equal (
          iv_access_to_job (&caller, rows[i].is_job_queue_public, rows[i].job_workspace),
          rows[i].verdict);
    }
  assert_int_equal (iv_access_status (IV_ACCESS_OTHER_WORKSPACE), 403);
  iv_workspaces_free (workspaces);
}

/* Guards against a removed key that a host cut off from the store goes on admitting where the
   settings set a limit, and against refusals where they set none. */
static void
test_old_configuration (void **state)
{
  static const struct
  {
    gint64 age_ms;
    gint64 age_max_ms;
    enum iv_access verdict;
  } rows[] = {
    { 5000, 5000, IV_ACCESS_GRANTED },    { 5001, 5000, IV_ACCESS_UNCONFIRMED },
    { G_MAXINT64, 0, IV_ACCESS_GRANTED }, { G_MAXINT64, 1, IV_ACCESS_UNCONFIRMED },
    { 0, 5000, IV_ACCESS_GRANTED },
  };
  struct iv_workspaces *workspaces = two_workspaces ();
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct iv_access_request request = { .workspaces = workspaces,
                                           .authorization = "Bearer key-a",
                                           .config_age_ms = rows[i].age_ms,
                                           .config_age_max_ms = rows[i].age_max_ms };
      struct iv_access_caller caller;
      iv_access_identify (&request, &caller);
      assert_int_equal (iv_access_to_queue (&caller), rows[i].verdict);
      request.public_access = TRUE;
      iv_access_identify (&request, &caller);
      assert_int_equal (iv_access_to_queue (&caller), IV_ACCESS_GRANTED);
      request.workspaces = NULL;
      request.public_access = FALSE;
      iv_access_identify (&request, &caller);
      assert_int_equal (iv_access_to_queue (&caller), IV_ACCESS_GRANTED);
    }
  assert_int_equal (iv_access_status (IV_ACCESS_UNCONFIRMED), 503);
  iv_workspaces_free (workspaces);
}

/* A version removes the keys of "alpha". Guards against any of them that is admitted in a storm of
   calls, and against calls of "beta" that are refused in it. */
static void
test_storm_of_removed_keys (void **state)
{
  struct iv_workspaces *versions[] = { iv_workspaces_new (), iv_workspaces_new () };
  for (guint v = 0; v < 2; v++)
    {
      assert_int_equal (iv_workspaces_add (versions[v], "alpha", 1, &no_cap), IV_OK);
      assert_int_equal (iv_workspaces_add (versions[v], "beta", 1, &no_cap), IV_OK);
      assert_int_equal (iv_workspaces_add_key (versions[v], "beta", "key-b"), IV_OK);
    }
  for (guint i = 0; i < STORM; i++)
    {
      char authorization[32];
      struct iv_access_request request = { .authorization = authorization };
      struct iv_access_caller caller;
      g_snprintf (authorization, sizeof authorization, "Bearer key-a-%u", i);
      assert_int_equal (iv_workspaces_add_key (versions[0], "alpha", authorization + 7), IV_OK);
      request.workspaces = versions[0];
      iv_access_identify (&request, &caller);
      assert_int_equal (caller.verdict, IV_ACCESS_GRANTED);
      request.workspaces = versions[1];
      iv_access_identify (&request, &caller);
      assert_int_equal (caller.verdict, IV_ACCESS_KEY_UNKNOWN);
      request.authorization = "Bearer key-b";
      iv_access_identify (&request, &caller);
      assert_int_equal (caller.verdict, IV_ACCESS_GRANTED);
    }
  iv_workspaces_free (versions[0]);
  iv_workspaces_free (versions[1]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_verdicts_on_keys),
    cmocka_unit_test (test_table_without_workspaces_admits_nobody),
    cmocka_unit_test (test_verdicts_on_jobs),
    cmocka_unit_test (test_old_configuration),
    cmocka_unit_test (test_storm_of_removed_keys),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
