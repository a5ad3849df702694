#include "render.h"

#include <stdlib.h>

static const char *
string_member (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text ? text : "";
}

static gint64
integer_member (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static gboolean
is_true (const json_t *object, const char *key)
{
  return json_is_true (json_object_get (object, key));
}

static void
render_key_values (GString *out, const json_t *body)
{
  const char *key;
  json_t *value;
  json_object_foreach ((json_t *)body, key, value)
    {
      char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
      if (json_is_string (value))
        g_string_append_printf (out, "%s: %s\n", key, json_string_value (value));
      else
        g_string_append_printf (out, "%s: %s\n", key, text);
      free (text);
    }
}

static void
render_item (GString *out, const json_t *item)
{
  g_string_append_printf (out,
                          "%-8s %-32s team %-16s tasks %-6" G_GINT64_FORMAT
                          " cpu %-6" G_GINT64_FORMAT "m memory %-7" G_GINT64_FORMAT "MiB %s\n",
                          string_member (item, "type"), string_member (item, "name"),
                          string_member (item, "team"), integer_member (item, "tasks"),
                          integer_member (item, "cpu_milli"), integer_member (item, "memory_mib"),
                          string_member (item, "state"));
}

static void
render_items (GString *out, const json_t *items)
{
  size_t i;
  json_t *item;
  json_array_foreach (items, i, item)
    render_item (out, item);
}

static void
render_history (GString *out, const json_t *body)
{
  size_t i;
  json_t *row;
  json_array_foreach (body, i, row)
    g_string_append_printf (out,
                            "release %-6" G_GINT64_FORMAT " by %-16s added %" G_GINT64_FORMAT
                            " changed %" G_GINT64_FORMAT " withdrawn %" G_GINT64_FORMAT
                            " offset %" G_GINT64_FORMAT "\n",
                            integer_member (row, "release"), string_member (row, "author"),
                            integer_member (row, "added"), integer_member (row, "changed"),
                            integer_member (row, "withdrawn"), integer_member (row, "offset"));
}

static void
render_job (GString *out, const json_t *body)
{
  size_t i, j;
  json_t *domain, *task, *name;
  render_item (out, json_object_get (body, "job"));
  json_array_foreach (json_object_get (body, "domains"), i, domain)
    {
      json_array_foreach (json_object_get (domain, "tasks"), j, task)
        g_string_append_printf (
            out, "  task %-6" G_GINT64_FORMAT " %-16s %-9s attempt %-3" G_GINT64_FORMAT " %s%s\n",
            integer_member (task, "index"), string_member (domain, "domain"),
            string_member (task, "state"), integer_member (task, "attempt"),
            string_member (task, "host"), string_member (task, "reason"));
    }
  json_array_foreach (json_object_get (body, "missing"), i, name)
    g_string_append_printf (out, "  incomplete: the owner of %s did not answer\n",
                            json_string_value (name));
}

static void
render_status (GString *out, const json_t *body)
{
  size_t i;
  json_t *row;
  g_string_append_printf (
      out, "host %s in %s: %s%s\n", string_member (body, "host"), string_member (body, "domain"),
      is_true (body, "ready") ? "ready" : "not ready: ", string_member (body, "reason"));
  g_string_append_printf (
      out, "release %" G_GINT64_FORMAT ", evidence %" G_GINT64_FORMAT " ms old, log %s, keys %s\n",
      integer_member (body, "release"), integer_member (body, "config_age_ms"),
      is_true (body, "log_up") ? "up" : "down",
      is_true (body, "keys_ready") ? "ready" : "not ready");
  json_array_foreach (json_object_get (body, "domains"), i, row)
    g_string_append_printf (out,
                            "domain %-16s %-4s owner %-16s term %-4" G_GINT64_FORMAT
                            " workers %-4" G_GINT64_FORMAT " tasks %" G_GINT64_FORMAT "\n",
                            string_member (row, "domain"), is_true (row, "out") ? "out" : "in",
                            string_member (row, "owner"), integer_member (row, "term"),
                            integer_member (row, "workers"), integer_member (row, "tasks"));
  json_array_foreach (json_object_get (body, "members"), i, row)
    g_string_append_printf (out, "member %-16s %-16s %s release %" G_GINT64_FORMAT "\n",
                            string_member (row, "host"), string_member (row, "domain"),
                            is_true (row, "alive") ? "alive" : "silent",
                            integer_member (row, "release"));
}

char *
iv_render (enum iv_view view, const json_t *body)
{
  GString *out = g_string_new (NULL);
  switch (view)
    {
    case IV_VIEW_RELEASE:
      g_string_append_printf (out, "release %" G_GINT64_FORMAT "\n",
                              integer_member (body, "release"));
      render_items (out, json_object_get (body, "items"));
      break;
    case IV_VIEW_HISTORY:
      render_history (out, body);
      break;
    case IV_VIEW_JOBS:
      render_items (out, body);
      break;
    case IV_VIEW_JOB:
      render_job (out, body);
      break;
    case IV_VIEW_STATUS:
      render_status (out, body);
      break;
    default:
      render_key_values (out, body);
    }
  return g_string_free (out, FALSE);
}
