/**
 * @file settings.h
 * Settings of `ibisvaned`, read from YAML. docs/SETTINGS.md documents every key.
 *
 * Times are durations. Code that uses one computes an absolute deadline from it and stores the
 * deadline.
 */
#ifndef IV_SETTINGS_H
#define IV_SETTINGS_H

#include "schema.h"

#define IV_FILE_BYTES_MAX (1024 * 1024) /**< size limit of a settings file or release note */

/** One of the user's entry hosts. */
struct iv_member
{
  struct iv_location location;
  char *host;
  char *domain;
  char *peers; /**< address for the protocol between entry hosts */
};

/** Listening addresses. */
struct iv_listen_settings
{
  struct iv_location location;
  char *callers;   /**< for requests to services */
  char *operators; /**< for the operator interface */
  char *peers;     /**< for the other entry hosts */
};

/** Connection to the platform. */
struct iv_platform_settings
{
  struct iv_location location;
  char *address;
  gint64 timeout_ms;
  gint64 hosts_interval_ms;  /**< polling interval of the host list */
  gint64 append_interval_ms; /**< minimum time between two appends to one stream */
};

/** Weights of the placement cost, in hundredths. */
struct iv_weight_settings
{
  struct iv_location location;
  gint64 tail;       /**< slowdown of services */
  gint64 throughput; /**< slowdown of batch tasks */
  gint64 packing;    /**< keeping large workers free */
  gint64 spread;     /**< services concentrated on few hosts or racks */
  gint64 caution;    /**< standard deviations added to an estimated slowdown */
  gint64 guard;      /**< limit of the expected slowdown of a service beside batch tasks; 0: none */
};

/** Scheduling of the failure domains that this host owns. */
struct iv_scheduling_settings
{
  struct iv_location location;
  GArray *backup_for;         /**< of `char *`: domains to take over when their owner is silent */
  gint64 lease_ms;            /**< lease of a task on its worker */
  gint64 start_window_ms;     /**< a worker refuses a start that arrives later */
  gint64 evidence_max_age_ms; /**< no start if the domain was last confirmed longer ago */
  gint64 horizon_ms;          /**< an owner partitioned from the log renews leases this long */
  gint64 takeover_ms;         /**< time without records of the owner until another host claims */
  gint64 renew_ms;            /**< interval at which an idle owner appends a record */
  gint64 sync_ms;             /**< interval between two syncs of a worker */
  gint64 sync_timeout_ms;     /**< a sync without a reply counts as lost */
  gint64 drain_ms;            /**< tasks of a domain taken out may finish within this time */
  gint64 cooldown_ms;         /**< time between two throttles or evictions of one task */
  gint64 interference_wait_max_ms; /**< a batch task waits this long not to slow down a service */
  gint64 clock_rate_permille;      /**< largest difference in clock rate between two hosts */
  gint64 starts_per_step;          /**< tasks started in one planning step, at most */
  gint64 snapshot_every;           /**< batches between two snapshots, at most */
  gint64 snapshot_interval_ms;     /**< time between two snapshots, at most */
  gint64 throttle_above;           /**< slowdown of a service, in percent, that throttles others */
  gint64 evict_above;              /**< slowdown, in percent, that evicts a throttled task */
  struct iv_weight_settings weights;
};

/** Routing of requests to upstreams. */
struct iv_routing_settings
{
  struct iv_location location;
  gint64 timeout_ms;             /**< of requests without an x-timeout-ms header */
  gint64 queue_max;              /**< queued requests */
  gint64 retry_percent;          /**< retries per 100 requests */
  gint64 hedge_after_ms;         /**< age at which an idempotent request is hedged; 0: never */
  gint64 silence_timeout_ms;     /**< a call that receives no byte for this long has timed out */
  gint64 eject_ms;               /**< duration of an instance's first ejection */
  gint64 key_window_ms;          /**< retention of idempotency keys */
  gint64 key_append_interval_ms; /**< minimum time between two appends of keys */
  gint64 remote_cost_ms;         /**< added to the cost of instances in other domains */
  gint64 drain_ms;               /**< a planned stop waits this long for open requests */
};

/** Limits of the HTTP servers. */
struct iv_limit_settings
{
  struct iv_location location;
  gint64 body_mib;        /**< size of a request body */
  gint64 answer_mib;      /**< size of an upstream's response */
  gint64 requests;        /**< unanswered requests */
  gint64 connections;     /**< open connections */
  gint64 read_timeout_ms; /**< for a caller to send a whole request */
};

/** Operation on the platform's fleet of workers; unset on hosts that route to upstreams. */
struct iv_fleet_settings
{
  struct iv_location location;
  char *jobs;                 /**< address for job submission */
  char *ready;                /**< address of the readiness check */
  char *metrics;              /**< address of the metrics; NULL: not served */
  char *advice;               /**< address of the advice service; NULL: none */
  gint64 lease_ms;            /**< lease of a run on its worker */
  gint64 lease_max_ms;        /**< a worker shortens a longer lease to this */
  gint64 start_window_ms;     /**< a worker refuses a start that arrives later */
  gint64 evidence_max_age_ms; /**< no start if the operators' commands were last read longer ago */
  gint64 harm_ms; /**< longest time that best-effort tasks keep a tail latency over its target */
  gint64 far_factor_milli; /**< rack-local tasks on several racks take this much longer */
  gint64 gang_wait_ms;     /**< members of a gang that were started wait so long for the others */
  gint64 learn_lengths;    /**< whether durations of tasks are learnt, and used */
  gint64 contact_ms;       /**< time that the platform allows for a change to take effect */
  gint64 heartbeat_ms;     /**< interval at which a worker writes its entry */
  gint64 owner_timeout_ms; /**< an owner not confirmed by the store for this long resigns */
  gint64 owner_partition_timeout_ms; /**< the same, while many workers do not answer it either */
  gint64 horizon_ms;       /**< after it, no run of a previous owner is left on a silent worker */
  gint64 member_ttl_ms;    /**< a member silent for this long is removed from the group */
  gint64 cpu_milli;        /**< CPU of this host, in milli-cores */
  gint64 workers_per_core; /**< workers that a host manages per core; sets the size of cells */
  gint64 delegate;         /**< whether single tasks may be delegated to other cells */
  gint64 revoke_ms;       /**< keys are not trusted without a confirmation this recent; 0: always */
  gint64 choose_cell;     /**< whether a new batch job goes to a cell with room for it */
  gint64 retry_advice;    /**< whether Retry-After is estimated, not constant */
  gint64 stop_timeout_ms; /**< time limit of a planned stop */
  gint64 job_retention_ms; /**< retention of the state of ended jobs */
};

/** Contents of a settings file. */
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
  struct iv_fleet_settings fleet; /**< `jobs` is NULL if the key is missing */
};

/** Parse and check settings. All errors are added to @a findings; use @a settings only if there
 *  were none. The returned document owns the strings and lists of @a settings; never NULL. */
struct iv_document *iv_settings_read (const char *text, gsize len, struct iv_settings *settings,
                                      struct iv_findings *findings);

#endif
