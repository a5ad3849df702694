/**
 * @file place_wait.h
 * How long tasks wait for a preferred place: delay scheduling.
 *
 * Tasks run faster in one rack with the rest of their step, or in the rack of their data. Elsewhere
 * they take `far_factor` times as long. They wait for the preferred place while that is expected to
 * end sooner than going elsewhere, and never longer than going elsewhere costs: a wait that does
 * not pay at most doubles that cost, however wrong the expectations are (the rule of renting or
 * buying skis, Karlin et al. 1988). A preference never becomes a condition.
 *
 * Times are in milliseconds on one clock, durations in milliseconds.
 */
#ifndef IV_PLACE_WAIT_H
#define IV_PLACE_WAIT_H

#include <glib.h>

#define IV_PLACE_NEVER G_MAXINT64 /**< a duration: it will not have room */

/** What is waited for. */
enum iv_place_kind
{
  IV_PLACE_RACK, /**< one rack for the tasks of a step */
  IV_PLACE_DATA, /**< the rack of the data */
  IV_PLACE_GANG, /**< one rack for all tasks of a gang */
  IV_PLACE_KINDS
};

/** Why tasks wait, or do not. */
enum iv_place_reason
{
  IV_PLACE_FITS,     /**< the place has room for all */
  IV_PLACE_WAITS,    /**< it will have, soon enough */
  IV_PLACE_TOO_LATE, /**< it is expected to have room later than going elsewhere costs */
  IV_PLACE_BOUND,    /**< they have waited as long as they may */
  IV_PLACE_LOST,     /**< the place that they waited for cannot be used any more */
  IV_PLACE_NONE,     /**< there is no place that will ever have room */
  IV_PLACE_REASONS
};

/** A place that tasks may prefer. */
struct iv_place
{
  const char *name;
  guint takes;       /**< tasks that it can take now */
  gint64 room_in_ms; /**< until it has room for all that wait; 0: it has; or IV_PLACE_NEVER */
  gboolean usable;   /**< FALSE: lost, drained, out of service, or no call reaches it */
};

/** Hard bounds of a wait; 0 in a time: there is none. */
struct iv_place_bounds
{
  gboolean long_running;
  gint64 gang_wait_ms;  /**< duration; members that were started wait so long for the others */
  gint64 idle_since_ms; /**< since when nothing of the job runs */
  gint64 objective_ms;  /**< end of the time in which the job has full value */
};

/** Tasks of a step that wait, and the places that they may prefer. */
struct iv_place_query
{
  const struct iv_place *places;
  guint count;
  const char *preferred;   /**< the only place to wait for; NULL: that which has room first */
  const char *waited_for;  /**< the place that they wait for since `since_ms`; NULL: none */
  gint64 elsewhere_in_ms;  /**< until there is room for all without a preference */
  gint64 rest_ms;          /**< expected duration of what remains, at the preferred place */
  gint64 far_factor_milli; /**< elsewhere it takes this much longer, in thousandths */
  gint64 since_ms;         /**< since when they wait; 0: they have not yet */
  gint64 now_ms;
  gboolean fitted; /**< they had room before and did not start: that does not count again */
  struct iv_place_bounds bounds;
};

/** What to do. */
struct iv_place_decision
{
  const char *place; /**< the only place to start them in; NULL: any */
  gint64 until_ms;   /**< wait until then at most; 0: do not wait */
  enum iv_place_reason reason;
  gint64 room_in_ms; /**< of the place that was considered; IV_PLACE_NEVER: none was */
};

/** Decide for @a query. To be called again whenever something has changed. */
struct iv_place_decision iv_place_wait_decide (const struct iv_place_query *query);

/** The same without expectations: tasks wait for a place until the time is up that going elsewhere
 *  costs. The rule where no durations are learnt, and what the other is compared with. */
struct iv_place_decision iv_place_wait_constant (const struct iv_place_query *query);

/** For how many tasks a place must have room before @a tasks that come after @a ahead others can
 *  start there, which takes @a takes tasks now. Those ahead count twice unless all fit: were each
 *  to wait until it no longer pays, the wait would use up all that the place saves, as customers
 *  who see a queue join it for too long (Naor 1969). */
guint iv_place_tasks_needed (guint tasks, guint ahead, guint takes);

/** How long the starts of one gang may be spread, where a start is valid for @a window_ms: a member
 *  that starts later than @a gang_wait_ms (0: no bound) finds that the others have given up. */
gint64 iv_place_gang_window_ms (gint64 window_ms, gint64 gang_wait_ms);

/** Names of a kind and a reason in logs and metrics. */
const char *iv_place_kind_name (enum iv_place_kind kind);
const char *iv_place_reason_name (enum iv_place_reason reason);

#endif
