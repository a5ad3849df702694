/**
 * @file operator_task.h
 * The operators' interface over HTTP: release notes, failure domains, jobs, reports, health,
 * counters.
 */
#ifndef IV_OPERATOR_TASK_H
#define IV_OPERATOR_TASK_H

#include "app.h"

/** Start listening; NULL with a last message on failure. */
struct iv_operator_task *iv_operator_task_new (struct iv_app *app);

/** Stop taking requests. */
void iv_operator_task_stop (struct iv_operator_task *task);

#endif
