/**
 * @file crash.h
 * Crashed workers: which runs may be to blame, and what is done about their tasks. A gang is under
 * suspicion as a whole: functions that take a task take the one of iv_stage_suspect().
 */
#ifndef IV_CRASH_H
#define IV_CRASH_H

#include "owner.h"

/** @a worker replied: runs that it has survived for long enough are proven harmless. To be called
 *  after its list was applied. */
void iv_crash_worker_replied (struct iv_owner *owner, struct iv_fleet_worker *worker);

/** The instance of @a worker that the runs were started on has ended, as @a evidence shows. To be
 *  called before the runs are dropped. */
void iv_crash_worker_ended (struct iv_owner *owner, struct iv_fleet_worker *worker,
                            const char *evidence);

/** Whether @a task may start as far as crashes go: a task under suspicion waits until its count is
 *  stored. */
gboolean iv_crash_may_start (const struct iv_owner *owner, const struct iv_job_exec *exec,
                             const struct iv_job_task *task);

/** @a task is about to start. Under suspicion it must not before that is recorded, or the next
 * owner could not tell whether it has crashed one more worker: FALSE until then. */
gboolean iv_crash_announce_start (struct iv_owner *owner, struct iv_job_exec *exec,
                                  struct iv_job_task *task);

/** @a run of @a task was added to its worker: under suspicion, it is kept apart. */
void iv_crash_run_started (struct iv_run *run, const struct iv_job_task *task);

struct iv_placement_query;

/** Whether @a worker takes @a task of the stage of @a query: nothing starts beside a task under
 *  suspicion, and such a task only where nothing else has just started. Members of a gang do not
 *  count against each other. */
gboolean iv_crash_admits (const struct iv_fleet_worker *worker,
                          const struct iv_placement_query *query, const struct iv_job_task *task);

/** Score of @a worker for a task under suspicion: lower the more its crash would cost. */
gint64 iv_crash_score (const struct iv_fleet_worker *worker);

/** The better one of @a busy (NULL: none) and @a worker, which does not admit @a task now, to be
 *  kept free for it. */
struct iv_fleet_worker *iv_crash_better_busy (struct iv_fleet_worker *busy,
                                              struct iv_fleet_worker *worker,
                                              const struct iv_job_task *task, gint64 now_ms);

/** Reserve @a worker for @a task, unless it is reserved, until its runs have proven harmless. */
void iv_crash_reserve (struct iv_fleet *fleet, struct iv_fleet_worker *worker,
                       const struct iv_job_task *task, gint64 now_ms);

/** The task @a name of @a exec has survived a start: it is under suspicion no more. */
void iv_crash_clear (struct iv_owner *owner, struct iv_job_exec *exec,
                     const struct iv_task_name *name);

/** The runs of previous owners are known. A task under suspicion whose start was announced, and
 * that none of them is of, is taken to have crashed its worker unseen. */
void iv_crash_previous_runs_known (struct iv_owner *owner);

/** Record the crashes with which tasks of @a exec were returned by other cells. */
void iv_crash_record_returned (struct iv_owner *owner, struct iv_job_exec *exec);

/** End the jobs with a task that is to blame for crashes as failed. */
void iv_crash_give_up (struct iv_owner *owner, gint64 now_ms);

/** The lease of @a run expired on a silent worker. To be called before the run is dropped. */
void iv_crash_run_lapsed (struct iv_owner *owner, struct iv_run *run);

#endif
