/**
 * @file job_table.h
 * Every job that the system has accepted, folded from keyed records.
 *
 * A job has up to four keys: its id (what was asked, written by the host that accepted it), the
 * id with IV_KEY_PROGRESS (how far it is, written by the owner alone), the id with IV_KEY_CANCEL
 * (written by the host that took the cancellation) and the id with IV_KEY_MOVE (written by the
 * owner of the cell that it leaves). The newest value of a key holds all of it, so folding a record
 * twice changes nothing.
 */
#ifndef IV_JOB_TABLE_H
#define IV_JOB_TABLE_H

#include "batch.h"
#include "jobs_xdr.h"
#include "task_name.h"

#define IV_KEY_PROGRESS "+p"
#define IV_KEY_CANCEL "+x"
#define IV_KEY_MOVE "+m"            /**< the cell that serves the job from now on */
#define IV_KEY_LAYOUT "layout"      /**< how the fleet is dealt to cells */
#define IV_KEY_MODEL "model/"       /**< and a cell: what its owner learnt of pairs of images */
#define IV_KEY_HANDOVER "handover/" /**< and a cell: word of an owner that ended in good order */
#define IV_KEY_OWNER "owner/"       /**< and a cell: claim of its owner */
#define IV_KEY_LOAD "load/"         /**< and a cell: how much room it has */
#define IV_RECORD_MAX_BYTES 200000  /**< bytes of one record; below the platform's bound */

/** A job as the records tell it. */
struct iv_job_entry
{
  char id[IV_JOB_ID_LEN + 1];
  gboolean accepted; /**< `spec` is set */
  gboolean cancel;   /**< its cancellation was recorded */
  gint moved_to;     /**< the cell that it was moved to; -1: none */
  ivj_job spec;
  ivj_progress progress;     /**< as recorded: what callers are told */
  enum ivj_state live_state; /**< the owner's; it runs ahead of what is recorded */
  gint64 live_ended_ms;
  gboolean move_pending;    /**< the owner has sent it to another cell; that is not folded yet */
  struct iv_job_exec *exec; /**< the owner's part; NULL elsewhere */
};

/** All jobs. */
struct iv_job_table;

/** Tells that a record changed @a job. */
typedef void (*iv_job_table_fn) (void *context, struct iv_job_entry *job);

struct iv_job_table *iv_job_table_new (void);
void iv_job_table_free (struct iv_job_table *job_table);

/** Have @a changed called for every change by a record; NULL for nobody. */
void iv_job_table_watch (struct iv_job_table *job_table, iv_job_table_fn changed, void *context);

/** Fold the record of @a key; @a value is NULL when the key was dropped. IV_ERR_INVALID with a last
 *  message when it cannot be read; then nothing changed. */
enum iv_status iv_job_table_apply (struct iv_job_table *job_table, const char *key,
                                   const guint8 *value, gsize len);

/** Find a job; NULL when it is unknown or was never accepted. */
struct iv_job_entry *iv_job_table_find (struct iv_job_table *job_table, const char *id);

/** Jobs in the book. */
guint iv_job_table_size (const struct iv_job_table *job_table);

/** Call @a each for every accepted job. */
void iv_job_table_foreach (struct iv_job_table *job_table, iv_job_table_fn each, void *context);

/** Jobs of the queue @a host and @a prefix without times that wait for their first task. */
guint iv_job_table_pending (struct iv_job_table *job_table, const char *host, const char *prefix);

/** Remove a job that ended long ago. */
void iv_job_table_remove (struct iv_job_table *job_table, const char *id);

/** Present state of @a job. */
enum ivj_state iv_job_state (const struct iv_job_entry *job);

/** Whether @a state is final. */
gboolean iv_job_state_is_final (enum ivj_state state);

/** Name of @a state. */
const char *iv_job_state_name (enum ivj_state state);

/** Check what a caller asked for. IV_ERR_INVALID with a last message when it cannot be a job. */
enum iv_status iv_job_validate (const ivj_job *spec);

#endif
