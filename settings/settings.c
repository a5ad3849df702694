#include "settings.h"

#include <stddef.h>
#include <string.h>

#define MEMBERS_MAX 64
#define HOUR_MS 3600000

#define FIELD(type, member, ...)                                                                   \
  {                                                                                                \
    .key = #member, .offset = offsetof (struct type, member), __VA_ARGS__                          \
  }
#define KEYED(key_, type, member, ...)                                                             \
  {                                                                                                \
    .key = key_, .offset = offsetof (struct type, member), __VA_ARGS__                             \
  }

static const char *const levels[] = { "debug", "info", "warning", "error", NULL };

static const struct iv_field member_fields[] = {
  FIELD (iv_member, host, .kind = IV_FIELD_NAME, .required = TRUE),
  FIELD (iv_member, domain, .kind = IV_FIELD_NAME, .required = TRUE),
  FIELD (iv_member, peers, .kind = IV_FIELD_ADDRESS, .required = TRUE),
  { 0 },
};
static const struct iv_schema member_schema
    = { "a member", sizeof (struct iv_member), member_fields };

static const struct iv_field listen_fields[] = {
  FIELD (iv_listen_settings, callers, .kind = IV_FIELD_ADDRESS, .required = TRUE),
  FIELD (iv_listen_settings, operators, .kind = IV_FIELD_ADDRESS, .required = TRUE),
  FIELD (iv_listen_settings, peers, .kind = IV_FIELD_ADDRESS, .required = TRUE),
  { 0 },
};
static const struct iv_schema listen_schema
    = { "listen", sizeof (struct iv_listen_settings), listen_fields };

static const struct iv_field platform_fields[] = {
  FIELD (iv_platform_settings, address, .kind = IV_FIELD_ADDRESS, .required = TRUE),
  KEYED ("timeout", iv_platform_settings, timeout_ms, .kind = IV_FIELD_DURATION,
         .default_value = 2000, .min = 50, .max = 60000),
  KEYED ("hosts_every", iv_platform_settings, hosts_interval_ms, .kind = IV_FIELD_DURATION,
         .default_value = 1000, .min = 100, .max = 60000),
  KEYED ("append_every", iv_platform_settings, append_interval_ms, .kind = IV_FIELD_DURATION,
         .default_value = 20, .min = 1, .max = 5000),
  { 0 },
};
static const struct iv_schema platform_schema
    = { "platform", sizeof (struct iv_platform_settings), platform_fields };

static const struct iv_field weight_fields[] = {
  FIELD (iv_weight_settings, tail, .kind = IV_FIELD_INT, .default_value = 100, .min = 0,
         .max = 10000),
  FIELD (iv_weight_settings, throughput, .kind = IV_FIELD_INT, .default_value = 100, .min = 0,
         .max = 10000),
  FIELD (iv_weight_settings, packing, .kind = IV_FIELD_INT, .default_value = 20, .min = 0,
         .max = 10000),
  FIELD (iv_weight_settings, spread, .kind = IV_FIELD_INT, .default_value = 50, .min = 0,
         .max = 10000),
  FIELD (iv_weight_settings, guard, .kind = IV_FIELD_INT, .default_value = 25, .min = 0,
         .max = 1000),
  FIELD (iv_weight_settings, caution, .kind = IV_FIELD_INT, .default_value = 50, .min = 0,
         .max = 1000),
  { 0 },
};
static const struct iv_schema weight_schema
    = { "weights", sizeof (struct iv_weight_settings), weight_fields };

