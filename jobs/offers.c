#include "offers.h"

#include <string.h>

#define AMOUNT_MAX (G_MAXINT64 / 4) /* sums can be formed */
/* In records. Escaped names hold none of their characters. */
#define NO_LABEL "*"
#define PIECES_FOLLOW " = "

static void
free_offer (gpointer data)
{
  struct iv_offer *offer = data;
  if (offer->pieces)
    g_array_unref (offer->pieces);
  g_free (offer->service);
  g_free (offer->label);
  g_free (offer);
}

GPtrArray *
iv_offers_new (void)
{
  return g_ptr_array_new_with_free_func (free_offer);
}

struct iv_offer *
iv_offers_row (GPtrArray *offers, const char *service, const char *label, gint64 accelerators)
{
  struct iv_offer *offer;
  for (guint i = 0; i < offers->len; i++)
    {
      offer = g_ptr_array_index (offers, i);
      if (offer->largest.accelerators == accelerators && strcmp (offer->label, label) == 0
          && strcmp (offer->service, service) == 0)
        return offer;
    }
  offer = g_new0 (struct iv_offer, 1);
  offer->service = g_strdup (service);
  offer->label = g_strdup (label);
  offer->largest.accelerators = accelerators;
  g_ptr_array_add (offers, offer);
  return offer;
}

/* Tasks of @a step on one worker of @a offer. */
static guint
count_on_worker (const struct iv_offer *offer, const ivj_step *step)
{
  struct iv_fleet_worker worker = { .capacity = offer->largest };
  guint fitting = iv_worker_count_empty (&worker, step);
  return step->per_worker_max > 0 ? MIN (fitting, step->per_worker_max) : fitting;
}

static gboolean
is_for (const struct iv_offer *offer, const char *service, const ivj_step *step)
{
  return strcmp (offer->service, service) == 0 && strcmp (offer->label, step->label) == 0;
}

guint
iv_offers_count (const GPtrArray *offers, const char *service, const ivj_step *step)
{
  guint64 count = 0;
  for (guint i = 0; i < offers->len; i++)
    {
      const struct iv_offer *offer = g_ptr_array_index (offers, i);
      if (is_for (offer, service, step))
        count += (guint64)offer->workers * count_on_worker (offer, step);
    }
  return (guint)MIN (count, G_MAXUINT);
}

GArray *
iv_offers_pieces (const GPtrArray *offers, const char *service, const ivj_step *step)
{
  for (guint i = 0; i < offers->len; i++)
    {
      const struct iv_offer *offer = g_ptr_array_index (offers, i);
      if (is_for (offer, service, step) && offer->largest.accelerators >= step->accelerators)
        return offer->pieces;
    }
  return NULL;
}

static void
append_name (GString *text, const char *name)
{
  char *escaped = g_uri_escape_string (*name ? name : NO_LABEL, *name ? NULL : NO_LABEL, FALSE);
  g_string_append (text, escaped);
  g_free (escaped);
}

/* Whether two rows differ by their labels alone. */
static gboolean
are_alike (const struct iv_offer *a, const struct iv_offer *b)
{
  return a->pieces == NULL && b->pieces == NULL && a->workers == b->workers
         && a->largest.cpu_milli == b->largest.cpu_milli && a->largest.mem_mb == b->largest.mem_mb
         && a->largest.accelerators == b->largest.accelerators
         && strcmp (a->service, b->service) == 0;
}

static gboolean
is_like_an_earlier_row (const GPtrArray *offers, guint place)
{
  for (guint i = 0; i < place; i++)
    if (are_alike (g_ptr_array_index (offers, i), g_ptr_array_index (offers, place)))
      return TRUE;
  return FALSE;
}

static void
format_row (const GPtrArray *offers, guint place, GString *text)
{
  const struct iv_offer *offer = g_ptr_array_index (offers, place);
  g_string_append (text, " | ");
  append_name (text, offer->service);
  g_string_append_c (text, ' ');
  append_name (text, offer->label);
  for (guint i = place + 1; i < offers->len; i++)
    {
      const struct iv_offer *other = g_ptr_array_index (offers, i);
      if (!are_alike (offer, other))
        continue;
      g_string_append_c (text, ',');
      append_name (text, other->label);
    }
  g_string_append_printf (text, " %u %" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
                          offer->workers, offer->largest.cpu_milli, offer->largest.mem_mb,
                          offer->largest.accelerators);
  if (offer->pieces == NULL)
    return;
  g_string_append (text, PIECES_FOLLOW);
  iv_pieces_format (offer->pieces, text);
}

void
iv_offers_format (const GPtrArray *offers, GString *text)
{
  for (guint i = 0; i < offers->len; i++)
    if (!is_like_an_earlier_row (offers, i))
      format_row (offers, i, text);
}

static gboolean
parse_amount (const char *word, gint64 *amount)
{
  guint64 value;
  if (!g_ascii_string_to_unsigned (word, 10, 0, AMOUNT_MAX, &value, NULL))
    return FALSE;
  *amount = (gint64)value;
  return TRUE;
}

/* Adds the rows of @a labels with what @a words tell of them. */
static gboolean
add_rows (GPtrArray *offers, char *const *words, const char *pieces)
{
  struct iv_resources largest;
  gint64 workers;
  char **labels;
  char *service;
  gboolean ok;
  if (g_strv_length ((char **)words) != 6 || !parse_amount (words[2], &workers)
      || workers > G_MAXINT || !parse_amount (words[3], &largest.cpu_milli)
      || !parse_amount (words[4], &largest.mem_mb)
      || !parse_amount (words[5], &largest.accelerators))
    return FALSE;
  service = g_uri_unescape_string (words[0], NULL);
  labels = g_strsplit (words[1], ",", IV_OFFERS_MAX);
  ok = service != NULL;
  for (guint i = 0; ok && labels[i]; i++)
    {
      gboolean none = strcmp (labels[i], NO_LABEL) == 0;
      char *label = g_uri_unescape_string (none ? "" : labels[i], NULL);
      struct iv_offer *offer
          = label ? iv_offers_row (offers, service, label, largest.accelerators) : NULL;
      ok = offer && offer->workers == 0;
      g_free (label);
      if (!ok)
        break;
      offer->workers = (guint)workers;
      offer->largest = largest;
      offer->pieces = pieces ? iv_pieces_parse (pieces) : NULL;
    }
  g_strfreev (labels);
  g_free (service);
  return ok;
}

/* Parses "SERVICE LABELS WORKERS CORES MEMORY ACCELERATORS", and pieces if they are told. */
static gboolean
parse_rows (GPtrArray *offers, const char *row)
{
  char **parts = g_strsplit (row, PIECES_FOLLOW, 2);
  char **words = g_strsplit (g_strstrip (parts[0]), " ", -1);
  gboolean ok = add_rows (offers, words, parts[1]);
  g_strfreev (words);
  g_strfreev (parts);
  return ok;
}

GPtrArray *
iv_offers_parse (const char *text)
{
  GPtrArray *offers = iv_offers_new ();
  char **rows = g_strsplit (text, "|", IV_OFFERS_MAX + 2);
  gboolean ok = rows[0] != NULL;
  for (guint i = 1; ok && rows[i]; i++)
    ok = i <= IV_OFFERS_MAX && parse_rows (offers, rows[i]);
  g_strfreev (rows);
  if (ok && offers->len > 0)
    return offers;
  g_ptr_array_unref (offers);
  return NULL;
}
