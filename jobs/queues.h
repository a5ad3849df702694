/**
 * @file queues.h
 * Policies of queues as they were when jobs were accepted last. The jobs of a queue that the
 * configuration names no more are run on by them.
 */
#ifndef IV_QUEUES_H
#define IV_QUEUES_H

#include "owner.h"

/** Key of the record of a queue: this and a digest of its host and prefix. */
#define IV_KEY_QUEUE "queue/"

/** The recorded policies. */
struct iv_queues;

struct iv_queues *iv_queues_new (void);
void iv_queues_free (struct iv_queues *queues);

/** Apply the record of a queue. IV_ERR_INVALID with a last message when it is malformed. */
enum iv_status iv_queues_apply (struct iv_queues *queues, const guint8 *value, gsize len);

/** Fill @a policy for the queue of @a host and @a prefix; its strings are valid until the next
 *  record is applied. FALSE when no job of the queue was accepted. */
gboolean iv_queues_find (const struct iv_queues *queues, const char *host, const char *prefix,
                         struct iv_queue_policy *policy);

/** Whether that is @a policy. */
gboolean iv_queues_has (const struct iv_queues *queues, const char *host, const char *prefix,
                        const struct iv_queue_policy *policy);

/** Encode the record of a queue, and set @a key to its key, to be freed. NULL when it is too large.
 */
GByteArray *iv_queues_encode (const char *host, const char *prefix,
                              const struct iv_queue_policy *policy, char **key);

#endif
