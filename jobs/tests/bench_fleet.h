/**
 * @file bench_fleet.h
 * Simulated cell for tests of the owner: a few workers in memory, in simulated time.
 *
 * The workers keep clocks, fences, leases and lists of runs as the platform's task protocol
 * requires. They can be made unreachable, lose replies or carry out starts late.
 */
#ifndef IV_BENCH_FLEET_H
#define IV_BENCH_FLEET_H

#include "owner.h"

#define SIM_WORKERS_MAX 8
#define SIM_LEASE_MAX_MS 10000 /**< a worker shortens a longer lease to this */
#define SIM_DEADLY_MAX 8
#define SIM_ADDRESS "127.0.0.1:1" /**< of every worker at first: its id tells it apart */
#define SIM_OTHER_CELL 1          /**< number of the cell that tasks are delegated to */
#define SIM_DOWN_MS 3000          /**< a worker that crashed is back after this */
#define SIM_WORKSPACES_MAX 8

/** A run on a simulated worker. */
struct sim_run
{
  struct iv_task_name name;
  gint64 number;
  struct iv_resources resources; /**< that it uses */
  gint64 started_ms;             /**< in simulated time */
  gint64 percent;                /**< progress */
  gint64 tail_ms;                /**< tail latency that the worker reports for it */
  guint cpu_limit_percent;       /**< CPU limit, percent of full speed */
  gboolean whole;                /**< all members of its gang have been there at one time */
  gint64 stop_clock_ms; /**< being stopped: ends then, on the worker's clock; 0: it is not */
};

/** A simulated worker. */
struct sim_worker
{
  char id[16];
  char rack[16];
  char domain[16]; /**< "a" or "b" */
  char kind[16];   /**< its label, besides its rack */
  gint64 start_time_ms;
  gint64 clock;              /**< its own clock, milliseconds */
  gint64 clock_slow_percent; /**< its clock runs this much slow */
  gint64 clock_rest;         /**< what the clock owes, hundredths of a millisecond */
  gint64 fence;              /**< highest one seen; calls with a lower one are refused */
  gint64 lease_end_clock_ms; /**< end of the lease of its runs, on its clock */
  gint64 capacity_milli;
  gint64 mem_mb;
  gint64 accelerators;
  gboolean checks_capacity; /**< starts beyond its capacity are refused, not carried out */
  gint64 stop_grace_ms;     /**< a run that is stopped ends this much later */
  gboolean unreachable;     /**< no call reaches it */
  gboolean drops_replies;   /**< calls reach it, their replies are lost */
  const char *address;
  guint polls;              /**< polls that were sent to it */
  gboolean other_elsewhere; /**< calls to any other address reach an instance of another worker */
  gboolean garbles_lists;   /**< the rows of runs in its lists cannot be read */
  gboolean replaced;        /**< an instance of another worker answers at its address */
  gboolean resets_calls;    /**< connections are reset: calls fail at once */
  gboolean refuses_starts;  /**< starts are refused for lack of capacity */
  gboolean draining;
  gint64 leaves_clock_ms; /**< as its entry says, on its clock; 0: the entry does not */
  gboolean unlisted;      /**< the platform does not list it: it lost the store, not the owner */
  gint64 entry_age_ms;    /**< age of its entry when the owner reads it */
  gint64 next_entry_ms;   /**< when the owner reads its entry next; 0: not by itself */
  gint64 start_delay_ms;  /**< starts are carried out this much later */
  gint64 stop_delay_ms;   /**< the same for stops */
  gint64 crash_ms;        /**< it crashes then, because of a task; 0: it does not */
  gboolean holds_suspect; /**< a task that has crashed another worker has started on it */
  gint64 back_ms;         /**< a crashed worker is back then; 0: it is up */
  GArray *runs;           /**< of struct sim_run */
  GArray *ends;           /**< of struct iv_listed_end */
  gint64 last_end;        /**< sequence number of the newest end */
  GArray *stopped;        /**< of struct iv_listed_end: stops of runs that were not there */
  /** When not 0: starts that are sent now get no reply, and the instance that is there after this
   *  time carries them out. Longer than the timeout of a call. */
  gint64 late_starts_ms;
  gint64 late_polls_ms; /**< the same for polls */
};

/** A workspace as the configuration has it. */
struct sim_workspace
{
  const char *name;
  double weight;
  struct iv_workspace_limit limit; /**< in this cell */
};

/** A call that has not been delivered, or has no reply yet. */
struct sim_call;

