/**
 * @file domain_state.h
 * The fold of one failure domain's stream: workers, tasks, who owns the domain, host time.
 *
 * The state is a pure function of the batches in offset order. Records of the owner carry its
 * term; those of an earlier term fold to nothing, and so does every record that does not fit the
 * state, such as a bind beyond a worker's capacity.
 */
#ifndef IV_DOMAIN_STATE_H
#define IV_DOMAIN_STATE_H

#include "batch.h"
#include "config.h"
#include "ledger.h"
#include "writers.h"

#define IV_IMPORTS_MAX 16384 /**< imported tasks remembered against a repeated import */
#define IV_NO_WORKER G_MAXUINT32

/** Where a task is. A task that has ended leaves the table and is counted by its job. */
enum iv_task_state
{
  IV_TASK_QUEUED = 0, /**< waits for a worker */
  IV_TASK_BOUND,      /**< bound to a worker; it may run there */
  IV_TASK_EXPORTING   /**< on its way to another failure domain */
};

/** One task. */
struct iv_task
{
  guint32 id;
  guint32 job;   /**< id of its job here */
  guint64 gen;   /**< of its job: with `index`, its identity everywhere */
  guint32 index; /**< number within the job, the same in every failure domain */
  enum iv_task_state state;
  guint32 attempt;     /**< counts up with each bind; fences earlier starts */
  guint32 worker;      /**< while bound, else IV_NO_WORKER */
  guint32 progress_ms; /**< of its run time, at the last checkpoint */
  guint32 failures;
  guint32 moves;       /**< times it changed its failure domain */
  guint64 bind_offset; /**< offset of the bind: with the term, the fencing token */
  char *to;            /**< destination while exporting */
};

/** One job or service as far as this failure domain runs it. */
struct iv_job
{
  guint32 id;
  ivx_item item;
  guint64 gen;
  gboolean cancelled;
  gboolean admitted;  /**< its share was admitted; a job known by imports only was not */
  guint32 live_tasks; /**< tasks in the table */
  guint32 done, failed, cancel_count, unknown;
};

/** One worker. */
struct iv_worker
{
  guint32 id;
  ivx_worker info;
  ivx_size committed; /**< sum of the sizes of the tasks bound to it */
  guint32 bound;      /**< number of these tasks */
  struct iv_ledger ledger;
};

/** The state. Read its members freely; only iv_cell_apply() changes them. */
struct iv_domain_state
{
  char *domain;
  guint64 next;
  guint32 term;
  char *owner; /**< host that holds the term; "" before the first claim */
  guint64 claim_offset;
  guint64 config_floor; /**< admissions by writers behind this config offset fold to nothing */
  guint32 evictions;
  struct iv_writers writers;
  guint32 next_worker, next_job, next_task;
  GHashTable *workers;      /**< id to struct iv_worker */
  GHashTable *worker_names; /**< name to struct iv_worker */
  GHashTable *jobs;         /**< id to struct iv_job */
  GHashTable *tasks;        /**< id to struct iv_task */
  GHashTable *job_gens;     /**< gen to struct iv_job */
  GHashTable *task_keys;    /**< gen and index to struct iv_task */
  GQueue *import_order;     /**< keys of remembered imports, oldest first */
  GHashTable *imports;
  GArray *removed_usage; /**< of ivx_usage_row: host time of workers that are gone */
};

/** Create the state before the first batch of @a domain. */
struct iv_domain_state *iv_domain_state_new (const char *domain);

/** Free the state. */
void iv_domain_state_free (struct iv_domain_state *cell);

/** Fold the batch at @a offset. */
enum iv_apply_result iv_domain_state_apply (struct iv_domain_state *cell, guint64 offset,
                                            const ivx_batch *batch);

/** Look-ups; NULL when there is no such row. */
struct iv_worker *iv_domain_state_worker (const struct iv_domain_state *cell, guint32 id);
struct iv_worker *iv_domain_state_worker_by_name (const struct iv_domain_state *cell,
                                                  const char *name);
struct iv_task *iv_domain_state_task (const struct iv_domain_state *cell, guint32 id);
struct iv_job *iv_domain_state_job (const struct iv_domain_state *cell, guint32 id);
struct iv_job *iv_domain_state_job_by_gen (const struct iv_domain_state *cell, guint64 gen);
struct iv_task *iv_domain_state_task_by_gen (const struct iv_domain_state *cell, guint64 gen,
                                             guint32 index);

/** Whether @a size fits into what @a worker has left. */
gboolean iv_worker_fits (const struct iv_worker *worker, const ivx_size *size);

/** Tasks of @a job that have ended here. */
guint32 iv_job_ended_tasks (const struct iv_job *job);

/** Encode the state as a snapshot. Free with g_byte_array_free(). */
GByteArray *iv_domain_state_save (const struct iv_domain_state *cell);

/** Restore a snapshot of @a domain; NULL with a last message when it is malformed. */
struct iv_domain_state *iv_domain_state_load (const char *domain, const guint8 *bytes, gsize len);

#endif
