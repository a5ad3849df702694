#include "tombstones.h"

#include "batch.h"
#include "task_name.h"

#include <string.h>

#define RECORD_BYTES_MAX 8192

struct entry
{
  char *key; /* begins with the id */
  ivj_tombstone record;
};

struct iv_tombstones
{
  GHashTable *by_key; /* from key to struct entry */
  GHashTable *by_id;  /* from id to GPtrArray of struct entry */
};

static void
free_entry (gpointer data)
{
  struct entry *entry = data;
  xdr_free ((xdrproc_t)xdr_ivj_tombstone, (char *)&entry->record);
  g_free (entry->key);
  g_free (entry);
}

struct iv_tombstones *
iv_tombstones_new (void)
{
  struct iv_tombstones *tombstones = g_new0 (struct iv_tombstones, 1);
  tombstones->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
  tombstones->by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  return tombstones;
}

void
iv_tombstones_free (struct iv_tombstones *tombstones)
{
  if (tombstones == NULL)
    return;
  g_hash_table_destroy (tombstones->by_id);
  g_hash_table_destroy (tombstones->by_key);
  g_free (tombstones);
}

static void
copy_id (const char *key, char id[IV_JOB_ID_LEN + 1])
{
  g_strlcpy (id, key, IV_JOB_ID_LEN + 1);
}

static void
remove_entry (struct iv_tombstones *tombstones, const char *key)
{
  struct entry *entry = g_hash_table_lookup (tombstones->by_key, key);
  GPtrArray *siblings;
  char id[IV_JOB_ID_LEN + 1];
  if (entry == NULL)
    return;
  copy_id (key, id);
  siblings = g_hash_table_lookup (tombstones->by_id, id);
  g_ptr_array_remove_fast (siblings, entry);
  if (siblings->len == 0)
    g_hash_table_remove (tombstones->by_id, id);
  g_hash_table_remove (tombstones->by_key, key);
}

static void
add_entry (struct iv_tombstones *tombstones, const char *key, const ivj_tombstone *record)
{
  struct entry *entry = g_new (struct entry, 1);
  GPtrArray *siblings;
  char id[IV_JOB_ID_LEN + 1];
  copy_id (key, id);
  *entry = (struct entry){ g_strdup (key), *record };
  siblings = g_hash_table_lookup (tombstones->by_id, id);
  if (siblings == NULL)
    {
      siblings = g_ptr_array_new ();
      g_hash_table_insert (tombstones->by_id, g_strdup (id), siblings);
    }
  g_ptr_array_add (siblings, entry);
  g_hash_table_insert (tombstones->by_key, entry->key, entry);
}

enum iv_status
iv_tombstones_apply (struct iv_tombstones *tombstones, const char *key, const guint8 *value,
                     gsize len)
{
  ivj_tombstone record = { 0 };
  if (value)
    {
      enum iv_status status = iv_xdr_decode ((iv_xdr_proc)xdr_ivj_tombstone, value, len, &record);
      if (status != IV_OK)
        return status;
    }
  remove_entry (tombstones, key);
  if (value)
    add_entry (tombstones, key, &record);
  return IV_OK;
}

/* A job without a workspace may be cancelled by every caller. */
static gboolean
covers (const ivj_tombstone *record, const char *workspace, const char *host, const char *prefix)
{
  if (*workspace == '\0' || strcmp (record->workspace, workspace) == 0)
    return TRUE;
  return *record->host && strcmp (record->host, host) == 0 && strcmp (record->prefix, prefix) == 0;
}

gboolean
iv_tombstones_cover (const struct iv_tombstones *tombstones, const char *id, const char *workspace,
                     const char *host, const char *prefix)
{
  const GPtrArray *entries = g_hash_table_lookup (tombstones->by_id, id);
  for (guint i = 0; entries && i < entries->len; i++)
    if (covers (&((const struct entry *)g_ptr_array_index (entries, i))->record, workspace, host,
                prefix))
      return TRUE;
  return FALSE;
}

guint
iv_tombstones_count (const struct iv_tombstones *tombstones)
{
  return g_hash_table_size (tombstones->by_key);
}

void
iv_tombstones_foreach_before (const struct iv_tombstones *tombstones, gint64 cancelled_before_ms,
                              iv_tombstones_fn each, void *context)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, tombstones->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry *entry = value;
      char id[IV_JOB_ID_LEN + 1];
      if (entry->record.cancelled_ms >= cancelled_before_ms)
        continue;
      copy_id (entry->key, id);
      each (context, entry->key, id);
    }
}

char *
iv_tombstone_format_key (const char *id)
{
  return g_strdup_printf ("%s" IV_KEY_TOMBSTONE "%08x", id, g_random_int ());
}

GByteArray *
iv_tombstone_encode (const ivj_tombstone *tombstone)
{
  return iv_xdr_encode ((iv_xdr_proc)xdr_ivj_tombstone, tombstone, RECORD_BYTES_MAX);
}
