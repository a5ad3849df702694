#include "affinity.h"

#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define DOMAINS 5
#define JOBS 1000

static const char *const names[DOMAINS] = { "a", "b", "c", "d", "e" };

static const char *
job_id (guint i)
{
  static char id[IV_JOB_ID_LEN + 1];
  g_snprintf (id, sizeof id, "%016x", i);
  return id;
}

static void
test_jobs_are_distributed_evenly_and_keep_their_domain (void **state)
{
  GPtrArray *domains = g_ptr_array_new ();
  GPtrArray *fewer = g_ptr_array_new ();
  guint counts[DOMAINS] = { 0 };
  assert_null (iv_affinity_domain (domains, job_id (0)));
  for (guint i = 0; i < DOMAINS; i++)
    {
      g_ptr_array_add (domains, (gpointer)names[i]);
      if (i != 2)
        g_ptr_array_insert (fewer, 0, (gpointer)names[i]);
    }
  for (guint i = 0; i < JOBS; i++)
    {
      const char *domain = iv_affinity_domain (domains, job_id (i));
      counts[*domain - 'a']++;
      if (strcmp (domain, names[2]) != 0)
        assert_string_equal (iv_affinity_domain (fewer, job_id (i)), domain);
    }
  for (guint i = 0; i < DOMAINS; i++)
    assert_in_range (counts[i], JOBS / DOMAINS * 8 / 10, JOBS / DOMAINS * 12 / 10);
  g_ptr_array_free (domains, TRUE);
  g_ptr_array_free (fewer, TRUE);
}

/* Number of domains in which job @a id has runs. */
static guint
count_domains (const struct sim *sim, const char *id)
{
  gboolean in_a = FALSE;
  gboolean in_b = FALSE;
  for (guint i = 0; i < sim->count; i++)
    if (sim_worker_runs (sim, i, id) > 0)
      *(strcmp (sim->workers[i].domain, "a") == 0 ? &in_a : &in_b) = TRUE;
  return in_a + in_b;
}

/* Lost zone: guards against jobs that are all late, as each has tasks in the lost domain. */
static void
test_batch_jobs_stay_in_one_domain (void **state)
{
  static const guint flags[] = { 0, IVJ_BEST_EFFORT };
  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    for (guint j = 0; j < 10; j++)
      {
        struct sim *sim = sim_new (8);
        char id[IV_JOB_ID_LEN + 1];
        sim_start_owner (sim);
        sim_make_job (4, 0);
        sim_steps[0].flags = flags[i];
        g_strlcpy (id, job_id (j), sizeof id);
        sim_submit (sim, id, &sim_spec);
        sim_advance (sim, 200);
        assert_int_equal (sim_job_runs (sim, id), 4);
        assert_int_equal (count_domains (sim, id), 1);
        sim_free (sim);
      }
}

/* Guards against tasks that wait for their domain while another has room. */
static void
test_full_or_lost_domains_are_left (void **state)
{
  for (guint lost = 0; lost < 2; lost++)
    for (guint j = 0; j < 10; j++)
      {
        struct sim *sim = sim_new (8);
        char id[IV_JOB_ID_LEN + 1];
        sim->domain_a_out = lost;
        sim_start_owner (sim);
        sim_make_job (lost ? 8 : 16, 0);
        g_strlcpy (id, job_id (j), sizeof id);
        sim_submit (sim, id, &sim_spec);
        sim_advance (sim, 200);
        assert_int_equal (sim_job_runs (sim, id), lost ? 8 : 16);
        sim_free (sim);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_jobs_are_distributed_evenly_and_keep_their_domain),
    cmocka_unit_test (test_batch_jobs_stay_in_one_domain),
    cmocka_unit_test (test_full_or_lost_domains_are_left),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
