#include "config.h"

#include <string.h>

#define GEN_POSITION_BITS 12 /* enough for IVX_ENTRIES_MAX positions */

struct iv_item *iv_item_new (const ivx_item *item, guint64 gen);

static void
free_item (gpointer data)
{
  struct iv_item *item = data;
  xdr_free ((xdrproc_t)xdr_ivx_item, (char *)&item->item);
  for (guint i = 0; i < item->progress->len; i++)
    xdr_free ((xdrproc_t)xdr_ivx_progress,
              (char *)&g_array_index (item->progress, ivx_progress, i));
  g_array_free (item->progress, TRUE);
  g_free (item);
}

static void
clear_history (gpointer data)
{
  xdr_free ((xdrproc_t)xdr_ivx_history_state, data);
}

static void
clear_domain (gpointer data)
{
  xdr_free ((xdrproc_t)xdr_ivx_domain_status, data);
}

struct iv_item *
iv_item_new (const ivx_item *item, guint64 gen)
{
  struct iv_item *copy = g_new0 (struct iv_item, 1);
  iv_xdr_copy ((iv_xdr_proc)xdr_ivx_item, item, &copy->item);
  copy->gen = gen;
  copy->progress = g_array_new (FALSE, TRUE, sizeof (ivx_progress));
  return copy;
}

struct iv_config *
iv_config_new (void)
{
  struct iv_config *config = g_new0 (struct iv_config, 1);
  config->text = g_strdup ("");
  iv_writers_init (&config->writers);
  config->history = g_array_new (FALSE, TRUE, sizeof (ivx_history_state));
  g_array_set_clear_func (config->history, clear_history);
  config->domains = g_array_new (FALSE, TRUE, sizeof (ivx_domain_status));
  g_array_set_clear_func (config->domains, clear_domain);
  config->items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_item);
  config->ended = g_queue_new ();
  return config;
}

void
iv_config_free (struct iv_config *config)
{
  if (config == NULL)
    return;
  g_free (config->text);
  iv_writers_clear (&config->writers);
  g_array_free (config->history, TRUE);
  g_array_free (config->domains, TRUE);
  g_hash_table_destroy (config->items);
  g_queue_free_full (config->ended, g_free);
  g_free (config);
}

const struct iv_item *
iv_config_item (const struct iv_config *config, const char *name)
{
  return g_hash_table_lookup (config->items, name);
}

static ivx_domain_status *
find_domain (const struct iv_config *config, const char *name)
{
  for (guint i = 0; i < config->domains->len; i++)
    {
      ivx_domain_status *domain = &g_array_index (config->domains, ivx_domain_status, i);
      if (strcmp (domain->name, name) == 0)
        return domain;
    }
  return NULL;
}

gboolean
iv_config_domain_out (const struct iv_config *config, const char *domain)
{
  const ivx_domain_status *state = find_domain (config, domain);
  return state != NULL && state->out;
}

static void
end_item (struct iv_config *config, struct iv_item *item)
{
  if (item->ended)
    return;
  item->ended = TRUE;
  if (item->item.type != IVX_JOB)
    return;
  g_queue_push_tail (config->ended, g_strdup (item->item.name));
  while (config->ended->length > IV_ENDED_JOBS_MAX)
    {
      char *oldest = g_queue_pop_head (config->ended);
      struct iv_item *row = g_hash_table_lookup (config->items, oldest);
      if (row && row->ended)
        g_hash_table_remove (config->items, oldest);
      g_free (oldest);
    }
}

static gboolean
item_in_force (const struct iv_config *config, const char *name)
{
  const struct iv_item *item = iv_config_item (config, name);
  return item != NULL && !item->ended;
}

/* The name of an ended job stays taken while the job is kept, so that a repeated submission does
   not run it again. */
static gboolean
change_is_valid (const struct iv_config *config, const ivx_item *item)
{
  const struct iv_item *existing = iv_config_item (config, item->name);
  if (item->change == IVX_ADDED)
    return existing == NULL || (existing->ended && existing->item.type != IVX_JOB);
  return item_in_force (config, item->name) && existing->item.type == item->type;
}

static gboolean
names_are_distinct (const ivx_release *release)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  gboolean distinct = TRUE;
  for (u_int i = 0; i < release->items.items_len; i++)
    distinct &= g_hash_table_add (names, release->items.items_val[i].name);
  g_hash_table_destroy (names);
  return distinct;
}

/* The definitions of a batch share its offset and differ in their position. Positions are unique
   because a batch holds either one release or submissions, never both. */
static guint64
make_gen (guint64 offset, u_int position)
{
  return offset << GEN_POSITION_BITS | position;
}

static void
set_item (struct iv_config *config, const ivx_item *item, guint64 gen)
{
  struct iv_item *row = iv_item_new (item, gen);
  g_hash_table_replace (config->items, row->item.name, row);
}

static void
apply_change (struct iv_config *config, const ivx_item *item, guint64 gen)
{
  if (item->change == IVX_WITHDRAWN)
    end_item (config, g_hash_table_lookup (config->items, item->name));
  else
    set_item (config, item, gen);
}

static void
add_history (struct iv_config *config, const ivx_release *release, guint64 offset)
{
  ivx_history_state head = { .number = release->number, .offset = offset };
  head.author = iv_record_strdup (release->author);
  for (u_int i = 0; i < release->items.items_len; i++)
    {
      ivx_change change = release->items.items_val[i].change;
      head.added += change == IVX_ADDED;
      head.changed += change == IVX_CHANGED;
      head.withdrawn += change == IVX_WITHDRAWN;
    }
  if (config->history->len >= IV_HISTORY_MAX)
    g_array_remove_index (config->history, 0);
  g_array_append_val (config->history, head);
}

