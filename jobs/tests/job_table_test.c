#include "job_table.h"

#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define SPEC_BYTES 2000

static void
apply (struct iv_job_table *table, const char *key, GByteArray *bytes)
{
  assert_int_equal (iv_job_table_apply (table, key, bytes->data, bytes->len), IV_OK);
}

/* Herd of returns: all hosts read the jobs of the retention time at once. Guards against hosts that
   take seconds to read the specifications of jobs that have ended, and against ended jobs that lose
   their state, or are refused as unknown, for it. */
static void
test_ended_jobs_are_small_and_known (void **state)
{
  static const enum ivj_state states[] = { IVJ_COMPLETED, IVJ_FAILED, IVJ_CANCELLED };
  for (guint i = 0; i < G_N_ELEMENTS (states); i++)
    {
      struct iv_job_table *table = iv_job_table_new ();
      struct iv_job_table *restarted = iv_job_table_new ();
      ivj_progress progress = { .state = states[i] };
      GByteArray *ended;
      GByteArray *spec;
      GByteArray *end
          = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_progress, &progress, IV_RECORD_MAX_BYTES);
      struct iv_job_entry *job;
      sim_make_job (3, 2);
      sim_spec.spec = g_strnfill (SPEC_BYTES, 'x');
      spec = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_job, &sim_spec, IV_RECORD_MAX_BYTES);
      apply (table, JOB_ID, spec);
      job = iv_job_table_find (table, JOB_ID);
      assert_null (iv_job_encode_ended (job));
      job->live_state = states[i];
      ended = iv_job_encode_ended (job);
      assert_true (ended->len < spec->len - SPEC_BYTES + 8);
      apply (table, JOB_ID, ended);
      assert_int_equal (strlen (job->spec.spec), SPEC_BYTES);
      apply (restarted, JOB_ID, ended);
      apply (restarted, JOB_ID IV_KEY_PROGRESS, end);
      job = iv_job_table_find (restarted, JOB_ID);
      assert_int_equal (iv_job_state (job), states[i]);
      assert_int_equal (job->spec.steps.steps_len, sim_spec.steps.steps_len);
      assert_string_equal (job->spec.prefix, sim_spec.prefix);
      g_byte_array_free (ended, TRUE);
      g_byte_array_free (spec, TRUE);
      g_byte_array_free (end, TRUE);
      g_free (sim_spec.spec);
      iv_job_table_free (table);
      iv_job_table_free (restarted);
    }
}

static void
test_short_specifications_are_kept (void **state)
{
  struct iv_job_entry job = { .live_state = IVJ_COMPLETED };
  sim_make_job (1, 0);
  job.spec = sim_spec;
  assert_null (iv_job_encode_ended (&job));
}

static void
apply_text (struct iv_job_table *table, const char *key, const char *value)
{
  assert_int_equal (
      iv_job_table_apply (table, key, (const guint8 *)value, value ? strlen (value) : 0), IV_OK);
}

/* Guards against keys of a job that are left in the store when the job is removed: they are kept
   for ever, and a host that starts takes them for a job without a specification. */
static void
test_keys_of_an_ended_job (void **state)
{
  const ivj_progress running = { .state = IVJ_RUNNING };
  const ivj_progress ended = { .state = IVJ_FAILED };
  const ivj_crashes no_crashes = { { 0 } };
  GByteArray *spec, *progress, *end, *crashes;
  struct iv_job_table *table = iv_job_table_new ();
  GHashTable *stored = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *keys;
  static const char *const all[] = { JOB_ID,
                                     JOB_ID IV_KEY_PROGRESS,
                                     JOB_ID IV_KEY_CANCEL,
                                     JOB_ID IV_KEY_MOVE,
                                     JOB_ID IV_KEY_CRASHES,
                                     JOB_ID IV_KEY_FAILURES "1",
                                     JOB_ID IV_KEY_FAILURES "2",
                                     JOB_ID IV_KEY_DELEGATION "0.0.1" };
  sim_make_job (3, 0);
  spec = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_job, &sim_spec, IV_RECORD_MAX_BYTES);
  progress = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_progress, &running, IV_RECORD_MAX_BYTES);
  end = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_progress, &ended, IV_RECORD_MAX_BYTES);
  crashes = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_crashes, &no_crashes, IV_RECORD_MAX_BYTES);
  apply (table, JOB_ID, spec);
  apply_text (table, JOB_ID IV_KEY_CANCEL, "1");
  apply_text (table, JOB_ID IV_KEY_MOVE, "2");
  apply_text (table, JOB_ID IV_KEY_DELEGATION "0.0.1", "1 3 0");
  apply (table, JOB_ID IV_KEY_CRASHES, crashes);
  apply (table, JOB_ID IV_KEY_FAILURES "2", progress);
  apply (table, JOB_ID IV_KEY_FAILURES "1", progress);
  apply (table, JOB_ID IV_KEY_PROGRESS, end);
  keys = iv_job_keys (iv_job_table_find (table, JOB_ID));
  for (guint i = 0; i < keys->len; i++)
    g_hash_table_add (stored, g_ptr_array_index (keys, i));
  for (guint i = 0; i < G_N_ELEMENTS (all); i++)
    assert_true (g_hash_table_contains (stored, all[i]));
  assert_int_equal (keys->len, G_N_ELEMENTS (all));
  for (guint i = 0; i < keys->len; i++)
    apply_text (table, g_ptr_array_index (keys, i), NULL);
  assert_int_equal (iv_job_table_size (table), 0);
  g_hash_table_destroy (stored);
  g_ptr_array_unref (keys);
  g_byte_array_unref (spec);
  g_byte_array_unref (progress);
  g_byte_array_unref (end);
  g_byte_array_unref (crashes);
  iv_job_table_free (table);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_ended_jobs_are_small_and_known),
    cmocka_unit_test (test_short_specifications_are_kept),
    cmocka_unit_test (test_keys_of_an_ended_job),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
