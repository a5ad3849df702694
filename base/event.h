/**
 * @file event.h
 * Structured log: one line of key=value pairs for each event, through GLib's logging.
 */
#ifndef IV_EVENT_H
#define IV_EVENT_H

#include <glib.h>

/** Severity of an event, lowest first. */
enum iv_level
{
  IV_LEVEL_DEBUG,
  IV_LEVEL_INFO,
  IV_LEVEL_WARNING,
  IV_LEVEL_ERROR
};

#define IV_EVENT_LINES_PER_S_MAX                                                                   \
  100 /**< lines a second for each kind of event; the rest are counted */

/** Install the log writer for this process. @a host names the process in each line; events below
 *  @a level are dropped. Lines go to standard output; a reader that stops never blocks the process:
 *  lines that find no room are counted, and the count follows once there is room again. */
void iv_event_init (const char *host, enum iv_level level);

/** Write one event. @a pairs is a printf format of space-separated key=value pairs. */
void iv_event (enum iv_level level, const char *event, const char *pairs, ...) G_GNUC_PRINTF (3, 4);

/** Whether a line of the kind @a event may be written at @a now_s; counts it otherwise. When a new
 *  second begins, @a left_out is set to the lines of the kind that were left out before. */
gboolean iv_event_admit (const char *event, gint64 now_s, guint *suppressed);

/** Quote @a value for a key=value line when it holds spaces, quotes or control characters. The
 *  result lives until the fourth following call on the same thread. */
const char *iv_quote (const char *value);

#endif
