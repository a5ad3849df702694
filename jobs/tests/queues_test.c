#include "queues.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static const struct iv_queue_policy ledger = { "ledger", 1, 4, 2.5, 300, FALSE, TRUE };

static void
apply (struct iv_queues *queues, const char *host, const char *prefix,
       const struct iv_queue_policy *policy, char **key)
{
  GByteArray *bytes = iv_queues_encode (host, prefix, policy, key);
  assert_non_null (bytes);
  assert_int_equal (iv_queues_apply (queues, bytes->data, bytes->len), IV_OK);
  g_byte_array_free (bytes, TRUE);
}

/* Guards against jobs that are not run on because their queue was removed: hosts find its policy in
   the record of its newest acceptance. */
static void
test_policy_is_found_as_recorded (void **state)
{
  struct iv_queues *queues = iv_queues_new ();
  struct iv_queue_policy found;
  struct iv_queue_policy changed = ledger;
  char *first, *second;
  assert_false (iv_queues_find (queues, "h", "/jobs/", &found));
  apply (queues, "h", "/jobs/", &ledger, &first);
  assert_true (iv_queues_find (queues, "h", "/jobs/", &found));
  assert_string_equal (found.service, "ledger");
  assert_int_equal (found.attempts, 4);
  assert_true (found.checks_capacity);
  assert_true (iv_queues_has (queues, "h", "/jobs/", &ledger));
  assert_false (iv_queues_find (queues, "h", "/other/", &found));
  changed.service = "archive";
  assert_false (iv_queues_has (queues, "h", "/jobs/", &changed));
  apply (queues, "h", "/jobs/", &changed, &second);
  assert_string_equal (first, second);
  assert_true (iv_queues_has (queues, "h", "/jobs/", &changed));
  g_free (first);
  g_free (second);
  iv_queues_free (queues);
}

static void
test_malformed_record_changes_nothing (void **state)
{
  static const guint8 odd[] = { 0, 0, 0, 9, 'x' };
  struct iv_queues *queues = iv_queues_new ();
  char *key;
  apply (queues, "h", "/jobs/", &ledger, &key);
  assert_int_equal (iv_queues_apply (queues, odd, sizeof odd), IV_ERR_INVALID);
  assert_true (iv_queues_has (queues, "h", "/jobs/", &ledger));
  g_free (key);
  iv_queues_free (queues);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_policy_is_found_as_recorded),
    cmocka_unit_test (test_malformed_record_changes_nothing),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
