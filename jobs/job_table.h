/**
 * @file job_table.h
 * Table of all accepted jobs, built by replaying the records of a keyed stream.
 *
 * A job has these keys:
 * - its id: the specification, written by the host that accepted the job;
 * - its id with IV_KEY_PROGRESS: the progress, written only by the owner of its cell;
 * - its id with IV_KEY_CRASHES: crashes that its tasks are suspected of, written by that owner;
 * - its id with IV_KEY_FAILURES and a number: failed runs that the progress record has no room for,
 *   with it when there are any. They may be older than it: a task that has failed stays so;
 * - its id with IV_KEY_CANCEL: written by the host that took the cancellation;
 * - its id with IV_KEY_TOMBSTONE and a number: a cancellation that came before the job was known.
 * See tombstones.h;
 * - its id with IV_KEY_MOVE: the new cell, written by the owner of the cell that the job leaves;
 * - its id with IV_KEY_DELEGATION and a task: which cell runs that task, written by the owner of
 * the cell that the task leaves. See delegations.h.
 *
 * Each record holds the complete value of its key, so applying a record twice has no effect.
 */
#ifndef IV_JOB_TABLE_H
#define IV_JOB_TABLE_H

#include "batch.h"
#include "jobs_xdr.h"
#include "delegations.h"
#include "task_name.h"
#include "tombstones.h"

#define IV_KEY_PROGRESS "+p"
#define IV_KEY_CRASHES "+c"
#define IV_KEY_FAILURES "+f" /**< + a number from 1 */
#define IV_KEY_CANCEL "+x"
#define IV_KEY_MOVE "+m"            /**< the cell that runs the job from now on */
#define IV_KEY_LAYOUT "layout"      /**< assignment of racks to cells */
#define IV_KEY_MODEL "model/"       /**< + cell: interference model learnt by its owner */
#define IV_KEY_HANDOVER "handover/" /**< + cell: written by an owner that shut down cleanly */
#define IV_KEY_ROSTER                                                                              \
  "roster/"                   /**< + cell: workers that have runs of its owner, or may get one     \
                               */
#define IV_KEY_OWNER "owner/" /**< + cell: claim of its owner */
#define IV_KEY_LOAD "load/"   /**< + cell: its free capacity */
#define IV_KEY_CAP "cap/"     /**< + cell / digest of a workspace: the cell's part of its cap */
#define IV_RECORD_MAX_BYTES 200000 /**< of one record; below the limit of the platform */

/** A job as known from the records. */
struct iv_job_entry
{
  char id[IV_JOB_ID_LEN + 1];
  gboolean accepted; /**< `spec` is set */
  gboolean cancel;   /**< a cancellation was recorded, or a tombstone covers the job */
  gint moved_to;     /**< cell that the job was moved to; -1: none */
  ivj_job spec;
  const char *workspace;     /**< that it was accepted for, interned; "" when it has none */
  ivj_progress progress;     /**< as recorded; this is what callers are told */
  ivj_crashes crashes;       /**< as recorded */
  GPtrArray *failures;       /**< of ivj_progress, as recorded with IV_KEY_FAILURES; NULL: none */
  guint failure_keys;        /**< keys with IV_KEY_FAILURES that exist, also of an ended job */
  gboolean has_crash_record; /**< the key with IV_KEY_CRASHES exists */
  enum ivj_state live_state; /**< state at the owner; may be newer than the recorded one */
  gint64 live_ended_ms;      /**< wall clock; when `live_state` became final */
  gboolean move_pending;     /**< sent to another cell; the move record is not applied yet */
  gboolean unstored; /**< its newest record was not stored: what it tells of is not confirmed */
  struct iv_job_exec *exec; /**< execution state; NULL except at the owner */
  GArray *delegations;      /**< of struct iv_delegation, as recorded; NULL: none */
  gint64 highest_run;       /**< that an owner of this host has used for any of its tasks */
  guint guests; /**< execution states of tasks that cells owned by this host were delegated */
};

/** All jobs. */
struct iv_job_table;

/** Called with a job of the table. */
typedef void (*iv_job_table_fn) (void *context, struct iv_job_entry *job);

struct iv_job_table *iv_job_table_new (void);
void iv_job_table_free (struct iv_job_table *table);

/** Call @a changed after each record that was applied to an accepted job; NULL: no callback. */
void iv_job_table_watch (struct iv_job_table *table, iv_job_table_fn changed, void *context);

/** Apply the record of @a key; @a value is NULL when the key was deleted. IV_ERR_INVALID with a
 *  last message when the record is malformed; the job is then unchanged. */
enum iv_status iv_job_table_apply (struct iv_job_table *table, const char *key, const guint8 *value,
                                   gsize len);

/** Find a job; NULL when it is unknown or its specification has not been read. */
struct iv_job_entry *iv_job_table_find (struct iv_job_table *table, const char *id);

/** Tombstones, also of ids that no job is known for. */
const struct iv_tombstones *iv_job_table_tombstones (const struct iv_job_table *table);

/** Number of jobs, including those whose specification has not been read. */
guint iv_job_table_size (const struct iv_job_table *table);

/** Call @a each for every accepted job. */
void iv_job_table_foreach (struct iv_job_table *table, iv_job_table_fn each, void *context);

/** Whether @a job, of a workspace that is owed @a rate jobs a second, came beyond that rate, by the
 *  times at which the jobs of the workspace were accepted: see iv_arrivals_is_beyond(). */
gboolean iv_job_table_is_beyond_rate (const struct iv_job_table *table,
                                      const struct iv_job_entry *job, double rate);

/** Number of queued jobs in the queue of @a host and @a prefix: none of their tasks has started. */
guint iv_job_table_pending (struct iv_job_table *table, const char *host, const char *prefix);

/** Remove a job; a job with execution state stays. */
void iv_job_table_remove (struct iv_job_table *table, const char *id);

/** The keys of an accepted job that may exist, its id first, as `char *`. Free with
 *  g_ptr_array_unref(). */
GPtrArray *iv_job_keys (const struct iv_job_entry *job);

/** State of @a job as told to callers: as recorded, or cancelled once that was requested. */
enum ivj_state iv_job_state (const struct iv_job_entry *job);

/** Whether @a state is final. */
gboolean iv_job_state_is_final (enum ivj_state state);

/** Name of @a state; "unknown" when it is out of range. */
const char *iv_job_state_name (enum ivj_state state);

/** Check a job specification from a caller. IV_ERR_INVALID with a last message when it violates a
 *  limit or a step depends on a later one. */
enum iv_status iv_job_validate (const ivj_job *spec);

/** Record of the id of a job: @a spec, and the workspace that it was accepted for ("": none). NULL
 *  when it is too large. Free with g_byte_array_free(). */
GByteArray *iv_job_encode_spec (const ivj_job *spec, const char *workspace);

/** Record of the id of a job that has ended, without the specification that its tasks were started
 *  with: hosts that restart read all jobs of the retention time. To be stored with its final
 *  progress; hosts that know the job ignore it. NULL when the job has not ended, or little would be
 *  saved. */
GByteArray *iv_job_encode_ended (const struct iv_job_entry *job);

#endif
