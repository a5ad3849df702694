/**
 * @file http_test.c
 * Server and client against each other, the client against truncated responses, and the server
 * against malformed and slow requests.
 */
#include <errno.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "http_client.h"
#include "schema.h"

#define IP "127.0.0.1"

struct fixture
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  struct iv_http_client *client;
  struct iv_http_server *server;
  char address[32];
  struct iv_http_request *pending_request;
  uv_tcp_t raw;
  const char *raw_response;
  gint64 raw_pause_ms; /* between the bytes of the body; 0: all is sent at once */
  gint64 stall_ms;     /* of the next calls */
  char raw_address[32];
  enum iv_http_result result;
  int status;
  char *body;
  gboolean timed_out;
  guint done;
};

static struct fixture fixture;

static void
on_request (void *context, struct iv_http_request *request)
{
  struct fixture *f = context;
  gsize len;
  const char *body = iv_http_body (request, &len);
  if (strcmp (iv_http_path (request), "/hold") == 0)
    f->pending_request = request;
  else
    {
      const struct iv_http_header headers[]
          = { { "x-method", iv_http_method (request) }, { NULL, NULL } };
      iv_http_respond (request, 200, "text/plain", headers, body, len);
    }
}

static void
on_raw_allocate (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[65536];
  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
on_raw_written (uv_write_t *write, int status)
{
  uv_close ((uv_handle_t *)write->handle, (uv_close_cb)free);
  free (write);
}

/* Sends the body of the raw response byte by byte. */
struct dribble
{
  uv_timer_t timer;
  uv_stream_t *stream;
  const char *next;
};

static void
on_dribble_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
on_dribble (uv_timer_t *timer)
{
  struct dribble *dribble = timer->data;
  uv_buf_t out = uv_buf_init ((char *)dribble->next, 1);
  if (*dribble->next && uv_try_write (dribble->stream, &out, 1) == 1)
    {
      dribble->next++;
      return;
    }
  uv_close ((uv_handle_t *)dribble->stream, (uv_close_cb)free);
  uv_close ((uv_handle_t *)timer, on_dribble_closed);
}

static void
start_dribble (uv_stream_t *stream)
{
  struct dribble *dribble = calloc (1, sizeof *dribble);
  const char *body = strstr (fixture.raw_response, "\r\n\r\n") + 4;
  uv_buf_t head
      = uv_buf_init ((char *)fixture.raw_response, (unsigned)(body - fixture.raw_response));
  dribble->stream = stream;
  dribble->next = body;
  dribble->timer.data = dribble;
  uv_timer_init (stream->loop, &dribble->timer);
  uv_timer_start (&dribble->timer, on_dribble, (uint64_t)fixture.raw_pause_ms,
                  (uint64_t)fixture.raw_pause_ms);
  assert_int_equal (uv_try_write (stream, &head, 1), head.len);
}

static void
on_raw_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  uv_buf_t out
      = uv_buf_init ((char *)fixture.raw_response, (unsigned)strlen (fixture.raw_response));
  uv_read_stop (stream);
  if (count > 0 && fixture.raw_pause_ms > 0)
    start_dribble (stream);
  else if (count > 0)
    uv_write (malloc (sizeof (uv_write_t)), stream, &out, 1, on_raw_written);
  else
    uv_close ((uv_handle_t *)stream, (uv_close_cb)free);
}

static void
on_raw_connection (uv_stream_t *listener, int status)
{
  uv_tcp_t *tcp = malloc (sizeof *tcp);
  uv_tcp_init (listener->loop, tcp);
  uv_accept (listener, (uv_stream_t *)tcp);
  uv_read_start ((uv_stream_t *)tcp, on_raw_allocate, on_raw_read);
}

static void
listen_raw (struct fixture *f, guint16 port)
{
  struct sockaddr_in address;
  uv_tcp_init (f->loop, &f->raw);
  for (;; port++)
    {
      uv_ip4_addr (IP, port, &address);
      if (uv_tcp_bind (&f->raw, (struct sockaddr *)&address, 0) == 0
          && uv_listen ((uv_stream_t *)&f->raw, 8, on_raw_connection) == 0)
        break;
      uv_close ((uv_handle_t *)&f->raw, NULL);
      uv_run (f->loop, UV_RUN_NOWAIT);
      uv_tcp_init (f->loop, &f->raw);
    }
  g_snprintf (f->raw_address, sizeof f->raw_address, "%s:%u", IP, port);
}

