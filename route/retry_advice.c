#include "retry_advice.h"

#define CAPACITY_EXPECTED_MS 5000 /* capacity is freed when long-running jobs are cancelled */

/* Least advice and number of choices by whole seconds that the store has been away. The first
   second is cheap, as outages may be short. After that, outages usually last 4 to 6 s: the choices
   span as long again as the outage has lasted, up to 4 s, and the least of them grow so that four
   retries of a caller from the first moment on, each with the least advice, reach 8 s. */
static const struct
{
  guint least;
  guint choices;
} outage_steps[] = { { 1, 1 }, { 2, 2 }, { 2, 3 }, { 2, 4 }, { 2, 4 },
                     { 3, 4 }, { 3, 4 }, { 4, 4 }, { 4, 4 }, { 5, 4 } };

guint
iv_retry_after_outage_s (gint64 lasted_ms, double random)
{
  gsize step = (gsize)CLAMP (lasted_ms / 1000, 0, (gint64)G_N_ELEMENTS (outage_steps) - 1);
  guint advice = outage_steps[step].least + (guint)(random * outage_steps[step].choices);
  return MIN (advice, IV_RETRY_STORE_MAX_S);
}

/* Whole seconds, rounded up, from @a expected_ms to twice that. */
static guint
spread_s (gint64 expected_ms, guint max_s, double random)
{
  gint64 bounded_ms = CLAMP (expected_ms, 1, (gint64)max_s * 1000);
  gint64 advice_ms = bounded_ms + (gint64)(random * (double)bounded_ms);
  return (guint)MIN ((advice_ms + 999) / 1000, (gint64)max_s);
}

guint
iv_retry_after_loading_s (gint64 lasted_ms, gint64 loaded, gint64 total, double random)
{
  gint64 rest_ms = MAX (lasted_ms, 0);
  if (total > 0 && loaded > 0)
    rest_ms = (gint64)((double)rest_ms * (double)MAX (total - loaded, 0) / (double)loaded);
  return spread_s (rest_ms, IV_RETRY_STORE_MAX_S, random);
}

/* At the bound the spread would be lost, so half of the bound is expected at most. */
guint
iv_retry_after_backlog_s (gint64 excess, gint64 shrink_milli, double random)
{
  double rest_ms = IV_RETRY_CAPACITY_MAX_S * 500.0;
  if (shrink_milli > 0)
    rest_ms = MIN (rest_ms, (double)MAX (excess, 0) * 1000.0 / (double)shrink_milli);
  return spread_s ((gint64)rest_ms, IV_RETRY_CAPACITY_MAX_S, random);
}

guint
iv_retry_after_capacity_s (double random)
{
  return spread_s (CAPACITY_EXPECTED_MS, IV_RETRY_CAPACITY_MAX_S, random);
}
