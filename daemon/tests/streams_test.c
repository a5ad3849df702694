#include "event.h"
#include "loopback_port.h"
#include "recorder.h"
#include "store_standin.h"
#include "stream.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define TOPIC "keyed.jobs"
#define TIMEOUT_MS 10000 /* of a test that does not progress; no test waits for it to pass */

static uv_loop_t *loop;
static struct iv_deadlines *deadlines;
static struct store_standin *standin;
static struct iv_store *store;
static GHashTable *values; /* key to value, as applied */
static guint applied;
static guint loads;

static int
set_up (void **state)
{
  if (loop == NULL)
    {
      loop = uv_default_loop ();
      deadlines = iv_deadlines_new (loop);
      guint16 port = loopback_port_reserve ();
      char address[32];
      g_snprintf (address, sizeof address, "127.0.0.1:%u", port);
      standin = store_standin_new (loop, port);
      store = iv_store_new (iv_http_client_new (loop, deadlines, 3600000, 1 << 20), address);
    }
  g_hash_table_remove_all (standin->topics);
  g_hash_table_remove_all (standin->producers);
  standin->refuse = FALSE;
  g_ptr_array_set_size (standin->unanswered, 0);
  standin->responses_to_drop = 0;
  values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  applied = 0;
  loads = 0;
  return standin ? 0 : -1;
}

static int
tear_down (void **state)
{
  g_hash_table_destroy (values);
  return 0;
}

static void
on_apply (void *context, const char *key, const guint8 *value, gsize len)
{
  applied++;
  if (value)
    g_hash_table_insert (values, g_strdup (key), g_strndup ((const char *)value, len));
  else
    g_hash_table_remove (values, key);
}

static void
on_loaded (void *context)
{
  loads++;
}

static struct iv_stream *
start_stream (void)
{
  struct iv_stream_options options
      = { .topic = TOPIC, .read_delay_ms = 5, .apply = on_apply, .loaded = on_loaded };
  return iv_stream_new (loop, deadlines, store, &options);
}

static gboolean
has_value (const char *key, const char *value)
{
  return g_strcmp0 (g_hash_table_lookup (values, key), value) == 0;
}

/* Run the loop until @a key has @a value; with NULL, until it has none. */
static void
run_until_value (const char *key, const char *value)
{
  gint64 end = (gint64)uv_now (loop) + TIMEOUT_MS;
  while ((loads == 0 || !has_value (key, value)) && (gint64)uv_now (loop) < end)
    uv_run (loop, UV_RUN_ONCE);
  assert_true (has_value (key, value));
}

static void
test_load_then_changes (void **state)
{
  struct iv_stream *stream;
  store_standin_put (standin, TOPIC, "a", "1");
  store_standin_put (standin, TOPIC, "a", "2");
  stream = start_stream ();
  run_until_value ("a", "2");
  assert_int_equal (applied, 1);
  store_standin_put (standin, TOPIC, "b", "3");
  run_until_value ("b", "3");
  store_standin_put (standin, TOPIC, "a", NULL);
  run_until_value ("a", NULL);
  assert_int_equal (iv_stream_position (stream), 4);
  iv_stream_close (stream);
}

/* The next records expired before they were read, among them the deletion of a key. The load that
   follows reports the key as deleted. */
static void
test_expired_position_causes_reload (void **state)
{
  struct iv_stream *stream;
  store_standin_put (standin, TOPIC, "a", "1");
  stream = start_stream ();
  run_until_value ("a", "1");
  store_standin_put (standin, TOPIC, "a", NULL);
  store_standin_put (standin, TOPIC, "b", "2");
  store_standin_truncate (standin, TOPIC);
  run_until_value ("b", "2");
  assert_true (has_value ("a", NULL));
  assert_int_equal (loads, 2);
  iv_stream_close (stream);
}

static void
test_refused_reads_are_retried (void **state)
{
  struct iv_stream *stream;
  standin->refuse = TRUE;
  stream = start_stream ();
  for (guint i = 0; i < 20; i++)
    uv_run (loop, UV_RUN_ONCE);
  assert_false (iv_stream_loaded (stream));
  standin->refuse = FALSE;
  store_standin_put (standin, TOPIC, "a", "1");
  run_until_value ("a", "1");
  iv_stream_close (stream);
}

static void
on_barrier (void *context)
{
  *(int *)context = has_value ("b", "2") ? 1 : -1;
}

