/**
 * @file span.h
 * Trace spans, one for each hop, joined by the W3C `traceparent` header.
 */
#ifndef IV_SPAN_H
#define IV_SPAN_H

#include <glib.h>

#define IV_TRACEPARENT_LEN 55 /**< characters of a version 00 header value */

/** One hop of a trace. Ids are all zero when there is no trace. */
struct iv_span
{
  guint64 trace_hi;
  guint64 trace_lo;
  guint64 span_id;
  guint64 parent_id;
  gint64 start_us; /**< monotonic, microseconds */
};

/** Start a span below the `traceparent` value @a header of @a len bytes; a missing or malformed
 *  value starts a new trace. */
struct iv_span iv_span_start (const char *header, gsize len);

/** Start a span below @a parent in the same process. */
struct iv_span iv_span_child (const struct iv_span *parent);

/** Format the header value that makes a next hop a child of @a span. */
void iv_span_format (const struct iv_span *span, char out[IV_TRACEPARENT_LEN + 1]);

/** Log the end of @a span as one event; @a hop names the kind of work, @a outcome its result. */
void iv_span_end (const struct iv_span *span, const char *hop, const char *outcome);

#endif
