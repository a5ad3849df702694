/**
 * @file config.h
 * The fold of the stream "config": what is in force in every failure domain.
 *
 * The state is a pure function of the batches in offset order; nothing here reads a clock.
 */
#ifndef IV_CONFIG_H
#define IV_CONFIG_H

#include "batch.h"
#include "writers.h"

#define IV_HISTORY_MAX 256     /**< releases whose heads are remembered */
#define IV_ENDED_JOBS_MAX 4096 /**< finished jobs that are remembered by name */

/** A service, job or team that is in force, or a job that has ended. */
struct iv_item
{
  ivx_item item;
  guint64 gen;      /**< from the offset of the batch that set it; unique to this definition */
  gboolean ended;   /**< finished, cancelled or withdrawn */
  GArray *progress; /**< of ivx_progress, one a failure domain */
};

/** The state. Read its members freely; only iv_config_apply() changes them. */
struct iv_config
{
  guint64 next;    /**< offset of the next batch */
  guint32 release; /**< number of the release in force; 0 before the first */
  char *text;      /**< text of that release */
  struct iv_writers writers;
  GArray *history;   /**< of ivx_history_state, oldest first */
  GArray *domains;   /**< of ivx_domain_state */
  GHashTable *items; /**< name to struct iv_item */
  GQueue *ended;     /**< names of ended jobs, oldest first */
};

/** What a batch did. */
enum iv_apply_result
{
  IV_APPLY_DONE,     /**< every record took effect */
  IV_APPLY_REJECTED, /**< at least one record folded to nothing */
  IV_APPLY_DUPLICATE /**< the batch was folded before */
};

/** Create the state before the first batch. */
struct iv_config *iv_config_new (void);

/** Free the state. */
void iv_config_free (struct iv_config *config);

/** Fold the batch at @a offset, which must not be below `next`. */
enum iv_apply_result iv_config_apply (struct iv_config *config, guint64 offset,
                                      const ivx_batch *batch);

/** Find a service, job or team by name; NULL when there is none. */
const struct iv_item *iv_config_item (const struct iv_config *config, const char *name);

/** Whether operators have taken @a domain out. */
gboolean iv_config_domain_out (const struct iv_config *config, const char *domain);

/** Tasks of @a item that have ended, and of these the ones that did not succeed. */
guint32 iv_item_ended_tasks (const struct iv_item *item, guint32 *unsuccessful);

/** Offset of the batch that set the definition @a gen. */
guint64 iv_gen_offset (guint64 gen);

/** Encode the state as a snapshot. Free with g_byte_array_free(). */
GByteArray *iv_config_save (const struct iv_config *config);

/** Restore a snapshot; NULL with a last message when it is malformed. */
struct iv_config *iv_config_load (const guint8 *bytes, gsize len);

#endif
