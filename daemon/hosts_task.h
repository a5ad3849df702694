/**
 * @file hosts_task.h
 * Polls the platform's host list and keeps the last one that was read. The list may lag behind the
 * hosts' actual state.
 */
#ifndef IV_HOSTS_TASK_H
#define IV_HOSTS_TASK_H

#include "app.h"

struct iv_hosts_task *iv_hosts_task_new (struct iv_app *app);

/** Workers of @a domain (GArray of struct iv_host_entry); NULL if none are listed. */
const GArray *iv_hosts_task_workers (const struct iv_hosts_task *task, const char *domain);

/** Upstream instances (GArray of struct iv_instance_entry); NULL before the first list. */
const GArray *iv_hosts_task_instances (const struct iv_hosts_task *task);

/** Whether the last list names a worker or an instance: workers and instances may register after
 * the first read. */
gboolean iv_hosts_task_names_any (const struct iv_hosts_task *task);

/** Sizes of all listed workers (GArray of ivx_size). Free with g_array_free(). */
GArray *iv_hosts_task_sizes (const struct iv_hosts_task *task);

#endif
