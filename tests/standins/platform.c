/**
 * @file platform.c
 * Stand-in for the platform: a log with offsets and retention, and a host list with a delay.
 *
 * Usage: platform_standin IP:PORT [IP:PORT...]
 *
 * Each address has faults of its own, so that a single failure domain can lose the platform. POST
 * /faults?log=MODE[&ms=N] on an address sets MODE to up, down (neither the log nor the host
 * list responds), lost (appends take effect, but get no response) or slow (responses to appends and
 * to reads without records come N ms late). POST
 * /retention?ms=N expires older records at each append; POST /lag?ms=N delays changes of the host
 * list.
 */
#include "fake_log.h"
#include "http_server.h"
#include "deadlines.h"
#include "schema.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX (1024 * 1024)
#define REQUESTS_MAX 100000
#define READ_ENTRIES_MAX 1000
#define READ_BYTES_MAX (8 * 1024 * 1024)
#define TICK_MS 5
#define UNANSWERED_MS 30000 /* until a request that a fault holds back gets status 503 */
#define ENDPOINTS_MAX 32

enum log_mode
{
  LOG_UP,
  LOG_DOWN,
  LOG_LOSES_REPLIES,
  LOG_SLOW
};

static const char *const mode_names[] = { "up", "down", "lost", "slow" };

/* An address that the platform listens on, with its faults. */
struct endpoint
{
  struct iv_http_server *server;
  enum log_mode mode;
  gint64 delay_ms;
};

/* A request without a response yet: a read that waits for records, or one that a fault delays. */
struct pending
{
  struct iv_http_request *http;
  struct endpoint *endpoint;
  char *stream; /* to read from; NULL for other requests */
  guint64 from; /* offset to read from */
  gint64 due_ms;
  char *append_offset; /* response to an append; NULL: respond with status 503 */
};

static uv_loop_t *loop;
static struct iv_deadlines *deadlines;
static struct fake_log *streams;
static GPtrArray *pending;
static json_t *hosts, *published_hosts;
static guint published_version; /* entity tag of the published host list */
static gint64 lag_ms, hosts_changed_ms;
static gint64 retention_ms;

static gint64
now_ms (void)
{
  return (gint64)uv_now (loop);
}

static void
append_big_endian (GByteArray *out, guint64 value, guint bytes)
{
  for (guint i = bytes; i-- > 0;)
    {
      guint8 byte = (guint8)(value >> (8 * i));
      g_byte_array_append (out, &byte, 1);
    }
}

static void
respond_read (struct iv_http_request *http, const char *name, guint64 from)
{
  struct fake_stream *stream = fake_log_stream (streams, name);
  GByteArray *body = g_byte_array_new ();
  char first[24], end[24];
  struct iv_http_header headers[]
      = { { "x-log-first", first }, { "x-log-end", end }, { NULL, NULL } };
  guint64 offset = MAX (from, stream->first);
  for (guint count = 0;
       offset < fake_stream_end (stream) && count < READ_ENTRIES_MAX && body->len < READ_BYTES_MAX;
       offset++, count++)
    {
      gsize len;
      const void *data = g_bytes_get_data (fake_stream_read (stream, offset), &len);
      append_big_endian (body, offset, 8);
      append_big_endian (body, len, 4);
      g_byte_array_append (body, data, (guint)len);
    }
  snprintf (first, sizeof first, "%" G_GUINT64_FORMAT, stream->first);
  snprintf (end, sizeof end, "%" G_GUINT64_FORMAT, fake_stream_end (stream));
  iv_http_respond (http, 200, "application/octet-stream", headers, body->data, body->len);
  g_byte_array_free (body, TRUE);
}

static void
respond_append (struct iv_http_request *http, const char *offset)
{
  struct iv_http_header headers[] = { { "x-log-offset", offset }, { NULL, NULL } };
  iv_http_respond (http, 201, "text/plain", headers, "", 0);
}

static void
defer (struct iv_http_request *http, struct endpoint *endpoint, const char *stream, guint64 from,
       gint64 wait_ms, const char *append_offset)
{
  struct pending *entry = g_new0 (struct pending, 1);
  entry->http = http;
  entry->endpoint = endpoint;
  entry->stream = g_strdup (stream);
  entry->from = from;
  entry->due_ms = now_ms () + wait_ms;
  entry->append_offset = g_strdup (append_offset);
  g_ptr_array_add (pending, entry);
}

