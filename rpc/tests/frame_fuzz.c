/**
 * @file frame_fuzz.c
 * Arbitrary bytes on the port of the peer protocol must give records within the limit or an error,
 * and their arguments must be decoded or rejected.
 */
#include "frame.h"
#include "rpc.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#define LIMIT 4096

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static gboolean
decode (void *context, const guint8 *bytes, gsize len)
{
  static const struct
  {
    iv_xdr_proc proc;
    gsize size;
  } types[] = { { (iv_xdr_proc)xdr_ivp_hello, sizeof (ivp_hello) },
                { (iv_xdr_proc)xdr_ivp_read, sizeof (ivp_read) },
                { (iv_xdr_proc)xdr_ivp_read_reply, sizeof (ivp_read_reply) },
                { (iv_xdr_proc)xdr_ivp_query_reply, sizeof (ivp_query_reply) } };
  if (len > LIMIT)
    abort ();
  for (guint i = 0; i < G_N_ELEMENTS (types); i++)
    {
      gpointer object = g_malloc0 (types[i].size);
      if (iv_xdr_decode (types[i].proc, bytes, len, object) == IV_OK)
        xdr_free ((xdrproc_t)types[i].proc, object);
      g_free (object);
    }
  return TRUE;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct iv_frame_reader reader;
  iv_frame_reader_init (&reader, LIMIT);
  for (size_t offset = 0; offset < size;)
    {
      size_t step = MIN (size - offset, 1 + data[offset] % 40u);
      if (iv_frame_reader_push (&reader, data + offset, step, decode, NULL) != IV_OK)
        break;
      offset += step;
    }
  iv_frame_reader_clear (&reader);
  decode (NULL, data, MIN (size, LIMIT));
  return 0;
}
