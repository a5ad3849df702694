#include "forecast.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define CAPACITY_MILLI 1000000 /* a cell of 1,000 cores */
#define SPAN_MS 3000
#define PATH_MS 1000
#define HOSTS 40
#define TASK_MILLI 2000
#define STEP_MS 10
#define PLAY_STEPS 3000
#define ARRIVALS_MS 12000
#define SEEDS 40

static guint32 first_seed = 1;
static guint32 seeds = SEEDS;

/* 250 tasks of two cores and a second each. */
static const struct iv_forecast_job wide = {
  .work = 500000, .ready = 500000, .path_ms = PATH_MS, .waves_ms = PATH_MS, .span_ms = SPAN_MS
};

static void
add_waiting (GArray *jobs, guint count, const struct iv_forecast_job *job, gint64 since_ms)
{
  for (guint i = 0; i < count; i++)
    {
      struct iv_backlog_job row = { .priority = job->priority,
                                    .work = job->work,
                                    .waiting = job->ready,
                                    .path_ms = job->path_ms,
                                    .objective_ms = since_ms + job->span_ms,
                                    .zero_utility_ms = since_ms + 3 * job->span_ms,
                                    .on_time = job->path_ms <= since_ms + job->span_ms };
      g_array_append_val (jobs, row);
    }
}

/* A full cell in which @a count jobs like @a job wait since @a since_ms, measured at 0. */
static struct iv_backlog
backlog_of (guint count, const struct iv_forecast_job *job, gint64 since_ms)
{
  struct iv_backlog backlog = { .rate_milli = CAPACITY_MILLI, .capacity_milli = CAPACITY_MILLI };
  GArray *jobs = g_array_new (FALSE, FALSE, sizeof (struct iv_backlog_job));
  add_waiting (jobs, count, job, since_ms);
  iv_backlog_measure (&backlog, jobs, 0);
  g_array_unref (jobs);
  return backlog;
}

static enum iv_forecast_verdict
verdict (const struct iv_backlog *backlog, const struct iv_forecast_job *job, gint64 age_ms)
{
  return iv_forecast_job (backlog, job, age_ms).verdict;
}

/* A job of one step, of tasks of TASK_MILLI each that run to their end. */
struct served
{
  struct iv_forecast_job job;
  gint64 arrived_ms;
  gint64 ended_ms; /* 0: it has not */
  guint tasks;
  guint waiting; /* of the tasks */
  guint running;
  gboolean accepted;
  enum iv_forecast_verdict verdict;
};

/* The cell, in steps of STEP_MS. */
struct cell
{
  GPtrArray *rows;             /* of struct served */
  GPtrArray *ends[PLAY_STEPS]; /* of struct served, once for each task that ends then */
  gint64 free_milli;
};

static gint64
work_left (const struct served *row)
{
  return row->job.work * (row->waiting + row->running) / row->tasks;
}

/* Class in the order of the queue: 0 on time, 1 late, 2 without value. A job that runs is on time
   until its objective. */
static guint
class_of (const struct served *row, gint64 now_ms)
{
  gint64 path_ms = row->running > 0 ? 0 : row->job.path_ms;
  gint64 objective_ms = row->arrived_ms + row->job.span_ms;
  if (now_ms + path_ms <= objective_ms)
    return 0;
  return now_ms <= row->arrived_ms + 3 * row->job.span_ms ? 1 : 2;
}

/* As in jobs/queue_order.c; queues have one priority here. */
static gint
compare_served (gconstpointer a, gconstpointer b, gpointer now_ms)
{
  const struct served *x = *(const struct served *const *)a;
  const struct served *y = *(const struct served *const *)b;
  guint class_x = class_of (x, *(gint64 *)now_ms);
  guint class_y = class_of (y, *(gint64 *)now_ms);
  gint64 left = x->arrived_ms + x->job.span_ms;
  gint64 right = y->arrived_ms + y->job.span_ms;
  if (class_x != class_y)
    return class_x < class_y ? -1 : 1;
  if (class_x == 0 && work_left (x) != work_left (y))
    return work_left (x) < work_left (y) ? -1 : 1;
  return (left > right) - (left < right);
}

