#include "cell_loads.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define NOW_MS 10000
#define LOAD_MAX_AGE_MS 2000

/* The cell that is chosen for a job of the step @a step; NULL: of none that asks for anything. */
static gint
find_target (struct iv_cell_loads *loads, guint cell, gint64 cpu_milli, enum iv_capacity_kind kind,
             ivj_step *step)
{
  struct iv_move_needs needs = { cpu_milli, kind, "ledger", g_ptr_array_new () };
  gint target;
  if (step)
    g_ptr_array_add (needs.steps, step);
  target = iv_cell_loads_find_target (loads, cell, -1, &needs, NOW_MS);
  g_ptr_array_unref (needs.steps);
  return target;
}

/* Cells of an earlier release record no pieces. */
static void
test_earlier_releases_record_less (void **state)
{
  struct iv_cell_loads *loads = iv_cell_loads_new ();
  struct iv_piece need = { 1000, 10 };
  iv_cell_loads_apply (loads, 1, "5000 6000 7000", NOW_MS);
  iv_cell_loads_apply (loads, 2, "5000 6000 9000 4000 3000", NOW_MS);
  assert_int_equal (find_target (loads, 0, 2000, IV_CAPACITY_EVACUATION, NULL), 2);
  assert_int_equal (find_target (loads, 0, 2500, IV_CAPACITY_EVACUATION, NULL), -1);
  assert_int_equal (iv_cell_loads_count_elsewhere (loads, 0, &need, NOW_MS), 0);
  iv_cell_loads_free (loads);
}

static void
test_pieces_of_other_cells (void **state)
{
  static const struct iv_piece rows[] = { { 9000, 100 }, { 4000, 100 } };
  struct iv_cell_capacity capacity = { .free_milli = 1, .evacuation_large_milli = -5 };
  struct iv_cell_loads *loads = iv_cell_loads_new ();
  struct iv_piece need = { 3000, 30 };
  GArray *pieces = g_array_new (FALSE, FALSE, sizeof (struct iv_piece));
  char *text;
  g_array_append_vals (pieces, rows, G_N_ELEMENTS (rows));
  text = iv_cell_loads_format (&capacity, pieces, NULL);
  assert_string_equal (text, "1 0 0 0 -5 9000:100 4000:100");
  iv_cell_loads_apply (loads, 1, text, NOW_MS);
  assert_int_equal (iv_cell_loads_count_elsewhere (loads, 0, &need, NOW_MS), 4);
  assert_int_equal (iv_cell_loads_count_elsewhere (loads, 1, &need, NOW_MS), 0);
  assert_int_equal (iv_cell_loads_count_elsewhere (loads, 0, &need, NOW_MS + LOAD_MAX_AGE_MS + 1),
                    0);
  g_free (text);
  g_array_unref (pieces);
  iv_cell_loads_free (loads);
}

/* Guards against jobs that are accepted, or moved, by one record of a load, one after the other. */
static void
test_what_is_chosen_counts_as_used (void **state)
{
  struct iv_cell_loads *loads = iv_cell_loads_new ();
  assert_true (iv_cell_loads_admit (loads, 3000, NOW_MS));
  iv_cell_loads_apply (loads, 0, "0 0 5000 0 0", NOW_MS);
  iv_cell_loads_apply (loads, 1, "0 0 1000 5000 5000", NOW_MS);
  assert_true (iv_cell_loads_admit (loads, 3000, NOW_MS));
  assert_false (iv_cell_loads_admit (loads, 3000, NOW_MS));
  assert_int_equal (find_target (loads, 0, 3000, IV_CAPACITY_EVACUATION, NULL), 1);
  assert_int_equal (find_target (loads, 0, 3000, IV_CAPACITY_EVACUATION, NULL), -1);
  iv_cell_loads_free (loads);
}

