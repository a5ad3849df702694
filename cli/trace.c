#include "trace.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define LINE_BYTES_MAX 8192
#define VALUE_BYTES_MAX 512
/* A wait for the first start is reported from this time on; reaching a worker takes less. */
#define LONG_WAIT_MS 200

/* One log line. */
struct line
{
  char *time;
  char *host;
  char *event;
  char *pairs; /* key=value pairs after the event */
};

struct iv_trace
{
  char *id;
  GPtrArray *lines; /* of struct line, by time: lines that refer to the job */
  GPtrArray *gaps;  /* of struct line, by time: log.* events of any host, such as log.left_out */
};

static void
free_line (gpointer data)
{
  struct line *line = data;
  g_free (line->time);
  g_free (line->host);
  g_free (line->event);
  g_free (line->pairs);
  g_free (line);
}

/* Finds the value of @a key among key=value pairs, truncated to VALUE_BYTES_MAX - 1 bytes. */
static gboolean
find_value (const char *pairs, const char *key, char value[VALUE_BYTES_MAX])
{
  gsize len = strlen (key);
  for (const char *cursor = pairs; (cursor = strstr (cursor, key)) != NULL; cursor += len)
    {
      gsize n = 0;
      gboolean quoted;
      if ((cursor > pairs && cursor[-1] != ' ') || cursor[len] != '=')
        continue;
      cursor += len + 1;
      quoted = *cursor == '"';
      cursor += quoted;
      while (*cursor && (quoted ? *cursor != '"' : !g_ascii_isspace (*cursor))
             && n + 1 < VALUE_BYTES_MAX)
        value[n++] = *cursor++;
      value[n] = '\0';
      return TRUE;
    }
  return FALSE;
}

static struct line *
parse_line (const char *text)
{
  char value[VALUE_BYTES_MAX];
  struct line *line;
  const char *event = strstr (text, "event=");
  if (event == NULL || !find_value (text, "time", value))
    return NULL;
  line = g_new0 (struct line, 1);
  line->time = g_strdup (value);
  line->host = g_strdup (find_value (text, "host", value) ? value : "-");
  line->event = g_strdup (find_value (event, "event", value) ? value : "-");
  event += strcspn (event, " \n");
  line->pairs = g_strstrip (g_strdup (event));
  return line;
}

/* Whether the line has a job or task key of the job @a id. A task name is ID.K.STEP.INDEX. */
static gboolean
refers_to_job (const struct line *line, const char *id)
{
  static const char *const keys[] = { "job", "task" };
  char value[VALUE_BYTES_MAX];
  gsize len = strlen (id);
  for (guint i = 0; i < G_N_ELEMENTS (keys); i++)
    if (find_value (line->pairs, keys[i], value) && strncmp (value, id, len) == 0
        && (value[len] == '\0' || value[len] == '.'))
      return TRUE;
  return FALSE;
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(struct line *const *)a)->time, (*(struct line *const *)b)->time);
}

struct iv_trace *
iv_trace_read (FILE *logs, const char *id)
{
  struct iv_trace *trace = g_new0 (struct iv_trace, 1);
  char text[LINE_BYTES_MAX];
  trace->id = g_strdup (id);
  trace->lines = g_ptr_array_new_with_free_func (free_line);
  trace->gaps = g_ptr_array_new_with_free_func (free_line);
  while (fgets (text, sizeof text, logs))
    {
      struct line *line = parse_line (text);
      if (line && refers_to_job (line, id))
        g_ptr_array_add (trace->lines, line);
      else if (line && g_str_has_prefix (line->event, "log."))
        g_ptr_array_add (trace->gaps, line);
      else if (line)
        free_line (line);
    }
  g_ptr_array_sort (trace->lines, compare_times);
  g_ptr_array_sort (trace->gaps, compare_times);
  return trace;
}

void
iv_trace_free (struct iv_trace *trace)
{
  g_ptr_array_free (trace->lines, TRUE);
  g_ptr_array_free (trace->gaps, TRUE);
  g_free (trace->id);
  g_free (trace);
}

guint
iv_trace_line_count (const struct iv_trace *trace)
{
  return trace->lines->len;
}

static const struct line *
line_at (const struct iv_trace *trace, guint i)
{
  return g_ptr_array_index (trace->lines, i);
}

/* Last line of the event @a event that has @a key=@a expected; a NULL key matches all. */
static const struct line *
find_last (const struct iv_trace *trace, const char *event, const char *key, const char *expected)
{
  char value[VALUE_BYTES_MAX];
  for (guint i = trace->lines->len; i-- > 0;)
    {
      const struct line *line = line_at (trace, i);
      if (strcmp (line->event, event) == 0
          && (key == NULL
              || (find_value (line->pairs, key, value) && strcmp (value, expected) == 0)))
        return line;
    }
  return NULL;
}

static guint
count_lines (const struct iv_trace *trace, const char *event, const char *key, const char *expected)
{
  char value[VALUE_BYTES_MAX];
  guint found = 0;
  for (guint i = 0; i < trace->lines->len; i++)
    {
      const struct line *line = line_at (trace, i);
      found += strcmp (line->event, event) == 0
               && (key == NULL
                   || (find_value (line->pairs, key, value) && strcmp (value, expected) == 0));
    }
  return found;
}

