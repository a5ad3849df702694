#include "affinity.h"

#include <string.h>
#include <xxhash.h>

const char *
iv_affinity_domain (const GPtrArray *domains, const char *id)
{
  XXH64_hash_t seed = XXH64 (id, strlen (id), 0);
  const char *best = NULL;
  XXH64_hash_t best_weight = 0;
  for (guint i = 0; i < domains->len; i++)
    {
      const char *domain = g_ptr_array_index (domains, i);
      XXH64_hash_t weight = XXH64 (domain, strlen (domain), seed);
      if (best && weight <= best_weight)
        continue;
      best = domain;
      best_weight = weight;
    }
  return best;
}
