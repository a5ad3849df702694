/**
 * @file planner_private.h
 * The planner's insides, shared by its source files.
 */
#ifndef IV_PLANNER_PRIVATE_H
#define IV_PLANNER_PRIVATE_H

#include "planner.h"

/** Soft state about one worker. */
struct iv_view
{
  guint32 worker;
  gboolean heard; /**< it replied to this planner under its present term */
  guint64 boot;
  guint64 clock_ms;   /**< worker's clock in its last reply, */
  gint64 clock_at_ms; /**< and when that reply came */
  gint64 last_reply_ms;
  gint64 lease_bound_ms; /**< no lease that this planner gave outlasts this */
  gint64 next_sync_ms;
  gint64 sync_deadline_ms; /**< of the sync under way; 0 when there is none */
  gboolean dirty;          /**< something changed that the worker is to know at once */
  guint64 usage_taken_ms;  /**< reports up to here are booked or about to be */
  GHashTable *reports;     /**< last reports, of struct iv_run_report by itself */
  GPtrArray *usage;        /**< ivx_usage not booked yet */
};

/** Soft state about one bound task. */
struct iv_task_view
{
  guint32 attempt; /**< that the rest is about */
  gboolean start_sent;
  guint64 start_boot; /**< boot of the worker that the start was sent to */
  gboolean evict;
  gboolean ending; /**< its end or return to the queue is being recorded: no start, no renewal */
  guint32 speed_permille;
  gint64 settled_until_ms; /**< the guard leaves the task alone until then */
  guint strikes;           /**< fresh measurements in a row above the limit */
  gint64 last_measured_ms;
  gint64 patient_until_ms; /**< a queued task that may harm a service waits until then */
};

struct iv_planner
{
  char *domain;
  char *host;
  guint64 writer;
  guint64 incarnation;
  guint64 sequence; /**< of the last batch made */
  gboolean pending; /**< that batch was not read back yet */
  guint32 pending_term;
  struct iv_planner_options options;
  struct iv_cell *cell;
  gboolean resigned;
  gboolean owner_is_me; /**< the term was won by this incarnation */
  gint64 owned_since_ms;
  gint64 owner_heard_ms; /**< last time a record of the owner was read */
  gint64 cell_evidence_ms;
  gint64 last_append_ms;
  gint64 config_evidence_ms;
  gint64 snapshot_due_ms;
  guint64 snapshot_at;      /**< offset at which the last snapshot was seen */
  GQueue *snapshot_records; /**< chunks still to append, of ivx_record* */
  const struct iv_config *config;
  GArray *hosts;           /**< of struct iv_host_entry */
  GHashTable *host_places; /**< name of a host to its place in `hosts`, counted from 1 */
  GHashTable *views;       /**< worker to struct iv_view */
  GHashTable *task_views;  /**< task to struct iv_task_view */
  GHashTable *moved;       /**< tasks whose move was appended */
  struct iv_interference *model;
  struct iv_health *health;
};

/** View of a worker, made when missing. */
struct iv_view *iv_planner_view (struct iv_planner *planner, guint32 worker);

/** View of the task's present attempt, made when missing. */
struct iv_task_view *iv_planner_task_view (struct iv_planner *planner, const struct iv_task *task);

/** Tasks in a state, as a list of struct iv_task. Free with g_ptr_array_free(). */
GPtrArray *iv_planner_tasks_in (const struct iv_planner *planner, enum iv_task_state state);

/** Report of @a worker on @a task's present attempt, or NULL. */
struct iv_run_report *iv_view_report (const struct iv_view *view, const struct iv_task *task);

/** Whether the worker replied lately and under the present term. */
gboolean iv_planner_reachable (const struct iv_planner *planner, const struct iv_view *view,
                               gint64 now_ms);

/** Whether new tasks may be bound to the worker. */
gboolean iv_planner_usable (struct iv_planner *planner, const struct iv_worker *worker,
                            gint64 now_ms);

/** Entry of a worker in the host list; NULL when it is not, or no longer, listed. */
const struct iv_host_entry *iv_planner_host_entry (const struct iv_planner *planner,
                                                   const struct iv_worker *worker);

/** Whether the evidence at hand permits starts now. */
gboolean iv_planner_may_start (const struct iv_planner *planner, gint64 now_ms);

/** @a interval_ms, stretched by the clocks' largest difference in rate. */
gint64 iv_planner_stretch (const struct iv_planner *planner, gint64 interval_ms);

/** Records for jobs: admissions, cancellations, progress and forgetting. */
void iv_planner_plan_jobs (struct iv_planner *planner, GArray *records, GArray *config_records);

/** Records for workers that came or went, and for their usage reports. */
void iv_planner_plan_workers (struct iv_planner *planner, struct iv_now now, GArray *records);

/** Records for bound tasks: ends, lost leases, evictions. */
void iv_planner_plan_bound (struct iv_planner *planner, gint64 now_ms, GArray *records);

/** Records that bind queued tasks, or move them when the domain is out. */
void iv_planner_plan_queued (struct iv_planner *planner, gint64 now_ms, iv_pick_domain_fn pick,
                             void *context, GArray *records);

/** Throttle and mark for eviction by the measured slowdown of services. */
void iv_planner_guard (struct iv_planner *planner, gint64 now_ms);

/** Learn from the slowdown in the reports of @a view. */
void iv_planner_learn (struct iv_planner *planner, struct iv_view *view, gint64 now_ms);

/** Syncs that are due. */
void iv_planner_syncs (struct iv_planner *planner, gint64 now_ms, GPtrArray *syncs);

#endif
