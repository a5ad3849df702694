/**
 * @file budget.h
 * Retry budget: limits retries and hedged calls to a percentage of the requests, so that retries
 * cannot multiply the load on an overloaded service.
 */
#ifndef IV_BUDGET_H
#define IV_BUDGET_H

#include <glib.h>

/** A token bucket. Amounts are in hundredths of a retry. */
struct iv_budget
{
  gint64 percent;    /**< retries allowed for each 100 requests; deposited with each request */
  gint64 credit;     /**< current balance */
  gint64 credit_max; /**< upper bound of the balance */
};

/** Initialize @a budget with credit for a few retries; with none when @a percent is 0. */
void iv_budget_init (struct iv_budget *budget, gint64 percent);

/** Add the credit of one new request. */
void iv_budget_deposit (struct iv_budget *budget);

/** Withdraw one retry. Returns FALSE, and withdraws nothing, when the credit is too small. */
gboolean iv_budget_withdraw (struct iv_budget *budget);

#endif
