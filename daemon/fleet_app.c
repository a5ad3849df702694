#include "fleet_app.h"

#include "cap_task.h"
#include "cell_loads.h"
#include "cell_task.h"
#include "clock.h"
#include "counter.h"
#include "event.h"
#include "front_task.h"
#include "layout_task.h"
#include "metrics_task.h"
#include "names.h"

#include <string.h>

#define MIB (1024 * 1024)
/* Longer than any call: calls end by their own deadlines, not by this timeout. */
#define CALL_IDLE_TIMEOUT_MS 3600000
#define OPERATORS_WAIT_MS 1000 /* a longer wait would hide an unresponsive connection */
#define OPERATORS_READ_DELAY_MS 50
#define JOBS_WAIT_MS 1000
/* Callers get job states as last read; the platform allows them to be seconds old. */
#define JOBS_READ_DELAY_MS 500
/* When all hosts have restarted, the store is busy for seconds with their loads: those that may own
   cells come first. */
#define STANDBY_LOAD_DELAY_MS 600
#define ACCEPT_BATCH_DELAY_MS 2
#define ACCEPT_UNKNOWN_TIMEOUT_MS 2500 /* callers wait about this long */
#define ACCEPT_MAX_AGE_MS 60000
/* The load balancer removes a host after two failed checks, one second apart. */
#define UNREADY_BEFORE_STOP_MS 2500
#define SHUTDOWN_POLL_MS 50
#define REBALANCE_INTERVAL_MS 2000
#define RELEASE_MIN_OWNED_MS 5000 /* a change of owner stops the cell for about a second */
#define SWEEP_INTERVAL_MS 5000
#define RETENTION_MARGIN_MS 30000 /* the clocks of hosts differ by seconds at worst */

struct iv_fleet_app
{
  uv_loop_t *loop;
  const struct iv_settings *settings;
  struct iv_deadlines *deadlines;
  struct iv_store *store;
  struct iv_job_table *job_table;
  struct iv_queues *queues;
  struct iv_routes *routes;
  GHashTable *domains_out; /* set of the names of failure domains out of service */
  struct iv_stream *jobs;
  struct iv_stream *operators;
  struct iv_recorder *recorder;
  struct iv_membership *membership;
  struct iv_layout_task *layout;
  struct iv_call_limits *worker_limits; /* of the calls to workers */
  struct iv_cell_task *cells[IV_CELLS_MAX];
  struct iv_cell_loads *loads;
  struct iv_cap_rows *caps; /* records of the parts of caps */
  gboolean listing_members; /* a request for the members, for rebalance_cells(), is pending */
  gint64 next_rebalance_ms;
  struct iv_front_task *front;
  struct iv_deadline shutdown_poll;
  struct iv_deadline sweep;
  gint64 stop_listening_ms;
  gint64 shutdown_deadline_ms;
  gboolean leaving;
  gboolean stopped;
};

static const struct iv_routes *
get_routes (void *context)
{
  return ((struct iv_fleet_app *)context)->routes;
}

static gint64
config_age_ms (void *context)
{
  return iv_stream_age_ms (((struct iv_fleet_app *)context)->operators);
}

static gboolean
is_domain_in_service (void *context, const char *domain)
{
  return !g_hash_table_contains (((struct iv_fleet_app *)context)->domains_out, domain);
}

static const struct iv_layout *
get_layout (void *context)
{
  return iv_layout_task_layout (((struct iv_fleet_app *)context)->layout);
}

static gint64
now_ms (const struct iv_fleet_app *app)
{
  return (gint64)uv_now (app->loop);
}

/* The layout alone tells which cell has the rack that a step names: such a job moves nowhere else.
 */
static gint
find_move_target (void *context, guint cell, const struct iv_move_needs *needs)
{
  struct iv_fleet_app *app = context;
  const struct iv_layout *layout = get_layout (app);
  struct iv_move_needs rest = *needs;
  gint rack_cell = -1;
  gint target;
  rest.steps = g_ptr_array_new ();
  for (guint i = 0; i < needs->steps->len; i++)
    {
      ivj_step *step = g_ptr_array_index (needs->steps, i);
      gint named = iv_layout_rack_cell (layout, step->label);
      if (named < 0)
        g_ptr_array_add (rest.steps, step);
      else
        rack_cell = rack_cell < 0 || rack_cell == named ? named : (gint)cell;
    }
  target = rack_cell == (gint)cell
               ? -1
               : iv_cell_loads_find_target (app->loads, cell, rack_cell, &rest, now_ms (app));
  g_ptr_array_unref (rest.steps);
  return target;
}

