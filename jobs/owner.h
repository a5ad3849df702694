/**
 * @file owner.h
 * The owner of a cell: the scheduler that places the tasks of its jobs on its workers.
 *
 * The module does no I/O: the caller passes the time in, requests go out through a table of
 * callbacks, and replies come back through the functions below. A worker is the authority on which
 * runs exist on it; the keyed stream stores only what cannot be learnt from workers again. The end
 * of a run is recorded before the worker is told that it may discard it. A new owner does not start
 * a task that a previous owner may have started on a worker that has not yet replied under the new
 * fence.
 */
#ifndef IV_OWNER_H
#define IV_OWNER_H

#include "fleet.h"
#include "offers.h"

struct iv_owner;

/** Outcome of a request to a worker. */
enum iv_command_outcome
{
  IV_COMMAND_OK,             /**< carried out, now or earlier */
  IV_COMMAND_FENCED,         /**< the worker has seen a higher fence */
  IV_COMMAND_STALE,          /**< that run or a later one has already ended there */
  IV_COMMAND_EXPIRED,        /**< arrived after its deadline */
  IV_COMMAND_NO_CAPACITY,    /**< the worker has too few free resources */
  IV_COMMAND_NO_TICKET,      /**< the ticket is missing or no longer valid */
  IV_COMMAND_REFUSED,        /**< refused for another reason; nothing was done */
  IV_COMMAND_WRONG_INSTANCE, /**< another instance of the worker answers at this address */
  IV_COMMAND_UNKNOWN         /**< no reply: may have been carried out, or may be later */
};

/** Why a run ended. */
enum iv_end_reason
{
  IV_END_DONE,
  IV_END_FAILED,
  IV_END_STOPPED,
  IV_END_LEASE_EXPIRED,
  IV_END_GANG_BROKEN, /**< another member of its gang ended */
  IV_END_GANG_TIMEOUT /**< the members of its gang did not all start in time */
};

/** A run in the reply to a poll. */
struct iv_listed_run
{
  struct iv_task_name name;
  gint64 number;
  char *checkpoint;     /**< NULL: none */
  guint percent;        /**< progress, 0 to 100 */
  gint64 reported_load; /**< tail latency in ms of a latency-critical task, else CPU use in
                      thousandths of a core */
};

/** An ended run in the reply to a poll. */
struct iv_listed_end
{
  gint64 sequence; /**< ascending on each worker instance */
  struct iv_task_name name;
  gint64 number;
  enum iv_end_reason reason;
  char *checkpoint; /**< NULL: none */
};

/** Reply of a worker to a poll. */
struct iv_poll_reply
{
  gint64 clock;         /**< the worker's clock, ms */
  gint64 start_time_ms; /**< wall-clock start time of the worker instance; 0: not reported */
  GArray *runs;         /**< of struct iv_listed_run */
  GArray *ends;         /**< of struct iv_listed_end */
  gboolean partial; /**< rows of runs could not be read: a run that is not in `runs` may exist */
};

/** Scheduling policy of a queue. */
struct iv_queue_policy
{
  const char *service;
  gint64 priority;     /**< 0 is the highest */
  guint attempts;      /**< failed runs of one task after which the job fails */
  double stretch;      /**< the objective allows this multiple of the longest chain of steps... */
  gint64 objective_ms; /**< ...plus this */
  gboolean advised;    /**< a start needs a ticket of the advice service */
  gboolean checks_capacity; /**< the workers refuse what exceeds their capacity */
};

/** Request to start a run. */
struct iv_start_command
{
  struct iv_task_name name;
  gint64 number; /**< of the run */
  const char *spec;
  gint64 deadline_clock_ms; /**< the worker refuses the start after this time on its clock, ms */
  const char *checkpoint;   /**< to resume from; NULL: from the beginning */
  const char *ticket;       /**< of the advice service; NULL: not needed */
};

/** Reply of the advice service. */
struct iv_advice_reply
{
  gint64 valid_ms; /**< validity of the tickets, counted from their issue */
  guint count;     /**< entries of @a allowed */
  const struct iv_allowed_worker
  {
    const char *worker; /**< its id */
    const char *ticket;
  } * allowed;
};

/** Time limits, and whether capacity is reserved. */
struct iv_owner_limits
{
  gint64 lease_ms;     /**< lease of a run; each poll renews it */
  gint64 lease_max_ms; /**< a worker shortens a longer lease to this */
  gint64 start_ms;     /**< a start request that arrives later than this is refused */
  gint64 horizon_ms;   /**< after this, no run of a previous owner exists on a silent worker */
  /** No task starts when the state of the failure domains is older than this. */
  gint64 evidence_max_age_ms;
  /** Best-effort tasks must not keep a tail latency over its target for longer than this. */
  gint64 harm_ms;
  /** Where workers start what exceeds their capacity: no start arrives when the entry of the worker
   *  is older than this. */
  gint64 capacity_max_age_ms;
  /** Tasks of a rack-local step take this much longer on several racks, in thousandths. */
  gint64 far_factor_milli;
  /** Members of a gang that were started wait so long for the others; 0: without a bound. */
  gint64 gang_wait_ms;
  /** Learn durations of tasks; they replace estimates in the order of the queue and in waits. */
  gboolean learn_lengths;
  /** Reserve capacity for the loss of a rack: other cells cannot take over long-running jobs. */
  gboolean spare_rack;
};

