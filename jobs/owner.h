/**
 * @file owner.h
 * The owner of a cell: decides what starts where, from what workers list and records tell.
 *
 * Pure: time is passed in, effects go out by a table of callbacks, answers come back by the
 * functions below. The worker is the record of what runs; the keyed stream holds what cannot be
 * learnt again. An end is recorded before the worker may forget it. A new owner starts nothing that
 * a former one may have started on a worker that has not yet answered under the new fence.
 */
#ifndef IV_OWNER_H
#define IV_OWNER_H

#include "fleet.h"

/** Outcome of an order to a worker. */
enum iv_order_outcome
{
  IV_ORDERED,         /**< done, or it was already */
  IV_ORDER_FENCED,    /**< a higher fence was seen there */
  IV_ORDER_OLD,       /**< that run or a later one has ended there */
  IV_ORDER_LATE,      /**< its deadline has passed */
  IV_ORDER_NO_ROOM,   /**< it does not fit */
  IV_ORDER_NO_TICKET, /**< its ticket is missing or not valid any more */
  IV_ORDER_REFUSED,   /**< any other refusal; nothing was done */
  IV_ORDER_GONE,      /**< another life answers there */
  IV_ORDER_UNKNOWN    /**< no answer: it may have been done, or may be later */
};

/** How a run ended. */
enum iv_end
{
  IV_END_DONE,
  IV_END_FAILED,
  IV_END_STOPPED,
  IV_END_LAPSED,
  IV_END_BROKEN, /**< another member of its gang ended */
  IV_END_ALONE   /**< its gang did not come together in time */
};

/** A run in a list. */
struct iv_listed_run
{
  struct iv_task_name name;
  gint64 number;
  char *checkpoint; /**< NULL for none */
  guint percent;
  gint64 reported_load;
};

/** An end in a list. */
struct iv_listed_end
{
  gint64 sequence;
  struct iv_task_name name;
  gint64 number;
  enum iv_end how;
  char *checkpoint;
};

/** What a worker lists. */
struct iv_look
{
  gint64 clock;
  gint64 start_time_ms; /**< 0 when it is not said */
  GArray *runs;         /**< of struct iv_listed_run */
  GArray *ends;         /**< of struct iv_listed_end */
};

/** How a queue is to be served now. */
struct iv_queue_rule
{
  const char *service;
  gint64 priority; /**< 0 first */
  guint attempts;
  double stretch;
  gint64 objective_ms;
  gboolean advised; /**< a start needs a ticket of the advice service */
};

/** An order to start a run. */
struct iv_start_order
{
  struct iv_task_name name;
  gint64 number;
  const char *spec;
  gint64 until_clock;
  const char *checkpoint;
  const char *ticket; /**< of the advice service; NULL: none is needed */
};

/** What the advice service allows. */
struct iv_advice_answer
{
  gint64 valid_ms; /**< for which the tickets are valid, from when they were given */
  guint count;
  const struct iv_allowed_worker
  {
    const char *worker;
    const char *ticket;
  } * allowed;
};

/** Time limits, milliseconds. */
struct iv_owner_limits
{
  gint64 lease_ms;     /**< renewed with every look */
  gint64 start_ms;     /**< a start is refused when it arrives later */
  gint64 horizon_ms;   /**< after it, nothing of a former owner runs on a silent worker */
  gint64 evidence_ms;  /**< no task starts when the word on failure domains is older */
  gboolean spare_rack; /**< other cells cannot take over what lasts: keep room for a lost rack */
};

/** For what a job needs cores. */
enum iv_room_kind
{
  IV_ROOM_SHORT,  /**< tasks that end, and need room */
  IV_ROOM_FILL,   /**< tasks that fill */
  IV_ROOM_LASTING /**< tasks that last: cells are kept level */
};

/** What the owner causes. */
struct iv_owner_effects
{
  void *context;
  void (*start) (void *context, const struct iv_fleet_worker *worker,
                 const struct iv_start_order *order);
  void (*stop) (void *context, const struct iv_fleet_worker *worker,
                const struct iv_task_name *name, gint64 number);
  /** @a lease_clock 0: do not extend leases. */
  void (*look) (void *context, const struct iv_fleet_worker *worker, gint64 lease_clock,
                gint64 wait_ms);
  void (*pace) (void *context, const struct iv_fleet_worker *worker,
                const struct iv_task_name *name, gint64 number, guint percent);
  /** Ask the advice service which of @a workers (struct iv_fleet_worker) may run the step that
   *  @a name is of. */
  void (*advise) (void *context, const struct iv_task_name *name, const GPtrArray *workers);
  /** FALSE when the configuration has no such queue. */
  gboolean (*queue) (void *context, const char *host, const char *prefix,
                     struct iv_queue_rule *rule);
  gboolean (*domain_open) (void *context, const char *domain);
  /** Whether @a job belongs to this cell. */
  gboolean (*owns_job) (void *context, const struct iv_job_entry *job);
  /** Another cell with much more room of a kind than @a cpu_milli; -1: none. */
  gint (*roomier_cell) (void *context, gint64 cpu_milli, enum iv_room_kind kind);
  /** Record that @a cell serves @a job from now on. */
  void (*move_job) (void *context, const struct iv_job_entry *job, guint cell);
};

