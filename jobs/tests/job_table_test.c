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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_ended_jobs_are_small_and_known),
    cmocka_unit_test (test_short_specifications_are_kept),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
