/**
 * @file settings.h
 * Settings of `ibisvaned`, read from YAML. docs/SETTINGS.md documents every key.
 *
 * Intervals in a file are relative by nature; code that uses one computes a deadline from it and
 * stores that.
 */
#ifndef IV_SETTINGS_H
#define IV_SETTINGS_H

#include "schema.h"

#define IV_FILE_BYTES_MAX (1024 * 1024) /**< of a settings file or release note */

/** One entry host of the user. */
struct iv_member
{
  struct iv_location location;
  char *host;
  char *domain;
  char *peers; /**< address for the inner protocol */
};

struct iv_listen_settings
{
  struct iv_location location;
  char *callers;
  char *operators;
  char *peers;
};

struct iv_platform_settings
{
  struct iv_location location;
  char *address;
  gint64 timeout_ms;
  gint64 hosts_interval_ms;  /**< between two readings of the host list */
  gint64 append_interval_ms; /**< least time between two appends of one stream */
};

struct iv_weight_settings
{
  struct iv_location location;
  gint64 tail;
  gint64 throughput;
  gint64 packing;
  gint64 spread;
  gint64 caution;
  gint64 guard;
};

struct iv_scheduling_settings
{
  struct iv_location location;
  GArray
      *backup_for; /**< of `char *`: other domains that this host takes over when they are silent */
  gint64 lease_ms;
  gint64 start_window_ms;
  gint64 evidence_max_age_ms;
  gint64 horizon_ms;
  gint64 takeover_ms;
  gint64 renew_ms;
  gint64 sync_ms;
  gint64 sync_timeout_ms;
  gint64 drain_ms;
  gint64 cooldown_ms;
  gint64 interference_wait_max_ms;
  gint64 clock_rate_permille;
  gint64 starts_per_step;
  gint64 snapshot_every;
  gint64 snapshot_interval_ms;
  gint64 throttle_above; /**< percent */
  gint64 evict_above;    /**< percent */
  struct iv_weight_settings weights;
};

struct iv_routing_settings
{
  struct iv_location location;
  gint64 timeout_ms; /**< of a request that names none */
  gint64 queue_max;
  gint64 retry_percent;          /**< retries for each hundred requests */
  gint64 hedge_after_ms;         /**< 0: never */
  gint64 silence_timeout_ms;     /**< without a byte a call counts as silent */
  gint64 eject_ms;               /**< first time that an instance is put aside */
  gint64 key_window_ms;          /**< for how long an idempotency key is remembered */
  gint64 key_append_interval_ms; /**< least time between two appends of keys */
  gint64 remote_cost_ms;         /**< added to the expected time of an instance in another domain */
  gint64 drain_ms;               /**< longest time that a planned stop waits for requests */
};

struct iv_limit_settings
{
  struct iv_location location;
  gint64 body_mib;
  gint64 answer_mib;
  gint64 requests;
  gint64 connections;
  gint64 read_timeout_ms;
};

/** How the host runs on the platform's fleet of workers; unset where it serves upstreams. */
struct iv_fleet_settings
{
  struct iv_location location;
  char *jobs;             /**< address for callers who hand in jobs */
  char *ready;            /**< address of the readiness check */
  char *metrics;          /**< address of the metrics; NULL: they are not served */
  char *advice;           /**< address of the advice service; NULL: there is none */
  gint64 lease_ms;        /**< of what runs on a worker */
  gint64 start_window_ms; /**< a worker refuses a start that arrives later */
  gint64
      evidence_max_age_ms; /**< no start when it is longer ago that the operators' word was read */
  gint64 owner_timeout_ms; /**< an owner that the store did not confirm for longer gives up */
  gint64 owner_partition_timeout_ms; /**< the same, while many workers are silent to it as well */
  gint64 horizon_ms;       /**< nothing of a former owner runs on a silent worker after it */
  gint64 member_ttl_ms;    /**< a candidate that is silent for longer has left */
  gint64 cpu_milli;        /**< of a core, that this host has */
  gint64 workers_per_core; /**< a cell has about as many workers as a host's cores carry */
  gint64 stop_timeout_ms;  /**< for a planned stop */
  gint64 job_retention_ms; /**< for which the state of an ended job is told */
};

/** The whole file. */
struct iv_settings
{
  struct iv_location location;
  char *user;
  char *host;
  char *domain;
  gint64 log_level; /**< enum iv_level */
  struct iv_listen_settings listen;
  struct iv_platform_settings platform;
  GArray *members; /**< of struct iv_member */
  struct iv_scheduling_settings scheduling;
  struct iv_routing_settings routing;
  struct iv_limit_settings limits;
  struct iv_fleet_settings fleet; /**< `jobs` is NULL when it is not given */
};

/** Read and check settings. Everything wrong is added to @a findings. The document owns what
 *  @a settings points to. */
struct iv_document *iv_settings_read (const char *text, gsize len, struct iv_settings *settings,
                                      struct iv_findings *findings);

#endif