static void
end_tasks (struct cell *cell, gint64 now_ms)
{
  GPtrArray *ends = cell->ends[now_ms / STEP_MS];
  for (guint i = 0; ends && i < ends->len; i++)
    {
      struct served *row = g_ptr_array_index (ends, i);
      cell->free_milli += TASK_MILLI;
      row->running--;
      if (row->running + row->waiting == 0)
        row->ended_ms = now_ms;
    }
}

static void
start_tasks (struct cell *cell, gint64 now_ms)
{
  GPtrArray *turn = g_ptr_array_new ();
  for (guint i = 0; i < cell->rows->len; i++)
    {
      struct served *row = g_ptr_array_index (cell->rows, i);
      if (row->accepted && row->waiting > 0)
        g_ptr_array_add (turn, row);
    }
  g_ptr_array_sort_with_data (turn, compare_served, &now_ms);
  for (guint i = 0; i < turn->len; i++)
    {
      struct served *row = g_ptr_array_index (turn, i);
      GPtrArray **ends = &cell->ends[MIN ((now_ms + row->job.path_ms) / STEP_MS, PLAY_STEPS - 1)];
      if (*ends == NULL)
        *ends = g_ptr_array_new ();
      for (; row->waiting > 0 && cell->free_milli >= TASK_MILLI; row->waiting--)
        {
          cell->free_milli -= TASK_MILLI;
          row->running++;
          g_ptr_array_add (*ends, row);
        }
    }
  g_ptr_array_free (turn, TRUE);
}

/* As iv_owner_measure_backlog() in jobs/owner_load.c. */
static void
measure (struct iv_backlog *backlog, const struct cell *cell, gboolean *was_full, gint64 now_ms)
{
  GArray *jobs = g_array_new (FALSE, FALSE, sizeof (struct iv_backlog_job));
  gboolean full;
  *backlog = (struct iv_backlog){ .capacity_milli = CAPACITY_MILLI };
  for (guint i = 0; i < cell->rows->len; i++)
    {
      const struct served *row = g_ptr_array_index (cell->rows, i);
      struct iv_backlog_job job = { .priority = row->job.priority,
                                    .work = work_left (row),
                                    .waiting = row->job.work * row->waiting / row->tasks,
                                    .path_ms = row->job.path_ms,
                                    .objective_ms = row->arrived_ms + row->job.span_ms,
                                    .zero_utility_ms = row->arrived_ms + 3 * row->job.span_ms,
                                    .on_time = class_of (row, now_ms) == 0 };
      if (row->accepted && row->waiting > 0)
        g_array_append_val (jobs, job);
    }
  full = jobs->len > 0 && cell->free_milli < CAPACITY_MILLI / 5;
  backlog->rate_milli = full && *was_full ? CAPACITY_MILLI - cell->free_milli : 0;
  *was_full = full;
  iv_backlog_measure (backlog, jobs, now_ms);
  g_array_unref (jobs);
}

/* What a play of a burst gives. */
struct tally
{
  guint jobs;
  guint refused;  /* by the verdict, whether it is followed or not */
  guint valuable; /* ended while they had value */
  guint wrong;    /* refused by the verdict, accepted, and of value */
};

/* The load of queue @a queue at @a now_ms, in percent of the capacity. */
static guint
load_percent (guint queue, gint64 now_ms)
{
  if (queue == 0)
    return now_ms >= 2400 && now_ms < 6400 ? 230 : 20;
  return now_ms >= 6400 && now_ms < 10400 ? 190 : 20;
}

/* Plays a burst of one queue and then of another. @a follows: jobs with the verdict are refused;
   else all are accepted, and the verdict is only noted. */
