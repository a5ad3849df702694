#include "chunks.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define CHUNK_BYTES (128 * 1024)
#define CHUNKS_MAX 512

struct iv_chunks
{
  guint64 end_offset;
  guint64 digest;
  guint32 total;
  guint32 next;
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
  struct iv_chunks *chunks = g_new0 (struct iv_chunks, 1);
  chunks->bytes = g_byte_array_new ();
  return chunks;
}

void
iv_chunks_free (struct iv_chunks *chunks)
{
  if (chunks == NULL)
    return;
  g_byte_array_free (chunks->bytes, TRUE);
  g_free (chunks);
}

static gboolean
add_chunk (struct iv_chunks *chunks, const ivx_chunk *chunk)
{
  if (chunk->total == 0 || chunk->total > CHUNKS_MAX)
    return FALSE;
  if (chunk->index == 0)
    {
      chunks->end_offset = chunk->end_offset;
      chunks->digest = chunk->digest;
      chunks->total = chunk->total;
      chunks->next = 0;
      g_byte_array_set_size (chunks->bytes, 0);
    }
  if (chunk->end_offset != chunks->end_offset || chunk->digest != chunks->digest
      || chunk->total != chunks->total || chunk->index != chunks->next)
    return FALSE;
  g_byte_array_append (chunks->bytes, (const guint8 *)chunk->bytes.bytes_val,
                       chunk->bytes.bytes_len);
  chunks->next++;
  return chunks->next == chunks->total
         && XXH3_64bits (chunks->bytes->data, chunks->bytes->len) == chunks->digest;
}

const GByteArray *
iv_chunks_add (struct iv_chunks *chunks, const ivx_batch *batch, guint64 *end_offset)
{
  gboolean whole = FALSE;
  for (u_int i = 0; i < batch->records.records_len; i++)
    if (batch->records.records_val[i].kind == IVX_SNAPSHOT_CHUNK)
      whole |= add_chunk (chunks, &batch->records.records_val[i].ivx_record_u.chunk);
  if (!whole)
    return NULL;
  *end_offset = chunks->end_offset;
  return chunks->bytes;
}
