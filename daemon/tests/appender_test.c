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
  struct iv_log_ops edge;
  struct iv_appender *appender;
  GString *fates;
};

static int
setup (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  f->edge = memory_log_init (&f->log);
  f->fates = g_string_new (NULL);
  f->appender
      = iv_appender_new (&f->log.loop, f->log.deadlines, &f->edge, "s", "h", 1, 1, 10, FALSE);
  *state = f;
  return 0;
}

static void
on_fate (void *context, enum iv_status status, guint64 offset)
{
  g_string_append_printf (((struct fixture *)context)->fates, "%s@%u ", iv_status_name (status),
                          (guint)offset);
}

static void
add (struct fixture *f, gint64 wait_ms, gboolean alone)
{
  ivx_record record = { .kind = IVX_RENEW };
  uv_update_time (&f->log.loop);
  iv_appender_add (f->appender, &record, alone, (gint64)uv_now (&f->log.loop) + wait_ms, on_fate,
                   f);
}

static void
wait_for_append (struct fixture *f)
{
  while (f->log.append == NULL)
    uv_run (&f->log.loop, UV_RUN_NOWAIT);
}

static void
wait_for_fate (struct fixture *f)
{
  while (f->fates->len == 0)
    uv_run (&f->log.loop, UV_RUN_NOWAIT);
}

static void
read_back (struct fixture *f, guint64 offset)
{
  gsize len;
  const guint8 *bytes = g_bytes_get_data (fake_stream_read (f->log.stream, offset), &len);
  ivx_batch batch;
  assert_int_equal (iv_batch_decode (bytes, len, &batch), IV_OK);
  iv_appender_read_back (f->appender, offset, &batch);
  iv_batch_clear (&batch);
}

static void
test_answer_proves_nothing (void **state)
{
  struct fixture *f = *state;
  add (f, 60000, FALSE);
  wait_for_append (f);
  memory_answer_append (&f->log, TRUE, IV_OK);
  assert_string_equal (f->fates->str, "");
  read_back (f, 0);
  assert_string_equal (f->fates->str, "ok@0 ");
}

static void
test_lost_answer_is_sent_again_as_the_same_batch (void **state)
{
  struct fixture *f = *state;
  add (f, 60000, FALSE);
  wait_for_append (f);
  memory_answer_append (&f->log, TRUE, IV_ERR_TIMEOUT);
  wait_for_append (f);
  memory_answer_append (&f->log, TRUE, IV_ERR_TIMEOUT);
  assert_true (
      g_bytes_equal (fake_stream_read (f->log.stream, 0), fake_stream_read (f->log.stream, 1)));
  read_back (f, 0);
  read_back (f, 1);
  assert_string_equal (f->fates->str, "ok@0 ");
}

static void
test_many_share_an_append (void **state)
{
  struct fixture *f = *state;
  for (guint i = 0; i < 5; i++)
    add (f, 60000, i == 3);
  for (guint64 offset = 0; offset < 4; offset++)
    {
      wait_for_append (f);
      memory_answer_append (&f->log, TRUE, IV_OK);
      read_back (f, offset);
    }
  /* The first goes at once, two share an append, one goes alone, and the last by itself. */
  assert_string_equal (f->fates->str, "ok@0 ok@1 ok@1 ok@2 ok@3 ");
  assert_int_equal (f->log.appends, 4);
}

static void
test_never_sent_is_told_so (void **state)
{
  struct fixture *f = *state;
  add (f, 60000, FALSE);
  wait_for_append (f);
  add (f, 20, FALSE);
  wait_for_fate (f);
  assert_string_equal (f->fates->str, "unavailable@0 ");
}

static void
test_perhaps_sent_is_not_called_unsent (void **state)
{
  struct fixture *f = *state;
  add (f, 20, FALSE);
  wait_for_append (f);
  wait_for_fate (f);
  assert_string_equal (f->fates->str, "timeout@0 ");
}

static int
teardown (void **state)
{
  struct fixture *f = *state;
  iv_appender_free (f->appender);
  memory_log_clear (&f->log);
  g_string_free (f->fates, TRUE);
  g_free (f);
  return 0;
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_answer_proves_nothing),
          TEST (test_lost_answer_is_sent_again_as_the_same_batch), TEST (test_many_share_an_append),
          TEST (test_never_sent_is_told_so), TEST (test_perhaps_sent_is_not_called_unsent) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
