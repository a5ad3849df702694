#include "layout_task.h"

#include "event.h"
#include "names.h"
#include "wire.h"

#include <string.h>

#define SETTLE_MS 1500         /* without a new worker: they write to the list about every second */
#define SETTLE_LONGEST_MS 6000 /* a fleet that goes on growing is dealt as it is */
#define WORKERS_WAIT_MS 1000
#define APPEND_TIMEOUT_MS 1000
#define WRITER "layout"

struct iv_layout_task
{
  struct iv_layout_links links;
  struct iv_layout *layout;
  struct iv_stream *workers; /* followed only while a layout is to be decided */
  GHashTable *racks;         /* id of a worker to struct place */
  gint64 first_ms;           /* when the first worker was seen; 0: none was */
  gint64 newest_ms;          /* when the newest was */
  gboolean appending;
};

struct place
{
  char *domain;
  char *rack;
};

static void
free_place (gpointer data)
{
  struct place *place = data;
  g_free (place->domain);
  g_free (place->rack);
  g_free (place);
}

static gint64
now_of (const struct iv_layout_task *task)
{
  return (gint64)uv_now (task->links.loop);
}

struct iv_layout_task *
iv_layout_task_new (const struct iv_layout_links *links)
{
  struct iv_layout_task *task = g_new0 (struct iv_layout_task, 1);
  task->links = *links;
  task->racks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_place);
  return task;
}

static void
on_worker (void *context, const char *key, const guint8 *value, gsize len)
{
  struct iv_layout_task *task = context;
  struct iv_wire_worker worker;
  struct place *place;
  if (value == NULL || iv_wire_parse_worker (key, value, len, &worker) != IV_OK)
    {
      g_hash_table_remove (task->racks, key);
      return;
    }
  if (task->first_ms == 0)
    task->first_ms = now_of (task);
  place = g_new0 (struct place, 1);
  place->domain = g_strdup (worker.listed.domain);
  place->rack = g_strdup (worker.listed.rack);
  if (g_hash_table_replace (task->racks, g_strdup (key), place))
    task->newest_ms = now_of (task);
  iv_wire_worker_clear (&worker);
}

static void
on_appended (void *context, enum iv_store_outcome outcome, gint64 end)
{
  struct iv_layout_task *task = context;
  task->appending = FALSE;
  iv_event (IV_LEVEL_INFO, "layout.stored", "outcome=%s", iv_store_outcome_name (outcome));
}

/* Every host writes under the same name and sequence, so the store keeps only the first. */
static void
decide (struct iv_layout_task *task)
{
  const struct iv_fleet_settings *settings = task->links.settings;
  struct iv_store_writer writer = { .name = WRITER, .epoch = 1, .sequence = 1 };
  struct iv_rack_list *list = iv_rack_list_new ();
  GByteArray *body = g_byte_array_new ();
  GHashTableIter iter;
  gpointer value;
  char *record;
  g_hash_table_iter_init (&iter, task->racks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    iv_rack_list_add (list, ((struct place *)value)->domain, ((struct place *)value)->rack);
  record = iv_layout_build (
      list, (guint)MAX (1, settings->cpu_milli * settings->workers_per_core / 1000));
  iv_event (IV_LEVEL_INFO, "layout.decided", "workers=%u", iv_rack_list_workers (list));
  iv_store_encode_record (body, IV_KEY_LAYOUT, record, strlen (record));
  task->appending = TRUE;
  iv_store_append (task->links.store, IV_TOPIC_JOBS, &writer, body,
                   now_of (task) + APPEND_TIMEOUT_MS, on_appended, task);
  g_byte_array_free (body, TRUE);
  g_free (record);
  iv_rack_list_free (list);
}

static gboolean
has_settled (const struct iv_layout_task *task)
{
  gint64 now = now_of (task);
  return task->first_ms > 0
         && (now > task->newest_ms + SETTLE_MS || now > task->first_ms + SETTLE_LONGEST_MS);
}

void
iv_layout_task_confirmed (struct iv_layout_task *task)
{
  struct iv_stream_options options = {
    .topic = IV_TOPIC_WORKERS, .wait_ms = WORKERS_WAIT_MS, .fold = on_worker, .context = task
  };
  if (task->layout || task->appending || !iv_stream_loaded (task->links.jobs)
      || !iv_membership_holds (task->links.membership, 0))
    return;
  if (task->workers == NULL)
    task->workers
        = iv_stream_new (task->links.loop, task->links.deadlines, task->links.store, &options);
  if (has_settled (task))
    decide (task);
}

void
iv_layout_task_fold (struct iv_layout_task *task, const char *value, gsize len)
{
  if (task->layout)
    return;
  task->layout = iv_layout_parse (value, len);
  if (task->layout == NULL)
    {
      iv_event (IV_LEVEL_WARNING, "record.ignored", "key=" IV_KEY_LAYOUT " reason=%s",
                iv_quote (iv_last_message ()));
      return;
    }
  iv_event (IV_LEVEL_INFO, "layout.known", "cells=%u", iv_layout_cells (task->layout));
  iv_membership_expect (task->links.membership, iv_layout_cells (task->layout),
                        iv_layout_cell_workers (task->layout));
  iv_stream_close (task->workers);
  task->workers = NULL;
  g_hash_table_remove_all (task->racks);
}

const struct iv_layout *
iv_layout_task_layout (const struct iv_layout_task *task)
{
  return task->layout;
}