/* Guards against a key cut at a zero byte, which named the record of another key, and against a
   stream that takes itself for caught up after a read of records that cannot be read. */
static void
test_unreadable_records (void **state)
{
  static const struct
  {
    const char *bytes;
    gsize len;
  } rows[] = { { "", 0 }, { "\0", 1 }, { "\5a", 2 }, { "\3a\0x9", 5 }, { "\2a\0", 3 } };
  struct iv_stream *stream;
  gint64 end;
  int released = 0;
  store_standin_put (standin, TOPIC, "a", "1");
  stream = start_stream ();
  run_until_value ("a", "1");
  while (iv_stream_position (stream) < 1)
    uv_run (loop, UV_RUN_ONCE);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    store_standin_put_raw (standin, TOPIC, rows[i].bytes, rows[i].len);
  store_standin_put (standin, TOPIC, "b", "2");
  standin->one_by_one = TRUE;
  iv_stream_barrier (stream, on_barrier, &released);
  end = (gint64)uv_now (loop) + TIMEOUT_MS;
  while (released == 0 && (gint64)uv_now (loop) < end)
    uv_run (loop, UV_RUN_ONCE);
  standin->one_by_one = FALSE;
  assert_int_equal (released, 1);
  assert_true (has_value ("a", "1"));
  iv_stream_close (stream);
}

struct replies
{
  guint count;
  enum iv_store_outcome append, join, newest, read;
};

static void
on_append_reply (void *context, enum iv_store_outcome outcome, gint64 end)
{
  ((struct replies *)context)->append = outcome;
  ((struct replies *)context)->count++;
}

static void
on_join_reply (void *context, const struct iv_store_membership *membership)
{
  ((struct replies *)context)->join = membership->outcome;
  ((struct replies *)context)->count++;
}

static void
on_newest_reply (void *context, const struct iv_store_records *records)
{
  ((struct replies *)context)->newest = records->outcome;
  ((struct replies *)context)->count++;
}

static void
on_read_reply (void *context, const struct iv_store_records *records)
{
  ((struct replies *)context)->read = records->outcome;
  ((struct replies *)context)->count++;
}

/* Guards against offsets, terms and partitions taken from replies of the store that hold none: an
   owner whose claim "ends at 0" does not wait until it has read the claim. */
static void
test_odd_numbers_of_the_store (void **state)
{
  static const char *const numbers[] = {
    "null", "-1", "\"7\"", "1e300", "0.5", "9223372036854775807", "[]", "99999999999999999999"
  };
  struct iv_store_writer writer = { "w", 1, 1 };
  GByteArray *body = g_byte_array_new ();
  guint failures = 0;
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      struct replies replies = { 0 };
      gint64 deadline = (gint64)uv_now (loop) + TIMEOUT_MS;
      char *text = g_strdup_printf (
          "{\"EndOffset\":%s,\"Generation\":%s,\"parts\":[],\"items\":[]}", numbers[i], numbers[i]);
      standin->odd_body = text;
      iv_store_append (store, TOPIC, &writer, body, deadline, on_append_reply, &replies);
      iv_store_join (store, "g", "m", 1000, 0, deadline, on_join_reply, &replies);
      iv_store_newest (store, TOPIC, NULL, deadline, on_newest_reply, &replies);
      iv_store_read (store, TOPIC, 0, 0, deadline, on_read_reply, &replies);
      while (replies.count < 4)
        uv_run (loop, UV_RUN_ONCE);
      if (replies.append != IV_STORE_UNKNOWN || replies.join != IV_STORE_UNKNOWN
          || replies.newest != IV_STORE_UNKNOWN || replies.read != IV_STORE_UNKNOWN)
        {
          print_error ("%s: append=%s join=%s newest=%s read=%s\n", numbers[i],
                       iv_store_outcome_name (replies.append), iv_store_outcome_name (replies.join),
                       iv_store_outcome_name (replies.newest),
                       iv_store_outcome_name (replies.read));
          failures++;
        }
      standin->odd_body = NULL;
      g_free (text);
    }
  g_byte_array_free (body, TRUE);
  assert_int_equal (failures, 0);
}

struct outcome
{
  gboolean done;
  enum iv_status status;
  gint64 end;
};

static void
on_recorded (void *context, enum iv_status status, gint64 end)
{
  struct outcome *outcome = context;
  outcome->done = TRUE;
  outcome->status = status;
  outcome->end = end;
}

