/**
 * @file http_server.h
 * HTTP/1 and HTTP/2 by h2o on libuv. Requests come whole; answers may be given later.
 */
#ifndef IV_HTTP_SERVER_H
#define IV_HTTP_SERVER_H

#include "status.h"

#include <glib.h>
#include <uv.h>

/** A request whose answer is awaited. It stays valid until it is answered, also when the caller has
 *  gone meanwhile. */
struct iv_http_request;

/** A header of an answer; both strings end with NUL. */
struct iv_http_header
{
  const char *name;
  const char *value;
};

/** Takes over @a request and answers it once, now or later. */
typedef void (*iv_http_handler) (void *context, struct iv_http_request *request);

/** Bounds of a server. */
struct iv_http_limits
{
  gsize body_bytes_max;           /**< bytes; larger bodies are answered with 413 */
  guint requests_max;             /**< unanswered requests; more are answered with 503 */
  guint connections_max;          /**< more are closed at once */
  gint64 request_read_timeout_ms; /**< for a caller to send a whole request */
};

/** A listening server. */
struct iv_http_server;

/** Listen on @a ip and @a port. NULL with a last message on failure. */
struct iv_http_server *iv_http_server_new (uv_loop_t *loop, const char *ip, guint16 port,
                                           const struct iv_http_limits *limits,
                                           iv_http_handler handler, void *context);

/** Stop accepting connections; those that are open go on. */
void iv_http_server_stop (struct iv_http_server *server);

/** Requests that were not answered yet. */
guint iv_http_server_pending (const struct iv_http_server *server);

/** Method and path (with its query) as text. */
const char *iv_http_method (const struct iv_http_request *request);
const char *iv_http_path (const struct iv_http_request *request);

/** Value of the first header @a name (lower case), or NULL. */
const char *iv_http_request_header (const struct iv_http_request *request, const char *name);

/** Host that the request names, with a port when it was given; "" when there is none. */
const char *iv_http_host (const struct iv_http_request *request);

/** Body; @a len is set. */
const char *iv_http_body (const struct iv_http_request *request, gsize *len);

/** Whether the caller is gone. */
gboolean iv_http_is_disconnected (const struct iv_http_request *request);

/** Answer and release @a request. @a headers end with a NULL name, or are NULL. */
void iv_http_respond (struct iv_http_request *request, int status, const char *content_type,
                      const struct iv_http_header *headers, const void *body, gsize len);

/** Answer with a JSON text. */
void iv_http_respond_json (struct iv_http_request *request, int status, const char *json);

/** Value of @a key in the query of @a path, copied; NULL when it is missing. Free with g_free(). */
char *iv_http_query (const char *path, const char *key);

#endif
