/**
 * @file mailbox.h
 * Messages between the daemon's tasks. A task owns its sockets and its state; others change it only
 * by a message, which is delivered from the loop, in order.
 */
#ifndef IV_MAILBOX_H
#define IV_MAILBOX_H

#include "batch.h"

#include <uv.h>

/** Kinds of messages. */
enum iv_message_kind
{
  IV_MSG_CONFIG = 1,    /**< "config" was read to its end; `asked_ms` is set */
  IV_MSG_HOSTS,         /**< the host list was read; it is in the hosts task */
  IV_MSG_APPEND_CONFIG, /**< append `records` to "config" */
  IV_MSG_KEY_READY,     /**< an idempotency key was decided; `number` names the request */
  IV_MSG_CELL           /**< a failure domain's state changed; `text` names it */
};

/** One message. What it holds is freed after its delivery. */
struct iv_message
{
  enum iv_message_kind kind;
  gint64 requested_ms;
  guint64 number;
  enum iv_status status;
  char *text;
  GArray *records; /**< of ivx_record */
};

/** Receives messages. */
typedef void (*iv_mailbox_receive_fn) (void *task, const struct iv_message *message);

/** The tasks of one loop. */
struct iv_mailbox;

struct iv_mailbox *iv_mailbox_new (uv_loop_t *loop);
void iv_mailbox_free (struct iv_mailbox *mailbox);

/** Subscribe @a task to messages of @a kind. */
void iv_mailbox_subscribe (struct iv_mailbox *mailbox, enum iv_message_kind kind,
                           iv_mailbox_receive_fn receive, void *task);

/** Post a message, taking over what it holds. */
void iv_mailbox_post (struct iv_mailbox *mailbox, const struct iv_message *message);

#endif
