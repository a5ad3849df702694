#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "mailbox.h"

struct receiver
{
  struct iv_mailbox *mailbox;
  GString *got;
  gboolean post_again;
};

static void
receive (void *task, const struct iv_message *message)
{
  struct receiver *receiver = task;
  g_string_append_printf (receiver->got, "%d:%s ", message->kind,
                          message->text ? message->text : "-");
  if (receiver->post_again)
    {
      struct iv_message again = { .kind = IV_MSG_HOSTS };
      receiver->post_again = FALSE;
      iv_mailbox_post (receiver->mailbox, &again);
    }
}

static void
on_idle (uv_idle_t *idle)
{
}

static void
test_in_order_to_subscribers (void **state)
{
  uv_loop_t loop;
  uv_idle_t alive;
  struct receiver a = { .got = g_string_new (NULL), .post_again = TRUE },
                  b = { .got = g_string_new (NULL) };
  struct iv_message config = { .kind = IV_MSG_CONFIG, .text = g_strdup ("x") },
                    hosts = { .kind = IV_MSG_HOSTS };
  uv_loop_init (&loop);
  uv_idle_init (&loop, &alive);
  uv_idle_start (&alive, on_idle);
  a.mailbox = b.mailbox = iv_mailbox_new (&loop);
  iv_mailbox_subscribe (a.mailbox, IV_MSG_CONFIG, receive, &a);
  iv_mailbox_subscribe (a.mailbox, IV_MSG_HOSTS, receive, &a);
  iv_mailbox_subscribe (a.mailbox, IV_MSG_HOSTS, receive, &b);
  iv_mailbox_post (a.mailbox, &config);
  iv_mailbox_post (a.mailbox, &hosts);
  assert_string_equal (a.got->str, "");
  for (guint i = 0; i < 10; i++)
    uv_run (&loop, UV_RUN_NOWAIT);
  assert_string_equal (a.got->str, "1:x 2:- 2:- ");
  assert_string_equal (b.got->str, "2:- 2:- ");
  iv_mailbox_free (a.mailbox);
  uv_close ((uv_handle_t *)&alive, NULL);
  uv_run (&loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&loop), 0);
  g_string_free (a.got, TRUE);
  g_string_free (b.got, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_in_order_to_subscribers) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
