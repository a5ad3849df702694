#include "admission.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define NOW_MS 10000
#define HOSTS 40
#define JOBS_MAX 1000 /* of a play that does not end by itself */

static ivj_step step = { .count = 250, .cpu_milli = 2000, .estimate_ms = 1000, .label = "" };
static ivj_job spec = { .host = "h", .prefix = "/q/", .steps = { 1, &step } };
static const struct iv_queue_policy policy = { .priority = 1, .stretch = 2, .objective_ms = 1000 };

/* 1,000 cores, full; 20 s of work on time of small jobs, none of which expires. */
static const char full[] = "0 0 0 0 0 backlog 1000000 1000000 1=20000000 1.3=20000000";

static gboolean
decide (struct iv_cell_loads *loads, guint cells, guint hosts, gint64 now_ms,
        struct iv_admission *admission)
{
  const struct iv_admission_request request
      = { .spec = &spec, .policy = &policy, .cell = 0, .cells = cells, .hosts = hosts };
  return iv_admission_decide (loads, &request, now_ms, admission);
}

static gboolean
accepts (const char *record, gint64 age_ms)
{
  struct iv_cell_loads *loads = iv_cell_loads_new ();
  struct iv_admission admission;
  gboolean accepted;
  if (record)
    iv_cell_loads_apply (loads, 0, record, NOW_MS);
  accepted = decide (loads, 1, 1, NOW_MS + age_ms, &admission);
  iv_cell_loads_free (loads);
  return accepted;
}

/* Load: a backlog of 20 s for a job that has value for 9 s. Records are used for 2 s. */
static void
test_age_of_records (void **state)
{
  assert_false (accepts (full, 0));
  assert_false (accepts (full, 500));
  assert_false (accepts (full, 2000));
  assert_true (accepts (full, 2001));
}

/* Load: the owner is lost, or of an earlier release, or its record is malformed: what is missing
   means accept. */
static void
test_missing_records_accept (void **state)
{
  static const char *const records[] = {
    NULL,
    "",
    "0 0 0",
    "0 0 0 0 0 9000:100 | ledger * 4 8000 8000 0",
    "0 0 0 0 0 | backlog 1000000 1000000 1=20000000 1.3=20000000",
    "0 0 0 0 0 backlog 1000000",
    "0 0 0 0 0 backlog 0 1000000 1=20000000 1.3=20000000",
    "0 0 0 0 0 backlog -1 1000000 1=20000000 1.3=20000000",
    "0 0 0 0 0 backlog 1000000 1000000 1=20000000 1.3=2000000x",
    "0 0 0 0 0 backlog 1000000 1000000 9=20000000 1.3=20000000",
    "0 0 0 0 0 backlog 1000000 1000000 1=20000000 1.16=20000000",
    "0 0 0 0 0 backlog 1000000 1000000 1=99999999999999999999 1.3=20000000",
    "0 0 0 0 0 backlog 1000000 1000000 = 1=20000000 1.3=20000000",
    "0 0 0 0 0 backlog 1000000 1000000 1=20000000 1.3=20000000 9=1",
    "0 0 0 0 0 backlog 1000000 1000000 1=20000000 1.3=20000000 1.16=1",
    "0 0 0 0 0 backlog 1000000 1000000 1=20000000 1.3=20000000 x",
  };
  for (guint i = 0; i < G_N_ELEMENTS (records); i++)
    assert_true (accepts (records[i], 0));
}

/* Load: one cell is full, of another nothing is known, or it has room: the job may move there. */
static void
test_other_cells (void **state)
{
  struct iv_cell_loads *loads = iv_cell_loads_new ();
  struct iv_admission admission;
  iv_cell_loads_apply (loads, 0, full, NOW_MS);
  assert_true (decide (loads, 2, 1, NOW_MS, &admission));
  iv_cell_loads_apply (loads, 1, "0 0 0 0 0 backlog 0 1000000", NOW_MS);
  assert_true (decide (loads, 2, 1, NOW_MS, &admission));
  iv_cell_loads_apply (loads, 1, full, NOW_MS);
  assert_false (decide (loads, 2, 1, NOW_MS, &admission));
  iv_cell_loads_free (loads);
}

/* Guards against a format that hosts of either release cannot read: pieces and offers of a record
   with a backlog are those of one without, and the backlog is the one that was written. */
