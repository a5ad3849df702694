#include "chunks.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define CHUNK_BYTES (128 * 1024) /* small enough for a batch of IV_BATCH_BYTES_MAX */
#define CHUNKS_MAX 512           /* 64 MiB, the limit of an encoded snapshot */

struct iv_chunks
{
  guint64 end_offset; /* of the snapshot being reassembled */
  guint64 digest;     /* XXH3 of the whole snapshot */
  guint32 total;      /* chunks of the snapshot */
  guint32 next;       /* index of the chunk expected next */
  GByteArray *bytes;
};

void
iv_chunks_split (GArray *records, const GByteArray *bytes, guint64 end_offset)
{
  guint32 total = MAX (1, (bytes->len + CHUNK_BYTES - 1) / CHUNK_BYTES);
  guint64 digest = XXH3_64bits (bytes->data, bytes->len);
  for (guint32 i = 0; i < total; i++)
    {
      guint from = i * CHUNK_BYTES;
      guint len = MIN (bytes->len - from, CHUNK_BYTES);
      ivx_record record = { .kind = IVX_SNAPSHOT_CHUNK };
      ivx_chunk *chunk = &record.ivx_record_u.chunk;
      chunk->end_offset = end_offset;
      chunk->index = i;
      chunk->total = total;
      chunk->digest = digest;
      chunk->bytes.bytes_len = len;
      chunk->bytes.bytes_val = malloc (len + 1);
      memcpy (chunk->bytes.bytes_val, bytes->data + from, len);
      iv_records_add (records, &record);
    }
}

struct iv_chunks *
iv_chunks_new (void)
{
  struct iv_chunks *assembler = g_new0 (struct iv_chunks, 1);
  assembler->bytes = g_byte_array_new ();
  return assembler;
}

void
iv_chunks_free (struct iv_chunks *assembler)
{
  if (assembler == NULL)
    return;
  g_byte_array_free (assembler->bytes, TRUE);
  g_free (assembler);
}

static gboolean
add_chunk (struct iv_chunks *assembler, const ivx_chunk *chunk)
{
  if (chunk->total == 0 || chunk->total > CHUNKS_MAX)
    return FALSE;
  if (chunk->index == 0)
    {
      assembler->end_offset = chunk->end_offset;
      assembler->digest = chunk->digest;
      assembler->total = chunk->total;
      assembler->next = 0;
      g_byte_array_set_size (assembler->bytes, 0);
    }
  if (chunk->end_offset != assembler->end_offset || chunk->digest != assembler->digest
      || chunk->total != assembler->total || chunk->index != assembler->next)
    return FALSE;
  g_byte_array_append (assembler->bytes, (const guint8 *)chunk->bytes.bytes_val,
                       chunk->bytes.bytes_len);
  assembler->next++;
  return assembler->next == assembler->total
         && XXH3_64bits (assembler->bytes->data, assembler->bytes->len) == assembler->digest;
}

const GByteArray *
iv_chunks_add (struct iv_chunks *assembler, const ivx_batch *batch, guint64 *end_offset)
{
  gboolean complete = FALSE;
  for (u_int i = 0; i < batch->records.records_len; i++)
    if (batch->records.records_val[i].kind == IVX_SNAPSHOT_CHUNK)
      complete |= add_chunk (assembler, &batch->records.records_val[i].ivx_record_u.chunk);
  if (!complete)
    return NULL;
  *end_offset = assembler->end_offset;
  return assembler->bytes;
}
