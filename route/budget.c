#include "budget.h"

#define RETRY_COST 100
#define RETRIES_AT_START 10
#define RETRIES_SAVED_MAX 100

void
iv_budget_init (struct iv_budget *budget, gint64 percent)
{
  budget->percent = percent;
  budget->credit_max = RETRIES_SAVED_MAX * RETRY_COST;
  budget->credit = percent > 0 ? RETRIES_AT_START * RETRY_COST : 0;
}

void
iv_budget_deposit (struct iv_budget *budget)
{
  budget->credit = MIN (budget->credit + budget->percent, budget->credit_max);
}

gboolean
iv_budget_withdraw (struct iv_budget *budget)
{
  if (budget->credit < RETRY_COST)
    return FALSE;
  budget->credit -= RETRY_COST;
  return TRUE;
}
