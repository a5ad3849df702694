/**
 * @file request.h
 * One request to an entry host's operators' interface, waited for.
 */
#ifndef IV_REQUEST_H
#define IV_REQUEST_H

#include <jansson.h>

#include "http_client.h"

/** Outcome of a request. */
struct iv_response
{
  enum iv_http_result result;
  int status;
  json_t *body; /**< NULL when it was not JSON */
  char *text;
};

/** Send it and wait at most @a timeout_ms. Free with iv_answer_clear(). */
struct iv_response iv_request (const char *server, const char *method, const char *path,
                               const void *body, gsize len, gint64 timeout_ms);

/** Free an answer's content. */
void iv_response_clear (struct iv_response *answer);

#endif
