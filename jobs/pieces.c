#include "pieces.h"

#include <string.h>

/* What sums can be formed with. */
#define AMOUNT_MAX (G_MAXINT64 / 4)

static gboolean
holds (const struct iv_piece *piece, const struct iv_piece *need)
{
  return piece->cpu_milli >= need->cpu_milli && piece->mem_mb >= need->mem_mb;
}

guint
iv_pieces_count (const GArray *pieces, const struct iv_piece *need)
{
  gint64 count = 0;
  for (guint i = 0; i < pieces->len; i++)
    {
      const struct iv_piece *piece = &g_array_index (pieces, struct iv_piece, i);
      if (holds (piece, need))
        count += MIN (piece->cpu_milli / MAX (need->cpu_milli, 1),
                      piece->mem_mb / MAX (need->mem_mb, 1));
    }
  return (guint)MIN (count, G_MAXINT);
}

gboolean
iv_pieces_take (GArray *pieces, const struct iv_piece *need)
{
  struct iv_piece *best = NULL;
  for (guint i = 0; i < pieces->len; i++)
    {
      struct iv_piece *piece = &g_array_index (pieces, struct iv_piece, i);
      if (holds (piece, need) && (best == NULL || piece->cpu_milli < best->cpu_milli))
        best = piece;
    }
  if (best == NULL)
    return FALSE;
  best->cpu_milli -= need->cpu_milli;
  best->mem_mb -= need->mem_mb;
  return TRUE;
}

static gint
compare_descending (gconstpointer a, gconstpointer b)
{
  const struct iv_piece *x = a;
  const struct iv_piece *y = b;
  return (x->cpu_milli < y->cpu_milli) - (x->cpu_milli > y->cpu_milli);
}

void
iv_pieces_keep_largest (GArray *pieces, guint max)
{
  g_array_sort (pieces, compare_descending);
  if (pieces->len > max)
    g_array_set_size (pieces, max);
}

void
iv_pieces_format (const GArray *pieces, GString *text)
{
  for (guint i = 0; i < pieces->len; i++)
    {
      const struct iv_piece *piece = &g_array_index (pieces, struct iv_piece, i);
      g_string_append_printf (text, " %" G_GINT64_FORMAT ":%" G_GINT64_FORMAT, piece->cpu_milli,
                              piece->mem_mb);
    }
}

static gboolean
parse_amount (const char *text, const char *end, gint64 *amount)
{
  char *rest;
  *amount = g_ascii_strtoll (text, &rest, 10);
  return rest > text && rest == end && *amount >= 0 && *amount <= AMOUNT_MAX;
}

GArray *
iv_pieces_parse (const char *text)
{
  GArray *pieces = g_array_new (FALSE, FALSE, sizeof (struct iv_piece));
  char **words = g_strsplit (text, " ", -1);
  for (guint i = 0; words[i] && pieces->len < IV_PIECES_MAX; i++)
    {
      const char *colon = strchr (words[i], ':');
      struct iv_piece piece;
      if (words[i][0] == '\0')
        continue;
      if (colon == NULL || !parse_amount (words[i], colon, &piece.cpu_milli)
          || !parse_amount (colon + 1, colon + strlen (colon), &piece.mem_mb))
        break;
      g_array_append_val (pieces, piece);
    }
  g_strfreev (words);
  return pieces;
}
