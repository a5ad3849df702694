#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "counter.h"
#include "event.h"
#include "status.h"

static void
test_quote (void **state)
{
  assert_string_equal (iv_quote ("plain"), "plain");
  assert_string_equal (iv_quote (""), "\"\"");
  assert_string_equal (iv_quote ("two words"), "\"two words\"");
  assert_string_equal (iv_quote ("a\"b"), "\"a\\\"b\"");
  assert_string_equal (iv_quote ("line\nbreak"), "\"line?break\"");
}

static void
test_counters (void **state)
{
  struct iv_counter *counter = iv_counter_get ("requests_total", "outcome=\"ok\"", "Requests.");
  char *text;
  iv_counter_add (counter, 2);
  assert_ptr_equal (iv_counter_get ("requests_total", "outcome=\"ok\"", "Requests."), counter);
  iv_gauge_set (iv_gauge_get ("release", "", "Release in force."), 9);
  text = iv_counters_text ();
  assert_string_equal (text, "# HELP release Release in force.\n# TYPE release gauge\nrelease 9\n"
                             "# HELP requests_total Requests.\n# TYPE requests_total counter\n"
                             "requests_total{outcome=\"ok\"} 2\n");
  g_free (text);
}

/* A flood of one kind is bounded, its rest is counted, and other kinds still come through. */
static void
test_budget (void **state)
{
  guint suppressed;
  for (guint i = 0; i < IV_EVENT_LINES_PER_S_MAX; i++)
    assert_true (iv_event_admit ("flood", 7, &suppressed));
  for (guint i = 0; i < 30; i++)
    assert_false (iv_event_admit ("flood", 7, &suppressed));
  assert_true (iv_event_admit ("other", 7, &suppressed));
  assert_true (iv_event_admit ("flood", 8, &suppressed));
  assert_int_equal (suppressed, 30);
  assert_true (iv_event_admit ("flood", 8, &suppressed));
  assert_int_equal (suppressed, 0);
}

/* Nobody reads the pipe: writing goes on without blocking. */
static void
test_unread_pipe_blocks_nothing (void **state)
{
  int ends[2];
  int out = dup (STDOUT_FILENO);
  char byte;
  assert_int_equal (pipe (ends), 0);
  fflush (stdout);
  dup2 (ends[1], STDOUT_FILENO);
  iv_event_init ("host", IV_LEVEL_INFO);
  for (guint kind = 0; kind < 60; kind++)
    {
      char name[32];
      g_snprintf (name, sizeof name, "kind.%u", kind);
      for (guint i = 0; i < IV_EVENT_LINES_PER_S_MAX; i++)
        iv_event (IV_LEVEL_INFO, name, "text=%0200d", 7);
    }
  dup2 (out, STDOUT_FILENO);
  assert_int_equal (read (ends[0], &byte, 1), 1);
  assert_int_equal (byte, 't');
  close (ends[0]);
  close (ends[1]);
  close (out);
}

static void
test_status (void **state)
{
  assert_int_equal (iv_fail (IV_ERR_LIMIT, "%d is too many", 3), IV_ERR_LIMIT);
  assert_string_equal (iv_last_message (), "3 is too many");
  assert_string_equal (iv_status_name (IV_ERR_LIMIT), "limit");
  assert_string_equal (iv_status_name ((enum iv_status)99), "unknown");
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_quote), cmocka_unit_test (test_counters),
          cmocka_unit_test (test_budget), cmocka_unit_test (test_unread_pipe_blocks_nothing),
          cmocka_unit_test (test_status) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
