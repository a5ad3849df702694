/**
 * @file domain_state_private.h
 * Table operations shared by domain_state.c and domain_snapshot.c.
 */
#ifndef IV_DOMAIN_STATE_PRIVATE_H
#define IV_DOMAIN_STATE_PRIVATE_H

#include "domain_state.h"

/** Add a worker with the given id. */
struct iv_worker *iv_domain_state_add_worker (struct iv_domain_state *state, guint32 id,
                                              const ivx_worker *info);

/** Add a job with the given id. */
struct iv_job *iv_domain_state_add_job (struct iv_domain_state *state, guint32 id,
                                        const ivx_item *item, guint64 gen);

/** Add a queued task with the given id to @a job. */
struct iv_task *iv_domain_state_add_task (struct iv_domain_state *state, guint32 id,
                                          struct iv_job *job, guint32 index);

/** Bind a task to a worker and commit its size there. */
void iv_domain_state_bind_task (struct iv_domain_state *state, struct iv_task *task,
                                struct iv_worker *worker);

/** Record the key of an import; FALSE when it is recorded already. */
gboolean iv_domain_state_record_import (struct iv_domain_state *state, guint64 key);

#endif