static gint
find_delegate (void *context, guint cell, const char *service, const ivj_step *step)
{
  struct iv_fleet_app *app = context;
  return iv_cell_loads_find_delegate (app->loads, cell, service, step, now_ms (app));
}

static guint
count_elsewhere (void *context, guint cell, const struct iv_piece *need)
{
  const struct iv_fleet_app *app = context;
  return iv_cell_loads_count_elsewhere (app->loads, cell, need, now_ms (app));
}

static gboolean
has_capacity (void *context, const struct iv_job_entry *job)
{
  struct iv_fleet_app *app = context;
  return iv_cell_loads_admit (app->loads, iv_job_long_running_milli (&job->spec), now_ms (app));
}

static guint
choose_cell (void *context, guint cell, const struct iv_move_needs *needs, double draw)
{
  struct iv_fleet_app *app = context;
  return iv_cell_loads_choose (app->loads, cell, needs, draw, now_ms (app));
}

static void
on_job_changed (void *context, struct iv_job_entry *job)
{
  struct iv_fleet_app *app = context;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    iv_cell_task_changed (app->cells[i], job);
}

static void
apply_load (struct iv_fleet_app *app, guint cell, const guint8 *value, gsize len)
{
  char *text = g_strndup ((const char *)value, len);
  iv_cell_loads_apply (app->loads, cell, text, now_ms (app));
  g_free (text);
}

static void
apply_claim (struct iv_fleet_app *app, guint cell, const guint8 *value, gsize len)
{
  iv_cell_task_apply_claim (app->cells[cell], (const char *)value, len);
}

static void
apply_handover (struct iv_fleet_app *app, guint cell, const guint8 *value, gsize len)
{
  iv_cell_task_apply_handover (app->cells[cell], (const char *)value, len);
}

static void
apply_roster (struct iv_fleet_app *app, guint cell, const guint8 *value, gsize len)
{
  iv_cell_task_apply_roster (app->cells[cell], value, len);
}

static void
apply_model (struct iv_fleet_app *app, guint cell, const guint8 *value, gsize len)
{
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    iv_cell_task_apply_model (app->cells[i], cell, value, len);
}

/* The key of a cell's record ends with the cell's number. FALSE when @a key is not of this form. */
static gboolean
apply_cell_record (struct iv_fleet_app *app, const char *key, const guint8 *value, gsize len)
{
  static const struct
  {
    const char *prefix;
    void (*apply) (struct iv_fleet_app *app, guint cell, const guint8 *value, gsize len);
  } kinds[] = { { IV_KEY_OWNER, apply_claim },
                { IV_KEY_HANDOVER, apply_handover },
                { IV_KEY_ROSTER, apply_roster },
                { IV_KEY_MODEL, apply_model },
                { IV_KEY_LOAD, apply_load } };
  for (guint i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      guint64 cell;
      if (!g_str_has_prefix (key, kinds[i].prefix))
        continue;
      if (value
          && g_ascii_string_to_unsigned (key + strlen (kinds[i].prefix), 10, 0, IV_CELLS_MAX - 1,
                                         &cell, NULL))
        kinds[i].apply (app, (guint)cell, value, len);
      return TRUE;
    }
  return FALSE;
}

/* A record of the jobs' topic that is of no cell: of the layout, a queue or a job. */
static enum iv_status
apply_common_record (struct iv_fleet_app *app, const char *key, const guint8 *value, gsize len)
{
  if (strcmp (key, IV_KEY_LAYOUT) == 0)
    {
      if (value)
        iv_layout_task_apply (app->layout, (const char *)value, len);
      return IV_OK;
    }
  if (g_str_has_prefix (key, IV_KEY_CAP))
    return iv_cap_task_apply (app->caps, key, value, len, now_ms (app));
  if (g_str_has_prefix (key, IV_KEY_QUEUE))
    return value ? iv_queues_apply (app->queues, value, len) : IV_OK;
  return iv_job_table_apply (app->job_table, key, value, len);
}

