#include "share.h"

#include <string.h>
#include <xxhash.h>

guint
iv_share (guint whole, const char *instance, guint rank, guint hosts)
{
  guint extra = whole % hosts;
  guint first = (guint)(XXH3_64bits (instance, strlen (instance)) % hosts);
  guint place = (rank + hosts - first) % hosts;
  return whole / hosts + (place < extra ? 1 : 0);
}
