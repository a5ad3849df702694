/**
 * @file fake_worker.h
 * Simulated worker without I/O: leases, fencing, checkpoints, throttling, interference between
 * tasks and delayed usage reports.
 *
 * Times are in milliseconds of the simulation's clock unless they are named wall-clock or worker's
 * clock; the worker's clock starts at 0 when it boots.
 */
#ifndef IV_FAKE_WORKER_H
#define IV_FAKE_WORKER_H

#include "worker_api.h"

/** The latest attempt of one task on the worker, running or ended. */
struct fake_task
{
  guint64 gen; /**< generation of the job */
  guint32 index;
  guint32 attempt;
  enum iv_run_state state;
  ivx_size size;
  guint32 run_ms;       /**< declared run time; 0 for a service */
  gint64 lease_until;   /**< worker's clock */
  double progress_ms;   /**< run time completed, at full speed and undisturbed */
  double checkpoint_ms; /**< progress at the last checkpoint */
  guint32 speed_permille;
  char *name;
  char *team;
  double used_core_us; /**< core-microseconds since the last usage report */
  double slowdown;     /**< moving average; 0 when undisturbed, 1 at twice the run time */
};

/** One worker. Tests set the faults and the callbacks directly. */
struct fake_worker
{
  char *name;
  ivx_size size;
  guint64 boot;               /**< id of the boot, by which the owner notices a restart */
  gint64 boot_ms;             /**< time of the boot */
  guint64 boot_wall_ms;       /**< wall-clock time of the boot */
  guint32 term;               /**< highest term seen since the boot */
  gint64 now_ms;              /**< time up to which the worker was simulated */
  GPtrArray *tasks;           /**< of struct fake_task */
  GPtrArray *usage;           /**< of ivx_usage, oldest first, until acknowledged */
  GArray *visible_at_ms;      /**< of gint64, when each entry of `usage` may first be reported */
  guint64 usage_from_wall_ms; /**< start of the next usage report, wall-clock time */
  gint64 usage_interval_ms;
  gint64 usage_lag_ms; /**< from the end of a usage report until it may be reported */
  gint64 measurement_interval_ms;
  gint64 measured_at_ms;
  gboolean fail_all_tasks;
  gboolean skip_fence; /**< mutation: accept stale terms, boots and attempts */
  gboolean skip_lease; /**< mutation: never stop a task whose lease expired */
  /** Non-zero when the running task shall fail now. This and the other callbacks may be NULL. */
  guint (*should_fail) (void *context, const struct fake_task *task);
  void (*started) (void *context, struct fake_worker *worker, const struct fake_task *task);
  void (*done) (void *context, struct fake_worker *worker, const struct fake_task *task);
  /** Slowdown that @a other causes in @a victim when it has all cores of the worker. */
  double (*coefficient) (void *context, const char *victim, const char *other);
  void *context;
};

struct fake_worker *fake_worker_new (const char *name, ivx_size size, gint64 now_ms,
                                     guint64 wall_ms, guint64 boot);
void fake_worker_free (struct fake_worker *worker);

/** Simulate the worker up to @a now_ms. */
void fake_worker_advance (struct fake_worker *worker, gint64 now_ms);

/** Restart the worker as @a boot: its tasks, usage reports and highest term are lost. */
void fake_worker_reboot (struct fake_worker *worker, gint64 now_ms, guint64 wall_ms, guint64 boot);

/** Advance to @a now_ms and handle a sync; the caller frees the reply with iv_sync_reply_free(). */
struct iv_sync_reply *fake_worker_sync (struct fake_worker *worker, gint64 now_ms,
                                        const struct iv_sync *sync);

/** Return the running attempt of a task, or NULL. */
const struct fake_task *fake_worker_running (const struct fake_worker *worker, guint64 gen,
                                             guint32 index);

#endif
