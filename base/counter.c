#include "counter.h"

#include <string.h>

struct iv_counter
{
  char *name;
  char *labels;
  char *help;
  gboolean is_gauge;
  gint64 value;
};

static GPtrArray *registry;

static struct iv_counter *
find_or_register (const char *name, const char *labels, const char *help, gboolean is_gauge)
{
  struct iv_counter *counter;
  if (registry == NULL)
    registry = g_ptr_array_new ();
  for (guint i = 0; i < registry->len; i++)
    {
      counter = g_ptr_array_index (registry, i);
      if (strcmp (counter->name, name) == 0 && strcmp (counter->labels, labels) == 0)
        return counter;
    }
  counter = g_new0 (struct iv_counter, 1);
  counter->name = g_strdup (name);
  counter->labels = g_strdup (labels);
  counter->help = g_strdup (help);
  counter->is_gauge = is_gauge;
  g_ptr_array_add (registry, counter);
  return counter;
}

static gint
compare_series (gconstpointer a, gconstpointer b)
{
  const struct iv_counter *left = *(struct iv_counter *const *)a;
  const struct iv_counter *right = *(struct iv_counter *const *)b;
  int by_name = strcmp (left->name, right->name);
  return by_name ? by_name : strcmp (left->labels, right->labels);
}

struct iv_counter *
iv_counter_get (const char *name, const char *labels, const char *help)
{
  return find_or_register (name, labels, help, FALSE);
}

struct iv_counter *
iv_gauge_get (const char *name, const char *labels, const char *help)
{
  return find_or_register (name, labels, help, TRUE);
}

void
iv_counter_add (struct iv_counter *counter, gint64 n)
{
  counter->value += n;
}

void
iv_gauge_set (struct iv_counter *gauge, gint64 value)
{
  gauge->value = value;
}

gint64
iv_counter_value (const struct iv_counter *counter)
{
  return counter->value;
}

char *
iv_counters_text (void)
{
  GString *text = g_string_new (NULL);
  const char *previous_name = "";
  if (registry == NULL)
    return g_string_free (text, FALSE);
  g_ptr_array_sort (registry, compare_series);
  for (guint i = 0; i < registry->len; i++)
    {
      const struct iv_counter *c = g_ptr_array_index (registry, i);
      if (strcmp (previous_name, c->name) != 0)
        g_string_append_printf (text, "# HELP %s %s\n# TYPE %s %s\n", c->name, c->help, c->name,
                                c->is_gauge ? "gauge" : "counter");
      previous_name = c->name;
      if (c->labels[0])
        g_string_append_printf (text, "%s{%s} %" G_GINT64_FORMAT "\n", c->name, c->labels,
                                c->value);
      else
        g_string_append_printf (text, "%s %" G_GINT64_FORMAT "\n", c->name, c->value);
    }
  return g_string_free (text, FALSE);
}