static void
apply_job_record (void *context, const char *key, const guint8 *value, gsize len)
{
  struct iv_fleet_app *app = context;
  if (!apply_cell_record (app, key, value, len)
      && apply_common_record (app, key, value, len) != IV_OK)
    iv_event (IV_LEVEL_WARNING, "record.ignored", "key=%s reason=%s", iv_quote (key),
              iv_quote (iv_last_message ()));
}

static void
apply_config (struct iv_fleet_app *app, const guint8 *value, gsize len)
{
  struct iv_routes *routes = value ? iv_wire_parse_config (value, len) : NULL;
  if (routes == NULL || (app->routes && routes->version < app->routes->version))
    {
      iv_event (IV_LEVEL_WARNING, "config.ignored", "bytes=%zu", len);
      iv_routes_free (routes);
      return;
    }
  iv_event (IV_LEVEL_INFO, "config.in_force", "version=%" G_GINT64_FORMAT " queues=%u",
            routes->version, routes->routes->len);
  iv_routes_free (app->routes);
  app->routes = routes;
}

static void
apply_domain_out (struct iv_fleet_app *app, const char *domain, gboolean out)
{
  iv_event (IV_LEVEL_INFO, out ? "domain.out" : "domain.in", "domain=%s", domain);
  if (out)
    g_hash_table_add (app->domains_out, g_strdup (domain));
  else
    g_hash_table_remove (app->domains_out, domain);
}

static void
apply_operator_record (void *context, const char *key, const guint8 *value, gsize len)
{
  struct iv_fleet_app *app = context;
  if (strcmp (key, IV_KEY_CONFIG) == 0)
    apply_config (app, value, len);
  else if (g_str_has_prefix (key, IV_KEY_DOMAIN_OUT))
    apply_domain_out (app, key + strlen (IV_KEY_DOMAIN_OUT), value != NULL);
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    iv_cell_task_changed (app->cells[i], NULL);
}

static void
ignore_barrier (void *context)
{
}

/* A load does not count as a complete read. Without a barrier the first read would wait for a
   record, and requests that need a key would be refused meanwhile. */
static void
on_operators_loaded (void *context)
{
  struct iv_fleet_app *app = context;
  if (app->settings->fleet.revoke_ms > 0)
    iv_stream_barrier (app->operators, ignore_barrier, app);
}

/* The configuration is confirmed anew often enough for keys to be trusted while the store
   answers. */
static gint64
operators_wait_ms (const struct iv_fleet_app *app)
{
  gint64 revoke_ms = app->settings->fleet.revoke_ms;
  return revoke_ms > 0 ? MIN (OPERATORS_WAIT_MS, revoke_ms / 4) : OPERATORS_WAIT_MS;
}

static void
start_streams (struct iv_fleet_app *app)
{
  struct iv_stream_options jobs
      = { .topic = IV_TOPIC_JOBS,
          .wait_ms = JOBS_WAIT_MS,
          .read_delay_ms = JOBS_READ_DELAY_MS,
          .first_read_delay_ms
          = iv_membership_is_small (&app->settings->fleet) ? STANDBY_LOAD_DELAY_MS : 0,
          .apply = apply_job_record,
          .context = app };
  struct iv_stream_options operators = { .topic = IV_TOPIC_OPERATORS,
                                         .wait_ms = operators_wait_ms (app),
                                         .read_delay_ms = OPERATORS_READ_DELAY_MS,
                                         .apply = apply_operator_record,
                                         .loaded = on_operators_loaded,
                                         .context = app };
  app->jobs = iv_stream_new (app->loop, app->deadlines, app->store, &jobs);
  app->operators = iv_stream_new (app->loop, app->deadlines, app->store, &operators);
}

static gboolean
is_idle (void *context)
{
  struct iv_fleet_app *app = context;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    if (iv_cell_task_owns (app->cells[i]) || iv_cell_task_is_claiming (app->cells[i]))
      return FALSE;
  return TRUE;
}

