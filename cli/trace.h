/**
 * @file trace.h
 * Timeline of one job from the logs of several hosts, with the cause of its outcome.
 */
#ifndef IV_TRACE_H
#define IV_TRACE_H

#include <glib.h>
#include <stdio.h>

/** Log lines that concern one job id. */
struct iv_trace;

/** Read log lines of any number of hosts, in any order, from @a logs and keep those about the job
 *  @a id. Lines that are not log lines are skipped. */
struct iv_trace *iv_trace_read (FILE *logs, const char *id);

/** Free @a trace. */
void iv_trace_free (struct iv_trace *trace);

/** Number of lines that refer to the job. */
guint iv_trace_line_count (const struct iv_trace *trace);

/** Summary of the outcome of the job and of its delays. Free with g_free(). */
char *iv_trace_cause (const struct iv_trace *trace);

/** Render the lines in order of time, the gaps in the logs between them, and the cause. Free with
 *  g_free(). */
char *iv_trace_text (const struct iv_trace *trace);

/** The same as a JSON object. Free with g_free(). */
char *iv_trace_json (const struct iv_trace *trace);

#endif
