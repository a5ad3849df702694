#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "span.h"

#define HEADER "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

static void
test_child_of_traceparent (void **state)
{
  struct iv_span span = iv_span_start (HEADER, strlen (HEADER)), child = iv_span_child (&span);
  char text[IV_TRACEPARENT_LEN + 1];
  assert_int_equal (span.parent_id, 0xb7ad6b7169203331);
  assert_int_equal (child.parent_id, span.span_id);
  iv_span_format (&child, text);
  assert_memory_equal (text, HEADER, 36);
  assert_int_equal (strlen (text), IV_TRACEPARENT_LEN);
}

static void
test_malformed_header_starts_new_trace (void **state)
{
  static const char *const malformed[]
      = { "",
          "00-",
          "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
          "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
          "00-00000000000000000000000000000000-b7ad6b7169203331-01",
          "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331+01" };
  for (guint i = 0; i < G_N_ELEMENTS (malformed); i++)
    {
      struct iv_span span = iv_span_start (malformed[i], strlen (malformed[i]));
      assert_int_equal (span.parent_id, 0);
      assert_true ((span.trace_hi | span.trace_lo) != 0);
    }
  assert_int_equal (iv_span_start (NULL, 0).parent_id, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_child_of_traceparent),
                                      cmocka_unit_test (test_malformed_header_starts_new_trace) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
