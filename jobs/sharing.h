/**
 * @file sharing.h
 * Best-effort tasks beside latency-critical ones: where they fit, and how fast they may run.
 *
 * The tail latency of a latency-critical task is modelled as its baseline, which follows the load
 * of its job, times one plus the interference of each best-effort task on the same worker. The
 * interference of a pair of images is learnt (interference.h). A best-effort task is placed where
 * every tail latency is expected to stay below its target. Where one approaches its target, the
 * tasks that interfere with it are throttled, and moved when that persists.
 *
 * Tail latencies are given in ms or, where noted, as a share of the target.
 */
#ifndef IV_SHARING_H
#define IV_SHARING_H

#include "owner_private.h"

/** Number of the image of @a step in the interference model; 0 when it has none. */
guint32 iv_sharing_workload (struct iv_owner *owner, const ivj_step *step);

/** Update the model from the latest poll of @a worker, and set the CPU limits of its best-effort
 *  runs. */
void iv_sharing_update (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 now_ms);

/** Highest expected tail latency on @a worker, as a share of its target, once a task of @a step
 *  also runs there; 0 when it interferes with none. */
double iv_sharing_expected_tail (const struct iv_owner *owner, const struct iv_fleet_worker *worker,
                                 const ivj_step *step, guint32 workload, gint64 now_ms);

/** Add the interference of the new run @a run to the expected tail latencies on its worker. */
void iv_sharing_add_run (const struct iv_owner *owner, const struct iv_run *run, gint64 now_ms);

/** Cores that more best-effort tasks may use on @a worker, in thousandths. */
gint64 iv_sharing_spare_milli (const struct iv_fleet_worker *worker);

#endif
