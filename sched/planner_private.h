/**
 * @file planner_private.h
 * Internal interface between the planner's source files.
 */
#ifndef IV_PLANNER_PRIVATE_H
#define IV_PLANNER_PRIVATE_H

#include "planner.h"

/** In-memory state about one worker, discarded at the end of the owner's term. */
struct iv_worker_status
{
  guint32 worker;
  gboolean replied;        /**< it replied to this planner in the current term */
  guint64 boot;            /**< from its last reply; 0 when not known */
  guint64 clock_ms;        /**< worker's clock in its last reply */
  gint64 clock_at_ms;      /**< monotonic time at which that reply arrived */
  gint64 last_reply_ms;    /**< when the last sync that was replied to was sent */
  gint64 max_lease_end_ms; /**< upper bound of the end of the leases that this planner granted */
  gint64 next_sync_ms;
  gint64 sync_deadline_ms;   /**< of the sync in flight; 0 when there is none */
  gboolean dirty;            /**< a change is to be sent without waiting for the next sync */
  guint64 usage_received_ms; /**< usage up to this time is recorded or in `usage` */
  GHashTable *reports;       /**< set of struct iv_run_report, from the last reply */
  GPtrArray *usage;          /**< of ivx_usage that no record was made for yet */
};

/** In-memory state about one task, discarded at the end of the owner's term. */
struct iv_task_status
{
  guint32 attempt; /**< attempt that the other members belong to */
  gboolean start_sent;
  guint64 start_boot;       /**< boot of the worker that the start was sent to */
  gboolean evict;           /**< the worker is to stop the task */
  gboolean ending;          /**< its end or requeue is being recorded: no start, no renewal */
  guint32 speed_permille;   /**< speed limit; 1000 when not throttled */
  gint64 cooldown_until_ms; /**< neither speed nor eviction is changed before this */
  guint high_measurements;  /**< consecutive new measurements above the limit */
  gint64 last_measured_ms;  /**< worker's clock at the last measurement that was used */
  gint64 wait_until_ms; /**< a batch task waits until then for a worker where it slows no service */
};

struct iv_planner
{
  char *domain;
  char *host;
  guint64 writer;
  guint64 incarnation;
  guint64 sequence; /**< of the last batch created */
  gboolean pending; /**< that batch has not been read back yet */
  guint32 pending_term;
  struct iv_planner_options options;
  struct iv_cell *cell; /**< state after the batches read so far */
  gboolean resigned;
  gboolean is_owner;       /**< this incarnation claimed the current term */
  gint64 owned_since_ms;   /**< when the current term's claim was read */
  gint64 owner_seen_ms;    /**< when a record of the owner was last read */
  gint64 cell_evidence_ms; /**< when the last read that reached the stream's end was sent */
  gint64 last_append_ms;
  gint64 config_evidence_ms; /**< the same for "config" */
  gint64 snapshot_due_ms;
  guint64 snapshot_at;      /**< offset of the last snapshot read or created */
  GQueue *snapshot_records; /**< of ivx_record*; chunks not appended yet */
  const struct iv_config *config;
  GArray *hosts;               /**< of struct iv_host_entry */
  GHashTable *host_positions;  /**< name to index in `hosts`, plus 1 */
  GHashTable *worker_statuses; /**< worker id to struct iv_worker_status */
  GHashTable *task_statuses;   /**< task id to struct iv_task_status */
  GHashTable *confirmed_moves; /**< ids of tasks whose move was appended */
  struct iv_interference *model;
  struct iv_health *health;
};

/** Status of a worker, created when missing. */
struct iv_worker_status *iv_planner_worker_status (struct iv_planner *planner, guint32 worker);

/** Status of the task's current attempt, created when missing. */
struct iv_task_status *iv_planner_task_status (struct iv_planner *planner,
                                               const struct iv_task *task);

/** Tasks in a state, as an array of struct iv_task. Free it with g_ptr_array_free(). */
GPtrArray *iv_planner_tasks_in (const struct iv_planner *planner, enum iv_task_state state);

/** Last report on @a task's current attempt in the status of its worker, or NULL. */
struct iv_run_report *iv_planner_run_report (const struct iv_worker_status *status,
                                             const struct iv_task *task);

/** Whether the worker replied recently and in the current term. */
gboolean iv_planner_reachable (const struct iv_planner *planner,
                               const struct iv_worker_status *status, gint64 now_ms);

/** Whether new tasks may be bound to the worker. */
gboolean iv_planner_usable (struct iv_planner *planner, const struct iv_worker *worker,
                            gint64 now_ms);

/** Entry of a worker in the host list; NULL when it is not listed or was replaced. */
const struct iv_host_entry *iv_planner_host_entry (const struct iv_planner *planner,
                                                   const struct iv_worker *worker);

/** Whether starts are permitted: the state is recent enough and the domain is in service. */
gboolean iv_planner_may_start (const struct iv_planner *planner, gint64 now_ms);

/** @a interval_ms, extended by the largest difference in clock rate between two hosts. */
gint64 iv_planner_add_clock_drift (const struct iv_planner *planner, gint64 interval_ms);

/** Add the records for jobs: admission, cancellation, progress and removal. */
void iv_planner_plan_jobs (struct iv_planner *planner, GArray *records, GArray *config_records);

/** Add the records for added and removed workers, and for usage reports. */
void iv_planner_plan_workers (struct iv_planner *planner, struct iv_now now, GArray *records);

/** Add the records for bound tasks: ends, expired leases and evictions. */
void iv_planner_plan_bound (struct iv_planner *planner, gint64 now_ms, GArray *records);

/** Add the records that bind queued tasks, or move them when the domain is out of service or
 *  unreachable. */
void iv_planner_plan_queued (struct iv_planner *planner, gint64 now_ms, iv_pick_domain_fn pick,
                             void *context, GArray *records);

/** Mark tasks for eviction that have to leave their worker or domain; throttle or evict batch tasks
 *  by the measured slowdown of services. */
void iv_planner_protect_services (struct iv_planner *planner, gint64 now_ms);

/** Update the interference model with the slowdowns in the reports of @a status. */
void iv_planner_observe_slowdown (struct iv_planner *planner, struct iv_worker_status *status,
                                  gint64 now_ms);

/** Add the syncs that are due. */
void iv_planner_plan_syncs (struct iv_planner *planner, gint64 now_ms, GPtrArray *syncs);

#endif
