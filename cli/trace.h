/**
 * @file trace.h
 * One request's story from the logs of several hosts, and its cause.
 */
#ifndef IV_TRACE_H
#define IV_TRACE_H

#include <glib.h>
#include <stdio.h>

/** What the logs tell of one id. */
struct iv_trace;

/** Read log lines, of any number of hosts in any order, from @a logs. */
struct iv_trace *iv_trace_read (FILE *logs, const char *id);
void iv_trace_free (struct iv_trace *trace);

/** Lines that name the id. */
guint iv_trace_line_count (const struct iv_trace *trace);

/** Why it ended as it did, in a sentence. Free with g_free(). */
char *iv_trace_cause (const struct iv_trace *trace);

/** The story by time, its gaps and its cause, as text or JSON. Free with g_free(). */
char *iv_trace_text (const struct iv_trace *trace);
char *iv_trace_json (const struct iv_trace *trace);

#endif
