/**
 * @file waits.h
 * Records of waits for a preferred place: counters of those that paid and did not, histograms of
 * their durations, and log lines.
 */
#ifndef IV_WAITS_H
#define IV_WAITS_H

#include "place_wait.h"
#include "run_time.h"

/** What a decision was about, and what came of it. */
struct iv_wait_report
{
  const char *job;
  guint step;
  enum iv_place_kind kind;
  const struct iv_place_query *query;
  struct iv_place_decision decision;
  guint waiting; /**< tasks that still wait after it */
};

/** Note the decision in @a report for the tasks whose wait is @a wait: a wait begins, goes on or
 *  ends. It has paid when all have started at the place, sooner than going elsewhere cost. */
void iv_wait_note (struct iv_wait *wait, const struct iv_wait_report *report,
                   struct iv_line_limit *limit);

/** The tasks do not wait any more for another reason. */
void iv_wait_clear (struct iv_wait *wait, gint64 now_ms);

#endif
