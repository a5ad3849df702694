/**
 * @file queue_order.h
 * Order in which waiting jobs are offered capacity.
 *
 * Long-running jobs come first, then batch jobs that can still meet their objective, then late
 * ones, then those that have no value any more. Within these classes the priority of the queue
 * decides. Among jobs that can meet their objective the one with the least remaining work comes
 * first (Smith's rule for equal weights): under overload, earliest deadline first lets every job
 * miss its objective by a little. Late jobs go by objective, so that none waits for ever.
 */
#ifndef IV_QUEUE_ORDER_H
#define IV_QUEUE_ORDER_H

#include <glib.h>

/** Classes of jobs, first to last. */
enum iv_queue_class
{
  IV_QUEUE_LONG_RUNNING, /**< has value for every second that it runs */
  IV_QUEUE_ON_TIME,      /**< can still meet its objective */
  IV_QUEUE_LATE,         /**< misses its objective: has reduced value */
  IV_QUEUE_ZERO_UTILITY  /**< has no value any more, but still has to run */
};

/** What the order of a job depends on. Times are in milliseconds on one clock. */
struct iv_queue_item
{
  gboolean long_running;
  gint64 priority;        /**< of its queue; 0 is the highest */
  gint64 objective_ms;    /**< end of the time in which it has full value; 0: unknown */
  gint64 zero_utility_ms; /**< from then on it has none */
  gint64 path_ms;         /**< estimated rest of its longest chain of steps; 0 once it runs */
  gint64 work;            /**< estimated remaining work, core-milliseconds */
};

/** Class of @a item at @a now_ms. */
enum iv_queue_class iv_queue_classify (const struct iv_queue_item *item, gint64 now_ms);

/** Compare the items @a a and @a b of class @a class_a and @a class_b: negative when @a a comes
 *  first. */
gint iv_queue_compare (const struct iv_queue_item *a, enum iv_queue_class class_a,
                       const struct iv_queue_item *b, enum iv_queue_class class_b);

#endif
