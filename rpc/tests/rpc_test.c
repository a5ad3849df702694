#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "rpc.h"

#define IP "127.0.0.1"
#define PORT_FIRST 28101

struct fixture
{
  uv_loop_t loop;
  guint16 port;
  struct iv_rpc_service service;
  struct iv_rpc_server *server;
  guint served;
  enum iv_status status;
  int reply_status;
  guint done;
};

static enum iv_status
echo (void *context, const void *argument, void *result)
{
  struct fixture *f = context;
  const ivp_query *query = argument;
  ivp_query_reply *reply = result;
  f->served++;
  reply->status = atoi (query->path);
  reply->body.body_val = strdup (query->domain);
  reply->body.body_len = (u_int)strlen (query->domain);
  return reply->status < 0 ? iv_fail (IV_ERR_INVALID, "negative") : IV_OK;
}

static const struct iv_rpc_procedure procedures[] = {
  { 3, (iv_xdr_proc)xdr_ivp_query, sizeof (ivp_query), (iv_xdr_proc)xdr_ivp_query_reply,
    sizeof (ivp_query_reply), echo },
};

static int
setup (void **state)
{
  struct fixture *f = calloc (1, sizeof *f);
  uv_loop_init (&f->loop);
  f->service = (struct iv_rpc_service){ .program = 99,
                                        .version = 1,
                                        .procedures = procedures,
                                        .count = 1,
                                        .connections_max = 2,
                                        .idle_ms = 60000,
                                        .context = f };
  for (f->port = PORT_FIRST; f->server == NULL && f->port < PORT_FIRST + 200; f->port++)
    f->server = iv_rpc_server_new (&f->loop, IP, f->port, &f->service);
  f->port--;
  assert_non_null (f->server);
  *state = f;
  return 0;
}

static int
teardown (void **state)
{
  struct fixture *f = *state;
  iv_rpc_server_close (f->server);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&f->loop), 0);
  free (f);
  return 0;
}

static void
on_done (void *context, enum iv_status status, void *result)
{
  struct fixture *f = context;
  f->status = status;
  f->reply_status = result ? ((ivp_query_reply *)result)->status : 0;
  f->done++;
}

static void
call (struct fixture *f, struct iv_rpc_client *client, guint32 procedure, const char *path,
      gint64 wait_ms)
{
  ivp_query query = { (char *)"d", (char *)path };
  guint before = f->done;
  uv_update_time (&f->loop);
  iv_rpc_call (client, procedure, (iv_xdr_proc)xdr_ivp_query, &query,
               (iv_xdr_proc)xdr_ivp_query_reply, sizeof (ivp_query_reply),
               (gint64)uv_now (&f->loop) + wait_ms, on_done, f);
  while (f->done == before)
    uv_run (&f->loop, UV_RUN_ONCE);
}

static void
test_call_and_rejections (void **state)
{
  struct fixture *f = *state;
  struct iv_rpc_client *client = iv_rpc_client_new (&f->loop, IP, f->port, 99, 1);
  struct iv_rpc_client *wrong_program = iv_rpc_client_new (&f->loop, IP, f->port, 98, 1);
  struct iv_rpc_client *wrong_version = iv_rpc_client_new (&f->loop, IP, f->port, 99, 2);
  call (f, client, 3, "7", 5000);
  assert_int_equal (f->status, IV_OK);
  assert_int_equal (f->reply_status, 7);
  call (f, client, 3, "-1", 5000);
  assert_int_equal (f->status, IV_ERR_UNAVAILABLE);
  call (f, client, 4, "7", 5000);
  assert_int_equal (f->status, IV_ERR_UNAVAILABLE);
  call (f, wrong_program, 3, "7", 5000);
  assert_int_equal (f->status, IV_ERR_UNAVAILABLE);
  iv_rpc_client_close (wrong_program);
  uv_run (&f->loop, UV_RUN_NOWAIT);
  call (f, wrong_version, 3, "7", 5000);
  assert_int_equal (f->status, IV_ERR_UNAVAILABLE);
  assert_int_equal (f->served, 2);
  iv_rpc_client_close (wrong_version);
  iv_rpc_client_close (client);
}

static void
test_connection_refused (void **state)
{
  struct fixture *f = *state;
  struct iv_rpc_client *client = iv_rpc_client_new (&f->loop, IP, 1, 99, 1);
  call (f, client, 3, "7", 5000);
  assert_int_equal (f->status, IV_ERR_UNAVAILABLE);
  iv_rpc_client_close (client);
}

static void
test_close_ends_calls (void **state)
{
  struct fixture *f = *state;
  struct iv_rpc_client *client = iv_rpc_client_new (&f->loop, IP, f->port, 99, 1);
  ivp_query query = { (char *)"d", (char *)"1" };
  iv_rpc_call (client, 3, (iv_xdr_proc)xdr_ivp_query, &query, (iv_xdr_proc)xdr_ivp_query_reply,
               sizeof (ivp_query_reply), G_MAXINT64, on_done, f);
  iv_rpc_client_close (client);
  assert_int_equal (f->done, 1);
  assert_int_equal (f->status, IV_ERR_UNAVAILABLE);
}

/* Bytes of another protocol close the connection that they arrive on and leave others alone. */
static void
test_other_protocol_closes_connection (void **state)
{
  struct fixture *f = *state;
  struct iv_rpc_client *client = iv_rpc_client_new (&f->loop, IP, f->port, 99, 1);
  struct sockaddr_in address;
  char buffer[16];
  int raw = socket (AF_INET, SOCK_STREAM, 0);
  uv_ip4_addr (IP, f->port, &address);
  assert_int_equal (connect (raw, (struct sockaddr *)&address, sizeof address), 0);
  assert_true (write (raw, "GET / HTTP/1.1\r\n\r\n", 18) == 18);
  call (f, client, 3, "7", 5000);
  assert_int_equal (f->reply_status, 7);
  assert_int_equal (read (raw, buffer, sizeof buffer), 0);
  close (raw);
  iv_rpc_client_close (client);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_call_and_rejections), TEST (test_connection_refused),
          TEST (test_close_ends_calls), TEST (test_other_protocol_closes_connection) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
