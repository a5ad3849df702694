/**
 * @file bench_fleet.h
 * A few workers in memory for tests of the owner: they keep clocks, fences, leases and lists as the
 * platform's page on tasks says, and can fall silent, lose answers or carry orders out late.
 */
#ifndef IV_BENCH_FLEET_H
#define IV_BENCH_FLEET_H

#include "owner.h"

#define BENCH_WORKERS_MAX 8

/** A run on a worker of the bench. */
struct bench_run
{
  struct iv_task_name name;
  gint64 number;
  gint64 percent;
  gint64 tail_ms;
  guint pace;
};

/** A worker of the bench. */
struct bench_worker
{
  char id[16];
  char rack[16];
  char domain[16];
  gint64 born_ms;
  gint64 clock;
  gint64 fence;
  gint64 lease;
  gint64 room_milli;
  gboolean silent;  /**< no call reaches it */
  gboolean mute;    /**< calls reach it, answers are lost */
  gboolean refuses; /**< starts are refused for want of room */
  gboolean draining;
  gint64 late_ms; /**< starts are carried out this much later */
  GArray *runs;   /**< of struct bench_run */
  GArray *ends;   /**< of struct iv_listed_end */
  gint64 last_end;
};

/** A call that waits to be delivered or answered. */
struct bench_call;

/** The bench: workers, one owner at a time, a book that stands for the stream. */
struct bench
{
  struct bench_worker workers[BENCH_WORKERS_MAX];
  guint count;
  struct iv_book *book;
  struct iv_owner *owner;
  gint64 term;
  gint64 now_ms;
  gint64 wall_ms;
  gint64 evidence_age_ms;
  gboolean confirmed;
  gboolean stored;        /**< records are stored */
  gboolean stuck;         /**< nothing makes progress */
  gboolean closed_a;      /**< domain "a" is out of service */
  gint64 elsewhere_milli; /**< room in another cell */
  guint moved;
  gboolean moves_wait;  /**< moves are stored, and not read yet */
  gboolean advised;     /**< starts need a ticket; workers with an odd number get one */
  gint64 valid_ms;      /**< of a ticket */
  gint64 ask_answer_ms; /**< when the question under way is answered; 0: there is none */
  GPtrArray *asked;     /**< of char *: ids in that question */
  guint questions;
  guint no_ticket; /**< starts that were rejected for want of one */
  guint attempts;
  GPtrArray *calls; /**< of struct bench_call */
  guint started;
  guint paces;
  guint last_pace;
  struct iv_owner_limits limits;
};

struct bench *bench_new (guint workers);
void bench_free (struct bench *bench);

/** Begin a new owner under the next term; the one before is forgotten without a word. */
void bench_own (struct bench *bench);

/** Let @a ms pass in small steps. */
void bench_run_for (struct bench *bench, gint64 ms);

/** Hand in a job with @a spec under @a id; the spec stays the caller's. */
void bench_submit (struct bench *bench, const char *id, const ivj_job *spec);

/** End the run of the task @a index of step @a step of @a id, wherever it is. FALSE when none is.
 */
gboolean bench_end (struct bench *bench, const char *id, guint step, guint index,
                    enum iv_end_reason how);

/** End whatever runs. */
void bench_end_all (struct bench *bench, enum iv_end_reason how);

/** Runs of a task at this moment, over all workers. */
guint bench_running (const struct bench *bench, const char *id, guint step, guint index);

/** Highest number of runs of one task at the same moment, now. */
guint bench_doubled (const struct bench *bench);

/** All runs on all workers. */
guint bench_total (const struct bench *bench);

/** State of a job as recorded. */
enum ivj_state bench_state (const struct bench *bench, const char *id);

/** A new life of a worker. */
void bench_reboot (struct bench *bench, guint worker);

#endif
