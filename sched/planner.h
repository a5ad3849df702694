/**
 * @file planner.h
 * One entry host's part in scheduling a failure domain: claims the domain, decides as its owner,
 * and turns what it reads back from the log into orders to workers.
 *
 * The planner does no I/O and reads no clock. It is told what was read and heard, and
 * iv_planner_step() says what to append and to send. Effects follow only from records that were
 * read back.
 */
#ifndef IV_PLANNER_H
#define IV_PLANNER_H

#include "cell.h"
#include "config.h"
#include "health.h"
#include "interference.h"
#include "placement.h"
#include "worker_api.h"

/** Time as the caller sees it. */
struct iv_now
{
  gint64 mono_ms;  /**< monotonic; all deadlines are on it */
  guint64 wall_ms; /**< since the epoch; used for host time only */
};

/** Tunables, from the settings. Intervals in milliseconds. */
struct iv_planner_options
{
  gint64 lease_ms;        /**< lease of a task on its worker */
  gint64 start_window_ms; /**< a start is refused by the worker after this */
  gint64 evidence_ms;     /**< oldest evidence of the domain's service that permits a start */
  gint64 horizon_ms;      /**< an owner cut off from the log renews leases for this long */
  gint64 takeover_ms;     /**< silence of an owner before another host claims the domain */
  gint64 renew_ms;        /**< an idle owner appends a record this often */
  gint64 sync_ms;         /**< a worker is synced this often */
  gint64 sync_timeout_ms; /**< a sync without a reply counts as lost */
  gint64 drain_ms;        /**< in a domain taken out, tasks that end within this may finish */
  gint64 patience_ms;     /**< a batch task waits this long for a place where it harms no service */
  gint64 cooldown_ms;     /**< a task that was throttled or evicted is left alone for this long */
  gint64 clock_rate_permille; /**< largest difference in clock rate between two hosts */
  guint starts_per_step;
  guint snapshot_every;  /**< batches between two snapshots, at most */
  gint64 snapshot_ms;    /**< time between two snapshots, at most; well below the log's retention */
  guint rank;            /**< claims are delayed by this many halves of takeover_ms */
  double throttle_above; /**< slowdown of a service beyond which a neighbour is throttled */
  double evict_above;    /**< slowdown beyond which a throttled neighbour is evicted */
  enum iv_strategy strategy;
  struct iv_weights weights;
};

/** A worker in the platform's host list. */
struct iv_host_entry
{
  ivx_worker info;
  gboolean leaving;
};

/** A task's move: the record for the stream of the domain @a to. */
struct iv_move
{
  char *to;
  guint32 task; /**< to be named to iv_planner_moved() once the append is known to have succeeded */
  ivx_record record;
};

/** What a step asks for. */
struct iv_planner_output
{
  GByteArray *batch;      /**< to append to the domain's stream, again until it is read back */
  GPtrArray *syncs;       /**< of struct iv_sync, to send now */
  GArray *config_records; /**< of ivx_record, to append to "config" */
  GPtrArray *moves;       /**< of struct iv_move */
};

/** Chooses the failure domain for a task that has to move; NULL when there is none. */
typedef const char *(*iv_pick_domain_fn) (void *context, const char *from, const ivx_item *item);

/** The planner. */
struct iv_planner;

/** Default tunables. */
struct iv_planner_options iv_planner_defaults (void);

/** Create a planner for @a domain on the host @a host. @a incarnation grows with every start. */
struct iv_planner *iv_planner_new (const char *domain, const char *host, guint64 incarnation,
                                   const struct iv_planner_options *options, gint64 now_ms);

/** Free the planner. */
void iv_planner_free (struct iv_planner *planner);

/** Replace the state by a snapshot's. */
void iv_planner_restore (struct iv_planner *planner, struct iv_cell *cell);

/** Fold a batch that was read from the domain's stream. */
enum iv_apply_result iv_planner_fold (struct iv_planner *planner, struct iv_now now, guint64 offset,
                                      const ivx_batch *batch);

/** A read that was sent at @a asked_ms reached the end of the domain's stream. */
void iv_planner_read_end (struct iv_planner *planner, gint64 asked_ms);

/** The state of "config"; evidence for it was asked for at @a asked_ms. The planner borrows it. */
void iv_planner_set_config (struct iv_planner *planner, const struct iv_config *config,
                            gint64 asked_ms);

/** The domain's workers by the platform's host list (GArray of struct iv_host_entry). Copied. */
void iv_planner_set_hosts (struct iv_planner *planner, const GArray *hosts);

/** A worker's reply to a sync that was sent at @a sent_ms. The planner becomes the owner of it. */
void iv_planner_reply (struct iv_planner *planner, struct iv_now now, guint32 worker,
                       gint64 sent_ms, struct iv_sync_reply *reply);

/** A sync to @a worker failed. */
void iv_planner_sync_failed (struct iv_planner *planner, guint32 worker);

/** The move of @a task was appended to its destination. */
void iv_planner_moved (struct iv_planner *planner, guint32 task);

/** Decide. Free the result with iv_planner_output_free(). */
struct iv_planner_output *iv_planner_step (struct iv_planner *planner, struct iv_now now,
                                           iv_pick_domain_fn pick, void *context);

/** Free an output and what it still holds. */
void iv_planner_output_free (struct iv_planner_output *output);

/** Give the domain up at once, for a planned stop: no more records, leases stay as they are. */
void iv_planner_resign (struct iv_planner *planner);

/** State folded so far; read only. */
const struct iv_cell *iv_planner_cell (const struct iv_planner *planner);

/** Whether this host holds the domain's term, as far as it has read. */
gboolean iv_planner_owns (const struct iv_planner *planner);

/** Whether an append of this planner was not read back yet. */
gboolean iv_planner_busy (const struct iv_planner *planner);

/** Free processor share of the domain's usable workers, in milli-cores. */
guint64 iv_planner_free_milli (const struct iv_planner *planner, gint64 now_ms);

/** Why a queued task waits; a static text. */
const char *iv_planner_wait_reason (const struct iv_planner *planner, const struct iv_task *task,
                                    gint64 now_ms);

#endif
