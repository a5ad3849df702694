/**
 * @file histogram.h
 * Latencies of the process in milliseconds, rendered in the Prometheus text format.
 */
#ifndef IV_HISTOGRAM_H
#define IV_HISTOGRAM_H

#include <glib.h>

/** Latencies of one kind; owned by the registry. */
struct iv_histogram;

/** Find or register the histogram @a name. */
struct iv_histogram *iv_histogram_get (const char *name, const char *help);

/** Count one latency. */
void iv_histogram_add (struct iv_histogram *histogram, gint64 ms);

/** Render every histogram. Free with g_free(). */
char *iv_histograms_text (void);

#endif
