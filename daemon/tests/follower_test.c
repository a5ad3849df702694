#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "follower.h"
#include "memory_log.h"

struct fixture
{
  struct memory_log log;
  struct iv_log_ops ops;
  struct iv_follower *follower;
  GString *events; /* offsets of applied batches; R and the end offset of restored snapshots */
  guint end_count;
};

static void
on_batch (void *context, guint64 offset, const ivx_batch *batch, const guint8 *bytes, gsize len)
{
  g_string_append_printf (((struct fixture *)context)->events, "%u ", (guint)offset);
}

static gboolean
on_restore (void *context, const guint8 *bytes, gsize len, guint64 end_offset)
{
  g_string_append_printf (((struct fixture *)context)->events, "R%u ", (guint)end_offset);
  return TRUE;
}

static void
on_end (void *context, gint64 requested_ms)
{
  ((struct fixture *)context)->end_count++;
}

static int
setup (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  f->ops = memory_log_init (&f->log);
  f->events = g_string_new (NULL);
  *state = f;
  return 0;
}

static void
start_follower (struct fixture *f)
{
  struct iv_follower_events events = { f, on_batch, on_restore, on_end };
  f->follower
      = iv_follower_new (&f->log.loop, f->log.deadlines, &f->ops, "s", 100, 100, FALSE, &events);
}

static void
complete_read (struct fixture *f, enum iv_status status)
{
  while (!f->log.reading)
    uv_run (&f->log.loop, UV_RUN_NOWAIT);
  memory_log_complete_read (&f->log, status);
}

static void
append_batch (struct fixture *f, ivx_batch *batch)
{
  GByteArray *bytes = iv_batch_encode (batch);
  fake_stream_append (f->log.stream, bytes->data, bytes->len,
                      (gint64)fake_stream_end (f->log.stream));
  g_byte_array_free (bytes, TRUE);
  iv_batch_clear (batch);
}

static void
append_empty_batches (struct fixture *f, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      ivx_batch batch = { .writer = 1, .incarnation = 1, .sequence = i };
      append_batch (f, &batch);
    }
}

static void
append_snapshot (struct fixture *f, guint64 end_offset)
{
  GByteArray *snapshot = g_byte_array_append (g_byte_array_new (), (const guint8 *)"state", 5);
  GArray *records = iv_records_new ();
  ivx_batch batch = { .writer = 1 };
  iv_chunks_split (records, snapshot, end_offset);
  iv_batch_take (&batch, records);
  append_batch (f, &batch);
  g_byte_array_free (snapshot, TRUE);
  g_array_free (records, TRUE);
}

static void
test_complete_from_first_record (void **state)
{
  struct fixture *f = *state;
  append_empty_batches (f, 3);
  start_follower (f);
  complete_read (f, IV_ERR_UNAVAILABLE);
  assert_false (iv_follower_is_complete (f->follower));
  complete_read (f, IV_OK);
  assert_true (iv_follower_is_complete (f->follower));
  assert_string_equal (f->events->str, "0 1 2 ");
  assert_int_equal (f->end_count, 1);
}

static void
test_expired_records_require_snapshot (void **state)
{
  struct fixture *f = *state;
  append_empty_batches (f, 4);
  fake_stream_expire (f->log.stream, 2);
  start_follower (f);
  complete_read (f, IV_OK);
  assert_false (iv_follower_is_complete (f->follower));
  assert_int_equal (f->end_count, 0);
  append_snapshot (f, 3);
  append_empty_batches (f, 1);
  complete_read (f, IV_OK);
  assert_true (iv_follower_is_complete (f->follower));
  assert_string_equal (f->events->str, "R3 3 4 5 ");
}

static void
test_snapshot_before_first_retained_is_not_used (void **state)
{
  struct fixture *f = *state;
  append_empty_batches (f, 4);
  append_snapshot (f, 1);
  fake_stream_expire (f->log.stream, 2);
  start_follower (f);
  complete_read (f, IV_OK);
  assert_false (iv_follower_is_complete (f->follower));
}

static void
test_gap_is_closed_by_snapshot (void **state)
{
  struct fixture *f = *state;
  append_empty_batches (f, 2);
  start_follower (f);
  complete_read (f, IV_OK);
  append_empty_batches (f, 4);
  append_snapshot (f, 5);
  fake_stream_expire (f->log.stream, 4);
  complete_read (f, IV_OK);
  assert_true (iv_follower_is_complete (f->follower));
  assert_string_equal (f->events->str, "0 1 R5 5 6 ");
}

static void
test_relayed_batches_applied_once_in_order (void **state)
{
  struct fixture *f = *state;
  ivx_batch batch = { .writer = 9 };
  GByteArray *bytes = iv_batch_encode (&batch);
  append_empty_batches (f, 1);
  start_follower (f);
  complete_read (f, IV_OK);
  iv_follower_apply_relayed (f->follower, 2, bytes->data, bytes->len);
  iv_follower_apply_relayed (f->follower, 1, bytes->data, bytes->len);
  iv_follower_apply_relayed (f->follower, 1, bytes->data, bytes->len);
  append_empty_batches (f, 2);
  complete_read (f, IV_OK);
  assert_string_equal (f->events->str, "0 1 2 ");
  g_byte_array_free (bytes, TRUE);
}

static int
teardown (void **state)
{
  struct fixture *f = *state;
  iv_follower_free (f->follower);
  memory_log_clear (&f->log);
  g_string_free (f->events, TRUE);
  g_free (f);
  return 0;
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_complete_from_first_record), TEST (test_expired_records_require_snapshot),
          TEST (test_snapshot_before_first_retained_is_not_used),
          TEST (test_gap_is_closed_by_snapshot),
          TEST (test_relayed_batches_applied_once_in_order) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
