#include "response_time.h"

#include <math.h>

/* Weights of a new sample, and of the deviation in the limit: RFC 6298, section 2. */
#define MEAN_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25
#define DEVIATIONS 4
#define LAPSES_MAX 16

void
iv_response_time_add (struct iv_response_time *time, gint64 took_ms)
{
  double sample_ms = (double)took_ms;
  time->lapses = 0;
  if (!time->known)
    {
      time->known = TRUE;
      time->smoothed_ms = sample_ms;
      time->deviation_ms = sample_ms / 2;
      return;
    }
  time->deviation_ms
      += DEVIATION_WEIGHT * (fabs (time->smoothed_ms - sample_ms) - time->deviation_ms);
  time->smoothed_ms += MEAN_WEIGHT * (sample_ms - time->smoothed_ms);
}

void
iv_response_time_lapse (struct iv_response_time *time)
{
  time->lapses = MIN (time->lapses + 1, LAPSES_MAX);
}

static gint64
least_limit_ms (const struct iv_response_time *time, gint64 min_ms)
{
  return MAX ((gint64)(time->smoothed_ms + DEVIATIONS * time->deviation_ms), min_ms);
}

gint64
iv_response_time_limit_ms (const struct iv_response_time *time, gint64 min_ms, gint64 max_ms)
{
  return MIN (least_limit_ms (time, min_ms) << time->lapses, max_ms);
}

gint64
iv_response_time_probe_ms (const struct iv_response_time *time, gint64 min_ms, gint64 max_ms)
{
  gint64 least_ms = least_limit_ms (time, min_ms);
  guint steps = 1;
  while (least_ms << (steps - 1) < max_ms)
    steps++;
  return MIN (least_ms << (time->lapses % steps), max_ms);
}
