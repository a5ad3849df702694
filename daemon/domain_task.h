/**
 * @file domain_task.h
 * Runs a planner for one failure domain: reads its stream, appends, and talks to its workers.
 */
#ifndef IV_DOMAIN_TASK_H
#define IV_DOMAIN_TASK_H

#include "app.h"
#include "planner.h"

/** Start for @a domain; @a rank orders the hosts that may claim it. */
struct iv_domain_task *iv_domain_task_new (struct iv_app *app, const char *domain, guint rank);

/** Find the task for a domain; NULL when this host does not follow it. */
struct iv_domain_task *iv_domain_task_find (const struct iv_app *app, const char *domain);

/** Whether this host owns @a domain. */
gboolean iv_domain_task_owns (const struct iv_app *app, const char *domain);

/** Name of the domain, its planner, and whether its state is whole. */
const char *iv_domain_task_name (const struct iv_domain_task *task);
const struct iv_planner *iv_domain_task_planner (const struct iv_domain_task *task);
gboolean iv_domain_task_is_complete (const struct iv_domain_task *task);

/** Give the domain up for a planned stop. */
void iv_domain_task_resign (struct iv_domain_task *task);

#endif
