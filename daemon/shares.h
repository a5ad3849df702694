/**
 * @file shares.h
 * Assigns the tasks of a new service or job to failure domains.
 */
#ifndef IV_SHARES_H
#define IV_SHARES_H

#include "batch.h"

/** Free capacity of a failure domain that is in service. */
struct iv_domain_capacity
{
  const char *domain;
  guint64 free_cpu_milli; /**< unallocated CPU in thousandths of a core, as last reported */
};

/** Fill in the shares of @a item. A service is spread evenly; a gang and a job of at most 8 tasks
 * go to the domain with the most free capacity; a larger job is spread in proportion to free
 * capacity. The assigned CPU is subtracted from @a capacities. Returns FALSE if @a count is 0 or
 * above IVX_DOMAINS_MAX. */
gboolean iv_shares_assign (ivx_item *item, struct iv_domain_capacity *capacities, guint count);

#endif
