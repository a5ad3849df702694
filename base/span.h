/**
 * @file span.h
 * Trace spans, propagated between hops by the W3C Trace Context `traceparent` header.
 */
#ifndef IV_SPAN_H
#define IV_SPAN_H

#include <glib.h>

#define IV_TRACEPARENT_LEN 55 /**< characters of a header value of version 00 */

/** One span. Without a trace all ids are zero. */
struct iv_span
{
  guint64 trace_hi;
  guint64 trace_lo;
  guint64 span_id;
  guint64 parent_id;
  gint64 start_us; /**< monotonic clock */
};

/** Start a child of the span in the `traceparent` value @a header of @a len bytes. A NULL or
 *  malformed value starts a new trace. */
struct iv_span iv_span_start (const char *header, gsize len);

/** Start a child of @a parent in the same process. */
struct iv_span iv_span_child (const struct iv_span *parent);

/** Format the `traceparent` value that makes the next hop a child of @a span. */
void iv_span_format (const struct iv_span *span, char out[IV_TRACEPARENT_LEN + 1]);

/** Log the end of @a span as a debug event; @a hop names the operation, @a outcome its result. */
void iv_span_end (const struct iv_span *span, const char *hop, const char *outcome);

#endif
