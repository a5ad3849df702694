#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "place_wait.h"
#include "task_lengths.h"

#define NOW_MS 100000
#define REST_MS 1500
#define BOUND_MS 2000

/* Tasks that wait for place "a", which has room in 1 s; there is room elsewhere, at twice the
   duration. */
static struct iv_place places[2];
static struct iv_place_query query;

static void
prepare (void)
{
  places[0] = (struct iv_place){ "a", 0, 1000, TRUE };
  places[1] = (struct iv_place){ "b", 2, IV_PLACE_NEVER, TRUE };
  query = (struct iv_place_query){
    .places = places, .count = 2, .rest_ms = REST_MS, .far_factor_milli = 2000, .now_ms = NOW_MS
  };
}

static void
assert_goes (enum iv_place_reason reason)
{
  struct iv_place_decision decision = iv_place_wait_decide (&query);
  assert_string_equal (iv_place_reason_name (decision.reason), iv_place_reason_name (reason));
  assert_null (decision.place);
  assert_int_equal (decision.until_ms, 0);
}

static void
assert_waits_until (gint64 until_ms)
{
  struct iv_place_decision decision = iv_place_wait_decide (&query);
  assert_string_equal (iv_place_reason_name (decision.reason), "waits");
  assert_string_equal (decision.place, "a");
  assert_int_equal (decision.until_ms, until_ms);
}

/* Guards against waits that cost more than going elsewhere. */
static void
test_waits_while_it_pays (void **state)
{
  prepare ();
  assert_waits_until (NOW_MS + REST_MS);
  places[0].room_in_ms = REST_MS;
  assert_goes (IV_PLACE_TOO_LATE);
  /* There is no room elsewhere any sooner. */
  query.elsewhere_in_ms = 200;
  query.since_ms = NOW_MS - 100;
  assert_goes (IV_PLACE_TOO_LATE);
  query.elsewhere_in_ms = REST_MS;
  assert_waits_until (NOW_MS - 100 + REST_MS);
  query.far_factor_milli = 1000;
  assert_goes (IV_PLACE_BOUND);
  prepare ();
  places[0].room_in_ms = 0;
  assert_string_equal (iv_place_wait_decide (&query).place, "a");
  assert_int_equal (iv_place_wait_decide (&query).reason, IV_PLACE_FITS);
}

/* Guards against a hard bound that expectations override: a job without a run for 2 s, a
   long-running task that is down for as long, as it counts as lost after 3 s, a gang for its wait,
   a job for its objective. */
static void
test_hard_bounds (void **state)
{
  static const struct iv_place_bounds rows[] = {
    { .long_running = TRUE },
    { .gang_wait_ms = BOUND_MS },
    { .idle_since_ms = NOW_MS },
    { .objective_ms = NOW_MS + BOUND_MS },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      prepare ();
      query.rest_ms = 60000;
      query.bounds = rows[i];
      assert_waits_until (NOW_MS + BOUND_MS);
      places[0].room_in_ms = BOUND_MS;
      assert_goes (IV_PLACE_TOO_LATE);
      query.since_ms = NOW_MS;
      query.now_ms = NOW_MS + BOUND_MS - 1;
      places[0].room_in_ms = 0;
      query.fitted = TRUE;
      assert_int_equal (iv_place_wait_decide (&query).reason, IV_PLACE_FITS);
      query.now_ms++;
      assert_goes (IV_PLACE_BOUND);
      query.elsewhere_in_ms = IV_PLACE_NEVER;
      assert_goes (IV_PLACE_BOUND);
    }
}

/* Guards against tasks that wait for a place which is gone, or never start as room in it is not
   room for them. */
static void
test_preference_is_no_condition (void **state)
{
  prepare ();
  places[0].usable = FALSE;
  assert_goes (IV_PLACE_NONE);
  query.waited_for = "a";
  assert_goes (IV_PLACE_LOST);
  query.waited_for = "no longer known";
  places[0].usable = TRUE;
  assert_goes (IV_PLACE_LOST);
  prepare ();
  places[0].room_in_ms = IV_PLACE_NEVER;
  assert_goes (IV_PLACE_NONE);
  prepare ();
  query.preferred = "b";
  assert_goes (IV_PLACE_NONE);
  prepare ();
  places[0].room_in_ms = 0;
  query.since_ms = NOW_MS - REST_MS;
  assert_int_equal (iv_place_wait_decide (&query).reason, IV_PLACE_FITS);
  query.fitted = TRUE;
  assert_goes (IV_PLACE_BOUND);
}

