/**
 * @file forecast.h
 * Earliest finish of a new batch job from the work that waits in a cell, and whether to accept it.
 *
 * A job is refused only when it cannot finish while it has any value. The order of the queue
 * (jobs/queue_order.h) decides what is served before it: until it is late, more urgent jobs and
 * smaller ones; from then on also larger ones. All estimates are on the side of accepting. What
 * arrives later is not known, so a job refused at the end of a burst may have been served. No I/O
 * and no clock. Work is in core-milliseconds by the estimates of the jobs, rates and capacity in
 * thousandths of a core.
 */
#ifndef IV_FORECAST_H
#define IV_FORECAST_H

#include <glib.h>

/** Priorities 0 to 3. Less urgent work is not told, so that no job is refused because of it. */
#define IV_FORECAST_CLASSES 4
#define IV_FORECAST_SIZES 16 /**< by powers of two; a smaller job of a class goes first */

/** Batch work that waits in a cell. All 0: nothing is known, and every job is accepted. */
struct iv_backlog
{
  gint64 rate_milli;     /**< at which work is completed; 0: the cell is not full */
  gint64 capacity_milli; /**< cores that batch tasks could use */
  /** Work that waits and can be done while it has value, by class. */
  gint64 waiting[IV_FORECAST_CLASSES];
  /** That of it whose jobs can still meet their objective, also by size of the job. */
  gint64 on_time[IV_FORECAST_CLASSES][IV_FORECAST_SIZES];
};

/** A job that waits. Times are on one clock, milliseconds. */
struct iv_backlog_job
{
  gint64 priority;        /**< of its queue; 0 is the highest */
  gint64 work;            /**< that is left of it */
  gint64 waiting;         /**< of tasks that could start */
  gint64 path_ms;         /**< rest of its longest chain */
  gint64 objective_ms;    /**< end of the time in which it has full value */
  gint64 zero_utility_ms; /**< from then on it has none */
  gboolean on_time;       /**< it can still meet its objective */
};

/** A job that is to be accepted. */
struct iv_forecast_job
{
  gint64 priority;
  gint64 work;     /**< of all its tasks */
  gint64 ready;    /**< of the tasks that could start at once */
  gint64 path_ms;  /**< its longest chain */
  gint64 waves_ms; /**< the same, of steps that the capacity of the cell cannot hold at once */
  gint64 span_ms;  /**< from its acceptance to its objective */
};

/** Why a job is accepted or refused. */
enum iv_forecast_verdict
{
  IV_FORECAST_UNKNOWN,  /**< accepted: the backlog is not known, or the cell is not full */
  IV_FORECAST_ON_TIME,  /**< accepted: its turn comes before it is late */
  IV_FORECAST_VALUABLE, /**< accepted: late, but of value */
  IV_FORECAST_TOO_LONG, /**< accepted: its own chain takes longer, whatever the load */
  IV_FORECAST_REFUSED   /**< it could not finish while it has any value */
};

/** Verdict and what it was formed from. */
struct iv_forecast
{
  enum iv_forecast_verdict verdict;
  gint64 ahead_on_time; /**< work that is served before it as long as it is on time */
  gint64 ahead;         /**< work that is served before it when it is late */
  gint64 rate_milli;
  gint64 age_ms;    /**< of what is known */
  gint64 finish_ms; /**< from now to its earliest finish */
  gint64 value_ms;  /**< from now to the end of its value */
  gint64 excess;    /**< work ahead that is too much for it; 0 unless it is refused */
};

/** Name of @a verdict in logs and metrics. */
const char *iv_forecast_verdict_name (enum iv_forecast_verdict verdict);

/** Set the work that waits in @a backlog, whose rate is set, from @a jobs (struct iv_backlog_job),
 *  which are sorted. A job that cannot finish in time behind the others does not count. */
void iv_backlog_measure (struct iv_backlog *backlog, GArray *jobs, gint64 now_ms);

/** Count a job that this host accepted, and so may each of @a hosts, before the next measure. */
void iv_backlog_add (struct iv_backlog *backlog, const struct iv_forecast_job *job, guint hosts);

/** Forecast @a job in a cell whose backlog was measured @a age_ms ago. */
struct iv_forecast iv_forecast_job (const struct iv_backlog *backlog,
                                    const struct iv_forecast_job *job, gint64 age_ms);

#endif
