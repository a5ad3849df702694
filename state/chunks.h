/**
 * @file chunks.h
 * Snapshots cut into records that fit the log, and put together again.
 */
#ifndef IV_CHUNKS_H
#define IV_CHUNKS_H

#include "batch.h"

/** Append to @a records the chunk records of the snapshot @a bytes, which holds the state before
 *  the offset @a covers. */
void iv_chunks_split (GArray *records, const GByteArray *bytes, guint64 end_offset);

/** Collects the chunks of one snapshot at a time from batches read in offset order. */
struct iv_chunks;

/** Create an empty collector. */
struct iv_chunks *iv_chunks_new (void);

/** Free the collector. */
void iv_chunks_free (struct iv_chunks *chunks);

/** Take the chunks of @a batch. Returns the whole snapshot once its last chunk has come and its
 *  digest fits, else NULL. The result lives until the next call. */
const GByteArray *iv_chunks_add (struct iv_chunks *chunks, const ivx_batch *batch,
                                 guint64 *end_offset);

#endif
