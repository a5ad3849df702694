/**
 * @file share.h
 * Each entry host's share of an instance's slots and connections.
 *
 * Shares follow from the member list alone, so they never add up to more than the whole, whoever
 * can reach whom. What does not divide evenly goes to hosts by a hash of the instance.
 */
#ifndef IV_SHARE_H
#define IV_SHARE_H

#include <glib.h>

/** Share of the host number @a rank of @a hosts in @a whole slots of @a instance. */
guint iv_share (guint whole, const char *instance, guint rank, guint hosts);

#endif
