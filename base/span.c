#include "span.h"

#include "event.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static guint64
random_id (void)
{
  guint64 id = ((guint64)g_random_int () << 32) | g_random_int ();
  return id ? id : 1;
}

static gboolean
parse_hex (const char *text, gsize digits, guint64 *value)
{
  *value = 0;
  for (gsize i = 0; i < digits; i++)
    {
      if (!g_ascii_isxdigit (text[i]) || g_ascii_isupper (text[i]))
        return FALSE;
      *value = *value << 4 | (guint64)g_ascii_xdigit_value (text[i]);
    }
  return TRUE;
}

static gboolean
parse_traceparent (const char *header, gsize len, struct iv_span *span)
{
  guint64 flags;
  if (header == NULL || len != IV_TRACEPARENT_LEN || strncmp (header, "00-", 3) != 0)
    return FALSE;
  if (header[35] != '-' || header[52] != '-')
    return FALSE;
  if (!parse_hex (header + 3, 16, &span->trace_hi) || !parse_hex (header + 19, 16, &span->trace_lo)
      || !parse_hex (header + 36, 16, &span->parent_id) || !parse_hex (header + 53, 2, &flags))
    return FALSE;
  return (span->trace_hi | span->trace_lo) != 0 && span->parent_id != 0;
}

struct iv_span
iv_span_start (const char *header, gsize len)
{
  struct iv_span span = { 0 };
  if (!parse_traceparent (header, len, &span))
    {
      span.trace_hi = random_id ();
      span.trace_lo = random_id ();
      span.parent_id = 0;
    }
  span.span_id = random_id ();
  span.start_us = g_get_monotonic_time ();
  return span;
}

struct iv_span
iv_span_child (const struct iv_span *parent)
{
  struct iv_span span = *parent;
  span.parent_id = parent->span_id;
  span.span_id = random_id ();
  span.start_us = g_get_monotonic_time ();
  return span;
}

void
iv_span_format (const struct iv_span *span, char out[IV_TRACEPARENT_LEN + 1])
{
  snprintf (out, IV_TRACEPARENT_LEN + 1,
            "00-%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x-%016" G_GINT64_MODIFIER "x-01",
            span->trace_hi, span->trace_lo, span->span_id);
}

void
iv_span_end (const struct iv_span *span, const char *hop, const char *outcome)
{
  iv_event (IV_LEVEL_DEBUG, "span",
            "hop=%s outcome=%s trace=%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER
            "x span=%016" G_GINT64_MODIFIER "x parent=%016" G_GINT64_MODIFIER
            "x elapsed_us=%" G_GINT64_FORMAT,
            hop, outcome, span->trace_hi, span->trace_lo, span->span_id, span->parent_id,
            g_get_monotonic_time () - span->start_us);
}
