#include "queues.h"

#include "job_table.h"

#include <string.h>

struct iv_queues
{
  GHashTable *by_name; /* from name to ivj_queue */
};

static void
free_queue (gpointer data)
{
  xdr_free ((xdrproc_t)xdr_ivj_queue, data);
  g_free (data);
}

struct iv_queues *
iv_queues_new (void)
{
  struct iv_queues *queues = g_new0 (struct iv_queues, 1);
  queues->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_queue);
  return queues;
}

void
iv_queues_free (struct iv_queues *queues)
{
  if (queues == NULL)
    return;
  g_hash_table_destroy (queues->by_name);
  g_free (queues);
}

/* A host has no spaces. */
static char *
name_of (const char *host, const char *prefix)
{
  return g_strconcat (host, " ", prefix, NULL);
}

enum iv_status
iv_queues_apply (struct iv_queues *queues, const guint8 *value, gsize len)
{
  ivj_queue *queue = g_new0 (ivj_queue, 1);
  enum iv_status status = iv_xdr_decode ((iv_xdr_proc)xdr_ivj_queue, value, len, queue);
  if (status != IV_OK)
    {
      g_free (queue);
      return status;
    }
  g_hash_table_replace (queues->by_name, name_of (queue->host, queue->prefix), queue);
  return IV_OK;
}

gboolean
iv_queues_find (const struct iv_queues *queues, const char *host, const char *prefix,
                struct iv_queue_policy *policy)
{
  char *name = name_of (host, prefix);
  const ivj_queue *queue = g_hash_table_lookup (queues->by_name, name);
  g_free (name);
  if (queue == NULL)
    return FALSE;
  *policy = (struct iv_queue_policy){ .service = queue->service,
                                      .priority = queue->priority,
                                      .attempts = MAX (queue->attempts, 1),
                                      .stretch = queue->stretch,
                                      .objective_ms = queue->objective_ms,
                                      .advised = queue->advised,
                                      .checks_capacity = queue->checks_capacity };
  return TRUE;
}

gboolean
iv_queues_has (const struct iv_queues *queues, const char *host, const char *prefix,
               const struct iv_queue_policy *policy)
{
  struct iv_queue_policy known;
  return iv_queues_find (queues, host, prefix, &known)
         && strcmp (known.service, policy->service) == 0 && known.priority == policy->priority
         && known.attempts == policy->attempts && known.objective_ms == policy->objective_ms
         && known.advised == policy->advised && known.checks_capacity == policy->checks_capacity
         && known.stretch >= policy->stretch && known.stretch <= policy->stretch;
}

GByteArray *
iv_queues_encode (const char *host, const char *prefix, const struct iv_queue_policy *policy,
                  char **key)
{
  const ivj_queue queue = { .host = (char *)host,
                            .prefix = (char *)prefix,
                            .service = (char *)policy->service,
                            .priority = policy->priority,
                            .attempts = policy->attempts,
                            .stretch = policy->stretch,
                            .objective_ms = policy->objective_ms,
                            .advised = policy->advised,
                            .checks_capacity = policy->checks_capacity };
  char *name = name_of (host, prefix);
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, name, -1);
  *key = g_strconcat (IV_KEY_QUEUE, digest, NULL);
  g_free (digest);
  g_free (name);
  return iv_xdr_encode ((iv_xdr_proc)xdr_ivj_queue, &queue, IV_RECORD_MAX_BYTES);
}
