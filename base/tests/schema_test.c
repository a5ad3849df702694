#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "schema.h"

struct inner
{
  struct iv_location location;
  char *name;
  gint64 size;
};

struct outer
{
  struct iv_location location;
  gint64 wait_ms;
  gint64 level;
  char *address;
  GArray *parts;
};

static const struct iv_field inner_fields[] = {
  { .key = "name",
    .kind = IV_FIELD_NAME,
    .offset = offsetof (struct inner, name),
    .required = TRUE },
  { .key = "size",
    .kind = IV_FIELD_MEMORY,
    .offset = offsetof (struct inner, size),
    .min = 1,
    .max = 2048 },
  { 0 },
};
static const struct iv_schema inner_schema = { "a part", sizeof (struct inner), inner_fields };
static const char *const levels[] = { "low", "high", NULL };
static const struct iv_field outer_fields[] = {
  { .key = "wait",
    .kind = IV_FIELD_DURATION,
    .offset = offsetof (struct outer, wait_ms),
    .default_value = 50,
    .min = 1,
    .max = 60000 },
  { .key = "level",
    .kind = IV_FIELD_CHOICE,
    .offset = offsetof (struct outer, level),
    .choices = levels },
  { .key = "address", .kind = IV_FIELD_ADDRESS, .offset = offsetof (struct outer, address) },
  { .key = "parts",
    .kind = IV_FIELD_LIST,
    .offset = offsetof (struct outer, parts),
    .sub_schema = &inner_schema,
    .max = 2 },
  { 0 },
};
static const struct iv_schema outer_schema = { "the file", sizeof (struct outer), outer_fields };

static char *
read_and_report (const char *text, struct outer *out)
{
  struct iv_findings *findings = iv_findings_new ("f");
  struct iv_document *document
      = iv_document_read (text, strlen (text), &outer_schema, out, findings);
  char *report = iv_findings_text (findings);
  iv_findings_free (findings);
  iv_document_free (document);
  return report;
}

static void
assert_findings (const char *text, const char *expected)
{
  struct outer out = { 0 };
  char *report = read_and_report (text, &out);
  assert_string_equal (report, expected);
  g_free (report);
}

static void
test_values (void **state)
{
  const char *text = "wait: 2s\nlevel: high\naddress: '[::1]:80'\nparts: [{name: a, size: 1GiB}]\n";
  struct outer out = { 0 };
  struct iv_findings *findings = iv_findings_new ("f");
  struct iv_document *document
      = iv_document_read (text, strlen (text), &outer_schema, &out, findings);
  assert_int_equal (iv_findings_count (findings), 0);
  assert_int_equal (out.wait_ms, 2000);
  assert_int_equal (out.level, 1);
  assert_string_equal (out.address, "[::1]:80");
  assert_int_equal (out.parts->len, 1);
  assert_int_equal (g_array_index (out.parts, struct inner, 0).size, 1024);
  assert_int_equal (g_array_index (out.parts, struct inner, 0).location.line, 4);
  iv_document_free (document);
  iv_findings_free (findings);
}

static void
test_fractions (void **state)
{
  struct outer out = { 0 };
  char *report = read_and_report ("level: low\nwait: 1.25s\n", &out);
  assert_string_equal (report, "");
  assert_int_equal (out.wait_ms, 1250);
  g_free (report);
  report = read_and_report ("level: low\nwait: 1.5ms\n", &out);
  assert_non_null (strstr (report, "expected a number"));
  g_free (report);
  report = read_and_report ("level: low\nwait: 1.s\n", &out);
  assert_non_null (strstr (report, "expected a number"));
  g_free (report);
}

static void
test_defaults (void **state)
{
  struct outer out = { 0 };
  char *report = read_and_report ("level: low\n", &out);
  assert_string_equal (report, "");
  assert_int_equal (out.wait_ms, 50);
  g_free (report);
}

static void
test_all_findings_are_reported (void **state)
{
  assert_findings (
      "wiat: 2s\nwait: 2 days\nlevel: middle\naddress: localhost:80\nparts: [{size: 9GiB}]\n",
      "f:1:1: unknown key \"wiat\" in the file; did you mean \"wait\"?\n"
      "f:2:7: wait: expected a number with one of the units ms, s, m, h, found \"2 days\"\n"
      "f:3:8: level: \"middle\" is none of low, high\n"
      "f:4:10: address: \"localhost:80\" is not an IP number with a port\n"
      "f:5:9: a part lacks \"name\"\n"
      "f:5:16: size: 9216 is outside 1..2048\n");
}

static void
test_structure (void **state)
{
  assert_findings ("", "f:1:1: the file is empty\n");
  assert_findings ("a: [", "f:2:1: not valid YAML: did not find expected node content\n");
  assert_findings ("wait: [1]\n", "f:1:7: wait: expected a single value\n");
  assert_findings ("parts: x\n", "f:1:8: parts: expected a list\n");
  assert_findings ("wait: 1s\nwait: 2s\n", "f:2:1: duplicate key \"wait\"\n");
  assert_findings ("parts: [{name: a}, {name: b}, {name: c}]\n",
                   "f:1:8: parts: 3 is outside 0..2\n");
  assert_findings ("a: &x [*x]\n", "f:1:1: aliases are not supported\n");
}

static void
test_addresses (void **state)
{
  char ip[64];
  guint16 port;
  assert_true (iv_parse_address ("10.0.0.1:7000", ip, &port));
  assert_int_equal (port, 7000);
  assert_false (iv_parse_address ("10.0.0.1", ip, &port));
  assert_false (iv_parse_address ("10.0.0.1:0", ip, &port));
  assert_false (iv_parse_address ("10.0.0.1:70000", ip, &port));
  assert_false (iv_parse_address ("host:80", ip, &port));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_values),    cmocka_unit_test (test_fractions),
    cmocka_unit_test (test_defaults),  cmocka_unit_test (test_all_findings_are_reported),
    cmocka_unit_test (test_structure), cmocka_unit_test (test_addresses),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
