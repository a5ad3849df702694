#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "report.h"

static const char response[]
    = "{\"domains\":[{\"domain\":\"a\",\"hosts\":[{\"host\":\"w1\",\"rows\":[{\"kind\":"
      "\"workload\",\"team\":\"t\",\"name\":\"dues\","
      "\"units\":3000000},{\"kind\":\"idle\",\"team\":\"\",\"name\":\"\",\"units\":1000000}]}],"
      "\"retired\":[{\"kind\":\"workload\","
      "\"team\":\"t\",\"name\":\"watch\",\"units\":1000000}]}],\"missing\":[\"b\"]}";

static void
assert_report (enum iv_report_grouping by, const char *expected)
{
  json_t *root = json_loads (response, 0, NULL);
  char *text = iv_report_render (root, by, IV_REPORT_CSV);
  assert_string_equal (text, expected);
  g_free (text);
  json_decref (root);
}

static void
test_grouping (void **state)
{
  assert_report (IV_REPORT_WORKLOAD, "kind,name,core_microseconds\nworkload,dues,3000000\nworkload,"
                                     "watch,1000000\nidle,,1000000\n");
  assert_report (IV_REPORT_TEAM,
                 "kind,name,core_microseconds\nworkload,t,4000000\nidle,,1000000\n");
  assert_report (IV_REPORT_DOMAIN,
                 "kind,name,core_microseconds\nworkload,a,4000000\nidle,a,1000000\n");
  assert_report (IV_REPORT_HOST, "kind,name,core_microseconds\nworkload,replaced "
                                 "hosts,1000000\nworkload,w1,3000000\nidle,w1,1000000\n");
}

static void
test_missing_domains_are_reported (void **state)
{
  json_t *root = json_loads (response, 0, NULL);
  char *text = iv_report_render (root, IV_REPORT_WORKLOAD, IV_REPORT_TEXT);
  assert_non_null (strstr (text, "incomplete: the owner of b did not answer\n"));
  g_free (text);
  text = iv_report_render (root, IV_REPORT_WORKLOAD, IV_REPORT_JSON);
  assert_non_null (strstr (text, "\"total_core_microseconds\": 5000000"));
  g_free (text);
  json_decref (root);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_grouping), cmocka_unit_test (test_missing_domains_are_reported) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
