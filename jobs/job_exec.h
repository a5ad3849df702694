/**
 * @file job_exec.h
 * What the owner keeps about a job that is not over: its open occurrences, their stages and tasks.
 */
#ifndef IV_JOB_EXEC_H
#define IV_JOB_EXEC_H

#include "job_table.h"

/** Where a task stands. */
enum iv_job_task_state
{
  IV_JOB_TASK_WAITING, /**< to be started once its turn has come */
  IV_JOB_TASK_PLACED,  /**< it runs, or may run, on a worker */
  IV_JOB_TASK_DONE
};

/** One task. */
struct iv_job_task
{
  enum iv_job_task_state state;
  gint64 run;           /**< highest number that a start of it has used */
  gint64 not_before_ms; /**< steady clock; set after a failure */
  guint failures;
  gint64 *failed_runs;  /**< `failures` of them: ends of runs elsewhere come in any order */
  guint32 avoid_worker; /**< worker on which it failed last; 0: none */
  gboolean runs_known;  /**< no run of it can be unknown to this owner */
  char *checkpoint;     /**< to resume from; NULL: from the start */
};

/** The tasks of one step of an occurrence. */
struct iv_stage
{
  const ivj_step *step;
  guint number;
  guint done;
  guint placed;
  gboolean runs_known;       /**< a former owner cannot have started any of its tasks */
  double baseline_tail_ms;   /**< tail of its tasks that serve, undisturbed; 0: not known */
  struct iv_advice *advice;  /**< tickets for its tasks; NULL: none were asked for */
  struct iv_job_task *tasks; /**< `step->count` of them */
};

/** One time that the steps run. */
struct iv_occurrence
{
  guint number;
  gint64 due_ms; /**< wall clock; 0 for a job without times */
  guint stages_done;
  struct iv_stage *stages; /**< one for each step */
};

/** The owner's part of a job. */
struct iv_job_exec
{
  struct iv_job_entry *job;
  struct iv_owner *owner; /**< a host may own several cells */
  GPtrArray *open;        /**< of struct iv_occurrence, by number */
  guint opened;           /**< occurrences opened so far */
  gboolean dirty;         /**< its progress is to be recorded */
  gboolean started;       /**< a task of it has started */
  gboolean inherited;     /**< a former owner may have started tasks of it */
  guint placed;           /**< tasks that run or may run */
  gint64
      unplaced_since_ms;  /**< steady clock: since when tasks that last find no place; 0: they do */
  gint evacuate_to;       /**< the cell that it goes to once nothing of it runs; -1: none */
  gint64 first_seen_ms;   /**< steady clock */
  gint64 last_placed_ms;  /**< steady clock: a task of it was placed until then */
  gint64 objective_ms;    /**< steady clock: the job earns less afterwards */
  gint64 zero_utility_ms; /**< steady clock: the job earns nothing afterwards */
};

/** Unpack the progress of @a job into a new part, attached to the job. */
struct iv_job_exec *iv_job_exec_new (struct iv_job_entry *job, gint64 now_ms);

/** Detach and free. */
void iv_job_exec_free (struct iv_job_exec *exec);

/** Open the occurrences that are due at @a wall_ms. TRUE when there were any. */
gboolean iv_job_exec_open_due (struct iv_job_exec *exec, gint64 wall_ms);

/** The open occurrence @a number, or NULL. */
struct iv_occurrence *iv_job_exec_occurrence (const struct iv_job_exec *exec, guint number);

/** The task @a name, or NULL when its occurrence is not open or there is no such task. */
struct iv_job_task *iv_job_exec_task (const struct iv_job_exec *exec,
                                      const struct iv_task_name *name, struct iv_stage **stage);

/** Whether the turn of @a stage has come: every step it depends on is done. */
gboolean iv_stage_ready (const struct iv_occurrence *occurrence, const struct iv_stage *stage);

/** Mark a task done; ends the occurrence, and the job's progress, when it was the last. */
void iv_job_exec_task_done (struct iv_job_exec *exec, const struct iv_task_name *name);

/** Count a failed run once. TRUE when @a attempts are used up. */
gboolean iv_job_exec_task_failed (struct iv_job_exec *exec, const struct iv_task_name *name,
                                  gint64 run, guint attempts);

/** End the job in @a state. */
void iv_job_exec_end (struct iv_job_exec *exec, enum ivj_state state, gint64 wall_ms);

/** Whether every occurrence has ended. */
gboolean iv_job_exec_complete (const struct iv_job_exec *exec);

/** Encode the progress record. */
GByteArray *iv_job_exec_encode (const struct iv_job_exec *exec);

/** Longest chain of estimated run times, milliseconds. */
gint64 iv_job_critical_path_ms (const ivj_job *spec);

/** Longest chain of estimated run times of what is not done in the open occurrences. */
gint64 iv_job_exec_remaining_ms (const struct iv_job_exec *exec);

/** Cores, in thousandths, that the steps of @a spec which last take of the room. */
gint64 iv_job_long_running_milli (const ivj_job *spec);

/** Whether a step of @a spec lasts until it is cancelled. */
gboolean iv_job_is_long_running (const ivj_job *spec);

#endif
