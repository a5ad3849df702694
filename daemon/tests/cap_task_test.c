/* Two cells whose tasks append to a stand-in of the store and read its stream, in one loop. */
#include "cap_task.h"
#include "job_table.h"
#include "loopback_port.h"
#include "store_standin.h"
#include "stream.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define TOPIC "keyed.jobs"
#define NAME "alpha"
#define TIMEOUT_MS 5000 /* of a test that does not progress; no test waits for it to pass */
#define MOVED_MS 2000   /* room that is not needed in one cell is usable in another by then */
#define SILENCE_MS 10000

static uv_loop_t *loop;
static struct iv_deadlines *deadlines;
static struct store_standin *standin;
static struct iv_store *store;
static struct iv_cap_rows *rows;
static struct iv_stream *stream;
static struct iv_workspaces *workspaces;

/* The owner of a cell. */
struct side
{
  struct iv_cap_task *task;
  struct iv_recorder *recorder;
  struct iv_workspace_demand demand;
  guint fenced;
  guint rises;
};

static void
apply (void *context, const char *key, const guint8 *value, gsize len)
{
  assert_int_equal (iv_cap_task_apply (rows, key, value, len, (gint64)uv_now (loop)), IV_OK);
}

static void
on_fenced (void *context)
{
  ((struct side *)context)->fenced++;
}

static int
set_up (void **state)
{
  struct iv_stream_options options = { .topic = TOPIC, .read_delay_ms = 5, .apply = apply };
  struct iv_resources cap = { 12000, 0, 0 };
  char address[32];
  guint16 port;
  if (loop == NULL)
    {
      loop = uv_default_loop ();
      deadlines = iv_deadlines_new (loop);
      port = loopback_port_reserve ();
      g_snprintf (address, sizeof address, "127.0.0.1:%u", port);
      standin = store_standin_new (loop, port);
      store = iv_store_new (iv_http_client_new (loop, deadlines, 3600000, 1 << 20), address);
    }
  g_hash_table_remove_all (standin->topics);
  g_hash_table_remove_all (standin->producers);
  standin->refuse = FALSE;
  standin->responses_to_drop = 0;
  rows = iv_cap_rows_new ();
  stream = iv_stream_new (loop, deadlines, store, &options);
  workspaces = iv_workspaces_new ();
  assert_int_equal (iv_workspaces_add (workspaces, NAME, 1, &cap), IV_OK);
  return 0;
}

static int
tear_down (void **state)
{
  iv_stream_close (stream);
  iv_cap_rows_free (rows);
  iv_workspaces_free (workspaces);
  return 0;
}

static void
begin (struct side *side, guint cell, gint64 term)
{
  char writer[16];
  memset (side, 0, sizeof *side);
  g_snprintf (writer, sizeof writer, "owner%u", cell);
  side->demand.workspace = NAME;
  side->recorder = iv_recorder_new (loop, deadlines, store, TOPIC, writer, term,
                                    &(struct iv_recorder_times){ .batch_delay = 5 });
  side->task = iv_cap_task_new (rows, cell, on_fenced, side);
  iv_cap_task_begin (side->task, 2, SILENCE_MS);
  iv_cap_task_configure (side->task, workspaces, 1, (gint64)uv_now (loop));
}

static void
finish (struct side *side)
{
  iv_recorder_close (side->recorder);
  iv_cap_task_free (side->task);
}

static void
step (struct side *side)
{
  GArray *demand;
  if (!iv_cap_task_is_due (side->task, (gint64)uv_now (loop)))
    return;
  demand = g_array_new (FALSE, FALSE, sizeof (struct iv_workspace_demand));
  g_array_append_val (demand, side->demand);
  side->rises += iv_cap_task_step (side->task, demand, side->recorder, (gint64)uv_now (loop));
  g_array_unref (demand);
}

static gint64
limit_of (const struct side *side)
{
  struct iv_workspace_limit limit;
  iv_cap_task_limit (side->task, NAME, &limit, (gint64)uv_now (loop));
  assert_true (limit.limited);
  return limit.max.cpu_milli;
}

static void
on_wake_up (uv_timer_t *timer)
{
}

/* Run both cells until the limit of the second is @a limit, or for @a ms. */
static void
run (struct side sides[2], gint64 limit, gint64 ms)
{
  gint64 end = (gint64)uv_now (loop) + ms;
  uv_timer_t timer;
  uv_timer_init (loop, &timer);
  uv_timer_start (&timer, on_wake_up, 5, 5);
  while ((gint64)uv_now (loop) < end && limit_of (&sides[1]) != limit)
    {
      step (&sides[0]);
      step (&sides[1]);
      assert_true (limit_of (&sides[0]) + limit_of (&sides[1]) <= 12000);
      uv_run (loop, UV_RUN_ONCE);
    }
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_run (loop, UV_RUN_NOWAIT);
}

static void
begin_both (struct side sides[2])
{
  begin (&sides[0], 0, 1);
  begin (&sides[1], 1, 1);
  run (sides, -1, 300);
  assert_int_equal (limit_of (&sides[0]), 6000);
  sides[1].demand.wanted.cpu_milli = 30000;
}