/** Cores that are free in a cell, in thousandths. */
struct iv_cell_room
{
  gint64 free_milli;    /**< for tasks that need room */
  gint64 fill_milli;    /**< for tasks that fill */
  gint64 lasting_milli; /**< for more jobs that last, beside those accepted and what short ones
                           need; negative when these do not fit */
};

struct iv_owner;

/** Begin to own the cell of @a book under @a term, with every job in it. */
struct iv_owner *iv_owner_new (struct iv_job_table *job_table, gint64 term,
                               const struct iv_owner_limits *limits,
                               const struct iv_owner_effects *effects, gint64 now_ms,
                               gint64 wall_ms);

/** Ids of workers on which a run may be, or come to be, that the next owner cannot know otherwise;
 *  free the array. The strings are the owner's. */
GPtrArray *iv_owner_unsure_workers (const struct iv_owner *owner);

/** The former owner ended in good order: wait for no worker but @a ids. */
void iv_owner_handed_over (struct iv_owner *owner, char *const *ids);

/** Stop owning. Nothing is told to workers. */
void iv_owner_free (struct iv_owner *owner);

/** Whether another owner was met. */
gboolean iv_owner_deposed (const struct iv_owner *owner);

/** The move of @a job could not be recorded: it stays. */
void iv_owner_not_moved (struct iv_owner *owner, struct iv_job_entry *job, gint64 now_ms);

/** A record of @a job was folded. */
void iv_owner_job (struct iv_owner *owner, struct iv_job_entry *job, gint64 now_ms);

/** The platform lists a worker; or no longer does. */
void iv_owner_listed (struct iv_owner *owner, const struct iv_listed_worker *listed, gint64 now_ms);
void iv_owner_unlisted (struct iv_owner *owner, const char *id, gint64 now_ms);

/** The list of workers was read to its end. */
void iv_owner_list_read (struct iv_owner *owner);

/** Answers. @a clock is the worker's, 0 when there is none. */
void iv_owner_started (struct iv_owner *owner, guint32 worker, const struct iv_task_name *name,
                       gint64 number, enum iv_order_outcome outcome, gint64 clock, gint64 now_ms);
void iv_owner_stopped (struct iv_owner *owner, guint32 worker, const struct iv_task_name *name,
                       gint64 number, enum iv_order_outcome outcome, gint64 clock, gint64 now_ms);
/** @a look is NULL when no list came. */
void iv_owner_looked (struct iv_owner *owner, guint32 worker, enum iv_order_outcome outcome,
                      const struct iv_look *look, gint64 now_ms);

/** The answer to the only question on its way; NULL when there is none. */
void iv_owner_advised (struct iv_owner *owner, const struct iv_advice_answer *answer,
                       gint64 now_ms);

/** What the owner may do now. */
struct iv_owner_leave
{
  gint64 evidence_age_ms; /**< age of the newest word on which failure domains are in service */
  gboolean confirmed;     /**< nobody else can own the cell */
};

/** Look and start whatever is due. */
void iv_owner_step (struct iv_owner *owner, const struct iv_owner_leave *leave, gint64 now_ms,
                    gint64 wall_ms);

/** Collect jobs whose progress is to be recorded, as `struct iv_job *`; their state is taken as
 *  recorded once iv_owner_recorded() is called with the number in @a upto. NULL when there are
 *  none. */
gboolean iv_owner_dirty (const struct iv_owner *owner);
GPtrArray *iv_owner_collect (struct iv_owner *owner, guint64 *upto);
void iv_owner_recorded (struct iv_owner *owner, guint64 upto);

/** Progress record of a collected job. NULL when it is too large. */
GByteArray *iv_owner_encode (const struct iv_job_entry *job);

/** The record of @a job was not stored: collect it again. */
void iv_owner_mark_again (struct iv_owner *owner, struct iv_job_entry *job);

/** Queues or domains changed: place again. */
void iv_owner_rules_changed (struct iv_owner *owner);

/** What was learnt of pairs of images, as a record for the next owner; NULL when nothing was. */
GByteArray *iv_owner_save_model (const struct iv_owner *owner, gint64 now_ms);

/** Take over what another owner learnt where it is surer. */
void iv_owner_load_model (struct iv_owner *owner, const guint8 *bytes, gsize len, gint64 now_ms);

/** Whether so many workers are silent that this host is likely cut off rather than they. */
gboolean iv_owner_cut_off (const struct iv_owner *owner);

/** Count what is free now; to be called every now and then. FALSE while workers are still asked. */
gboolean iv_owner_room (struct iv_owner *owner, struct iv_cell_room *capacity);

/** Worker by id, for queries. */
struct iv_fleet *iv_owner_fleet (struct iv_owner *owner);

#endif
