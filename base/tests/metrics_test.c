#include "counter.h"
#include "event.h"
#include "histogram.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static void
test_buckets_are_cumulative (void **state)
{
  struct iv_histogram *histogram = iv_histogram_get ("x_ms", "Some latency.");
  char *text;
  assert_ptr_equal (histogram, iv_histogram_get ("x_ms", ""));
  iv_histogram_add (histogram, -5);
  iv_histogram_add (histogram, 3);
  iv_histogram_add (histogram, 5);
  iv_histogram_add (histogram, 70000);
  iv_histogram_add (histogram, G_MAXINT64);
  text = iv_histograms_text ();
  assert_non_null (strstr (text, "# TYPE x_ms histogram\n"));
  assert_non_null (strstr (text, "x_ms_bucket{le=\"1\"} 1\n"));
  assert_non_null (strstr (text, "x_ms_bucket{le=\"5\"} 2\n"));
  assert_non_null (strstr (text, "x_ms_bucket{le=\"10\"} 3\n"));
  assert_non_null (strstr (text, "x_ms_bucket{le=\"10000\"} 3\n"));
  assert_non_null (strstr (text, "x_ms_bucket{le=\"+Inf\"} 5\n"));
  assert_non_null (strstr (text, "x_ms_count 5\n"));
  g_free (text);
}

/* Events whose lines are suppressed are counted too. */
static void
test_suppressed_events_are_counted (void **state)
{
  guint suppressed;
  char *text;
  for (guint i = 0; i < 2 * IV_EVENT_LINES_PER_S_MAX; i++)
    iv_event_admit ("some.event", 7, &suppressed);
  text = iv_counters_text ();
  assert_non_null (strstr (text, "ibisvane_events_total{event=\"some.event\"} 200\n"));
  g_free (text);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_buckets_are_cumulative),
    cmocka_unit_test (test_suppressed_events_are_counted),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