/** Kind of capacity that a job needs. */
enum iv_capacity_kind
{
  IV_CAPACITY_BATCH,        /**< batch tasks: they end, and reserve their cores */
  IV_CAPACITY_BEST_EFFORT,  /**< best-effort tasks: they use cores that others leave idle */
  IV_CAPACITY_LONG_RUNNING, /**< long-running tasks: balanced across cells */
  /** Long-running tasks that are down for lack of a worker, of the mean size at most... */
  IV_CAPACITY_EVACUATION,
  IV_CAPACITY_EVACUATION_LARGE, /**< ...and larger ones */
  IV_CAPACITY_ANY /**< no worker of its own cell could hold the job: any that can will do */
};

/** What a job needs of the cell that it moves to. */
struct iv_move_needs
{
  gint64 cpu_milli;
  enum iv_capacity_kind kind;
  const char *service;
  GPtrArray *steps; /**< of const ivj_step: the cell must be able to hold each of them */
};

/** What a workspace may have running in a cell. */
struct iv_workspace_limit
{
  gboolean limited;           /**< FALSE: no limit at all; `max` has no meaning then */
  struct iv_resources max;    /**< -1 in a resource: no limit for it */
  gboolean may_exceed_by_one; /**< the last task may exceed the limit */
};

/** What the tasks of a workspace use in a cell, and what they lack for its limit alone. */
struct iv_workspace_demand
{
  const char *workspace;
  struct iv_resources used;   /**< by runs that exist, or may */
  struct iv_resources wanted; /**< by tasks that wait for nothing but the limit */
};

/** Callbacks of the owner. Replies come back through the functions named *_replied(). */
struct iv_owner_effects
{
  void *context; /**< first argument of every callback */
  gint cell;     /**< number of the cell */
  void (*start) (void *context, const struct iv_fleet_worker *worker,
                 const struct iv_start_command *command);
  /** How many starts may be sent now. The others wait in the order of the queue. */
  guint (*start_credit) (void *context);
  void (*stop) (void *context, const struct iv_fleet_worker *worker,
                const struct iv_task_name *name, gint64 number);
  /** Request the runs and ends of @a worker, and extend the leases of its runs to
   *  @a lease_end_clock_ms on its clock (0: do not extend them). The worker may hold its reply for
   * @a wait_ms. */
  void (*poll) (void *context, const struct iv_fleet_worker *worker, gint64 lease_end_clock_ms,
                gint64 wait_ms);
  /** Throttle a run to @a percent of its full speed; 0 suspends it. */
  void (*throttle) (void *context, const struct iv_fleet_worker *worker,
                    const struct iv_task_name *name, gint64 number, guint percent);
  /** Ask the advice service which of @a workers (struct iv_fleet_worker) may run the step that
   *  @a name belongs to. */
  void (*advise) (void *context, const struct iv_task_name *name, const GPtrArray *workers);
  /** Look up the policy of a queue. FALSE when the configuration has no such queue. */
  gboolean (*queue) (void *context, const char *host, const char *prefix,
                     struct iv_queue_policy *policy);
  /** Whether @a domain is in service. */
  gboolean (*is_domain_in_service) (void *context, const char *domain);
  /** Whether @a job belongs to this cell. */
  gboolean (*owns_job) (void *context, const struct iv_job_entry *job);
  /** Another cell that can hold what @a needs tells, and has much more free capacity than that; -1:
   *  none. */
  gint (*find_move_target) (void *context, const struct iv_move_needs *needs);
  /** Number of tasks with need @a need that the largest pieces of other cells hold. */
  guint (*count_elsewhere) (void *context, const struct iv_piece *need);
  /** A cell that could hold a task of @a step in one of its pieces; -1: none. The piece counts as
   * used until the next record of that cell. */
  gint (*find_delegate) (void *context, const char *service, const ivj_step *step);
  /** Record which cell runs a task of @a job from now on. */
  void (*record_delegation) (void *context, const struct iv_job_entry *job,
                             const struct iv_delegation *delegation);
  /** Record that @a cell serves @a job from now on. */
  void (*move_job) (void *context, const struct iv_job_entry *job, guint cell);
  /** What @a workspace may have running in this cell. NULL: there are no workspaces. */
  void (*workspace_limit) (void *context, const char *workspace, struct iv_workspace_limit *limit);
  /** Weight of @a workspace, which is also the number of jobs a second that it is owed; 0: it is
   *  not known. NULL: there are no workspaces. */
  double (*workspace_weight) (void *context, const char *workspace);
};

