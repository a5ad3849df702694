/**
 * @file interference.h
 * How much one workload slows another on the same host, learnt from late and noisy measurements.
 *
 * The slowdown of a victim is modelled as the sum, over the workloads beside it, of a coefficient
 * of the pair times the share of the host's processors that the other occupies. Each coefficient
 * is a normal estimate that a scalar Kalman step updates; its variance grows with time, because
 * load shifts.
 */
#ifndef IV_INTERFERENCE_H
#define IV_INTERFERENCE_H

#include <glib.h>

/** The model. */
struct iv_interference;

/** Present estimate for one pair. */
struct iv_pair_estimate
{
  double mean;     /**< added slowdown (1.0 = twice as slow) when the whole host is occupied */
  double variance; /**< of the mean */
  guint samples;
};

/** A workload beside a victim. */
struct iv_neighbour
{
  guint32 workload; /**< from iv_interference_workload() */
  double share;     /**< of the host's processors, 0..1 */
};

/** What is taken for true of a pair that was never measured, and how far measurements scatter. */
struct iv_interference_prior
{
  double mean;
  double variance;
  double noise;            /**< variance of one measurement */
  double drift_per_second; /**< added to the variance of an estimate, as load shifts */
};

/** Create a model that knows nothing but @a prior (NULL: that of whole hosts' batch tasks). */
struct iv_interference *iv_interference_new (const struct iv_interference_prior *prior);

/** Free the model. */
void iv_interference_free (struct iv_interference *model);

/** Small number that stands for the workload @a name, without a number at its end: the runs of a
 *  recurring job are one workload. */
guint32 iv_interference_workload (struct iv_interference *model, const char *name);

/** Learn from one measurement: @a victim was slowed by @a slowdown (0 = undisturbed) beside
 *  @a neighbours, at @a measured_ms on the caller's clock. A measurement that is not newer than the
 *  last one from the same @a source (any number that names a task) is ignored. */
void iv_interference_observe (struct iv_interference *model, guint32 victim,
                              const struct iv_neighbour *neighbours, guint count, double slowdown,
                              guint64 source, gint64 measured_ms);

/** Estimate for @a victim beside @a other at @a now_ms. */
struct iv_pair_estimate iv_interference_pair (const struct iv_interference *model, guint32 victim,
                                              guint32 other, gint64 now_ms);

/** Receives one pair with the names of its workloads. */
typedef void (*iv_interference_foreach_fn) (void *context, const char *victim, const char *other,
                                            const struct iv_pair_estimate *estimate);

/** Call @a each for every pair that was measured or set. */
void iv_interference_foreach (const struct iv_interference *model, iv_interference_foreach_fn each,
                              void *context, gint64 now_ms);

/** Take over an estimate that another model made. */
void iv_interference_set (struct iv_interference *model, guint32 victim, guint32 other,
                          const struct iv_pair_estimate *estimate, gint64 now_ms);

/** Expected harm to @a victim of @a share of its host given to @a other, with @a caution standard
 *  deviations added. Never negative. */
double iv_interference_slowdown (const struct iv_interference *model, guint32 victim, guint32 other,
                                 double share, double caution, gint64 now_ms);

#endif
