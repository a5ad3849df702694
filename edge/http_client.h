/**
 * @file http_client.h
 * HTTP/1.1 calls with kept connections, by h2o on libuv. An answer is passed on only when it is
 * whole.
 */
#ifndef IV_HTTP_CLIENT_H
#define IV_HTTP_CLIENT_H

#include "deadlines.h"
#include "http_server.h"

/** How far a call came. */
enum iv_http_result
{
  IV_HTTP_COMPLETE,  /**< a whole answer */
  IV_HTTP_NOT_SENT,  /**< nothing of the request was handed over */
  IV_HTTP_INCOMPLETE /**< it may have been received, but no whole answer came */
};

/** An answer, valid during the callback. */
struct iv_http_response
{
  enum iv_http_result result;
  int status;
  const char *reason; /**< of a failure; a static text */
  gboolean timed_out; /**< the deadline passed or no byte moved for too long */
  const GByteArray *body;
  const GPtrArray *headers; /**< name and value by turns, as `char *`, names in lower case */
};

/** Receives the outcome exactly once; when nothing could be sent, perhaps before iv_http_call()
 * returns. */
typedef void (*iv_http_done) (void *context, const struct iv_http_response *reply);

/** What to send. All strings are copied. */
struct iv_http_call
{
  const char *method;
  const char *path;
  const struct iv_http_header *headers; /**< ends with a NULL name; may be NULL */
  const void *body;
  gsize body_len;
  gint64 deadline_ms;      /**< uv_now() time */
  gboolean new_connection; /**< do not use a kept one */
};

/** Calls and kept connections to any number of addresses. */
struct iv_http_client;

/** Create a client; @a silence_ms without a byte ends a call, @a answer_max bounds an answer. */
struct iv_http_client *iv_http_client_new (uv_loop_t *loop, struct iv_deadlines *deadlines,
                                           gint64 silence_ms, gsize answer_max);

/** Call @a address ("IP:port"). */
void iv_http_call (struct iv_http_client *client, const char *address,
                   const struct iv_http_call *call, iv_http_done done, void *context);

/** Close kept connections to @a address, which may have gone silent. */
void iv_http_client_drop_connections (struct iv_http_client *client, const char *address);

/** First value of the header @a name in a reply, or NULL. */
const char *iv_http_response_header (const struct iv_http_response *reply, const char *name);

#endif
