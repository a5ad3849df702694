#include "cell_loads.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define NOW_MS 10000
#define LOAD_MAX_AGE_MS 2000

/* Cells of an earlier release record no pieces. */
static void
test_earlier_releases_record_less (void **state)
{
  struct iv_cell_loads *loads = iv_cell_loads_new ();
  struct iv_piece need = { 1000, 10 };
  iv_cell_loads_apply (loads, 1, "5000 6000 7000", NOW_MS);
  iv_cell_loads_apply (loads, 2, "5000 6000 9000 4000 3000", NOW_MS);
  assert_int_equal (iv_cell_loads_find_target (loads, 0, 2000, IV_CAPACITY_EVACUATION, NOW_MS), 2);
  assert_int_equal (iv_cell_loads_find_target (loads, 0, 2500, IV_CAPACITY_EVACUATION, NOW_MS), -1);
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
  text = iv_cell_loads_format (&capacity, pieces);
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
  assert_int_equal (iv_cell_loads_find_target (loads, 0, 3000, IV_CAPACITY_EVACUATION, NOW_MS), 1);
  assert_int_equal (iv_cell_loads_find_target (loads, 0, 3000, IV_CAPACITY_EVACUATION, NOW_MS), -1);
  iv_cell_loads_free (loads);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_earlier_releases_record_less),
    cmocka_unit_test (test_pieces_of_other_cells),
    cmocka_unit_test (test_what_is_chosen_counts_as_used),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
