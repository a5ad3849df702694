#include "mailbox.h"

struct subscription
{
  enum iv_message_kind kind;
  iv_mailbox_receive_fn receive;
  void *task;
};

struct iv_mailbox
{
  uv_async_t async;
  GArray *subscriptions;
  GQueue *queue; /* of struct iv_message */
};

static void
free_message (gpointer data)
{
  struct iv_message *message = data;
  g_free (message->text);
  if (message->records)
    g_array_free (message->records, TRUE);
  g_free (message);
}

static void
deliver_message (struct iv_mailbox *mailbox, const struct iv_message *message)
{
  for (guint i = 0; i < mailbox->subscriptions->len; i++)
    {
      const struct subscription *subscription
          = &g_array_index (mailbox->subscriptions, struct subscription, i);
      if (subscription->kind == message->kind)
        subscription->receive (subscription->task, message);
    }
}

/* Delivers the messages posted so far. Those that the receivers post are left to the next call, so
   that receivers that post to each other cannot block the loop. */
static void
on_async (uv_async_t *async)
{
  struct iv_mailbox *mailbox = async->data;
  guint count = mailbox->queue->length;
  while (count-- > 0)
    {
      struct iv_message *message = g_queue_pop_head (mailbox->queue);
      deliver_message (mailbox, message);
      free_message (message);
    }
  if (mailbox->queue->length > 0)
    uv_async_send (async);
}

static void
on_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

struct iv_mailbox *
iv_mailbox_new (uv_loop_t *loop)
{
  struct iv_mailbox *mailbox = g_new0 (struct iv_mailbox, 1);
  mailbox->subscriptions = g_array_new (FALSE, FALSE, sizeof (struct subscription));
  mailbox->queue = g_queue_new ();
  uv_async_init (loop, &mailbox->async, on_async);
  mailbox->async.data = mailbox;
  uv_unref ((uv_handle_t *)&mailbox->async);
  return mailbox;
}

void
iv_mailbox_free (struct iv_mailbox *mailbox)
{
  g_queue_free_full (mailbox->queue, free_message);
  g_array_free (mailbox->subscriptions, TRUE);
  uv_close ((uv_handle_t *)&mailbox->async, on_closed);
}

void
iv_mailbox_subscribe (struct iv_mailbox *mailbox, enum iv_message_kind kind,
                      iv_mailbox_receive_fn receive, void *task)
{
  struct subscription subscription = { kind, receive, task };
  g_array_append_val (mailbox->subscriptions, subscription);
}

void
iv_mailbox_post (struct iv_mailbox *mailbox, const struct iv_message *message)
{
  g_queue_push_tail (mailbox->queue, g_memdup2 (message, sizeof *message));
  uv_async_send (&mailbox->async);
}
