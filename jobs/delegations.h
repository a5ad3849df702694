/**
 * @file delegations.h
 * Delegations: single tasks of a long-running job that another cell runs.
 *
 * A task belongs to the cell of its job until the owner of that cell delegates it, and then to the
 * other cell until the owner of that one returns it. Each writes the record while the task has no
 * run, and starts it no more; the other starts it once it has read the record. So every task
 * belongs to one cell at a time, whichever owners change. The generation of a delegation counts its
 * records: an earlier one, read again, changes nothing.
 */
#ifndef IV_DELEGATIONS_H
#define IV_DELEGATIONS_H

#include "status.h"
#include "task_name.h"

#define IV_CELLS_MAX 24 /**< every topic of the platform has at least this many partitions */
/** Between the job id and the task in the key of a record: which cell runs the task from now on. */
#define IV_KEY_DELEGATION "+d"

/** A delegation of one task, as recorded. */
struct iv_delegation
{
  guint occurrence;
  guint step;
  guint index;
  guint generation; /**< records of this delegation so far, from 1 */
  gint cell;        /**< that runs the task; -1: it was returned */
  guint crashes;    /**< of workers, that the task is suspected of in the cell that returns it */
};

/** The newest record of the delegation of task @a name in @a delegations (struct iv_delegation;
 * NULL: none); NULL when there is none. */
const struct iv_delegation *iv_delegations_find (const GArray *delegations,
                                                 const struct iv_task_name *name);

/** The cell that task @a name is delegated to; -1 when it is with the cell of its job. */
gint iv_delegations_cell (const GArray *delegations, const struct iv_task_name *name);

/** Whether any task is delegated to @a cell. */
gboolean iv_delegations_any (const GArray *delegations, gint cell);

/** Apply a record to @a delegations, which is created if NULL. @a task is what follows
 * IV_KEY_DELEGATION in its key. IV_ERR_INVALID with a last message when the record is malformed. */
enum iv_status iv_delegations_apply (GArray **delegations, const char *task, const char *value);

/** The key of the records of @a delegation, of a task of job @a id. Free with g_free(). */
char *iv_delegation_format_key (const char *id, const struct iv_delegation *delegation);

/** The value of the record @a delegation. Free with g_free(). */
char *iv_delegation_format_value (const struct iv_delegation *delegation);

#endif
