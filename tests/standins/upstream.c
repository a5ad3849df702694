/**
 * @file upstream.c
 * Stand-in for upstream instances: COUNT instances on consecutive ports from IP:PORT on.
 *
 * Usage: upstream_standin PLATFORM IP:PORT COUNT DOMAIN SERVICE PREFIX SLOTS CONNECTIONS WORK_MS
 *
 * A request takes WORK_MS, or the time in its x-work-ms header, and returns the instance, method,
 * path and body. Requests beyond the slots are served, but counted as overruns. On the port of each
 * instance: GET /stats returns counters and the number of runs by idempotency key; POST
 * /faults?mode=ok|slow|silent|refuse[&ms=N] sets its fault (slow adds N ms; silent counts
 * the request as running and never responds; refuse responds that the request did not run); POST
 * /leave marks it as leaving in the host list.
 */
#include "http_server.h"
#include "standin.h"

#include <signal.h>
#include <stdio.h>

enum mode
{
  MODE_OK,
  MODE_SLOW,
  MODE_SILENT,
  MODE_REFUSE
};

static const char *const mode_names[] = { "ok", "slow", "silent", "refuse" };

struct instance
{
  char *name;
  json_t *row;
  struct iv_http_server *server;
  enum mode mode;
  gint64 slow_ms;
  guint slots;
  guint running;    /* requests in progress */
  guint most;       /* highest value of `running` */
  guint64 ran;      /* requests started */
  guint64 overruns; /* requests started while all slots were in use */
  gint64 leaving_at_ms;
  gint64 last_taken_ms; /* arrival of the newest request, also of a refused one */
  GHashTable *keys;     /* idempotency key to number of runs */
};

/* A request in progress. */
struct work
{
  struct instance *instance;
  struct iv_http_request *http;
  struct iv_deadline completion;
};

static uv_loop_t *loop;
static struct iv_deadlines *deadlines;
static const char *platform;
static gint64 work_ms;

static void
on_work_done (void *context)
{
  struct work *work = context;
  gsize len;
  const char *body = iv_http_body (work->http, &len);
  char *text
      = g_strdup_printf ("%s %s %s %.*s\n", work->instance->name, iv_http_method (work->http),
                         iv_http_path (work->http), (int)len, body);
  work->instance->running--;
  iv_http_respond (work->http, 200, "text/plain", NULL, text, strlen (text));
  g_free (text);
  g_free (work);
}

static void
count_key (struct instance *instance, const char *key)
{
  guint runs = GPOINTER_TO_UINT (g_hash_table_lookup (instance->keys, key));
  g_hash_table_replace (instance->keys, g_strdup (key), GUINT_TO_POINTER (runs + 1));
}

static void
serve_work (struct instance *instance, struct iv_http_request *http)
{
  const char *key = iv_http_request_header (http, "idempotency-key");
  const char *requested = iv_http_request_header (http, "x-work-ms");
  struct work *work;
  gint64 duration_ms = requested ? atoi (requested) : work_ms;
  instance->last_taken_ms = (gint64)uv_now (loop);
  if (instance->mode == MODE_REFUSE)
    {
      const struct iv_http_header headers[] = { { "x-not-run", "1" }, { NULL, NULL } };
      iv_http_respond (http, 503, "text/plain", headers, "", 0);
      return;
    }
  instance->ran++;
  instance->running++;
  instance->most = MAX (instance->most, instance->running);
  instance->overruns += instance->running > instance->slots;
  if (key)
    count_key (instance, key);
  if (instance->mode == MODE_SILENT)
    return;
  work = g_new0 (struct work, 1);
  work->instance = instance;
  work->http = http;
  work->completion.fire = on_work_done;
  work->completion.context = work;
  if (instance->mode == MODE_SLOW)
    duration_ms += instance->slow_ms;
  iv_deadline_set (deadlines, &work->completion, (gint64)uv_now (loop) + duration_ms);
}