static void
test_record_is_readable_for_both_releases (void **state)
{
  static const struct iv_piece rows[] = { { 9000, 100 }, { 4000, 100 } };
  struct iv_cell_capacity capacity = { .free_milli = 1, .backlog = { .rate_milli = 700 } };
  struct iv_cell_loads *loads = iv_cell_loads_new ();
  GArray *pieces = g_array_new (FALSE, FALSE, sizeof (struct iv_piece));
  GPtrArray *offers = iv_offers_new ();
  struct iv_cell_backlog known;
  GArray *read_pieces;
  GPtrArray *read_offers;
  char *text;
  capacity.backlog.capacity_milli = 800;
  capacity.backlog.waiting[0] = 5;
  capacity.backlog.waiting[3] = 7;
  capacity.backlog.on_time[3][15] = 6;
  g_array_append_vals (pieces, rows, G_N_ELEMENTS (rows));
  iv_offers_row (offers, "backlog 9 9", "", 0)->workers = 3;
  text = iv_cell_loads_format (&capacity, pieces, offers);
  assert_non_null (strstr (text, "1 0 0 0 0 9000:100 4000:100 backlog 700 800 0=5 3=7 3.15=6 | "));
  read_pieces = iv_pieces_parse (text + strlen ("1 0 0 0 0"));
  read_offers = iv_offers_parse (text + strlen ("1 0 0 0 0"));
  assert_int_equal (read_pieces->len, 2);
  assert_int_equal (read_offers->len, 1);
  iv_cell_loads_apply (loads, 0, text, NOW_MS);
  assert_true (iv_cell_loads_backlog (loads, 0, NOW_MS, &known));
  assert_memory_equal (&known.backlog, &capacity.backlog, sizeof known.backlog);
  g_free (text);
  g_array_unref (read_pieces);
  g_ptr_array_unref (read_offers);
  g_array_unref (pieces);
  g_ptr_array_unref (offers);
  iv_cell_loads_free (loads);
}

/* Load: forty hosts decide alone behind a backlog of 7 s, each until its first refusal. Together
   they accept at most what fits and one job each. */
static void
test_accepted_jobs_count_until_the_next_record (void **state)
{
  static const char some[] = "0 0 0 0 0 backlog 1000000 1000000 1=7000000 1.3=7000000";
  struct iv_admission admission;
  guint alone = 0;
  guint together = 0;
  for (guint i = 0; i <= HOSTS; i++)
    {
      struct iv_cell_loads *loads = iv_cell_loads_new ();
      guint count = 0;
      iv_cell_loads_apply (loads, 0, some, NOW_MS);
      while (count < JOBS_MAX && decide (loads, 1, i == 0 ? 1 : HOSTS, NOW_MS, &admission))
        count++;
      if (i == 0)
        alone = count;
      else
        together += count;
      iv_cell_loads_apply (loads, 0, some, NOW_MS + 500);
      assert_true (decide (loads, 1, 1, NOW_MS + 500, &admission));
      iv_cell_loads_free (loads);
    }
  print_message ("alone=%u together=%u\n", alone, together);
  assert_true (together <= alone + HOSTS);
}

/* Load: a full cell, and jobs that no forecast is made for: long-running, best-effort or with a
   schedule. */
static void
test_other_jobs_are_accepted (void **state)
{
  static const u_int flags[] = { IVJ_LONG_RUNNING, IVJ_BEST_EFFORT };
  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    {
      step.flags = flags[i];
      assert_true (accepts (full, 0));
    }
  step.flags = 0;
  spec.times = 2;
  assert_true (accepts (full, 0));
  spec.times = 0;
  spec.first_ms = 1;
  assert_true (accepts (full, 0));
  spec.first_ms = 0;
  assert_false (accepts (full, 0));
}

/* Load: a full cell and a job whose tasks the cell holds only in waves that take longer than it has
   value. It is not hopeless because of the load. */
static void
test_chain_that_is_too_long_is_accepted (void **state)
{
  step.count = 25000;
  assert_true (accepts (full, 0));
  step.count = 250;
  assert_false (accepts (full, 0));
}

/* Guards against advice that takes a growing backlog for one that shrinks. */
static void
test_shrinking (void **state)
{
  struct iv_cell_loads *loads = iv_cell_loads_new ();
  struct iv_cell_backlog known;
  iv_cell_loads_apply (loads, 0, full, NOW_MS);
  assert_true (iv_cell_loads_backlog (loads, 0, NOW_MS, &known));
  assert_int_equal (known.shrink_milli, 0);
  iv_cell_loads_apply (loads, 0, "0 0 0 0 0 backlog 1000000 1000000 1=19000000", NOW_MS + 500);
  assert_true (iv_cell_loads_backlog (loads, 0, NOW_MS + 500, &known));
  assert_int_equal (known.shrink_milli, 1000000);
  iv_cell_loads_apply (loads, 0, full, NOW_MS + 1000);
  assert_true (iv_cell_loads_backlog (loads, 0, NOW_MS + 1000, &known));
  assert_true (known.shrink_milli < 0);
  iv_cell_loads_free (loads);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_age_of_records),
    cmocka_unit_test (test_missing_records_accept),
    cmocka_unit_test (test_other_cells),
    cmocka_unit_test (test_record_is_readable_for_both_releases),
    cmocka_unit_test (test_accepted_jobs_count_until_the_next_record),
    cmocka_unit_test (test_other_jobs_are_accepted),
    cmocka_unit_test (test_chain_that_is_too_long_is_accepted),
    cmocka_unit_test (test_shrinking),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
