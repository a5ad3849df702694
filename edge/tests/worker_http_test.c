#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "platform.h"

static void
test_sync_round_trip (void **state)
{
  struct iv_sync *sync = iv_sync_new (4, "127.0.0.1:1", "alpha"), *copy;
  struct iv_sync_task task = { .gen = 4096,
                               .index = 7,
                               .attempt = 2,
                               .order = IV_ORDER_EVICT,
                               .start_until = 50,
                               .lease_until = 900,
                               .size = { 1000, 64, 1 },
                               .run_ms = 5,
                               .progress_ms = 3,
                               .speed_permille = 400 };
  struct iv_sync_ack ack = { 4096, 8, 1 };
  char *text;
  task.name = g_strdup ("dues \"x\"");
  task.team = g_strdup ("t");
  g_array_append_val (sync->tasks, task);
  g_array_append_val (sync->acks, ack);
  sync->term = 9;
  sync->boot = 77;
  sync->usage_ack_ms = 1234;
  text = iv_worker_encode_sync (sync);
  copy = iv_worker_decode_sync (text, strlen (text));
  assert_int_equal (copy->term, 9);
  assert_int_equal (copy->boot, 77);
  assert_int_equal (copy->usage_ack_ms, 1234);
  assert_string_equal (g_array_index (copy->tasks, struct iv_sync_task, 0).name, "dues \"x\"");
  assert_int_equal (g_array_index (copy->tasks, struct iv_sync_task, 0).order, IV_ORDER_EVICT);
  assert_int_equal (g_array_index (copy->tasks, struct iv_sync_task, 0).size.memory_mib, 64);
  assert_int_equal (g_array_index (copy->acks, struct iv_sync_ack, 0).index, 8);
  free (text);
  iv_sync_free (copy);
  iv_sync_free (sync);
}

static void
test_reply_round_trip (void **state)
{
  struct iv_sync_reply *reply = iv_sync_reply_new (), *copy;
  struct iv_run_report report = { 4096, 7, 2, IV_RUN_LEASE_EXPIRED, 300, 1250, 40 };
  ivx_usage usage = { .from_ms = 10, .until_ms = 20 };
  char *text;
  usage.rows.rows_len = 1;
  usage.rows.rows_val = calloc (1, sizeof (ivx_usage_row));
  usage.rows.rows_val[0] = (ivx_usage_row){ IVX_ROW_WORKLOAD, strdup ("t"), strdup ("dues"), 123 };
  g_array_append_val (reply->reports, report);
  g_array_append_val (reply->usage, usage);
  reply->clock_ms = 55;
  text = iv_worker_encode_reply (reply);
  copy = iv_worker_decode_reply (text, strlen (text));
  assert_int_equal (copy->clock_ms, 55);
  assert_int_equal (g_array_index (copy->reports, struct iv_run_report, 0).state,
                    IV_RUN_LEASE_EXPIRED);
  assert_int_equal (g_array_index (copy->reports, struct iv_run_report, 0).slowdown_permille, 1250);
  assert_int_equal (g_array_index (copy->usage, ivx_usage, 0).rows.rows_val[0].core_us, 123);
  free (text);
  iv_sync_reply_free (copy);
  iv_sync_reply_free (reply);
}

static void
test_malformed (void **state)
{
  static const char *const bad[] = { "", "[]", "{", "7", "{\"reports\":" };
  static const char odd[] = "{\"reports\":[{\"state\":\"flying\"},{\"state\":5},3],\"usage\":[{"
                            "\"rows\":[{\"kind\":9},1]},null],"
                            "\"tasks\":[null],\"acks\":[[],7]}";
  struct iv_sync_reply *reply;
  struct iv_sync *sync;
  for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      assert_null (iv_worker_decode_reply (bad[i], strlen (bad[i])));
      assert_null (iv_worker_decode_sync (bad[i], strlen (bad[i])));
    }
  reply = iv_worker_decode_reply (odd, strlen (odd));
  assert_int_equal (reply->reports->len, 0);
  iv_sync_reply_free (reply);
  sync = iv_worker_decode_sync (odd, strlen (odd));
  assert_non_null (sync);
  iv_sync_free (sync);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_sync_round_trip), cmocka_unit_test (test_reply_round_trip),
          cmocka_unit_test (test_malformed) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