static void
serve_stats (struct instance *instance, struct iv_http_request *http)
{
  json_t *keys = json_object (), *root;
  GHashTableIter iter;
  gpointer key, runs;
  char *text;
  g_hash_table_iter_init (&iter, instance->keys);
  while (g_hash_table_iter_next (&iter, &key, &runs))
    json_object_set_new (keys, key, json_integer (GPOINTER_TO_UINT (runs)));
  root = json_pack ("{s:s,s:I,s:I,s:I,s:I,s:I,s:o}", "name", instance->name, "ran",
                    (json_int_t)instance->ran, "most", (json_int_t)instance->most, "overruns",
                    (json_int_t)instance->overruns, "leaving_at_ms",
                    (json_int_t)instance->leaving_at_ms, "last_taken_ms",
                    (json_int_t)instance->last_taken_ms, "keys", keys);
  text = json_dumps (root, JSON_COMPACT);
  iv_http_respond_json (http, 200, text);
  free (text);
  json_decref (root);
}

static void
serve_faults (struct instance *instance, struct iv_http_request *http)
{
  char *mode = iv_http_query (iv_http_path (http), "mode");
  char *ms = iv_http_query (iv_http_path (http), "ms");
  for (guint i = 0; mode && i < G_N_ELEMENTS (mode_names); i++)
    if (strcmp (mode, mode_names[i]) == 0)
      instance->mode = (enum mode)i;
  instance->slow_ms = ms ? atoi (ms) : 0;
  g_free (mode);
  g_free (ms);
  iv_http_respond_json (http, 200, "{}");
}

static void
serve_leave (struct instance *instance, struct iv_http_request *http)
{
  struct registration *r = g_new0 (struct registration, 1);
  json_t *rows = json_array ();
  instance->leaving_at_ms = (gint64)uv_now (loop);
  json_object_set_new (instance->row, "leaving", json_true ());
  json_array_append (rows, instance->row);
  register_rows (r, loop, platform, "/hosts/instances", rows);
  iv_http_respond_json (http, 200, "{}");
}

static void
on_request (void *context, struct iv_http_request *http)
{
  struct instance *instance = context;
  const char *path = iv_http_path (http);
  if (g_str_has_prefix (path, "/faults"))
    serve_faults (instance, http);
  else if (strcmp (path, "/stats") == 0)
    serve_stats (instance, http);
  else if (strcmp (path, "/leave") == 0)
    serve_leave (instance, http);
  else if (strcmp (path, "/healthz") == 0)
    iv_http_respond_json (http, 200, "{}");
  else
    serve_work (instance, http);
}

int
main (int argc, char **argv)
{
  struct iv_http_limits limits = { 64 * 1024 * 1024, 100000, 100000, 3600000 };
  struct registration registration;
  json_t *rows = json_array ();
  char ip[64];
  guint16 port;
  if (argc < 10)
    return 64;
  signal (SIGPIPE, SIG_IGN);
  loop = uv_default_loop ();
  deadlines = iv_deadlines_new (loop);
  platform = argv[1];
  parse_address_or_exit (argv[2], ip, &port);
  work_ms = atoi (argv[9]);
  for (int i = 0; i < atoi (argv[3]); i++)
    {
      struct instance *instance = g_new0 (struct instance, 1);
      char *address = g_strdup_printf ("%s:%d", ip, port + i);
      instance->name = g_strdup_printf ("%s-%d", argv[6], i + 1);
      instance->slots = (guint)atoi (argv[7]);
      instance->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      instance->row = json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:b}", "name", instance->name, "service",
                                 argv[5], "domain", argv[4], "address", address, "slots",
                                 atoi (argv[7]), "connections", atoi (argv[8]), "leaving", 0);
      instance->server
          = iv_http_server_new (loop, ip, (guint16)(port + i), &limits, on_request, instance);
      if (instance->server == NULL)
        {
          fprintf (stderr, "upstream_standin: %s\n", iv_last_message ());
          return 69;
        }
      json_array_append (rows, instance->row);
      g_free (address);
    }
  register_rows (&registration, loop, platform, "/hosts/instances", rows);
  uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}