static gboolean
member_claims_any (const struct iv_fleet_app *app, const char *member)
{
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    if (iv_cell_task_is_claimed_by (app->cells[i], member))
      return TRUE;
  return FALSE;
}

/* After failures one host may own several cells while others own none: release one cell. */
static void
on_members (void *context, const GPtrArray *members)
{
  struct iv_fleet_app *app = context;
  gboolean others_idle = FALSE;
  app->listing_members = FALSE;
  for (guint i = 0; members && i < members->len; i++)
    others_idle |= !member_claims_any (app, g_ptr_array_index (members, i));
  for (guint i = 0; others_idle && i < IV_CELLS_MAX; i++)
    if (iv_cell_task_owned_ms (app->cells[i]) > RELEASE_MIN_OWNED_MS)
      {
        iv_cell_task_release (app->cells[i]);
        return;
      }
}

static void
rebalance_cells (struct iv_fleet_app *app)
{
  gint64 now = (gint64)uv_now (app->loop);
  guint owned = 0;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    owned += iv_cell_task_owns (app->cells[i]);
  if (owned < 2 || app->listing_members || now < app->next_rebalance_ms)
    return;
  app->listing_members = TRUE;
  app->next_rebalance_ms = now + REBALANCE_INTERVAL_MS;
  iv_membership_list (app->membership, on_members, app);
}

static void
on_entered_standby (void *context)
{
  struct iv_fleet_app *app = context;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    iv_cell_task_release (app->cells[i]);
}

static void
on_member_confirmed (void *context)
{
  struct iv_fleet_app *app = context;
  rebalance_cells (app);
  iv_layout_task_member_confirmed (app->layout);
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    iv_cell_task_member_confirmed (app->cells[i]);
}

static void
start_membership (struct iv_fleet_app *app)
{
  struct iv_membership_deps membership_deps = { .loop = app->loop,
                                                .deadlines = app->deadlines,
                                                .store = app->store,
                                                .host = app->settings->host,
                                                .settings = &app->settings->fleet,
                                                .context = app,
                                                .confirmed = on_member_confirmed,
                                                .entered_standby = on_entered_standby };
  struct iv_layout_task_deps layout_deps = { .loop = app->loop,
                                             .deadlines = app->deadlines,
                                             .store = app->store,
                                             .jobs = app->jobs,
                                             .settings = &app->settings->fleet };
  app->membership = iv_membership_new (&membership_deps);
  layout_deps.membership = app->membership;
  app->layout = iv_layout_task_new (&layout_deps);
}

static void
start_cells (struct iv_fleet_app *app)
{
  struct iv_cell_task_deps deps = { .loop = app->loop,
                                    .deadlines = app->deadlines,
                                    .store = app->store,
                                    .jobs = app->jobs,
                                    .operators = app->operators,
                                    .job_table = app->job_table,
                                    .queues = app->queues,
                                    .membership = app->membership,
                                    .caps = app->caps,
                                    .settings = &app->settings->fleet,
                                    .context = app,
                                    .layout = get_layout,
                                    .routes = get_routes,
                                    .is_domain_in_service = is_domain_in_service,
                                    .is_idle = is_idle,
                                    .find_move_target = find_move_target,
                                    .choose_cell = choose_cell,
                                    .find_delegate = find_delegate,
                                    .count_elsewhere = count_elsewhere };
  app->worker_limits = iv_call_limits_new ();
  deps.worker_limits = app->worker_limits;
  deps.workers = iv_http_client_new (app->loop, app->deadlines, CALL_IDLE_TIMEOUT_MS, 4 * MIB);
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    app->cells[i] = iv_cell_task_new (&deps, i);
  iv_job_table_watch (app->job_table, on_job_changed, app);
}

