#include "writers.h"

void
iv_writers_init (struct iv_writers *writers)
{
  writers->rows = g_array_new (FALSE, FALSE, sizeof (ivx_writer_state));
}

void
iv_writers_clear (struct iv_writers *writers)
{
  g_array_free (writers->rows, TRUE);
  writers->rows = NULL;
}

gboolean
iv_writers_accept (struct iv_writers *writers, const ivx_batch *batch)
{
  ivx_writer_state row = { batch->writer, batch->incarnation, batch->sequence };
  for (guint i = writers->rows->len; i-- > 0;)
    {
      const ivx_writer_state *known = &g_array_index (writers->rows, ivx_writer_state, i);
      if (known->writer != batch->writer)
        continue;
      if (batch->incarnation < known->incarnation)
        return FALSE;
      if (batch->incarnation == known->incarnation && batch->sequence <= known->sequence)
        return FALSE;
      g_array_remove_index (writers->rows, i);
      break;
    }
  if (writers->rows->len >= IV_WRITERS_MAX)
    g_array_remove_index (writers->rows, 0);
  g_array_append_val (writers->rows, row);
  return TRUE;
}
