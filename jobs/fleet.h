/**
 * @file fleet.h
 * Workers as known to the owner of a cell, and the runs on them.
 *
 * Times in `_clock_ms` are on the clock of the worker, other times in `_ms` on the monotonic clock
 * of the owner unless a comment says otherwise.
 */
#ifndef IV_FLEET_H
#define IV_FLEET_H

#include "job_exec.h"
#include "pieces.h"
#include "resources.h"

/** The platform's task protocol permits a worker's clock to run slow by this much. */
#define IV_WORKER_CLOCK_SLOW_PERCENT 2
#define IV_LEASE_MARGIN_PERCENT 102 /**< a lease lasts this long by the slowest clock */
#define IV_FULL_SPEED_PERCENT 100   /**< CPU limit of a run that is not throttled */

/** A worker as listed by the platform. The strings belong to the caller and are copied. */
struct iv_listed_worker
{
  const char *id;
  const char *service;
  const char *address;
  const char *domain; /**< failure domain */
  const char *rack;   /**< "" when unknown */
  char *const *labels;
  struct iv_resources capacity;
  gboolean draining;
  /** Wall clock; distinguishes the instances of a worker, which share its id. */
  gint64 start_time_ms;
  gint64 clock_ms;        /**< when the worker wrote the entry, on its clock; 0: unknown */
  gint64 leaves_clock_ms; /**< it drains, and does not leave before, on its clock; 0: unknown */
};

/** How much the owner knows about a run. */
enum iv_run_phase
{
  IV_RUN_PHASE_STARTING,    /**< a start was sent and has no reply yet */
  IV_RUN_PHASE_UNCONFIRMED, /**< no reply came: it may start until `start_deadline_clock_ms` */
  IV_RUN_PHASE_RUNNING,     /**< the worker has confirmed or listed it */
  IV_RUN_PHASE_STOPPING     /**< a stop was sent; it uses resources until its end is listed */
};

/** A deep copy of @a listed; free it with iv_listed_worker_free(), which ignores NULL. */
struct iv_listed_worker *iv_listed_worker_copy (const struct iv_listed_worker *listed);
void iv_listed_worker_free (struct iv_listed_worker *listed);

struct iv_fleet_worker;

/** One attempt to run a task. */
struct iv_run
{
  struct iv_fleet_worker *worker;
  struct iv_task_name name;
  const ivj_step *step;  /**< NULL when the run belongs to no known job */
  const char *workspace; /**< of its job, interned; NULL: not looked up yet, or not known */
  struct iv_resources workspace_needs; /**< what it uses of the limit of that workspace */
  gint64 number;                       /**< run number: distinguishes the attempts at a task */
  enum iv_run_phase phase;
  gint64 sent_ms;                 /**< when the start was sent, or the run was first listed */
  gint64 start_deadline_clock_ms; /**< the worker refuses the start when it arrives later */
  gint64 acked_clock_ms; /**< when the worker replied to the last start or stop; a list that
                              is not newer does not prove the run absent */
  gint64 stop_sent_ms;
  gboolean listed;       /**< in a list of the present instance of the worker */
  gint64 first_clock_ms; /**< when the worker first confirmed or listed it; 0: it has not */
  gboolean suspect;      /**< its task is suspected of crashes and has not survived this start */
  gboolean accused;      /**< the end of its worker was counted against its task */
  gboolean proven;       /**< the worker has survived its start: see crash.h */
  guint percent;         /**< progress, as last listed */
  gint64 progress_changed_ms; /**< when `percent` last changed */
  gint64 reported_load;   /**< tail latency in ms for a latency-critical task, else cores in use, in
                               thousandths */
  guint32 workload;       /**< its image in the interference model; 0: none */
  double baseline;        /**< tail latency of a latency-critical task without interference, as a
                               fraction of its target */
  double predicted_tail;  /**< tail latency predicted by the model, as a fraction of its target */
  gint64 halted_since_ms; /**< since when `cpu_limit_percent` is 0 */
  /** Since when its tail latency exceeds its target; 0: it does not. */
  gint64 over_target_since_ms;
  guint cpu_limit_percent;      /**< CPU limit in percent of full speed; 0: halted */
  guint cpu_limit_sent_percent; /**< the limit last sent to the worker */
  guint64 length_key;           /**< kind of its task in the learnt durations */
  gboolean resumed;             /**< it began from a checkpoint */
  gint64 limit_since_ms;        /**< when the CPU limit was accounted for last; 0: never */
  gint64 halted_ms;             /**< until then, time in which it was halted... */
  gint64 throttled_ms;          /**< ...and in which it was throttled, but not halted */
};

