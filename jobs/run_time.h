/**
 * @file run_time.h
 * How the time of a run, and of the last task of a step, divides.
 */
#ifndef IV_RUN_TIME_H
#define IV_RUN_TIME_H

#include "fleet.h"

/** Bounds the lines that an owner logs of one kind. */
struct iv_line_limit
{
  gint64 second_ms; /**< beginning of the present second */
  guint lines;      /**< in it */
  guint suppressed; /**< since the last line that was admitted */
};

/** Whether another line may be logged; at most 20 in a second. */
gboolean iv_line_limit_admit (struct iv_line_limit *limit, gint64 now_ms);

/** Account for the time under the present CPU limit of @a run, which changes, or the run ends. */
void iv_run_time_note_limit (struct iv_run *run, gint64 now_ms);

/** How long @a run, which has just ended, ran at full speed from the beginning of its task: from
 *  its first confirmation, without the time in which it was halted. -1: that is not known, or it
 *  was throttled. Errors are those of a poll, some tens of ms. */
gint64 iv_run_time_clean_ms (struct iv_run *run, gint64 now_ms);

/** The last task of a step that has ended. Times in ms on one clock. */
struct iv_stage_end
{
  struct iv_task_name name;
  const char *worker;
  gint64 ready_ms;      /**< when the step became ready; 0: unknown */
  gint64 first_sent_ms; /**< first start of the task; 0: unknown */
  gint64 sent_ms;       /**< start of its last run */
  gint64 throttled_ms;  /**< durations, of that run */
  gint64 halted_ms;
  gint64 ended_ms;
  gint64 expected_ms; /**< duration of a task */
  guint count;        /**< tasks of the step */
};

/** Set what is known from @a run, which has just ended. */
void iv_stage_end_set_run (struct iv_stage_end *end, struct iv_run *run, gint64 now_ms);

/** Log that a step has ended: its last task, and how its time divides into waiting for a worker,
 *  runs that were lost or repeated, and the last run: running, throttled and halted. */
void iv_stage_end_log (const struct iv_stage_end *end, struct iv_line_limit *limit);

#endif