static const struct iv_field scheduling_fields[] = {
  FIELD (iv_scheduling_settings, backup_for, .kind = IV_FIELD_NAMES, .max = MEMBERS_MAX),
  KEYED ("lease", iv_scheduling_settings, lease_ms, .kind = IV_FIELD_DURATION,
         .default_value = 6000, .min = 200, .max = HOUR_MS),
  KEYED ("start_window", iv_scheduling_settings, start_window_ms, .kind = IV_FIELD_DURATION,
         .default_value = 1000, .min = 50, .max = 5000),
  KEYED ("evidence", iv_scheduling_settings, evidence_max_age_ms, .kind = IV_FIELD_DURATION,
         .default_value = 3000, .min = 200, .max = 10000),
  KEYED ("horizon", iv_scheduling_settings, horizon_ms, .kind = IV_FIELD_DURATION,
         .default_value = 60000, .min = 500, .max = HOUR_MS),
  KEYED ("takeover", iv_scheduling_settings, takeover_ms, .kind = IV_FIELD_DURATION,
         .default_value = 4000, .min = 200, .max = HOUR_MS),
  KEYED ("renew", iv_scheduling_settings, renew_ms, .kind = IV_FIELD_DURATION,
         .default_value = 1000, .min = 50, .max = 60000),
  KEYED ("sync", iv_scheduling_settings, sync_ms, .kind = IV_FIELD_DURATION, .default_value = 1000,
         .min = 50, .max = 60000),
  KEYED ("sync_timeout", iv_scheduling_settings, sync_timeout_ms, .kind = IV_FIELD_DURATION,
         .default_value = 2000, .min = 50, .max = 60000),
  KEYED ("drain", iv_scheduling_settings, drain_ms, .kind = IV_FIELD_DURATION,
         .default_value = 10000, .min = 0, .max = HOUR_MS),
  KEYED ("patience", iv_scheduling_settings, interference_wait_max_ms, .kind = IV_FIELD_DURATION,
         .default_value = 60000, .min = 0, .max = HOUR_MS),
  KEYED ("cooldown", iv_scheduling_settings, cooldown_ms, .kind = IV_FIELD_DURATION,
         .default_value = 10000, .min = 0, .max = HOUR_MS),
  FIELD (iv_scheduling_settings, clock_rate_permille, .kind = IV_FIELD_INT, .default_value = 10,
         .min = 0, .max = 500),
  FIELD (iv_scheduling_settings, starts_per_step, .kind = IV_FIELD_INT, .default_value = 512,
         .min = 1, .max = 2000),
  FIELD (iv_scheduling_settings, snapshot_every, .kind = IV_FIELD_INT, .default_value = 2000,
         .min = 10, .max = 1000000),
  KEYED ("snapshot_interval", iv_scheduling_settings, snapshot_interval_ms,
         .kind = IV_FIELD_DURATION, .default_value = 300000, .min = 1000, .max = 24 * HOUR_MS),
  FIELD (iv_scheduling_settings, throttle_above, .kind = IV_FIELD_INT, .default_value = 25,
         .min = 1, .max = 1000),
  FIELD (iv_scheduling_settings, evict_above, .kind = IV_FIELD_INT, .default_value = 60, .min = 1,
         .max = 1000),
  FIELD (iv_scheduling_settings, weights, .kind = IV_FIELD_MAP, .sub_schema = &weight_schema),
  { 0 },
};
static const struct iv_schema scheduling_schema
    = { "scheduling", sizeof (struct iv_scheduling_settings), scheduling_fields };