/** What the roster says of a worker. */
enum iv_roster_state
{
  IV_ROSTER_ABSENT,
  IV_ROSTER_NAMED,
  IV_ROSTER_DRAINING /**< named as draining, with runs */
};

/** One worker. */
struct iv_fleet_worker
{
  guint32 handle; /**< identifies this instance of the worker in this process; never reused, so
                     that replies to calls for the instance before find no worker */
  char *id;
  char *service;
  char *address;
  char *domain;
  char *rack;
  char **labels;
  struct iv_resources capacity;
  gint64 entry_clock_ms;        /**< when its entry was written, on its clock; 0: unknown */
  struct iv_resources used;     /**< by its runs; without the cores of best-effort tasks */
  gint64 best_effort_cpu_milli; /**< cores declared by best-effort tasks */
  guint unsized_runs;           /**< number of runs without a step: what they use is unknown */
  guint latency_tasks;      /**< number of latency-critical tasks: those with a latency target */
  gint64 latency_cpu_milli; /**< cores declared by latency-critical tasks */
  guint batch_tasks;        /**< tasks that end by themselves and are not best-effort */
  gint64 alive_ms;          /**< when its newest reply came; kept when it restarts */
  gint64 ended_alive_ms;    /**< `alive_ms` of the instance that ended last; 0: none has */
  gboolean lapsed_unproven; /**< runs that were not proven lapsed since it was last heard */
  gint64 instance_alive_since_ms;    /**< first reply of its present instance; 0: none yet */
  gboolean replaced;                 /**< another instance has answered at its address */
  gboolean left_in_order;            /**< its previous instance was draining when it ended */
  gboolean listed;                   /**< the platform lists it */
  gboolean draining;                 /**< it accepts no new runs */
  gint64 leaves_clock_ms;            /**< it does not leave before, on its clock; 0: unknown */
  gint64 unlisted_ms;                /**< when the platform stopped listing it */
  enum iv_roster_state roster_state; /**< in the newest roster... */
  gboolean recorded;          /**< ...which is stored and names it: the next owner learns of it */
  gboolean inherited;         /**< it was in the roster of the previous owner... */
  gboolean drained_with_runs; /**< ...as draining */
  gint64 start_time_ms;       /**< wall clock; start of its present instance */
  gint64 fence;               /**< of calls to that instance */
  /** An entry by which the worker has restarted, until an answer of the worker itself, or the end
   * of its runs, decides; NULL: none. */
  struct iv_listed_worker *claim;
  guint32 claim_handle; /**< in calls to the instance that the claim names */
  gint64 next_claim_poll_ms;
  gint64 claimed_ms;     /**< when it was read first */
  gint64 older_start_ms; /**< start and clock of the newest entry of an earlier start */
  gint64 older_clock_ms;
  gboolean restarted;         /**< this owner knew an instance before the present one */
  gboolean fenced;            /**< it has replied under the term of this owner */
  gint64 fenced_ms;           /**< since when */
  gint64 fenced_clock_ms;     /**< its clock in that reply */
  gint64 horizon_end_ms;      /**< if it stays silent, no run is left on it from then on */
  gint64 sample_clock_ms;     /**< reading of its clock in the newest reply... */
  gint64 clock_sampled_at_ms; /**< ...and when that reply came, on the owner's clock */
  gint64 lease_end_clock_ms;  /**< latest end of a lease that this or a previous owner sent it */
  /** Latest end of a lease that its present instance may have got from calls which were meant for
   * an earlier one, and so named times on another clock. 0: there is none. */
  gint64 stray_lease_end_clock_ms;
  gint64 recorded_stray_end_clock_ms; /**< the same, as in the newest roster */
  gint64 acked_end;      /**< run ends up to this sequence number are recorded; the worker may
                              discard them */
  gint64 processed_end;  /**< run ends up to this sequence number were processed */
  GArray *unconfirmed;   /**< of struct iv_unconfirmed_end: those after `acked_end`, in order */
  gboolean list_partial; /**< rows of its newest list could not be read */
  gboolean polling;      /**< a poll is in flight */
  gint64 next_poll_ms;
  guint failures; /**< consecutive requests without a reply */
  guint consecutive_failed_runs;
  gint64 quarantined_until_ms; /**< no new runs before this, after failed or refused ones */
  guint suspects;              /**< runs of tasks under suspicion that may crash it */
  const struct iv_job_task *reserved_for; /**< nothing else starts here: see reserve.h */
  gint64 reserved_until_ms;               /**< end of that reservation */
  double reserved_shortage;     /**< what it lacked for the task when that last became less... */
  gint64 reserved_progress_ms;  /**< ...and when that was */
  gint64 unreservable_until_ms; /**< it did not become free for a task that it was reserved for */
  GPtrArray *runs;              /**< of struct iv_run */
  GArray *lost_starts;          /**< of struct iv_lost_start */
};