static int
setup_all (void **state)
{
  struct iv_http_limits limits = { 1000, 1, 100, 400 };
  struct fixture *f = &fixture;
  signal (SIGPIPE, SIG_IGN); /* the client closes connections that the test still writes to */
  f->loop = uv_default_loop ();
  f->deadlines = iv_deadlines_new (f->loop);
  f->client = iv_http_client_new (f->loop, f->deadlines, 300, 5000);
  for (guint16 port = 28401; f->server == NULL; port++)
    {
      g_snprintf (f->address, sizeof f->address, "%s:%u", IP, port);
      f->server = iv_http_server_new (f->loop, IP, port, &limits, on_request, f);
    }
  listen_raw (f, 28601);
  return 0;
}

static void
on_done (void *context, const struct iv_http_response *response)
{
  struct fixture *f = context;
  f->result = response->result;
  f->status = response->status;
  f->timed_out = response->timed_out;
  g_free (f->body);
  f->body = g_strndup (response->body->len ? (const char *)response->body->data : "",
                       response->body->len);
  f->done++;
}

static void
start (struct fixture *f, const char *address, const char *path, const char *body, gint64 wait_ms,
       gboolean new_connection)
{
  struct iv_http_call call = { .method = "POST",
                               .path = path,
                               .body = body,
                               .body_len = strlen (body),
                               .stall_ms = f->stall_ms,
                               .new_connection = new_connection };
  uv_update_time (f->loop);
  call.deadline_ms = (gint64)uv_now (f->loop) + wait_ms;
  iv_http_call (f->client, address, &call, on_done, f);
}

static void
call (struct fixture *f, const char *address, const char *path, const char *body, gint64 wait_ms,
      gboolean new_connection)
{
  guint before = f->done;
  start (f, address, path, body, wait_ms, new_connection);
  while (f->done == before)
    uv_run (f->loop, UV_RUN_ONCE);
}

static void
test_complete_responses (void **state)
{
  struct fixture *f = &fixture;
  for (guint i = 0; i < 3; i++)
    {
      call (f, f->address, "/x", "hello", 5000, i == 1);
      assert_int_equal (f->result, IV_HTTP_COMPLETE);
      assert_string_equal (f->body, "hello");
    }
  call (f, f->address, "/x", "", 5000, FALSE);
  assert_int_equal (f->result, IV_HTTP_COMPLETE);
  assert_string_equal (f->body, "");
}

static void
test_too_large_body (void **state)
{
  struct fixture *f = &fixture;
  char *large = g_strnfill (2000, 'x');
  call (f, f->address, "/x", large, 5000, TRUE);
  assert_int_equal (f->status, 413);
  g_free (large);
}

static void
test_too_many_requests (void **state)
{
  struct fixture *f = &fixture;
  guint before = f->done;
  start (f, f->address, "/hold", "", 5000, TRUE);
  while (f->pending_request == NULL)
    uv_run (f->loop, UV_RUN_ONCE);
  call (f, f->address, "/x", "b", 5000, TRUE);
  assert_int_equal (f->status, 503);
  iv_http_respond_json (f->pending_request, 200, "{}");
  f->pending_request = NULL;
  while (f->done < before + 2)
    uv_run (f->loop, UV_RUN_ONCE);
  assert_string_equal (f->body, "{}");
}

static void
test_deadline_and_late_response (void **state)
{
  struct fixture *f = &fixture;
  call (f, f->address, "/hold", "", 50, TRUE);
  assert_int_equal (f->result, IV_HTTP_INCOMPLETE);
  assert_true (f->timed_out);
  iv_http_respond_json (f->pending_request, 200, "{}");
  f->pending_request = NULL;
  call (f, f->address, "/x", "again", 5000, TRUE);
  assert_string_equal (f->body, "again");
}

/* Thin link, store of a large state: guards against a response that never comes whole, because the
   link takes longer to carry it than the deadline permits, and against one that stalls for ever. */
static void
test_response_that_goes_on_outlives_its_deadline (void **state)
{
  static const struct
  {
    gint64 pause_ms;
    gint64 stall_ms;
    enum iv_http_result result;
  } rows[] = { { 40, 200, IV_HTTP_COMPLETE },
               { 40, 0, IV_HTTP_INCOMPLETE },
               { 250, 120, IV_HTTP_INCOMPLETE } };
  struct fixture *f = &fixture;
  f->raw_response = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n0123456789";
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      f->raw_pause_ms = rows[i].pause_ms;
      f->stall_ms = rows[i].stall_ms;
      call (f, f->raw_address, "/x", "", 150, TRUE);
      assert_int_equal (f->result, rows[i].result);
      assert_int_equal (f->timed_out, rows[i].result != IV_HTTP_COMPLETE);
    }
  f->raw_pause_ms = f->stall_ms = 0;
}