/* Guards against room that stays in a cell that does not need it. */
static void
test_room_moves (void **state)
{
  struct side sides[2];
  begin_both (sides);
  sides[0].demand.used.cpu_milli = 1500;
  run (sides, 10500, MOVED_MS);
  assert_int_equal (limit_of (&sides[1]), 10500);
  assert_int_equal (limit_of (&sides[0]), 1500);
  run (sides, -1, 200);
  assert_true (sides[1].rises > 0);
  finish (&sides[0]);
  finish (&sides[1]);
}

/* Guards against a grant that is taken back, or made twice, because its answer was lost. */
static void
test_lost_answers (void **state)
{
  struct side sides[2];
  begin_both (sides);
  standin->responses_to_drop = 4;
  run (sides, 12000, TIMEOUT_MS);
  assert_int_equal (limit_of (&sides[1]), 12000);
  finish (&sides[0]);
  finish (&sides[1]);
}

/* Guards against room that is lost when the store refuses the record of a grant. */
static void
test_refused_records (void **state)
{
  struct side sides[2];
  begin_both (sides);
  run (sides, 12000, 90);
  standin->refuse = TRUE;
  run (sides, 12000, 500);
  standin->refuse = FALSE;
  run (sides, 12000, TIMEOUT_MS);
  assert_int_equal (limit_of (&sides[1]), 12000);
  finish (&sides[0]);
  finish (&sides[1]);
}

/* Guards against a new owner that does not know what its predecessor gave, and against a replaced
   owner whose record is accepted later. */
static void
test_new_owner_knows_what_was_given (void **state)
{
  struct side sides[2];
  struct side old;
  begin_both (sides);
  run (sides, 12000, MOVED_MS);
  assert_int_equal (limit_of (&sides[1]), 12000);
  old = sides[1];
  sides[1].recorder = NULL;
  begin (&sides[1], 1, 2);
  assert_int_equal (limit_of (&sides[1]), 12000);
  assert_int_equal (limit_of (&sides[0]), 0);
  sides[0].demand.wanted.cpu_milli = 30000;
  sides[1].demand.used.cpu_milli = 1000;
  run (sides, 1000, MOVED_MS);
  assert_int_equal (limit_of (&sides[1]), 1000);
  finish (&sides[0]);
  finish (&sides[1]);
  iv_recorder_close (old.recorder);
  iv_cap_task_free (old.task);
}

/* Guards against an owner that goes on after another one has begun. */
static void
test_replaced_owner_is_fenced (void **state)
{
  struct side sides[2];
  struct side old;
  gint64 end;
  begin_both (sides);
  run (sides, 12000, MOVED_MS);
  old = sides[1];
  old.task = iv_cap_task_new (rows, 1, on_fenced, &old);
  iv_cap_task_begin (old.task, 2, SILENCE_MS);
  iv_cap_task_configure (old.task, workspaces, 2, (gint64)uv_now (loop));
  iv_cap_task_free (sides[1].task);
  begin (&sides[1], 1, 2);
  sides[1].demand.wanted.cpu_milli = 3000;
  run (sides, -1, 300);
  old.demand.wanted.cpu_milli = 1000;
  end = (gint64)uv_now (loop) + TIMEOUT_MS;
  while (old.fenced == 0 && (gint64)uv_now (loop) < end)
    {
      step (&old);
      uv_run (loop, UV_RUN_ONCE);
    }
  assert_true (old.fenced > 0);
  finish (&old);
  finish (&sides[0]);
  finish (&sides[1]);
}

/* Guards against a key of another form that is taken for a record of a cell. */
static void
test_odd_keys (void **state)
{
  static const char *const keys[]
      = { "cap/", "cap/x/1", "cap/24/1", "cap/1", "cap/-1/1", "cap/1/" };
  struct iv_cap_row row = { .cells = 2 };
  char *value = iv_cap_row_format (NAME, &row);
  for (guint i = 0; i < G_N_ELEMENTS (keys); i++)
    assert_int_equal (iv_cap_task_apply (rows, keys[i], (const guint8 *)value, strlen (value), 0),
                      IV_ERR_INVALID);
  assert_int_equal (iv_cap_task_apply (rows, "cap/1/x", NULL, 0, 0), IV_OK);
  assert_int_equal (iv_cap_rows_applied (rows), 0);
  g_free (value);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test_setup_teardown (test_room_moves, set_up, tear_down),
          cmocka_unit_test_setup_teardown (test_lost_answers, set_up, tear_down),
          cmocka_unit_test_setup_teardown (test_refused_records, set_up, tear_down),
          cmocka_unit_test_setup_teardown (test_new_owner_knows_what_was_given, set_up, tear_down),
          cmocka_unit_test_setup_teardown (test_replaced_owner_is_fenced, set_up, tear_down),
          cmocka_unit_test_setup_teardown (test_odd_keys, set_up, tear_down) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