static void
run_until_done (const struct outcome *outcome)
{
  gint64 end = (gint64)uv_now (loop) + TIMEOUT_MS;
  while (!outcome->done && (gint64)uv_now (loop) < end)
    uv_run (loop, UV_RUN_ONCE);
  assert_true (outcome->done);
}

static void
test_records_share_an_append (void **state)
{
  struct iv_recorder *recorder = iv_recorder_new (loop, deadlines, store, TOPIC, "host-1", 1,
                                                  &(struct iv_recorder_times){ .batch_delay = 5 });
  struct outcome a = { 0 }, b = { 0 };
  guint appends = standin->appends;
  iv_recorder_add (recorder, "a", "1", 1, on_recorded, &a);
  iv_recorder_add (recorder, "b", "2", 1, on_recorded, &b);
  run_until_done (&b);
  assert_int_equal (a.status, IV_OK);
  assert_int_equal (b.end, 2);
  assert_int_equal (standin->appends, appends + 1);
  iv_recorder_close (recorder);
}

/* The response is lost after the append took effect: the retry stores nothing twice and reports
   success. */
/* Guards against a cell that records nothing any more: the store refuses an append that is too
   large as often as it is sent. */
static void
test_large_records_take_several_appends (void **state)
{
  enum
  {
    RECORDS = 12,
    BYTES = 200000
  };
  struct iv_recorder *recorder = iv_recorder_new (loop, deadlines, store, TOPIC, "host-5", 1,
                                                  &(struct iv_recorder_times){ .batch_delay = 5 });
  struct outcome outcomes[RECORDS] = { { 0 } };
  struct outcome last = { 0 };
  char *value = g_strnfill (BYTES, 'x');
  guint appends = standin->appends;
  for (guint i = 0; i < RECORDS; i++)
    {
      char key[16];
      g_snprintf (key, sizeof key, "large-%u", i);
      iv_recorder_add (recorder, key, value, BYTES, on_recorded, &outcomes[i]);
    }
  iv_recorder_add (recorder, NULL, NULL, 0, on_recorded, &last);
  run_until_done (&last);
  for (guint i = 0; i < RECORDS; i++)
    assert_true (outcomes[i].done && outcomes[i].status == IV_OK);
  assert_int_equal (last.status, IV_OK);
  assert_int_equal (last.end, RECORDS);
  assert_true (outcomes[0].end < last.end);
  assert_in_range (standin->appends - appends, 2, RECORDS);
  iv_recorder_close (recorder);
  g_free (value);
}

static void
test_lost_response_is_resolved (void **state)
{
  struct iv_recorder *recorder = iv_recorder_new (loop, deadlines, store, TOPIC, "host-2", 1,
                                                  &(struct iv_recorder_times){ .batch_delay = 1 });
  struct outcome a = { 0 };
  standin->responses_to_drop = 2;
  iv_recorder_add (recorder, "a", "1", 1, on_recorded, &a);
  run_until_done (&a);
  assert_int_equal (a.status, IV_OK);
  assert_int_equal (a.end, 1);
  assert_false (iv_recorder_store_unreachable (recorder));
  iv_recorder_close (recorder);
}

static void
test_refused_append_is_unavailable (void **state)
{
  struct iv_recorder *recorder = iv_recorder_new (loop, deadlines, store, TOPIC, "host-3", 1,
                                                  &(struct iv_recorder_times){ .batch_delay = 1 });
  struct outcome a = { 0 };
  standin->refuse = TRUE;
  iv_recorder_add (recorder, "a", "1", 1, on_recorded, &a);
  run_until_done (&a);
  assert_int_equal (a.status, IV_ERR_UNAVAILABLE);
  assert_true (iv_recorder_store_unreachable (recorder));
  iv_recorder_close (recorder);
}

/* Guards against a record that is stored long after it was added: its caller may have been told
   that there is no such job, and what remembers that is kept for a limited time only. */
