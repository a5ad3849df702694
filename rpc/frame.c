#include "frame.h"

#include <string.h>

void
iv_frame_reader_init (struct iv_frame_reader *reader, gsize limit)
{
  reader->input = g_byte_array_new ();
  reader->record = g_byte_array_new ();
  reader->limit = limit;
}

void
iv_frame_reader_clear (struct iv_frame_reader *reader)
{
  g_byte_array_free (reader->input, TRUE);
  g_byte_array_free (reader->record, TRUE);
  reader->input = reader->record = NULL;
}

static guint32
read_header (const guint8 *bytes)
{
  return (guint32)bytes[0] << 24 | (guint32)bytes[1] << 16 | (guint32)bytes[2] << 8 | bytes[3];
}

enum iv_status
iv_frame_reader_push (struct iv_frame_reader *reader, const void *bytes, gsize len,
                      iv_frame_record_fn on_record, void *context)
{
  gsize used = 0;
  gboolean keep_reading = TRUE;
  g_byte_array_append (reader->input, bytes, (guint)len);
  while (keep_reading && reader->input->len - used >= IV_FRAME_HEADER_BYTES)
    {
      guint32 header = read_header (reader->input->data + used);
      guint32 size = header & ~IV_FRAME_LAST_FRAGMENT;
      if (size + reader->record->len > reader->limit)
        return iv_fail (IV_ERR_LIMIT, "RPC record exceeds the limit of %zu bytes", reader->limit);
      if (size == 0 && !(header & IV_FRAME_LAST_FRAGMENT))
        return iv_fail (IV_ERR_INVALID, "empty RPC fragment that does not end its record");
      if (reader->input->len - used - IV_FRAME_HEADER_BYTES < size)
        break;
      g_byte_array_append (reader->record, reader->input->data + used + IV_FRAME_HEADER_BYTES,
                           size);
      used += IV_FRAME_HEADER_BYTES + size;
      if (header & IV_FRAME_LAST_FRAGMENT)
        {
          keep_reading = on_record (context, reader->record->data, reader->record->len);
          g_byte_array_set_size (reader->record, 0);
        }
    }
  if (used > 0)
    g_byte_array_remove_range (reader->input, 0, (guint)used);
  return IV_OK;
}

void
iv_frame_write_header (guint8 header[IV_FRAME_HEADER_BYTES], guint32 len)
{
  guint32 word = len | IV_FRAME_LAST_FRAGMENT;
  header[0] = (guint8)(word >> 24);
  header[1] = (guint8)(word >> 16);
  header[2] = (guint8)(word >> 8);
  header[3] = (guint8)word;
}
