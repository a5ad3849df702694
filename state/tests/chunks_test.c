#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "chunks.h"

static GByteArray *
make_snapshot (guint len)
{
  GByteArray *bytes = g_byte_array_new ();
  for (guint i = 0; i < len; i++)
    {
      guint8 byte = (guint8)(i * 31);
      g_byte_array_append (bytes, &byte, 1);
    }
  return bytes;
}

static const GByteArray *
add_record (struct iv_chunks *assembler, GArray *records, guint index, guint64 *end_offset)
{
  ivx_batch batch = { .records = { 1, &g_array_index (records, ivx_record, index) } };
  return iv_chunks_add (assembler, &batch, end_offset);
}

static void
test_split_and_reassemble (void **state)
{
  GByteArray *bytes = make_snapshot (300000);
  GArray *records = iv_records_new ();
  struct iv_chunks *assembler = iv_chunks_new ();
  const GByteArray *snapshot;
  guint64 end_offset = 0;
  iv_chunks_split (records, bytes, 42);
  assert_int_equal (records->len, 3);
  assert_null (add_record (assembler, records, 0, &end_offset));
  assert_null (add_record (assembler, records, 1, &end_offset));
  assert_null (add_record (assembler, records, 1, &end_offset));
  snapshot = add_record (assembler, records, 2, &end_offset);
  assert_non_null (snapshot);
  assert_int_equal (end_offset, 42);
  assert_int_equal (snapshot->len, bytes->len);
  assert_memory_equal (snapshot->data, bytes->data, bytes->len);
  iv_chunks_free (assembler);
  g_array_free (records, TRUE);
  g_byte_array_free (bytes, TRUE);
}

static void
test_missing_or_corrupt_chunk (void **state)
{
  GByteArray *bytes = make_snapshot (300000);
  GArray *records = iv_records_new ();
  struct iv_chunks *assembler = iv_chunks_new ();
  guint64 end_offset;
  iv_chunks_split (records, bytes, 1);
  assert_null (add_record (assembler, records, 0, &end_offset));
  assert_null (add_record (assembler, records, 2, &end_offset));
  g_array_index (records, ivx_record, 1).ivx_record_u.chunk.bytes.bytes_val[5] ^= 1;
  assert_null (add_record (assembler, records, 1, &end_offset));
  assert_null (add_record (assembler, records, 2, &end_offset));
  iv_chunks_free (assembler);
  g_array_free (records, TRUE);
  g_byte_array_free (bytes, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_split_and_reassemble),
                                      cmocka_unit_test (test_missing_or_corrupt_chunk) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
