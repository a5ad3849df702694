#include "slots.h"

#include <string.h>

#define INDEX_BITS 20
#define INDEX_MASK ((1u << INDEX_BITS) - 1)
#define GENERATION_MASK ((1u << (32 - INDEX_BITS)) - 1)

struct iv_slots
{
  gsize row_size;
  guint limit;
  guint used;
  GByteArray *rows;
  GArray *generations; /* of guint16; odd while the row is in use */
  GArray *free_rows;   /* of guint32 */
};

static guint32
make_handle (guint index, guint16 generation)
{
  return (guint32)(generation & GENERATION_MASK) << INDEX_BITS | index;
}

struct iv_slots *
iv_slots_new (gsize row_size, guint limit)
{
  struct iv_slots *slots = g_new0 (struct iv_slots, 1);
  slots->row_size = row_size;
  slots->limit = MIN (limit, INDEX_MASK);
  slots->rows = g_byte_array_new ();
  slots->generations = g_array_new (FALSE, TRUE, sizeof (guint16));
  slots->free_rows = g_array_new (FALSE, FALSE, sizeof (guint32));
  return slots;
}

void
iv_slots_free (struct iv_slots *slots)
{
  if (slots == NULL)
    return;
  g_byte_array_free (slots->rows, TRUE);
  g_array_free (slots->generations, TRUE);
  g_array_free (slots->free_rows, TRUE);
  g_free (slots);
}

guint32
iv_slots_take (struct iv_slots *slots)
{
  guint32 index;
  guint16 *generation;
  if (slots->used >= slots->limit)
    return IV_HANDLE_NONE;
  if (slots->free_rows->len > 0)
    {
      index = g_array_index (slots->free_rows, guint32, slots->free_rows->len - 1);
      g_array_set_size (slots->free_rows, slots->free_rows->len - 1);
    }
  else
    {
      index = slots->generations->len;
      g_array_set_size (slots->generations, index + 1);
      g_byte_array_set_size (slots->rows, (guint)((index + 1) * slots->row_size));
    }
  memset (slots->rows->data + index * slots->row_size, 0, slots->row_size);
  generation = &g_array_index (slots->generations, guint16, index);
  *generation += 1;
  slots->used++;
  return make_handle (index, *generation);
}

gpointer
iv_slots_row (const struct iv_slots *slots, guint32 handle)
{
  guint index = handle & INDEX_MASK;
  guint16 generation;
  if (handle == IV_HANDLE_NONE || index >= slots->generations->len)
    return NULL;
  generation = g_array_index (slots->generations, guint16, index);
  if ((generation & 1) == 0 || make_handle (index, generation) != handle)
    return NULL;
  return slots->rows->data + index * slots->row_size;
}

void
iv_slots_give (struct iv_slots *slots, guint32 handle)
{
  guint32 index = handle & INDEX_MASK;
  if (iv_slots_row (slots, handle) == NULL)
    return;
  g_array_index (slots->generations, guint16, index) += 1;
  g_array_append_val (slots->free_rows, index);
  slots->used--;
}

guint
iv_slots_count (const struct iv_slots *slots)
{
  return slots->used;
}

guint32
iv_slots_next (const struct iv_slots *slots, guint32 handle)
{
  guint index = handle == IV_HANDLE_NONE ? 0 : (handle & INDEX_MASK) + 1;
  for (; index < slots->generations->len; index++)
    {
      guint16 generation = g_array_index (slots->generations, guint16, index);
      if (generation & 1)
        return make_handle (index, generation);
    }
  return IV_HANDLE_NONE;
}
