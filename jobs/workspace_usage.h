/**
 * @file workspace_usage.h
 * Account of what the tasks of each workspace use in a cell, and whether its limit admits more.
 *
 * An account is computed anew for each dispatch, from the runs and from what runs of previous
 * owners may exist, and updated with each start. Nothing of it is stored.
 */
#ifndef IV_WORKSPACE_USAGE_H
#define IV_WORKSPACE_USAGE_H

#include "owner.h"

/** Workspaces that have series of their own in the metrics; the others share one. */
#define IV_WORKSPACE_LABELS_MAX 64

/** Outcomes that are counted for each workspace. */
enum iv_workspace_outcome
{
  IV_WORKSPACE_STARTED,       /**< a task started while its workspace was within its share */
  IV_WORKSPACE_STARTED_ABOVE, /**< a task started although its workspace was above its share */
  IV_WORKSPACE_LIMITED,       /**< tasks of a step that began to wait for the limit */
  IV_WORKSPACE_OUTCOMES
};

/** One workspace in one cell. */
struct iv_workspace_account
{
  const char *name;                /**< interned */
  gboolean active;                 /**< it has tasks that run or wait in the cell */
  struct iv_resources used;        /**< by runs that exist, or may */
  struct iv_resources wanted;      /**< by tasks that wait for nothing but the limit */
  struct iv_workspace_limit limit; /**< as of this dispatch... */
  double weight;                   /**< ...like this; 0: unknown, it is in no share */
  gint64 next_log_ms;              /**< when to log next that its tasks wait for the limit */
  GQueue turns;                    /**< its jobs that wait for their turn in this dispatch */
  struct iv_counter *counters[IV_WORKSPACE_OUTCOMES]; /**< NULL until first used */
};

/** The accounts of a cell. */
struct iv_workspace_usage;

struct iv_workspace_usage *iv_workspace_usage_new (void);
void iv_workspace_usage_free (struct iv_workspace_usage *usage);

/** Set what is used to nothing, to be counted anew. What is wanted stays. */
void iv_workspace_usage_reset (struct iv_workspace_usage *usage);

/** Drop the accounts of workspaces that have not been named since the reset. */
void iv_workspace_usage_sweep (struct iv_workspace_usage *usage);

/** Call @a each for every account. */
void iv_workspace_usage_foreach (struct iv_workspace_usage *usage,
                                 void (*each) (struct iv_workspace_account *account, void *context),
                                 void *context);

/** The account of a workspace, which is added when it is new. @a name is interned: accounts are
 * found for each run in each dispatch. */
struct iv_workspace_account *iv_workspace_usage_account (struct iv_workspace_usage *usage,
                                                         const char *name);

/** What @a count tasks of @a step need. */
struct iv_resources iv_workspace_needs (const ivj_step *step, guint count);

/** Count @a used as used. */
void iv_workspace_account_add (struct iv_workspace_account *account,
                               const struct iv_resources *used);

/** Count @a count tasks of @a step as used. A best-effort task uses the cores that it declares. */
void iv_workspace_account_use (struct iv_workspace_account *account, const ivj_step *step,
                               guint count);

/** Count @a count tasks of @a step as wanted. */
void iv_workspace_account_want (struct iv_workspace_account *account, const ivj_step *step,
                                guint count);

/** Count what a previous owner may have started of @a exec, and this one knows no run of: the tasks
 *  that wait for their runs to be known. Those of a step whose turn may have come since the newest
 *  record count instead of the steps before, which must have ended then. */
void iv_workspace_account_use_unknown (struct iv_workspace_account *account,
                                       const struct iv_job_exec *exec);

/** The same for a job of which only its end is known: all of its tasks may be left that can run at
 *  a time. */
void iv_workspace_account_use_ended (struct iv_workspace_account *account,
                                     const struct iv_job_entry *job);

/** Whether the limit admits @a count more tasks of @a step at once. Where it may be exceeded by one
 *  task, only the last of them may. A resource that the step does not need does not matter. */
gboolean iv_workspace_account_admits (const struct iv_workspace_account *account,
                                      const ivj_step *step, guint count);

/** Whether it admits a task of @a step in place of one that runs. */
gboolean iv_workspace_account_admits_again (const struct iv_workspace_account *account,
                                            const ivj_step *step);

/** Count @a n tasks with this outcome. */
void iv_workspace_account_count (struct iv_workspace_account *account,
                                 enum iv_workspace_outcome outcome, guint n);

#endif
