/**
 * @file placement.h
 * Chooses a worker for a task by the expected interference and by packing.
 */
#ifndef IV_PLACEMENT_H
#define IV_PLACEMENT_H

#include "cell.h"
#include "interference.h"

/** Weights of the cost function: how much a service's tail latency counts against throughput. */
struct iv_weights
{
  double tail;       /**< slowdown of services */
  double throughput; /**< slowdown of batch tasks */
  double packing;    /**< processors left unused; other tasks on accelerator workers */
  double spread;     /**< services concentrated on few workers or racks */
  double caution;    /**< standard deviations added to an estimated slowdown */
  double guard;      /**< limit of the expected slowdown of a service beside batch tasks; 0: none */
};

/** How a worker is chosen; all but IV_STRATEGY_INTERFERENCE are baselines for comparison. */
enum iv_strategy
{
  IV_STRATEGY_INTERFERENCE, /**< by the cost function, with the interference model */
  IV_STRATEGY_FIRST_FIT,    /**< the fitting worker with the lowest id */
  IV_STRATEGY_NO_MODEL      /**< by the cost function, with the same slowdown for all pairs */
};

/** Whether @a worker may receive new tasks; @a context is the one given with the function. */
typedef gboolean (*iv_worker_usable_fn) (void *context, const struct iv_worker *worker);

/** One placement pass over a cell; a choice reserves its resources until the end of the pass. */
struct iv_placement;

/** Begin a pass. @a usable is called once for each worker. The pass keeps references to @a model
 *  and @a weights. Free it with iv_placement_end(). */
struct iv_placement *iv_placement_begin (const struct iv_cell *cell, struct iv_interference *model,
                                         const struct iv_weights *weights,
                                         enum iv_strategy strategy, iv_worker_usable_fn usable,
                                         void *context, gint64 now_ms);

/** End the pass and free it. */
void iv_placement_end (struct iv_placement *pass);

/** Choose a worker for one task of @a item; @a seed determines where the scan of workers starts.
 *  Workers in @a avoid (a set of `gint64` ids, may be NULL) are chosen only if no other has room.
 *  With @a may_wait a batch task gets no worker on which it would slow a service beyond `guard`.
 *  Returns the worker's id and reserves the resources there, or returns IV_NO_WORKER. */
guint32 iv_placement_choose (struct iv_placement *pass, const ivx_item *item, guint32 seed,
                             GHashTable *avoid, gboolean may_wait);

/** Release the resources that one choice of @a worker for @a item reserved in this pass. */
void iv_placement_release (struct iv_placement *pass, const ivx_item *item, guint32 worker);

/** Whether the capacity of some worker of the cell is at least @a size; TRUE without workers. */
gboolean iv_placement_fits_any_worker (const struct iv_placement *pass, const ivx_size *size);

#endif
