#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "config.h"

static guint64 sequence;

static enum iv_apply_result
apply (struct iv_config *config, ivx_record *record)
{
  ivx_batch batch = { .writer = 1, .incarnation = 1, .sequence = ++sequence };
  enum iv_apply_result result;
  batch.records.records_len = 1;
  batch.records.records_val = record;
  result = iv_config_apply (config, config->next, &batch);
  return result;
}

static ivx_item
item (ivx_change change, ivx_type type, char *name)
{
  return (
      ivx_item){ .change = change, .type = type, .name = name, .team = (char *)"t", .tasks = 2 };
}

static enum iv_apply_result
release (struct iv_config *config, guint32 base, ivx_item *items, guint count)
{
  ivx_record record = { .kind = IVX_RELEASE };
  record.ivx_record_u.release
      = (ivx_release){ base + 1, base, (char *)"ops", (char *)"text", { count, items } };
  return apply (config, &record);
}

static void
test_release_with_stale_base_is_rejected (void **state)
{
  struct iv_config *config = iv_config_new ();
  ivx_item a = item (IVX_ADDED, IVX_SERVICE, (char *)"a"),
           b = item (IVX_ADDED, IVX_SERVICE, (char *)"b");
  assert_int_equal (release (config, 0, &a, 1), IV_APPLY_DONE);
  assert_int_equal (release (config, 0, &b, 1), IV_APPLY_REJECTED);
  assert_int_equal (config->release, 1);
  assert_non_null (iv_config_item (config, "a"));
  assert_null (iv_config_item (config, "b"));
  iv_config_free (config);
}

static void
test_release_is_atomic (void **state)
{
  struct iv_config *config = iv_config_new ();
  ivx_item items[] = { item (IVX_ADDED, IVX_SERVICE, (char *)"a"),
                       item (IVX_WITHDRAWN, IVX_SERVICE, (char *)"gone") };
  ivx_item twice[] = { items[0], items[0] };
  assert_int_equal (release (config, 0, items, 2), IV_APPLY_REJECTED);
  assert_int_equal (release (config, 0, twice, 2), IV_APPLY_REJECTED);
  assert_null (iv_config_item (config, "a"));
  assert_int_equal (config->release, 0);
  iv_config_free (config);
}

static void
test_repeated_batch_is_applied_once (void **state)
{
  struct iv_config *config = iv_config_new ();
  ivx_record record = { .kind = IVX_DOMAIN };
  ivx_batch batch = { .writer = 5, .incarnation = 1, .sequence = 1 };
  record.ivx_record_u.domain = (ivx_domain){ (char *)"alpha", TRUE };
  batch.records.records_len = 1;
  batch.records.records_val = &record;
  assert_int_equal (iv_config_apply (config, 0, &batch), IV_APPLY_DONE);
  record.ivx_record_u.domain.out = FALSE;
  batch.sequence = 2;
  assert_int_equal (iv_config_apply (config, 1, &batch), IV_APPLY_DONE);
  record.ivx_record_u.domain.out = TRUE;
  batch.sequence = 1;
  assert_int_equal (iv_config_apply (config, 2, &batch), IV_APPLY_DUPLICATE);
  assert_false (iv_config_domain_out (config, "alpha"));
  iv_config_free (config);
}

static void
test_job_lifecycle (void **state)
{
  struct iv_config *config = iv_config_new ();
  ivx_record record = { .kind = IVX_SUBMIT };
  const struct iv_item *job;
  record.ivx_record_u.submit = item (IVX_ADDED, IVX_JOB, (char *)"dues");
  assert_int_equal (apply (config, &record), IV_APPLY_DONE);
  assert_int_equal (apply (config, &record), IV_APPLY_REJECTED);
  job = iv_config_item (config, "dues");
  record = (ivx_record){ .kind = IVX_PROGRESS };
  record.ivx_record_u.progress
      = (ivx_progress){ (char *)"dues", job->gen, (char *)"alpha", 1, 0, 0, 0 };
  assert_int_equal (apply (config, &record), IV_APPLY_DONE);
  assert_false (job->ended);
  record.ivx_record_u.progress.done = 0;
  assert_int_equal (apply (config, &record), IV_APPLY_REJECTED);
  record.ivx_record_u.progress
      = (ivx_progress){ (char *)"dues", job->gen, (char *)"beta", 0, 1, 0, 0 };
  assert_int_equal (apply (config, &record), IV_APPLY_DONE);
  assert_true (job->ended);
  record = (ivx_record){ .kind = IVX_SUBMIT };
  record.ivx_record_u.submit = item (IVX_ADDED, IVX_JOB, (char *)"dues");
  assert_int_equal (apply (config, &record), IV_APPLY_REJECTED);
  iv_config_free (config);
}

