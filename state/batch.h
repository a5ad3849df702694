/**
 * @file batch.h
 * Batches of records: the unit of one append, in XDR.
 */
#ifndef IV_BATCH_H
#define IV_BATCH_H

#include "records_xdr.h"
#include "status.h"

#include <glib.h>

#define IV_BATCH_BYTES_MAX (512 * 1024) /**< of an encoded batch */

/** An XDR routine of a generated type. */
typedef bool_t (*iv_xdr_proc) (XDR *, void *);

/** Encode @a object by @a proc. Returns NULL when it exceeds @a limit bytes. */
GByteArray *iv_xdr_encode (iv_xdr_proc proc, const void *object, gsize limit);

/** Decode @a len bytes into the zeroed @a object; all bytes must be used. On failure nothing is
 *  left to free. */
enum iv_status iv_xdr_decode (iv_xdr_proc proc, const guint8 *bytes, gsize len, void *object);

/** Deep copy of @a object of @a size bytes into @a copy, by encoding and decoding. */
void iv_xdr_copy (iv_xdr_proc proc, const void *object, void *copy);

/** Encode a batch; NULL when it is larger than IV_BATCH_BYTES_MAX. */
GByteArray *iv_batch_encode (const ivx_batch *batch);

/** Decode a batch. Free its content with iv_batch_clear(). */
enum iv_status iv_batch_decode (const guint8 *bytes, gsize len, ivx_batch *batch);

/** Free what a decoded batch holds. */
void iv_batch_clear (ivx_batch *batch);

/** Move @a record to the end of @a records, a GArray of ivx_record. */
void iv_records_add (GArray *records, const ivx_record *record);

/** Create a GArray of ivx_record that frees their content. */
GArray *iv_records_new (void);

/** Move the content of @a records into @a batch, which becomes the owner. */
void iv_batch_take (ivx_batch *batch, GArray *records);

/** Duplicate a string for a record; record strings are freed by free(). */
char *iv_record_strdup (const char *text);

#endif
