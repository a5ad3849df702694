/**
 * @file mailbox.h
 * Messages between the daemon's tasks. A task owns its sockets and its state; other tasks change
 * them only by a message. Messages are delivered by the event loop, in the order of posting.
 */
#ifndef IV_MAILBOX_H
#define IV_MAILBOX_H

#include "batch.h"

#include <uv.h>

/** Kinds of messages, with the members of struct iv_message that they use. */
enum iv_message_kind
{
  IV_MSG_CONFIG = 1,    /**< "config" was read to its end by a read sent at `requested_ms` */
  IV_MSG_HOSTS,         /**< the hosts task holds a new host list */
  IV_MSG_APPEND_CONFIG, /**< append `records` to "config" */
  IV_MSG_KEY_READY,     /**< the idempotency key of request `number` was decided */
  IV_MSG_CELL           /**< the state of the failure domain `text` changed */
};

/** One message. The mailbox frees its members after the delivery. */
struct iv_message
{
  enum iv_message_kind kind;
  gint64 requested_ms; /**< uv_now() time */
  guint64 number;
  enum iv_status status;
  char *text;
  GArray *records; /**< of ivx_record */
};

/** Receives a message, which is valid during the call. */
typedef void (*iv_mailbox_receive_fn) (void *task, const struct iv_message *message);

/** Delivers messages between the tasks of one loop. */
struct iv_mailbox;

struct iv_mailbox *iv_mailbox_new (uv_loop_t *loop);

/** Free the mailbox with the messages that it has not delivered. The memory of the mailbox itself
 * is released when the loop closes its handle. */
void iv_mailbox_free (struct iv_mailbox *mailbox);

/** Subscribe @a task to messages of @a kind. */
void iv_mailbox_subscribe (struct iv_mailbox *mailbox, enum iv_message_kind kind,
                           iv_mailbox_receive_fn receive, void *task);

/** Post a copy of @a message; the mailbox takes ownership of `text` and `records`. */
void iv_mailbox_post (struct iv_mailbox *mailbox, const struct iv_message *message);

#endif
