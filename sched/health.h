/**
 * @file health.h
 * Attributes task failures to the worker or to the job.
 *
 * A worker on which three different jobs fail without a success in between is quarantined for a
 * limited time, and its failures no longer count against jobs. A job that fails on three different
 * workers is considered faulty.
 */
#ifndef IV_HEALTH_H
#define IV_HEALTH_H

#include <glib.h>

/** What a task failure is attributed to. */
enum iv_failure_cause
{
  IV_FAILURE_UNDETERMINED, /**< not known yet: run the task on another worker */
  IV_FAILURE_WORKER, /**< the worker is quarantined; the failure does not count against the job */
  IV_FAILURE_JOB     /**< the job fails on different workers */
};

/** Failure history; in-memory state of the owner, not written to the log. */
struct iv_health;

/** Create an empty failure history. Free it with iv_health_free(). */
struct iv_health *iv_health_new (void);

/** Free @a health; NULL is allowed. */
void iv_health_free (struct iv_health *health);

/** Record that a task of the job with generation @a gen failed on @a worker. */
enum iv_failure_cause iv_health_record_failure (struct iv_health *health, guint32 worker,
                                                guint64 gen, gint64 now_ms);

/** Record that a task of the job with generation @a gen succeeded on @a worker. Ends the
 *  quarantine of the worker and clears the failures of the job. */
void iv_health_record_success (struct iv_health *health, guint32 worker, guint64 gen);

/** Workers on which the job with generation @a gen has failed, as a set of `gint64` ids owned by
 *  @a health; NULL when no failure is recorded. */
GHashTable *iv_health_failed_workers (const struct iv_health *health, guint64 gen);

/** Whether @a worker may receive new tasks. After its quarantine the next failure there
 *  quarantines it again, for twice as long up to a limit. */
gboolean iv_health_usable (const struct iv_health *health, guint32 worker, gint64 now_ms);

/** Discard the failure history of a worker that was removed. */
void iv_health_remove_worker (struct iv_health *health, guint32 worker);

#endif
