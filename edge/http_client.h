/**
 * @file http_client.h
 * HTTP/1.1 client with pooled connections, on h2o and libuv. A response counts as complete only
 * when its end was received.
 */
#ifndef IV_HTTP_CLIENT_H
#define IV_HTTP_CLIENT_H

#include "deadlines.h"
#include "http_server.h"

/** How far a request got. */
enum iv_http_result
{
  IV_HTTP_COMPLETE,  /**< a complete response arrived */
  IV_HTTP_NOT_SENT,  /**< nothing of the request was sent */
  IV_HTTP_INCOMPLETE /**< the request may have been received, but no complete response arrived */
};

/** A response or failure, valid during the callback. */
struct iv_http_response
{
  enum iv_http_result result;
  int status;
  const char *reason; /**< of a failure; a static string */
  gboolean timed_out; /**< the deadline passed or no byte was transferred for too long */
  const GByteArray *body;
  const GPtrArray *headers; /**< alternating names and values, as `char *`; names in lower case */
};

/** Called exactly once for each request; when nothing could be sent, possibly before iv_http_call()
 *  returns. */
typedef void (*iv_http_done) (void *context, const struct iv_http_response *response);

/** A request to send. All strings and the body are copied. */
struct iv_http_call
{
  const char *method;
  const char *path;
  const struct iv_http_header *headers; /**< ends with a NULL name; may be NULL */
  const void *body;
  gsize body_len;
  gint64 deadline_ms; /**< uv_now() time */
  /** A response that has begun may take longer, as long as its next part follows within this time;
   *  0: it may not. For responses so large that a thin link takes seconds to carry them. */
  gint64 stall_ms;
  gboolean new_connection; /**< do not use a pooled connection */
};

/** A client with a connection pool for each address. */
struct iv_http_client;

/** Create a client. A request fails after @a idle_timeout_ms without a byte, or when its response
 *  body exceeds @a response_bytes_max. */
struct iv_http_client *iv_http_client_new (uv_loop_t *loop, struct iv_deadlines *deadlines,
                                           gint64 idle_timeout_ms, gsize response_bytes_max);

/** Send @a call to @a address ("IP:port"). */
void iv_http_call (struct iv_http_client *client, const char *address,
                   const struct iv_http_call *call, iv_http_done done, void *context);

/** Discard the pooled connections to @a address, whose peer may no longer respond. Requests in
 *  progress continue. */
void iv_http_client_drop_connections (struct iv_http_client *client, const char *address);

/** First value of the header @a name (lower case) in @a response, or NULL. */
const char *iv_http_response_header (const struct iv_http_response *response, const char *name);

#endif
