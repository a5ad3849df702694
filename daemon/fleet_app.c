#include "fleet_app.h"

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
#define CALL_SILENCE_MS 3600000 /* calls end by their own deadlines */
#define OPERATORS_WAIT_MS 1000  /* a read that waits longer hides a silent connection */
#define OPERATORS_GAP_MS 50
#define JOBS_WAIT_MS 1000
#define JOBS_GAP_MS 500 /* states are told as last read; a bound of the platform is seconds */
#define ACCEPT_GATHER_MS 2
#define ACCEPT_DOUBT_MS 2500  /* callers wait about this long */
#define LEAVE_UNREADY_MS 2500 /* the balancer needs two misses, a second apart */
#define LEAVE_TICK_MS 50
#define SHARE_EVERY_MS 2000
#define RELEASE_AFTER_MS 5000 /* a change of owner costs the cell about a second */
#define LOAD_VALID_MS 2000    /* cells tell their room every half second */
#define LEVEL_TIMES 1         /* of a job that lasts: cells differ by no more */
#define ROOM_TIMES 3          /* as much room as a job needs: others may be on their way */
#define SWEEP_EVERY_MS 5000
#define KEEP_MARGIN_MS 30000 /* hosts' clocks differ, by seconds at worst */

/* How much room a cell had, and when that was folded. */
struct cell_load
{
  struct iv_cell_capacity room;
  gint64 at_ms; /* 0: never */
};

struct iv_fleet_app
{
  uv_loop_t *loop;
  const struct iv_settings *settings;
  struct iv_deadlines *deadlines;
  struct iv_store *store;
  struct iv_job_table *job_table;
  struct iv_routes *routes;
  GHashTable *closed_domains; /* set of names */
  struct iv_stream *jobs;
  struct iv_stream *operators;
  struct iv_recorder *recorder;
  struct iv_membership *membership;
  struct iv_layout_task *layout;
  struct iv_cell_task *cells[IV_CELLS_MAX];
  struct cell_load loads[IV_CELLS_MAX];
  gboolean sharing;   /* the members are being read, to share cells with them */
  gint64 share_at_ms; /* when to do so next */
  struct iv_front_task *front;
  struct iv_deadline tick;
  struct iv_deadline sweep;
  gint64 stop_ms;
  gint64 give_up_ms;
  gboolean leaving;
  gboolean stopped;
};

static const struct iv_routes *
routes_of (void *context)
{
  return ((struct iv_fleet_app *)context)->routes;
}

static gboolean
is_domain_in_service (void *context, const char *domain)
{
  return !g_hash_table_contains (((struct iv_fleet_app *)context)->closed_domains, domain);
}

static const struct iv_layout *
layout_of (void *context)
{
  return iv_layout_task_layout (((struct iv_fleet_app *)context)->layout);
}

static gint64
room_of (const struct cell_load *load, enum iv_capacity_kind kind)
{
  if (kind == IV_CAPACITY_BEST_EFFORT)
    return load->room.best_effort_milli;
  return kind == IV_CAPACITY_LONG_RUNNING ? load->room.long_running_milli : load->room.free_milli;
}

/* Taken for used until the cell tells anew. */
static void
take_room (struct cell_load *load, gint64 cpu_milli)
{
  load->room.free_milli -= cpu_milli;
  load->room.best_effort_milli -= cpu_milli;
  load->room.long_running_milli -= cpu_milli;
}

/* The cell with the most room; NULL when no cell told lately that it has more than @a least. */
static struct cell_load *
roomiest (struct iv_fleet_app *app, enum iv_capacity_kind kind, gint64 least)
{
  const struct iv_layout *layout = layout_of (app);
  gint64 oldest_ms = (gint64)uv_now (app->loop) - LOAD_VALID_MS;
  struct cell_load *best = NULL;
  for (guint i = 0; layout && i < iv_layout_cells (layout); i++)
    {
      struct cell_load *load = &app->loads[i];
      if (load->at_ms == 0 || load->at_ms < oldest_ms || room_of (load, kind) <= least)
        continue;
      best = load;
      least = room_of (load, kind);
    }
  return best;
}

static gint
find_move_target (void *context, guint cell, gint64 cpu_milli, enum iv_capacity_kind kind)
{
  struct iv_fleet_app *app = context;
  struct cell_load *own = &app->loads[cell];
  gint64 least = kind == IV_CAPACITY_LONG_RUNNING
                     ? MAX (room_of (own, kind), 0) + cpu_milli * LEVEL_TIMES
                     : cpu_milli * ROOM_TIMES;
  struct cell_load *best = roomiest (app, kind, least);
  if (best == NULL || best == own)
    {
      if (kind == IV_CAPACITY_LONG_RUNNING)
        take_room (own, cpu_milli);
      return -1;
    }
  take_room (best, cpu_milli);
  return (gint)(best - app->loads);
}

