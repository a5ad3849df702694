/**
 * @file platform.c
 * Stand-in for the platform: a log with offsets and retention, and a host list that lags.
 *
 * Usage: platform_standin IP:PORT [IP:PORT...]; each address has its own faults, so that one
 * failure domain can be cut off. Faults are set by POST /faults?log=MODE[&ms=N] on an address, with
 * MODE up, down, lost (appends take effect, answers do not come) or slow; POST /retention?ms=N
 * expires older records; POST /lag?ms=N delays the host list.
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
#define HELD_MS 30000
#define PORTS_MAX 32

enum log_mode
{
  LOG_UP,
  LOG_DOWN,
  LOG_LOST,
  LOG_SLOW
};

static const char *const mode_names[] = { "up", "down", "lost", "slow" };

/* One address with its faults. */
struct port
{
  struct iv_http_server *server;
  enum log_mode mode;
  gint64 delay_ms;
};

/* A read that waits for records, or a request whose answer is late or never comes. */
struct waiting
{
  struct iv_http_request *http;
  struct port *port;
  char *stream; /* NULL: answer with the text at the deadline */
  guint64 from;
  gint64 at_ms;
  char *late_offset;
};

static uv_loop_t *loop;
static struct iv_deadlines *deadlines;
static struct fake_log *streams;
static GPtrArray *waiting;
static json_t *hosts, *visible;
static guint visible_version; /* of the host list, its entity tag */
static gint64 lag_ms, hosts_changed_ms;
static gint64 retention_ms;

static gint64
now_ms (void)
{
  return (gint64)uv_now (loop);
}

static void
put_number (GByteArray *out, guint64 value, guint bytes)
{
  for (guint i = bytes; i-- > 0;)
    {
      guint8 byte = (guint8)(value >> (8 * i));
      g_byte_array_append (out, &byte, 1);
    }
}

static void
answer_read (struct iv_http_request *http, const char *name, guint64 from)
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
      put_number (body, offset, 8);
      put_number (body, len, 4);
      g_byte_array_append (body, data, (guint)len);
    }
  snprintf (first, sizeof first, "%" G_GUINT64_FORMAT, stream->first);
  snprintf (end, sizeof end, "%" G_GUINT64_FORMAT, fake_stream_end (stream));
  iv_http_respond (http, 200, "application/octet-stream", headers, body->data, body->len);
  g_byte_array_free (body, TRUE);
}

static void
answer_appended (struct iv_http_request *http, const char *offset)
{
  struct iv_http_header headers[] = { { "x-log-offset", offset }, { NULL, NULL } };
  iv_http_respond (http, 201, "text/plain", headers, "", 0);
}

static void
hold (struct iv_http_request *http, struct port *port, const char *stream, guint64 from,
      gint64 wait_ms, const char *late_offset)
{
  struct waiting *row = g_new0 (struct waiting, 1);
  row->http = http;
  row->port = port;
  row->stream = g_strdup (stream);
  row->from = from;
  row->at_ms = now_ms () + wait_ms;
  row->late_offset = g_strdup (late_offset);
  g_ptr_array_add (waiting, row);
}

static gboolean
wake (struct waiting *row)
{
  gboolean due = now_ms () >= row->at_ms;
  if (iv_http_is_disconnected (row->http))
    iv_http_respond_json (row->http, 503, "{}");
  else if (row->stream && row->port->mode == LOG_DOWN)
    return FALSE;
  else if (row->stream
           && (due || fake_stream_end (fake_log_stream (streams, row->stream)) > row->from))
    answer_read (row->http, row->stream, row->from);
  else if (row->late_offset && due)
    answer_appended (row->http, row->late_offset);
  else if (due)
    iv_http_respond_json (row->http, 503, "{}");
  else
    return FALSE;
  return TRUE;
}

static void
wake_all (void)
{
  for (guint i = 0; i < waiting->len;)
    {
      struct waiting *row = g_ptr_array_index (waiting, i);
      if (!wake (row))
        {
          i++;
          continue;
        }
      g_free (row->stream);
      g_free (row->late_offset);
      g_free (row);
      g_ptr_array_remove_index_fast (waiting, i);
    }
}

static void
on_tick (uv_timer_t *timer)
{
  if (hosts_changed_ms && now_ms () - hosts_changed_ms >= lag_ms)
    {
      json_decref (visible);
      visible = json_deep_copy (hosts);
      visible_version++;
      hosts_changed_ms = 0;
    }
  wake_all ();
}

