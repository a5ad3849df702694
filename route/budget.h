/**
 * @file budget.h
 * Retry budget: retries may not exceed a part of the requests.
 */
#ifndef IV_BUDGET_H
#define IV_BUDGET_H

#include <glib.h>

/** The budget, in hundredths of a retry. */
struct iv_budget
{
  gint64 percent;
  gint64 credit;
  gint64 credit_max;
};

/** Start with room for a few retries. */
void iv_budget_init (struct iv_budget *budget, gint64 percent);

/** A request came in. */
void iv_budget_deposit (struct iv_budget *budget);

/** Take one retry from the budget; FALSE when there is none left. */
gboolean iv_budget_withdraw (struct iv_budget *budget);

#endif
