#include "retry_advice.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define CALLERS 4000
#define RETRIES 4
#define SLOT_MS 100
#define SLOTS 400

/* What callers of an outage get. */
struct outcome
{
  double served_percent;
  double mean_delay_ms; /* of those that are served, from the first request */
  guint peak;           /* most returns within one slot */
};

typedef guint (*advice_fn) (gint64 lasted_ms, double random);

static guint
advise_1s (gint64 lasted_ms, double random)
{
  return 1;
}

static guint
advise_5s (gint64 lasted_ms, double random)
{
  return 5;
}

/* Follows the advice from @a since_ms on. The delay; -1: not served within the retries. */
static gint64
follow (advice_fn advise, gint64 outage_ms, gint64 since_ms, GRand *random, guint *slots)
{
  gint64 at_ms = since_ms;
  for (guint i = 0; i < RETRIES && at_ms < outage_ms; i++)
    {
      at_ms += advise (at_ms, g_rand_double (random)) * 1000;
      slots[at_ms / SLOT_MS]++;
    }
  return at_ms >= outage_ms ? at_ms - since_ms : -1;
}

static struct outcome
play (advice_fn advise, gint64 outage_ms)
{
  GRand *random = g_rand_new_with_seed (1);
  struct outcome outcome = { 0 };
  guint slots[SLOTS] = { 0 };
  guint served = 0;
  for (guint i = 0; i < CALLERS; i++)
    {
      gint64 since_ms = outage_ms * i / CALLERS;
      gint64 delay_ms = follow (advise, outage_ms, since_ms, random, slots);
      served += delay_ms >= 0;
      outcome.mean_delay_ms += (double)MAX (delay_ms, 0);
    }
  outcome.mean_delay_ms /= MAX (served, 1);
  outcome.served_percent = 100.0 * served / CALLERS;
  for (guint i = 0; i < SLOTS; i++)
    outcome.peak = MAX (outcome.peak, slots[i]);
  g_rand_free (random);
  return outcome;
}

/* Load: 4,000 callers that arrive evenly during an outage of the store. Guards against callers that
   run out of retries before the store is back, which the constant 1 s leaves refused in outages of
   more than 4 s, and against short outages that cost as much as the constant 5 s. */
static void
test_outages (void **state)
{
  static const gint64 outages_ms[] = { 500, 1000, 2000, 3000, 4000, 5000, 6000, 8000, 10000 };
  print_message ("outage_ms  advice: served%% delay_ms peak   1 s: ...   5 s: ...\n");
  for (guint i = 0; i < G_N_ELEMENTS (outages_ms); i++)
    {
      struct outcome advised = play (iv_retry_after_outage_s, outages_ms[i]);
      struct outcome one = play (advise_1s, outages_ms[i]);
      struct outcome five = play (advise_5s, outages_ms[i]);
      print_message ("%9d  %6.1f %6.0f %5u   %6.1f %6.0f %5u   %6.1f %6.0f %5u\n",
                     (int)outages_ms[i], advised.served_percent, advised.mean_delay_ms,
                     advised.peak, one.served_percent, one.mean_delay_ms, one.peak,
                     five.served_percent, five.mean_delay_ms, five.peak);
      if (outages_ms[i] <= 1000)
        assert_true (advised.mean_delay_ms <= 1000);
      /* Four retries with the least advice reach 8 s. */
      if (outages_ms[i] <= 8000)
        assert_true (advised.served_percent == 100);
      assert_true (advised.served_percent >= one.served_percent);
      assert_true (outages_ms[i] > 4000 || advised.mean_delay_ms < five.mean_delay_ms);
      assert_true (advised.peak <= one.peak);
    }
}

/* Load: 1,000 callers that are refused at the same moment of an outage. Guards against all of them
   returning together. */
static void
test_refused_together (void **state)
{
  static const gint64 moments_ms[] = { 1500, 2500, 4500, 9000 };
  static const guint shares[] = { 2, 3, 4, 4 };
  for (guint i = 0; i < G_N_ELEMENTS (moments_ms); i++)
    {
      guint returns[IV_RETRY_STORE_MAX_S + 1] = { 0 };
      for (guint j = 0; j < 1000; j++)
        returns[iv_retry_after_outage_s (moments_ms[i], j / 1000.0)]++;
      for (guint j = 0; j <= IV_RETRY_STORE_MAX_S; j++)
        assert_true (returns[j] <= 1000 / shares[i] + 1);
    }
}

/* Guards against advice out of bounds, for any age of an outage. */
static void
test_bounds (void **state)
{
  static const gint64 odd[] = { G_MININT64, -1, 0, 1, 999, 1000, 3600000, G_MAXINT64 };
  static const double randoms[] = { 0, 0.5, 0.999999 };
  for (guint i = 0; i < G_N_ELEMENTS (odd); i++)
    for (guint j = 0; j < G_N_ELEMENTS (randoms); j++)
      {
        double random = randoms[j];
        assert_in_range (iv_retry_after_outage_s (odd[i], random), 1, IV_RETRY_STORE_MAX_S);
        assert_in_range (iv_retry_after_loading_s (odd[i], 1, 2, random), 1, IV_RETRY_STORE_MAX_S);
        assert_in_range (iv_retry_after_loading_s (9000, odd[i], 9, random), 1,
                         IV_RETRY_STORE_MAX_S);
        assert_in_range (iv_retry_after_backlog_s (odd[i], 1000, random), 1,
                         IV_RETRY_CAPACITY_MAX_S);
        assert_in_range (iv_retry_after_backlog_s (1000, odd[i], random), 1,
                         IV_RETRY_CAPACITY_MAX_S);
      }
}

/* The rest of the loading is estimated from what was read; unknown, it takes as long again. */
static void
test_loading (void **state)
{
  assert_int_equal (iv_retry_after_loading_s (2000, 20, 80, 0), 6);
  assert_int_equal (iv_retry_after_loading_s (2000, 79, 80, 0), 1);
  assert_int_equal (iv_retry_after_loading_s (3000, 20, 0, 0), 3);
  assert_int_equal (iv_retry_after_loading_s (3000, 20, 0, 0.9), 6);
}

/* Load: a backlog of 20 core-seconds too many. Guards against returns before it has shrunk, and
   against all returning at once when it has. */
static void
test_backlog (void **state)
{
  assert_int_equal (iv_retry_after_backlog_s (20000, 5000, 0), 4);
  assert_int_equal (iv_retry_after_backlog_s (20000, 5000, 0.999), 8);
  assert_int_equal (iv_retry_after_backlog_s (20000, 0, 0), IV_RETRY_CAPACITY_MAX_S / 2);
  assert_int_equal (iv_retry_after_backlog_s (20000, -5, 0.999), IV_RETRY_CAPACITY_MAX_S);
  assert_int_equal (iv_retry_after_capacity_s (0), 5);
  assert_int_equal (iv_retry_after_capacity_s (0.999), 10);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_outages), cmocka_unit_test (test_refused_together),
    cmocka_unit_test (test_bounds),  cmocka_unit_test (test_loading),
    cmocka_unit_test (test_backlog),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
