/**
 * @file config_task.h
 * Follows the stream "config", appends to it, and relays it to peers that cannot read it.
 */
#ifndef IV_CONFIG_TASK_H
#define IV_CONFIG_TASK_H

#include "app.h"
#include "appender.h"
#include "config.h"
#include "peer_xdr.h"

struct iv_config_task *iv_config_task_new (struct iv_app *app);

/** State after all batches applied so far; valid until the next batch or snapshot is applied. */
const struct iv_config *iv_config_task_state (const struct iv_config_task *task);

/** Whether the state is complete; see iv_follower_is_complete(). */
gboolean iv_config_task_is_complete (const struct iv_config_task *task);

/** iv_app_now() time at which the newest read was sent that showed the state to be current. The
 * read went to the log or to a peer. */
gint64 iv_config_task_evidence_ms (const struct iv_config_task *task);

/** Whether the log itself has responded to a read within the last 3 s. */
gboolean iv_config_task_log_up (const struct iv_config_task *task);

/** Append a record to "config"; see iv_appender_add(). */
void iv_config_task_append (struct iv_config_task *task, const ivx_record *record,
                            gboolean own_batch, gint64 deadline_ms, iv_appender_result_fn done,
                            void *context);

/** Fill @a reply for a peer that reads from offset @a from on: with the batches, or with a snapshot
 *  if they are no longer held. */
void iv_config_task_serve_read (const struct iv_config_task *task, guint64 from,
                                ivp_read_reply *reply);

/** Apply a peer's reply to a read that was sent at @a requested_ms (iv_app_now() time). */
void iv_config_task_handle_read_reply (struct iv_config_task *task, const ivp_read_reply *reply,
                                       gint64 requested_ms);

#endif
