#include "authority.h"

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
