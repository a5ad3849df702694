#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "note.h"

#define HEAD "release: 2\nchanges: 1\nauthor: ops\n"
#define SERVICE "{name: ledger, team: t, cpu: 500m, memory: 1GiB, instances: 3}"
#define JOB "{name: dues, team: t, cpu: 2, memory: 512MiB, run_time: 2m}"

static char *
read_and_report (const char *text, const struct iv_config *config, const GArray *sizes)
{
  struct iv_findings *findings = iv_findings_new ("n");
  struct iv_note *note = iv_note_read (text, strlen (text), findings);
  char *report;
  if (iv_findings_count (findings) == 0)
    iv_note_check (note, config, sizes, findings);
  report = iv_findings_text (findings);
  iv_findings_free (findings);
  iv_note_free (note);
  return report;
}

static void
assert_findings (const char *text, const struct iv_config *config, const GArray *sizes,
                 const char *expected)
{
  char *report = read_and_report (text, config, sizes);
  assert_string_equal (report, expected);
  g_free (report);
}

static void
test_items (void **state)
{
  const char *text
      = HEAD "added: {services: [" SERVICE "], jobs: [" JOB "]}\nwithdrawn: {jobs: [old]}\n";
  struct iv_findings *findings = iv_findings_new ("n");
  struct iv_note *note = iv_note_read (text, strlen (text), findings);
  const ivx_item *items = note->release.items.items_val;
  assert_int_equal (iv_findings_count (findings), 0);
  assert_int_equal (note->release.items.items_len, 3);
  assert_int_equal (items[0].type, IVX_SERVICE);
  assert_int_equal (items[0].size.cpu_milli, 500);
  assert_int_equal (items[0].size.memory_mib, 1024);
  assert_int_equal (items[1].run_ms, 120000);
  assert_int_equal (items[2].change, IVX_WITHDRAWN);
  assert_string_equal (items[2].name, "old");
  iv_note_free (note);
  iv_findings_free (findings);
}

static void
test_findings (void **state)
{
  assert_findings ("release: 5\nchanges: 1\nauthor: ops\n", NULL, NULL,
                   "n:1:1: release 5 must follow the one it changes, 1\n");
  assert_findings (HEAD "added: {jobs: [" JOB ", " JOB "]}\n", NULL, NULL,
                   "n:4:77: duplicate name \"dues\"\n");
  assert_findings (
      HEAD "added: {jobs: [{name: X, team: t, cpu: 2GiB, memory: 1, run_time: 5}]}\n", NULL, NULL,
      "n:4:23: name: \"X\" is not a name (a-z, 0-9, '.', '_', '-', at most 63 characters)\n"
      "n:4:40: cpu: expected a number of cores, or of milli-cores with the unit m, found \"2GiB\"\n"
      "n:4:54: memory: expected a number with one of the units MiB, GiB, found \"1\"\n"
      "n:4:67: run_time: expected a number with one of the units ms, s, m, h, found \"5\"\n");
  assert_findings (HEAD "largest_host: {cpu: 1, memory: 1GiB}\nadded: {jobs: [" JOB "]}\n", NULL,
                   NULL, "n:5:16: \"dues\" is larger than any host\n");
}

static struct iv_config *
config_with_ledger (void)
{
  struct iv_config *config = iv_config_new ();
  ivx_item item
      = { .change = IVX_ADDED, .type = IVX_SERVICE, .name = (char *)"ledger", .team = (char *)"t" };
  ivx_record record = { .kind = IVX_RELEASE };
  ivx_batch batch = { .writer = 1, .incarnation = 1, .sequence = 1, .records = { 1, &record } };
  record.ivx_record_u.release = (ivx_release){ 1, 0, (char *)"ana", (char *)"", { 1, &item } };
  iv_config_apply (config, 0, &batch);
  return config;
}

static void
test_conflicts_with_release_in_force (void **state)
{
  struct iv_config *config = config_with_ledger ();
  GArray *sizes = g_array_new (FALSE, FALSE, sizeof (ivx_size));
  ivx_size size = { 1000, 1024, 0 };
  g_array_append_val (sizes, size);
  assert_findings (HEAD "added: {services: [" SERVICE "]}\n", config, NULL,
                   "n:4:20: \"ledger\" exists already\n");
  assert_findings (HEAD "withdrawn: {jobs: [ledger], services: [none]}\n", config, NULL,
                   "n:4:12: there is no service \"none\" to withdraw\nn:4:12: \"ledger\" is a "
                   "service, not a job\n");
  assert_findings (HEAD "added: {jobs: [" JOB "]}\n", config, sizes,
                   "n:4:16: \"dues\" is larger than any host\n");
  g_array_free (sizes, TRUE);
  iv_config_free (config);
}

static void
test_conflict_lists_newer_releases (void **state)
{
  struct iv_config *config = config_with_ledger ();
  const char *text = "release: 1\nchanges: 0\nauthor: ops\n";
  struct iv_findings *findings = iv_findings_new ("n");
  struct iv_note *note = iv_note_read (text, strlen (text), findings);
  char *conflict = iv_note_describe_conflict (note, config);
  assert_string_equal (
      conflict, "the note changes release 0, but release 1 is in force; release 1 by ana added 1, "
                "changed 0, withdrew 0");
  g_free (conflict);
  iv_note_free (note);
  iv_findings_free (findings);
  iv_config_free (config);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_items), cmocka_unit_test (test_findings),
          cmocka_unit_test (test_conflicts_with_release_in_force),
          cmocka_unit_test (test_conflict_lists_newer_releases) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
