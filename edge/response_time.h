/**
 * @file response_time.h
 * Estimator of the time that a peer takes to respond, and of the time limit of calls to it, by the
 * rules of RFC 6298. Pure: times are passed in.
 */
#ifndef IV_RESPONSE_TIME_H
#define IV_RESPONSE_TIME_H

#include <glib.h>

/** Estimator of one peer; zeroed at first. */
struct iv_response_time
{
  double smoothed_ms;
  double deviation_ms;
  guint lapses; /**< calls without a response since the last response */
  gboolean known;
};

/** A call took @a took_ms. */
void iv_response_time_add (struct iv_response_time *time, gint64 took_ms);

/** A call got no response within its limit: the limit doubles until the next response. */
void iv_response_time_lapse (struct iv_response_time *time);

/** Limit for the next call, in ms. At least @a min_ms before any lapse, and never more than
 *  @a max_ms. */
gint64 iv_response_time_limit_ms (const struct iv_response_time *time, gint64 min_ms,
                                  gint64 max_ms);

/** The same for a call that finds out whether the peer responds again. The limit grows from the
 *  least to @a max_ms and then starts over: a long limit tells a slow peer from a silent one, and a
 *  short one notices early that a silent one is back. */
gint64 iv_response_time_probe_ms (const struct iv_response_time *time, gint64 min_ms,
                                  gint64 max_ms);

#endif
