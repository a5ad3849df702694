/**
 * @file loopback_port.h
 * Loopback ports chosen by the system, for tests that run at the same time as others.
 */
#ifndef IV_LOOPBACK_PORT_H
#define IV_LOOPBACK_PORT_H

#include <glib.h>

/** Reserve a free port of 127.0.0.1 for this process; 0 on failure. A listener with SO_REUSEADDR,
 *  as libuv's are, can bind it; no other process is given it before this one ends. */
guint16 loopback_port_reserve (void);

#endif
