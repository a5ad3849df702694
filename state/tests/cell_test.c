#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "cell.h"

struct fixture
{
  struct iv_cell *cell;
  guint64 sequence;
};

static enum iv_apply_result
apply (struct fixture *f, guint32 term, ivx_record record)
{
  ivx_batch batch = { .writer = 1, .incarnation = 1, .sequence = ++f->sequence, .term = term };
  batch.records.records_len = 1;
  batch.records.records_val = &record;
  return iv_cell_apply (f->cell, f->cell->next, &batch);
}

static ivx_record
claim (guint32 term, const char *host)
{
  ivx_record record = { .kind = IVX_CLAIM };
  record.ivx_record_u.claim = (ivx_claim){ term, (char *)host };
  return record;
}

static ivx_record
worker (const char *name, guint32 cpu)
{
  ivx_record record = { .kind = IVX_WORKER };
  record.ivx_record_u.worker
      = (ivx_worker){ (char *)name, (char *)"r", (char *)"a", { cpu, 1000, 1 }, 100 };
  return record;
}

static ivx_record
admit (guint64 gen, guint32 count, guint32 cpu, guint64 config_next)
{
  ivx_record record = { .kind = IVX_ADMIT };
  ivx_admit *a = &record.ivx_record_u.admit;
  a->item = (ivx_item){ .type = IVX_JOB,
                        .name = (char *)"job",
                        .team = (char *)"t",
                        .size = { cpu, 10, 0 },
                        .tasks = count };
  a->gen = gen;
  a->count = count;
  a->config_next = config_next;
  return record;
}

static ivx_record
bind_task (guint32 task, guint32 worker_id)
{
  ivx_record record = { .kind = IVX_BIND };
  record.ivx_record_u.bind = (ivx_bind){ task, worker_id };
  return record;
}

static ivx_record
finish (guint32 task, guint32 attempt, ivx_result result)
{
  ivx_record record = { .kind = IVX_FINISH };
  record.ivx_record_u.finish = (ivx_finish){ task, attempt, result };
  return record;
}

static ivx_record
requeue (guint32 task, guint32 attempt, guint32 progress_ms)
{
  ivx_record record = { .kind = IVX_REQUEUE };
  record.ivx_record_u.requeue = (ivx_requeue){ task, attempt, progress_ms, TRUE, FALSE };
  return record;
}

static ivx_record
import_task (guint64 gen, guint32 index, guint32 moves)
{
  ivx_record record = { .kind = IVX_IMPORT };
  ivx_import *task_import = &record.ivx_record_u.task_import;
  task_import->item = (ivx_item){
    .type = IVX_JOB, .name = (char *)"job", .team = (char *)"t", .size = { 10, 10, 0 }
  };
  task_import->gen = gen;
  task_import->index = index;
  task_import->moves = moves;
  task_import->attempt = 4;
  return record;
}

static int
setup (void **state)
{
  struct fixture *f = calloc (1, sizeof *f);
  f->cell = iv_cell_new ("alpha");
  apply (f, 0, claim (1, "h1"));
  apply (f, 1, worker ("w1", 4000));
  apply (f, 1, worker ("w2", 4000));
  *state = f;
  return 0;
}

static int
teardown (void **state)
{
  struct fixture *f = *state;
  iv_cell_free (f->cell);
  free (f);
  return 0;
}

static void
test_stale_term_is_rejected (void **state)
{
  struct fixture *f = *state;
  assert_int_equal (apply (f, 0, claim (1, "h2")), IV_APPLY_REJECTED);
  assert_string_equal (f->cell->owner, "h1");
  assert_int_equal (apply (f, 0, claim (2, "h2")), IV_APPLY_DONE);
  assert_int_equal (apply (f, 1, worker ("w3", 1)), IV_APPLY_REJECTED);
  assert_int_equal (apply (f, 2, worker ("w3", 1)), IV_APPLY_DONE);
  assert_int_equal (apply (f, 0, claim (4, "h2")), IV_APPLY_REJECTED);
}

static void
test_bind_beyond_capacity_is_rejected (void **state)
{
  struct fixture *f = *state;
  apply (f, 1, admit (1, 3, 2000, 0));
  assert_int_equal (apply (f, 1, bind_task (1, 1)), IV_APPLY_DONE);
  assert_int_equal (apply (f, 1, bind_task (2, 1)), IV_APPLY_DONE);
  assert_int_equal (apply (f, 1, bind_task (3, 1)), IV_APPLY_REJECTED);
  assert_int_equal (apply (f, 1, bind_task (2, 2)), IV_APPLY_REJECTED);
  assert_int_equal (apply (f, 1, bind_task (3, 9)), IV_APPLY_REJECTED);
  assert_int_equal (iv_cell_worker (f->cell, 1)->committed.cpu_milli, 4000);
  assert_int_equal (apply (f, 1, finish (1, 1, IVX_DONE)), IV_APPLY_DONE);
  assert_int_equal (apply (f, 1, bind_task (3, 1)), IV_APPLY_DONE);
}

static void
test_stale_attempt_is_rejected (void **state)
{
  struct fixture *f = *state;
  apply (f, 1, admit (1, 1, 1000, 0));
  apply (f, 1, bind_task (1, 1));
  assert_int_equal (apply (f, 1, requeue (1, 1, 700)), IV_APPLY_DONE);
  assert_int_equal (apply (f, 1, requeue (1, 1, 900)), IV_APPLY_REJECTED);
  assert_int_equal (apply (f, 1, bind_task (1, 2)), IV_APPLY_DONE);
  assert_int_equal (apply (f, 1, finish (1, 1, IVX_DONE)), IV_APPLY_REJECTED);
  assert_int_equal (iv_cell_task (f->cell, 1)->progress_ms, 700);
  assert_int_equal (apply (f, 1, finish (1, 2, IVX_DONE)), IV_APPLY_DONE);
  assert_int_equal (apply (f, 1, finish (1, 2, IVX_DONE)), IV_APPLY_REJECTED);
  assert_int_equal (iv_cell_job (f->cell, 1)->done, 1);
}

