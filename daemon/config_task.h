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

/** State folded so far. */
const struct iv_config *iv_config_task_state (const struct iv_config_task *task);

/** Whether the state is known to be whole. */
gboolean iv_config_task_is_complete (const struct iv_config_task *task);

/** Time at which a read was sent that showed nothing newer, by the log or a peer. */
gint64 iv_config_task_evidence_ms (const struct iv_config_task *task);

/** Whether the log itself answered lately. */
gboolean iv_config_task_log_up (const struct iv_config_task *task);

/** Append a record (moved); see iv_appender_add(). */
void iv_config_task_append (struct iv_config_task *task, const ivx_record *record, gboolean alone,
                            gint64 deadline_ms, iv_appender_result_fn done, void *context);

/** Answer a peer that reads from @a from. */
void iv_config_task_serve_read (const struct iv_config_task *task, guint64 from,
                                ivp_read_reply *reply);

/** Take a peer's answer to a read that was sent at @a asked_ms. */
void iv_config_task_handle_read_reply (struct iv_config_task *task, const ivp_read_reply *reply,
                                       gint64 requested_ms);

#endif
