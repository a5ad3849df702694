/**
 * @file worker_api.h
 * Messages between the owner of a failure domain and a worker, free of any wire format.
 *
 * Times named `*_at` or `*_until` are on the worker's own clock, in milliseconds since it booted.
 */
#ifndef IV_WORKER_API_H
#define IV_WORKER_API_H

#include "batch.h"

/** What the worker is to do with a task. */
enum iv_order
{
  IV_ORDER_RUN = 1,   /**< renew its lease; start it when `start_until` is not zero */
  IV_ORDER_EVICT = 2, /**< checkpoint and stop it */
  IV_ORDER_STOP = 3   /**< stop it without a checkpoint */
};

/** One task in a sync. A task that is not listed has its lease lapse. */
struct iv_sync_task
{
  guint64 gen; /**< with `index`: identity of the task */
  guint32 index;
  guint32 attempt; /**< the worker refuses an attempt that it has ended or that is older */
  enum iv_order order;
  guint64 start_until; /**< the worker refuses a start after this; 0 when it may not start */
  guint64 lease_until; /**< the worker stops the task then unless it was renewed */
  ivx_size size;
  guint32 run_ms;         /**< declared run time; 0 for a service */
  guint32 progress_ms;    /**< checkpoint to resume from */
  guint32 speed_permille; /**< below 1000 when throttled */
  char *name;
  char *team;
};

/** Names a task whose end the owner has folded; the worker may forget it. */
struct iv_sync_ack
{
  guint64 gen;
  guint32 index;
  guint32 attempt;
};

/** Owner to worker. */
struct iv_sync
{
  guint32 worker; /**< id in the cell, echoed by the caller */
  char *address;
  char *domain;
  guint32 term;         /**< the worker refuses a term below the highest it has seen */
  guint64 boot;         /**< the worker refuses a sync meant for another boot; 0 to learn it */
  GArray *tasks;        /**< of struct iv_sync_task */
  GArray *acks;         /**< of struct iv_sync_ack */
  guint64 usage_ack_ms; /**< usage before this host time is booked and may be dropped */
};

/** State of a task on its worker. */
enum iv_run_state
{
  IV_RUN_RUNNING = 1,
  IV_RUN_DONE,
  IV_RUN_FAILED,
  IV_RUN_STOPPED,       /**< stopped on order, with a checkpoint */
  IV_RUN_LEASE_EXPIRED, /**< its lease ran out and the worker stopped it */
  IV_RUN_REFUSED        /**< the start was not taken; nothing ran */
};

/** Report on one task. */
struct iv_run_report
{
  guint64 gen;
  guint32 index;
  guint32 attempt;
  enum iv_run_state state;
  guint32 progress_ms;       /**< at the last checkpoint */
  guint32 slowdown_permille; /**< measured run time against undisturbed; 0 when not measured */
  guint64 measured_at;       /**< end of that measurement; it may lie well in the past */
};

/** Worker to owner. */
struct iv_sync_reply
{
  guint64 clock_ms;
  guint64 boot;
  guint32 term;     /**< highest term seen */
  gboolean refused; /**< nothing of the sync was applied */
  GArray *reports;  /**< of struct iv_run_report */
  GArray *usage;    /**< of ivx_usage; `worker` is not set */
};

/** Free a sync. */
void iv_sync_free (struct iv_sync *sync);

/** Create an empty reply. */
struct iv_sync_reply *iv_sync_reply_new (void);

/** Free a reply. */
void iv_sync_reply_free (struct iv_sync_reply *reply);

/** Create a sync without tasks. */
struct iv_sync *iv_sync_new (guint32 worker, const char *address, const char *domain);

/** Stable name of a run state, and back; 0 when unknown. */
const char *iv_run_state_name (enum iv_run_state state);
enum iv_run_state iv_run_state_parse (const char *name);

#endif
