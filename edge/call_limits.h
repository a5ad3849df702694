/**
 * @file call_limits.h
 * Limits of the calls that a host makes to many peers over its one link: how long to wait for each
 * response, and how many calls to have in progress. Pure: times are passed in, in ms.
 *
 * A peer that stops responding is told from a link that is full by what other peers do meanwhile.
 */
#ifndef IV_CALL_LIMITS_H
#define IV_CALL_LIMITS_H

#include <glib.h>

struct iv_call_limits;

struct iv_call_limits *iv_call_limits_new (void);
void iv_call_limits_free (struct iv_call_limits *limits);

/** How long to wait for a response of @a peer: at least @a min_ms, at most @a max_ms. */
gint64 iv_call_limits_timeout_ms (const struct iv_call_limits *limits, const char *peer,
                                  gint64 min_ms, gint64 max_ms);

/** How many calls may be made now beside those in the window. */
guint iv_call_limits_credit (const struct iv_call_limits *limits);

/** The window: how many calls may be in progress. */
guint iv_call_limits_window (const struct iv_call_limits *limits);

/** A call that counts in the window was made. Its outcome must follow. */
void iv_call_limits_enter (struct iv_call_limits *limits);

/** A call that counts in the window is over, by whatever outcome. */
void iv_call_limits_leave (struct iv_call_limits *limits);

/** @a peer responded to a call made at @a sent_ms. */
void iv_call_limits_replied (struct iv_call_limits *limits, const char *peer, gint64 sent_ms,
                             gint64 now_ms);

/** @a peer did not respond in time to a call made at @a sent_ms. */
void iv_call_limits_lapsed (struct iv_call_limits *limits, const char *peer, gint64 sent_ms,
                            gint64 now_ms);

#endif
