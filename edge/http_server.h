/**
 * @file http_server.h
 * HTTP/1 and HTTP/2 server on h2o and libuv. The handler receives complete requests and may respond
 * later.
 */
#ifndef IV_HTTP_SERVER_H
#define IV_HTTP_SERVER_H

#include "status.h"

#include <glib.h>
#include <uv.h>

/** A request without a response yet. It stays valid until iv_http_respond(), also when the caller
 *  has disconnected. */
struct iv_http_request;

/** A header field. */
struct iv_http_header
{
  const char *name;
  const char *value;
};

/** Takes ownership of @a request and responds to it once, now or later. */
typedef void (*iv_http_handler) (void *context, struct iv_http_request *request);

/** Limits of a server. */
struct iv_http_limits
{
  gsize body_bytes_max;           /**< larger bodies get status 413 */
  guint requests_max;             /**< requests without a response; further ones are refused */
  guint connections_max;          /**< further connections are closed at once */
  gint64 request_read_timeout_ms; /**< for a caller to send a complete request */
  int overload_status; /**< of requests beyond requests_max: 503, or 504 where it must not
                          be told that nothing runs; 0: 503 */
};

/** A listening server. */
struct iv_http_server;

/** Listen on @a ip and @a port. NULL with a last message on failure. */
struct iv_http_server *iv_http_server_new (uv_loop_t *loop, const char *ip, guint16 port,
                                           const struct iv_http_limits *limits,
                                           iv_http_handler handler, void *context);

/** Stop accepting connections and shut down open ones gracefully: requests in progress still get
 *  their responses. */
void iv_http_server_stop (struct iv_http_server *server);

/** Number of requests without a response. */
guint iv_http_server_pending (const struct iv_http_server *server);

/** Method, and path with its query. */
const char *iv_http_method (const struct iv_http_request *request);
const char *iv_http_path (const struct iv_http_request *request);

/** Value of the first header @a name (lower case), or NULL. */
const char *iv_http_request_header (const struct iv_http_request *request, const char *name);

/** Host that the request names, with its port if given; "" when there is none. */
const char *iv_http_host (const struct iv_http_request *request);

/** Body, followed by a NUL; @a len is set to its length without that. */
const char *iv_http_body (const struct iv_http_request *request, gsize *len);

/** Whether the caller has disconnected. */
gboolean iv_http_is_disconnected (const struct iv_http_request *request);

/** Send the response and free @a request. @a headers end with a NULL name, or are NULL.
 *  @a content_type may be NULL. */
void iv_http_respond (struct iv_http_request *request, int status, const char *content_type,
                      const struct iv_http_header *headers, const void *body, gsize len);

/** Respond with the JSON text @a json. */
void iv_http_respond_json (struct iv_http_request *request, int status, const char *json);

/** Unescaped value of @a key in the query of @a path, or NULL. Free with g_free(). */
char *iv_http_query (const char *path, const char *key);

#endif
