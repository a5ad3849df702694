#include "authority.h"

#include <string.h>

#define REJOIN_MS 1500 /* a join that gets no response is repeated within this time */

gint64
iv_confirmation_age_ms (const struct iv_confirmation *confirmation)
{
  return MAX (confirmation->membership_age_ms, confirmation->claims_age_ms);
}

gboolean
iv_confirmation_is_current (const struct iv_confirmation *confirmation)
{
  return confirmation->membership_age_ms < confirmation->member_ttl_ms
         && confirmation->claims_age_ms < confirmation->member_for_ms;
}

gboolean
iv_confirmation_permits (const struct iv_confirmation *confirmation,
                         const struct iv_confirmation_limits *limits, gboolean suspended,
                         gboolean partitioned)
{
  if (suspended)
    return iv_confirmation_is_current (confirmation);
  return iv_confirmation_age_ms (confirmation)
         <= (partitioned ? limits->partition_timeout_ms : limits->timeout_ms);
}

/* Whether two member names are of processes on the same host. */
static gboolean
have_same_host (const char *a, const char *b)
{
  const char *end_a = strrchr (a, '-');
  const char *end_b = strrchr (b, '-');
  return end_a && end_b && end_a - a == end_b - b && strncmp (a, b, (gsize)(end_a - a)) == 0;
}

/* A process that claims a cell joins after the earlier ones of its host have ended. Their
   memberships expire before its own. */
enum iv_owner_presence
iv_authority_find_owner (const GPtrArray *members, const char *owner, gint64 member_for_ms)
{
  enum iv_owner_presence presence
      = member_for_ms >= REJOIN_MS ? IV_OWNER_MISSING : IV_OWNER_PRESENT;
  for (guint i = 0; i < members->len; i++)
    {
      const char *member = g_ptr_array_index (members, i);
      if (strcmp (member, owner) == 0)
        return IV_OWNER_PRESENT;
      if (have_same_host (member, owner))
        presence = IV_OWNER_ENDED;
    }
  return presence;
}
