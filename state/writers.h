/**
 * @file writers.h
 * Table of the last batch applied from each writer, so that a retried append is applied once.
 */
#ifndef IV_WRITERS_H
#define IV_WRITERS_H

#include "batch.h"

/** Writers in the table. When it is full, the one that wrote least recently is dropped. */
#define IV_WRITERS_MAX 1024

/** The table. It is part of the state that is built from a stream. */
struct iv_writers
{
  GArray *rows; /**< of ivx_writer_state, least recent write first */
};

/** Initialize an empty table. */
void iv_writers_init (struct iv_writers *writers);

/** Free the content of the table. */
void iv_writers_clear (struct iv_writers *writers);

/** Record writer, incarnation and sequence of @a batch. FALSE when the sequence is not above the
 *  last one of the same incarnation, or the writer has already written with a newer incarnation. */
gboolean iv_writers_accept (struct iv_writers *writers, const ivx_batch *batch);

#endif
