#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "settings.h"

#define HEAD                                                                                       \
  "user: k\nhost: a\ndomain: north\nlisten: {callers: '127.0.0.1:1', operators: '127.0.0.1:2', "   \
  "peers: '127.0.0.1:3'}\n"
#define PLATFORM "platform: {address: '127.0.0.1:9'}\n"
#define MEMBERS                                                                                    \
  "members:\n  - {host: a, domain: north, peers: '127.0.0.1:3'}\n  - {host: b, domain: south, "    \
  "peers: '127.0.0.1:4'}\n"

static char *
read_and_report (const char *text)
{
  struct iv_settings settings;
  struct iv_findings *findings = iv_findings_new ("s");
  struct iv_document *document = iv_settings_read (text, strlen (text), &settings, findings);
  char *report = iv_findings_text (findings);
  iv_findings_free (findings);
  iv_document_free (document);
  return report;
}

static void
assert_findings (const char *text, const char *expected)
{
  char *report = read_and_report (text);
  assert_string_equal (report, expected);
  g_free (report);
}

static void
test_defaults (void **state)
{
  struct iv_settings settings;
  struct iv_findings *findings = iv_findings_new ("s");
  const char *text = HEAD PLATFORM MEMBERS;
  struct iv_document *document = iv_settings_read (text, strlen (text), &settings, findings);
  assert_int_equal (iv_findings_count (findings), 0);
  assert_int_equal (settings.scheduling.lease_ms, 6000);
  assert_int_equal (settings.routing.retry_percent, 10);
  assert_int_equal (settings.members->len, 2);
  assert_int_equal (settings.fleet.learn_lengths, 0);
  iv_document_free (document);
  iv_findings_free (findings);
}

/* Guards against hosts that change their advice without being told to. */
static void
test_retry_advice_is_off_by_default (void **state)
{
  static const char *const rows[] = { "", ", retry_advice: true" };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct iv_settings settings;
      struct iv_findings *findings = iv_findings_new ("s");
      char *text = g_strdup_printf (
          HEAD PLATFORM MEMBERS "fleet: {jobs: '127.0.0.1:5', ready: '127.0.0.1:6'%s}\n", rows[i]);
      struct iv_document *document = iv_settings_read (text, strlen (text), &settings, findings);
      assert_int_equal (iv_findings_count (findings), 0);
      assert_int_equal (settings.fleet.retry_advice, i);
      iv_document_free (document);
      iv_findings_free (findings);
      g_free (text);
    }
}

static void
test_findings (void **state)
{
  assert_findings (HEAD PLATFORM, "s:1:1: the settings lacks \"members\"\n");
  assert_findings (HEAD PLATFORM "members: [{host: b, domain: north, peers: '127.0.0.1:4'}]\n",
                   "s:1:1: host \"a\" is not among the members\n");
  assert_findings (HEAD PLATFORM MEMBERS "  - {host: a, domain: south, peers: '127.0.0.1:4'}\n",
                   "s:9:5: duplicate name \"a\" in members\n"
                   "s:9:5: address 127.0.0.1:4 is used by two members\n"
                   "s:9:5: member \"a\" is in \"south\", but domain says \"north\"\n");
  assert_findings (HEAD PLATFORM MEMBERS
                   "scheduling: {lease: 1s, takeover: 1s, backup_for: [east], evict_above: 10}\n",
                   "s:9:13: backup_for: no member is in \"east\"\n"
                   "s:9:13: lease must be at least twice sync, or one lost sync stops tasks\n"
                   "s:9:13: takeover must be at least twice renew, or owners alternate\n"
                   "s:9:13: evict_above must not be below throttle_above\n");
  assert_findings (HEAD "platform: {address: 'log.example:9'}\n" MEMBERS,
                   "s:5:21: address: \"log.example:9\" is not an IP number with a port\n");
}

/* Time limits that would allow a task to run twice must be reported as findings. */
static void
test_fleet_limits (void **state)
{
  assert_findings (HEAD PLATFORM MEMBERS "fleet: {jobs: '127.0.0.1:5', ready: '127.0.0.1:6'}\n",
                   "");
  assert_findings (
      HEAD PLATFORM MEMBERS
      "fleet: {jobs: '127.0.0.1:5', ready: '127.0.0.1:6', lease: 9s, lease_max: 8s, hold: 2s}\n",
      "s:9:8: horizon must be at least hold_cut and 1.02 times lease, or tasks run "
      "twice\ns:9:8: lease_max must not be below lease\ns:9:8: hold must not be below hold_cut\n");
}

/* Guards against requests that are refused where the settings do not ask for it. */
static void
test_revocation_is_off_by_default (void **state)
{
  static const struct
  {
    const char *text;
    gint64 revoke_ms;
  } rows[] = {
    { HEAD PLATFORM MEMBERS "fleet: {jobs: '127.0.0.1:5', ready: '127.0.0.1:6'}\n", 0 },
    { HEAD PLATFORM MEMBERS "fleet: {jobs: '127.0.0.1:5', ready: '127.0.0.1:6', revoke: 0ms}\n",
      0 },
    { HEAD PLATFORM MEMBERS "fleet: {jobs: '127.0.0.1:5', ready: '127.0.0.1:6', revoke: 5000ms}\n",
      5000 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct iv_settings settings;
      struct iv_findings *findings = iv_findings_new ("s");
      struct iv_document *document
          = iv_settings_read (rows[i].text, strlen (rows[i].text), &settings, findings);
      assert_int_equal (iv_findings_count (findings), 0);
      assert_int_equal (settings.fleet.revoke_ms, rows[i].revoke_ms);
      iv_document_free (document);
      iv_findings_free (findings);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_defaults), cmocka_unit_test (test_retry_advice_is_off_by_default),
          cmocka_unit_test (test_findings), cmocka_unit_test (test_fleet_limits),
          cmocka_unit_test (test_revocation_is_off_by_default) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