/* Guards against tasks that take the room of those ahead, or are kept from room that is enough for
   all. */
static void
test_tasks_ahead (void **state)
{
  assert_int_equal (iv_place_tasks_needed (2, 0, 0), 2);
  assert_int_equal (iv_place_tasks_needed (2, 3, 5), 5);
  assert_int_equal (iv_place_tasks_needed (2, 3, 4), 8);
  assert_int_equal (iv_place_tasks_needed (G_MAXUINT, 2, 1), G_MAXUINT);
}

/* Guards against members of a gang that start when the first have given up. */
static void
test_gang_window (void **state)
{
  assert_int_equal (iv_place_gang_window_ms (1500, 4000), 1500);
  assert_int_equal (iv_place_gang_window_ms (1500, 900), 900);
  assert_int_equal (iv_place_gang_window_ms (1500, 0), 1500);
}

/* Time from now to the end of the tasks by @a decide, when the place gets room after @a room_ms and
   is expected to after @a expected_ms. */
static gint64
play (struct iv_place_decision (*decide) (const struct iv_place_query *query), gint64 room_ms,
      gint64 expected_ms)
{
  prepare ();
  query.since_ms = NOW_MS;
  for (;;)
    {
      gint64 waited_ms = query.now_ms - NOW_MS;
      places[0].room_in_ms = waited_ms >= room_ms ? 0 : MAX (1, expected_ms - waited_ms);
      if (decide (&query).place == NULL)
        return waited_ms + 2 * REST_MS;
      if (waited_ms >= room_ms)
        return waited_ms + REST_MS;
      query.now_ms += 10;
    }
}

/* Guards against a place that frees just after the wait, and against expectations that are wrong by
   as much as they can be: what waits never takes longer than the baseline's worst, which is twice
   the cost of going elsewhere at once. */
static void
test_wrong_expectations_are_bounded (void **state)
{
  static const gint64 rooms_ms[] = { 1, 500, REST_MS - 1, REST_MS, REST_MS + 1, 9000 };
  for (guint i = 0; i < G_N_ELEMENTS (rooms_ms); i++)
    for (guint j = 0; j < G_N_ELEMENTS (rooms_ms); j++)
      {
        gint64 took_ms = play (iv_place_wait_decide, rooms_ms[i], rooms_ms[j]);
        assert_in_range (took_ms, REST_MS, 3 * REST_MS);
      }
  /* Told the truth, it is never worse than the baseline. */
  for (gint64 room_ms = 0; room_ms < 3 * REST_MS; room_ms += 50)
    assert_true (play (iv_place_wait_decide, room_ms, room_ms)
                 <= play (iv_place_wait_constant, room_ms, room_ms));
  assert_int_equal (play (iv_place_wait_constant, REST_MS + 1, REST_MS + 1), 3 * REST_MS);
  assert_int_equal (play (iv_place_wait_decide, REST_MS + 1, REST_MS + 1), 2 * REST_MS);
}

/* A fleet of racks in which jobs of one task arrive, some of which prefer the first rack. */
#define RACKS 5
#define SLOTS 8 /* of a rack */
#define JOBS 1500
#define STEP_MS 20
#define DURATION_MS 1500

struct scene
{
  const char *name;
  guint hot_percent;     /**< of the jobs that prefer the first rack */
  guint tail_percent;    /**< of the tasks that take seven times as long */
  double estimate_error; /**< estimates are off by up to this share */
  gint64 cut_ms;         /**< the first rack is cut off then; 0: never */
  gint64 mean_arrival_ms;
  guint slots; /**< that a task needs in one rack */
};

struct player
{
  const struct scene *scene;
  struct iv_place_decision (*decide) (const struct iv_place_query *query);
  struct iv_task_lengths *lengths; /**< learnt in the course of the play */
  GRand *random;
  gint64 ends_ms[RACKS][SLOTS]; /**< of the run in a slot; 0: it is free */
  gint64 begins_ms[RACKS][SLOTS];
  gint64 took_ms; /**< sum over the jobs that have started, from arrival to end */
  guint started;
};