static const struct iv_field routing_fields[] = {
  KEYED ("timeout", iv_routing_settings, timeout_ms, .kind = IV_FIELD_DURATION,
         .default_value = 5000, .min = 10, .max = HOUR_MS),
  FIELD (iv_routing_settings, queue_max, .kind = IV_FIELD_INT, .default_value = 2000, .min = 0,
         .max = 100000),
  FIELD (iv_routing_settings, retry_percent, .kind = IV_FIELD_INT, .default_value = 10, .min = 0,
         .max = 100),
  KEYED ("hedge_after", iv_routing_settings, hedge_after_ms, .kind = IV_FIELD_DURATION,
         .default_value = 0, .min = 0, .max = 60000),
  KEYED ("silence", iv_routing_settings, silence_timeout_ms, .kind = IV_FIELD_DURATION,
         .default_value = 2000, .min = 50, .max = 60000),
  KEYED ("eject", iv_routing_settings, eject_ms, .kind = IV_FIELD_DURATION, .default_value = 2000,
         .min = 50, .max = 600000),
  KEYED ("key_window", iv_routing_settings, key_window_ms, .kind = IV_FIELD_DURATION,
         .default_value = 600000, .min = 1000, .max = 24 * HOUR_MS),
  KEYED ("key_group", iv_routing_settings, key_append_interval_ms, .kind = IV_FIELD_DURATION,
         .default_value = 20, .min = 1, .max = 1000),
  KEYED ("remote_cost", iv_routing_settings, remote_cost_ms, .kind = IV_FIELD_DURATION,
         .default_value = 10, .min = 0, .max = 10000),
  KEYED ("drain", iv_routing_settings, drain_ms, .kind = IV_FIELD_DURATION, .default_value = 15000,
         .min = 100, .max = HOUR_MS),
  { 0 },
};
static const struct iv_schema routing_schema
    = { "routing", sizeof (struct iv_routing_settings), routing_fields };

static const struct iv_field limit_fields[] = {
  FIELD (iv_limit_settings, body_mib, .kind = IV_FIELD_INT, .default_value = 1, .min = 1,
         .max = 64),
  FIELD (iv_limit_settings, answer_mib, .kind = IV_FIELD_INT, .default_value = 4, .min = 1,
         .max = 64),
  FIELD (iv_limit_settings, requests, .kind = IV_FIELD_INT, .default_value = 4000, .min = 1,
         .max = 100000),
  FIELD (iv_limit_settings, connections, .kind = IV_FIELD_INT, .default_value = 4000, .min = 1,
         .max = 100000),
  KEYED ("read", iv_limit_settings, read_timeout_ms, .kind = IV_FIELD_DURATION,
         .default_value = 10000, .min = 100, .max = HOUR_MS),
  { 0 },
};
static const struct iv_schema limit_schema
    = { "limits", sizeof (struct iv_limit_settings), limit_fields };

