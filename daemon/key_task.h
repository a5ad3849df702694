/**
 * @file key_task.h
 * Decides through the log which host may run an idempotency key.
 */
#ifndef IV_KEY_TASK_H
#define IV_KEY_TASK_H

#include "app.h"
#include "keys.h"

/** Whether a key may be run by the one who asked. */
enum iv_claim_result
{
  IV_CLAIM_WON,        /**< this host's intent was read back first: dispatch */
  IV_CLAIM_TAKEN,      /**< another host's, or an earlier run's: it may have run */
  IV_CLAIM_UNAVAILABLE /**< not decided in time: do not dispatch */
};

typedef void (*iv_claim_result_fn) (void *context, enum iv_claim_result result,
                                    const struct iv_key_entry *entry);

struct iv_key_task *iv_key_task_new (struct iv_app *app);

/** Claim @a key. @a done is called once, perhaps at once. */
void iv_key_task_claim (struct iv_key_task *task, struct iv_key key, gint64 deadline_ms,
                        iv_claim_result_fn done, void *context);

/** Record how a won key ended; for those who resend it. */
void iv_key_task_complete (struct iv_key_task *task, struct iv_key key, guint status);

/** Whether keys can be decided now. */
gboolean iv_key_task_ready (const struct iv_key_task *task);

#endif
