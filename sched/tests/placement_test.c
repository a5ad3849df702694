#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "placement.h"

static const struct iv_weights weights
    = { .tail = 1, .throughput = 1, .packing = 0.2, .spread = 0.5, .caution = 0 };

static void
apply (struct iv_cell *cell, ivx_record record)
{
  static guint64 sequence;
  ivx_batch batch = {
    .writer = 1, .incarnation = 1, .sequence = ++sequence, .term = 1, .records = { 1, &record }
  };
  iv_cell_apply (cell, cell->next, &batch);
}

static struct iv_cell *
cell_with (guint workers, guint32 accelerators_on_last)
{
  struct iv_cell *cell = iv_cell_new ("a");
  ivx_record claim = { .kind = IVX_CLAIM };
  char name[16];
  claim.ivx_record_u.claim = (ivx_claim){ 1, (char *)"h" };
  apply (cell, claim);
  for (guint i = 0; i < workers; i++)
    {
      ivx_record record = { .kind = IVX_WORKER };
      snprintf (name, sizeof name, "w%u", i);
      record.ivx_record_u.worker
          = (ivx_worker){ name,
                          (char *)(i % 2 ? "r1" : "r0"),
                          (char *)"a",
                          { 8000, 8000, i + 1 == workers ? accelerators_on_last : 0 },
                          0 };
      apply (cell, record);
    }
  return cell;
}

static gboolean
all_usable (void *context, const struct iv_worker *worker)
{
  return context == NULL || worker->id != GPOINTER_TO_UINT (context);
}

static ivx_item
service (guint32 cpu)
{
  return (ivx_item){ .type = IVX_SERVICE, .name = (char *)"ledger", .size = { cpu, 100, 0 } };
}

static ivx_item
job (const char *name, guint32 cpu, guint32 accelerators)
{
  return (ivx_item){ .type = IVX_JOB, .name = (char *)name, .size = { cpu, 100, accelerators } };
}

static void
test_never_beyond_capacity (void **state)
{
  struct iv_cell *cell = cell_with (3, 0);
  struct iv_interference *model = iv_interference_new (NULL);
  struct iv_placement *pass
      = iv_placement_begin (cell, model, &weights, IV_STRATEGY_HARM, all_usable, NULL, 0);
  ivx_item item = job ("j", 3000, 0), large = job ("l", 9000, 0);
  guint counts[4] = { 0 };
  for (guint i = 0; i < 6; i++)
    counts[iv_placement_choose (pass, &item, i, NULL, TRUE)]++;
  assert_int_equal (counts[1] + counts[2] + counts[3], 6);
  assert_int_equal (iv_placement_choose (pass, &item, 0, NULL, TRUE), IV_NO_WORKER);
  iv_placement_undo (pass, &item, 2);
  assert_int_equal (iv_placement_choose (pass, &item, 0, NULL, TRUE), 2);
  assert_false (iv_placement_possible (pass, &large.size));
  iv_placement_end (pass);
  iv_interference_free (model);
  iv_cell_free (cell);
}

static void
test_services_spread (void **state)
{
  struct iv_cell *cell = cell_with (4, 0);
  struct iv_interference *model = iv_interference_new (NULL);
  struct iv_placement *pass
      = iv_placement_begin (cell, model, &weights, IV_STRATEGY_HARM, all_usable, NULL, 0);
  ivx_item item = service (1000);
  guint counts[5] = { 0 };
  for (guint i = 0; i < 4; i++)
    counts[iv_placement_choose (pass, &item, i, NULL, TRUE)]++;
  for (guint i = 1; i <= 4; i++)
    assert_int_equal (counts[i], 1);
  iv_placement_end (pass);
  iv_interference_free (model);
  iv_cell_free (cell);
}

static void
test_keeps_noise_from_services (void **state)
{
  struct iv_cell *cell = cell_with (2, 0);
  struct iv_interference *model = iv_interference_new (NULL);
  ivx_item ledger = service (1000), loud = job ("loud", 2000, 0);
  guint32 victim = iv_interference_workload (model, "ledger"),
          other = iv_interference_workload (model, "loud");
  struct iv_neighbour beside = { other, 0.5 };
  struct iv_placement *pass;
  guint32 home;
  for (gint64 i = 1; i < 50; i++)
    iv_interference_observe (model, victim, &beside, 1, 2, 1, i);
  pass = iv_placement_begin (cell, model, &weights, IV_STRATEGY_HARM, all_usable, NULL, 50);
  home = iv_placement_choose (pass, &ledger, 0, NULL, TRUE);
  for (guint i = 0; i < 4; i++)
    assert_int_not_equal (iv_placement_choose (pass, &loud, i, NULL, TRUE), home);
  assert_int_equal (iv_placement_choose (pass, &loud, 0, NULL, TRUE), home);
  iv_placement_end (pass);
  iv_interference_free (model);
  iv_cell_free (cell);
}

static void
test_avoided_and_unusable (void **state)
{
  struct iv_cell *cell = cell_with (3, 0);
  struct iv_interference *model = iv_interference_new (NULL);
  struct iv_placement *pass = iv_placement_begin (cell, model, &weights, IV_STRATEGY_HARM,
                                                  all_usable, GUINT_TO_POINTER (1), 0);
  GHashTable *avoid = g_hash_table_new (g_int64_hash, g_int64_equal);
  gint64 two = 2;
  ivx_item item = job ("j", 8000, 0);
  g_hash_table_add (avoid, &two);
  assert_int_equal (iv_placement_choose (pass, &item, 0, avoid, TRUE), 3);
  assert_int_equal (iv_placement_choose (pass, &item, 0, avoid, TRUE), 2);
  assert_int_equal (iv_placement_choose (pass, &item, 0, avoid, TRUE), IV_NO_WORKER);
  g_hash_table_destroy (avoid);
  iv_placement_end (pass);
  iv_interference_free (model);
  iv_cell_free (cell);
}

static void
test_accelerators_are_left_free (void **state)
{
  struct iv_cell *cell = cell_with (3, 2);
  struct iv_interference *model = iv_interference_new (NULL);
  struct iv_placement *pass
      = iv_placement_begin (cell, model, &weights, IV_STRATEGY_HARM, all_usable, NULL, 0);
  ivx_item plain = job ("p", 4000, 0), heavy = job ("h", 1000, 2);
  for (guint i = 0; i < 4; i++)
    assert_int_not_equal (iv_placement_choose (pass, &plain, i, NULL, TRUE), 3);
  assert_int_equal (iv_placement_choose (pass, &heavy, 0, NULL, TRUE), 3);
  assert_int_equal (iv_placement_choose (pass, &heavy, 0, NULL, TRUE), IV_NO_WORKER);
  iv_placement_end (pass);
  iv_interference_free (model);
  iv_cell_free (cell);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_never_beyond_capacity), cmocka_unit_test (test_services_spread),
          cmocka_unit_test (test_keeps_noise_from_services),
          cmocka_unit_test (test_avoided_and_unusable),
          cmocka_unit_test (test_accelerators_are_left_free) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