/* Events that delay a job, and their description in the summary. */
static const struct
{
  const char *event;
  const char *key;
  const char *value;
  const char *text;
} delays[] = { { "run.ended", "how", "failed", "runs failed" },
               { "run.ended", "how", "lapsed", "runs lost their lease" },
               { "run.ended", "how", "stopped", "runs were stopped" },
               { "run.refused", "outcome", "no_answer", "orders had no answer" },
               { "run.refused", "outcome", "no_room", "orders found no room" },
               { "run.refused", "outcome", "no_ticket", "orders had no ticket" },
               { "run.lapsed", NULL, NULL, "runs were on workers that fell silent" },
               { "run.stalled", NULL, NULL, "runs stood still" },
               { "run.moved", NULL, NULL, "runs were moved away from a tail" },
               { "job.moved", NULL, NULL, "moves to another cell" } };

static void
add_delays (const struct iv_trace *trace, GString *text)
{
  const struct line *started = find_last (trace, "job.begun", NULL, NULL);
  char value[VALUE_BYTES_MAX];
  if (started && find_value (started->pairs, "waited_ms", value) && atoi (value) >= LONG_WAIT_MS)
    g_string_append_printf (text, "; waited %s ms for a place", value);
  for (guint i = 0; i < G_N_ELEMENTS (delays); i++)
    {
      guint found = count_lines (trace, delays[i].event, delays[i].key, delays[i].value);
      if (found > 0)
        g_string_append_printf (text, "; %u %s", found, delays[i].text);
    }
}

static void
add_end (const struct iv_trace *trace, const struct line *ended, GString *text)
{
  char state[VALUE_BYTES_MAX];
  char took_ms[VALUE_BYTES_MAX];
  char slack_ms[VALUE_BYTES_MAX];
  if (!find_value (ended->pairs, "state", state) || !find_value (ended->pairs, "took_ms", took_ms)
      || !find_value (ended->pairs, "objective_left_ms", slack_ms))
    {
      g_string_append (text, "it ended, and the line that says how cannot be read");
      return;
    }
  g_string_append_printf (text, "%s after %s ms, ", state, took_ms);
  if (slack_ms[0] == '-')
    g_string_append_printf (text, "%s ms late", slack_ms + 1);
  else
    g_string_append (text, "in time");
  add_delays (trace, text);
}

char *
iv_trace_cause (const struct iv_trace *trace)
{
  GString *text = g_string_new (NULL);
  const struct line *ended = find_last (trace, "job.ended", NULL, NULL);
  const struct line *refused = find_last (trace, "request.refused", NULL, NULL);
  const struct line *accepted = find_last (trace, "job.accepted", "outcome", "ok");
  char reason[VALUE_BYTES_MAX];
  if (trace->lines->len == 0)
    g_string_append (text, "no line names it");
  else if (ended)
    add_end (trace, ended, text);
  else if (accepted || find_last (trace, "job.begun", NULL, NULL))
    {
      g_string_append (text, "accepted, not ended in these logs");
      add_delays (trace, text);
    }
  else if (refused && find_value (refused->pairs, "reason", reason))
    g_string_append_printf (text, "refused: %s", reason);
  else
    g_string_append (text, "not accepted in these logs");
  return g_string_free (text, FALSE);
}

/* Whether @a gap lies between the first and the last line of the timeline. */
static gboolean
is_within (const struct iv_trace *trace, const struct line *gap)
{
  return trace->lines->len > 0 && strcmp (gap->time, line_at (trace, 0)->time) >= 0
         && strcmp (gap->time, line_at (trace, trace->lines->len - 1)->time) <= 0;
}

char *
iv_trace_text (const struct iv_trace *trace)
{
  GString *text = g_string_new (NULL);
  char *cause = iv_trace_cause (trace);
  for (guint i = 0; i < trace->lines->len; i++)
    g_string_append_printf (text, "%s %s %s %s\n", line_at (trace, i)->time,
                            line_at (trace, i)->host, line_at (trace, i)->event,
                            line_at (trace, i)->pairs);
  for (guint i = 0; i < trace->gaps->len; i++)
    {
      const struct line *gap = g_ptr_array_index (trace->gaps, i);
      if (is_within (trace, gap))
        g_string_append_printf (text, "gap: %s %s %s %s\n", gap->time, gap->host, gap->event,
                                gap->pairs);
    }
  g_string_append_printf (text, "cause: %s\n", cause);
  g_free (cause);
  return g_string_free (text, FALSE);
}

static json_t *
lines_json (const struct iv_trace *trace, const GPtrArray *lines, gboolean within)
{
  json_t *rows = json_array ();
  for (guint i = 0; i < lines->len; i++)
    {
      const struct line *line = g_ptr_array_index (lines, i);
      if (!within || is_within (trace, line))
        json_array_append_new (rows,
                               json_pack ("{s:s,s:s,s:s,s:s}", "time", line->time, "host",
                                          line->host, "event", line->event, "pairs", line->pairs));
    }
  return rows;
}

char *
iv_trace_json (const struct iv_trace *trace)
{
  char *cause = iv_trace_cause (trace);
  json_t *root = json_pack ("{s:s,s:s,s:o,s:o}", "id", trace->id, "cause", cause, "lines",
                            lines_json (trace, trace->lines, FALSE), "gaps",
                            lines_json (trace, trace->gaps, TRUE));
  char *json_text = json_dumps (root, JSON_INDENT (2));
  char *text = g_strconcat (json_text ? json_text : "null", "\n", NULL);
  json_decref (root);
  free (json_text);
  g_free (cause);
  return text;
}
