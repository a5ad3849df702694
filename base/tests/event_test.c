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

/* One event name is limited per second and its suppressed lines are counted; other names are not
   affected. */
static void
test_rate_limit_per_event_name (void **state)
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

/* Logging must not block when the reader of standard output stops reading: 60 names of 100 lines
   exceed the capacity of the pipe. */
static void
test_full_pipe_does_not_block (void **state)
{
  int pipe_fds[2];
  int saved_stdout = dup (STDOUT_FILENO);
  char first_byte;
  assert_int_equal (pipe (pipe_fds), 0);
  fflush (stdout);
  dup2 (pipe_fds[1], STDOUT_FILENO);
  iv_event_init ("host", IV_LEVEL_INFO);
  for (guint name_index = 0; name_index < 60; name_index++)
    {
      char name[32];
      g_snprintf (name, sizeof name, "kind.%u", name_index);
      for (guint i = 0; i < IV_EVENT_LINES_PER_S_MAX; i++)
        iv_event (IV_LEVEL_INFO, name, "text=%0200d", 7);
    }
  dup2 (saved_stdout, STDOUT_FILENO);
  assert_int_equal (read (pipe_fds[0], &first_byte, 1), 1);
  assert_int_equal (first_byte, 't');
  close (pipe_fds[0]);
  close (pipe_fds[1]);
  close (saved_stdout);
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
          cmocka_unit_test (test_rate_limit_per_event_name),
          cmocka_unit_test (test_full_pipe_does_not_block), cmocka_unit_test (test_status) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