static struct tally
play_bursts (gboolean follows, guint32 seed)
{
  static const struct iv_forecast_job queues[]
      = { { .work = 50000, .ready = 50000, .path_ms = 1000, .waves_ms = 1000, .span_ms = 1500 },
          { .work = 80000, .ready = 80000, .path_ms = 900, .waves_ms = 900, .span_ms = 1400 } };
  struct cell cell
      = { .rows = g_ptr_array_new_with_free_func (g_free), .free_milli = CAPACITY_MILLI };
  GRand *random = g_rand_new_with_seed (seed);
  struct iv_backlog backlog = { 0 };
  struct tally tally = { 0 };
  gboolean was_full = FALSE;
  double owed[2] = { 0 };
  gint64 measured_ms = 0;
  for (gint64 now_ms = 0; now_ms < (gint64)PLAY_STEPS * STEP_MS; now_ms += STEP_MS)
    {
      end_tasks (&cell, now_ms);
      if (now_ms % 500 == 0)
        {
          measure (&backlog, &cell, &was_full, now_ms);
          measured_ms = now_ms;
        }
      for (guint i = 0; i < 2 && now_ms < ARRIVALS_MS; i++)
        for (owed[i] += CAPACITY_MILLI / 1000.0 * STEP_MS * load_percent (i, now_ms) / 100;
             owed[i] >= (double)queues[i].work; owed[i] -= (double)queues[i].work)
          {
            struct served *row = g_new0 (struct served, 1);
            gint64 percent = g_rand_int_range (random, 60, 140);
            row->job = queues[i];
            row->tasks = (guint)(queues[i].work * percent / 100 / queues[i].path_ms / 2);
            row->job.work = row->job.ready = row->tasks * queues[i].path_ms * TASK_MILLI / 1000;
            row->waiting = row->tasks;
            row->arrived_ms = now_ms;
            row->verdict = verdict (&backlog, &row->job, now_ms - measured_ms);
            row->accepted = !follows || row->verdict != IV_FORECAST_REFUSED;
            if (row->accepted)
              iv_backlog_add (&backlog, &row->job, 1);
            g_ptr_array_add (cell.rows, row);
          }
      start_tasks (&cell, now_ms);
    }
  for (guint i = 0; i < cell.rows->len; i++)
    {
      const struct served *row = g_ptr_array_index (cell.rows, i);
      gboolean valuable
          = row->ended_ms > 0 && row->ended_ms <= row->arrived_ms + 3 * row->job.span_ms;
      tally.jobs++;
      tally.refused += row->verdict == IV_FORECAST_REFUSED;
      tally.valuable += valuable;
      tally.wrong += row->verdict == IV_FORECAST_REFUSED && row->accepted && valuable;
    }
  g_rand_free (random);
  for (guint i = 0; i < PLAY_STEPS; i++)
    if (cell.ends[i])
      g_ptr_array_free (cell.ends[i], TRUE);
  g_ptr_array_unref (cell.rows);
  return tally;
}

/* Load: bursts of wide jobs of 2.3 times one queue for 4 s, then of 1.9 times another; 1,000 cores.
   Guards against a forecast that refuses what would be served: of the jobs with the verdict, none
   ends while it has value when all are accepted; and refusing them costs no other its value. */
static void
test_bursts (void **state)
{
  guint refused = 0;
  for (guint32 seed = first_seed; seed < first_seed + seeds; seed++)
    {
      struct tally all = play_bursts (FALSE, seed);
      struct tally some = play_bursts (TRUE, seed);
      print_message ("seed=%u jobs=%u: accepted all: valuable=%u refusable=%u wrong=%u;"
                     " refused=%u valuable=%u\n",
                     seed, all.jobs, all.valuable, all.refused, all.wrong, some.refused,
                     some.valuable);
      assert_int_equal (all.wrong, 0);
      assert_true (some.valuable >= all.valuable);
      refused += some.refused;
    }
  assert_true (refused > 0);
}

/* Load: a backlog of 9 s, and a job that has value for 9 s and takes 1 s. Guards against records
   that are taken for new: what was completed since waits no more. */
