/**
 * @file interference.h
 * Model of the slowdown between workloads on the same worker, estimated from delayed and noisy
 * measurements.
 *
 * The slowdown of a victim is the sum, over its neighbours, of a coefficient of the pair times the
 * share of the worker's processors that the neighbour occupies. Each coefficient is a Gaussian
 * estimate that a scalar Kalman filter updates; its variance grows with time, because load changes.
 */
#ifndef IV_INTERFERENCE_H
#define IV_INTERFERENCE_H

#include <glib.h>

/** Estimates for all pairs of workloads. */
struct iv_interference;

/** Current estimate for one pair. */
struct iv_pair_estimate
{
  double mean;     /**< added slowdown (1.0 = twice as slow) when the other has the whole worker */
  double variance; /**< variance of the mean */
  guint samples;   /**< measurements that the estimate is based on */
};

/** A workload on the same worker as a victim. */
struct iv_neighbour
{
  guint32 workload; /**< from iv_interference_workload() */
  double share;     /**< share of the worker's processors, 0..1 */
};

/** Prior for pairs without measurements, and the noise model of measurements. */
struct iv_interference_prior
{
  double mean;
  double variance;
  double noise;            /**< variance of one measurement */
  double drift_per_second; /**< growth of an estimate's variance, as load changes */
};

/** Create a model without measurements. @a prior is copied; NULL selects the prior for batch tasks
 *  that occupy a whole worker. */
struct iv_interference *iv_interference_new (const struct iv_interference_prior *prior);

/** Free @a model; NULL is allowed. */
void iv_interference_free (struct iv_interference *model);

/** Id, from 1 on, of the workload @a name; assigned on first use. Digits and separators at the end
 *  of the name are ignored, so that all runs of a recurring job are one workload. */
guint32 iv_interference_workload (struct iv_interference *model, const char *name);

/** Update the estimates with one measurement: @a victim ran with the added slowdown @a slowdown
 *  (0 = undisturbed) beside @a neighbours, at @a measured_ms on the caller's clock. A measurement
 *  that is not newer than the last one from the same @a source (a number that identifies the task)
 *  is ignored. */
void iv_interference_observe (struct iv_interference *model, guint32 victim,
                              const struct iv_neighbour *neighbours, guint count, double slowdown,
                              guint64 source, gint64 measured_ms);

/** Current estimate of the slowdown of @a victim by @a other. */
struct iv_pair_estimate iv_interference_pair (const struct iv_interference *model, guint32 victim,
                                              guint32 other, gint64 now_ms);

/** Called with the workload names and the estimate of one pair. */
typedef void (*iv_interference_foreach_fn) (void *context, const char *victim, const char *other,
                                            const struct iv_pair_estimate *estimate);

/** Call @a each for every pair that has measurements or was set. */
void iv_interference_foreach (const struct iv_interference *model, iv_interference_foreach_fn each,
                              void *context, gint64 now_ms);

/** Replace the estimate of a pair, for example by one from another model. */
void iv_interference_set (struct iv_interference *model, guint32 victim, guint32 other,
                          const struct iv_pair_estimate *estimate, gint64 now_ms);

/** Expected added slowdown of @a victim when @a other occupies @a share of the worker's processors,
 *  with @a caution standard deviations of the estimate added. Never negative. */
double iv_interference_slowdown (const struct iv_interference *model, guint32 victim, guint32 other,
                                 double share, double caution, gint64 now_ms);

#endif
