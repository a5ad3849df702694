#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "ledger.h"

#define CPU_MILLI 4000

static gboolean
add_usage (struct iv_ledger *ledger, guint64 from, guint64 until, guint64 work, guint64 idle)
{
  ivx_usage_row rows[] = { { IVX_ROW_WORKLOAD, (char *)"team", (char *)"dues", work },
                           { IVX_ROW_IDLE, (char *)"", (char *)"", idle } };
  ivx_usage usage = { 1, from, until, { 2, rows } };
  gboolean ok = iv_ledger_add_usage (ledger, &usage);
  assert_true (iv_ledger_balanced (ledger));
  return ok;
}

static guint64
core_us_of (const struct iv_ledger *ledger, ivx_row_kind kind, const char *name)
{
  for (guint i = 0; i < ledger->rows->len; i++)
    {
      const ivx_usage_row *row = &g_array_index (ledger->rows, ivx_usage_row, i);
      if (row->kind == kind && strcmp (row->name, name) == 0)
        return row->core_us;
    }
  return 0;
}

static void
test_rows_add_up (void **state)
{
  struct iv_ledger ledger;
  iv_ledger_init (&ledger, CPU_MILLI, 1000);
  assert_true (add_usage (&ledger, 1000, 2000, 1000000, 3000000));
  assert_true (add_usage (&ledger, 2000, 3000, 1000000, 2000000));
  assert_int_equal (core_us_of (&ledger, IVX_ROW_WORKLOAD, "dues"), 2000000);
  assert_int_equal (core_us_of (&ledger, IVX_ROW_UNATTRIBUTED, IV_CAUSE_MEASUREMENT), 1000000);
  iv_ledger_clear (&ledger);
}

static void
test_report_beyond_host_time_is_rejected (void **state)
{
  struct iv_ledger ledger;
  iv_ledger_init (&ledger, CPU_MILLI, 1000);
  assert_false (add_usage (&ledger, 1000, 2000, 4000001, 0));
  assert_false (add_usage (&ledger, 1000, 2000, G_MAXUINT64, 2));
  assert_false (add_usage (&ledger, 2000, 1000, 0, 0));
  assert_false (add_usage (&ledger, 500, 1500, 0, 0));
  assert_int_equal (ledger.until_ms, 1000);
  iv_ledger_clear (&ledger);
}

static void
test_late_report_moves_time_once (void **state)
{
  struct iv_ledger ledger;
  iv_ledger_init (&ledger, CPU_MILLI, 0);
  assert_true (add_usage (&ledger, 3000, 4000, 0, 4000000));
  assert_int_equal (core_us_of (&ledger, IVX_ROW_UNATTRIBUTED, IV_CAUSE_NO_REPORT), 12000000);
  assert_true (add_usage (&ledger, 1000, 2000, 4000000, 0));
  assert_false (add_usage (&ledger, 1000, 2000, 4000000, 0));
  assert_false (add_usage (&ledger, 500, 1500, 1, 0));
  assert_int_equal (core_us_of (&ledger, IVX_ROW_UNATTRIBUTED, IV_CAUSE_NO_REPORT), 8000000);
  assert_int_equal (core_us_of (&ledger, IVX_ROW_WORKLOAD, "dues"), 4000000);
  assert_true (add_usage (&ledger, 0, 1000, 0, 0));
  assert_true (add_usage (&ledger, 2000, 3000, 0, 0));
  assert_int_equal (core_us_of (&ledger, IVX_ROW_UNATTRIBUTED, IV_CAUSE_NO_REPORT), 0);
  iv_ledger_clear (&ledger);
}

static void
test_close (void **state)
{
  struct iv_ledger ledger;
  iv_ledger_init (&ledger, CPU_MILLI, 0);
  add_usage (&ledger, 0, 1000, 0, 4000000);
  iv_ledger_close (&ledger, 5000);
  assert_true (iv_ledger_balanced (&ledger));
  assert_int_equal (core_us_of (&ledger, IVX_ROW_UNATTRIBUTED, IV_CAUSE_HOST_LOST), 16000000);
  iv_ledger_close (&ledger, 100);
  assert_int_equal (ledger.until_ms, 5000);
  iv_ledger_clear (&ledger);
}

static void
test_gaps_are_bounded (void **state)
{
  struct iv_ledger ledger;
  iv_ledger_init (&ledger, CPU_MILLI, 0);
  for (guint64 at = 1; at < 400; at += 2)
    assert_true (add_usage (&ledger, at, at + 1, 1, 0));
  assert_int_equal (ledger.gaps->len, IV_GAPS_MAX);
  assert_false (add_usage (&ledger, 0, 1, 1, 0));
  iv_ledger_clear (&ledger);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_rows_add_up),
          cmocka_unit_test (test_report_beyond_host_time_is_rejected),
          cmocka_unit_test (test_late_report_moves_time_once), cmocka_unit_test (test_close),
          cmocka_unit_test (test_gaps_are_bounded) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
