/**
 * @file domain_state_private.h
 * Rows of a cell, shared by its fold and its snapshots. Private to the package.
 */
#ifndef IV_DOMAIN_STATE_PRIVATE_H
#define IV_DOMAIN_STATE_PRIVATE_H

#include "domain_state.h"

/** Add a worker row with the given id. */
struct iv_worker *iv_domain_state_add_worker (struct iv_domain_state *cell, guint32 id,
                                              const ivx_worker *info);

/** Add a job row with the given id. */
struct iv_job *iv_domain_state_add_job (struct iv_domain_state *cell, guint32 id,
                                        const ivx_item *item, guint64 gen);

/** Add a task row with the given id to @a job. */
struct iv_task *iv_domain_state_add_task (struct iv_domain_state *cell, guint32 id,
                                          struct iv_job *job, guint32 index);

/** Book a task on a worker. */
void iv_domain_state_bind_task (struct iv_domain_state *cell, struct iv_task *task,
                                struct iv_worker *worker);

/** Remember an import by its key; FALSE when it is remembered already. */
gboolean iv_domain_state_record_import (struct iv_domain_state *cell, guint64 key);

#endif
