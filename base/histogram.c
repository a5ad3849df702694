#include "histogram.h"

#include <gsl/gsl_histogram.h>
#include <string.h>

#define VALUE_MAX_MS 1e9 /* longer values are clamped and counted in the +Inf bucket */

/* Lower bounds of the bins, in milliseconds. A store request takes 4 ms. */
static const double bounds_ms[]
    = { 0, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, VALUE_MAX_MS };

struct iv_histogram
{
  char *name;
  char *help;
  gsl_histogram *bins;
  gint64 sum_ms;
};

static GPtrArray *registry;

struct iv_histogram *
iv_histogram_get (const char *name, const char *help)
{
  struct iv_histogram *histogram;
  if (registry == NULL)
    registry = g_ptr_array_new ();
  for (guint i = 0; i < registry->len; i++)
    {
      histogram = g_ptr_array_index (registry, i);
      if (strcmp (histogram->name, name) == 0)
        return histogram;
    }
  histogram = g_new0 (struct iv_histogram, 1);
  histogram->name = g_strdup (name);
  histogram->help = g_strdup (help);
  histogram->bins = gsl_histogram_alloc (G_N_ELEMENTS (bounds_ms) - 1);
  gsl_histogram_set_ranges (histogram->bins, bounds_ms, G_N_ELEMENTS (bounds_ms));
  g_ptr_array_add (registry, histogram);
  return histogram;
}

void
iv_histogram_add (struct iv_histogram *histogram, gint64 ms)
{
  gint64 clamped_ms = CLAMP (ms, 0, (gint64)VALUE_MAX_MS - 1);
  gsl_histogram_increment (histogram->bins, (double)clamped_ms);
  histogram->sum_ms += clamped_ms;
}

static void
render (const struct iv_histogram *histogram, GString *text)
{
  gint64 count = 0;
  g_string_append_printf (text, "# HELP %s %s\n# TYPE %s histogram\n", histogram->name,
                          histogram->help, histogram->name);
  for (gsize i = 0; i + 1 < G_N_ELEMENTS (bounds_ms); i++)
    {
      count += (gint64)gsl_histogram_get (histogram->bins, i);
      if (bounds_ms[i + 1] < VALUE_MAX_MS)
        g_string_append_printf (text, "%s_bucket{le=\"%g\"} %" G_GINT64_FORMAT "\n",
                                histogram->name, bounds_ms[i + 1], count);
    }
  g_string_append_printf (text,
                          "%s_bucket{le=\"+Inf\"} %" G_GINT64_FORMAT "\n%s_sum %" G_GINT64_FORMAT
                          "\n%s_count %" G_GINT64_FORMAT "\n",
                          histogram->name, count, histogram->name, histogram->sum_ms,
                          histogram->name, count);
}

char *
iv_histograms_text (void)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; registry && i < registry->len; i++)
    render (g_ptr_array_index (registry, i), text);
  return g_string_free (text, FALSE);
}
