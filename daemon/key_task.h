/**
 * @file key_task.h
 * Decides by the stream "keys" of the log which host may dispatch the request of an idempotency
 * key.
 */
#ifndef IV_KEY_TASK_H
#define IV_KEY_TASK_H

#include "app.h"
#include "keys.h"

/** Result of claiming a key. */
enum iv_claim_result
{
  IV_CLAIM_WON,   /**< the intent of this host was read back as the first: dispatch the request */
  IV_CLAIM_TAKEN, /**< claimed by another host or an earlier run of this one, or dispatched already:
                     it may have run */
  IV_CLAIM_UNAVAILABLE /**< not decided in time: do not dispatch */
};

/** Receives the result of a claim. @a entry is valid during the callback; NULL with
 * IV_CLAIM_UNAVAILABLE. */
typedef void (*iv_claim_result_fn) (void *context, enum iv_claim_result result,
                                    const struct iv_key_entry *entry);

/** Create the task and start to follow the stream. */
struct iv_key_task *iv_key_task_new (struct iv_app *app);

/** Claim @a key until @a deadline_ms of the event loop. @a done is called exactly once, possibly
 * before this function returns. */
void iv_key_task_claim (struct iv_key_task *task, struct iv_key key, gint64 deadline_ms,
                        iv_claim_result_fn done, void *context);

/** Record the HTTP @a status of the response to a key that this host claimed. */
void iv_key_task_complete (struct iv_key_task *task, struct iv_key key, guint status);

/** Whether keys can be claimed now: the stream has been read to its end once, and the log has
 * responded within the last 3 s. */
gboolean iv_key_task_ready (const struct iv_key_task *task);

#endif
