#include "batch.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_ENCODE_BYTES 4096 /* grows fourfold until the object fits */

GByteArray *
iv_xdr_encode (iv_xdr_proc proc, const void *object, gsize limit)
{
  for (gsize size = MIN (INITIAL_ENCODE_BYTES, limit);; size = MIN (size * 4, limit))
    {
      GByteArray *out = g_byte_array_sized_new ((guint)size);
      XDR xdr;
      gboolean ok;
      g_byte_array_set_size (out, (guint)size);
      xdrmem_create (&xdr, (char *)out->data, (u_int)size, XDR_ENCODE);
      ok = proc (&xdr, (void *)object);
      g_byte_array_set_size (out, xdr_getpos (&xdr));
      xdr_destroy (&xdr);
      if (ok)
        return out;
      g_byte_array_free (out, TRUE);
      if (size >= limit)
        return NULL;
    }
}

enum iv_status
iv_xdr_decode (iv_xdr_proc proc, const guint8 *bytes, gsize len, void *object)
{
  XDR xdr;
  gboolean ok;
  gsize used;
  if (len > G_MAXINT32)
    return iv_fail (IV_ERR_LIMIT, "cannot decode %zu bytes: XDR is limited to 2^31 - 1", len);
  xdrmem_create (&xdr, (char *)bytes, (u_int)len, XDR_DECODE);
  ok = proc (&xdr, object);
  used = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  if (ok && used == len)
    return IV_OK;
  xdr_free ((xdrproc_t)proc, object);
  return iv_fail (IV_ERR_INVALID,
                  ok ? "XDR object is followed by %zu unexpected bytes"
                     : "XDR object is malformed at byte %zu",
                  ok ? len - used : used);
}

void
iv_xdr_copy (iv_xdr_proc proc, const void *object, void *copy)
{
  GByteArray *bytes = iv_xdr_encode (proc, object, IV_BATCH_BYTES_MAX);
  g_assert (bytes != NULL);
  g_assert (iv_xdr_decode (proc, bytes->data, bytes->len, copy) == IV_OK);
  g_byte_array_free (bytes, TRUE);
}

GByteArray *
iv_batch_encode (const ivx_batch *batch)
{
  return iv_xdr_encode ((iv_xdr_proc)xdr_ivx_batch, batch, IV_BATCH_BYTES_MAX);
}

enum iv_status
iv_batch_decode (const guint8 *bytes, gsize len, ivx_batch *batch)
{
  memset (batch, 0, sizeof *batch);
  if (len > IV_BATCH_BYTES_MAX)
    return iv_fail (IV_ERR_LIMIT, "batch of %zu bytes exceeds the size limit", len);
  return iv_xdr_decode ((iv_xdr_proc)xdr_ivx_batch, bytes, len, batch);
}

void
iv_batch_clear (ivx_batch *batch)
{
  xdr_free ((xdrproc_t)xdr_ivx_batch, (char *)batch);
  memset (batch, 0, sizeof *batch);
}

static void
clear_record (gpointer data)
{
  xdr_free ((xdrproc_t)xdr_ivx_record, data);
}

GArray *
iv_records_new (void)
{
  GArray *records = g_array_new (FALSE, TRUE, sizeof (ivx_record));
  g_array_set_clear_func (records, clear_record);
  return records;
}

void
iv_records_add (GArray *records, const ivx_record *record)
{
  g_array_append_vals (records, record, 1);
}

void
iv_batch_take (ivx_batch *batch, GArray *records)
{
  batch->records.records_len = records->len;
  batch->records.records_val = NULL;
  if (records->len > 0)
    {
      batch->records.records_val = malloc (records->len * sizeof (ivx_record));
      memcpy (batch->records.records_val, records->data, records->len * sizeof (ivx_record));
    }
  g_array_set_clear_func (records, NULL);
  g_array_set_size (records, 0);
  g_array_set_clear_func (records, clear_record);
}

char *
iv_record_strdup (const char *text)
{
  return strdup (text ? text : "");
}
