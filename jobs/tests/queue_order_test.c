/* Pattern: overload, when more work comes than the cell can finish in time. */
#include "queue_order.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define JOBS 60
#define ARRIVAL_INTERVAL_MS 100
#define SMALL_WORK 100 /* core-milliseconds; one core serves them */
#define LARGE_WORK 400
#define SPAN_MS 3000 /* from arrival to objective */

struct arrival
{
  struct iv_queue_item item;
  gint64 arrives_ms;
  gint64 ended_ms; /* 0: waits */
};

/* Jobs of two sizes, with two and a half times the work that one core can do. */
static void
make_arrivals (struct arrival *arrivals)
{
  for (guint i = 0; i < JOBS; i++)
    {
      gint64 work = i % 2 ? SMALL_WORK : LARGE_WORK;
      gint64 now = (gint64)i * ARRIVAL_INTERVAL_MS;
      arrivals[i] = (struct arrival){ .item = { .priority = 1,
                                                .objective_ms = now + SPAN_MS,
                                                .zero_utility_ms = now + 3 * SPAN_MS,
                                                .path_ms = work,
                                                .work = work },
                                      .arrives_ms = now };
    }
}

static struct arrival *
first_in_queue (struct arrival *arrivals, gint64 now_ms)
{
  struct arrival *first = NULL;
  for (guint i = 0; i < JOBS; i++)
    {
      struct arrival *next = &arrivals[i];
      if (next->ended_ms > 0 || next->arrives_ms > now_ms)
        continue;
      if (first == NULL
          || iv_queue_compare (&next->item, iv_queue_classify (&next->item, now_ms), &first->item,
                               iv_queue_classify (&first->item, now_ms))
                 < 0)
        first = next;
    }
  return first;
}

static void
serve_all (struct arrival *arrivals)
{
  gint64 now = 0;
  for (guint served = 0; served < JOBS;)
    {
      struct arrival *job = first_in_queue (arrivals, now);
      now += job ? job->item.work : 1;
      if (job == NULL)
        continue;
      job->ended_ms = now;
      served++;
    }
}

/* One core, overloaded: every small job meets its objective, and some large ones do. Earliest
   deadline first misses nearly all, since each job is late by what came before it. */
static void
test_overload_serves_most_callers_in_time (void **state)
{
  struct arrival arrivals[JOBS];
  guint small = 0;
  guint large = 0;
  make_arrivals (arrivals);
  serve_all (arrivals);
  for (guint i = 0; i < JOBS; i++)
    if (arrivals[i].ended_ms <= arrivals[i].item.objective_ms)
      *(arrivals[i].item.work == SMALL_WORK ? &small : &large) += 1;
  assert_int_equal (small, JOBS / 2);
  assert_true (large >= 5);
}

/* A late job is not overtaken by later ones for ever: among late jobs the objective decides. */
static void
test_late_jobs_go_by_objective (void **state)
{
  struct iv_queue_item large = { .objective_ms = 100, .zero_utility_ms = 900, .work = 1000 };
  struct iv_queue_item small = { .objective_ms = 200, .zero_utility_ms = 900, .work = 1 };
  assert_int_equal (iv_queue_classify (&large, 500), IV_QUEUE_LATE);
  assert_true (iv_queue_compare (&large, IV_QUEUE_LATE, &small, IV_QUEUE_LATE) < 0);
  assert_true (iv_queue_compare (&small, IV_QUEUE_ON_TIME, &large, IV_QUEUE_ON_TIME) < 0);
}

/* A job that cannot meet its objective any more does not hold up one that can. */
static void
test_hopeless_job_waits (void **state)
{
  struct iv_queue_item hopeless
      = { .objective_ms = 1000, .zero_utility_ms = 3000, .path_ms = 800, .work = 10 };
  struct iv_queue_item feasible
      = { .objective_ms = 2000, .zero_utility_ms = 6000, .path_ms = 800, .work = 90 };
  assert_int_equal (iv_queue_classify (&hopeless, 100), IV_QUEUE_ON_TIME);
  assert_int_equal (iv_queue_classify (&hopeless, 300), IV_QUEUE_LATE);
  assert_int_equal (iv_queue_classify (&hopeless, 3001), IV_QUEUE_ZERO_UTILITY);
  assert_int_equal (iv_queue_classify (&feasible, 300), IV_QUEUE_ON_TIME);
  assert_true (iv_queue_compare (&feasible, IV_QUEUE_ON_TIME, &hopeless, IV_QUEUE_LATE) < 0);
}

/* Priority goes before work, and long-running jobs before all. */
static void
test_priority_goes_before_work (void **state)
{
  struct iv_queue_item urgent = { .priority = 0, .objective_ms = 900, .work = 1000 };
  struct iv_queue_item small = { .priority = 2, .objective_ms = 100, .work = 1 };
  struct iv_queue_item service = { .long_running = TRUE, .priority = 3 };
  assert_true (iv_queue_compare (&urgent, IV_QUEUE_ON_TIME, &small, IV_QUEUE_ON_TIME) < 0);
  assert_int_equal (iv_queue_classify (&service, 5000), IV_QUEUE_LONG_RUNNING);
  assert_true (iv_queue_compare (&service, IV_QUEUE_LONG_RUNNING, &urgent, IV_QUEUE_ON_TIME) < 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_overload_serves_most_callers_in_time),
    cmocka_unit_test (test_late_jobs_go_by_objective),
    cmocka_unit_test (test_hopeless_job_waits),
    cmocka_unit_test (test_priority_goes_before_work),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
