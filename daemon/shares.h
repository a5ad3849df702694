/**
 * @file shares.h
 * Which failure domains take how many tasks of a new service or job.
 */
#ifndef IV_SHARES_H
#define IV_SHARES_H

#include "batch.h"

/** A failure domain that is in service. */
struct iv_domain_capacity
{
  const char *domain;
  guint64 free_cpu_milli; /**< processors not committed there, as last heard */
};

/** Fill in the shares of @a item. Services are spread evenly; a gang and a small job go to the
 * domain with the most room; a large job is spread by room. The chosen room is taken from @a rooms.
 *  FALSE when there is no domain. */
gboolean iv_shares_assign (ivx_item *item, struct iv_domain_capacity *rooms, guint count);

#endif
