#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "appender.h"
#include "memory_log.h"

struct fixture
{
  struct memory_log log;
  struct iv_log_ops ops;
  struct iv_appender *appender;
  GString *results;
};

static int
setup (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  f->ops = memory_log_init (&f->log);
  f->results = g_string_new (NULL);
  f->appender
      = iv_appender_new (&f->log.loop, f->log.deadlines, &f->ops, "s", "h", 1, 1, 10, FALSE);
  *state = f;
  return 0;
}

static void
on_result (void *context, enum iv_status status, guint64 offset)
{
  g_string_append_printf (((struct fixture *)context)->results, "%s@%u ", iv_status_name (status),
                          (guint)offset);
}

static void
add_record (struct fixture *f, gint64 wait_ms, gboolean own_batch)
{
  ivx_record record = { .kind = IVX_RENEW };
  uv_update_time (&f->log.loop);
  iv_appender_add (f->appender, &record, own_batch, (gint64)uv_now (&f->log.loop) + wait_ms,
                   on_result, f);
}

static void
wait_for_append (struct fixture *f)
{
  while (f->log.append == NULL)
    uv_run (&f->log.loop, UV_RUN_NOWAIT);
}

static void
wait_for_result (struct fixture *f)
{
  while (f->results->len == 0)
    uv_run (&f->log.loop, UV_RUN_NOWAIT);
}

static void
confirm_batch (struct fixture *f, guint64 offset)
{
  gsize len;
  const guint8 *bytes = g_bytes_get_data (fake_stream_read (f->log.stream, offset), &len);
  ivx_batch batch;
  assert_int_equal (iv_batch_decode (bytes, len, &batch), IV_OK);
  iv_appender_confirm_batch (f->appender, offset, &batch);
  iv_batch_clear (&batch);
}

static void
test_acknowledgement_does_not_confirm (void **state)
{
  struct fixture *f = *state;
  add_record (f, 60000, FALSE);
  wait_for_append (f);
  memory_log_complete_append (&f->log, TRUE, IV_OK);
  assert_string_equal (f->results->str, "");
  confirm_batch (f, 0);
  assert_string_equal (f->results->str, "ok@0 ");
}

static void
test_retry_after_timeout_sends_same_batch (void **state)
{
  struct fixture *f = *state;
  add_record (f, 60000, FALSE);
  wait_for_append (f);
  memory_log_complete_append (&f->log, TRUE, IV_ERR_TIMEOUT);
  wait_for_append (f);
  memory_log_complete_append (&f->log, TRUE, IV_ERR_TIMEOUT);
  assert_true (
      g_bytes_equal (fake_stream_read (f->log.stream, 0), fake_stream_read (f->log.stream, 1)));
  confirm_batch (f, 0);
  confirm_batch (f, 1);
  assert_string_equal (f->results->str, "ok@0 ");
}

static void
test_records_are_batched (void **state)
{
  struct fixture *f = *state;
  for (guint i = 0; i < 5; i++)
    add_record (f, 60000, i == 3);
  for (guint64 offset = 0; offset < 4; offset++)
    {
      wait_for_append (f);
      memory_log_complete_append (&f->log, TRUE, IV_OK);
      confirm_batch (f, offset);
    }
  /* The first record is sent at once. The second and third share a batch. The fourth demands a
     batch of its own, so the fifth is sent in another one. */
  assert_string_equal (f->results->str, "ok@0 ok@1 ok@1 ok@2 ok@3 ");
  assert_int_equal (f->log.append_count, 4);
}

static void
test_unsent_record_is_unavailable (void **state)
{
  struct fixture *f = *state;
  add_record (f, 60000, FALSE);
  wait_for_append (f);
  add_record (f, 20, FALSE);
  wait_for_result (f);
  assert_string_equal (f->results->str, "unavailable@0 ");
}

static void
test_record_in_flight_times_out (void **state)
{
  struct fixture *f = *state;
  add_record (f, 20, FALSE);
  wait_for_append (f);
  wait_for_result (f);
  assert_string_equal (f->results->str, "timeout@0 ");
}

static int
teardown (void **state)
{
  struct fixture *f = *state;
  iv_appender_free (f->appender);
  memory_log_clear (&f->log);
  g_string_free (f->results, TRUE);
  g_free (f);
  return 0;
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_acknowledgement_does_not_confirm),
          TEST (test_retry_after_timeout_sends_same_batch), TEST (test_records_are_batched),
          TEST (test_unsent_record_is_unavailable), TEST (test_record_in_flight_times_out) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