struct job
{
  gint64 arrived_ms;
  gint64 duration_ms;
  gint64 estimate_ms;
  gint64 since_ms;
  gint rack; /**< that it prefers; -1: none */
};

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;
  return (x > y) - (x < y);
}

static guint
count_free (const struct player *player, guint rack)
{
  guint count = 0;
  for (guint i = 0; i < SLOTS; i++)
    count += player->ends_ms[rack][i] == 0;
  return count;
}

/* Expected time until @a rack has room for @a slots more. */
static gint64
room_in_ms (const struct player *player, guint rack, guint slots, gint64 now_ms)
{
  gint64 rests_ms[SLOTS];
  guint count = 0;
  guint vacant = count_free (player, rack);
  if (slots <= vacant)
    return 0;
  for (guint i = 0; i < SLOTS; i++)
    if (player->ends_ms[rack][i] > 0)
      rests_ms[count++]
          = iv_task_lengths_rest_ms (player->lengths, 1, DURATION_MS,
                                     now_ms - player->begins_ms[rack][i], IV_TASK_LENGTHS_MEDIAN);
  qsort (rests_ms, count, sizeof rests_ms[0], compare_times);
  slots -= vacant;
  return rests_ms[(slots - 1) % count] + (slots - 1) / count * DURATION_MS;
}

static void
start (struct player *player, const struct job *job, guint rack, gint64 now_ms)
{
  gboolean far = job->rack >= 0 && (guint)job->rack != rack;
  gint64 end_ms = now_ms + job->duration_ms * (far ? 2 : 1);
  guint left = player->scene->slots;
  for (guint i = 0; i < SLOTS && left > 0; i++)
    if (player->ends_ms[rack][i] == 0)
      {
        player->ends_ms[rack][i] = end_ms;
        player->begins_ms[rack][i] = now_ms;
        left--;
      }
  player->took_ms += end_ms - job->arrived_ms;
  player->started++;
}

/* The baseline knows the estimate only. */
static gint64
rest_ms (const struct player *player, const struct job *job)
{
  if (player->decide == iv_place_wait_constant)
    return job->estimate_ms;
  return iv_task_lengths_quantile_ms (player->lengths, 1, job->estimate_ms, IV_TASK_LENGTHS_MEDIAN);
}

/* The rack that takes @a job now: -1: none, or it waits. */
static gint
find_rack (const struct player *player, struct job *job, gint64 now_ms, guint claimed)
{
  guint slots = player->scene->slots;
  gboolean cut = player->scene->cut_ms > 0 && now_ms >= player->scene->cut_ms;
  gint elsewhere = -1;
  guint needed = iv_place_tasks_needed (slots, claimed, count_free (player, 0));
  for (guint i = 0; i < RACKS; i++)
    if (!(i == 0 && cut) && count_free (player, i) >= slots
        && (elsewhere < 0 || count_free (player, i) > count_free (player, (guint)elsewhere)))
      elsewhere = (gint)i;
  if (job->rack < 0)
    return elsewhere;
  places[0] = (struct iv_place){ "a", count_free (player, 0) / slots,
                                 room_in_ms (player, 0, needed, now_ms), !cut };
  query = (struct iv_place_query){
    .places = places,
    .count = 1,
    .preferred = "a",
    .waited_for = job->since_ms > 0 ? "a" : NULL,
    .elsewhere_in_ms = elsewhere >= 0 ? 0 : G_MAXINT,
    .rest_ms = rest_ms (player, job),
    .far_factor_milli = 2000,
    .since_ms = job->since_ms,
    .now_ms = now_ms,
    .bounds.idle_since_ms = job->arrived_ms,
  };
  if (job->since_ms == 0)
    job->since_ms = now_ms;
  if (player->decide (&query).place == NULL)
    return elsewhere;
  return count_free (player, 0) >= slots ? 0 : -1;
}

static void
end_runs (struct player *player, gint64 now_ms)
{
  for (guint i = 0; i < RACKS; i++)
    for (guint j = 0; j < SLOTS; j++)
      if (player->ends_ms[i][j] > 0 && player->ends_ms[i][j] <= now_ms)
        {
          iv_task_lengths_add (player->lengths, 1, player->ends_ms[i][j] - player->begins_ms[i][j],
                               now_ms);
          player->ends_ms[i][j] = 0;
        }
}

