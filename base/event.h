/**
 * @file event.h
 * Structured logging: one line of key=value pairs per event, written through GLib's log functions.
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

/** Lines logged per second and event name. Further lines are suppressed and counted. */
#define IV_EVENT_LINES_PER_S_MAX 100

/** Install the log writer of this process. @a host is the value of the host key in each line;
 *  events below @a level are dropped. Lines go to standard output without blocking: when the reader
 *  does not keep up, lines are dropped and counted, and a log.lost event with the count precedes
 *  the next line that can be written. */
void iv_event_init (const char *host, enum iv_level level);

/** Log one event. @a pairs is a printf format of space-separated key=value pairs; pass values of
 *  unknown content through iv_quote(). Subject to the rate limit of iv_event_admit(). */
void iv_event (enum iv_level level, const char *event, const char *pairs, ...) G_GNUC_PRINTF (3, 4);

/** Count one event named @a event at @a now_s, in seconds, and return whether its line is within
 *  IV_EVENT_LINES_PER_S_MAX. On the first event of a new second, @a suppressed is set to the number
 *  of lines suppressed in the last second that had events; otherwise to 0. */
gboolean iv_event_admit (const char *event, gint64 now_s, guint *suppressed);

/** Quote @a value for a key=value line if it is empty or contains spaces, quotes, equals signs,
 *  backslashes or control characters. Control characters become '?', and the result is truncated
 *  to 511 bytes. It is valid until the fourth following call on the same thread. */
const char *iv_quote (const char *value);

#endif
