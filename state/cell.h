/**
 * @file cell.h
 * Replicated state of the cell of one failure domain: its owner, workers, jobs, tasks and usage.
 *
 * The state is built from the domain's stream and is a pure function of the batches in offset
 * order. Batches of the owner carry its term; their records are rejected unless the term is the
 * current one. Records that contradict the state, such as a bind beyond a worker's capacity, are
 * rejected too. Rejected records change nothing.
 */
#ifndef IV_CELL_H
#define IV_CELL_H

#include "batch.h"
#include "config.h"
#include "ledger.h"
#include "writers.h"

/** Imports that are recorded to detect a repeated one; the oldest is dropped. */
#define IV_IMPORTS_MAX 16384
/** Worker id of a task that is not bound. */
#define IV_NO_WORKER G_MAXUINT32

/** State of a task. A task that has ended is removed from the table and counted by its job. */
enum iv_task_state
{
  IV_TASK_QUEUED = 0, /**< waits to be bound to a worker */
  IV_TASK_BOUND,      /**< bound to a worker; it may run there */
  IV_TASK_EXPORTING   /**< being moved to another failure domain */
};

/** One task. */
struct iv_task
{
  guint32 id;
  guint32 job;   /**< id of its job in this failure domain */
  guint64 gen;   /**< of its job; identifies the task in all failure domains, with `index` */
  guint32 index; /**< number within the job, the same in all failure domains */
  enum iv_task_state state;
  guint32 attempt;     /**< incremented by each bind; fences off earlier attempts */
  guint32 worker;      /**< id while bound, else IV_NO_WORKER */
  guint32 progress_ms; /**< run time completed at the last checkpoint */
  guint32 failures;    /**< failed attempts */
  guint32 moves;       /**< moves between failure domains so far */
  guint64 bind_offset; /**< offset of its last bind; with the term, the fencing token */
  char *to;            /**< destination domain while exporting, else NULL */
};

/** The part of a job or service that is assigned to this failure domain. */
struct iv_job
{
  guint32 id;
  ivx_item item;
  guint64 gen;
  gboolean cancelled;
  gboolean admitted;  /**< an admit record was applied; FALSE when only imports created it */
  guint32 live_tasks; /**< its tasks in the table */
  guint32 done, failed, cancel_count, unknown; /**< ended tasks by result */
};

/** One worker. */
struct iv_worker
{
  guint32 id;
  ivx_worker info;
  ivx_size committed; /**< total size of the tasks bound to it */
  guint32 bound;      /**< number of tasks bound to it */
  struct iv_ledger ledger;
};

/** The workers and jobs that one owner schedules, here those of one failure domain. Members may be
 *  read; only iv_cell_apply() changes them. */
struct iv_cell
{
  char *domain;
  guint64 next; /**< offset of the next batch */
  guint32 term;
  char *owner;          /**< host that claimed the current term; "" before the first claim */
  guint64 claim_offset; /**< offset of the claim of the current term */
  guint64 config_floor; /**< admits decided before this offset of the config stream are rejected */
  guint32 evictions;    /**< tasks evicted from their worker so far */
  struct iv_writers writers;
  guint32 next_worker, next_job, next_task; /**< next ids */
  GHashTable *workers;                      /**< id to struct iv_worker */
  GHashTable *worker_names;                 /**< name to struct iv_worker */
  GHashTable *jobs;                         /**< id to struct iv_job */
  GHashTable *tasks;                        /**< id to struct iv_task */
  GHashTable *job_gens;                     /**< gen to struct iv_job */
  GHashTable *task_keys;                    /**< gen and index to struct iv_task */
  GQueue *import_order;                     /**< keys of the recorded imports, oldest first */
  GHashTable *imports;                      /**< the same keys as a set */
  GArray *removed_usage;                    /**< of ivx_usage_row: usage of removed workers */
};

/** Create the cell of @a domain, without workers and jobs. */
struct iv_cell *iv_cell_new (const char *domain);

/** Free the cell; NULL is allowed. */
void iv_cell_free (struct iv_cell *cell);

/** Apply the batch at @a offset, which must not be below `next`. */
enum iv_apply_result iv_cell_apply (struct iv_cell *cell, guint64 offset, const ivx_batch *batch);

/** Look up a row; NULL when there is none. */
struct iv_worker *iv_cell_worker (const struct iv_cell *cell, guint32 id);
struct iv_worker *iv_cell_worker_by_name (const struct iv_cell *cell, const char *name);
struct iv_task *iv_cell_task (const struct iv_cell *cell, guint32 id);
struct iv_job *iv_cell_job (const struct iv_cell *cell, guint32 id);
struct iv_job *iv_cell_job_by_gen (const struct iv_cell *cell, guint64 gen);
struct iv_task *iv_cell_task_by_gen (const struct iv_cell *cell, guint64 gen, guint32 index);

/** Whether a task of @a size fits into the uncommitted capacity of @a worker. */
gboolean iv_worker_fits (const struct iv_worker *worker, const ivx_size *size);

/** Number of tasks of @a job that have ended in this failure domain. */
guint32 iv_job_ended_tasks (const struct iv_job *job);

/** Encode the cell as a snapshot; NULL when it exceeds 64 MiB. Free with g_byte_array_free(). */
GByteArray *iv_cell_save (const struct iv_cell *cell);

/** Restore a snapshot of @a domain; NULL, with a message recorded by iv_fail(), when it is
 *  malformed. */
struct iv_cell *iv_cell_load (const char *domain, const guint8 *bytes, gsize len);

#endif