static void
test_cancel_and_withdraw (void **state)
{
  struct iv_config *config = iv_config_new ();
  ivx_item items[]
      = { item (IVX_ADDED, IVX_JOB, (char *)"j"), item (IVX_ADDED, IVX_SERVICE, (char *)"s") };
  ivx_item withdrawn = item (IVX_WITHDRAWN, IVX_SERVICE, (char *)"s");
  ivx_record record = { .kind = IVX_CANCEL };
  assert_int_equal (release (config, 0, items, 2), IV_APPLY_DONE);
  record.ivx_record_u.cancel.job = (char *)"j";
  assert_int_equal (apply (config, &record), IV_APPLY_DONE);
  assert_int_equal (apply (config, &record), IV_APPLY_REJECTED);
  record.ivx_record_u.cancel.job = (char *)"s";
  assert_int_equal (apply (config, &record), IV_APPLY_REJECTED);
  assert_int_equal (release (config, 1, &withdrawn, 1), IV_APPLY_DONE);
  assert_true (iv_config_item (config, "s")->ended);
  assert_int_equal (release (config, 2, &items[1], 1), IV_APPLY_DONE);
  assert_false (iv_config_item (config, "s")->ended);
  iv_config_free (config);
}

static void
test_snapshot_round_trip (void **state)
{
  struct iv_config *config = iv_config_new (), *copy;
  char names[IV_ENDED_JOBS_MAX + 20][12];
  GByteArray *before, *after;
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      ivx_record record = { .kind = IVX_SUBMIT };
      g_snprintf (names[i], sizeof names[i], "job%u", (i * 7919) % 100000);
      record.ivx_record_u.submit = item (IVX_ADDED, IVX_JOB, names[i]);
      apply (config, &record);
      record = (ivx_record){ .kind = IVX_CANCEL };
      record.ivx_record_u.cancel.job = names[i];
      apply (config, &record);
    }
  assert_null (iv_config_item (config, names[0]));
  before = iv_config_save (config);
  copy = iv_config_load (before->data, before->len);
  for (guint i = 0; i < 2; i++)
    {
      struct iv_config *each = i ? copy : config;
      ivx_record record = { .kind = IVX_SUBMIT };
      ivx_batch batch = { .writer = 9, .incarnation = 1, .sequence = 1, .records = { 1, &record } };
      record.ivx_record_u.submit = item (IVX_ADDED, IVX_JOB, (char *)"last");
      iv_config_apply (each, each->next, &batch);
    }
  g_byte_array_free (before, TRUE);
  before = iv_config_save (config);
  after = iv_config_save (copy);
  assert_int_equal (before->len, after->len);
  assert_memory_equal (before->data, after->data, before->len);
  for (guint cut = 0; cut < 200; cut += 3)
    assert_null (iv_config_load (before->data, cut));
  g_byte_array_free (before, TRUE);
  g_byte_array_free (after, TRUE);
  iv_config_free (config);
  iv_config_free (copy);
}

/* A malformed snapshot must not make the decoder allocate the array length that it states. */
static void
test_excessive_lengths_are_rejected (void **state)
{
  guint8 bytes[64] = { 0 };
  for (guint at = 16; at + 4 <= sizeof bytes; at += 4)
    {
      memset (bytes, 0, sizeof bytes);
      bytes[at] = 0x0f;
      assert_null (iv_config_load (bytes, sizeof bytes));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_release_with_stale_base_is_rejected),
                                      cmocka_unit_test (test_release_is_atomic),
                                      cmocka_unit_test (test_repeated_batch_is_applied_once),
                                      cmocka_unit_test (test_job_lifecycle),
                                      cmocka_unit_test (test_cancel_and_withdraw),
                                      cmocka_unit_test (test_snapshot_round_trip),
                                      cmocka_unit_test (test_excessive_lengths_are_rejected) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
