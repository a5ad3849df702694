#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "keys.h"

static void
apply_intent (struct iv_keys *keys, gint64 now, guint64 offset, guint64 writer, struct iv_key key)
{
  ivx_record record = { .kind = IVX_INTENT };
  ivx_batch batch
      = { .writer = writer, .incarnation = 1, .sequence = offset + 1, .records = { 1, &record } };
  record.ivx_record_u.intent = (ivx_intent){ key.hi, key.lo, (char *)(writer == 1 ? "h1" : "h2") };
  iv_keys_apply (keys, now, offset, &batch);
}

static void
test_lowest_offset_wins (void **state)
{
  struct iv_keys *keys = iv_keys_new (100, 1000);
  struct iv_key key = iv_key_from_text ("ledger", "pay-1");
  apply_intent (keys, 0, 0, 2, key);
  apply_intent (keys, 0, 1, 1, key);
  assert_string_equal (iv_keys_find (keys, 0, key)->host, "h2");
  assert_int_equal (iv_keys_find (keys, 0, key)->offset, 0);
  assert_int_equal (iv_keys_next_offset (keys), 2);
  iv_keys_free (keys);
}

static void
test_only_the_claiming_writer_completes (void **state)
{
  struct iv_keys *keys = iv_keys_new (100, 1000);
  struct iv_key key = iv_key_from_text ("ledger", "pay-1");
  ivx_record record = { .kind = IVX_OUTCOME };
  ivx_batch batch = { .writer = 1, .incarnation = 1, .sequence = 9, .records = { 1, &record } };
  record.ivx_record_u.outcome = (ivx_outcome){ key.hi, key.lo, 200 };
  apply_intent (keys, 0, 0, 2, key);
  iv_keys_apply (keys, 0, 1, &batch);
  assert_int_equal (iv_keys_find (keys, 0, key)->state, IV_KEY_CLAIMED);
  batch.writer = 2;
  iv_keys_apply (keys, 0, 2, &batch);
  assert_int_equal (iv_keys_find (keys, 0, key)->state, IV_KEY_COMPLETED);
  assert_int_equal (iv_keys_find (keys, 0, key)->status, 200);
  iv_keys_free (keys);
}

static void
test_window_and_limit (void **state)
{
  struct iv_keys *keys = iv_keys_new (2, 1000);
  apply_intent (keys, 0, 0, 1, iv_key_from_text ("s", "a"));
  apply_intent (keys, 600, 1, 1, iv_key_from_text ("s", "b"));
  assert_non_null (iv_keys_find (keys, 1000, iv_key_from_text ("s", "a")));
  assert_null (iv_keys_find (keys, 1001, iv_key_from_text ("s", "a")));
  apply_intent (keys, 1100, 2, 1, iv_key_from_text ("s", "c"));
  apply_intent (keys, 1100, 3, 1, iv_key_from_text ("s", "d"));
  assert_int_equal (iv_keys_count (keys), 2);
  iv_keys_free (keys);
}

static void
test_services_do_not_share_keys (void **state)
{
  struct iv_key a = iv_key_from_text ("ledger", "1"), b = iv_key_from_text ("ticket", "1");
  assert_true (a.hi != b.hi || a.lo != b.lo);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_lowest_offset_wins),
                                      cmocka_unit_test (test_only_the_claiming_writer_completes),
                                      cmocka_unit_test (test_window_and_limit),
                                      cmocka_unit_test (test_services_do_not_share_keys) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
