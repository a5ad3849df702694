/**
 * @file retry_advice.h
 * Values of the Retry-After header, in whole seconds.
 *
 * A caller has four retries and does not say which one a request is. No clock and no random source:
 * times are passed in, and so is a random number from 0 up to but not including 1, which spreads
 * the returns of callers that are refused together.
 */
#ifndef IV_RETRY_ADVICE_H
#define IV_RETRY_ADVICE_H

#include <glib.h>

#define IV_RETRY_STORE_MAX_S 8     /**< longest advice while the store does not answer */
#define IV_RETRY_CAPACITY_MAX_S 16 /**< longest advice for lack of capacity */

/** The store has not answered for @a lasted_ms. Four retries that follow the advice end at least
 *  8 s after the first request. */
guint iv_retry_after_outage_s (gint64 lasted_ms, double random);

/** A host has been loading for @a lasted_ms and has read @a loaded of @a total records; @a total 0:
 *  not known, then as much time again is expected. */
guint iv_retry_after_loading_s (gint64 lasted_ms, gint64 loaded, gint64 total, double random);

/** The work that waits exceeds by @a excess, in core-milliseconds, what could be done in time, and
 *  shrinks by @a shrink_milli, in thousandths of a core. 0 or less: it does not shrink. */
guint iv_retry_after_backlog_s (gint64 excess, gint64 shrink_milli, double random);

/** Capacity for long-running tasks is missing, and it is not known when some becomes free. */
guint iv_retry_after_capacity_s (double random);

#endif
