/**
 * @file task_lengths.h
 * Durations of tasks, learnt from those that have ended.
 *
 * Tasks of one kind share a histogram with logarithmic buckets. The declared estimate counts as a
 * few samples in it, so it decides while there are few others. Old samples lose weight, and the
 * kind that has had no sample for longest is dropped when there are too many. What is kept is at
 * most IV_TASK_LENGTHS_KEYS_MAX histograms of a few hundred bytes.
 */
#ifndef IV_TASK_LENGTHS_H
#define IV_TASK_LENGTHS_H

#include <glib.h>

#define IV_TASK_LENGTHS_KEYS_MAX 512 /**< kinds of tasks that are remembered */
#define IV_TASK_LENGTHS_MEDIAN 0.5

/** What was learnt of all kinds of tasks. */
struct iv_task_lengths;

struct iv_task_lengths *iv_task_lengths_new (void);
void iv_task_lengths_free (struct iv_task_lengths *lengths);

/** The kind of the tasks of a step: those with the same @a image, or, where that is empty, those of
 *  the same queue (@a host and @a prefix) with about as many tasks and cores. NULL counts as empty.
 */
guint64 iv_task_lengths_key (const char *image, const char *host, const char *prefix, guint count,
                             guint cpu_milli);

/** A task of kind @a key has run for @a duration_ms at full speed from its beginning to its end. */
void iv_task_lengths_add (struct iv_task_lengths *lengths, guint64 key, gint64 duration_ms,
                          gint64 now_ms);

/** The duration that a share @a quantile of the tasks of kind @a key does not exceed, in ms, within
 *  a tenth. The estimate when nothing was learnt. */
gint64 iv_task_lengths_quantile_ms (const struct iv_task_lengths *lengths, guint64 key,
                                    gint64 estimate_ms, double quantile);

/** The same for the rest of a task that has run for @a age_ms. A task that is older than all that
 *  are known is expected to run for as long again. */
gint64 iv_task_lengths_rest_ms (const struct iv_task_lengths *lengths, guint64 key,
                                gint64 estimate_ms, gint64 age_ms, double quantile);

/** Number of kinds of which something is known. */
guint iv_task_lengths_keys (const struct iv_task_lengths *lengths);

#endif
