/**
 * @file route_answer.h
 * Responses to callers: the three outcomes (result, not run, may have run), and a cache of the
 * responses to requests with an idempotency key.
 */
#ifndef IV_ROUTE_ANSWER_H
#define IV_ROUTE_ANSWER_H

#include "http_client.h"
#include "keys.h"

/** A complete response, cached for requests that are sent again with the same key. */
struct iv_cached_response
{
  int status;
  char *content_type;
  GBytes *body;
};

/** Responses by key, limited in bytes. The oldest are evicted first. */
struct iv_response_cache;

/** Create a cache of at most @a bytes_max bytes. */
struct iv_response_cache *iv_response_cache_new (gsize bytes_max);

/** Add the response to @a key. Ignored if the key already has one. */
void iv_response_cache_add (struct iv_response_cache *cache, struct iv_key key,
                            const struct iv_http_response *response);

/** Look up the response to @a key. NULL if it was never added or was evicted; valid until the next
 * addition. */
const struct iv_cached_response *iv_response_cache_find (const struct iv_response_cache *cache,
                                                         struct iv_key key);

/** Forward a complete response of an upstream. */
void iv_respond_result (struct iv_http_request *request, const struct iv_http_response *response,
                        const char *traceparent);

/** Respond with a cached response. */
void iv_respond_cached (struct iv_http_request *request, const struct iv_cached_response *response);

/** Respond that the request was certainly not run by any upstream; @a status is 503 or a more
 * specific one. */
void iv_respond_not_run (struct iv_http_request *request, int status, const char *reason);

/** Respond that the request was handed over and no complete response arrived; @a status is 502 or
 * 504. */
void iv_respond_may_have_run (struct iv_http_request *request, int status, const char *reason);

/** Append @a response to @a out in the form sent to peers: "STATUS CONTENT-TYPE\n" and the body. */
void iv_cached_response_encode (const struct iv_cached_response *response, GByteArray *out);

/** Respond with the output of iv_cached_response_encode(). FALSE, without a response, if @a bytes
 * are malformed. */
gboolean iv_respond_encoded (struct iv_http_request *request, const char *bytes, gsize len);

#endif