static gboolean
try_respond (struct pending *entry)
{
  gboolean due = now_ms () >= entry->due_ms;
  if (iv_http_is_disconnected (entry->http))
    iv_http_respond_json (entry->http, 503, "{}");
  else if (entry->stream && entry->endpoint->mode == LOG_DOWN)
    return FALSE;
  else if (entry->stream
           && (due || fake_stream_end (fake_log_stream (streams, entry->stream)) > entry->from))
    respond_read (entry->http, entry->stream, entry->from);
  else if (entry->append_offset && due)
    respond_append (entry->http, entry->append_offset);
  else if (due)
    iv_http_respond_json (entry->http, 503, "{}");
  else
    return FALSE;
  return TRUE;
}

static void
respond_to_ready (void)
{
  for (guint i = 0; i < pending->len;)
    {
      struct pending *entry = g_ptr_array_index (pending, i);
      if (!try_respond (entry))
        {
          i++;
          continue;
        }
      g_free (entry->stream);
      g_free (entry->append_offset);
      g_free (entry);
      g_ptr_array_remove_index_fast (pending, i);
    }
}

static void
on_tick (uv_timer_t *timer)
{
  if (hosts_changed_ms && now_ms () - hosts_changed_ms >= lag_ms)
    {
      json_decref (published_hosts);
      published_hosts = json_deep_copy (hosts);
      published_version++;
      hosts_changed_ms = 0;
    }
  respond_to_ready ();
}

static void
serve_append (struct endpoint *endpoint, struct iv_http_request *http, const char *name)
{
  struct fake_stream *stream = fake_log_stream (streams, name);
  gsize len;
  const char *body = iv_http_body (http, &len);
  char offset[24];
  if (endpoint->mode == LOG_DOWN)
    {
      defer (http, endpoint, NULL, 0, UNANSWERED_MS, NULL);
      return;
    }
  snprintf (offset, sizeof offset, "%" G_GUINT64_FORMAT,
            fake_stream_append (stream, body, len, now_ms ()));
  if (retention_ms > 0)
    fake_stream_expire (stream, now_ms () - retention_ms);
  if (endpoint->mode == LOG_LOSES_REPLIES)
    defer (http, endpoint, NULL, 0, UNANSWERED_MS, NULL);
  else if (endpoint->mode == LOG_SLOW)
    defer (http, endpoint, NULL, 0, endpoint->delay_ms, offset);
  else
    respond_append (http, offset);
  respond_to_ready ();
}

static guint64
query_uint (const char *path, const char *key)
{
  char *text = iv_http_query (path, key);
  guint64 value = text ? g_ascii_strtoull (text, NULL, 10) : 0;
  g_free (text);
  return value;
}

static void
serve_read (struct endpoint *endpoint, struct iv_http_request *http, const char *name)
{
  const char *path = iv_http_path (http);
  guint64 from = query_uint (path, "from");
  gint64 wait_ms = (gint64)query_uint (path, "wait_ms");
  if (endpoint->mode == LOG_SLOW)
    wait_ms += endpoint->delay_ms;
  defer (http, endpoint, name, from, endpoint->mode == LOG_DOWN ? UNANSWERED_MS : wait_ms, NULL);
  respond_to_ready ();
}

static void
serve_stream (struct endpoint *endpoint, struct iv_http_request *http)
{
  const char *name = iv_http_path (http) + strlen ("/streams/");
  char *stream = g_strndup (name, strcspn (name, "/"));
  if (strcmp (iv_http_method (http), "POST") == 0)
    serve_append (endpoint, http, stream);
  else
    serve_read (endpoint, http, stream);
  g_free (stream);
}

static void
serve_faults (struct endpoint *endpoint, struct iv_http_request *http)
{
  char *mode = iv_http_query (iv_http_path (http), "log");
  for (guint i = 0; mode && i < G_N_ELEMENTS (mode_names); i++)
    if (strcmp (mode, mode_names[i]) == 0)
      endpoint->mode = (enum log_mode)i;
  endpoint->delay_ms = (gint64)query_uint (iv_http_path (http), "ms");
  g_free (mode);
  iv_http_respond_json (http, 200, "{}");
}

