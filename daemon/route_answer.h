/**
 * @file route_answer.h
 * Answers to callers: the three truthful outcomes, and kept answers of idempotency keys.
 */
#ifndef IV_ROUTE_ANSWER_H
#define IV_ROUTE_ANSWER_H

#include "http_client.h"
#include "keys.h"

/** A whole answer, kept for those who resend a key. */
struct iv_cached_response
{
  int status;
  char *content_type;
  GBytes *body;
};

/** Answers kept by key, bounded in bytes; the oldest go first. */
struct iv_response_cache;

struct iv_response_cache *iv_response_cache_new (gsize bytes_max);

/** Keep the answer of @a key. */
void iv_response_cache_add (struct iv_response_cache *kept, struct iv_key key,
                            const struct iv_http_reply *reply);

/** Find it; NULL when it was not kept or is gone. */
const struct iv_cached_response *iv_response_cache_find (const struct iv_response_cache *kept,
                                                         struct iv_key key);

/** Pass a whole answer on. */
void iv_respond_result (struct iv_http_request *request, const struct iv_http_reply *reply,
                        const char *traceparent);

/** Answer with a kept one. */
void iv_respond_cached (struct iv_http_request *request, const struct iv_cached_response *answer);

/** 503 (or @a status): provably nothing was handed over. */
void iv_respond_not_run (struct iv_http_request *request, int status, const char *reason);

/** 502 or 504: it was handed over, and no whole answer came. */
void iv_respond_may_have_run (struct iv_http_request *request, int status, const char *reason);

/** Encode a kept answer for a peer, and answer with such bytes; FALSE when they are malformed. */
void iv_cached_response_encode (const struct iv_cached_response *answer, GByteArray *out);
gboolean iv_respond_encoded (struct iv_http_request *request, const char *bytes, gsize len);

#endif
