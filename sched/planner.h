/**
 * @file planner.h
 * Scheduler of a failure domain on one entry host: claims ownership of the domain, makes the
 * scheduling decisions while it is the owner, and sends orders to workers according to the records
 * that it reads back from the log.
 *
 * The planner does no I/O and reads no clock. The caller passes in records and replies;
 * iv_planner_step() returns what to append and to send. A decision takes effect only after its
 * record was read back.
 */
#ifndef IV_PLANNER_H
#define IV_PLANNER_H

#include "cell.h"
#include "config.h"
#include "health.h"
#include "interference.h"
#include "placement.h"
#include "worker_api.h"

/** Current time, read by the caller. */
struct iv_now
{
  gint64 mono_ms;  /**< monotonic clock; used for all deadlines */
  guint64 wall_ms; /**< since the epoch; used only for usage accounting */
};

/** Options, from the settings. */
struct iv_planner_options
{
  gint64 lease_ms;            /**< lease of a task on its worker */
  gint64 start_window_ms;     /**< age of a start from which the worker refuses it */
  gint64 evidence_max_age_ms; /**< starts need newer reads of "config" and the stream */
  gint64 horizon_ms;          /**< an owner partitioned from the log renews leases this long */
  gint64 takeover_ms;         /**< time without records of the owner until another host claims */
  gint64 renew_ms;            /**< longest interval between two records of an idle owner */
  gint64 sync_ms;             /**< interval between two syncs of a worker */
  gint64 sync_timeout_ms;     /**< a sync without a reply is considered lost after this */
  gint64 drain_ms;            /**< batch tasks with less run time left are not evicted by a drain */
  gint64 interference_wait_max_ms; /**< a batch task waits this long not to slow down a service */
  gint64 cooldown_ms;          /**< a throttle or eviction of a task is not changed for this long */
  gint64 clock_rate_permille;  /**< largest difference in clock rate between two hosts */
  guint starts_per_step;       /**< tasks bound in one step, at most */
  guint snapshot_every;        /**< batches between two snapshots, at most */
  gint64 snapshot_interval_ms; /**< between snapshots, at most; well below the log's retention */
  guint rank;            /**< position among the hosts; each delays claims by takeover_ms / 2 */
  double throttle_above; /**< added slowdown of a service above which a neighbour is throttled */
  double evict_above;    /**< added slowdown above which a throttled neighbour is evicted */
  enum iv_strategy strategy;
  struct iv_weights weights;
};

/** A worker in the platform's host list. */
struct iv_host_entry
{
  ivx_worker info;
  gboolean leaving; /**< about to be removed; gets no new tasks */
};

/** Move of a task to another failure domain. */
struct iv_move
{
  char *to;     /**< destination domain; the record goes to its stream */
  guint32 task; /**< for iv_planner_confirm_move() after the append has succeeded */
  ivx_record record;
};

/** Actions that a step requests from the caller. */
struct iv_planner_output
{
  GByteArray *batch;      /**< to append to the domain's stream, retried until read back; or NULL */
  GPtrArray *syncs;       /**< of struct iv_sync, to send now */
  GArray *config_records; /**< of ivx_record, to append to "config" */
  GPtrArray *moves;       /**< of struct iv_move */
};

/** Returns the failure domain to which a task of @a item in the domain @a from is moved; NULL when
 *  there is none. */
typedef const char *(*iv_pick_domain_fn) (void *context, const char *from, const ivx_item *item);

/** Scheduling state of one failure domain on one entry host. */
struct iv_planner;

/** Default options. */
struct iv_planner_options iv_planner_default_options (void);

/** Create a planner for @a domain on the host @a host. @a incarnation must grow with every start of
 *  the host. Strings and options are copied. */
struct iv_planner *iv_planner_new (const char *domain, const char *host, guint64 incarnation,
                                   const struct iv_planner_options *options, gint64 now_ms);

/** Free @a planner; NULL is allowed. */
void iv_planner_free (struct iv_planner *planner);

/** Replace the state by @a cell from a snapshot; the planner takes ownership of it. */
void iv_planner_restore (struct iv_planner *planner, struct iv_cell *cell);

/** Apply a batch that was read at @a offset of the domain's stream. */
enum iv_apply_result iv_planner_apply (struct iv_planner *planner, struct iv_now now,
                                       guint64 offset, const ivx_batch *batch);

/** Record that a read sent at @a requested_ms (monotonic) reached the end of the stream. */
void iv_planner_read_end (struct iv_planner *planner, gint64 requested_ms);

/** Set the state of "config", confirmed by a read sent at @a requested_ms (monotonic). The planner
 * keeps a reference to @a config. */
void iv_planner_set_config (struct iv_planner *planner, const struct iv_config *config,
                            gint64 requested_ms);

/** Set the domain's workers from the platform's host list (GArray of struct iv_host_entry), which
 * is copied. */
void iv_planner_set_hosts (struct iv_planner *planner, const GArray *hosts);

/** Handle a worker's reply to a sync that was sent at @a sent_ms (monotonic). The planner takes
 *  ownership of @a reply. */
void iv_planner_handle_reply (struct iv_planner *planner, struct iv_now now, guint32 worker,
                              gint64 sent_ms, struct iv_sync_reply *reply);

/** Record that a sync to @a worker failed, so that the next one may be sent. */
void iv_planner_sync_failed (struct iv_planner *planner, guint32 worker);

/** Record that the move of @a task was appended to the stream of its destination. */
void iv_planner_confirm_move (struct iv_planner *planner, guint32 task);

/** Make the decisions that are due. @a pick is called with @a context. Free the result with
 *  iv_planner_output_free(). */
struct iv_planner_output *iv_planner_step (struct iv_planner *planner, struct iv_now now,
                                           iv_pick_domain_fn pick, void *context);

/** Free @a output and its contents. */
void iv_planner_output_free (struct iv_planner_output *output);

/** Stop acting as owner, for a planned stop: no more records and syncs; leases are not revoked. */
void iv_planner_resign (struct iv_planner *planner);

/** State after the batches applied so far; owned by the planner. */
const struct iv_cell *iv_planner_cell (const struct iv_planner *planner);

/** Whether this host owns the domain, according to the batches applied so far. */
gboolean iv_planner_owns (const struct iv_planner *planner);

/** Whether a batch of this planner has not been read back yet. */
gboolean iv_planner_append_pending (const struct iv_planner *planner);

/** Free processor capacity of the domain's usable workers, in milli-cores. */
guint64 iv_planner_free_cpu_milli (const struct iv_planner *planner, gint64 now_ms);

/** Reason why a queued task waits; a static string. */
const char *iv_planner_wait_reason (const struct iv_planner *planner, const struct iv_task *task,
                                    gint64 now_ms);

#endif
