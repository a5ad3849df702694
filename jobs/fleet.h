/**
 * @file fleet.h
 * Workers as the owner of a cell believes them to be, and the runs on them.
 *
 * Clocks: names with `_ms` alone are on the owner's steady clock; `clock` marks the worker's own.
 */
#ifndef IV_FLEET_H
#define IV_FLEET_H

#include "job_exec.h"

/** Cores, memory and accelerators. */
struct iv_resources
{
  gint64 cpu_milli;
  gint64 mem_mb;
  gint64 accelerators;
};

/** A worker as the platform lists it. Strings are copied by whoever keeps it. */
struct iv_listed_worker
{
  const char *id;
  const char *service;
  const char *address;
  const char *domain;
  const char *rack; /**< "" when unknown */
  char *const *labels;
  struct iv_resources capacity;
  gboolean draining;
  gint64 start_time_ms; /**< wall clock of its start: tells two lives under one id apart */
};

/** How sure it is that a run is there. */
enum iv_run_phase
{
  IV_RUN_PHASE_STARTING,    /**< its start was sent and not answered */
  IV_RUN_PHASE_UNCONFIRMED, /**< no answer came: it may start late, until `start_until_clock` */
  IV_RUN_PHASE_RUNNING,
  IV_RUN_PHASE_STOPPING /**< a stop was sent; its room is taken until its end is listed */
};

struct iv_fleet_worker;

/** One started attempt at a task. */
struct iv_run
{
  struct iv_fleet_worker *worker;
  struct iv_task_name name;
  const ivj_step *step; /**< NULL for a run that belongs to no known job */
  struct iv_resources capacity;
  gint64 number;
  enum iv_run_phase phase;
  gint64 sent_ms;
  gint64 start_deadline_clock_ms; /**< the worker refuses the start after this */
  gint64 acked_clock_ms;          /**< lists older than this do not tell whether it runs */
  gint64 stop_sent_ms;
  guint percent;              /**< of its work, as last listed */
  gint64 progress_changed_ms; /**< when that last grew */
  gint64 reported_load;       /**< tail in ms of a task that serves, else the cores in use */
  guint32 workload;           /**< its image in the interference model; 0: none */
  double baseline;       /**< undisturbed tail of a task that serves, as a share of its target */
  double predicted_tail; /**< tail by the model, as a share of its target */
  gint64 halted_ms;      /**< since when `pace` is 0 */
  gint64 over_target_ms; /**< since when its tail is over its target; 0: it is not */
  guint pace;            /**< percent of its speed that it may use */
  guint pace_sent;
};

/** One worker. */
struct iv_fleet_worker
{
  guint32 handle;
  char *id;
  char *service;
  char *address;
  char *domain;
  char *rack;
  char **labels;
  struct iv_resources capacity;
  struct iv_resources used;
  gint64 best_effort_cpu_milli; /**< declared cores of the tasks that fill */
  guint latency_tasks;          /**< tasks with a latency target */
  gint64 latency_cpu_milli;
  guint batch_tasks; /**< tasks that end, and count against the room */
  gboolean listed;
  gboolean draining;
  gint64 unlisted_ms;
  gint64 start_time_ms;
  gboolean fenced;              /**< it has answered under this owner's term */
  gint64 clock_sample_ms;       /**< its clock in the newest answer */
  gint64 clock_sampled_at_ms;   /**< when that answer came */
  gint64 lease_end_clock_ms;    /**< latest end of lease that was ever sent */
  gint64 acked_end;             /**< ends up to here are recorded and may be forgotten */
  gint64 processed_end;         /**< ends up to here were taken in */
  gint64 recording_end;         /**< ends up to here are being recorded... */
  guint64 recording_collection; /**< ...once the owner's records reach this number */
  gboolean polling;
  gint64 next_poll_ms;           /**< when to look next */
  guint failures;                /**< calls in a row without an answer */
  guint consecutive_failed_runs; /**< runs in a row that failed */
  gint64 quarantined_until_ms;   /**< no new work before, after failing runs */
  GPtrArray *runs;               /**< of struct iv_run */
};

/** All workers. */
struct iv_fleet
{
  GHashTable *by_id;     /**< id to struct iv_fleet_worker */
  GHashTable *by_handle; /**< handle to the same */
  guint32 next_handle;
};

struct iv_fleet *iv_fleet_new (void);
void iv_fleet_free (struct iv_fleet *fleet);

/** Take in one listed worker. @a reborn is set when an earlier life under its id has ended. */
struct iv_fleet_worker *iv_fleet_update_worker (struct iv_fleet *fleet,
                                                const struct iv_listed_worker *listed,
                                                gboolean *reborn);

/** Find by handle or id; NULL when it is gone. */
struct iv_fleet_worker *iv_fleet_worker (const struct iv_fleet *fleet, guint32 handle);
struct iv_fleet_worker *iv_fleet_find_by_id (const struct iv_fleet *fleet, const char *id);

/** Forget a worker that is gone and has no runs. */
void iv_fleet_remove (struct iv_fleet *fleet, struct iv_fleet_worker *worker);

/** Add a run of @a step on @a worker and take its room. */
struct iv_run *iv_run_add (struct iv_fleet_worker *worker, const struct iv_task_name *name,
                           const ivj_step *step, gint64 number, gint64 now_ms);

/** Find a run; @a number 0 stands for any. */
struct iv_run *iv_run_find (const struct iv_fleet_worker *worker, const struct iv_task_name *name,
                            gint64 number);

/** Give back the room of @a run and free it. */
void iv_run_remove (struct iv_run *run);

/** The worker's clock now, at least; and at most, by the bound on the rate of clocks. */
gint64 iv_worker_clock (const struct iv_fleet_worker *worker, gint64 now_ms);
gint64 iv_worker_clock_min (const struct iv_fleet_worker *worker, gint64 now_ms);

/** Whether @a need fits into what is free. Tasks that fill need memory only. */
gboolean iv_worker_has_capacity (const struct iv_fleet_worker *worker, const ivj_step *step);

#endif
