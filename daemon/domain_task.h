/**
 * @file domain_task.h
 * Runs the planner of one failure domain: follows the domain's stream, appends the planner's
 * records and syncs the workers.
 */
#ifndef IV_DOMAIN_TASK_H
#define IV_DOMAIN_TASK_H

#include "app.h"
#include "planner.h"

/** Start the task for @a domain. @a rank is the position of this host among those that may claim
 * the domain; the first has 0. */
struct iv_domain_task *iv_domain_task_new (struct iv_app *app, const char *domain, guint rank);

/** Find the task for @a domain; NULL if this host does not follow it. */
struct iv_domain_task *iv_domain_task_find (const struct iv_app *app, const char *domain);

/** Whether this host owns @a domain. */
gboolean iv_domain_task_owns (const struct iv_app *app, const char *domain);

const char *iv_domain_task_name (const struct iv_domain_task *task);
const struct iv_planner *iv_domain_task_planner (const struct iv_domain_task *task);

/** Whether the planner's state is complete; see iv_follower_is_complete(). */
gboolean iv_domain_task_is_complete (const struct iv_domain_task *task);

/** Stop acting as the owner, for a planned stop; see iv_planner_resign(). */
void iv_domain_task_resign (struct iv_domain_task *task);

#endif
