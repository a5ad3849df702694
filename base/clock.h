/**
 * @file clock.h
 * Wall-clock and boot-time clocks, in milliseconds.
 */
#ifndef IV_CLOCK_H
#define IV_CLOCK_H

#include <glib.h>

/** Milliseconds since the Unix epoch. Steps when the system time is set. */
gint64 iv_clock_wall_ms (void);

/** Milliseconds since boot, including time in suspend. Never steps. */
gint64 iv_clock_boot_ms (void);

#endif
