/**
 * @file owner_private.h
 * State and functions shared by the source files of the owner.
 */
#ifndef IV_OWNER_PRIVATE_H
#define IV_OWNER_PRIVATE_H

#include "event.h"
#include "interference.h"
#include "owner.h"
#include "run_time.h"
#include "workspace_usage.h"

/** A start takes this long to arrive: failure domains are milliseconds apart. */
#define IV_MIN_START_WINDOW_MS 100

/** The longest interval between lists of runs, which show stalls and tail latencies: a worker holds
 *  its reply to a poll for this long. */
#define IV_POLL_WAIT_MS 500

/** A worker that an advice query names. */
struct iv_advice_candidate
{
  guint32 handle;
  gint64 start_time_ms; /**< start time of the worker instance that the query was about */
};

/** A long-running job that has moved to another cell. */
struct iv_departure
{
  gint64 cpu_milli; /**< cores that it needs there, in thousandths */
  gint64 until_ms;  /**< the load of that cell shows it by then */
};

/** The outstanding query to the advice service. */
struct iv_advice_query
{
  gboolean outstanding;
  struct iv_task_name name; /**< of the step; the index is not used */
  GArray *workers;          /**< of struct iv_advice_candidate */
};

/** The owner of a cell. Times are on the monotonic clock unless noted. */
struct iv_owner
{
  struct iv_job_table *jobs;
  struct iv_fleet *fleet;
  struct iv_interference *model;   /**< of best-effort tasks with latency-critical ones */
  struct iv_task_lengths *lengths; /**< learnt durations; NULL: none are learnt */
  GHashTable *rack_claims; /**< from rack to gint64: cores that tasks ahead in the queue wait for */
  struct iv_line_limit wait_lines;      /**< of waits for a place... */
  struct iv_line_limit stage_end_lines; /**< ...and of steps that ended */
  struct iv_owner_limits limits;
  struct iv_owner_effects effects;
  gint64 term;
  gint64 run_base; /**< runs of this owner have higher numbers than this */
  gint64 owned_since_ms;
  gint64 previous_until_ms; /**< no run of a previous owner exists on a silent worker after this */
  gint64 start_window_ms;   /**< a start that is sent now expires after this */
  gint64 wall_ms;           /**< wall clock of the present tick */
  gint64 valid_until_ms;    /**< replies that come later are ignored: see iv_owner_authority */
  gint64 confirmed_ms;      /**< newest tick in which no other host could own the cell */
  gint64 next_load_log_ms;
  gboolean handed_over;         /**< only the workers in `unresolved` are waited for */
  GHashTable *unresolved;       /**< from worker id to gint64: until when to wait for it */
  gboolean previous_runs_known; /**< every run of a previous owner is known */
  gboolean workers_loaded;
  gboolean roster_known;   /**< the roster of the previous owner was loaded */
  gboolean roster_missing; /**< there was a previous owner, but no roster that can be read */
  gboolean roster_pending; /**< a roster is being stored */
  gboolean roster_failed;  /**< the newest roster was not stored */
  guint roster_len;        /**< workers in the newest roster */
  guint roster_loaded;     /**< workers in the roster of the previous owner */
  gboolean deposed;
  gboolean loading_jobs;          /**< the jobs of a previous owner are being taken over */
  gboolean needs_dispatch;        /**< capacity was freed, or tasks or workers were added */
  gint64 next_dispatch_ms;        /**< dispatch then even if nothing changed */
  guint start_credit;             /**< starts that may still be sent in this dispatch */
  gint64 next_moves_ms;           /**< when to look for jobs to move next */
  gint64 next_delegate_ms;        /**< when to look for tasks to delegate or return next */
  gint64 mean_long_running_milli; /**< mean size of long-running tasks, cores in thousandths */
  GArray *departures;             /**< of struct iv_departure, by time */
  gint64 next_drain_ms;           /**< when to look for tasks on draining workers next */
  gint64 batch_demand_milli;      /**< decaying maximum of the cores that batch tasks needed */
  struct iv_advice_query advice_query;
  gint64 next_advice_ms; /**< no advice query before */
  GPtrArray *execs;      /**< of struct iv_job_exec: jobs that have not ended */
  GHashTable *guests;    /**< from job id to those of them whose tasks are delegated here */
  GPtrArray *unrecorded; /**< of struct iv_job_entry: progress to be recorded */
  gboolean hopeless;     /**< a job is to be given up in the next tick */
  guint64 crash_batch;   /**< collection that records the newest crash */
  guint64 stored_batch;  /**< newest collection that was stored */
  guint64 batch;         /**< number of the newest collection of progress records */
  struct iv_workspace_usage *usage; /**< by workspace; NULL: there are no workspaces */
  GHashTable *left_usage;           /**< from job id to what runs of it may be left, see
                                         iv_owner_keep_usage() */
  struct iv_resources capacity;     /**< of the listed workers, as of this dispatch */
  double weight_sum;                /**< of the workspaces with tasks here, as of this dispatch */
  double turn_end;                  /**< a job goes on while its workspace is not above this */
  guint64 dispatches;               /**< number of this dispatch */
  gboolean turn_ended;              /**< it was, and the job has tasks left to start */
};

