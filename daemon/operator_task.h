/**
 * @file operator_task.h
 * HTTP interface for operators: release notes, failure domains, jobs, reports, health checks and
 * metrics.
 */
#ifndef IV_OPERATOR_TASK_H
#define IV_OPERATOR_TASK_H

#include "app.h"

/** Start listening for operators. Returns NULL on failure, with a message in iv_last_message(). */
struct iv_operator_task *iv_operator_task_new (struct iv_app *app);

/** Stop accepting requests. Requests in progress continue. */
void iv_operator_task_stop (struct iv_operator_task *task);

#endif
