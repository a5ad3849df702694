/**
 * @file histogram.h
 * Process-wide latency histograms in milliseconds, rendered in the Prometheus text format.
 */
#ifndef IV_HISTOGRAM_H
#define IV_HISTOGRAM_H

#include <glib.h>

/** One latency histogram. Owned by the registry until the process exits. */
struct iv_histogram;

/** Find or register the histogram @a name; @a help is the text of its HELP line. */
struct iv_histogram *iv_histogram_get (const char *name, const char *help);

/** Record one latency in milliseconds; negative values count as 0. */
void iv_histogram_add (struct iv_histogram *histogram, gint64 ms);

/** Render all histograms. Free with g_free(). */
char *iv_histograms_text (void);

#endif
