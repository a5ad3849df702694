#include "app.h"

#include "clock.h"
#include "config_task.h"
#include "domain_task.h"
#include "event.h"
#include "hosts_task.h"
#include "key_task.h"
#include "operator_task.h"
#include "peer_task.h"
#include "route_task.h"

#include <string.h>

#define MIB (1024 * 1024)
#define PLATFORM_BODY_BYTES_MAX ((gsize)64 * MIB)
#define WORKER_BODY_BYTES_MAX ((gsize)16 * MIB)
/* Longer than any call: calls end by their own deadlines, not by this timeout. */
#define CALL_IDLE_TIMEOUT_MS 3600000
/* Time between announcing the stop and the end of listening, in which the load balancer and the
   peers see that the host is leaving. */
#define UNREADY_BEFORE_STOP_MS 1000
#define SHUTDOWN_POLL_MS 20

struct planned_stop
{
  struct iv_app *app;
  struct iv_deadline shutdown_poll;
  gint64 stop_listening_ms;
  gint64 shutdown_deadline_ms; /* the loop stops then even if requests are unanswered */
  gboolean listening_stopped;
};

gint64
iv_app_now (const struct iv_app *app)
{
  return (gint64)uv_now (app->loop);
}

guint64
iv_app_wall_ms (void)
{
  return (guint64)iv_clock_wall_ms ();
}

static const struct iv_member *
member_at (const struct iv_app *app, guint i)
{
  return &g_array_index (app->settings->members, struct iv_member, i);
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

static gboolean
contains (const GPtrArray *names, const char *name)
{
  for (guint i = 0; i < names->len; i++)
    if (strcmp (g_ptr_array_index (names, i), name) == 0)
      return TRUE;
  return FALSE;
}

static void
collect_domains (struct iv_app *app)
{
  app->domains = g_ptr_array_new ();
  for (guint i = 0; i < app->settings->members->len; i++)
    if (!contains (app->domains, member_at (app, i)->domain))
      g_ptr_array_add (app->domains, member_at (app, i)->domain);
  g_ptr_array_sort (app->domains, compare_names);
}

/* Number of members whose names sort before this host's, in @a domain or, if it is NULL, in all. */
static guint
rank_among (const struct iv_app *app, const char *domain)
{
  guint rank = 0;
  for (guint i = 0; i < app->settings->members->len; i++)
    if ((domain == NULL || strcmp (member_at (app, i)->domain, domain) == 0)
        && strcmp (member_at (app, i)->host, app->settings->host) < 0)
      rank++;
  return rank;
}

static guint
count_members (const struct iv_app *app, const char *domain)
{
  guint count = 0;
  for (guint i = 0; i < app->settings->members->len; i++)
    count += strcmp (member_at (app, i)->domain, domain) == 0;
  return count;
}

/* A domain is claimed in the order of ranks: first by its own hosts in the order of their names,
   then by backups, which rank behind all of them. */
static void
start_domain_tasks (struct iv_app *app)
{
  const char *own = app->settings->domain;
  const GArray *backups = app->settings->scheduling.backup_for;
  app->domain_tasks = g_ptr_array_new ();
  g_ptr_array_add (app->domain_tasks, iv_domain_task_new (app, own, rank_among (app, own)));
  for (guint i = 0; i < backups->len; i++)
    {
      const char *domain = g_array_index (backups, char *, i);
      guint rank = count_members (app, domain) + rank_among (app, NULL);
      if (iv_domain_task_find (app, domain) == NULL)
        g_ptr_array_add (app->domain_tasks, iv_domain_task_new (app, domain, rank));
    }
}

static void
create_clients (struct iv_app *app)
{
  gsize upstream_body_bytes_max = (gsize)app->settings->limits.answer_mib * MIB;
  struct iv_http_client *platform = iv_http_client_new (
      app->loop, app->deadlines, CALL_IDLE_TIMEOUT_MS, PLATFORM_BODY_BYTES_MAX);
  struct iv_http_client *workers
      = iv_http_client_new (app->loop, app->deadlines, CALL_IDLE_TIMEOUT_MS, WORKER_BODY_BYTES_MAX);
  struct iv_http_client *upstreams = iv_http_client_new (
      app->loop, app->deadlines, CALL_IDLE_TIMEOUT_MS, upstream_body_bytes_max);
  iv_platform_http (platform, app->settings->platform.address, &app->log, &app->hosts_ops);
  iv_worker_http (workers, &app->workers);
  iv_upstream_http (upstreams, &app->upstreams);
}

gboolean
iv_app_start (struct iv_app *app, uv_loop_t *loop, struct iv_settings *settings)
{
  app->loop = loop;
  app->settings = settings;
  app->incarnation = iv_app_wall_ms ();
  app->deadlines = iv_deadlines_new (loop);
  app->mailbox = iv_mailbox_new (loop);
  collect_domains (app);
  app->rank = rank_among (app, NULL);
  create_clients (app);
  app->hosts = iv_hosts_task_new (app);
  app->config = iv_config_task_new (app);
  app->keys = iv_key_task_new (app);
  start_domain_tasks (app);
  app->peers = iv_peer_task_new (app);
  app->route = app->peers ? iv_route_task_new (app) : NULL;
  app->operators = app->route ? iv_operator_task_new (app) : NULL;
  return app->operators != NULL;
}

static void
on_shutdown_poll (void *context)
{
  struct planned_stop *stop = context;
  struct iv_app *app = stop->app;
  gint64 now = iv_app_now (app);
  if (!stop->listening_stopped && now >= stop->stop_listening_ms)
    {
      stop->listening_stopped = TRUE;
      iv_route_task_stop (app->route);
    }
  if (stop->listening_stopped
      && (iv_route_task_pending (app->route) == 0 || now >= stop->shutdown_deadline_ms))
    {
      iv_event (IV_LEVEL_INFO, "host.stopped", "unanswered=%u", iv_route_task_pending (app->route));
      uv_stop (app->loop);
      return;
    }
  iv_deadline_set (app->deadlines, &stop->shutdown_poll, now + SHUTDOWN_POLL_MS);
}

void
iv_app_leave (struct iv_app *app)
{
  struct planned_stop *stop;
  if (app->leaving)
    return;
  app->leaving = TRUE;
  iv_event (IV_LEVEL_INFO, "host.leaving", "pending=%u", iv_route_task_pending (app->route));
  for (guint i = 0; i < app->domain_tasks->len; i++)
    iv_domain_task_resign (g_ptr_array_index (app->domain_tasks, i));
  stop = g_new0 (struct planned_stop, 1);
  stop->app = app;
  stop->stop_listening_ms = iv_app_now (app) + UNREADY_BEFORE_STOP_MS;
  stop->shutdown_deadline_ms = iv_app_now (app) + app->settings->routing.drain_ms;
  stop->shutdown_poll.fire = on_shutdown_poll;
  stop->shutdown_poll.context = stop;
  iv_deadline_set (app->deadlines, &stop->shutdown_poll, iv_app_now (app));
}
