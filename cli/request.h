/**
 * @file request.h
 * Synchronous HTTP request to the operator interface of an entry host.
 */
#ifndef IV_REQUEST_H
#define IV_REQUEST_H

#include <jansson.h>

#include "http_client.h"

/** Result of a request. */
struct iv_response
{
  enum iv_http_result result;
  int status;   /**< HTTP status, if a response was received */
  json_t *body; /**< parsed body, NULL if it is not JSON */
  char *text;   /**< raw body */
};

/** Send a request to @a server ("IP:port") and wait for the response, at most @a timeout_ms. Free
 *  the content of the result with iv_response_clear(). */
struct iv_response iv_request (const char *server, const char *method, const char *path,
                               const void *body, gsize len, gint64 timeout_ms);

/** Free the content of @a response. */
void iv_response_clear (struct iv_response *response);

#endif
