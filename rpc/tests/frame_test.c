#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "frame.h"

static gboolean
collect (void *context, const guint8 *bytes, gsize len)
{
  g_string_append_len (context, (const char *)bytes, (gssize)len);
  g_string_append_c (context, '|');
  return TRUE;
}

static void
test_records_from_single_bytes (void **state)
{
  static const guint8 stream[]
      = { 0, 0, 0, 2, 'a', 'b', 0x80, 0, 0, 1, 'c', 0x80, 0, 0, 0, 0x80, 0, 0, 1, 'd' };
  struct iv_frame_reader reader;
  GString *records = g_string_new (NULL);
  iv_frame_reader_init (&reader, 100);
  for (gsize i = 0; i < sizeof stream; i++)
    assert_int_equal (iv_frame_reader_push (&reader, stream + i, 1, collect, records), IV_OK);
  assert_string_equal (records->str, "abc||d|");
  iv_frame_reader_clear (&reader);
  g_string_free (records, TRUE);
}

static void
test_limits (void **state)
{
  static const guint8 too_large[] = { 0x80, 0, 0, 101 }, empty_fragment[] = { 0, 0, 0, 0 };
  static const guint8 too_large_in_sum[] = { 0, 0, 0, 1, 'a', 0x80, 0, 0, 100 };
  struct iv_frame_reader reader;
  iv_frame_reader_init (&reader, 100);
  assert_int_equal (iv_frame_reader_push (&reader, too_large, 4, collect, NULL), IV_ERR_LIMIT);
  iv_frame_reader_clear (&reader);
  iv_frame_reader_init (&reader, 100);
  assert_int_equal (iv_frame_reader_push (&reader, empty_fragment, 4, collect, NULL),
                    IV_ERR_INVALID);
  iv_frame_reader_clear (&reader);
  iv_frame_reader_init (&reader, 100);
  assert_int_equal (
      iv_frame_reader_push (&reader, too_large_in_sum, sizeof too_large_in_sum, collect, NULL),
      IV_ERR_LIMIT);
  iv_frame_reader_clear (&reader);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_records_from_single_bytes), cmocka_unit_test (test_limits) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
