#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "mailbox.h"

struct receiver
{
  struct iv_mailbox *mailbox;
  GString *received;
  gboolean post_on_receive;
};

static void
receive (void *task, const struct iv_message *message)
{
  struct receiver *receiver = task;
  g_string_append_printf (receiver->received, "%d:%s ", message->kind,
                          message->text ? message->text : "-");
  if (receiver->post_on_receive)
    {
      struct iv_message reply = { .kind = IV_MSG_HOSTS };
      receiver->post_on_receive = FALSE;
      iv_mailbox_post (receiver->mailbox, &reply);
    }
}

static void
on_idle (uv_idle_t *idle)
{
}

static void
test_delivery_in_order_to_subscribers (void **state)
{
  uv_loop_t loop;
  uv_idle_t keep_alive;
  struct receiver a = { .received = g_string_new (NULL), .post_on_receive = TRUE },
                  b = { .received = g_string_new (NULL) };
  struct iv_message config = { .kind = IV_MSG_CONFIG, .text = g_strdup ("x") },
                    hosts = { .kind = IV_MSG_HOSTS };
  uv_loop_init (&loop);
  uv_idle_init (&loop, &keep_alive);
  uv_idle_start (&keep_alive, on_idle);
  a.mailbox = b.mailbox = iv_mailbox_new (&loop);
  iv_mailbox_subscribe (a.mailbox, IV_MSG_CONFIG, receive, &a);
  iv_mailbox_subscribe (a.mailbox, IV_MSG_HOSTS, receive, &a);
  iv_mailbox_subscribe (a.mailbox, IV_MSG_HOSTS, receive, &b);
  iv_mailbox_post (a.mailbox, &config);
  iv_mailbox_post (a.mailbox, &hosts);
  assert_string_equal (a.received->str, "");
  for (guint i = 0; i < 10; i++)
    uv_run (&loop, UV_RUN_NOWAIT);
  assert_string_equal (a.received->str, "1:x 2:- 2:- ");
  assert_string_equal (b.received->str, "2:- 2:- ");
  iv_mailbox_free (a.mailbox);
  uv_close ((uv_handle_t *)&keep_alive, NULL);
  uv_run (&loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&loop), 0);
  g_string_free (a.received, TRUE);
  g_string_free (b.received, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_delivery_in_order_to_subscribers) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
