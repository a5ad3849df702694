#include "findings.h"

static void
clear_finding (gpointer data)
{
  struct iv_finding *finding = data;
  g_free (finding->message);
}

static gint
compare_locations (gconstpointer a, gconstpointer b)
{
  const struct iv_finding *left = a, *right = b;
  if (left->location.line != right->location.line)
    return left->location.line < right->location.line ? -1 : 1;
  if (left->location.col != right->location.col)
    return left->location.col < right->location.col ? -1 : 1;
  return 0;
}

struct iv_findings *
iv_findings_new (const char *file)
{
  struct iv_findings *findings = g_new0 (struct iv_findings, 1);
  findings->file = g_strdup (file);
  findings->items = g_array_new (FALSE, FALSE, sizeof (struct iv_finding));
  g_array_set_clear_func (findings->items, clear_finding);
  return findings;
}

void
iv_findings_free (struct iv_findings *findings)
{
  if (findings == NULL)
    return;
  g_array_free (findings->items, TRUE);
  g_free (findings->file);
  g_free (findings);
}

void
iv_findings_add (struct iv_findings *findings, struct iv_location location, const char *message,
                 ...)
{
  va_list args;
  struct iv_finding finding = { .location = location };
  va_start (args, message);
  finding.message = g_strdup_vprintf (message, args);
  va_end (args);
  g_array_append_val (findings->items, finding);
}

guint
iv_findings_count (const struct iv_findings *findings)
{
  return findings->items->len;
}

char *
iv_findings_text (struct iv_findings *findings)
{
  GString *text = g_string_new (NULL);
  g_array_sort (findings->items, compare_locations);
  for (guint i = 0; i < findings->items->len; i++)
    {
      const struct iv_finding *f = &g_array_index (findings->items, struct iv_finding, i);
      g_string_append_printf (text, "%s:%u:%u: %s\n", findings->file, f->location.line,
                              f->location.col, f->message);
    }
  return g_string_free (text, FALSE);
}
