/**
 * @file counter.h
 * Counters and gauges of the process, rendered in the Prometheus text format.
 */
#ifndef IV_COUNTER_H
#define IV_COUNTER_H

#include <glib.h>

/** A named number. Counters only grow; gauges are set. Owned by the registry. */
struct iv_counter;

/** Find or register the counter @a name with @a labels (`k="v"` pairs or ""). */
struct iv_counter *iv_counter_get (const char *name, const char *labels, const char *help);

/** Find or register the gauge @a name. */
struct iv_counter *iv_gauge_get (const char *name, const char *labels, const char *help);

/** Add @a n. */
void iv_counter_add (struct iv_counter *counter, gint64 n);

/** Set a gauge. */
void iv_gauge_set (struct iv_counter *gauge, gint64 value);

/** Present value. */
gint64 iv_counter_value (const struct iv_counter *counter);

/** Render every counter and gauge. Free with g_free(). */
char *iv_counters_text (void);

#endif
