/**
 * @file job_exec.h
 * Execution state of an unfinished job, held by the owner of its cell: open occurrences, their
 * stages and their tasks.
 */
#ifndef IV_JOB_EXEC_H
#define IV_JOB_EXEC_H

#include "job_table.h"
#include "place_wait.h"
#include "task_lengths.h"

/** A task that was delegated to a cell is returned when it has found no worker for this long: one
 * that is reserved for it becomes free in less, as batch tasks are short. */
#define IV_RETURN_AFTER_MS 1500

/** State of a task. */
enum iv_job_task_state
{
  IV_JOB_TASK_WAITING, /**< waits for its step to become ready, or for a worker */
  IV_JOB_TASK_PLACED,  /**< runs, or may run, on a worker */
  IV_JOB_TASK_DONE,    /**< completed */
  IV_JOB_TASK_AWAY     /**< another cell runs it: see delegations.h */
};

/** Execution state of one task. */
struct iv_job_task
{
  enum iv_job_task_state state;
  gint64 run;           /**< highest run number that a start of this task has used */
  gint64 placed_run;    /**< number of the run that it is placed as; 0: it is not placed */
  gint64 not_before_ms; /**< monotonic clock; earliest next start after a failure */
  guint failures;       /**< failed runs, each counted once */
  gint64 *failed_runs;  /**< numbers of these runs: workers report ends in any order */
  /** Crashes that it is suspected of since it last survived a start. The members of a gang start
   * and end together, and have one count: see iv_stage_suspect(). */
  guint crashes;
  gint64 crash_run; /**< run that was counted last: once, however many of its workers crashed */
  gboolean start_announced;  /**< the stored count says that it may have been started since */
  gboolean crashes_recorded; /**< its counts are in the newest record; it waits until they are */
  guint crashes_seen;        /**< those of them that it was seen to have started before */
  guint crashes_alone;       /**< those in which it was the only suspect, too */
  guint32 avoid_worker;      /**< handle of the worker on which it last failed; 0: none */
  gboolean runs_known;       /**< no previous owner can have started it, nor learn that it ended */
  char *checkpoint;          /**< to resume from; NULL: start from the beginning */
  gint64 first_sent_ms;      /**< when this owner started or listed it first; 0: it has not */
  guint delegation_sent; /**< generation of its record that was sent, and not read yet; 0: none */
  /** Monotonic clock; it came to this cell lately, and is not delegated or returned earlier. */
  gint64 delegate_not_before_ms;
};

/** A wait of tasks for a preferred place: see waits.h. */
struct iv_wait
{
  char *place; /**< NULL: they do not wait */
  enum iv_place_kind kind;
  gint64 since_ms;
  gboolean fitted; /**< the place had room for all, and some did not start */
};

/** Execution state of one step in one occurrence. */
struct iv_stage
{
  const ivj_step *step;
  guint number;              /**< index of the step in the job */
  guint done;                /**< tasks in state IV_JOB_TASK_DONE */
  guint placed;              /**< tasks in state IV_JOB_TASK_PLACED */
  guint away;                /**< tasks in state IV_JOB_TASK_AWAY */
  guint held;                /**< waiting tasks that only the limit of their workspace holds, as of
                                the newest dispatch */
  guint64 held_dispatch;     /**< number of the dispatch that held tasks last */
  gint64 held_since_ms;      /**< since when tasks are held; 0: none is */
  gboolean runs_known;       /**< no previous owner can have started any of its tasks */
  gint64 waiting_since_ms;   /**< since when some of its tasks could not be placed; 0: none is */
  gint64 next_wait_log_ms;   /**< when to log next that they wait */
  gint64 ready_ms;           /**< when it was first dispatched; 0: not yet */
  struct iv_wait wait;       /**< for a preferred place */
  guint64 length_key;        /**< kind of its tasks in the learnt durations */
  guint rack_hash;           /**< of the rack of its first start; 0: there was none */
  gboolean spread;           /**< its tasks were started in several racks */
  double baseline_tail_ms;   /**< tail latency of its latency-critical tasks without
                                interference; 0: unknown */
  struct iv_advice *advice;  /**< tickets for its tasks; NULL: none were requested */
  struct iv_job_task *tasks; /**< `step->count` of them */
};