/* Numbers of @a jobs new jobs of @a cell that each of three cells gets. */
static void
count_choices (struct iv_cell_loads *loads, guint cell, guint jobs, guint counts[3])
{
  struct iv_move_needs needs = { 1, IV_CAPACITY_BATCH, "ledger", g_ptr_array_new () };
  counts[0] = counts[1] = counts[2] = 0;
  for (guint i = 0; i < jobs; i++)
    counts[iv_cell_loads_choose (loads, cell, &needs, (double)i / jobs, NOW_MS)]++;
  g_ptr_array_unref (needs.steps);
}

/* Guards against the load of two full cells beside one that is nearly empty: new jobs of the full
   ones go where capacity is, in proportion, so that owners that read the same records do not all
   fill one cell. */
static void
test_new_jobs_follow_free_capacity (void **state)
{
  struct iv_cell_loads *loads = iv_cell_loads_new ();
  guint counts[3];
  iv_cell_loads_apply (loads, 0, "400000 0 0", NOW_MS);
  iv_cell_loads_apply (loads, 1, "600000 0 0", NOW_MS);
  iv_cell_loads_apply (loads, 2, "3000000 0 0", NOW_MS);
  count_choices (loads, 0, 1000, counts);
  assert_in_range (counts[0], 95, 105);
  assert_in_range (counts[1], 145, 155);
  assert_in_range (counts[2], 745, 755);
  count_choices (loads, 2, 1000, counts);
  assert_int_equal (counts[2], 1000);
  iv_cell_loads_free (loads);
}

/* Guards against moves between cells that differ little, and by records that are missing, or older
   than an owner that was lost. */
static void
test_new_jobs_stay_where_little_is_gained (void **state)
{
  struct iv_cell_loads *loads = iv_cell_loads_new ();
  guint counts[3];
  iv_cell_loads_apply (loads, 0, "900000 0 0", NOW_MS);
  count_choices (loads, 0, 100, counts);
  assert_int_equal (counts[0], 100);
  iv_cell_loads_apply (loads, 1, "1100000 0 0", NOW_MS);
  count_choices (loads, 0, 100, counts);
  assert_int_equal (counts[0], 100);
  iv_cell_loads_apply (loads, 0, "0 0 0", NOW_MS - LOAD_MAX_AGE_MS - 1);
  count_choices (loads, 0, 100, counts);
  assert_int_equal (counts[0], 100);
  iv_cell_loads_apply (loads, 0, "0 0 0", NOW_MS);
  iv_cell_loads_apply (loads, 1, "0 0 0", NOW_MS);
  count_choices (loads, 0, 100, counts);
  assert_int_equal (counts[0], 100);
  iv_cell_loads_free (loads);
}

/* Guards against a job that waits where nothing can hold it, or moves to where nothing can: what
   another cell holds decides before what it has free. */
