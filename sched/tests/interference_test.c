#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <gsl/gsl_randist.h>
#include <math.h>

#include "interference.h"

static void
test_estimates_pairs_separately (void **state)
{
  struct iv_interference *model = iv_interference_new (NULL);
  guint32 victim = iv_interference_workload (model, "ledger"),
          noisy = iv_interference_workload (model, "loud"),
          quiet = iv_interference_workload (model, "quiet");
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  for (gint64 i = 1; i <= 200; i++)
    {
      struct iv_neighbour neighbours[2]
          = { { noisy, gsl_rng_uniform (rng) / 2 }, { quiet, gsl_rng_uniform (rng) / 2 } };
      double slowdown
          = 2 * neighbours[0].share + 0.1 * neighbours[1].share + gsl_ran_gaussian (rng, 0.05);
      iv_interference_observe (model, victim, neighbours, 2, slowdown, 1, i * 1000);
    }
  assert_true (fabs (iv_interference_pair (model, victim, noisy, 200000).mean - 2) < 0.2);
  assert_true (fabs (iv_interference_pair (model, victim, quiet, 200000).mean - 0.1) < 0.2);
  assert_true (iv_interference_pair (model, victim, noisy, 200000).variance < 0.02);
  gsl_rng_free (rng);
  iv_interference_free (model);
}

static void
test_stale_measurement_counts_once (void **state)
{
  struct iv_interference *model = iv_interference_new (NULL);
  guint32 victim = iv_interference_workload (model, "a"),
          other = iv_interference_workload (model, "b");
  struct iv_neighbour neighbour = { other, 0.5 };
  for (guint i = 0; i < 50; i++)
    iv_interference_observe (model, victim, &neighbour, 1, 3, 1, 1000);
  assert_int_equal (iv_interference_pair (model, victim, other, 1000).samples, 1);
  iv_interference_observe (model, victim, &neighbour, 1, 3, 2, 1000);
  assert_int_equal (iv_interference_pair (model, victim, other, 1000).samples, 2);
  iv_interference_free (model);
}

static void
test_uncertainty_grows_with_age (void **state)
{
  struct iv_interference *model = iv_interference_new (NULL);
  guint32 victim = iv_interference_workload (model, "a"),
          other = iv_interference_workload (model, "b");
  struct iv_neighbour neighbour = { other, 1 };
  for (gint64 i = 1; i < 50; i++)
    iv_interference_observe (model, victim, &neighbour, 1, 1, 1, i * 100);
  assert_true (iv_interference_slowdown (model, victim, other, 0.5, 1, 5000)
               < iv_interference_slowdown (model, victim, other, 0.5, 1, 3600000));
  assert_true (iv_interference_slowdown (model, victim, other, 0, 1, 5000) == 0);
  iv_interference_free (model);
}

static void
copy_pair (void *context, const char *victim, const char *other,
           const struct iv_pair_estimate *estimate)
{
  struct iv_interference *copy = context;
  iv_interference_set (copy, iv_interference_workload (copy, victim),
                       iv_interference_workload (copy, other), estimate, 1000);
}

/* Estimates copied by workload name are right even if the other model assigns other ids. */
static void
test_pairs_are_copied (void **state)
{
  static const struct iv_interference_prior prior
      = { .mean = 1, .variance = 4, .noise = 0.06, .drift_per_second = 0 };
  struct iv_interference *model = iv_interference_new (&prior);
  struct iv_interference *copy = iv_interference_new (&prior);
  guint32 victim = iv_interference_workload (model, "serve/");
  struct iv_neighbour neighbour = { iv_interference_workload (model, "fill/"), 0.5 };
  iv_interference_workload (copy, "fill/");
  for (gint64 i = 1; i <= 50; i++)
    iv_interference_observe (model, victim, &neighbour, 1, 2, 1, i * 10);
  iv_interference_foreach (model, copy_pair, copy, 500);
  assert_true (fabs (iv_interference_pair (copy, iv_interference_workload (copy, "serve/"),
                                           iv_interference_workload (copy, "fill/"), 1000)
                         .mean
                     - 4)
               < 0.2);
  iv_interference_free (copy);
  iv_interference_free (model);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_estimates_pairs_separately),
                                      cmocka_unit_test (test_stale_measurement_counts_once),
                                      cmocka_unit_test (test_pairs_are_copied),
                                      cmocka_unit_test (test_uncertainty_grows_with_age) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