static void
test_age_of_records (void **state)
{
  struct iv_forecast_job small = wide;
  struct iv_backlog backlog;
  small.span_ms = 30000;
  small.work = small.ready = 200000;
  backlog = backlog_of (45, &small, 0);
  assert_int_equal (verdict (&backlog, &wide, 0), IV_FORECAST_REFUSED);
  assert_int_equal (verdict (&backlog, &wide, 500), IV_FORECAST_REFUSED);
  assert_int_equal (verdict (&backlog, &wide, 2000), IV_FORECAST_VALUABLE);
}

/* Load: forty hosts that decide alone within one interval between two records. What they accept
   beyond what fits is bounded: by one job a host when they know how many they are, and by what fits
   times their number when they do not. */
static void
test_forty_hosts (void **state)
{
  static const guint known[] = { HOSTS, 1 };
  for (guint i = 0; i < G_N_ELEMENTS (known); i++)
    {
      struct iv_forecast_job small = wide;
      struct iv_backlog alone;
      gint64 room = 0;
      gint64 total = 0;
      small.work = small.ready = 20000;
      alone = backlog_of (5, &wide, 0);
      while (verdict (&alone, &small, 0) != IV_FORECAST_REFUSED)
        {
          iv_backlog_add (&alone, &small, 1);
          room += small.ready;
        }
      for (guint host = 0; host < HOSTS; host++)
        {
          struct iv_backlog backlog = backlog_of (5, &wide, 0);
          while (verdict (&backlog, &small, 0) != IV_FORECAST_REFUSED)
            {
              iv_backlog_add (&backlog, &small, known[i]);
              total += small.ready;
            }
        }
      print_message ("hosts_known=%u fits=%" G_GINT64_FORMAT " accepted=%" G_GINT64_FORMAT "\n",
                     known[i], room, total);
      if (known[i] == HOSTS)
        assert_true (total <= room + HOSTS * small.ready);
      else
        assert_true (total <= room * HOSTS);
    }
}

/* Load: none is known, or the cell is not full. */
static void
test_unknown_backlog_accepts (void **state)
{
  struct iv_backlog backlog = { 0 };
  assert_int_equal (verdict (&backlog, &wide, 0), IV_FORECAST_UNKNOWN);
  backlog = backlog_of (100, &wide, 0);
  backlog.rate_milli = 0;
  assert_int_equal (verdict (&backlog, &wide, 0), IV_FORECAST_UNKNOWN);
}

/* Load: a long backlog, and a job whose own chain takes longer than it has value. It is not
   hopeless because of the load, and is run as today. */
static void
test_chain_that_is_too_long_is_accepted (void **state)
{
  struct iv_backlog backlog = backlog_of (100, &wide, 0);
  struct iv_forecast_job deep = wide;
  deep.span_ms = 300;
  assert_int_equal (verdict (&backlog, &deep, 0), IV_FORECAST_TOO_LONG);
  deep.path_ms = 100;
  deep.waves_ms = 1000;
  assert_int_equal (verdict (&backlog, &deep, 0), IV_FORECAST_TOO_LONG);
}

/* Load: a long backlog of less urgent work. An urgent job is served before it. */
static void
test_less_urgent_backlog_does_not_count (void **state)
{
  for (gint64 priority = 1; priority < IV_FORECAST_CLASSES + 2; priority++)
    {
      struct iv_forecast_job other = wide;
      struct iv_forecast_job large = wide;
      struct iv_backlog backlog;
      other.priority = priority;
      large.work *= 4;
      large.priority = priority - 1;
      other.span_ms = 30000;
      backlog = backlog_of (100, &other, 0);
      assert_int_equal (verdict (&backlog, &large, 0), IV_FORECAST_ON_TIME);
      large.priority = priority;
      if (priority < IV_FORECAST_CLASSES)
        assert_int_equal (verdict (&backlog, &large, 0), IV_FORECAST_REFUSED);
    }
}