/** Free CPU capacity of a cell, in thousandths of a core. */
struct iv_cell_capacity
{
  gint64 free_milli;        /**< for batch tasks */
  gint64 best_effort_milli; /**< for best-effort tasks */
  /** For more long-running jobs, after those accepted and the reserve for batch tasks; negative
   *  when these exceed the capacity. */
  gint64 long_running_milli;
  /** For long-running tasks that are down in other cells: what is free when batch tasks have ended,
   *  without what tasks of this cell wait for. In pieces of the mean size of its long-running
   *  tasks... */
  gint64 evacuation_milli;
  gint64 evacuation_large_milli; /**< ...and of the largest */
};

/** What the long-running tasks of the cell leave on each usable worker, without what waiting ones
 *  are going to take: struct iv_piece, the largest IV_PIECES_MAX. Free with g_array_unref(). NULL
 *  until the runs of previous owners are known. */
GArray *iv_owner_free_pieces (const struct iv_owner *owner);

/** What the usable workers of the cell can hold. Free with g_ptr_array_unref(). NULL until the runs
 * of previous owners are known, and when there are more than IV_OFFERS_MAX rows. */
GPtrArray *iv_owner_offers (const struct iv_owner *owner);

/** Take ownership of the cell and of every job of @a jobs that belongs to it, under @a term. */
struct iv_owner *iv_owner_new (struct iv_job_table *jobs, gint64 term,
                               const struct iv_owner_limits *limits,
                               const struct iv_owner_effects *effects, gint64 now_ms,
                               gint64 wall_ms);

/** Ids of the workers that have a run, may get one, or have ended one, that the next owner cannot
 * learn of in another way. The caller frees the array; the strings belong to the owner. */
GPtrArray *iv_owner_unresolved_workers (const struct iv_owner *owner);

/** How long runs may exist on worker @a id of that array, should it be silent from now on, ms. */
gint64 iv_owner_unresolved_ms (struct iv_owner *owner, const char *id, gint64 now_ms);

/** The process of the previous owner, which claimed the cell at @a claimed_ms, has ended by
 *  @a ended_ms: it renews no lease since, and its own predecessors none a horizon after its claim.
 *  To be called before iv_owner_apply_handover(). */
void iv_owner_previous_ended (struct iv_owner *owner, gint64 ended_ms, gint64 claimed_ms);

/** The previous owner shut down in order and reported its unresolved workers: wait for no others.
 *  @a fields is NULL-terminated: the ids, then IV_HANDOVER_WAITS and for each id how long runs may
 *  exist there. An earlier release reports the ids alone. */
void iv_owner_apply_handover (struct iv_owner *owner, char *const *fields);
#define IV_HANDOVER_WAITS "|"

/** Give up ownership and free. Nothing is sent to workers. */
void iv_owner_free (struct iv_owner *owner);

/** Whether a worker has reported the fence of a newer owner. */
gboolean iv_owner_is_deposed (const struct iv_owner *owner);

/** The move of @a job could not be recorded: the job stays in this cell. */
void iv_owner_move_failed (struct iv_owner *owner, struct iv_job_entry *job, gint64 now_ms);

/** The delegation record @a delegation of @a job could not be stored: the task stays in this cell.
 */
void iv_owner_delegation_failed (struct iv_owner *owner, struct iv_job_entry *job,
                                 const struct iv_delegation *delegation);

/** A record of @a job was applied. */
void iv_owner_job_changed (struct iv_owner *owner, struct iv_job_entry *job, gint64 now_ms);

/** The platform lists a worker, or no longer lists it. */
void iv_owner_worker_listed (struct iv_owner *owner, const struct iv_listed_worker *listed,
                             gint64 now_ms);
void iv_owner_worker_unlisted (struct iv_owner *owner, const char *id, gint64 now_ms);

/** The initial list of workers is complete. No task starts before. */
void iv_owner_worker_list_loaded (struct iv_owner *owner);

/** Take the roster: the record of all workers that have runs, or may get one. The list of workers
 *  does not tell, since a worker that loses the store leaves it and runs on; so a worker gets no
 *  start before a roster that names it is stored. NULL when it has not changed or is being stored;
 *  free it with g_byte_array_free(). Its outcome goes to iv_owner_roster_stored(). */
GByteArray *iv_owner_collect_roster (struct iv_owner *owner, gint64 now_ms);
void iv_owner_roster_stored (struct iv_owner *owner, gboolean stored);

/** Load the roster of the previous owner, before any worker is listed. When it left none, @a bytes
 *  is NULL, and tasks that it may have started wait for the horizon. */