static void
test_requeue_of_cancelled_job_ends_task (void **state)
{
  struct fixture *f = *state;
  ivx_record cancel = { .kind = IVX_CANCEL_JOB };
  cancel.ivx_record_u.cancel_job = (ivx_cancel_job){ (char *)"job", 1 };
  apply (f, 1, admit (1, 3, 1000, 0));
  apply (f, 1, bind_task (1, 1));
  assert_int_equal (apply (f, 1, cancel), IV_APPLY_DONE);
  assert_int_equal (iv_cell_job (f->cell, 1)->cancel_count, 2);
  assert_int_equal (apply (f, 1, requeue (1, 1, 0)), IV_APPLY_DONE);
  assert_int_equal (iv_cell_job (f->cell, 1)->cancel_count, 3);
  assert_int_equal (iv_cell_job (f->cell, 1)->live_tasks, 0);
}

static void
test_repeated_import_is_rejected (void **state)
{
  struct fixture *f = *state;
  ivx_record task_export = { .kind = IVX_EXPORT };
  assert_int_equal (apply (f, 0, import_task (5, 2, 1)), IV_APPLY_DONE);
  assert_int_equal (apply (f, 0, import_task (5, 2, 1)), IV_APPLY_REJECTED);
  assert_int_equal (iv_cell_task (f->cell, 1)->attempt, 4);
  task_export.ivx_record_u.task_export = (ivx_export){ 1, (char *)"beta" };
  assert_int_equal (apply (f, 1, task_export), IV_APPLY_DONE);
  assert_int_equal (apply (f, 1, bind_task (1, 1)), IV_APPLY_REJECTED);
  /* The task is imported again before the owner has recorded that the export arrived. */
  assert_int_equal (apply (f, 0, import_task (5, 2, 3)), IV_APPLY_DONE);
  assert_int_equal (g_hash_table_size (f->cell->tasks), 1);
  assert_int_equal (apply (f, 0, import_task (5, 2, 1)), IV_APPLY_REJECTED);
  /* The import is repeated after the task has ended. */
  assert_int_equal (apply (f, 1, finish (2, 4, IVX_CANCELLED)), IV_APPLY_DONE);
  assert_int_equal (apply (f, 0, import_task (5, 2, 3)), IV_APPLY_REJECTED);
  assert_int_equal (g_hash_table_size (f->cell->tasks), 0);
}

static void
test_removed_job_is_not_admitted_again (void **state)
{
  struct fixture *f = *state;
  ivx_record removed = { .kind = IVX_JOB_REMOVED };
  removed.ivx_record_u.job_removed = (ivx_job_removed){ (char *)"job", 1, 20 };
  apply (f, 1, admit (1, 1, 1000, 10));
  assert_int_equal (apply (f, 1, removed), IV_APPLY_REJECTED);
  apply (f, 1, finish (1, 0, IVX_CANCELLED));
  assert_int_equal (apply (f, 1, removed), IV_APPLY_DONE);
  assert_int_equal (apply (f, 1, admit (1, 1, 1000, 10)), IV_APPLY_REJECTED);
  assert_int_equal (apply (f, 1, admit (2, 1, 1000, 20)), IV_APPLY_DONE);
}

static void
test_worker_is_removed_when_idle (void **state)
{
  struct fixture *f = *state;
  ivx_record worker_removed = { .kind = IVX_WORKER_REMOVED };
  apply (f, 1, admit (1, 1, 1000, 0));
  apply (f, 1, bind_task (1, 1));
  worker_removed.ivx_record_u.worker_removed = (ivx_worker_removed){ 1, 1100 };
  assert_int_equal (apply (f, 1, worker_removed), IV_APPLY_REJECTED);
  apply (f, 1, finish (1, 1, IVX_DONE));
  assert_int_equal (apply (f, 1, worker_removed), IV_APPLY_DONE);
  assert_int_equal (iv_usage_rows_total (f->cell->removed_usage), 4000 * 1000);
}

static void
test_snapshot_round_trip (void **state)
{
  struct fixture *f = *state;
  struct iv_cell *copy;
  GByteArray *bytes, *again;
  apply (f, 1, admit (1, 5, 1000, 0));
  apply (f, 1, bind_task (1, 1));
  apply (f, 1, bind_task (2, 2));
  apply (f, 1, requeue (2, 1, 300));
  apply (f, 0, import_task (9, 1, 1));
  bytes = iv_cell_save (f->cell);
  copy = iv_cell_load ("alpha", bytes->data, bytes->len);
  assert_non_null (copy);
  again = iv_cell_save (copy);
  assert_int_equal (again->len, bytes->len);
  assert_memory_equal (again->data, bytes->data, bytes->len);
  assert_int_equal (iv_cell_worker (copy, 1)->committed.cpu_milli, 1000);
  for (guint cut = 0; cut < bytes->len; cut += 5)
    assert_null (iv_cell_load ("alpha", bytes->data, cut));
  g_byte_array_free (bytes, TRUE);
  g_byte_array_free (again, TRUE);
  iv_cell_free (copy);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_stale_term_is_rejected),      TEST (test_bind_beyond_capacity_is_rejected),
          TEST (test_stale_attempt_is_rejected),   TEST (test_requeue_of_cancelled_job_ends_task),
          TEST (test_repeated_import_is_rejected), TEST (test_removed_job_is_not_admitted_again),
          TEST (test_worker_is_removed_when_idle), TEST (test_snapshot_round_trip) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
