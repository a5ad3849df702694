/**
 * @file cell_rows.h
 * Rows of a cell, shared by its fold and its snapshots. Private to the package.
 */
#ifndef IV_CELL_ROWS_H
#define IV_CELL_ROWS_H

#include "cell.h"

/** Add a worker row with the given id. */
struct iv_worker *iv_cell_add_worker (struct iv_cell *cell, guint32 id, const ivx_worker *info);

/** Add a job row with the given id. */
struct iv_job *iv_cell_add_job (struct iv_cell *cell, guint32 id, const ivx_item *item,
                                guint64 gen);

/** Add a task row with the given id to @a job. */
struct iv_task *iv_cell_add_task (struct iv_cell *cell, guint32 id, struct iv_job *job,
                                  guint32 index);

/** Book a task on a worker. */
void iv_cell_commit (struct iv_cell *cell, struct iv_task *task, struct iv_worker *worker);

/** Remember an import by its key; FALSE when it is remembered already. */
gboolean iv_cell_remember_import (struct iv_cell *cell, guint64 key);

#endif