static void
dispatch (struct player *player, GArray *jobs, gint64 now_ms)
{
  guint claimed = 0;
  for (guint i = 0; i < jobs->len;)
    {
      struct job *job = &g_array_index (jobs, struct job, i);
      gint rack = find_rack (player, job, now_ms, claimed);
      if (rack >= 0)
        {
          start (player, job, (guint)rack, now_ms);
          g_array_remove_index (jobs, i);
          continue;
        }
      claimed += job->rack == 0 ? player->scene->slots : 0;
      i++;
    }
}

static void
arrive (struct player *player, GArray *jobs, gint64 now_ms)
{
  const struct scene *scene = player->scene;
  struct job job = { .arrived_ms = now_ms, .rack = -1 };
  gboolean tail = (guint)g_rand_int_range (player->random, 0, 100) < scene->tail_percent;
  double error = g_rand_double_range (player->random, -1, 1) * scene->estimate_error;
  job.duration_ms = DURATION_MS * g_rand_int_range (player->random, 80, 120) / 100;
  job.duration_ms *= tail ? 7 : 1;
  job.estimate_ms = (gint64)(DURATION_MS * (1 + error));
  if ((guint)g_rand_int_range (player->random, 0, 100) < scene->hot_percent)
    job.rack = 0;
  g_array_append_val (jobs, job);
}

/* Mean time from arrival to end. */
static double
play_scene (const struct scene *scene, guint seed,
            struct iv_place_decision (*decide) (const struct iv_place_query *query))
{
  struct player player
      = { .scene = scene, .decide = decide, .random = g_rand_new_with_seed (seed) };
  GArray *jobs = g_array_new (FALSE, FALSE, sizeof (struct job));
  gint64 next_ms = 1000;
  guint arrived = 0;
  player.lengths = iv_task_lengths_new ();
  for (gint64 now_ms = 1000; player.started < JOBS; now_ms += STEP_MS)
    {
      end_runs (&player, now_ms);
      for (; arrived < JOBS && next_ms <= now_ms; arrived++)
        {
          arrive (&player, jobs, now_ms);
          next_ms += g_rand_int_range (player.random, 0, (gint)(2 * scene->mean_arrival_ms));
        }
      dispatch (&player, jobs, now_ms);
    }
  g_array_unref (jobs);
  g_rand_free (player.random);
  iv_task_lengths_free (player.lengths);
  return (double)player.took_ms / JOBS;
}

/* Guards against learnt durations that make waits worse than the baseline, delay scheduling with a
   constant: a rack that six tenths of the jobs want, a group that takes most of a rack, a rack that
   is cut off halfway, a tail of seven times beside estimates that are off by nine tenths. */
static void
test_no_worse_than_the_baseline (void **state)
{
  static const struct scene scenes[] = {
    { "even", 20, 0, 0, 0, 90, 1 },
    { "hot rack", 60, 0, 0, 0, 90, 1 },
    { "hot rack, low load", 60, 0, 0, 0, 180, 1 },
    { "wide group", 30, 0, 0, 0, 500, 5 },
    { "cut off", 60, 0, 0, 60000, 120, 1 },
    { "tail", 60, 3, 0, 0, 100, 1 },
    { "wrong estimates", 60, 0, 0.9, 0, 90, 1 },
    { "tail and wrong estimates", 60, 3, 0.9, 0, 100, 1 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (scenes); i++)
    {
      double learnt = 0;
      double constant = 0;
      for (guint seed = 1; seed <= 5; seed++)
        {
          learnt += play_scene (&scenes[i], seed, iv_place_wait_decide) / 5;
          constant += play_scene (&scenes[i], seed, iv_place_wait_constant) / 5;
        }
      print_message ("%s: %.0f ms, with a constant %.0f ms\n", scenes[i].name, learnt, constant);
      assert_true (learnt <= constant);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_waits_while_it_pays),
    cmocka_unit_test (test_hard_bounds),
    cmocka_unit_test (test_preference_is_no_condition),
    cmocka_unit_test (test_tasks_ahead),
    cmocka_unit_test (test_gang_window),
    cmocka_unit_test (test_wrong_expectations_are_bounded),
    cmocka_unit_test (test_no_worse_than_the_baseline),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
