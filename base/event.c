#include "event.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define QUOTE_BUFFERS 4
#define QUOTE_SIZE 512

static const char *const level_names[] = { "debug", "info", "warning", "error" };
static const GLogLevelFlags level_flags[]
    = { G_LOG_LEVEL_DEBUG, G_LOG_LEVEL_INFO, G_LOG_LEVEL_WARNING, G_LOG_LEVEL_CRITICAL };

static char *host_name;
static enum iv_level lowest_level = IV_LEVEL_INFO;

static const char *
level_name (GLogLevelFlags flags)
{
  for (guint i = 0; i < G_N_ELEMENTS (level_flags); i++)
    if (flags & level_flags[i])
      return level_names[i];
  return "error";
}

static GLogWriterOutput
write_line (GLogLevelFlags flags, const GLogField *fields, gsize count, gpointer user_data)
{
  const char *message = "";
  struct timespec now;
  struct tm parts;
  char stamp[32];

  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      message = fields[i].value;
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &parts);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &parts);
  fprintf (stderr, "time=%s.%03ldZ level=%s host=%s %s\n", stamp, now.tv_nsec / 1000000,
           level_name (flags), host_name ? host_name : "-", message);
  return G_LOG_WRITER_HANDLED;
}

void
iv_event_init (const char *host, enum iv_level level)
{
  g_free (host_name);
  host_name = g_strdup (host);
  lowest_level = level;
  g_log_set_writer_func (write_line, NULL, NULL);
  setvbuf (stderr, NULL, _IOLBF, BUFSIZ);
}

void
iv_event (enum iv_level level, const char *event, const char *pairs, ...)
{
  va_list args;
  char *rest;
  if (level < lowest_level)
    return;
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
  static __thread char buffers[QUOTE_BUFFERS][QUOTE_SIZE];
  static __thread guint next;
  char *out = buffers[next++ % QUOTE_BUFFERS];
  gboolean plain = value[0] != '\0';
  gsize n = 0;

  for (const char *c = value; *c; c++)
    if ((unsigned char)*c <= ' ' || *c == '"' || *c == '=' || *c == '\\' || *c == 0x7f)
      plain = FALSE;
  if (plain && strlen (value) < QUOTE_SIZE)
    return memcpy (out, value, strlen (value) + 1);
  out[n++] = '"';
  for (const char *c = value; *c && n < QUOTE_SIZE - 4; c++)
    {
      if (*c == '"' || *c == '\\')
        out[n++] = '\\';
      out[n++] = (unsigned char)*c < ' ' || *c == 0x7f ? '?' : *c;
    }
  out[n++] = '"';
  out[n] = '\0';
  return out;
}
