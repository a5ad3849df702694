/**
 * @file writers.h
 * Which batches of each writer were folded, so that an append that was sent again folds once.
 */
#ifndef IV_WRITERS_H
#define IV_WRITERS_H

#include "batch.h"

#define IV_WRITERS_MAX                                                                             \
  1024 /**< writers remembered; the one that wrote longest ago is forgotten                        \
        */

/** The table; part of each fold's state. */
struct iv_writers
{
  GArray *rows; /**< of ivx_writer_state, ordered by last write */
};

/** Start empty. */
void iv_writers_init (struct iv_writers *writers);

/** Free the table's content. */
void iv_writers_clear (struct iv_writers *writers);

/** Record the batch header. FALSE when the batch repeats one, or comes from an incarnation that a
 *  newer one of the same writer replaced. */
gboolean iv_writers_accept (struct iv_writers *writers, const ivx_batch *batch);

#endif
