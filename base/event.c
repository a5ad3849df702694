#include "event.h"

#include "counter.h"

#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define QUOTE_BUFFERS 4
#define QUOTE_BUFFER_BYTES 512
#define LINE_MAX_BYTES 4096 /* PIPE_BUF: the longest atomic write to a pipe */

static const char *const level_names[] = { "debug", "info", "warning", "error" };
static const GLogLevelFlags level_flags[]
    = { G_LOG_LEVEL_DEBUG, G_LOG_LEVEL_INFO, G_LOG_LEVEL_WARNING, G_LOG_LEVEL_CRITICAL };

static char *host_name;
static enum iv_level min_level = IV_LEVEL_INFO;

static const char *
level_name (GLogLevelFlags flags)
{
  for (guint i = 0; i < G_N_ELEMENTS (level_flags); i++)
    if (flags & level_flags[i])
      return level_names[i];
  return "error";
}

/* A pipe that poll() reports as writable accepts LINE_MAX_BYTES in one write without blocking. */
static gboolean
stdout_is_writable (void)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
  return poll (&out, 1, 0) == 1 && (out.revents & POLLOUT);
}

static void
write_or_count_loss (const char *line, gsize len)
{
  static guint lost_lines;
  char report[96];
  if (!stdout_is_writable ())
    {
      lost_lines++;
      return;
    }
  if (lost_lines > 0)
    {
      int n = snprintf (report, sizeof report, "level=warning host=%s event=log.lost lines=%u\n",
                        host_name ? host_name : "-", lost_lines);
      if (write (STDOUT_FILENO, report, (size_t)MIN (n, (int)sizeof report - 1)) > 0)
        lost_lines = 0;
      if (!stdout_is_writable ())
        {
          lost_lines++;
          return;
        }
    }
  if (write (STDOUT_FILENO, line, len) < 0)
    lost_lines++;
}

static GLogWriterOutput
write_line (GLogLevelFlags flags, const GLogField *fields, gsize count, gpointer user_data)
{
  const char *message = "";
  struct timespec now;
  struct tm utc;
  char timestamp[32];
  char line[LINE_MAX_BYTES];
  int len;

  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      message = fields[i].value;
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &utc);
  len = snprintf (line, sizeof line, "time=%s.%03ldZ level=%s host=%s %s", timestamp,
                  now.tv_nsec / 1000000, level_name (flags), host_name ? host_name : "-", message);
  len = MIN (len, (int)sizeof line - 2);
  line[len++] = '\n';
  write_or_count_loss (line, (gsize)len);
  return G_LOG_WRITER_HANDLED;
}

void
iv_event_init (const char *host, enum iv_level level)
{
  g_free (host_name);
  host_name = g_strdup (host);
  min_level = level;
  g_log_set_writer_func (write_line, NULL, NULL);
}

/* Rate limit of one event name: lines of the current second, and a counter of all its events. */
struct rate_limit
{
  struct iv_counter *events;
  gint64 second;
  guint lines;
  guint suppressed;
};

gboolean
iv_event_admit (const char *event, gint64 now_s, guint *suppressed)
{
  static GHashTable *rate_limits;
  struct rate_limit *rate_limit;
  if (rate_limits == NULL)
    rate_limits = g_hash_table_new (g_str_hash, g_str_equal);
  rate_limit = g_hash_table_lookup (rate_limits, event);
  *suppressed = 0;
  if (rate_limit == NULL)
    {
      char *label = g_strdup_printf ("event=\"%s\"", event);
      rate_limit = g_new0 (struct rate_limit, 1);
      rate_limit->events = iv_counter_get ("ibisvane_events_total", label,
                                           "Events, also those that the log left out.");
      g_free (label);
      g_hash_table_insert (rate_limits, g_strdup (event), rate_limit);
    }
  if (rate_limit->second != now_s)
    {
      *suppressed = rate_limit->suppressed;
      *rate_limit = (struct rate_limit){ .events = rate_limit->events, .second = now_s };
    }
  iv_counter_add (rate_limit->events, 1);
  if (rate_limit->lines < IV_EVENT_LINES_PER_S_MAX)
    {
      rate_limit->lines++;
      return TRUE;
    }
  rate_limit->suppressed++;
  return FALSE;
}

void
iv_event (enum iv_level level, const char *event, const char *pairs, ...)
{
  va_list args;
  char *rest;
  guint suppressed;
  if (level < min_level
      || !iv_event_admit (event, g_get_monotonic_time () / G_USEC_PER_SEC, &suppressed))
    return;
  if (suppressed > 0)
    g_log_structured ("ibisvane", level_flags[level], "MESSAGE",
                      "event=log.left_out of=%s lines=%u", event, suppressed);
  va_start (args, pairs);
  rest = g_strdup_vprintf (pairs, args);
  va_end (args);
  g_log_structured ("ibisvane", level_flags[level], "MESSAGE", "event=%s%s%s", event,
                    rest[0] ? " " : "", rest);
  g_free (rest);
}

const char *
iv_quote (const char *value)
{
  static __thread char buffers[QUOTE_BUFFERS][QUOTE_BUFFER_BYTES];
  static __thread guint next;
  char *out = buffers[next++ % QUOTE_BUFFERS];
  gboolean plain = value[0] != '\0';
  gsize n = 0;

  for (const char *c = value; *c; c++)
    if ((unsigned char)*c <= ' ' || *c == '"' || *c == '=' || *c == '\\' || *c == 0x7f)
      plain = FALSE;
  if (plain && strlen (value) < QUOTE_BUFFER_BYTES)
    return memcpy (out, value, strlen (value) + 1);
  out[n++] = '"';
  for (const char *c = value; *c && n < QUOTE_BUFFER_BYTES - 4; c++)
    {
      if (*c == '"' || *c == '\\')
        out[n++] = '\\';
      out[n++] = (unsigned char)*c < ' ' || *c == 0x7f ? '?' : *c;
    }
  out[n++] = '"';
  out[n] = '\0';
  return out;
}
