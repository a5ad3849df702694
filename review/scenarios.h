/**
 * @file scenarios.h
 * The cases of this review that are scripts; a part of world.c.
 */

static const char *work_dir;

/* ---- case "schedule": the occurrences of a job run again after a hand-over ---- */

#define TIMES 3000

/* A schedule of one short task a second over 50 minutes is handed in when all its times have
   passed. The host that leads is killed once 1,000 occurrences have run. */
static int
run_schedule (gboolean trouble)
{
  char *body;
  gint64 until;
  char *state;
  guint before;
  begin (14, 32000, work_dir, 4);
  quiet_record = TRUE;
  body = g_strdup_printf (
      "{\"Spec\":\"cpu=1000 ms=1000\",\"Times\":%d,\"FirstRunMs\":%" G_GINT64_FORMAT
      ",\"IntervalMs\":1000,\"Steps\":[{\"Count\":1,\"Cpu\":1000,\"MemMb\":100,"
      "\"EstimateMs\":1000}]}",
      TIMES, wall_ms () - (gint64)TIMES * 1000);
  submit ("/jobs/", "5c0e7a21d94b36f8", body);
  g_free (body);
  until = now_ms () + 40000;
  while (done_total < 1000 && now_ms () < until)
    turn ();
  rec ("%u starts, %u ends done", starts_total, done_total);
  if (done_total < 1000)
    give_up ("the occurrences are not run");
  if (trouble)
    {
      struct host *host = leader ();
      kill_host (host, 3000);
    }
  before = starts_total;
  until = now_ms () + 60000;
  while (now_ms () < until)
    {
      run_for (3000);
      rec ("%u starts since, %u ends done, %u starts of tasks that had ended done and taken note "
           "of, %u of others that had ended done",
           starts_total - before, done_total, doubled, doubled_early);
      state = state_of ("/jobs/", "5c0e7a21d94b36f8");
      if (strcmp (state, "completed") == 0)
        break;
      g_free (state);
    }
  rec ("%u tasks have run, %u starts after an end done that was taken note of, %u overlaps",
       g_hash_table_size (tasks), doubled, overlaps);
  return doubled > 0 ? 1 : 0;
}

/* ---- case "gang": a gang is not started again after a crash of a minion ---- */

#define GANG 16

static struct minion *
minion_with (const char *job)
{
  for (guint i = 0; i < minion_count; i++)
    for (guint j = 0; !minions[i].down && j < minions[i].runs->len; j++)
      if (g_str_has_prefix (((struct run *)g_ptr_array_index (minions[i].runs, j))->task, job))
        return &minions[i];
  return NULL;
}

static guint
running_of (const char *job)
{
  guint count = 0;
  for (guint i = 0; i < minion_count; i++)
    for (guint j = 0; !minions[i].down && j < minions[i].runs->len; j++)
      count += g_str_has_prefix (((struct run *)g_ptr_array_index (minions[i].runs, j))->task, job);
  return count;
}

static int
run_gang (gboolean trouble)
{
  static const char id[] = "7d0e7a21d94b36f1";
  struct minion *minion;
  gint64 until;
  gint64 idle_since;
  gint64 longest = 0;
  char *body;
  begin (12, 32000, work_dir, 4);
  body = g_strdup_printf ("{\"Spec\":\"cpu=1000 ms=3000 gang=%d\",\"Steps\":[{\"Count\":%d,"
                          "\"Cpu\":1000,\"MemMb\":500,\"EstimateMs\":3000,\"Gang\":true}]}",
                          GANG, GANG);
  submit ("/jobs/", id, body);
  g_free (body);
  until = now_ms () + 10000;
  while (running_of (id) < GANG && now_ms () < until)
    turn ();
  if (running_of (id) < GANG)
    give_up ("the gang is not started");
  run_for (300);
  minion = minion_with (id);
  if (trouble)
    crash (minion, 1500);
  idle_since = now_ms ();
  until = now_ms () + 45000;
  while (now_ms () < until)
    {
      char *state = NULL;
      gint64 next = now_ms () + 3000;
      while (now_ms () < next)
        {
          turn ();
          if (running_of (id) > 0)
            idle_since = now_ms ();
          longest = MAX (longest, now_ms () - idle_since);
        }
      state = state_of ("/jobs/", id);
      if (strcmp (state, "completed") == 0)
        {
          rec ("the job is completed");
          return 0;
        }
      rec ("nothing of the job has run for %" G_GINT64_FORMAT " ms; no other job is there",
           now_ms () - idle_since);
      g_free (state);
    }
  rec ("nothing of the job ran for %" G_GINT64_FORMAT " ms on end", longest);
  return longest > 20000 ? 1 : 0;
}

