#include "config.h"

#include <stdlib.h>
#include <string.h>

#define SNAPSHOT_BYTES_MAX (64 * 1024 * 1024)

struct iv_item *iv_item_new (const ivx_item *item, guint64 gen);

static void
save_items (const struct iv_config *config, ivx_config_snapshot *snapshot)
{
  GList *names = g_list_sort (g_hash_table_get_keys (config->items), (GCompareFunc)strcmp);
  guint n = 0;
  snapshot->items.items_val = g_new0 (ivx_item_state, g_list_length (names) + 1);
  for (GList *l = names; l; l = l->next)
    {
      const struct iv_item *item = g_hash_table_lookup (config->items, l->data);
      ivx_item_state *row = &snapshot->items.items_val[n++];
      row->item = item->item;
      row->gen = item->gen;
      row->ended = item->ended;
      row->progress.progress_len = item->progress->len;
      row->progress.progress_val = (ivx_progress *)item->progress->data;
    }
  snapshot->items.items_len = n;
  g_list_free (names);
}

static void
save_ended (const struct iv_config *config, ivx_config_snapshot *snapshot)
{
  guint n = 0;
  snapshot->ended.ended_val = g_new0 (ivx_name, config->ended->length + 1);
  for (GList *l = config->ended->head; l; l = l->next)
    snapshot->ended.ended_val[n++] = l->data;
  snapshot->ended.ended_len = n;
}

/* `snapshot` points into memory of the state; only the arrays that the save functions allocate are
   freed. */
GByteArray *
iv_config_save (const struct iv_config *config)
{
  ivx_config_snapshot snapshot
      = { .next = config->next, .release = config->release, .text = config->text };
  GByteArray *bytes;
  snapshot.writers.writers_len = config->writers.rows->len;
  snapshot.writers.writers_val = (ivx_writer_state *)config->writers.rows->data;
  snapshot.history.history_len = config->history->len;
  snapshot.history.history_val = (ivx_history_state *)config->history->data;
  snapshot.domains.domains_len = config->domains->len;
  snapshot.domains.domains_val = (ivx_domain_status *)config->domains->data;
  save_items (config, &snapshot);
  save_ended (config, &snapshot);
  bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivx_config_snapshot, &snapshot, SNAPSHOT_BYTES_MAX);
  g_free (snapshot.items.items_val);
  g_free (snapshot.ended.ended_val);
  return bytes;
}

static void
load_item (struct iv_config *config, const ivx_item_state *row)
{
  struct iv_item *item = iv_item_new (&row->item, row->gen);
  item->ended = row->ended;
  for (u_int i = 0; i < row->progress.progress_len; i++)
    {
      ivx_progress copy = { 0 };
      iv_xdr_copy ((iv_xdr_proc)xdr_ivx_progress, &row->progress.progress_val[i], &copy);
      g_array_append_val (item->progress, copy);
    }
  g_hash_table_replace (config->items, item->item.name, item);
}

struct iv_config *
iv_config_load (const guint8 *bytes, gsize len)
{
  ivx_config_snapshot snapshot = { 0 };
  struct iv_config *config;
  if (iv_xdr_decode ((iv_xdr_proc)xdr_ivx_config_snapshot, bytes, len, &snapshot) != IV_OK)
    return NULL;
  config = iv_config_new ();
  config->next = snapshot.next;
  config->release = snapshot.release;
  g_free (config->text);
  config->text = g_strdup (snapshot.text);
  g_array_append_vals (config->writers.rows, snapshot.writers.writers_val,
                       snapshot.writers.writers_len);
  g_array_append_vals (config->history, snapshot.history.history_val, snapshot.history.history_len);
  g_array_append_vals (config->domains, snapshot.domains.domains_val, snapshot.domains.domains_len);
  /* The rows of history and domains moved into the state, so xdr_free() must not free them. */
  snapshot.history.history_len = 0;
  snapshot.domains.domains_len = 0;
  for (u_int i = 0; i < snapshot.items.items_len; i++)
    load_item (config, &snapshot.items.items_val[i]);
  for (u_int i = 0; i < snapshot.ended.ended_len; i++)
    g_queue_push_tail (config->ended, g_strdup (snapshot.ended.ended_val[i]));
  xdr_free ((xdrproc_t)xdr_ivx_config_snapshot, (char *)&snapshot);
  return config;
}