/* A job that lasts is sent to whichever cell has room. */
static gboolean
has_room (void *context, const struct iv_job_entry *job)
{
  struct iv_fleet_app *app = context;
  gint64 need = iv_job_long_running_milli (&job->spec);
  struct cell_load *best;
  if (need == 0 || roomiest (app, IV_CAPACITY_LONG_RUNNING, G_MININT64 / 2) == NULL)
    return TRUE;
  best = roomiest (app, IV_CAPACITY_LONG_RUNNING, need);
  if (best)
    best->room.long_running_milli -= need;
  return best != NULL;
}

static void
on_job_changed (void *context, struct iv_job_entry *job)
{
  struct iv_fleet_app *app = context;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    iv_cell_task_changed (app->cells[i], job);
}

static void
fold_load (struct iv_fleet_app *app, guint cell, const guint8 *value, gsize len)
{
  char *text = g_strndup ((const char *)value, len);
  char *rest;
  app->loads[cell].room.free_milli = g_ascii_strtoll (text, &rest, 10);
  app->loads[cell].room.best_effort_milli = g_ascii_strtoll (rest, &rest, 10);
  app->loads[cell].room.long_running_milli = g_ascii_strtoll (rest, NULL, 10);
  app->loads[cell].at_ms = (gint64)uv_now (app->loop);
  g_free (text);
}

static void
fold_claim (struct iv_fleet_app *app, guint cell, const guint8 *value, gsize len)
{
  iv_cell_task_claimed (app->cells[cell], (const char *)value, len);
}

static void
fold_handover (struct iv_fleet_app *app, guint cell, const guint8 *value, gsize len)
{
  iv_cell_task_handover (app->cells[cell], (const char *)value, len);
}

static void
fold_model (struct iv_fleet_app *app, guint cell, const guint8 *value, gsize len)
{
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    iv_cell_task_model (app->cells[i], cell, value, len);
}

/* Records of a cell have a key that ends with its number. FALSE when @a key is none of these. */
static gboolean
fold_cell_record (struct iv_fleet_app *app, const char *key, const guint8 *value, gsize len)
{
  static const struct
  {
    const char *prefix;
    void (*fold) (struct iv_fleet_app *app, guint cell, const guint8 *value, gsize len);
  } kinds[] = { { IV_KEY_OWNER, fold_claim },
                { IV_KEY_HANDOVER, fold_handover },
                { IV_KEY_MODEL, fold_model },
                { IV_KEY_LOAD, fold_load } };
  for (guint i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      guint64 cell;
      if (!g_str_has_prefix (key, kinds[i].prefix))
        continue;
      if (value
          && g_ascii_string_to_unsigned (key + strlen (kinds[i].prefix), 10, 0, IV_CELLS_MAX - 1,
                                         &cell, NULL))
        kinds[i].fold (app, (guint)cell, value, len);
      return TRUE;
    }
  return FALSE;
}

static void
fold_job (void *context, const char *key, const guint8 *value, gsize len)
{
  struct iv_fleet_app *app = context;
  if (strcmp (key, IV_KEY_LAYOUT) == 0)
    {
      if (value)
        iv_layout_task_fold (app->layout, (const char *)value, len);
    }
  else if (!fold_cell_record (app, key, value, len)
           && iv_job_table_apply (app->job_table, key, value, len) != IV_OK)
    iv_event (IV_LEVEL_WARNING, "record.ignored", "key=%s reason=%s", iv_quote (key),
              iv_quote (iv_last_message ()));
}