/** A run end that was processed, and that the worker must keep until the record of its job is
 *  stored. */
struct iv_unconfirmed_end
{
  gint64 sequence;
  guint64 batch; /**< collection of the owner that its job was last part of; 0: none yet */
  char job[IV_JOB_ID_LEN + 1];
};

/** A start without a reply, which may be carried out late by a later instance of the worker. */
struct iv_lost_start
{
  struct iv_task_name name;
  gint64 number;
  gint64 until_ms; /**< it is not carried out later than this */
};

/** A lease of unknown end, at most the longest one. */
#define IV_LEASE_END_UNKNOWN G_MAXINT64

/** All workers of a cell. */
struct iv_fleet
{
  GHashTable *by_id;     /**< from id to struct iv_fleet_worker */
  GHashTable *reserved;  /**< from struct iv_job_task to the worker that is reserved for it */
  GHashTable *by_handle; /**< from handle to struct iv_fleet_worker */
  guint32 next_handle;   /**< the handle assigned last */
  gint64 fence;          /**< of instances that are learnt of next */
  gint64 fence_max;      /**< highest fence of this owner */
};

/** Terms of owners are multiples of this, and an owner has the fences from its term to the next: an
 *  instance under the same id as one before gets a higher one, so that it refuses late calls that
 *  were meant for that. */
#define IV_FENCES_PER_TERM 1024

/** Create the workers of an owner under @a term. */
struct iv_fleet *iv_fleet_new (gint64 term);
void iv_fleet_free (struct iv_fleet *fleet);

/** A handle that names no worker. */
guint32 iv_fleet_reserve_handle (struct iv_fleet *fleet);

/** @a worker is an instance that started at @a start_time_ms; its capacity is 0 until its entry is
 *  read. */
void iv_fleet_set_instance (struct iv_fleet *fleet, struct iv_fleet_worker *worker,
                            gint64 start_time_ms);

/** Add or update a worker; a list entry older than the known one, or of an older instance, is
 *  ignored. @a restarted is set when a newer instance replaces the known one: the caller sees to
 *  the runs.
 */