static void
test_not_sent (void **state)
{
  struct fixture *f = &fixture;
  call (f, "127.0.0.1:1", "/x", "", 5000, FALSE);
  assert_int_equal (f->result, IV_HTTP_NOT_SENT);
  call (f, "nowhere", "/x", "", 5000, FALSE);
  assert_int_equal (f->result, IV_HTTP_NOT_SENT);
}

/* A response that is truncated, or whose length is unknown, must not count as complete. */
static void
test_incomplete_responses (void **state)
{
  static const char *const responses[] = {
    "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
    "HTTP/1.1 200 OK\r\n\r\nuntil the end",
    "HTTP/1.1 200 OK\r\ncontent-le",
    "nonsense\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
  };
  struct fixture *f = &fixture;
  for (guint i = 0; i < G_N_ELEMENTS (responses); i++)
    {
      f->raw_response = responses[i];
      call (f, f->raw_address, "/x", "", 5000, FALSE);
      if (f->result != IV_HTTP_INCOMPLETE)
        fail_msg ("response %u has result %d: %s", i, f->result, f->body);
    }
  f->raw_response = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n "
                    "world\r\n0\r\n\r\n";
  call (f, f->raw_address, "/x", "", 5000, FALSE);
  assert_int_equal (f->result, IV_HTTP_COMPLETE);
  assert_string_equal (f->body, "hello world");
}

static void
test_dropped_connections (void **state)
{
  struct fixture *f = &fixture;
  call (f, f->address, "/x", "one", 5000, FALSE);
  iv_http_client_drop_connections (f->client, f->address);
  call (f, f->address, "/x", "two", 5000, FALSE);
  assert_string_equal (f->body, "two");
}

/* Send @a bytes on a new connection and return all that the server sends before closing it. */
static GString *
send_raw (struct fixture *f, const char *bytes)
{
  struct sockaddr_in address;
  GString *response = g_string_new (NULL);
  char buffer[1024];
  char ip[64];
  guint16 port;
  ssize_t got = -1;
  int raw = socket (AF_INET, SOCK_STREAM, 0);
  iv_parse_address (f->address, ip, &port);
  uv_ip4_addr (ip, port, &address);
  assert_int_equal (connect (raw, (struct sockaddr *)&address, sizeof address), 0);
  assert_true (write (raw, bytes, strlen (bytes)) == (ssize_t)strlen (bytes));
  while (got != 0)
    {
      uv_run (f->loop, UV_RUN_ONCE);
      got = recv (raw, buffer, sizeof buffer, MSG_DONTWAIT);
      if (got > 0)
        g_string_append_len (response, buffer, got);
      else if (got < 0 && errno != EAGAIN)
        break;
    }
  close (raw);
  return response;
}

/* Malformed, truncated and slow requests must fail only their own connection; other requests are
   served meanwhile. */
static void
test_bad_input (void **state)
{
  static const char *const bad[] = {
    "\x16\x03\x01 this is no HTTP\r\n\r\n",
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: nine\r\n\r\n",
    "POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999999999999\r\n\r\n",
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf",
    "POST /x HT",
  };
  struct fixture *f = &fixture;
  char *filler = g_strnfill (200000, 'y');
  char *long_head = g_strdup_printf ("GET /x HTTP/1.1\r\nx: %s\r\n\r\n", filler);
  GString *response;
  for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      response = send_raw (f, bad[i]);
      if (strstr (response->str, " 200 "))
        fail_msg ("bad input %u was served: %s", i, response->str);
      g_string_free (response, TRUE);
      call (f, f->address, "/x", "meanwhile", 5000, FALSE);
      assert_string_equal (f->body, "meanwhile");
    }
  response = send_raw (f, long_head);
  assert_null (strstr (response->str, " 200 "));
  g_string_free (response, TRUE);
  g_free (long_head);
  g_free (filler);
}

static void
test_query (void **state)
{
  char *value = iv_http_query ("/a?from=12&name=a%20b", "name");
  assert_string_equal (value, "a b");
  g_free (value);
  assert_null (iv_http_query ("/a?fromage=12", "from"));
  assert_null (iv_http_query ("/a", "from"));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_complete_responses),
          cmocka_unit_test (test_too_large_body),
          cmocka_unit_test (test_too_many_requests),
          cmocka_unit_test (test_deadline_and_late_response),
          cmocka_unit_test (test_response_that_goes_on_outlives_its_deadline),
          cmocka_unit_test (test_not_sent),
          cmocka_unit_test (test_incomplete_responses),
          cmocka_unit_test (test_dropped_connections),
          cmocka_unit_test (test_bad_input),
          cmocka_unit_test (test_query) };
  return cmocka_run_group_tests (tests, setup_all, NULL);
}