/** The simulation: workers, one owner at a time, and a job table in place of the stream. */
struct sim
{
  struct sim_worker *workers; /**< its own, or those of another simulation that it shares */
  struct sim_worker own_workers[SIM_WORKERS_MAX];
  guint count; /**< number of workers */
  gboolean
      cut[SIM_WORKERS_MAX]; /**< calls of the owner do not reach the worker, nor its replies it */
  gboolean suspended;       /**< the owner gets no ticks */
  gboolean frozen;          /**< nor replies, which wait for it: its process is stopped */
  struct iv_job_table *job_table;
  struct iv_owner *owner;
  gint64 term;
  gint64 now_ms;
  gint64 wall_ms;
  gboolean unguarded;            /**< the configuration says that workers start what does not fit */
  gint64 evidence_age_ms;        /**< given to the owner with each tick */
  gboolean confirmed;            /**< the owner is told that nobody else can own the cell */
  gint64 authority_ms;           /**< each tick permits the owner to act for this long */
  gboolean store_records;        /**< progress records are stored */
  gint64 record_delay_ms;        /**< from sending progress records to their storing */
  GPtrArray *sent_keys;          /**< of char *: those that were sent and are not stored yet */
  GPtrArray *sent_values;        /**< of GByteArray: their values */
  guint64 sent_batch;            /**< their collection; 0: there are none */
  gint64 sent_until_ms;          /**< when they are stored */
  const char *unstorable_job;    /**< progress records of this job are not; NULL: of none... */
  gboolean unstorable_for_good;  /**< ...because they are too large, not for want of the store */
  gboolean store_rosters;        /**< rosters are stored */
  GByteArray *roster;            /**< newest roster; NULL: none */
  gboolean stalled;              /**< no run makes progress */
  gboolean domain_a_out;         /**< domain "a" is out of service */
  gint64 other_cell_milli;       /**< free capacity of another cell... */
  gint64 other_cell_small_milli; /**< ...of which this is in pieces of the mean size... */
  gint64 other_cell_spare_milli; /**< ...of which this is kept from new long-running jobs */
  const char *other_cell_label;  /**< of its workers; NULL: none */
  gint64 delegate_milli;         /**< cores of another cell for single tasks */
  gboolean is_delegate;          /**< the owner has that cell, and the jobs are those of cell 0 */
  guint delegation_calls;        /**< delegation records of the owner */
  struct iv_delegation last_delegation; /**< the newest of them */
  GPtrArray *delegation_keys;           /**< of char *: those that the owner has not read yet */
  GPtrArray *delegation_values;         /**< of char *: their values */
  gboolean defer_delegations;           /**< they are accepted, but not read */
  /** Gets the records of delegations and moves of the owner, which it does not read by itself then,
   * and copies of its other records of jobs; NULL: none. */
  void (*record) (struct sim *sim, const char *key, const guint8 *value, gsize len);
  void *record_context;         /**< of that function */
  guint move_calls;             /**< jobs that the owner moved to another cell */
  gboolean defer_moves;         /**< moves are accepted, but their records are not read */
  gboolean advised;             /**< starts need a ticket; workers with odd numbers get one */
  gint64 ticket_valid_ms;       /**< validity of a ticket */
  gint64 advice_reply_ms;       /**< when the outstanding advice query gets its reply; 0: none is */
  GPtrArray *advice_worker_ids; /**< of char *: worker ids in that query */
  guint advice_queries;
  gboolean (*is_deadly) (
      const struct iv_task_name *name);              /**< crashes its worker; NULL: none does */
  void (*started) (const struct iv_task_name *name); /**< told of each start; NULL: nobody */
  guint deadly_starts[SIM_DEADLY_MAX];               /**< by index of the deadly task */
  guint beside_suspect;  /**< starts on a worker that holds such a task */
  gint64 crash_after_ms; /**< from the start of a deadly task to the crash */
  /** Late calls that were meant for the instance before are carried out as if they had come before
   *  the first one that was meant for the present instance, whose fence is higher. */
  gboolean late_calls_come_first;
  gboolean gangs_break; /**< a gang without a member ends, as on the platform */
  gint64 run_ms;        /**< tasks that are not deadly end as done after this; 0: never */
  guint no_ticket;      /**< starts that were refused for lack of a ticket */
  guint attempts;       /**< failed runs of a task that end its job */
  GPtrArray *calls;     /**< of struct sim_call */
  guint start_credit;   /**< starts that each dispatch may send */
  guint start_calls;
  guint over_capacity;  /**< starts that brought a worker over its capacity */
  guint refused_starts; /**< starts that a worker refused for lack of capacity */
  guint throttle_calls;
  guint last_cpu_limit_percent; /**< limit in the last of these */
  struct sim_workspace workspaces[SIM_WORKSPACES_MAX];
  guint workspace_count; /**< 0 when an owner starts: it knows of no workspaces */
  struct iv_owner_limits limits;
};

