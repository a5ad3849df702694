/**
 * @file config.h
 * Replicated state built from the stream "config": releases, items and failure domains in service.
 *
 * The state is a pure function of the batches in offset order and does not depend on a clock.
 */
#ifndef IV_CONFIG_H
#define IV_CONFIG_H

#include "batch.h"
#include "writers.h"

#define IV_HISTORY_MAX 256     /**< releases in the history; the oldest is dropped */
#define IV_ENDED_JOBS_MAX 4096 /**< ended jobs that are kept; the oldest is dropped */

/** Configuration item: a service, job or team, in force or ended. */
struct iv_item
{
  ivx_item item;
  guint64 gen;      /**< generation, made from the offset of the batch that set it; unique */
  gboolean ended;   /**< finished, cancelled or withdrawn */
  GArray *progress; /**< of ivx_progress, one per failure domain */
};

/** The state. Members may be read; only iv_config_apply() changes them. */
struct iv_config
{
  guint64 next;    /**< offset of the next batch */
  guint32 release; /**< number of the release in force; 0 before the first */
  char *text;      /**< text of that release */
  struct iv_writers writers;
  GArray *history;   /**< of ivx_history_state, oldest first */
  GArray *domains;   /**< of ivx_domain_status */
  GHashTable *items; /**< name to struct iv_item */
  GQueue *ended;     /**< names of ended jobs, oldest first */
};

/** Result of applying a batch. */
enum iv_apply_result
{
  IV_APPLY_DONE,     /**< every record was applied */
  IV_APPLY_REJECTED, /**< at least one record was rejected and changed nothing */
  IV_APPLY_DUPLICATE /**< the batch was applied before, or its writer has restarted since */
};

/** Create the empty state. */
struct iv_config *iv_config_new (void);

/** Free the state; NULL is allowed. */
void iv_config_free (struct iv_config *config);

/** Apply the batch at @a offset, which must not be below `next`. */
enum iv_apply_result iv_config_apply (struct iv_config *config, guint64 offset,
                                      const ivx_batch *batch);

/** Find an item by name; NULL when there is none. */
const struct iv_item *iv_config_item (const struct iv_config *config, const char *name);

/** Whether operators have taken @a domain out of service. */
gboolean iv_config_domain_out (const struct iv_config *config, const char *domain);

/** Number of tasks of @a item that have ended, over all failure domains. Sets @a unsuccessful,
 *  unless it is NULL, to how many of them did not succeed. */
guint32 iv_item_ended_tasks (const struct iv_item *item, guint32 *unsuccessful);

/** Offset of the batch that set the definition with generation @a gen. */
guint64 iv_gen_offset (guint64 gen);

/** Encode the state as a snapshot; NULL when it exceeds 64 MiB. Free with g_byte_array_free(). */
GByteArray *iv_config_save (const struct iv_config *config);

/** Restore a snapshot; NULL, with a message recorded by iv_fail(), when it is malformed. */
struct iv_config *iv_config_load (const guint8 *bytes, gsize len);

#endif