void iv_owner_load_roster (struct iv_owner *owner, const guint8 *bytes, gsize len, gint64 now_ms);

/** Replies to a start and to a stop. @a clock is the worker's clock in ms; 0 when the reply has
 *  none. */
void iv_owner_start_replied (struct iv_owner *owner, guint32 worker,
                             const struct iv_task_name *name, gint64 number,
                             enum iv_command_outcome outcome, gint64 clock, gint64 now_ms);
void iv_owner_stop_replied (struct iv_owner *owner, guint32 worker, const struct iv_task_name *name,
                            gint64 number, enum iv_command_outcome outcome, gint64 clock,
                            gint64 now_ms);

/** Reply to a poll. @a reply is NULL when none arrived. */
void iv_owner_poll_replied (struct iv_owner *owner, guint32 worker, enum iv_command_outcome outcome,
                            const struct iv_poll_reply *reply, gint64 now_ms);

/** Reply to the outstanding advice query; NULL when none arrived. */
void iv_owner_advice_replied (struct iv_owner *owner, const struct iv_advice_reply *reply,
                              gint64 now_ms);

/** The owner may not act until its next tick: replies that come before it are ignored. */
void iv_owner_suspend (struct iv_owner *owner, gint64 now_ms);

/** What the owner may rely on in a tick. */
struct iv_owner_authority
{
  gint64 evidence_age_ms; /**< age of the state of failure domains (in or out of service) */
  gboolean confirmed;     /**< no other host can own the cell */
  /** Until then the owner acts on replies without a further tick. A process that was suspended
   * finds replies before its next tick, when another host may own the cell. */
  gint64 valid_until_ms;
};

/** Poll workers that are due, and start every task that can start. */
void iv_owner_tick (struct iv_owner *owner, const struct iv_owner_authority *authority,
                    gint64 now_ms, gint64 wall_ms);

/** Whether there is progress to record. */
gboolean iv_owner_has_unrecorded (const struct iv_owner *owner);

/** Take the jobs whose progress is to be recorded, as `struct iv_job_entry *`; may be empty. Sets
 *  @a batch to the number to pass to iv_owner_records_stored(), which has to be called before the
 *  next collection. The caller frees the array. */
GPtrArray *iv_owner_collect_unrecorded (struct iv_owner *owner, guint64 *batch);

/** The records of @a batch were stored, but for those of jobs that were passed to
 *  iv_owner_record_failed(). Workers may discard the ends that the stored ones cover: each worker
 *  those before its first end that is not covered. */
void iv_owner_records_stored (struct iv_owner *owner, guint64 batch);

/** Called with a record: its key and value. */
typedef void (*iv_owner_record_fn) (void *context, const char *key, const GByteArray *value);

/** Encode the records of a collected job and pass them to @a emit. All are to be stored, and
 *  collected again when one of them is not. FALSE, after iv_owner_record_failed(), when one is too
 *  large; then it was not passed. */
gboolean iv_owner_encode_records (struct iv_owner *owner, struct iv_job_entry *job,
                                  iv_owner_record_fn emit, void *context);

/** A record of @a job was not stored. Unless @a permanent it is collected again; else when the
 *  progress of the job changes next. */
void iv_owner_record_failed (struct iv_owner *owner, struct iv_job_entry *job, gboolean permanent);

/** Queues or failure domains changed: attempt placement again. */
void iv_owner_config_changed (struct iv_owner *owner);

/** Learnt interference between pairs of images, as a record for the next owner; NULL when nothing
 *  was learnt. */
GByteArray *iv_owner_save_model (const struct iv_owner *owner, gint64 now_ms);

/** Merge the record of another owner: estimates with a smaller variance replace present ones. A
 *  malformed record is logged and ignored. */
void iv_owner_load_model (struct iv_owner *owner, const guint8 *bytes, gsize len, gint64 now_ms);

/** Whether so many workers are silent that this host is probably partitioned from them. */
gboolean iv_owner_is_partitioned (const struct iv_owner *owner);

/** Measure the free capacity of the cell. To be called at regular intervals, as each call decays
 *  the reserve for batch tasks. FALSE until the runs of previous owners are known. */
gboolean iv_owner_free_capacity (struct iv_owner *owner, struct iv_cell_capacity *capacity);

/** What the workspaces that have tasks in the cell use and want: struct iv_workspace_demand, in no
 *  order. `used` is counted now, `wanted` is that of the newest dispatch. Free with
 *  g_array_unref(); the names are valid until the owner is called again. Empty when there are no
 *  workspaces. */
GArray *iv_owner_workspace_demand (struct iv_owner *owner);

/** Workers of the cell, for queries. */
struct iv_fleet *iv_owner_fleet (struct iv_owner *owner);

#endif