/** One execution of all steps of a job; a recurring job has several. */
struct iv_occurrence
{
  guint number;            /**< from 0 */
  gint64 due_ms;           /**< wall clock; 0 for a job without a schedule */
  guint stages_done;       /**< stages whose tasks are all done */
  struct iv_stage *stages; /**< one per step */
};

/** Execution state of one job, or of its tasks that were delegated to a cell. Times are on the
 * monotonic clock. */
struct iv_job_exec
{
  struct iv_job_entry *job;
  struct iv_owner *owner; /**< of the cell that runs the job; a host may own several cells */
  const struct iv_task_lengths *lengths; /**< learnt durations; NULL: estimates are used */
  gint guest_cell; /**< the cell that tasks of the job were delegated to; -1: its own */
  GPtrArray *open; /**< of struct iv_occurrence, by ascending number */
  guint opened;    /**< occurrences opened so far */
  guint open_max;  /**< occurrences that may be open at once */
  /** Occurrences that were closed since the newest record that is stored. The next owner opens them
   *  again, beside others only if it has room for all. */
  guint unstored_closes;
  guint collected_closes; /**< those of them that a record that is being stored tells of */
  gboolean needs_record;  /**< progress has changed since it was last recorded */
  gboolean started;       /**< a task of it may have started: a start was sent, or a worker told */
  gboolean inherited;     /**< a previous owner may have started tasks of it */
  gboolean has_crashes;   /**< a task of it was suspected of a crash */
  gboolean crashes_returned; /**< tasks were returned with crashes that are not recorded yet */
  gboolean hopeless;         /**< a task of it is to blame for crashes */
  guint64 progress_batch;    /**< collection that took its progress last */
  guint64 crash_batch;       /**< collection that records the newest crash; suspects wait for it */
  guint placed;              /**< tasks that run or may run */
  /** Runs have higher numbers: up to it they may have been used when the cell had the job, or its
   *  task, before. */
  gint64 run_floor;
  gint64 unplaced_since_ms; /**< since when long-running tasks lack a worker; 0: all have one */
  gint64 unholdable_ms;     /**< when no worker could last hold one of its long-running tasks */
  gint evacuate_to;         /**< cell to move to once none of its tasks runs; -1: none */
  gint64 first_seen_ms;     /**< when this owner first read the job */
  gint64 last_placed_ms;    /**< latest time at which a task of it was placed */
  gint64 last_held_ms;      /**< the same for tasks that the limit of their workspace held */
  gboolean rate_judged;     /**< `beyond_rate` is known */
  gboolean beyond_rate;     /**< its workspace sent more jobs than it is owed when it came */
  gint64 objective_ms;      /**< end of the time in which the job earns its full value */
  gint64 zero_utility_ms;   /**< from then on the job earns nothing */
};

/** Create the execution state of @a job from its recorded progress and attach it to @a job. */
struct iv_job_exec *iv_job_exec_new (struct iv_job_entry *job, gint64 now_ms);

/** Create the execution state of the tasks of @a job that are delegated to @a cell. Nothing of it
 * is recorded: their job is the concern of its own cell. */
struct iv_job_exec *iv_job_exec_new_guest (struct iv_job_entry *job, gint cell, gint64 now_ms);

/** Apply the delegations of the job: tasks that were delegated, or returned. @a now_ms is the
 * present time. */
void iv_job_exec_apply_delegations (struct iv_job_exec *exec, gint64 now_ms);

/** The cell runs task @a task of @a stage no more: a delegation record of @a generation says so. */
void iv_job_exec_give_away (struct iv_stage *stage, struct iv_job_task *task, guint generation);

/** The record was not stored: the task is still run here. */
void iv_job_exec_take_back (struct iv_stage *stage, struct iv_job_task *task);

/** Number of tasks in state IV_JOB_TASK_AWAY. */
guint iv_job_exec_away (const struct iv_job_exec *exec);

/** Detach @a exec from its job and free it. */
void iv_job_exec_free (struct iv_job_exec *exec);

/** Open the occurrences that are due at @a wall_ms, in order, as far as the progress record has
 * room for them. TRUE when any were opened. */
gboolean iv_job_exec_open_due (struct iv_job_exec *exec, gint64 wall_ms);

