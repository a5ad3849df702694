/**
 * @file batch.h
 * Batches of records, encoded in XDR. One append to the log writes one batch.
 */
#ifndef IV_BATCH_H
#define IV_BATCH_H

#include "records_xdr.h"
#include "status.h"

#include <glib.h>

#define IV_BATCH_BYTES_MAX (512 * 1024) /**< limit of an encoded batch */

/** Generated XDR routine that encodes, decodes or frees one type. */
typedef bool_t (*iv_xdr_proc) (XDR *, void *);

/** Encode @a object with @a proc. Returns NULL when the encoding exceeds @a limit bytes. Free with
 *  g_byte_array_free(). */
GByteArray *iv_xdr_encode (iv_xdr_proc proc, const void *object, gsize limit);

/** Decode @a len bytes into @a object, which must be zeroed.
 *  @return IV_ERR_INVALID when the bytes are malformed or bytes follow the object, IV_ERR_LIMIT
 * when
 *  @a len exceeds G_MAXINT32. On failure @a object holds nothing to free. */
enum iv_status iv_xdr_decode (iv_xdr_proc proc, const guint8 *bytes, gsize len, void *object);

/** Deep copy of @a object into the zeroed @a copy, by encoding and decoding. The encoding of
 *  @a object must not exceed IV_BATCH_BYTES_MAX. */
void iv_xdr_copy (iv_xdr_proc proc, const void *object, void *copy);

/** Encode a batch; NULL when the encoding exceeds IV_BATCH_BYTES_MAX. Free with
 *  g_byte_array_free(). */
GByteArray *iv_batch_encode (const ivx_batch *batch);

/** Decode a batch; errors as iv_xdr_decode(), and IV_ERR_LIMIT above IV_BATCH_BYTES_MAX. Free its
 *  content with iv_batch_clear(). */
enum iv_status iv_batch_decode (const guint8 *bytes, gsize len, ivx_batch *batch);

/** Free the content of a batch and zero it. */
void iv_batch_clear (ivx_batch *batch);

/** Append @a record to @a records, a GArray of ivx_record, which takes over its content. */
void iv_records_add (GArray *records, const ivx_record *record);

/** Create a GArray of ivx_record that frees the content of its elements. */
GArray *iv_records_new (void);

/** Move all of @a records into @a batch, which takes over their content. @a records is empty
 *  afterwards. */
void iv_batch_take (ivx_batch *batch, GArray *records);

/** Duplicate @a text for use in a record; NULL gives "". XDR frees the strings of records with
 *  free(), so they must not come from g_malloc(). */
char *iv_record_strdup (const char *text);

#endif
