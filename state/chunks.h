/**
 * @file chunks.h
 * Splits snapshots into records that fit into log batches, and reassembles them.
 */
#ifndef IV_CHUNKS_H
#define IV_CHUNKS_H

#include "batch.h"

/** Append the chunk records of the snapshot @a bytes to @a records. The snapshot holds the state
 *  after all batches below @a end_offset. */
void iv_chunks_split (GArray *records, const GByteArray *bytes, guint64 end_offset);

/** Reassembles snapshots, one at a time, from batches that are read in offset order. */
struct iv_chunks;

/** Create an empty assembler. */
struct iv_chunks *iv_chunks_new (void);

/** Free the assembler; NULL is allowed. */
void iv_chunks_free (struct iv_chunks *assembler);

/** Add the chunks of @a batch. Returns the snapshot and sets @a end_offset once its last chunk is
 *  added and the digest matches, else returns NULL. The first chunk of a snapshot discards what was
 *  collected before; any other chunk that is not the next of the same snapshot is dropped. The
 *  result belongs to the assembler and is valid until the next call. */
const GByteArray *iv_chunks_add (struct iv_chunks *assembler, const ivx_batch *batch,
                                 guint64 *end_offset);

#endif
