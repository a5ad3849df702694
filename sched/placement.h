/**
 * @file placement.h
 * Choice of a worker for a task by its expected harm and by packing.
 */
#ifndef IV_PLACEMENT_H
#define IV_PLACEMENT_H

#include "cell.h"
#include "interference.h"

/** Weights of a deployment: how much a service's tail latency counts against throughput. */
struct iv_weights
{
  double tail;       /**< harm done to services */
  double throughput; /**< harm done to batch tasks */
  double packing;    /**< leaving large workers free */
  double spread;     /**< services on few hosts or racks */
  double caution;    /**< standard deviations added to an estimate of harm */
  double guard; /**< expected slowdown of a service beyond which no batch task is put beside it; 0:
                   none */
};

/** How a placement is chosen; the ones but HARM are baselines. */
enum iv_strategy
{
  IV_STRATEGY_HARM,
  IV_STRATEGY_FIRST_FIT,
  IV_STRATEGY_NO_MODEL /**< like HARM, but every pair is taken to be alike */
};

/** Decides on a worker's availability for @a worker; the context is the caller's. */
typedef gboolean (*iv_usable_fn) (void *context, const struct iv_worker *worker);

/** One planning pass over a cell: choices made in it count as taken. */
struct iv_placement;

/** Begin a pass. @a usable is asked once for each worker. */
struct iv_placement *iv_placement_begin (const struct iv_cell *cell, struct iv_interference *model,
                                         const struct iv_weights *weights,
                                         enum iv_strategy strategy, iv_usable_fn usable,
                                         void *context, gint64 now_ms);

/** End the pass. */
void iv_placement_end (struct iv_placement *pass);

/** Choose a worker for one task of @a item, starting the scan at a place that @a seed gives.
 * Workers in @a avoid (a set of `gint64` ids, may be NULL) are taken only when no other has room.
 *  A @a patient task waits rather than harm a service beyond the guard.
 *  Returns its id and takes its space, or IV_NO_WORKER. */
guint32 iv_placement_choose (struct iv_placement *pass, const ivx_item *item, guint32 seed,
                             GHashTable *avoid, gboolean patient);

/** Give back what the last choice of @a item on @a worker took. */
void iv_placement_undo (struct iv_placement *pass, const ivx_item *item, guint32 worker);

/** Whether any worker of the cell, were it empty, could hold @a size. */
gboolean iv_placement_possible (const struct iv_placement *pass, const ivx_size *size);

#endif