/* Load: 5 s of smaller jobs of the same priority, which make a job late, and a long backlog of less
   urgent work. Late, it is still served before that. */
static void
test_less_urgent_backlog_does_not_count_for_late_jobs (void **state)
{
  struct iv_forecast_job same = wide;
  struct iv_backlog backlog;
  same.span_ms = 30000;
  same.work = same.ready = 200000;
  backlog = backlog_of (25, &same, 0);
  backlog.waiting[1] = backlog.on_time[1][3] = 50000000;
  assert_int_equal (verdict (&backlog, &wide, 0), IV_FORECAST_VALUABLE);
  backlog.waiting[0] += 50000000;
  assert_int_equal (verdict (&backlog, &wide, 0), IV_FORECAST_REFUSED);
}

/* Load: a long backlog of large jobs of the same priority. A small one goes before them as long as
   it is on time. */
static void
test_larger_jobs_do_not_count (void **state)
{
  struct iv_forecast_job long_lived = wide;
  struct iv_forecast_job small = wide;
  struct iv_backlog backlog;
  long_lived.span_ms = 30000;
  backlog = backlog_of (100, &long_lived, 0);
  small.work = small.ready = 100000;
  assert_int_equal (verdict (&backlog, &small, 0), IV_FORECAST_ON_TIME);
}

/* Load: a backlog of 50 s of jobs that have value for 9 s. Most of them expire before their turn
   and do not delay a later job. */
static void
test_expired_work_does_not_count (void **state)
{
  struct iv_backlog backlog = backlog_of (100, &wide, 0);
  assert_true (backlog.waiting[0] <= 9000000);
  assert_int_equal (backlog_of (100, &wide, -10000).waiting[0], 0);
}

/* Guards against sums that overflow: amounts are estimates of callers. */
static void
test_odd_amounts (void **state)
{
  struct iv_forecast_job odd = { .priority = G_MAXINT64,
                                 .work = G_MAXINT64,
                                 .ready = G_MAXINT64,
                                 .path_ms = G_MAXINT64 / 8,
                                 .waves_ms = G_MAXINT64 / 8,
                                 .span_ms = G_MAXINT64 / 8 };
  struct iv_backlog backlog = backlog_of (2, &wide, 0);
  assert_int_not_equal (verdict (&backlog, &odd, G_MAXINT64), IV_FORECAST_REFUSED);
  odd.priority = 0;
  for (guint i = 0; i < 10; i++)
    iv_backlog_add (&backlog, &odd, G_MAXUINT);
  assert_true (backlog.waiting[0] > 0);
  odd.span_ms = SPAN_MS;
  odd.path_ms = odd.waves_ms = PATH_MS;
  assert_int_equal (verdict (&backlog, &odd, 0), IV_FORECAST_REFUSED);
  odd.priority = G_MININT64;
  odd.span_ms = -1;
  odd.path_ms = 0;
  assert_true (iv_forecast_job (&backlog, &odd, -5).finish_ms > 0);
}

/* Arguments: the first seed of the bursts, and the number of seeds. */
int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bursts),
    cmocka_unit_test (test_age_of_records),
    cmocka_unit_test (test_forty_hosts),
    cmocka_unit_test (test_unknown_backlog_accepts),
    cmocka_unit_test (test_chain_that_is_too_long_is_accepted),
    cmocka_unit_test (test_less_urgent_backlog_does_not_count),
    cmocka_unit_test (test_less_urgent_backlog_does_not_count_for_late_jobs),
    cmocka_unit_test (test_larger_jobs_do_not_count),
    cmocka_unit_test (test_expired_work_does_not_count),
    cmocka_unit_test (test_odd_amounts),
  };
  if (argc > 1)
    {
      first_seed = (guint32)g_ascii_strtoull (argv[1], NULL, 10);
      seeds = argc > 2 ? (guint32)g_ascii_strtoull (argv[2], NULL, 10) : 1;
    }
  return cmocka_run_group_tests (tests, NULL, NULL);
}