static const struct iv_field fleet_fields[] = {
  FIELD (iv_fleet_settings, jobs, .kind = IV_FIELD_ADDRESS, .required = TRUE),
  FIELD (iv_fleet_settings, ready, .kind = IV_FIELD_ADDRESS, .required = TRUE),
  FIELD (iv_fleet_settings, metrics, .kind = IV_FIELD_ADDRESS),
  FIELD (iv_fleet_settings, advice, .kind = IV_FIELD_ADDRESS),
  KEYED ("lease", iv_fleet_settings, lease_ms, .kind = IV_FIELD_DURATION, .default_value = 5000,
         .min = 1000, .max = HOUR_MS),
  KEYED ("lease_max", iv_fleet_settings, lease_max_ms, .kind = IV_FIELD_DURATION,
         .default_value = 10000, .min = 1000, .max = HOUR_MS),
  KEYED ("start_window", iv_fleet_settings, start_window_ms, .kind = IV_FIELD_DURATION,
         .default_value = 1500, .min = 100, .max = HOUR_MS),
  KEYED ("evidence", iv_fleet_settings, evidence_max_age_ms, .kind = IV_FIELD_DURATION,
         .default_value = 5000, .min = 1000, .max = HOUR_MS),
  KEYED ("contact", iv_fleet_settings, contact_ms, .kind = IV_FIELD_DURATION, .default_value = 3000,
         .min = 100, .max = HOUR_MS),
  KEYED ("heartbeat", iv_fleet_settings, heartbeat_ms, .kind = IV_FIELD_DURATION,
         .default_value = 1000, .min = 100, .max = HOUR_MS),
  KEYED ("harm", iv_fleet_settings, harm_ms, .kind = IV_FIELD_DURATION, .default_value = 4000,
         .min = 100, .max = HOUR_MS),
  KEYED ("far_factor", iv_fleet_settings, far_factor_milli, .kind = IV_FIELD_CPU,
         .default_value = 2000, .min = 1, .max = 1000000),
  KEYED ("gang_wait", iv_fleet_settings, gang_wait_ms, .kind = IV_FIELD_DURATION,
         .default_value = 4000, .min = 100, .max = HOUR_MS),
  FIELD (iv_fleet_settings, learn_lengths, .kind = IV_FIELD_BOOL, .default_value = 0),
  KEYED ("hold", iv_fleet_settings, owner_timeout_ms, .kind = IV_FIELD_DURATION,
         .default_value = 8000, .min = 1000, .max = HOUR_MS),
  KEYED ("hold_cut", iv_fleet_settings, owner_partition_timeout_ms, .kind = IV_FIELD_DURATION,
         .default_value = 3000, .min = 100, .max = HOUR_MS),
  KEYED ("horizon", iv_fleet_settings, horizon_ms, .kind = IV_FIELD_DURATION, .default_value = 8600,
         .min = 1000, .max = HOUR_MS),
  KEYED ("member_ttl", iv_fleet_settings, member_ttl_ms, .kind = IV_FIELD_DURATION,
         .default_value = 1000, .min = 100, .max = HOUR_MS),
  KEYED ("cpu", iv_fleet_settings, cpu_milli, .kind = IV_FIELD_CPU, .default_value = 250, .min = 1,
         .max = 1000000),
  FIELD (iv_fleet_settings, workers_per_core, .kind = IV_FIELD_INT, .default_value = 320, .min = 1,
         .max = 10000),
  FIELD (iv_fleet_settings, delegate, .kind = IV_FIELD_BOOL, .default_value = 1),
  FIELD (iv_fleet_settings, retry_advice, .kind = IV_FIELD_BOOL),
  KEYED ("revoke", iv_fleet_settings, revoke_ms, .kind = IV_FIELD_DURATION, .default_value = 0,
         .min = 0, .max = HOUR_MS),
  FIELD (iv_fleet_settings, choose_cell, .kind = IV_FIELD_BOOL, .default_value = 0),
  KEYED ("grace", iv_fleet_settings, stop_timeout_ms, .kind = IV_FIELD_DURATION,
         .default_value = 5000, .min = 100, .max = HOUR_MS),
  KEYED ("keep", iv_fleet_settings, job_retention_ms, .kind = IV_FIELD_DURATION,
         .default_value = 120000, .min = 1000, .max = 24 * HOUR_MS),
  { 0 },
};
static const struct iv_schema fleet_schema
    = { "fleet", sizeof (struct iv_fleet_settings), fleet_fields };

static const struct iv_field settings_fields[] = {
  FIELD (iv_settings, user, .kind = IV_FIELD_NAME, .required = TRUE),
  FIELD (iv_settings, host, .kind = IV_FIELD_NAME, .required = TRUE),
  FIELD (iv_settings, domain, .kind = IV_FIELD_NAME, .required = TRUE),
  FIELD (iv_settings, log_level, .kind = IV_FIELD_CHOICE, .choices = levels, .default_value = 1),
  FIELD (iv_settings, listen, .kind = IV_FIELD_MAP, .sub_schema = &listen_schema, .required = TRUE),
  FIELD (iv_settings, platform, .kind = IV_FIELD_MAP, .sub_schema = &platform_schema,
         .required = TRUE),
  FIELD (iv_settings, members, .kind = IV_FIELD_LIST, .sub_schema = &member_schema,
         .required = TRUE, .min = 1, .max = MEMBERS_MAX),
  FIELD (iv_settings, scheduling, .kind = IV_FIELD_MAP, .sub_schema = &scheduling_schema),
  FIELD (iv_settings, routing, .kind = IV_FIELD_MAP, .sub_schema = &routing_schema),
  FIELD (iv_settings, limits, .kind = IV_FIELD_MAP, .sub_schema = &limit_schema),
  FIELD (iv_settings, fleet, .kind = IV_FIELD_MAP, .sub_schema = &fleet_schema),
  { 0 },
};
static const struct iv_schema settings_schema
    = { "the settings", sizeof (struct iv_settings), settings_fields };