/* ---- cases "lasting" and "batch": a job is shown as failed after two crashes of minions ---- */

static int
run_crashes (gboolean trouble, const char *id, const char *body, gint64 crash_after_ms)
{
  guint crashes = 0;
  gint64 until;
  gint64 seen_run = 0;
  begin (20, 16000, work_dir, 4);
  submit ("/jobs/", id, body);
  until = now_ms () + 40000;
  while (now_ms () < until)
    {
      struct minion *minion;
      turn ();
      minion = minion_with (id);
      if (minion == NULL)
        continue;
      for (guint i = 0; i < minion->runs->len; i++)
        {
          struct run *run = g_ptr_array_index (minion->runs, i);
          if (!g_str_has_prefix (run->task, id) || run->number == seen_run)
            continue;
          if (!trouble || crashes >= 2 || now_ms () < run->started_ms + crash_after_ms)
            continue;
          seen_run = run->number;
          crashes++;
          crash (minion, 1500);
          break;
        }
      if (crashes == 2 && until > now_ms () + 15000)
        until = now_ms () + 15000;
      if (!trouble && until > now_ms () + 20000)
        until = now_ms () + 20000;
    }
  if (trouble && crashes < 2)
    give_up ("the task was not started twice");
  char *state = state_of ("/jobs/", id);
  char *task = g_strdup_printf ("%s.0.0.0", id);
  rec ("state %s, %u starts, %u ends failed, %u runs now", state, task_of (task)->starts,
       task_of (task)->failed, running_of (id));
  return strcmp (state, "failed") == 0 && task_of (task)->failed == 0 ? 1 : 0;
}

static int
run_lasting (gboolean trouble)
{
  return run_crashes (trouble, "8d0e7a21d94b36f2",
                      "{\"Spec\":\"cpu=2000 lasts\",\"Steps\":[{\"Count\":1,\"Cpu\":2000,"
                      "\"MemMb\":500,\"EstimateMs\":500,\"LongRunning\":true}]}",
                      400);
}

static int
run_batch (gboolean trouble)
{
  return run_crashes (trouble, "8d0e7a21d94b36f3",
                      "{\"Spec\":\"cpu=2000 ms=1700\",\"Steps\":[{\"Count\":1,\"Cpu\":2000,"
                      "\"MemMb\":500,\"EstimateMs\":1700}]}",
                      400);
}

/* ---- case "route": accepted jobs of a queue that is removed are not run on ---- */

static int
run_route (gboolean trouble)
{
  static const char id[] = "9d0e7a21d94b36f4";
  gint64 until;
  gint64 idle_since;
  gint64 longest = 0;
  gboolean dropped = FALSE;
  begin (14, 16000, work_dir, 4);
  submit ("/jobs/", id,
          "{\"Spec\":\"cpu=1000 ms=2500\",\"Steps\":[{\"Count\":4,\"Cpu\":1000,\"MemMb\":500,"
          "\"EstimateMs\":2500},{\"Count\":4,\"Cpu\":1000,\"MemMb\":500,\"EstimateMs\":2500,"
          "\"DependsOn\":[0]}]}");
  until = now_ms () + 30000;
  idle_since = now_ms ();
  while (now_ms () < until)
    {
      turn ();
      if (running_of (id) > 0)
        idle_since = now_ms ();
      if (trouble && !dropped && running_of (id) == 4)
        {
          dropped = TRUE;
          put_config (5, FALSE, 4);
        }
      if (done_total < 8)
        longest = MAX (longest, now_ms () - idle_since);
    }
  rec ("%u of 8 tasks have ended done; nothing of the job ran for %" G_GINT64_FORMAT " ms on end",
       done_total, longest);
  put_config (9, TRUE, 4);
  run_for (3000);
  rec ("3 s after the route is back: %u of 8 tasks have ended done, %u run", done_total,
       running_of (id));
  g_free (state_of ("/jobs/", id));
  return longest > 20000 ? 1 : 0;
}

static const struct
{
  const char *name;
  int (*run) (gboolean trouble);
} scenarios[] = { { "schedule", run_schedule },
                  { "gang", run_gang },
                  { "lasting", run_lasting },
                  { "batch", run_batch },
                  { "route", run_route } };
