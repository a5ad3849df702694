/**
 * @file front_task.h
 * Callers: jobs handed in, asked for and cancelled; the backlog of a queue; readiness.
 *
 * A job is accepted once its record is stored, and refused only when nothing of it was.
 */
#ifndef IV_FRONT_TASK_H
#define IV_FRONT_TASK_H

#include "recorder.h"
#include "settings.h"
#include "stream.h"
#include "wire.h"

/** What the task uses of its process. */
struct iv_front_task_deps
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  struct iv_recorder *recorder;
  struct iv_stream *jobs;
  struct iv_job_table *job_table;
  const struct iv_settings *settings;
  void *context;
  const struct iv_routes *(*routes) (void *context);
  /** Whether the cell of @a job, which is not accepted yet, has room for what lasts of it. */
  gboolean (*has_capacity) (void *context, const struct iv_job_entry *job);
};

struct iv_front_task;

/** Listen. NULL with a last message when a socket cannot be opened. */
struct iv_front_task *iv_front_task_new (const struct iv_front_task_deps *deps);

/** Say that the host is leaving, then stop listening. */
void iv_front_task_set_unready (struct iv_front_task *task);
void iv_front_task_stop (struct iv_front_task *task);

/** Requests without an answer. */
guint iv_front_task_pending (const struct iv_front_task *task);

#endif
