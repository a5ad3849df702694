/**
 * @file owner_private.h
 * What the files of the owner share.
 */
#ifndef IV_OWNER_PRIVATE_H
#define IV_OWNER_PRIVATE_H

#include "interference.h"
#include "owner.h"

/** A worker that the advice service is asked about. */
struct iv_asked_worker
{
  guint32 handle;
  gint64 start_time_ms;
};

/** The question that is on its way to the advice service. */
struct iv_question
{
  gboolean asked;
  struct iv_task_name name; /**< its step */
  GArray *workers;          /**< of struct iv_asked_worker */
};

struct iv_owner
{
  struct iv_job_table *job_table;
  struct iv_fleet *fleet;
  struct iv_interference *model; /**< of tasks that fill on tasks that serve */
  struct iv_owner_limits limits;
  struct iv_owner_effects effects;
  gint64 term;
  gint64 run_base; /**< every run of this owner has a higher number */
  gint64 since_ms;
  gint64 start_ms; /**< a start that is sent now is refused when it arrives later than this */
  gint64 wall_ms;
  gint64 load_at_ms;
  gboolean handed_over; /**< only the workers in `unsure` are waited for */
  GHashTable *unsure;   /**< set of ids */
  gboolean settled;     /**< no run of a former owner can be unknown */
  gboolean listed;      /**< the list of workers was read */
  gboolean deposed;
  gboolean inheriting;   /**< the jobs of the book are being taken over */
  gboolean changed;      /**< something was freed or came: place again */
  gint64 dispatch_at_ms; /**< place again even if nothing changed */
  gint64 moves_at_ms;    /**< when to look for jobs to move next */
  gint64 short_milli;    /**< cores that tasks which end needed lately at the most */
  struct iv_question question;
  gint64 ask_at_ms; /**< no question before */
  GPtrArray *works; /**< of struct iv_work: jobs that are not over */
  GPtrArray *dirty; /**< of struct iv_job */
  guint64 record;   /**< number of the newest collection */
};

/** @a task is no longer placed. */
void iv_owner_unplace (struct iv_job_exec *exec, struct iv_stage *stage, struct iv_job_task *task);

/** End the job of @a work in @a state, stop what runs of it and free @a work. */
void iv_owner_end_work (struct iv_owner *owner, struct iv_job_exec *exec, enum ivj_state state,
                        gint64 now_ms);

/** Failed runs of a task that end @a job. */
guint iv_owner_attempts (struct iv_owner *owner, const struct iv_job_entry *job);

/** Nothing runs on @a worker any more: its tasks wait again. */
void iv_owner_drop_runs (struct iv_owner *owner, struct iv_fleet_worker *worker, const char *why);

/** Log every now and then how full the cell is: owner_load.c. */
void iv_owner_log_load (struct iv_owner *owner, gint64 now_ms);

/** A task becomes waiting again; its run is gone. */
void iv_owner_return_task (struct iv_owner *owner, const struct iv_task_name *name,
                           const char *checkpoint, gboolean runs_known);

/** Stop whatever runs of @a job. */
void iv_owner_stop_job (struct iv_owner *owner, const struct iv_job_entry *job, gint64 now_ms);

/** Send a stop for @a run. */
void iv_owner_stop_run (struct iv_owner *owner, struct iv_run *run, gint64 now_ms);

/** The work of the job that @a name belongs to, or NULL. */
struct iv_job_exec *iv_owner_work (struct iv_owner *owner, const struct iv_task_name *name);

/** Note that the progress of @a work is to be recorded. */
void iv_owner_mark (struct iv_owner *owner, struct iv_job_exec *exec);

/** Send jobs that find no place here to a cell with more room: moves.c. */
void iv_owner_move_jobs (struct iv_owner *owner, gint64 now_ms);

/** Send a job that lasts, and has just come, to a cell with much more room for such. TRUE when it
 *  went. */
gboolean iv_owner_level_out (struct iv_owner *owner, struct iv_job_exec *exec);

/** Start what can be started: dispatch.c. */
void iv_owner_dispatch (struct iv_owner *owner, gint64 now_ms);

/** Choose a worker for a task: place.c. */
struct iv_placement_view
{
  const struct iv_owner *owner;
  const struct iv_job_entry *job;
  const struct iv_stage *stage;
  guint occurrence;
  const char *service;
  const char *rack; /**< only this rack, when set */
  guint32 workload; /**< image of the stage in the interference model */
  gboolean advised; /**< only workers with a ticket */
  gboolean starved; /**< the job has had nothing running for long: take what harms least */
  gint64 now_ms;
};
struct iv_fleet_worker *iv_place (const struct iv_placement_view *view,
                                  const struct iv_job_task *task);

/** Whether @a worker could take a task of the stage, tickets aside. */
gboolean iv_place_fits (const struct iv_fleet_worker *worker, const struct iv_placement_view *view);

#endif