static gboolean
apply_release (struct iv_config *config, const ivx_release *release, guint64 offset)
{
  if (release->base != config->release || release->number != release->base + 1)
    return FALSE;
  if (!names_are_distinct (release))
    return FALSE;
  for (u_int i = 0; i < release->items.items_len; i++)
    if (!change_is_valid (config, &release->items.items_val[i]))
      return FALSE;
  for (u_int i = 0; i < release->items.items_len; i++)
    apply_change (config, &release->items.items_val[i], make_gen (offset, i));
  add_history (config, release, offset);
  config->release = release->number;
  g_free (config->text);
  config->text = g_strdup (release->text);
  return TRUE;
}

static gboolean
apply_domain (struct iv_config *config, const ivx_domain *record, guint64 offset)
{
  ivx_domain_status *domain = find_domain (config, record->name);
  if (domain == NULL)
    {
      ivx_domain_status row
          = { .name = iv_record_strdup (record->name), .out = record->out, .since = offset };
      g_array_append_val (config->domains, row);
      return TRUE;
    }
  if (domain->out != record->out)
    domain->since = offset;
  domain->out = record->out;
  return TRUE;
}

static gboolean
apply_submit (struct iv_config *config, const ivx_item *item, guint64 offset, u_int position)
{
  if (item->type != IVX_JOB || item->change != IVX_ADDED || !change_is_valid (config, item))
    return FALSE;
  set_item (config, item, make_gen (offset, position));
  return TRUE;
}

static gboolean
apply_cancel (struct iv_config *config, const char *job)
{
  struct iv_item *item = g_hash_table_lookup (config->items, job);
  if (item == NULL || item->ended || item->item.type != IVX_JOB)
    return FALSE;
  end_item (config, item);
  return TRUE;
}

static guint32
ended_tasks (const ivx_progress *p)
{
  return p->done + p->failed + p->cancelled + p->unknown;
}

static ivx_progress *
find_or_add_progress (struct iv_item *item, const char *domain)
{
  ivx_progress row = { 0 };
  for (guint i = 0; i < item->progress->len; i++)
    if (strcmp (g_array_index (item->progress, ivx_progress, i).domain, domain) == 0)
      return &g_array_index (item->progress, ivx_progress, i);
  row.job = iv_record_strdup (item->item.name);
  row.domain = iv_record_strdup (domain);
  row.gen = item->gen;
  g_array_append_val (item->progress, row);
  return &g_array_index (item->progress, ivx_progress, item->progress->len - 1);
}

guint64
iv_gen_offset (guint64 gen)
{
  return gen >> GEN_POSITION_BITS;
}

guint32
iv_item_ended_tasks (const struct iv_item *item, guint32 *unsuccessful)
{
  guint32 ended = 0, unsuccessful_tasks = 0;
  for (guint i = 0; i < item->progress->len; i++)
    {
      const ivx_progress *p = &g_array_index (item->progress, ivx_progress, i);
      ended += ended_tasks (p);
      unsuccessful_tasks += p->failed + p->cancelled + p->unknown;
    }
  if (unsuccessful)
    *unsuccessful = unsuccessful_tasks;
  return ended;
}

static gboolean
apply_progress (struct iv_config *config, const ivx_progress *record)
{
  struct iv_item *item = g_hash_table_lookup (config->items, record->job);
  ivx_progress *row;
  if (item == NULL || item->gen != record->gen)
    return FALSE;
  row = find_or_add_progress (item, record->domain);
  /* Counts never decrease: a late record of a previous owner must not lower them. */
  if (ended_tasks (record) < ended_tasks (row))
    return FALSE;
  row->done = record->done;
  row->failed = record->failed;
  row->cancelled = record->cancelled;
  row->unknown = record->unknown;
  if (item->item.type == IVX_JOB && iv_item_ended_tasks (item, NULL) >= item->item.tasks)
    end_item (config, item);
  return TRUE;
}

static gboolean
apply_record (struct iv_config *config, const ivx_record *record, guint64 offset, u_int position)
{
  switch (record->kind)
    {
    case IVX_RELEASE:
      return apply_release (config, &record->ivx_record_u.release, offset);
    case IVX_DOMAIN:
      return apply_domain (config, &record->ivx_record_u.domain, offset);
    case IVX_SUBMIT:
      return apply_submit (config, &record->ivx_record_u.submit, offset, position);
    case IVX_CANCEL:
      return apply_cancel (config, record->ivx_record_u.cancel.job);
    case IVX_PROGRESS:
      return apply_progress (config, &record->ivx_record_u.progress);
    case IVX_SNAPSHOT_CHUNK:
      return TRUE;
    default:
      return FALSE;
    }
}

enum iv_apply_result
iv_config_apply (struct iv_config *config, guint64 offset, const ivx_batch *batch)
{
  enum iv_apply_result result = IV_APPLY_DONE;
  g_assert (offset >= config->next);
  config->next = offset + 1;
  if (!iv_writers_accept (&config->writers, batch))
    return IV_APPLY_DUPLICATE;
  for (u_int i = 0; i < batch->records.records_len; i++)
    {
      const ivx_record *record = &batch->records.records_val[i];
      gboolean misplaced = record->kind == IVX_RELEASE && batch->records.records_len > 1;
      if (misplaced || !apply_record (config, record, offset, i))
        result = IV_APPLY_REJECTED;
    }
  return result;
}
