/**
 * @file cell_rows.h
 * Table operations shared by cell.c and cell_snapshot.c.
 */
#ifndef IV_CELL_ROWS_H
#define IV_CELL_ROWS_H

#include "cell.h"

/** Add a worker with the given id. */
struct iv_worker *iv_cell_add_worker (struct iv_cell *cell, guint32 id, const ivx_worker *info);

/** Add a job with the given id. */
struct iv_job *iv_cell_add_job (struct iv_cell *cell, guint32 id, const ivx_item *item,
                                guint64 gen);

/** Add a queued task with the given id to @a job. */
struct iv_task *iv_cell_add_task (struct iv_cell *cell, guint32 id, struct iv_job *job,
                                  guint32 index);

/** Bind a task to a worker and commit its size there. */
void iv_cell_bind_task (struct iv_cell *cell, struct iv_task *task, struct iv_worker *worker);

/** Record the key of an import; FALSE when it is recorded already. */
gboolean iv_cell_record_import (struct iv_cell *cell, guint64 key);

#endif
