/**
 * @file counter.h
 * Process-wide counters and gauges, rendered in the Prometheus text format. Not thread-safe.
 */
#ifndef IV_COUNTER_H
#define IV_COUNTER_H

#include <glib.h>

/** One counter or gauge time series. Counters only increase; gauges are set. Owned by the registry
 *  until the process exits. */
struct iv_counter;

/** Find or register the counter @a name with @a labels: comma-separated `key="value"` pairs or "".
 *  @a help is the text of the HELP line; that of the first registration is kept. */
struct iv_counter *iv_counter_get (const char *name, const char *labels, const char *help);

/** Find or register a gauge; same parameters as iv_counter_get(). */
struct iv_counter *iv_gauge_get (const char *name, const char *labels, const char *help);

/** Add @a n, which must not be negative for a counter. */
void iv_counter_add (struct iv_counter *counter, gint64 n);

void iv_gauge_set (struct iv_counter *gauge, gint64 value);

/** Current value of a counter or gauge. */
gint64 iv_counter_value (const struct iv_counter *counter);

/** Render all counters and gauges, sorted by name and labels. Free with g_free(). */
char *iv_counters_text (void);

#endif