/** A worker has listed a task of occurrence @a number: a previous owner has opened it. Ignored when
 *  no owner can have. */
void iv_job_exec_open_listed (struct iv_job_exec *exec, guint number);

/** The progress record was encoded, to be stored; and it was stored. */
void iv_job_exec_collected (struct iv_job_exec *exec);
void iv_job_exec_stored (struct iv_job_exec *exec);

/** Find an open occurrence by @a number; NULL when there is none. */
struct iv_occurrence *iv_job_exec_occurrence (const struct iv_job_exec *exec, guint number);

/** Find a task by @a name, and its stage unless @a stage is NULL. NULL, with @a stage unchanged,
 *  when its occurrence is not open or there is no such task. */
struct iv_job_task *iv_job_exec_task (const struct iv_job_exec *exec,
                                      const struct iv_task_name *name, struct iv_stage **stage);

/** The task whose counts of crashes hold for @a task of @a stage: of a gang, the first member. */
struct iv_job_task *iv_stage_suspect (const struct iv_stage *stage, const struct iv_job_task *task);

/** Number of tasks of @a stage that wait for its step to become ready, or for a worker. */
guint iv_stage_waiting (const struct iv_stage *stage);

/** The same without those that the limit of their workspace holds: they lack no worker. */
guint iv_stage_lacking (const struct iv_stage *stage);

/** Whether every step that @a stage depends on is done. */
gboolean iv_stage_ready (const struct iv_occurrence *occurrence, const struct iv_stage *stage);

/** Mark a task done. Closes its occurrence when no step of it has tasks left. */
void iv_job_exec_task_done (struct iv_job_exec *exec, const struct iv_task_name *name);

/** Count a failed @a run of a task; a run that was counted before, or that belongs to a
 *  long-running step, is ignored. TRUE when the task has failed @a attempts times. */
gboolean iv_job_exec_task_failed (struct iv_job_exec *exec, const struct iv_task_name *name,
                                  gint64 run, guint attempts);

/** A run of the job exists or existed, as a worker says: it is no longer queued. */
void iv_job_exec_running (struct iv_job_exec *exec);

/** Set the final @a state of the job. */
void iv_job_exec_end (struct iv_job_exec *exec, enum ivj_state state, gint64 wall_ms);

/** Whether every occurrence of the job has been opened and closed. */
gboolean iv_job_exec_complete (const struct iv_job_exec *exec);

/** How many occurrences of @a spec may be open at once: the progress record holds them all, and a
 *  schedule takes no more memory than the largest job without one. */
guint iv_job_exec_open_max (const ivj_job *spec);

/** Encode the progress of the job as records, of GByteArray: the progress record and, should it not
 *  hold all failed runs, records of failures that hold them. NULL when that is not possible. Free
 *  with g_ptr_array_unref(). */
GPtrArray *iv_job_exec_encode (const struct iv_job_exec *exec);

/** Encode the record of the crashes that tasks of the job are suspected of; NULL when none ever
 * was. Suspects that do not fit wait for others to be cleared: see `crashes_recorded`. Sets
 *  @a packed_new when a suspect was not in the record before. */
GByteArray *iv_job_exec_encode_crashes (struct iv_job_exec *exec, gboolean *packed_new);

/** Length of the critical path of @a spec by estimated run times, milliseconds. */
gint64 iv_job_critical_path_ms (const ivj_job *spec);

/** Expected duration of a task of @a stage, milliseconds: its estimate, or the median of what was
 *  learnt. */
gint64 iv_job_exec_expected_ms (const struct iv_job_exec *exec, const struct iv_stage *stage);

/** Length of the longest remaining critical path among the open occurrences, milliseconds. */
gint64 iv_job_exec_remaining_ms (const struct iv_job_exec *exec);

/** Expected work of the unfinished tasks of the open occurrences, core-milliseconds. */
gint64 iv_job_exec_remaining_work (const struct iv_job_exec *exec);

/** Cores, in thousandths, that the long-running steps of @a spec reserve; best-effort steps reserve
 *  none. */
gint64 iv_job_long_running_milli (const ivj_job *spec);

/** Whether a step of @a spec runs until it is cancelled. */
gboolean iv_job_is_long_running (const ivj_job *spec);

#endif
