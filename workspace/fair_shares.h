/**
 * @file fair_shares.h
 * Fair shares of workspaces: dominant resource fairness (Ghodsi et al., NSDI 2011), and a token
 * bucket over the times at which jobs were accepted.
 */
#ifndef IV_FAIR_SHARES_H
#define IV_FAIR_SHARES_H

#include "resources.h"

/** The largest fraction of @a capacity, over all resources, that @a used takes. A resource that the
 *  cell does not have counts nothing. */
double iv_dominant_share (const struct iv_resources *used, const struct iv_resources *capacity);

/** When the jobs of one workspace were accepted. */
struct iv_arrivals;

struct iv_arrivals *iv_arrivals_new (void);
void iv_arrivals_free (struct iv_arrivals *arrivals);

/** Add a job that was accepted at @a accepted_ms, wall clock; @a id stays owned by the caller and
 *  must be valid until the job is removed. */
void iv_arrivals_add (struct iv_arrivals *arrivals, gint64 accepted_ms, const char *id);

/** Remove a job, if it was added. */
void iv_arrivals_remove (struct iv_arrivals *arrivals, gint64 accepted_ms, const char *id);

/** Number of jobs. */
guint iv_arrivals_count (const struct iv_arrivals *arrivals);

/** Whether the job @a id, which was accepted at @a accepted_ms, found no token in a bucket that
 *  gains @a rate tokens a second, up to those of one second and at least one. Jobs take one each in
 *  the order of their times and ids; one that finds none takes none. The bucket is full at each
 *  multiple of IV_ARRIVALS_WINDOW_MS, so that the result depends on the jobs since then alone. */
gboolean iv_arrivals_is_beyond (struct iv_arrivals *arrivals, double rate, gint64 accepted_ms,
                                const char *id);

/** Bounds what a judgement reads, at the price of the jobs of one more second in each window. */
#define IV_ARRIVALS_WINDOW_MS 10000

#endif
