#include "trace.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define LINE(time, host, rest) "time=2026-01-01T00:00:" time "Z level=info host=" host " " rest "\n"
#define ID "00000000000000aa"

static struct iv_trace *
read_text (const char *text, const char *id)
{
  FILE *file = fmemopen ((char *)text, strlen (text), "r");
  struct iv_trace *trace = iv_trace_read (file, id);
  fclose (file);
  return trace;
}

static void
assert_cause (const char *logs, const char *id, const char *expected)
{
  struct iv_trace *trace = read_text (logs, id);
  char *cause = iv_trace_cause (trace);
  assert_string_equal (cause, expected);
  g_free (cause);
  iv_trace_free (trace);
}

static const char late_job_log[]
    = LINE ("03.000", "h2",
            "event=job.ended job=" ID " queue=/q/ state=completed took_ms=2990"
            " objective_left_ms=-40") "# no log line\n" LINE ("01.000", "h1",
                                                              "event=job.accepted job=" ID
                                                              " outcome=ok offset=7")
        LINE ("01.300", "h2", "event=job.begun job=" ID " queue=/q/ worker=w waited_ms=290")
            LINE ("02.000", "h2", "event=run.ended task=" ID ".0.0.1 run=1 worker=w how=failed")
                LINE ("02.000", "h2",
                      "event=run.ended task=00000000000000ab.0.0.1 run=1 worker=w how=failed")
                    LINE ("02.500", "h2", "event=log.left_out of=run.ended lines=7")
                        LINE ("04.000", "h2", "event=log.left_out of=run.ended lines=8");

static void
test_timeline_is_ordered_and_gaps_are_listed (void **state)
{
  struct iv_trace *trace = read_text (late_job_log, ID);
  char *text = iv_trace_text (trace);
  assert_int_equal (iv_trace_line_count (trace), 4);
  assert_true (strstr (text, "job.accepted") < strstr (text, "job.begun"));
  assert_true (strstr (text, "job.begun") < strstr (text, "job.ended"));
  assert_null (strstr (text, "00000000000000ab"));
  assert_non_null (strstr (text, "gap: 2026-01-01T00:00:02.500Z h2 log.left_out"));
  assert_null (strstr (text, "lines=8"));
  g_free (text);
  text = iv_trace_json (trace);
  assert_non_null (strstr (text, "\"cause\": \"completed after 2990 ms, 40 ms late"));
  g_free (text);
  iv_trace_free (trace);
}

static void
test_causes (void **state)
{
  assert_cause (late_job_log, ID,
                "completed after 2990 ms, 40 ms late; waited 290 ms for a place; 1 runs failed");
  assert_cause (late_job_log, "00000000000000ff", "no line names it");
  assert_cause (LINE ("01.000", "h1",
                      "event=request.refused job=" ID
                      " status=503 retry_s=1 reason=\"the store is not available\""),
                ID, "refused: the store is not available");
  assert_cause (LINE ("01.000", "h1", "event=job.accepted job=" ID " outcome=ok offset=7"), ID,
                "accepted, not ended in these logs");
  assert_cause (LINE ("01.000", "h1", "event=job.ended job=" ID " state=failed"), ID,
                "it ended, and the line that says how cannot be read");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_timeline_is_ordered_and_gaps_are_listed),
    cmocka_unit_test (test_causes),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
