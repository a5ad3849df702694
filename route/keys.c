#include "keys.h"

#include <string.h>
#include <xxhash.h>

struct iv_keys
{
  guint limit;
  gint64 window_ms;
  guint64 next_offset;
  GHashTable *entries; /* struct iv_key to struct iv_key_entry */
  GQueue *by_age;      /* of struct iv_key_entry, oldest first; owned by entries */
  struct iv_writers writers;
};

guint
iv_key_hash (gconstpointer key)
{
  return (guint)((const struct iv_key *)key)->lo;
}

gboolean
iv_key_equal (gconstpointer a, gconstpointer b)
{
  const struct iv_key *x = a, *y = b;
  return x->hi == y->hi && x->lo == y->lo;
}

static void
free_entry (gpointer data)
{
  struct iv_key_entry *entry = data;
  g_free (entry->host);
  g_free (entry);
}

struct iv_keys *
iv_keys_new (guint limit, gint64 window_ms)
{
  struct iv_keys *keys = g_new0 (struct iv_keys, 1);
  keys->limit = limit;
  keys->window_ms = window_ms;
  keys->entries = g_hash_table_new_full (iv_key_hash, iv_key_equal, NULL, free_entry);
  keys->by_age = g_queue_new ();
  iv_writers_init (&keys->writers);
  return keys;
}

void
iv_keys_free (struct iv_keys *keys)
{
  g_queue_free (keys->by_age);
  g_hash_table_destroy (keys->entries);
  iv_writers_clear (&keys->writers);
  g_free (keys);
}

struct iv_key
iv_key_from_text (const char *service, const char *text)
{
  XXH64_hash_t seed = XXH3_64bits (service, strlen (service));
  XXH128_hash_t hash = XXH3_128bits_withSeed (text, strlen (text), seed);
  return (struct iv_key){ hash.high64, hash.low64 };
}

static void
evict_oldest (struct iv_keys *keys)
{
  struct iv_key_entry *oldest = g_queue_pop_head (keys->by_age);
  g_hash_table_remove (keys->entries, &oldest->key);
}

static void
evict_expired (struct iv_keys *keys, gint64 now_ms)
{
  const struct iv_key_entry *oldest;
  while ((oldest = g_queue_peek_head (keys->by_age)) != NULL
         && (keys->by_age->length > keys->limit || now_ms - oldest->applied_ms > keys->window_ms))
    evict_oldest (keys);
}

static void
apply_intent (struct iv_keys *keys, gint64 now_ms, guint64 offset, const ivx_batch *batch,
              const ivx_intent *intent)
{
  struct iv_key key = { intent->hi, intent->lo };
  struct iv_key_entry *entry;
  /* Batches come in the order of their offsets: the first intent wins. */
  if (g_hash_table_contains (keys->entries, &key))
    return;
  entry = g_new0 (struct iv_key_entry, 1);
  entry->key = key;
  entry->state = IV_KEY_CLAIMED;
  entry->offset = offset;
  entry->writer = batch->writer;
  entry->incarnation = batch->incarnation;
  entry->host = g_strdup (intent->host);
  entry->applied_ms = now_ms;
  g_hash_table_insert (keys->entries, &entry->key, entry);
  g_queue_push_tail (keys->by_age, entry);
}

static void
apply_outcome (struct iv_keys *keys, const ivx_batch *batch, const ivx_outcome *outcome)
{
  struct iv_key key = { outcome->hi, outcome->lo };
  struct iv_key_entry *entry = g_hash_table_lookup (keys->entries, &key);
  /* Only the writer and incarnation that claimed the key may complete it. */
  if (entry == NULL || entry->writer != batch->writer || entry->incarnation != batch->incarnation)
    return;
  entry->state = IV_KEY_COMPLETED;
  entry->status = outcome->status;
}

void
iv_keys_apply (struct iv_keys *keys, gint64 now_ms, guint64 offset, const ivx_batch *batch)
{
  keys->next_offset = offset + 1;
  if (!iv_writers_accept (&keys->writers, batch))
    return;
  for (u_int i = 0; i < batch->records.records_len; i++)
    {
      const ivx_record *record = &batch->records.records_val[i];
      if (record->kind == IVX_INTENT)
        apply_intent (keys, now_ms, offset, batch, &record->ivx_record_u.intent);
      else if (record->kind == IVX_OUTCOME)
        apply_outcome (keys, batch, &record->ivx_record_u.outcome);
    }
  evict_expired (keys, now_ms);
}

const struct iv_key_entry *
iv_keys_find (struct iv_keys *keys, gint64 now_ms, struct iv_key key)
{
  evict_expired (keys, now_ms);
  return g_hash_table_lookup (keys->entries, &key);
}

guint64
iv_keys_next_offset (const struct iv_keys *keys)
{
  return keys->next_offset;
}

guint
iv_keys_count (const struct iv_keys *keys)
{
  return keys->entries ? g_hash_table_size (keys->entries) : 0;
}