static gboolean
start_front (struct iv_fleet_app *app)
{
  struct iv_front_task_deps deps = { .loop = app->loop,
                                     .deadlines = app->deadlines,
                                     .jobs = app->jobs,
                                     .job_table = app->job_table,
                                     .queues = app->queues,
                                     .settings = app->settings,
                                     .context = app,
                                     .routes = get_routes,
                                     .config_age_ms = config_age_ms,
                                     .has_capacity = has_capacity };
  /* A writer name per process, so that its sequence numbers start from 0. */
  char *writer = g_strdup_printf ("%s-%08x", app->settings->host, g_random_int ());
  /* Ended jobs and tombstones, which are kept for the retention time, outlast every submission. */
  const struct iv_recorder_times times
      = { .batch_delay = ACCEPT_BATCH_DELAY_MS,
          .unknown_timeout = ACCEPT_UNKNOWN_TIMEOUT_MS,
          .max_age = MIN (ACCEPT_MAX_AGE_MS, app->settings->fleet.job_retention_ms / 2) };
  deps.recorder
      = iv_recorder_new (app->loop, app->deadlines, app->store, IV_TOPIC_JOBS, writer, 1, &times);
  g_free (writer);
  app->recorder = deps.recorder;
  app->front = iv_front_task_new (&deps);
  return app->front != NULL;
}

static void
collect_expired (void *context, struct iv_job_entry *job)
{
  GPtrArray *expired = ((gpointer *)context)[0];
  gint64 ended_before_ms = *(gint64 *)((gpointer *)context)[1];
  if (iv_job_state_is_final (job->progress.state) && job->progress.ended_ms < ended_before_ms)
    g_ptr_array_add (expired, job);
}

static gboolean
owns_cell_of (struct iv_fleet_app *app, const struct iv_job_entry *job)
{
  const struct iv_layout *layout = get_layout (app);
  return layout && iv_cell_task_owns (app->cells[iv_layout_job_cell (layout, job)]);
}

static void
delete_keys (struct iv_fleet_app *app, const struct iv_job_entry *job)
{
  GPtrArray *keys = iv_job_keys (job);
  for (guint i = 0; i < keys->len; i++)
    iv_recorder_add (app->recorder, g_ptr_array_index (keys, i), NULL, 0, NULL, NULL);
  g_ptr_array_unref (keys);
}

/* Deletes the key of a tombstone, unless its job has not ended yet: a host that restarts must read
   that the job was cancelled. */
static void
delete_tombstone (void *context, const char *key, const char *id)
{
  struct iv_fleet_app *app = context;
  const struct iv_job_entry *job = iv_job_table_find (app->job_table, id);
  if (job == NULL || iv_job_state_is_final (job->progress.state))
    iv_recorder_add (app->recorder, key, NULL, 0, NULL, NULL);
}

/* Ended jobs stay queryable for the retention time. Then every host removes them from its table,
   and the owner of their cell deletes their keys. */
static void
on_sweep (void *context)
{
  struct iv_fleet_app *app = context;
  gint64 ended_before_ms;
  GPtrArray *expired = g_ptr_array_new ();
  gpointer collect_args[2] = { expired, &ended_before_ms };
  ended_before_ms
      = iv_clock_wall_ms () - app->settings->fleet.job_retention_ms - RETENTION_MARGIN_MS;
  iv_job_table_foreach (app->job_table, collect_expired, collect_args);
  for (guint i = 0; i < expired->len; i++)
    {
      const struct iv_job_entry *job = g_ptr_array_index (expired, i);
      if (owns_cell_of (app, job))
        delete_keys (app, job);
      iv_job_table_remove (app->job_table, job->id);
    }
  g_ptr_array_free (expired, TRUE);
  if (iv_cell_task_owns (app->cells[0]))
    iv_tombstones_foreach_before (iv_job_table_tombstones (app->job_table), ended_before_ms,
                                  delete_tombstone, app);
  iv_deadline_set (app->deadlines, &app->sweep, (gint64)uv_now (app->loop) + SWEEP_INTERVAL_MS);
}

static void
set_gauge (const char *name, const char *help, gint64 value)
{
  iv_gauge_set (iv_gauge_get (name, "", help), value);
}

