/**
 * @file fake_worker.h
 * A worker without I/O: leases, fencing, checkpoints, throttling, interference and late usage.
 */
#ifndef IV_FAKE_WORKER_H
#define IV_FAKE_WORKER_H

#include "worker_api.h"

/** One task on the worker, running or ended. */
struct fake_task
{
  guint64 gen;
  guint32 index;
  guint32 attempt;
  enum iv_run_state state;
  ivx_size size;
  guint32 run_ms;
  gint64 lease_until;
  double progress_ms;
  double checkpoint_ms;
  guint32 speed_permille;
  char *name;
  char *team;
  double used_units; /**< since the last usage report */
  double slowdown;   /**< averaged over the last measurement */
};

/** The worker. Faults are switched by its members. */
struct fake_worker
{
  char *name;
  ivx_size size;
  guint64 boot;
  gint64 boot_ms;       /**< caller's time of the boot: the worker's clock starts there */
  guint64 wall_at_boot; /**< host time of the boot */
  guint32 term;
  gint64 now_ms;      /**< caller's time reached so far */
  GPtrArray *tasks;   /**< of struct fake_task */
  GPtrArray *usage;   /**< of ivx_usage, oldest first, with the time each becomes visible */
  GArray *visible_at; /**< of gint64 */
  guint64 usage_from; /**< host time */
  gint64 usage_every_ms;
  gint64 usage_lag_ms;
  gint64 measure_every_ms;
  gint64 measured_at;
  gboolean fail_all_tasks;
  gboolean skip_fence; /**< mutation: accept stale terms and attempts */
  gboolean skip_lease; /**< mutation: never stop a task whose lease ran out */
  guint (*should_fail) (void *context, const struct fake_task *task); /**< may be NULL */
  void (*started) (void *context, struct fake_worker *worker, const struct fake_task *task);
  void (*done) (void *context, struct fake_worker *worker, const struct fake_task *task);
  double (*coefficient) (void *context, const char *victim, const char *other);
  void *context;
};

struct fake_worker *fake_worker_new (const char *name, ivx_size size, gint64 now_ms,
                                     guint64 wall_ms, guint64 boot);
void fake_worker_free (struct fake_worker *worker);

/** Let time pass up to @a now_ms. */
void fake_worker_advance (struct fake_worker *worker, gint64 now_ms);

/** Lose everything and come back under another boot. */
void fake_worker_reboot (struct fake_worker *worker, gint64 now_ms, guint64 wall_ms, guint64 boot);

/** Handle a sync; the reply belongs to the caller. */
struct iv_sync_reply *fake_worker_sync (struct fake_worker *worker, gint64 now_ms,
                                        const struct iv_sync *sync);

/** The running attempt of a task, or NULL. */
const struct fake_task *fake_worker_running (const struct fake_worker *worker, guint64 gen,
                                             guint32 index);

#endif
