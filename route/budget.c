#include "budget.h"

#define RETRY_COST 100 /* credit is in hundredths of a retry */
#define INITIAL_RETRIES 10
#define SAVED_RETRIES_MAX 100

void
iv_budget_init (struct iv_budget *budget, gint64 percent)
{
  budget->percent = percent;
  budget->credit_max = SAVED_RETRIES_MAX * RETRY_COST;
  budget->credit = percent > 0 ? INITIAL_RETRIES * RETRY_COST : 0;
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
