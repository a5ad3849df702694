#include "layout.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

static struct iv_rack_list *
make_racks (guint domains, guint racks, guint workers)
{
  struct iv_rack_list *list = iv_rack_list_new ();
  for (guint i = 0; i < domains * racks * workers; i++)
    {
      char domain[16], rack[16];
      g_snprintf (domain, sizeof domain, "d%u", i % domains);
      g_snprintf (rack, sizeof rack, "r%u-%u", i % domains, i / domains % racks);
      iv_rack_list_add (list, domain, rack);
    }
  return list;
}

static struct iv_layout *
build_layout (struct iv_rack_list *list, guint workers_per_cell)
{
  char *record = iv_layout_build (list, workers_per_cell);
  struct iv_layout *layout = iv_layout_parse (record, strlen (record));
  g_free (record);
  iv_rack_list_free (list);
  assert_non_null (layout);
  return layout;
}

static void
test_small_fleet_is_one_cell (void **state)
{
  struct iv_layout *layout = build_layout (make_racks (3, 2, 11), 80);
  assert_int_equal (iv_layout_cells (layout), 1);
  assert_int_equal (iv_layout_worker_cell (layout, "r0-0"), 0);
  assert_int_equal (iv_layout_worker_cell (layout, "new"), 0);
  iv_layout_free (layout);
}

static void
test_every_cell_has_racks_of_every_domain (void **state)
{
  struct iv_layout *layout = build_layout (make_racks (3, 14, 12), 80);
  guint cells = iv_layout_cells (layout);
  assert_int_equal (cells, 6);
  assert_int_equal (iv_layout_cell_workers (layout), 84);
  for (guint domain = 0; domain < 3; domain++)
    {
      guint racks[IV_CELLS_MAX] = { 0 };
      for (guint i = 0; i < 14; i++)
        {
          char rack[16];
          g_snprintf (rack, sizeof rack, "r%u-%u", domain, i);
          racks[iv_layout_worker_cell (layout, rack)]++;
        }
      for (guint cell = 0; cell < cells; cell++)
        assert_in_range (racks[cell], 2, 3);
    }
  iv_layout_free (layout);
}

static void
test_jobs_go_by_move_rack_and_id (void **state)
{
  struct iv_layout *layout = build_layout (make_racks (3, 14, 12), 80);
  ivj_step step = { .count = 1, .label = "", .data_rack = "", .image = "" };
  struct iv_job_entry job = { .moved_to = -1, .chosen_cell = -1 };
  guint jobs_per_cell[IV_CELLS_MAX] = { 0 };
  job.spec.steps.steps_len = 1;
  job.spec.steps.steps_val = &step;
  for (guint i = 0; i < 6000; i++)
    {
      snprintf (job.id, sizeof job.id, "%08x00000000", i * 2654435761u);
      jobs_per_cell[iv_layout_job_cell (layout, &job)]++;
    }
  for (guint i = 0; i < iv_layout_cells (layout); i++)
    assert_in_range (jobs_per_cell[i], 800, 1200);
  step.data_rack = "r1-5";
  assert_int_equal (iv_layout_job_cell (layout, &job), iv_layout_worker_cell (layout, "r1-5"));
  step.data_rack = "";
  step.label = "r2-7";
  assert_int_equal (iv_layout_job_cell (layout, &job), iv_layout_worker_cell (layout, "r2-7"));
  job.moved_to = 3;
  assert_int_equal (iv_layout_job_cell (layout, &job), 3);
  iv_layout_free (layout);
}

static void
test_malformed_records_are_refused (void **state)
{
  static const char *const malformed[]
      = { "", "x", "0 9", "25 9", "2", "2 9\n5 r", "2 9\n1", "2 9\n1 a\n", "-1 9", "2 9 9" };
  for (guint i = 0; i < G_N_ELEMENTS (malformed); i++)
    assert_null (iv_layout_parse (malformed[i], strlen (malformed[i])));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_small_fleet_is_one_cell),
    cmocka_unit_test (test_every_cell_has_racks_of_every_domain),
    cmocka_unit_test (test_jobs_go_by_move_rack_and_id),
    cmocka_unit_test (test_malformed_records_are_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
