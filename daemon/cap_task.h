/**
 * @file cap_task.h
 * Caps of workspaces in one cell: connects the cell's parts (cap_parts.h) to its owner, its
 * recorder and the configuration.
 *
 * Times are passed in, milliseconds on the monotonic clock. What an earlier owner has given is
 * known from the records, so nothing else is handed over.
 */
#ifndef IV_CAP_TASK_H
#define IV_CAP_TASK_H

#include "cap_parts.h"
#include "owner.h"
#include "recorder.h"

/** Apply a record with @a key, which begins with IV_KEY_CAP. @a value NULL is ignored.
 *  IV_ERR_INVALID or IV_ERR_LIMIT with a last message; the last valid record stays. */
enum iv_status iv_cap_task_apply (struct iv_cap_rows *rows, const char *key, const guint8 *value,
                                  gsize len, gint64 now_ms);

/** Task of one cell on this host. */
struct iv_cap_task;

/** Create the task of @a cell. @a rows has the records of all cells. @a fenced is called with
 *  @a context when a record was refused because another owner has begun. */
struct iv_cap_task *iv_cap_task_new (const struct iv_cap_rows *rows, guint cell,
                                     void (*fenced) (void *context), void *context);
void iv_cap_task_free (struct iv_cap_task *task);

/** Ownership begins: every record up to the claim was applied. The layout has @a cells cells; what
 *  a cell that is silent for @a silence_ms has running has ended. */
void iv_cap_task_begin (struct iv_cap_task *task, guint cells, gint64 silence_ms);

/** Ownership ends. To be called after the recorder was closed. No-op when it has not begun. */
void iv_cap_task_end (struct iv_cap_task *task);

/** Take the workspaces of a configuration; NULL: there are none. No-op without ownership. */
void iv_cap_task_configure (struct iv_cap_task *task, const struct iv_workspaces *workspaces,
                            gint64 version, gint64 now_ms);

/** What @a workspace may have running in the cell. */
void iv_cap_task_limit (const struct iv_cap_task *task, const char *workspace,
                        struct iv_workspace_limit *limit, gint64 now_ms);

/** Whether iv_cap_task_step() is to be called now. */
gboolean iv_cap_task_is_due (const struct iv_cap_task *task, gint64 now_ms);

/** Decide what to give and to ask for, and queue changed records. @a demand: of struct
 *  iv_workspace_demand, as of now; NULL: nothing is used or wanted. Returns whether a limit has
 *  risen, so that tasks may start. */
gboolean iv_cap_task_step (struct iv_cap_task *task, const GArray *demand,
                           struct iv_recorder *recorder, gint64 now_ms);

#endif