static void
serve_append (struct port *port, struct iv_http_request *http, const char *name)
{
  struct fake_stream *stream = fake_log_stream (streams, name);
  gsize len;
  const char *body = iv_http_body (http, &len);
  char offset[24];
  if (port->mode == LOG_DOWN)
    {
      hold (http, port, NULL, 0, HELD_MS, NULL);
      return;
    }
  snprintf (offset, sizeof offset, "%" G_GUINT64_FORMAT,
            fake_stream_append (stream, body, len, now_ms ()));
  if (retention_ms > 0)
    fake_stream_expire (stream, now_ms () - retention_ms);
  if (port->mode == LOG_LOST)
    hold (http, port, NULL, 0, HELD_MS, NULL);
  else if (port->mode == LOG_SLOW)
    hold (http, port, NULL, 0, port->delay_ms, offset);
  else
    answer_appended (http, offset);
  wake_all ();
}

static guint64
query_number (const char *path, const char *key)
{
  char *text = iv_http_query (path, key);
  guint64 value = text ? g_ascii_strtoull (text, NULL, 10) : 0;
  g_free (text);
  return value;
}

static void
serve_read (struct port *port, struct iv_http_request *http, const char *name)
{
  const char *path = iv_http_path (http);
  guint64 from = query_number (path, "from");
  gint64 wait_ms = (gint64)query_number (path, "wait_ms");
  if (port->mode == LOG_SLOW)
    wait_ms += port->delay_ms;
  hold (http, port, name, from, port->mode == LOG_DOWN ? HELD_MS : wait_ms, NULL);
  wake_all ();
}

static void
serve_stream (struct port *port, struct iv_http_request *http)
{
  const char *name = iv_http_path (http) + strlen ("/streams/");
  char *stream = g_strndup (name, strcspn (name, "/"));
  if (strcmp (iv_http_method (http), "POST") == 0)
    serve_append (port, http, stream);
  else
    serve_read (port, http, stream);
  g_free (stream);
}

static void
serve_faults (struct port *port, struct iv_http_request *http)
{
  char *mode = iv_http_query (iv_http_path (http), "log");
  for (guint i = 0; mode && i < G_N_ELEMENTS (mode_names); i++)
    if (strcmp (mode, mode_names[i]) == 0)
      port->mode = (enum log_mode)i;
  port->delay_ms = (gint64)query_number (iv_http_path (http), "ms");
  g_free (mode);
  iv_http_respond_json (http, 200, "{}");
}

/* PUT /hosts/workers or /hosts/instances: an array whose rows replace those of the same name. */
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
  const char *known = iv_http_request_header (http, "if-none-match");
  char tag[24];
  const struct iv_http_header headers[] = { { "etag", tag }, { NULL, NULL } };
  char *text;
  snprintf (tag, sizeof tag, "\"%u\"", visible_version);
  if (known && strcmp (known, tag) == 0)
    {
      iv_http_respond (http, 304, NULL, headers, "", 0);
      return;
    }
  text = json_dumps (visible, JSON_COMPACT);
  iv_http_respond (http, 200, "application/json", headers, text, strlen (text));
  free (text);
}

static void
on_request (void *context, struct iv_http_request *http)
{
  struct port *port = context;
  const char *path = iv_http_path (http);
  if (g_str_has_prefix (path, "/streams/"))
    serve_stream (port, http);
  else if (g_str_has_prefix (path, "/faults"))
    serve_faults (port, http);
  else if (g_str_has_prefix (path, "/hosts/workers"))
    serve_register (http, "workers");
  else if (g_str_has_prefix (path, "/hosts/instances"))
    serve_register (http, "instances");
  else if (g_str_has_prefix (path, "/retention"))
    {
      retention_ms = (gint64)query_number (path, "ms");
      iv_http_respond_json (http, 200, "{}");
    }
  else if (g_str_has_prefix (path, "/lag"))
    {
      lag_ms = (gint64)query_number (path, "ms");
      iv_http_respond_json (http, 200, "{}");
    }
  else if (strcmp (path, "/hosts") == 0 && port->mode == LOG_DOWN)
    hold (http, port, NULL, 0, HELD_MS, NULL);
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
  static struct port ports[PORTS_MAX];
  uv_timer_t tick;
  signal (SIGPIPE, SIG_IGN);
  loop = uv_default_loop ();
  deadlines = iv_deadlines_new (loop);
  streams = fake_log_new ();
  waiting = g_ptr_array_new ();
  hosts = json_pack ("{s:[],s:[]}", "workers", "instances");
  visible = json_deep_copy (hosts);
  for (int i = 1; i < argc && i < PORTS_MAX; i++)
    {
      struct port *port = &ports[i];
      char ip[64];
      guint16 number;
      if (!iv_parse_address (argv[i], ip, &number))
        return 64;
      port->server = iv_http_server_new (loop, ip, number, &limits, on_request, port);
      if (port->server == NULL)
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