/* PUT /hosts/workers or /hosts/instances: an array of rows, each of which is added or updates the
   row of the same name; a row with "gone": true removes it. */
static void
serve_register (struct iv_http_request *http, const char *kind)
{
  json_t *list = json_object_get (hosts, kind), *rows, *row, *old;
  gsize len;
  const char *body = iv_http_body (http, &len);
  size_t i, j;
  rows = json_loadb (body, len, 0, NULL);
  json_array_foreach (rows, i, row)
    {
      gboolean replaced = FALSE;
      json_array_foreach (list, j, old)
        {
          if (strcmp (json_string_value (json_object_get (old, "name")),
                      json_string_value (json_object_get (row, "name")))
              != 0)
            continue;
          if (json_is_true (json_object_get (row, "gone")))
            json_array_remove (list, j);
          else
            json_object_update (old, row);
          replaced = TRUE;
          break;
        }
      if (!replaced)
        json_array_append (list, row);
    }
  json_decref (rows);
  hosts_changed_ms = now_ms ();
  iv_http_respond_json (http, 200, "{}");
}

static void
serve_hosts (struct iv_http_request *http)
{
  const char *cached_tag = iv_http_request_header (http, "if-none-match");
  char tag[24];
  const struct iv_http_header headers[] = { { "etag", tag }, { NULL, NULL } };
  char *text;
  snprintf (tag, sizeof tag, "\"%u\"", published_version);
  if (cached_tag && strcmp (cached_tag, tag) == 0)
    {
      iv_http_respond (http, 304, NULL, headers, "", 0);
      return;
    }
  text = json_dumps (published_hosts, JSON_COMPACT);
  iv_http_respond (http, 200, "application/json", headers, text, strlen (text));
  free (text);
}

static void
on_request (void *context, struct iv_http_request *http)
{
  struct endpoint *endpoint = context;
  const char *path = iv_http_path (http);
  if (g_str_has_prefix (path, "/streams/"))
    serve_stream (endpoint, http);
  else if (g_str_has_prefix (path, "/faults"))
    serve_faults (endpoint, http);
  else if (g_str_has_prefix (path, "/hosts/workers"))
    serve_register (http, "workers");
  else if (g_str_has_prefix (path, "/hosts/instances"))
    serve_register (http, "instances");
  else if (g_str_has_prefix (path, "/retention"))
    {
      retention_ms = (gint64)query_uint (path, "ms");
      iv_http_respond_json (http, 200, "{}");
    }
  else if (g_str_has_prefix (path, "/lag"))
    {
      lag_ms = (gint64)query_uint (path, "ms");
      iv_http_respond_json (http, 200, "{}");
    }
  else if (strcmp (path, "/hosts") == 0 && endpoint->mode == LOG_DOWN)
    defer (http, endpoint, NULL, 0, UNANSWERED_MS, NULL);
  else if (strcmp (path, "/hosts") == 0)
    {
      serve_hosts (http);
    }
  else
    iv_http_respond_json (http, 404, "{}");
}

int
main (int argc, char **argv)
{
  struct iv_http_limits limits = { BODY_MAX, REQUESTS_MAX, REQUESTS_MAX, 3600000 };
  static struct endpoint endpoints[ENDPOINTS_MAX];
  uv_timer_t tick;
  signal (SIGPIPE, SIG_IGN);
  loop = uv_default_loop ();
  deadlines = iv_deadlines_new (loop);
  streams = fake_log_new ();
  pending = g_ptr_array_new ();
  hosts = json_pack ("{s:[],s:[]}", "workers", "instances");
  published_hosts = json_deep_copy (hosts);
  for (int i = 1; i < argc && i < ENDPOINTS_MAX; i++)
    {
      struct endpoint *endpoint = &endpoints[i];
      char ip[64];
      guint16 port;
      if (!iv_parse_address (argv[i], ip, &port))
        return 64;
      endpoint->server = iv_http_server_new (loop, ip, port, &limits, on_request, endpoint);
      if (endpoint->server == NULL)
        {
          fprintf (stderr, "platform_standin: %s\n", iv_last_message ());
          return 69;
        }
    }
  uv_timer_init (loop, &tick);
  uv_timer_start (&tick, on_tick, TICK_MS, TICK_MS);
  uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}
