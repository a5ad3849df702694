/**
 * @file bench_fleet.h
 * A few workers in memory for tests of the owner: they keep clocks, fences, leases and lists as the
 * platform's page on tasks says, and can fall silent, lose answers or carry orders out late.
 */
#ifndef IV_BENCH_FLEET_H
#define IV_BENCH_FLEET_H

#include "owner.h"

#define SIM_WORKERS_MAX 8

/** A run on a worker of the bench. */
struct sim_run
{
  struct iv_task_name name;
  gint64 number;
  gint64 percent;
  gint64 tail_ms;
  guint pace;
};

/** A worker of the bench. */
struct sim_worker
{
  char id[16];
  char rack[16];
  char domain[16];
  gint64 start_time_ms;
  gint64 clock;
  gint64 fence;
  gint64 lease;
  gint64 capacity_milli;
  gboolean unreachable;    /**< no call reaches it */
  gboolean drops_answers;  /**< calls reach it, answers are lost */
  gboolean rejects_starts; /**< starts are refused for want of room */
  gboolean draining;
  gint64 start_delay_ms; /**< starts are carried out this much later */
  GArray *runs;          /**< of struct bench_run */
  GArray *ends;          /**< of struct iv_listed_end */
  gint64 last_end;
};

/** A call that waits to be delivered or answered. */
struct sim_call;

/** The bench: workers, one owner at a time, a book that stands for the stream. */
struct sim
{
  struct sim_worker workers[SIM_WORKERS_MAX];
  guint count;
  struct iv_job_table *job_table;
  struct iv_owner *owner;
  gint64 term;
  gint64 now_ms;
  gint64 wall_ms;
  gint64 evidence_age_ms;
  gboolean confirmed;
  gboolean store_records;  /**< records are stored */
  gboolean stalled;        /**< nothing makes progress */
  gboolean domain_a_out;   /**< domain "a" is out of service */
  gint64 other_cell_milli; /**< room in another cell */
  guint move_calls;
  gboolean defer_moves;         /**< moves are stored, and not read yet */
  gboolean advised;             /**< starts need a ticket; workers with an odd number get one */
  gint64 valid_ms;              /**< of a ticket */
  gint64 advice_answer_ms;      /**< when the question under way is answered; 0: there is none */
  GPtrArray *advice_worker_ids; /**< of char *: ids in that question */
  guint advice_requests;
  guint no_ticket; /**< starts that were rejected for want of one */
  guint attempts;
  GPtrArray *calls; /**< of struct bench_call */
  guint start_calls;
  guint pace_calls;
  guint last_pace;
  struct iv_owner_limits limits;
};

struct sim *sim_new (guint workers);
void sim_free (struct sim *sim);

/** Begin a new owner under the next term; the one before is forgotten without a word. */
void sim_start_owner (struct sim *sim);

/** Let @a ms pass in small steps. */
void sim_advance (struct sim *sim, gint64 ms);

/** Hand in a job with @a spec under @a id; the spec stays the caller's. */
void sim_submit (struct sim *sim, const char *id, const ivj_job *spec);

/** End the run of the task @a index of step @a step of @a id, wherever it is. FALSE when none is.
 */
gboolean sim_end_run (struct sim *sim, const char *id, guint step, guint index, enum iv_end how);

/** End whatever runs. */
void sim_end_all_runs (struct sim *sim, enum iv_end how);

/** Runs of a task at this moment, over all workers. */
guint sim_running_count (const struct sim *sim, const char *id, guint step, guint index);

/** Highest number of runs of one task at the same moment, now. */
guint sim_max_concurrent_runs (const struct sim *sim);

/** All runs on all workers. */
guint sim_total_runs (const struct sim *sim);

/** State of a job as recorded. */
enum ivj_state sim_job_state (const struct sim *sim, const char *id);

/** A new life of a worker. */
void sim_restart_worker (struct sim *sim, guint worker);

#endif
