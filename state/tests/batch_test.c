#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "batch.h"
#include "writers.h"

static GByteArray *
encode_sample (void)
{
  ivx_batch batch = { .writer = 7, .incarnation = 2, .sequence = 9, .term = 4 };
  GArray *records = iv_records_new ();
  ivx_record record = { .kind = IVX_BIND };
  GByteArray *bytes;
  record.ivx_record_u.bind = (ivx_bind){ 3, 5 };
  iv_records_add (records, &record);
  record = (ivx_record){ .kind = IVX_CANCEL };
  record.ivx_record_u.cancel.job = iv_record_strdup ("dues");
  iv_records_add (records, &record);
  iv_batch_take (&batch, records);
  bytes = iv_batch_encode (&batch);
  iv_batch_clear (&batch);
  g_array_free (records, TRUE);
  return bytes;
}

static void
test_round_trip (void **state)
{
  GByteArray *bytes = encode_sample ();
  ivx_batch batch;
  assert_int_equal (iv_batch_decode (bytes->data, bytes->len, &batch), IV_OK);
  assert_int_equal (batch.sequence, 9);
  assert_int_equal (batch.records.records_len, 2);
  assert_int_equal (batch.records.records_val[0].ivx_record_u.bind.worker, 5);
  assert_string_equal (batch.records.records_val[1].ivx_record_u.cancel.job, "dues");
  iv_batch_clear (&batch);
  g_byte_array_free (bytes, TRUE);
}

static void
test_truncated_batch_is_rejected (void **state)
{
  GByteArray *bytes = encode_sample ();
  ivx_batch batch;
  for (guint len = 0; len < bytes->len; len++)
    assert_int_equal (iv_batch_decode (bytes->data, len, &batch), IV_ERR_INVALID);
  g_byte_array_append (bytes, (const guint8 *)"\0\0\0\0", 4);
  assert_int_equal (iv_batch_decode (bytes->data, bytes->len, &batch), IV_ERR_INVALID);
  assert_int_equal (iv_batch_decode (bytes->data, IV_BATCH_BYTES_MAX + 1, &batch), IV_ERR_LIMIT);
  g_byte_array_free (bytes, TRUE);
}

static gboolean
accepts (struct iv_writers *writers, guint64 writer, guint64 incarnation, guint64 sequence)
{
  ivx_batch batch = { .writer = writer, .incarnation = incarnation, .sequence = sequence };
  return iv_writers_accept (writers, &batch);
}

static void
test_writers_reject_repeated_batches (void **state)
{
  struct iv_writers writers;
  iv_writers_init (&writers);
  assert_true (accepts (&writers, 1, 1, 1));
  assert_false (accepts (&writers, 1, 1, 1));
  assert_true (accepts (&writers, 1, 1, 3));
  assert_false (accepts (&writers, 1, 1, 2));
  assert_true (accepts (&writers, 1, 2, 1));
  assert_false (accepts (&writers, 1, 1, 9));
  assert_true (accepts (&writers, 2, 1, 1));
  for (guint i = 0; i < IV_WRITERS_MAX + 10; i++)
    assert_true (accepts (&writers, 100 + i, 1, 1));
  assert_int_equal (writers.rows->len, IV_WRITERS_MAX);
  iv_writers_clear (&writers);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_round_trip), cmocka_unit_test (test_truncated_batch_is_rejected),
          cmocka_unit_test (test_writers_reject_repeated_batches) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