struct iv_fleet_worker *iv_fleet_update_worker (struct iv_fleet *fleet,
                                                const struct iv_listed_worker *listed,
                                                gboolean *restarted);

/** Find a worker by handle or id; NULL when it is gone. */
struct iv_fleet_worker *iv_fleet_worker (const struct iv_fleet *fleet, guint32 handle);
struct iv_fleet_worker *iv_fleet_find_by_id (const struct iv_fleet *fleet, const char *id);

/** Remove and free a worker that is gone and has no runs. */
void iv_fleet_remove (struct iv_fleet *fleet, struct iv_fleet_worker *worker);

/** Add a run of @a step to @a worker and reserve its resources. @a step may be NULL: the
 *  worker then has no capacity for others until the run is removed. */
struct iv_run *iv_run_add (struct iv_fleet_worker *worker, const struct iv_task_name *name,
                           const ivj_step *step, gint64 number, gint64 now_ms);

/** Find a run; NULL when there is none. @a number 0 matches any run of the task. */
struct iv_run *iv_run_find (const struct iv_fleet_worker *worker, const struct iv_task_name *name,
                            gint64 number);

/** What a task of @a step reserves; a best-effort task reserves no cores. */
struct iv_resources iv_step_resources (const ivj_step *step);

/** Release the resources of @a run and free it. */
void iv_run_remove (struct iv_run *run);

/** Estimate of the worker's clock at @a now_ms, from its last sample and equal clock rates. */
gint64 iv_worker_clock (const struct iv_fleet_worker *worker, gint64 now_ms);

/** Lower bound of the worker's clock at @a now_ms, for the slowest clock permitted. */
gint64 iv_worker_clock_min (const struct iv_fleet_worker *worker, gint64 now_ms);

/** A start of a task of @a step was refused for lack of capacity, and its run removed: @a worker
 *  has less than the task needs beside the others, until its next entry says more. Which resource
 *  it lacks is not known, so all are lowered. */
void iv_worker_refused (struct iv_fleet_worker *worker, const ivj_step *step);

/** Free cores of @a worker, in thousandths. Not negative: a worker whose capacity has shrunk below
 *  what runs there takes nothing from others. */
gint64 iv_worker_free_milli (const struct iv_fleet_worker *worker);

/** Whether a task of @a step fits into the free resources of @a worker. A best-effort task needs
 *  free memory and accelerators, but no free cores. FALSE while a run of unknown size is left,
 * which is being stopped. */
gboolean iv_worker_has_capacity (const struct iv_fleet_worker *worker, const ivj_step *step);

/** Number of tasks of @a step that fit into the free resources of @a worker. 0 while a run of
 *  unknown size is left. */
guint iv_worker_count_fitting (const struct iv_fleet_worker *worker, const ivj_step *step);

/** The same if the runs there reserved @a used, and no run of unknown size were left. */
guint iv_worker_count_beside (const struct iv_fleet_worker *worker, const ivj_step *step,
                              const struct iv_resources *used);

/** The same once the runs there that end by themselves, or are being stopped, have ended. */
guint iv_worker_count_holding (const struct iv_fleet_worker *worker, const ivj_step *step);

/** The same if there were no runs at all. */
guint iv_worker_count_empty (const struct iv_fleet_worker *worker, const ivj_step *step);

/** Largest share of its capacity, of any resource, that @a worker lacks for a task of @a step. 0 or
 *  less when the task fits. */
double iv_worker_shortage (const struct iv_fleet_worker *worker, const ivj_step *step);

/** Cores and memory of @a worker that its long-running tasks leave: free ones, and those of tasks
 *  that end by themselves. Not negative. */
struct iv_piece iv_worker_reclaimable (const struct iv_fleet_worker *worker);

/** Whether a task of @a step fits on @a worker once the runs there that end by themselves, or are
 *  being stopped, have ended. */
gboolean iv_worker_can_hold (const struct iv_fleet_worker *worker, const ivj_step *step);

#endif