/** Create a simulation with @a workers workers of 4 cores: two per rack, alternately in domains "a"
 *  and "b". */
struct sim *sim_new (guint workers);
void sim_free (struct sim *sim);

/** The same with the workers of @a other, which advances them and is freed last: another host of
 * the same cell. */
struct sim *sim_new_sharing (struct sim *other);

/** Calls that have not reached worker @a worker yet do not reach its next instance. */
void sim_drop_calls (struct sim *sim, guint worker);

/** Start a new owner with the next term; the previous owner ends without notice. */
void sim_start_owner (struct sim *sim);

/** Progress records that are on their way are never stored. */
void sim_drop_records (struct sim *sim);

/** Report the entries of all listed workers to the owner. */
void sim_list_workers (struct sim *sim);
/** The owner reads the present entry of a worker. */
void sim_list_worker (struct sim *sim, guint worker);

/** The owner reads an entry of another writer under the id of a worker: its present one but for
 * these values. Calls to another address than the worker's do not reach it. */
void sim_list_odd_entry (struct sim *sim, guint worker, gint64 start_time_ms, gint64 clock_ms,
                         const char *address);

/** Advance the simulated time by @a ms in small steps. */
void sim_advance (struct sim *sim, gint64 ms);

/** The same, until a task has two runs at once: FALSE. */
gboolean sim_advance_without_duplicates (struct sim *sim, gint64 ms);

/** Submit a job with @a spec as @a id; @a spec stays owned by the caller. */
void sim_submit (struct sim *sim, const char *id, const ivj_job *spec);

/** The same for a job of @a workspace; "": it has none. */
void sim_submit_for (struct sim *sim, const char *workspace, const char *id, const ivj_job *spec);

/** Cores, in thousandths, that the tasks of @a workspace use on all workers at present. */
gint64 sim_workspace_milli (const struct sim *sim, const char *workspace);

/** The owner reads a delegation record of job @a id. */
void sim_apply_delegation (struct sim *sim, const char *id, const struct iv_delegation *delegation);

/** The cell, and its owner if it has one, reads a record of a job. */
void sim_apply_record (struct sim *sim, const char *key, const guint8 *value, gsize len);

/** The record of the job @a id expired: it leaves the job table. */
void sim_forget_job (struct sim *sim, const char *id);

/** End the run of task @a index in step @a step of job @a id. FALSE when no worker runs it. */
gboolean sim_end_run (struct sim *sim, const char *id, guint step, guint index,
                      enum iv_end_reason reason);

/** End, as done, the run that worker @a worker has had longest of the tasks of job @a id. */
void sim_end_oldest_run (struct sim *sim, guint worker, const char *id);

/** End all runs. */
void sim_end_all_runs (struct sim *sim, enum iv_end_reason reason);

/** Present number of runs of a task on all workers. */
guint sim_running_count (const struct sim *sim, const char *id, guint step, guint index);

/** Present number of runs of the task that has the most. */
guint sim_max_concurrent_runs (const struct sim *sim);

/** Present number of runs on all workers. */
guint sim_total_runs (const struct sim *sim);

/** Present number of runs of the tasks of job @a id, on one worker and on all. */
guint sim_worker_runs (const struct sim *sim, guint worker, const char *id);
guint sim_job_runs (const struct sim *sim, const char *id);

/** The first worker that runs tasks of job @a id; the number of workers when none does. */
guint sim_find_worker (const struct sim *sim, const char *id);

/** State of a job as recorded. */
enum ivj_state sim_job_state (const struct sim *sim, const char *id);

/** Let a worker drain, and list it so. */
void sim_drain_worker (struct sim *sim, guint worker);

/** Crash a worker: it is silent for SIM_DOWN_MS, then back as a new instance. */
void sim_crash_worker (struct sim *sim, guint worker);

/** Restart a worker: a new instance without runs, ends, fence and lease. The owner reads its entry
 *  a heartbeat later. */
void sim_restart_worker (struct sim *sim, guint worker);

#endif