static void
refresh_gauges (void *context)
{
  struct iv_fleet_app *app = context;
  gint64 owned = 0;
  gint64 suspended = 0;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    {
      owned += iv_cell_task_owns (app->cells[i]);
      suspended += iv_cell_task_is_suspended (app->cells[i]);
    }
  set_gauge ("ibisvane_cells_owned", "Cells owned by this host.", owned);
  set_gauge ("ibisvane_cells_suspended", "Owned cells whose owner may not act.", suspended);
  set_gauge ("ibisvane_start_window", "Starts that may be in progress at the same time.",
             iv_call_limits_window (app->worker_limits));
  set_gauge ("ibisvane_jobs_known", "Jobs in the job table.", iv_job_table_size (app->job_table));
  set_gauge ("ibisvane_tombstones", "Cancellations kept of ids that no job was known for.",
             iv_tombstones_count (iv_job_table_tombstones (app->job_table)));
  set_gauge ("ibisvane_requests_pending", "Requests not answered yet.",
             iv_front_task_pending (app->front));
  set_gauge ("ibisvane_jobs_age_ms", "Age of the last read to the end of the jobs stream, in ms.",
             iv_stream_age_ms (app->jobs));
  set_gauge ("ibisvane_operators_age_ms",
             "Age of the last read to the end of the operators stream, in ms.",
             iv_stream_age_ms (app->operators));
  set_gauge ("ibisvane_member_age_ms",
             "Age of the last confirmation of the membership by the store, in ms.",
             iv_membership_unconfirmed_ms (app->membership));
  set_gauge ("ibisvane_config_version", "Version of the configuration in force.",
             app->routes ? app->routes->version : 0);
}

struct iv_fleet_app *
iv_fleet_app_new (uv_loop_t *loop, const struct iv_settings *settings)
{
  struct iv_fleet_app *app = g_new0 (struct iv_fleet_app, 1);
  struct iv_http_client *client;
  app->loop = loop;
  app->settings = settings;
  app->deadlines = iv_deadlines_new (loop);
  app->job_table = iv_job_table_new ();
  app->queues = iv_queues_new ();
  app->loads = iv_cell_loads_new ();
  app->caps = iv_cap_rows_new ();
  app->domains_out = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  client = iv_http_client_new (loop, app->deadlines, CALL_IDLE_TIMEOUT_MS, 16 * MIB);
  app->store = iv_store_new (client, settings->platform.address);
  start_streams (app);
  start_membership (app);
  start_cells (app);
  if (!start_front (app))
    return NULL;
  if (settings->fleet.metrics
      && !iv_metrics_task_start (loop, settings->fleet.metrics, refresh_gauges, app))
    iv_event (IV_LEVEL_WARNING, "metrics.unavailable", "address=%s reason=%s",
              settings->fleet.metrics, iv_quote (iv_last_message ()));
  app->sweep.fire = on_sweep;
  app->sweep.context = app;
  iv_deadline_set (app->deadlines, &app->sweep, (gint64)uv_now (loop) + SWEEP_INTERVAL_MS);
  return app;
}

static void
on_shutdown_poll (void *context)
{
  struct iv_fleet_app *app = context;
  gint64 now = (gint64)uv_now (app->loop);
  if (!app->stopped && now >= app->stop_listening_ms)
    {
      app->stopped = TRUE;
      iv_front_task_stop (app->front);
    }
  if (app->stopped && (iv_front_task_pending (app->front) == 0 || now >= app->shutdown_deadline_ms))
    {
      iv_event (IV_LEVEL_INFO, "host.stopped", "unanswered=%u", iv_front_task_pending (app->front));
      uv_stop (app->loop);
      return;
    }
  iv_deadline_set (app->deadlines, &app->shutdown_poll, now + SHUTDOWN_POLL_MS);
}

void
iv_fleet_app_leave (struct iv_fleet_app *app)
{
  gint64 now = (gint64)uv_now (app->loop);
  if (app->leaving)
    return;
  app->leaving = TRUE;
  iv_event (IV_LEVEL_INFO, "host.leaving", "pending=%u", iv_front_task_pending (app->front));
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    iv_cell_task_resign (app->cells[i]);
  iv_membership_leave (app->membership);
  iv_front_task_set_unready (app->front);
  app->stop_listening_ms
      = now + MIN (UNREADY_BEFORE_STOP_MS, app->settings->fleet.stop_timeout_ms / 2);
  app->shutdown_deadline_ms = now + app->settings->fleet.stop_timeout_ms;
  app->shutdown_poll.fire = on_shutdown_poll;
  app->shutdown_poll.context = app;
  iv_deadline_set (app->deadlines, &app->shutdown_poll, now);
}
