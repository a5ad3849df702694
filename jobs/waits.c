#include "waits.h"

#include "counter.h"
#include "event.h"
#include "histogram.h"

#include <string.h>

static const char *const histogram_names[IV_PLACE_KINDS] = {
  [IV_PLACE_RACK] = "ibisvane_place_wait_rack_ms",
  [IV_PLACE_DATA] = "ibisvane_place_wait_data_ms",
  [IV_PLACE_GANG] = "ibisvane_place_wait_gang_ms",
};

static void
count_end (enum iv_place_kind kind, const char *outcome, gint64 waited_ms)
{
  char labels[64];
  g_snprintf (labels, sizeof labels, "kind=\"%s\",outcome=\"%s\"", iv_place_kind_name (kind),
              outcome);
  iv_counter_add (iv_counter_get ("ibisvane_place_waits_total", labels,
                                  "Waits for a preferred place that ended, by outcome."),
                  1);
  iv_histogram_add (
      iv_histogram_get (histogram_names[kind], "Waits for a preferred place, until they ended."),
      waited_ms);
}

static void
log_wait (const struct iv_wait *wait, const struct iv_wait_report *report, const char *outcome,
          struct iv_line_limit *limit)
{
  const struct iv_place_query *query = report->query;
  const struct iv_place_decision *decision = &report->decision;
  if (!iv_line_limit_admit (limit, query->now_ms))
    return;
  iv_event (IV_LEVEL_INFO, "place.waiting",
            "job=%s step=%u tasks=%u kind=%s place=%s outcome=%s reason=%s"
            " room_in_ms=%" G_GINT64_FORMAT " elsewhere_in_ms=%" G_GINT64_FORMAT
            " rest_ms=%" G_GINT64_FORMAT " far_milli=%" G_GINT64_FORMAT
            " waited_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT " suppressed=%u",
            report->job, report->step, report->waiting, iv_place_kind_name (report->kind),
            iv_quote (wait->place), outcome, iv_place_reason_name (decision->reason),
            decision->room_in_ms == IV_PLACE_NEVER ? -1 : decision->room_in_ms,
            query->elsewhere_in_ms == IV_PLACE_NEVER ? -1 : query->elsewhere_in_ms, query->rest_ms,
            query->far_factor_milli, query->now_ms - wait->since_ms,
            MAX (0, decision->until_ms - query->now_ms), limit->suppressed);
  limit->suppressed = 0;
}

static void
forget (struct iv_wait *wait)
{
  g_clear_pointer (&wait->place, g_free);
  wait->since_ms = 0;
}

/* The outcome of a wait that ends: all have started at the place, or they go elsewhere. */
static const char *
outcome_of (const struct iv_wait *wait, const struct iv_wait_report *report)
{
  const struct iv_place_query *query = report->query;
  gint64 cost_ms = query->rest_ms * MAX (0, query->far_factor_milli - 1000) / 1000;
  if (report->decision.place == NULL)
    return iv_place_reason_name (report->decision.reason);
  if (strcmp (report->decision.place, wait->place) != 0)
    return "another_place";
  return query->now_ms - wait->since_ms <= cost_ms ? "paid" : "late";
}

static void
end_wait (struct iv_wait *wait, const struct iv_wait_report *report, struct iv_line_limit *limit)
{
  const char *outcome = outcome_of (wait, report);
  count_end (wait->kind, outcome, report->query->now_ms - wait->since_ms);
  log_wait (wait, report, outcome, limit);
  forget (wait);
}

void
iv_wait_note (struct iv_wait *wait, const struct iv_wait_report *report,
              struct iv_line_limit *limit)
{
  const struct iv_place_decision *decision = &report->decision;
  gboolean goes_on = decision->place && report->waiting > 0;
  wait->fitted = decision->reason == IV_PLACE_FITS && report->waiting > 0;
  if (wait->place && (!goes_on || strcmp (wait->place, decision->place) != 0))
    end_wait (wait, report, limit);
  if (wait->place || !goes_on || decision->reason != IV_PLACE_WAITS)
    return;
  wait->place = g_strdup (decision->place);
  wait->kind = report->kind;
  wait->since_ms = report->query->now_ms;
  log_wait (wait, report, "begins", limit);
}

void
iv_wait_clear (struct iv_wait *wait, gint64 now_ms)
{
  wait->fitted = FALSE;
  if (wait->place == NULL)
    return;
  count_end (wait->kind, "withdrawn", now_ms - wait->since_ms);
  forget (wait);
}