/** The table for `left_usage`. */
GHashTable *iv_owner_new_left_usage (void);

/** Count what each workspace uses in the cell: owner_workspaces.c. */
void iv_owner_count_usage (struct iv_owner *owner);

/** Count anew and read limits and weights, for a dispatch. */
void iv_owner_begin_accounts (struct iv_owner *owner);

/** The dispatch has ended: log which workspaces wait for their limits. */
void iv_owner_end_accounts (struct iv_owner *owner, gint64 now_ms);

/** The account of the workspace of @a job; NULL when it has none. */
struct iv_workspace_account *iv_owner_account (struct iv_owner *owner,
                                               const struct iv_job_entry *job);

/** Share of the cell that the workspace uses, by its weight: comparable between workspaces, and
 * with iv_owner_fair_level(). 0 for no account, and for a weight that is not known. */
double iv_owner_usage_level (const struct iv_owner *owner,
                             const struct iv_workspace_account *account);

/** The level at which a workspace uses its share. */
double iv_owner_fair_level (const struct iv_owner *owner);

/** The job of @a exec, which is about to be freed, may have runs left on workers that have not
 *  answered yet: count what it uses now until they have. */
void iv_owner_keep_usage (struct iv_owner *owner, struct iv_job_exec *exec);

/** The same for @a job, which a previous owner has ended. */
void iv_owner_keep_ended_usage (struct iv_owner *owner, const struct iv_job_entry *job);

/** The limit of the workspace holds tasks of @a stage: count @a waiting of them as held, and
 *  @a wanted of them as wanted. */
void iv_owner_hold_tasks (const struct iv_owner *owner, struct iv_workspace_account *account,
                          struct iv_stage *stage, guint waiting, guint wanted);

/** Note since when tasks of @a stage are held, and for how long they were. @a account is NULL for a
 *  job without a workspace, whose tasks are not. */
void iv_owner_note_held (struct iv_workspace_account *account, struct iv_job_exec *exec,
                         struct iv_stage *stage, gint64 now_ms);

/** Note when every run of a previous owner is known. @a confirmed: no other host can own the cell.
 *  takeover.c. */
void iv_owner_check_previous_runs (struct iv_owner *owner, gboolean confirmed, gint64 now_ms);

/** Until when runs of a previous owner may exist on worker @a id, if it stays silent. */
gint64 iv_owner_awaited_until_ms (const struct iv_owner *owner, const char *id);

/** Mark @a task as waiting when it is placed. */
void iv_owner_clear_placement (struct iv_job_exec *exec, struct iv_stage *stage,
                               struct iv_job_task *task);

/** End the job of @a exec in @a state, stop its runs and free @a exec. */
void iv_owner_end_job (struct iv_owner *owner, struct iv_job_exec *exec, enum ivj_state state,
                       gint64 now_ms);

/** Number of failed runs of one task after which @a job fails. */
guint iv_owner_attempt_limit (struct iv_owner *owner, const struct iv_job_entry *job);

