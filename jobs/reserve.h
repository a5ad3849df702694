/**
 * @file reserve.h
 * Workers that are kept free for one task.
 *
 * A task that needs more than any worker has free could wait without end: whatever becomes free
 * goes to smaller tasks. Nothing else starts on a reserved worker until the task fits there or the
 * reservation ends. A worker is reserved for one task, and a task has one worker reserved, at most.
 */
#ifndef IV_RESERVE_H
#define IV_RESERVE_H

#include "fleet.h"

/** Whether @a worker is reserved for any task. */
gboolean iv_reserve_is_held (const struct iv_fleet_worker *worker, gint64 now_ms);

/** Whether @a task may start on @a worker: it is not reserved for another task. */
gboolean iv_reserve_admits (const struct iv_fleet_worker *worker, const struct iv_job_task *task,
                            gint64 now_ms);

/** The worker that is reserved for @a task; NULL: none is. */
struct iv_fleet_worker *iv_reserve_find (const struct iv_fleet *fleet,
                                         const struct iv_job_task *task, gint64 now_ms);

/** Number of workers that are reserved. */
guint iv_reserve_count (const struct iv_fleet *fleet, gint64 now_ms);

/** Reserve @a worker for @a task until @a until_ms, or extend the reservation. */
void iv_reserve_hold (struct iv_fleet *fleet, struct iv_fleet_worker *worker,
                      const struct iv_job_task *task, gint64 now_ms, gint64 until_ms);

/** End the reservation for @a task. */
void iv_reserve_release (struct iv_fleet *fleet, const struct iv_job_task *task);

#endif
