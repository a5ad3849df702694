/**
 * @file health.h
 * Bad workers told from bad jobs by who fails where.
 *
 * A worker on which several different jobs fail in a row is put aside for a while; a job that
 * fails on several different healthy workers is at fault itself.
 */
#ifndef IV_HEALTH_H
#define IV_HEALTH_H

#include <glib.h>

/** What a failure says. */
enum iv_verdict
{
  IV_VERDICT_RETRY,      /**< not clear yet: run the task elsewhere */
  IV_VERDICT_BAD_WORKER, /**< the worker is put aside; the failure is not held against the job */
  IV_VERDICT_BAD_JOB     /**< the job fails wherever it runs */
};

/** Failure history; soft state of the owner. */
struct iv_health;

/** Create an empty history. */
struct iv_health *iv_health_new (void);

/** Free the history. */
void iv_health_free (struct iv_health *health);

/** A task of the job @a gen failed on @a worker. */
enum iv_verdict iv_health_failed (struct iv_health *health, guint32 worker, guint64 gen,
                                  gint64 now_ms);

/** A task of the job @a gen ended well on @a worker. */
void iv_health_succeeded (struct iv_health *health, guint32 worker, guint64 gen);

/** Workers where the job @a gen has failed, as a set of `gint64`; NULL when there are none. */
GHashTable *iv_health_places (const struct iv_health *health, guint64 gen);

/** Whether @a worker may get new tasks. After its time aside it may get one to try. */
gboolean iv_health_usable (const struct iv_health *health, guint32 worker, gint64 now_ms);

/** Forget a worker that is gone. */
void iv_health_forget_worker (struct iv_health *health, guint32 worker);

#endif