static void
test_old_records_are_not_sent (void **state)
{
  static const struct iv_recorder_times times
      = { .batch_delay = 1, .unknown_timeout = 500, .max_age = 1200 };
  struct iv_recorder *recorder
      = iv_recorder_new (loop, deadlines, store, TOPIC, "host-6", 1, &times);
  struct outcome sent = { 0 }, queued = { 0 }, later = { 0 };
  standin->appends_to_hold = 2;
  iv_recorder_add (recorder, "sent", "1", 1, on_recorded, &sent);
  while (standin->held->len == 0)
    uv_run (loop, UV_RUN_ONCE);
  iv_recorder_add (recorder, "queued", "1", 1, on_recorded, &queued);
  run_until_done (&sent);
  assert_int_equal (sent.status, IV_ERR_TIMEOUT);
  sent.done = FALSE;
  run_until_done (&sent);
  assert_int_equal (sent.status, IV_ERR_STALE);
  run_until_done (&queued);
  assert_int_equal (queued.status, IV_ERR_UNAVAILABLE);
  store_standin_release (standin);
  iv_recorder_add (recorder, "later", "1", 1, on_recorded, &later);
  run_until_done (&later);
  assert_int_equal (later.status, IV_OK);
  assert_int_equal (later.end, 1);
  iv_recorder_close (recorder);
}

/* Guards against a withdrawn record that is stored, and against others that are not, or as part of
   another one. */
static void
test_withdrawn_records_are_not_sent (void **state)
{
  struct iv_recorder *recorder = iv_recorder_new (loop, deadlines, store, TOPIC, "host-7", 1,
                                                  &(struct iv_recorder_times){ .batch_delay = 1 });
  struct outcome sent = { 0 }, withdrawn = { 0 }, kept = { 0 };
  standin->responses_to_drop = 1;
  iv_recorder_add (recorder, "sent", "1", 1, on_recorded, &sent);
  while (standin->unanswered->len == 0)
    uv_run (loop, UV_RUN_ONCE);
  iv_recorder_add (recorder, "withdrawn", "12345", 5, on_recorded, &withdrawn);
  iv_recorder_add (recorder, "kept", "1", 1, on_recorded, &kept);
  assert_true (iv_recorder_withdraw (recorder, on_recorded, &withdrawn));
  assert_false (iv_recorder_withdraw (recorder, on_recorded, &sent));
  run_until_done (&kept);
  assert_int_equal (kept.status, IV_OK);
  assert_int_equal (kept.end, 2);
  assert_int_equal (sent.status, IV_OK);
  assert_false (withdrawn.done);
  iv_recorder_close (recorder);
}

static void
test_older_epoch_is_fenced (void **state)
{
  struct iv_recorder *former = iv_recorder_new (loop, deadlines, store, TOPIC, "owner", 4,
                                                &(struct iv_recorder_times){ .batch_delay = 1 });
  struct iv_recorder *newer = iv_recorder_new (loop, deadlines, store, TOPIC, "owner", 5,
                                               &(struct iv_recorder_times){ .batch_delay = 1 });
  struct outcome a = { 0 }, b = { 0 };
  iv_recorder_add (newer, "a", "1", 1, on_recorded, &a);
  run_until_done (&a);
  iv_recorder_add (former, "a", "2", 1, on_recorded, &b);
  run_until_done (&b);
  assert_int_equal (b.status, IV_ERR_STALE);
  iv_recorder_close (former);
  iv_recorder_close (newer);
}

static void
on_members (void *context, const GPtrArray *members)
{
  struct outcome *outcome = context;
  outcome->done = TRUE;
  outcome->end = members ? (gint64)members->len : -1;
}

static void
on_joined (void *context, const struct iv_store_membership *membership)
{
  struct outcome *outcome = context;
  outcome->done = TRUE;
  outcome->status = (membership->partitions & 1) ? IV_OK : IV_ERR_CONFLICT;
  outcome->end = membership->generation;
}

static void
test_group_partitions_and_members (void **state)
{
  struct outcome a = { 0 }, b = { 0 }, c = { 0 };
  gint64 deadline = (gint64)uv_now (loop) + TIMEOUT_MS;
  iv_store_join (store, "cells", "x", 1000, 0, deadline, on_joined, &a);
  run_until_done (&a);
  iv_store_join (store, "cells", "y", 1000, 0, deadline, on_joined, &b);
  run_until_done (&b);
  assert_int_equal (a.status, IV_OK);
  assert_int_equal (b.status, IV_ERR_CONFLICT);
  assert_true (b.end > a.end);
  iv_store_members (store, "cells", deadline, on_members, &c);
  run_until_done (&c);
  assert_int_equal (c.end, 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_load_then_changes, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_expired_position_causes_reload, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_refused_reads_are_retried, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_unreadable_records, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_odd_numbers_of_the_store, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_records_share_an_append, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_large_records_take_several_appends, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_lost_response_is_resolved, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_refused_append_is_unavailable, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_old_records_are_not_sent, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_withdrawn_records_are_not_sent, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_older_epoch_is_fenced, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_group_partitions_and_members, set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