/* After the horizon a new owner assumes that the previous one has stopped renewing leases and that
   the last leases have expired; the lease is counted with a margin of 2 %. */
static void
check_fleet (const struct iv_settings *settings, struct iv_findings *findings)
{
  const struct iv_fleet_settings *fleet = &settings->fleet;
  if (fleet->jobs
      && fleet->horizon_ms < fleet->owner_partition_timeout_ms + fleet->lease_ms * 102 / 100)
    iv_findings_add (findings, fleet->location,
                     "horizon must be at least hold_cut and 1.02 times lease, or tasks run twice");
  if (fleet->jobs && fleet->lease_max_ms < fleet->lease_ms)
    iv_findings_add (findings, fleet->location, "lease_max must not be below lease");
  if (fleet->jobs && fleet->owner_timeout_ms < fleet->owner_partition_timeout_ms)
    iv_findings_add (findings, fleet->location, "hold must not be below hold_cut");
}

static const struct iv_member *
member_at (const struct iv_settings *settings, guint i)
{
  return &g_array_index (settings->members, struct iv_member, i);
}

static void
check_members (const struct iv_settings *settings, struct iv_findings *findings)
{
  gboolean found = FALSE;
  for (guint i = 0; i < settings->members->len; i++)
    {
      const struct iv_member *member = member_at (settings, i);
      for (guint j = 0; j < i; j++)
        if (strcmp (member_at (settings, j)->host, member->host) == 0)
          iv_findings_add (findings, member->location, "duplicate name \"%s\" in members",
                           member->host);
        else if (strcmp (member_at (settings, j)->peers, member->peers) == 0)
          iv_findings_add (findings, member->location, "address %s is used by two members",
                           member->peers);
      if (strcmp (member->host, settings->host) != 0)
        continue;
      found = TRUE;
      if (strcmp (member->domain, settings->domain) != 0)
        iv_findings_add (findings, member->location,
                         "member \"%s\" is in \"%s\", but domain says \"%s\"", member->host,
                         member->domain, settings->domain);
    }
  if (!found)
    iv_findings_add (findings, settings->location, "host \"%s\" is not among the members",
                     settings->host);
}

static gboolean
domain_exists (const struct iv_settings *settings, const char *domain)
{
  for (guint i = 0; i < settings->members->len; i++)
    if (strcmp (member_at (settings, i)->domain, domain) == 0)
      return TRUE;
  return FALSE;
}

static void
check_scheduling (const struct iv_settings *settings, struct iv_findings *findings)
{
  const struct iv_scheduling_settings *s = &settings->scheduling;
  struct iv_location location = s->location.line ? s->location : settings->location;
  for (guint i = 0; i < s->backup_for->len; i++)
    {
      const char *domain = g_array_index (s->backup_for, char *, i);
      if (!domain_exists (settings, domain))
        iv_findings_add (findings, location, "backup_for: no member is in \"%s\"", domain);
    }
  if (s->lease_ms < 2 * s->sync_ms)
    iv_findings_add (findings, location,
                     "lease must be at least twice sync, or one lost sync stops tasks");
  if (s->takeover_ms < 2 * s->renew_ms)
    iv_findings_add (findings, location,
                     "takeover must be at least twice renew, or owners alternate");
  if (s->evict_above < s->throttle_above)
    iv_findings_add (findings, location, "evict_above must not be below throttle_above");
}

struct iv_document *
iv_settings_read (const char *text, gsize len, struct iv_settings *settings,
                  struct iv_findings *findings)
{
  struct iv_document *document;
  memset (settings, 0, sizeof *settings);
  document = iv_document_read (text, len, &settings_schema, settings, findings);
  if (iv_findings_count (findings) > 0)
    return document;
  check_members (settings, findings);
  check_scheduling (settings, findings);
  check_fleet (settings, findings);
  return document;
}
