/**
 * @file front_task.h
 * HTTP API for callers: submits, queries and cancels jobs, reports the number of pending jobs of a
 * queue, and answers readiness checks.
 *
 * Where the configuration has workspaces, a request needs a key of one, unless its queue is public
 * (access.h). A request is judged by the configuration in force when it arrives.
 *
 * A submission is answered with 200 once the job's record is stored, and else with 504: that a job
 * never runs cannot be told while another host may be appending it. Without a configuration it is
 * answered with 503.
 *
 * A cancellation is stored before it is answered, with 410 where no job is known: the job may be
 * stored later (tombstones.h). 410 to a query tells of the moment only.
 */
#ifndef IV_FRONT_TASK_H
#define IV_FRONT_TASK_H

#include "queues.h"
#include "recorder.h"
#include "settings.h"
#include "stream.h"
#include "wire.h"

/** Dependencies of the task; all outlive it. */
struct iv_front_task_deps
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  struct iv_recorder *recorder;
  struct iv_stream *jobs;
  struct iv_job_table *job_table;
  struct iv_queues *queues; /**< as recorded */
  const struct iv_settings *settings;
  void *context;
  /** Configuration in force; NULL before it was read. */
  const struct iv_routes *(*routes) (void *context);
  /** Age in ms of the last complete read of the topic that the configuration is in. */
  gint64 (*config_age_ms) (void *context);
  /** Whether a cell has capacity for the long-running tasks of @a job, not accepted yet. */
  gboolean (*has_capacity) (void *context, const struct iv_job_entry *job);
};

/** The API's servers and pending requests. */
struct iv_front_task;

/** Listen for callers and for readiness checks. NULL with a last message when a socket cannot be
 *  opened. */
struct iv_front_task *iv_front_task_new (const struct iv_front_task_deps *deps);

/** Answer readiness checks with 503 from now on. */
void iv_front_task_set_unready (struct iv_front_task *task);

/** Stop listening for callers. Pending requests are still answered. */
void iv_front_task_stop (struct iv_front_task *task);

/** Number of requests not answered yet. */
guint iv_front_task_pending (const struct iv_front_task *task);

#endif
