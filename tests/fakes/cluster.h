/**
 * @file cluster.h
 * Several planners, workers and one log under a common clock, with faults at each interface.
 *
 * Time moves in steps; messages take the delay that the world's random numbers give them, and are
 * lost where a fault says so. Every start and end on a worker is reported to the oracle's
 * callbacks.
 */
#ifndef IV_CLUSTER_H
#define IV_CLUSTER_H

#include "fake_log.h"
#include "fake_worker.h"
#include "planner.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>

#define CLUSTER_DOMAINS 2
#define CLUSTER_HOSTS 3
#define CLUSTER_WORKERS 3 /* in each domain */
#define CLUSTER_STEP_MS 100

/** One entry host: its folded configuration and a planner for each domain. */
struct cluster_host
{
  char *name;
  gboolean paused;
  gboolean dead;
  gboolean log_partitioned; /**< it reaches neither log nor host list */
  guint64 incarnation;
  struct iv_config *config;
  struct iv_planner *planners[CLUSTER_DOMAINS];
  guint64 next[CLUSTER_DOMAINS]; /**< offset to read from */
  GByteArray *batch[CLUSTER_DOMAINS];
  gint64 append_at[CLUSTER_DOMAINS];
  guint64 config_sequence;
};

/** A message on its way. */
struct cluster_message
{
  gint64 at_ms;
  guint host;
  guint domain;
  guint worker;
  guint64 incarnation;
  gint64 sent_ms;
  guint32 worker_id;
  struct iv_sync *sync;
  struct iv_sync_reply *reply;
};

struct cluster
{
  gint64 now_ms;
  guint64 wall_ms;
  gsl_rng *rng;
  struct iv_planner_options options;
  struct fake_log *log;
  struct cluster_host hosts[CLUSTER_HOSTS];
  struct fake_worker *workers[CLUSTER_DOMAINS][CLUSTER_WORKERS];
  gboolean worker_listed[CLUSTER_DOMAINS][CLUSTER_WORKERS];
  gboolean worker_frozen[CLUSTER_DOMAINS]
                        [CLUSTER_WORKERS];              /**< does not answer; its tasks run on */
  gboolean partitioned[CLUSTER_HOSTS][CLUSTER_DOMAINS]; /**< host to workers */
  gboolean log_down;
  gboolean lossy_log; /**< appends take effect, answers and reads come late */
  gint64 delay_max_ms;
  guint64 last_id;
  GPtrArray *messages;
  gint64 out_since_ms[CLUSTER_DOMAINS]; /**< when "out" was appended; -1 while in service */
};

/** Create a world with everything up. */
struct cluster *cluster_new (guint64 seed, const struct iv_planner_options *options);
void cluster_free (struct cluster *cluster);

/** Let one step pass. */
void cluster_step (struct cluster *cluster);

/** Let @a ms pass. */
void cluster_advance (struct cluster *cluster, gint64 ms);

/** Append one record to "config" at once, as an operator would through a healthy host. */
void cluster_append_config (struct cluster *cluster, const ivx_record *record);

/** Submit a job whose tasks all belong to @a domain. */
void cluster_submit_job (struct cluster *cluster, const char *name, guint domain, guint tasks,
                         guint cpu_milli, guint run_ms, gboolean at_most_once);

/** Cancel a job. */
void cluster_cancel_job (struct cluster *cluster, const char *name);

/** Take a domain out or bring it in. */
void cluster_set_domain_out (struct cluster *cluster, guint domain, gboolean out);

/** Replace a host by a fresh one that knows nothing but the log. */
void cluster_replace_host (struct cluster *cluster, guint host);

/** End every fault. */
void cluster_clear_faults (struct cluster *cluster);

/** Expire records older than @a age_ms from all domain streams, but none after what the last whole
 *  snapshot covers: the platform keeps records for longer than owners take between snapshots. */
void cluster_expire_records (struct cluster *cluster, gint64 age_ms);

/** Planner of the present owner of @a domain, or NULL. */
struct iv_planner *cluster_owner_planner (struct cluster *cluster, guint domain);

/** Name of a domain. */
const char *cluster_domain_name (guint domain);

/** Print the retained batches of the stream @a name, for whoever looks into a failure. */
void cluster_print_log (struct cluster *cluster, const char *name, FILE *out);

#endif
