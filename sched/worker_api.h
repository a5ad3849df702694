/**
 * @file worker_api.h
 * Messages between the owner of a failure domain and a worker, independent of the wire format.
 *
 * Times named `*_at` or `*_until` are on the worker's clock, in milliseconds since it booted.
 */
#ifndef IV_WORKER_API_H
#define IV_WORKER_API_H

#include "batch.h"

/** What the worker has to do with a task. */
enum iv_order
{
  IV_ORDER_RUN = 1,   /**< renew its lease; start it if `start_until` is not zero */
  IV_ORDER_EVICT = 2, /**< checkpoint and stop it */
  IV_ORDER_STOP = 3   /**< stop it without a checkpoint */
};

/** One task in a sync. The lease of a task that is not listed is not renewed. */
struct iv_sync_task
{
  guint64 gen; /**< generation of the job; identifies the task together with `index` */
  guint32 index;
  guint32 attempt; /**< the worker refuses an attempt that has ended there or an older one */
  enum iv_order order;
  guint64 start_until; /**< the worker refuses a start after this time; 0: it must not start */
  guint64 lease_until; /**< the worker stops the task at this time unless the lease was renewed */
  ivx_size size;
  guint32 run_ms;         /**< declared run time; 0 for a service */
  guint32 progress_ms;    /**< checkpoint to resume from, as run time */
  guint32 speed_permille; /**< speed limit; 1000 when not throttled */
  char *name;
  char *team;
};

/** A task whose end the owner has read back from the log; the worker may discard its report. */
struct iv_sync_ack
{
  guint64 gen;
  guint32 index;
  guint32 attempt;
};

/** Message from the owner to a worker. */
struct iv_sync
{
  guint32 worker; /**< id in the cell; the caller passes it back with the reply */
  char *address;
  char *domain;
  guint32 term;         /**< the worker refuses a term lower than the highest one it has seen */
  guint64 boot;         /**< the worker refuses a sync for another boot; 0 if not known yet */
  GArray *tasks;        /**< of struct iv_sync_task */
  GArray *acks;         /**< of struct iv_sync_ack */
  guint64 usage_ack_ms; /**< usage before this wall-clock time is recorded and may be discarded */
};

/** State of a task attempt on its worker. */
enum iv_run_state
{
  IV_RUN_RUNNING = 1,
  IV_RUN_DONE,
  IV_RUN_FAILED,
  IV_RUN_STOPPED,       /**< stopped by an order, with a checkpoint */
  IV_RUN_LEASE_EXPIRED, /**< the worker stopped it when its lease expired */
  IV_RUN_REFUSED        /**< the start was refused; the task did not run */
};

/** Report on one task attempt. */
struct iv_run_report
{
  guint64 gen;
  guint32 index;
  guint32 attempt;
  enum iv_run_state state;
  guint32 progress_ms;       /**< run time at the last checkpoint */
  guint32 slowdown_permille; /**< measured run time, undisturbed = 1000; 0: not measured */
  guint64 measured_at;       /**< end of the measurement, which may be delayed considerably */
};

/** Reply of a worker to a sync. */
struct iv_sync_reply
{
  guint64 clock_ms; /**< worker's clock */
  guint64 boot;
  guint32 term;     /**< highest term that the worker has seen */
  gboolean refused; /**< no part of the sync was applied */
  GArray *reports;  /**< of struct iv_run_report */
  GArray *usage;    /**< of ivx_usage; `worker` is not set */
};

/** Free @a sync and its contents; NULL is allowed. */
void iv_sync_free (struct iv_sync *sync);

/** Create a reply without reports and usage. */
struct iv_sync_reply *iv_sync_reply_new (void);

/** Free @a reply and its contents; NULL is allowed. */
void iv_sync_reply_free (struct iv_sync_reply *reply);

/** Create a sync without tasks and acknowledgements; strings are copied. */
struct iv_sync *iv_sync_new (guint32 worker, const char *address, const char *domain);

/** Name of a run state, as on the wire; "none" for an unknown one. */
const char *iv_run_state_name (enum iv_run_state state);

/** Run state of that name; 0 for an unknown name or NULL. */
enum iv_run_state iv_run_state_parse (const char *name);

#endif