/** Count @a task, which waits, as placed as run @a number. */
void iv_owner_place_task (struct iv_job_exec *exec, struct iv_stage *stage,
                          struct iv_job_task *task, gint64 number);

/** Every run on @a worker is gone: requeue their tasks. @a why is logged. */
void iv_owner_drop_runs (struct iv_owner *owner, struct iv_fleet_worker *worker, const char *why);

/** Whether an entry of @a worker, which is known, is to be applied. Not one that contradicts what
 * the worker has answered itself, nor yet one of a restart while the worker has runs: its own
 * answer tells whether they have ended. rebirth.c. */
gboolean iv_owner_admits_entry (struct iv_owner *owner, struct iv_fleet_worker *worker,
                                const struct iv_listed_worker *listed, gint64 now_ms);

/** Go on asking whether @a worker has restarted as an entry claims, and apply the claim once it has
 * no runs. rebirth.c. */
void iv_owner_settle_claim (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 now_ms);

/** The worker whose claimed instance was asked under @a handle and has confirmed the claim, which
 * is applied then; NULL: none. A reply of the instance before refutes it. rebirth.c. */
struct iv_fleet_worker *iv_owner_claim_replied (struct iv_owner *owner, guint32 handle,
                                                enum iv_command_outcome outcome,
                                                const struct iv_poll_reply *reply, gint64 now_ms);

/** @a worker has told in a reply that its instance started at @a start_time_ms and has the clock
 * @a clock. FALSE when the reply is to be ignored, as that instance has ended. rebirth.c. */
gboolean iv_owner_instance_replied (struct iv_owner *owner, struct iv_fleet_worker *worker,
                                    gint64 start_time_ms, gint64 clock, gint64 now_ms);

/** A newer instance of @a worker is known: requeue the tasks of the runs that the instance before
 * had listed, which died with it. It may have received the other starts and stops itself. Fences,
 *  leases and clocks of the instance before mean nothing to it. rebirth.c. */
void iv_owner_worker_restarted (struct iv_owner *owner, struct iv_fleet_worker *worker,
                                gint64 now_ms);

/** @a worker has replied for the first time under this owner, at @a clock: bound the lease that its
 *  instance may have from calls meant for an earlier one. rebirth.c. */
void iv_owner_bound_stray_lease (const struct iv_owner *owner, struct iv_fleet_worker *worker,
                                 gint64 clock);

/** Whether a reply with reading @a clock to a call sent at @a sent_ms is of another instance than
 *  the known one: a clock that is behind has started anew. */
gboolean iv_owner_is_other_instance (const struct iv_fleet_worker *worker, gint64 sent_ms,
                                     gint64 clock);

/** Whether a start for @a worker is refused if another host owns the cell. While that is possible,
 *  only an instance known from before is trusted: the next owner does not start what may run there
 *  until it has replied to that owner, and then it knows the higher fence. A newer instance knows
 * no fence, so the worker must have been heard from lately. */
gboolean iv_owner_trusts_instance (const struct iv_owner *owner,
                                   const struct iv_fleet_worker *worker, gint64 now_ms);

/** The start of @a run may have been carried out by a newer instance, or may still be. A list of
 *  that instance proves it absent if it lacks the run after a stop, or after the start's deadline,
 *  which a worker compares with its own clock in whichever instance. */
void iv_owner_doubt_run (struct iv_run *run);

/** The start of @a run got no reply: should the worker restart, the new instance is told to stop
 * it, whatever was proven of the instance before. */
void iv_owner_note_lost_start (const struct iv_run *run, gint64 now_ms);

/** The start of @a run was carried out after all. */
void iv_owner_forget_lost_start (const struct iv_run *run);

/** Whether @a run waits for the first list of a newer instance. */
gboolean iv_owner_is_doubted (const struct iv_run *run);

/** Log why @a run is held to be over: task, run, worker, phase, term, start time of the worker
 *  instance, @a evidence and its age. */
void iv_owner_log_evidence (const struct iv_owner *owner, enum iv_level level, const char *event,
                            const struct iv_run *run, const char *evidence, gint64 age_ms);