static void
test_job_moves_to_a_cell_that_can_hold_it (void **state)
{
  static const struct
  {
    ivj_step step;
    enum iv_capacity_kind kind;
    gint cell;
  } rows[] = {
    { { .count = 2, .cpu_milli = 1000, .label = "b" }, IV_CAPACITY_ANY, 2 },
    { { .count = 2, .cpu_milli = 1000, .label = "b" }, IV_CAPACITY_BATCH, 2 },
    { { .count = 2, .cpu_milli = 1000, .label = "" }, IV_CAPACITY_BATCH, 1 },
    { { .count = 2, .cpu_milli = 1000, .label = "c" }, IV_CAPACITY_BATCH, -1 },
    { { .count = 2, .cpu_milli = 9000, .label = "b" }, IV_CAPACITY_ANY, -1 },
    { { .count = 2, .cpu_milli = 1000, .accelerators = 1, .label = "" }, IV_CAPACITY_ANY, -1 },
    { { .count = 8, .cpu_milli = 1000, .label = "b", .flags = IVJ_GANG }, IV_CAPACITY_ANY, 2 },
    { { .count = 9, .cpu_milli = 1000, .label = "b", .flags = IVJ_GANG }, IV_CAPACITY_ANY, -1 },
    { { .count = 2, .cpu_milli = 1000, .label = "b", .flags = IVJ_LONG_RUNNING },
      IV_CAPACITY_EVACUATION,
      2 },
    { { .count = 5, .cpu_milli = 1000, .label = "b", .flags = IVJ_LONG_RUNNING },
      IV_CAPACITY_EVACUATION,
      -1 },
    { { .count = 5, .cpu_milli = 1000, .label = "b", .flags = IVJ_LONG_RUNNING },
      IV_CAPACITY_ANY,
      2 },
    { { .count = 2, .cpu_milli = 1000, .label = "a", .flags = IVJ_LONG_RUNNING },
      IV_CAPACITY_EVACUATION,
      1 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct iv_cell_loads *loads = iv_cell_loads_new ();
      ivj_step step = rows[i].step;
      iv_cell_loads_apply (loads, 0, "1 1 1 1 1 | ledger *,c 2 8000 8000 0", NOW_MS);
      iv_cell_loads_apply (loads, 1, "90000 0 0 90000 0 | ledger *,a 20 8000 8000 0", NOW_MS);
      iv_cell_loads_apply (loads, 2,
                           "50000 0 0 50000 0 | ledger * 4 8000 8000 0"
                           " | ledger b 1 8000 8000 0 =  4000:8000",
                           NOW_MS);
      assert_int_equal (find_target (loads, 0, 2000, rows[i].kind, &step), rows[i].cell);
      iv_cell_loads_free (loads);
    }
}

/* A cell that tells nothing, as those of an earlier release, is no cell without the label: it comes
   after those that tell of it. */
static void
test_cell_that_does_not_tell_may_hold_a_job (void **state)
{
  struct iv_cell_loads *loads = iv_cell_loads_new ();
  ivj_step step = { .count = 1, .cpu_milli = 1000, .label = "b" };
  iv_cell_loads_apply (loads, 1, "90000 0 0 0 0 9000:9000", NOW_MS);
  assert_int_equal (find_target (loads, 0, 0, IV_CAPACITY_ANY, &step), 1);
  assert_int_equal (iv_cell_loads_find_delegate (loads, 0, "ledger", &step, NOW_MS), -1);
  iv_cell_loads_apply (loads, 2, "1 0 0 0 0 9000:9000 | ledger *,b 1 9000 9000 0", NOW_MS);
  assert_int_equal (find_target (loads, 0, 0, IV_CAPACITY_ANY, &step), 2);
  assert_int_equal (iv_cell_loads_find_delegate (loads, 0, "ledger", &step, NOW_MS), 2);
  iv_cell_loads_free (loads);
}

/* Guards against tasks that are delegated to workers without their label, one after the other to
   the same piece. */
static void
test_delegate_has_the_label (void **state)
{
  struct iv_cell_loads *loads = iv_cell_loads_new ();
  ivj_step step = { .count = 1, .cpu_milli = 3000, .label = "b" };
  iv_cell_loads_apply (loads, 1, "1 0 0 0 0 9000:9000 | ledger *,a 1 9000 9000 0", NOW_MS);
  assert_int_equal (iv_cell_loads_find_delegate (loads, 0, "ledger", &step, NOW_MS), -1);
  iv_cell_loads_apply (loads, 2,
                       "1 0 0 0 0 9000:9000 | ledger * 9 9000 9000 0"
                       " | ledger b 1 9000 9000 0 =  4000:9000",
                       NOW_MS);
  assert_int_equal (iv_cell_loads_find_delegate (loads, 0, "ledger", &step, NOW_MS), 2);
  assert_int_equal (iv_cell_loads_find_delegate (loads, 0, "ledger", &step, NOW_MS), -1);
  iv_cell_loads_free (loads);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_earlier_releases_record_less),
    cmocka_unit_test (test_pieces_of_other_cells),
    cmocka_unit_test (test_what_is_chosen_counts_as_used),
    cmocka_unit_test (test_new_jobs_follow_free_capacity),
    cmocka_unit_test (test_new_jobs_stay_where_little_is_gained),
    cmocka_unit_test (test_job_moves_to_a_cell_that_can_hold_it),
    cmocka_unit_test (test_cell_that_does_not_tell_may_hold_a_job),
    cmocka_unit_test (test_delegate_has_the_label),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