static void
fold_config (struct iv_fleet_app *app, const guint8 *value, gsize len)
{
  struct iv_routes *routes = value ? iv_wire_config (value, len) : NULL;
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
fold_evacuation (struct iv_fleet_app *app, const char *domain, gboolean out)
{
  iv_event (IV_LEVEL_INFO, out ? "domain.out" : "domain.in", "domain=%s", domain);
  if (out)
    g_hash_table_add (app->closed_domains, g_strdup (domain));
  else
    g_hash_table_remove (app->closed_domains, domain);
}

static void
fold_operator (void *context, const char *key, const guint8 *value, gsize len)
{
  struct iv_fleet_app *app = context;
  if (strcmp (key, IV_KEY_CONFIG) == 0)
    fold_config (app, value, len);
  else if (g_str_has_prefix (key, IV_KEY_DOMAIN_OUT))
    fold_evacuation (app, key + strlen (IV_KEY_DOMAIN_OUT), value != NULL);
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    iv_cell_task_changed (app->cells[i], NULL);
}

static void
start_streams (struct iv_fleet_app *app)
{
  struct iv_stream_options jobs = { .topic = IV_TOPIC_JOBS,
                                    .wait_ms = JOBS_WAIT_MS,
                                    .gap_ms = JOBS_GAP_MS,
                                    .fold = fold_job,
                                    .context = app };
  struct iv_stream_options operators = { .topic = IV_TOPIC_OPERATORS,
                                         .wait_ms = OPERATORS_WAIT_MS,
                                         .gap_ms = OPERATORS_GAP_MS,
                                         .fold = fold_operator,
                                         .context = app };
  app->jobs = iv_stream_new (app->loop, app->deadlines, app->store, &jobs);
  app->operators = iv_stream_new (app->loop, app->deadlines, app->store, &operators);
}

static gboolean
is_idle (void *context)
{
  struct iv_fleet_app *app = context;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    if (iv_cell_task_owns (app->cells[i]) || iv_cell_task_claims (app->cells[i]))
      return FALSE;
  return TRUE;
}

static gboolean
owns_any (const struct iv_fleet_app *app, const char *member)
{
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    if (iv_cell_task_is_by (app->cells[i], member))
      return TRUE;
  return FALSE;
}

/* After trouble one host may own several cells while others own none. */
static void
on_members (void *context, const GPtrArray *members)
{
  struct iv_fleet_app *app = context;
  gboolean others_idle = FALSE;
  app->sharing = FALSE;
  for (guint i = 0; members && i < members->len; i++)
    others_idle |= !owns_any (app, g_ptr_array_index (members, i));
  for (guint i = 0; others_idle && i < IV_CELLS_MAX; i++)
    if (iv_cell_task_owned_ms (app->cells[i]) > RELEASE_AFTER_MS)
      {
        iv_cell_task_release (app->cells[i]);
        return;
      }
}

static void
share_cells (struct iv_fleet_app *app)
{
  gint64 now = (gint64)uv_now (app->loop);
  guint owned = 0;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    owned += iv_cell_task_owns (app->cells[i]);
  if (owned < 2 || app->sharing || now < app->share_at_ms)
    return;
  app->sharing = TRUE;
  app->share_at_ms = now + SHARE_EVERY_MS;
  iv_membership_list (app->membership, on_members, app);
}

static void
on_stood_down (void *context)
{
  struct iv_fleet_app *app = context;
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    iv_cell_task_release (app->cells[i]);
}

static void
on_confirmed (void *context)
{
  struct iv_fleet_app *app = context;
  share_cells (app);
  iv_layout_task_confirmed (app->layout);
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    iv_cell_task_confirmed (app->cells[i]);
}

static void
start_membership (struct iv_fleet_app *app)
{
  struct iv_membership_links member = { .loop = app->loop,
                                        .deadlines = app->deadlines,
                                        .store = app->store,
                                        .host = app->settings->host,
                                        .settings = &app->settings->fleet,
                                        .context = app,
                                        .confirmed = on_confirmed,
                                        .stood_down = on_stood_down };
  struct iv_layout_links layout = { .loop = app->loop,
                                    .deadlines = app->deadlines,
                                    .store = app->store,
                                    .jobs = app->jobs,
                                    .settings = &app->settings->fleet };
  app->membership = iv_membership_new (&member);
  layout.membership = app->membership;
  app->layout = iv_layout_task_new (&layout);
}

static void
start_cells (struct iv_fleet_app *app)
{
  struct iv_cell_links links = { .loop = app->loop,
                                 .deadlines = app->deadlines,
                                 .store = app->store,
                                 .jobs = app->jobs,
                                 .operators = app->operators,
                                 .job_table = app->job_table,
                                 .membership = app->membership,
                                 .settings = &app->settings->fleet,
                                 .context = app,
                                 .layout = layout_of,
                                 .routes = routes_of,
                                 .is_domain_in_service = is_domain_in_service,
                                 .is_idle = is_idle,
                                 .find_move_target = find_move_target };
  links.workers = iv_http_client_new (app->loop, app->deadlines, CALL_SILENCE_MS, 4 * MIB);
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    app->cells[i] = iv_cell_task_new (&links, i);
  iv_job_table_watch (app->job_table, on_job_changed, app);
}

static gboolean
start_front (struct iv_fleet_app *app)
{
  struct iv_front_links links = { .loop = app->loop,
                                  .deadlines = app->deadlines,
                                  .jobs = app->jobs,
                                  .job_table = app->job_table,
                                  .settings = app->settings,
                                  .context = app,
                                  .routes = routes_of,
                                  .has_room = has_room };
  /* A name for each life, so that sequence numbers start anew with it. */
  char *writer = g_strdup_printf ("%s-%08x", app->settings->host, g_random_int ());
  links.recorder = iv_recorder_new (app->loop, app->deadlines, app->store, IV_TOPIC_JOBS, writer, 1,
                                    ACCEPT_GATHER_MS, ACCEPT_DOUBT_MS);
  g_free (writer);
  app->recorder = links.recorder;
  app->front = iv_front_task_new (&links);
  return app->front != NULL;
}

static void
collect_old (void *context, struct iv_job_entry *job)
{
  GPtrArray *old = ((gpointer *)context)[0];
  gint64 before = *(gint64 *)((gpointer *)context)[1];
  if (iv_job_state_is_final (job->progress.state) && job->progress.ended_ms < before)
    g_ptr_array_add (old, job);
}

static gboolean
owns_cell_of (struct iv_fleet_app *app, const struct iv_job_entry *job)
{
  const struct iv_layout *layout = layout_of (app);
  return layout && iv_cell_task_owns (app->cells[iv_layout_job_cell (layout, job)]);
}

/* Ended jobs are told of for a while, then their keys are dropped by the owner. */
static void
on_sweep (void *context)
{
  struct iv_fleet_app *app = context;
  gint64 before;
  GPtrArray *old = g_ptr_array_new ();
  gpointer both[2] = { old, &before };
  before = iv_clock_wall_ms () - app->settings->fleet.job_retention_ms - KEEP_MARGIN_MS;
  iv_job_table_foreach (app->job_table, collect_old, both);
  for (guint i = 0; i < old->len; i++)
    {
      const struct iv_job_entry *job = g_ptr_array_index (old, i);
      static const char *const parts[] = { "", IV_KEY_PROGRESS, IV_KEY_CANCEL, IV_KEY_MOVE };
      const gboolean used[] = { TRUE, TRUE, job->cancel, job->moved_to >= 0 };
      for (guint j = 0; owns_cell_of (app, job) && j < G_N_ELEMENTS (parts); j++)
        {
          char key[IV_JOB_ID_LEN + 8];
          g_snprintf (key, sizeof key, "%s%s", job->id, parts[j]);
          if (used[j])
            iv_recorder_add (app->recorder, key, NULL, 0, NULL, NULL);
        }
      iv_job_table_remove (app->job_table, job->id);
    }
  g_ptr_array_free (old, TRUE);
  iv_deadline_set (app->deadlines, &app->sweep, (gint64)uv_now (app->loop) + SWEEP_EVERY_MS);
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
  for (guint i = 0; i < IV_CELLS_MAX; i++)
    owned += iv_cell_task_owns (app->cells[i]);
  set_gauge ("ibisvane_cells_owned", "Cells that this host schedules.", owned);
  set_gauge ("ibisvane_jobs_known", "Jobs in memory.", iv_job_table_size (app->job_table));
  set_gauge ("ibisvane_requests_pending", "Requests without an answer yet.",
             iv_front_task_pending (app->front));
  set_gauge ("ibisvane_jobs_age_ms", "Since the jobs' stream was last read to its end.",
             iv_stream_age_ms (app->jobs));
  set_gauge ("ibisvane_operators_age_ms", "Since the operators' stream was last read to its end.",
             iv_stream_age_ms (app->operators));
  set_gauge ("ibisvane_member_age_ms", "Since the store last confirmed this host as a candidate.",
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
  app->closed_domains = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  client = iv_http_client_new (loop, app->deadlines, CALL_SILENCE_MS, 16 * MIB);
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
  iv_deadline_set (app->deadlines, &app->sweep, (gint64)uv_now (loop) + SWEEP_EVERY_MS);
  return app;
}

static void
on_leaving (void *context)
{
  struct iv_fleet_app *app = context;
  gint64 now = (gint64)uv_now (app->loop);
  if (!app->stopped && now >= app->stop_ms)
    {
      app->stopped = TRUE;
      iv_front_task_stop (app->front);
    }
  if (app->stopped && (iv_front_task_pending (app->front) == 0 || now >= app->give_up_ms))
    {
      iv_event (IV_LEVEL_INFO, "host.stopped", "unanswered=%u", iv_front_task_pending (app->front));
      uv_stop (app->loop);
      return;
    }
  iv_deadline_set (app->deadlines, &app->tick, now + LEAVE_TICK_MS);
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
  iv_front_task_unready (app->front);
  app->stop_ms = now + MIN (LEAVE_UNREADY_MS, app->settings->fleet.stop_timeout_ms / 2);
  app->give_up_ms = now + app->settings->fleet.stop_timeout_ms;
  app->tick.fire = on_leaving;
  app->tick.context = app;
  iv_deadline_set (app->deadlines, &app->tick, now);
}
