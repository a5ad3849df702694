/**
 * @file world.h
 * Deterministic simulation of a cluster: entry hosts with their planners, workers and one log under
 * a common clock, with faults at each interface.
 *
 * Time advances in steps. Each message has a random delay, drawn from the seed of the simulation,
 * and is lost where a fault says so. The workers report every start and end to their callbacks,
 * which the test sets. Hosts, domains and workers are given by index; times are in milliseconds.
 */
#ifndef IV_WORLD_H
#define IV_WORLD_H

#include "fake_log.h"
#include "fake_worker.h"
#include "planner.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>

#define WORLD_DOMAINS 2
#define WORLD_HOSTS 3
#define WORLD_WORKERS 3 /* in each domain */
#define WORLD_STEP_MS 100

/** One entry host: its configuration as read from the log and a planner for each domain. */
struct world_host
{
  char *name;
  gboolean paused; /**< does no work; replies to it are delayed until it resumes */
  gboolean dead;
  gboolean log_partitioned; /**< it can reach neither the log nor the list of workers */
  guint64 incarnation;      /**< differs after each restart */
  struct iv_config *config;
  struct iv_planner *planners[WORLD_DOMAINS];
  guint64 next_offset[WORLD_DOMAINS]; /**< of the stream of the domain, to read from */
  GByteArray *batch[WORLD_DOMAINS];   /**< to append, until read back from the log; or NULL */
  gint64 append_at_ms[WORLD_DOMAINS]; /**< when to append the batch, first or again */
  guint64 config_sequence;
};

/** A message in flight: a sync from a host to a worker, then the reply to it. */
struct world_message
{
  gint64 at_ms; /**< arrival */
  guint host;
  guint domain;
  guint worker;
  guint64 incarnation; /**< of the host; the reply is dropped when it has restarted */
  gint64 sent_ms;
  guint32 worker_id;    /**< id of the worker in the state of its domain */
  struct iv_sync *sync; /**< NULL once delivered */
  struct iv_sync_reply *reply;
};

/** The cluster. Tests read its members and set the faults directly. */
struct world
{
  gint64 now_ms;
  guint64 wall_ms;
  gsl_rng *rng;
  struct iv_planner_options options;
  struct fake_log *log;
  struct world_host hosts[WORLD_HOSTS];
  struct fake_worker *workers[WORLD_DOMAINS][WORLD_WORKERS];
  gboolean worker_listed[WORLD_DOMAINS][WORLD_WORKERS];
  /** Does not reply; its tasks run on. */
  gboolean worker_frozen[WORLD_DOMAINS][WORLD_WORKERS];
  /** The host cannot send to the workers of the domain, and their replies are lost. */
  gboolean partitioned[WORLD_HOSTS][WORLD_DOMAINS];
  gboolean log_down;
  gboolean lossy_log;  /**< some appends are lost, and some confirmations of moves */
  gint64 delay_max_ms; /**< of one message */
  guint64 last_id;     /**< newest boot id, incarnation or sequence number given out */
  GPtrArray *messages; /**< of struct world_message */
  gint64 out_since_ms[WORLD_DOMAINS]; /**< when "out" was appended; -1 while in service */
};

/** Create a cluster without faults. */
struct world *world_new (guint64 seed, const struct iv_planner_options *options);
void world_free (struct world *world);

/** Advance by one step of CLUSTER_STEP_MS. */
void world_step (struct world *world);

/** Advance by @a ms, in whole steps. */
void world_advance (struct world *world, gint64 ms);

/** Append one record to the stream "config", also while faults are set; takes the contents of
 *  @a record. */
void world_append_config (struct world *world, const ivx_record *record);

/** Submit a job; all its tasks are assigned to @a domain. */
void world_submit_job (struct world *world, const char *name, guint domain, guint tasks,
                       guint cpu_milli, guint run_ms, gboolean at_most_once);

/** Cancel a job. */
void world_cancel_job (struct world *world, const char *name);

/** Take a domain out of service or bring it back. */
void world_set_domain_out (struct world *world, guint domain, gboolean out);

/** Restart a host without any state but what the log holds. */
void world_replace_host (struct world *world, guint host);

/** Clear every fault, restart the hosts that are dead and list all workers. */
void world_clear_faults (struct world *world);

/** Expire the records of all domain streams that are older than @a age_ms, except those that follow
 *  the newest complete snapshot: the platform retains records for longer than the interval between
 *  two snapshots of an owner. */
void world_expire_records (struct world *world, gint64 age_ms);

/** Return the planner of the current owner of @a domain, or NULL. */
struct iv_planner *world_owner_planner (struct world *world, guint domain);

/** Return the name of a domain. */
const char *world_domain_name (guint domain);

/** Print the retained batches of the stream @a name, as a diagnostic for failed tests; batches that
 *  hold only renewals and usage are left out. */
void world_print_log (struct world *world, const char *name, FILE *out);

#endif