/** Log the load of the cell when the log interval has passed: owner_load.c. */
void iv_owner_log_load (struct iv_owner *owner, gint64 now_ms);

/** Make a task wait again after its run @a number is gone, unless it is placed as another run. A
 *  non-empty @a checkpoint replaces the task's. */
void iv_owner_requeue_task (struct iv_owner *owner, const struct iv_task_name *name, gint64 number,
                            const char *checkpoint);

/** Stop all runs of @a job. */
void iv_owner_stop_job (struct iv_owner *owner, const struct iv_job_entry *job, gint64 now_ms);

/** Send a stop for @a run, unless one was sent within the retry interval. */
void iv_owner_stop_run (struct iv_owner *owner, struct iv_run *run, gint64 now_ms);

/** Execution state of the job that @a name belongs to; NULL when this owner does not run it. */
struct iv_job_exec *iv_owner_find_exec (struct iv_owner *owner, const struct iv_task_name *name);

/** Queue the job of @a exec for recording when its progress changed. */
void iv_owner_queue_record (struct iv_owner *owner, struct iv_job_exec *exec);

/** Tasks of @a exec that are under suspicion wait until collection @a batch is stored. */
void iv_owner_await_batch (struct iv_owner *owner, struct iv_job_exec *exec, guint64 batch);

/** Whether all progress of the job is stored, so that another cell learns of it. */
gboolean iv_owner_is_recorded (const struct iv_owner *owner, const struct iv_job_exec *exec);

/** The progress of @a job is recorded by another cell from now on. */
void iv_owner_forget_record (struct iv_owner *owner, struct iv_job_entry *job);

/** An end in the list of @a worker was processed: it is confirmed once the record of its job is
 *  stored. */
void iv_owner_note_end (struct iv_fleet_worker *worker, const struct iv_listed_end *end);

/** Move jobs that cannot be placed here to a cell with more free capacity: moves.c. */
void iv_owner_move_jobs (struct iv_owner *owner, gint64 now_ms);

/** Move a new long-running job to a cell with much more free capacity for such jobs. TRUE when it
 *  was moved. */
gboolean iv_owner_balance_long_running (struct iv_owner *owner, struct iv_job_exec *exec);

/** Move a new batch job to a cell with more free capacity, before any task of it has started. TRUE
 *  when it was moved. */
gboolean iv_owner_balance_batch (struct iv_owner *owner, struct iv_job_exec *exec);

/** Follow the delegations of @a job, which belongs to another cell: run the tasks that are
 * delegated to this one. delegate.c. */
void iv_owner_guests_changed (struct iv_owner *owner, struct iv_job_entry *job, gint64 now_ms);

/** Delegate tasks that no worker of the cell can hold to cells that can, and return delegated tasks
 * that find no worker: delegate.c. */
void iv_owner_delegate_tasks (struct iv_owner *owner, gint64 now_ms);

/** Drop @a exec and stop its runs: its tasks belong to another cell. */
void iv_owner_withdraw (struct iv_owner *owner, struct iv_job_exec *exec, gint64 now_ms);

/** Set the time by which the job of @a exec earns its full value. */
void iv_owner_set_objective (struct iv_owner *owner, struct iv_job_exec *exec);

/** Whether @a task waits, and no run of it can exist. dispatch.c. */
gboolean iv_dispatch_is_free (const struct iv_owner *owner, const struct iv_job_exec *exec,
                              const struct iv_stage *stage, const struct iv_job_task *task,
                              gint64 now_ms);

/** Start every task that can start: dispatch.c. */
void iv_owner_dispatch (struct iv_owner *owner, gint64 now_ms);

/** The stage whose tasks are to be placed, and the constraints: place.c. */
struct iv_placement_query
{
  const struct iv_owner *owner;
  const struct iv_job_entry *job;
  const struct iv_job_exec *exec;
  const struct iv_stage *stage;
  guint occurrence;
  struct iv_workspace_account *account; /**< of the workspace of the job; NULL: it has none */
  const char *service;
  const char *rack;          /**< the only rack allowed; NULL: any */
  guint32 workload;          /**< image of the stage in the interference model */
  gboolean advised;          /**< only workers with a ticket */
  gboolean checks_capacity;  /**< see struct iv_queue_policy */
  gboolean reserves;         /**< a worker is reserved when none has capacity: see reserve.h */
  gboolean accepts_unproven; /**< a suspect also where runs may still prove to be to blame: see
                                iv_crash_admits() */
  gboolean starved; /**< the job has had no run for a while: accept the least interference */
  gint64 now_ms;
};

