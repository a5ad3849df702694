/**
 * @file route_answer.h
 * Answers to callers: the three truthful outcomes, and kept answers of idempotency keys.
 */
#ifndef IV_ROUTE_ANSWER_H
#define IV_ROUTE_ANSWER_H

#include "http_client.h"
#include "keys.h"

/** A whole answer, kept for those who resend a key. */
struct iv_kept_answer
{
  int status;
  char *content_type;
  GBytes *body;
};

/** Answers kept by key, bounded in bytes; the oldest go first. */
struct iv_kept_answers;

struct iv_kept_answers *iv_kept_answers_new (gsize bytes_max);

/** Keep the answer of @a key. */
void iv_kept_answers_add (struct iv_kept_answers *kept, struct iv_key key,
                          const struct iv_http_response *reply);

/** Find it; NULL when it was not kept or is gone. */
const struct iv_kept_answer *iv_kept_answers_find (const struct iv_kept_answers *kept,
                                                   struct iv_key key);

/** Pass a whole answer on. */
void iv_answer_result (struct iv_http_request *request, const struct iv_http_response *reply,
                       const char *traceparent);

/** Answer with a kept one. */
void iv_answer_kept (struct iv_http_request *request, const struct iv_kept_answer *answer);

/** 503 (or @a status): provably nothing was handed over. */
void iv_answer_not_run (struct iv_http_request *request, int status, const char *reason);

/** 502 or 504: it was handed over, and no whole answer came. */
void iv_answer_may_have_run (struct iv_http_request *request, int status, const char *reason);

/** Encode a kept answer for a peer, and answer with such bytes; FALSE when they are malformed. */
void iv_kept_answer_encode (const struct iv_kept_answer *answer, GByteArray *out);
gboolean iv_answer_encoded (struct iv_http_request *request, const char *bytes, gsize len);

#endif
