/**
 * @file share.h
 * Static partition of an instance's slots and connections among the entry hosts.
 *
 * Each host computes its share from the configured member list alone, so the shares never add up to
 * more than the total, even when hosts cannot reach each other. The remainder of an uneven division
 * goes to hosts selected by a hash of the instance's name, so that no host is favoured overall.
 */
#ifndef IV_SHARE_H
#define IV_SHARE_H

#include <glib.h>

/** Number of the @a total slots of @a instance that belong to the host at index @a rank (from 0) of
 * @a hosts hosts. Shares differ by at most one. */
guint iv_share (guint total, const char *instance, guint rank, guint hosts);

#endif