/** Fill @a query for @a stage of @a exec, and request tickets if it needs them. FALSE when the
 *  configuration has no queue for the job. */
gboolean iv_dispatch_query (struct iv_owner *owner, const struct iv_job_exec *exec,
                            struct iv_stage *stage, guint occurrence, gint64 now_ms,
                            struct iv_placement_query *query);

/** Move long-running tasks off workers that drain, a few of a step at a time: drain.c. */
void iv_owner_move_from_draining (struct iv_owner *owner, gint64 now_ms);

/** Choose the worker with the best score for @a task; NULL when none is feasible. */
struct iv_fleet_worker *iv_place_task (const struct iv_placement_query *query,
                                       const struct iv_job_task *task);

/** The worker that is reserved for @a task, if it has capacity for it by now; else NULL. */
struct iv_fleet_worker *iv_place_reserved (const struct iv_placement_query *query,
                                           const struct iv_job_task *task);

/** Outcome of a reservation. */
enum iv_reserve_outcome
{
  IV_RESERVE_DONE,      /**< a worker is reserved */
  IV_RESERVE_LATER,     /**< too many workers are reserved */
  IV_RESERVE_IMPOSSIBLE /**< none that is usable now can hold it, even without batch tasks */
};

/** Reserve the worker that lacks least for @a task among those that can hold it, or extend the
 *  reservation, unless @a max_percent of the workers are reserved. */
enum iv_reserve_outcome iv_place_reserve (const struct iv_placement_query *query,
                                          const struct iv_job_task *task, guint max_percent);

/** When a start that is sent to @a worker now expires, on the clock of the worker. */
gint64 iv_place_start_deadline (const struct iv_fleet_worker *worker,
                                const struct iv_placement_query *query);

/** Whether @a worker meets every constraint on the stage but the ticket. */
gboolean iv_place_is_feasible (const struct iv_fleet_worker *worker,
                               const struct iv_placement_query *query);

/** The same for the time when runs there that end by themselves have ended. FALSE unless the stage
 *  reserves workers. */
gboolean iv_place_may_become_feasible (const struct iv_fleet_worker *worker,
                                       const struct iv_placement_query *query);

/** Whether @a worker can be used for the stage or will be, as far as it is known: it is listed,
 * does not drain, answers, and its failure domain is in service. */
gboolean iv_place_is_there (const struct iv_fleet_worker *worker,
                            const struct iv_placement_query *query);

/** Whether nothing but its runs keeps the stage off @a worker: see iv_place_count_fitting(). */
gboolean iv_place_is_candidate (const struct iv_fleet_worker *worker,
                                const struct iv_placement_query *query);

/** Number of tasks of the stage on @a worker. */
guint iv_place_count_runs (const struct iv_fleet_worker *worker,
                           const struct iv_placement_query *query);

/** Number of further tasks of the stage that @a worker can take now, if it may have tickets for
 *  them; and once the runs there that end by themselves have ended. */
guint iv_place_count_fitting (const struct iv_fleet_worker *worker,
                              const struct iv_placement_query *query);
guint iv_place_count_holding (const struct iv_fleet_worker *worker,
                              const struct iv_placement_query *query);

/** Whether workers of the cell could hold the stage if they were empty: all tasks of a gang, else
 * one. A worker that has been silent for long does not count, nor one that the advice service has
 * denied. */
gboolean iv_place_can_hold_stage (const struct iv_placement_query *query);

/** Log that tasks of the stage have waited for @a waited_ms: how many workers each condition keeps
 *  them from, the free cores of those that only lack capacity and how many of these could hold a
 *  task without batch tasks, and how many tasks other cells could hold. */
void iv_place_log_waiting (const struct iv_placement_query *query, gint64 waited_ms);

#endif
