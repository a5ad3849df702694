#include "share.h"

#include <string.h>
#include <xxhash.h>

guint
iv_share (guint total, const char *instance, guint rank, guint hosts)
{
  guint remainder = total % hosts;
  guint first = (guint)(XXH3_64bits (instance, strlen (instance)) % hosts);
  guint position = (rank + hosts - first) % hosts;
  return total / hosts + (position < remainder ? 1 : 0);
}
