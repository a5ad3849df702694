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
  struct iv_log_ops edge;
  struct iv_follower *follower;
  GString *seen; /* offsets folded, and R for a restored snapshot */
  guint ends;
};

static void
on_batch (void *context, guint64 offset, const ivx_batch *batch, const guint8 *bytes, gsize len)
{
  g_string_append_printf (((struct fixture *)context)->seen, "%u ", (guint)offset);
}

static gboolean
on_restore (void *context, const guint8 *bytes, gsize len, guint64 covers)
{
  g_string_append_printf (((struct fixture *)context)->seen, "R%u ", (guint)covers);
  return TRUE;
}

static void
on_end (void *context, gint64 asked_ms)
{
  ((struct fixture *)context)->ends++;
}

static int
setup (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  f->edge = memory_log_init (&f->log);
  f->seen = g_string_new (NULL);
  *state = f;
  return 0;
}

static void
follow (struct fixture *f)
{
  struct iv_follower_events events = { f, on_batch, on_restore, on_end };
  f->follower
      = iv_follower_new (&f->log.loop, f->log.deadlines, &f->edge, "s", 100, 100, FALSE, &events);
}

static void
answer (struct fixture *f, enum iv_status status)
{
  while (!f->log.reading)
    uv_run (&f->log.loop, UV_RUN_NOWAIT);
  memory_answer_read (&f->log, status);
}

static void
put (struct fixture *f, ivx_batch *batch)
{
  GByteArray *bytes = iv_batch_encode (batch);
  fake_stream_append (f->log.stream, bytes->data, bytes->len,
                      (gint64)fake_stream_end (f->log.stream));
  g_byte_array_free (bytes, TRUE);
  iv_batch_clear (batch);
}

static void
append (struct fixture *f, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      ivx_batch batch = { .writer = 1, .incarnation = 1, .sequence = i };
      put (f, &batch);
    }
}

static void
append_snapshot (struct fixture *f, guint64 covers)
{
  GByteArray *snapshot = g_byte_array_append (g_byte_array_new (), (const guint8 *)"state", 5);
  GArray *records = iv_records_new ();
  ivx_batch batch = { .writer = 1 };
  iv_chunks_split (records, snapshot, covers);
  iv_batch_take (&batch, records);
  put (f, &batch);
  g_byte_array_free (snapshot, TRUE);
  g_array_free (records, TRUE);
}

static void
test_from_the_first_record (void **state)
{
  struct fixture *f = *state;
  append (f, 3);
  follow (f);
  answer (f, IV_ERR_UNAVAILABLE);
  assert_false (iv_follower_whole (f->follower));
  answer (f, IV_OK);
  assert_true (iv_follower_whole (f->follower));
  assert_string_equal (f->seen->str, "0 1 2 ");
  assert_int_equal (f->ends, 1);
}

static void
test_expired_needs_a_snapshot (void **state)
{
  struct fixture *f = *state;
  append (f, 4);
  fake_stream_expire (f->log.stream, 2);
  follow (f);
  answer (f, IV_OK);
  assert_false (iv_follower_whole (f->follower));
  assert_int_equal (f->ends, 0);
  append_snapshot (f, 3);
  append (f, 1);
  answer (f, IV_OK);
  assert_true (iv_follower_whole (f->follower));
  assert_string_equal (f->seen->str, "R3 3 4 5 ");
}

static void
test_snapshot_older_than_what_is_retained (void **state)
{
  struct fixture *f = *state;
  append (f, 4);
  append_snapshot (f, 1);
  fake_stream_expire (f->log.stream, 2);
  follow (f);
  answer (f, IV_OK);
  assert_false (iv_follower_whole (f->follower));
}

static void
test_gap_after_an_outage (void **state)
{
  struct fixture *f = *state;
  append (f, 2);
  follow (f);
  answer (f, IV_OK);
  append (f, 4);
  append_snapshot (f, 5);
  fake_stream_expire (f->log.stream, 4);
  answer (f, IV_OK);
  assert_true (iv_follower_whole (f->follower));
  assert_string_equal (f->seen->str, "0 1 R5 5 6 ");
}

static void
test_relayed_batches_fit_in (void **state)
{
  struct fixture *f = *state;
  ivx_batch batch = { .writer = 9 };
  GByteArray *bytes = iv_batch_encode (&batch);
  append (f, 1);
  follow (f);
  answer (f, IV_OK);
  iv_follower_relayed (f->follower, 2, bytes->data, bytes->len);
  iv_follower_relayed (f->follower, 1, bytes->data, bytes->len);
  iv_follower_relayed (f->follower, 1, bytes->data, bytes->len);
  append (f, 2);
  answer (f, IV_OK);
  assert_string_equal (f->seen->str, "0 1 2 ");
  g_byte_array_free (bytes, TRUE);
}

static int
teardown (void **state)
{
  struct fixture *f = *state;
  iv_follower_free (f->follower);
  memory_log_clear (&f->log);
  g_string_free (f->seen, TRUE);
  g_free (f);
  return 0;
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_from_the_first_record), TEST (test_expired_needs_a_snapshot),
          TEST (test_snapshot_older_than_what_is_retained), TEST (test_gap_after_an_outage),
          TEST (test_relayed_batches_fit_in) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
