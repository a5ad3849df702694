#include "layout_task.h"

#include "event.h"
#include "names.h"
#include "wire.h"

#include <string.h>

/* The fleet counts as complete after this time without a new worker; workers write to the list
   about every second. */
#define SETTLE_MS 1500
/* After this time a fleet that is still growing is laid out as it is. */
#define SETTLE_MAX_MS 6000
#define WORKERS_WAIT_MS 1000
#define APPEND_TIMEOUT_MS 1000
#define WRITER "layout"

struct iv_layout_task
{
  struct iv_layout_task_deps deps;
  struct iv_layout *layout;
  struct iv_stream *workers; /* open only while a layout is to be computed */
  GHashTable *locations;     /* worker id to struct worker_location */
  gint64 first_worker_ms;    /* when the first worker was seen; 0: none yet */
  gint64 newest_worker_ms;   /* when the last new worker was seen */
  gboolean appending;
};

struct worker_location
{
  char *domain;
  char *rack;
};

static void
free_location (gpointer data)
{
  struct worker_location *location = data;
  g_free (location->domain);
  g_free (location->rack);
  g_free (location);
}

static gint64
now_ms (const struct iv_layout_task *task)
{
  return (gint64)uv_now (task->deps.loop);
}

struct iv_layout_task *
iv_layout_task_new (const struct iv_layout_task_deps *deps)
{
  struct iv_layout_task *task = g_new0 (struct iv_layout_task, 1);
  task->deps = *deps;
  task->locations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_location);
  return task;
}

static void
on_worker (void *context, const char *key, const guint8 *value, gsize len)
{
  struct iv_layout_task *task = context;
  struct iv_wire_worker worker;
  struct worker_location *location;
  if (value == NULL || iv_wire_parse_worker (key, value, len, &worker) != IV_OK)
    {
      if (value)
        iv_event (IV_LEVEL_WARNING, "worker.ignored", "worker=%s reason=%s", iv_quote (key),
                  iv_quote (iv_last_message ()));
      g_hash_table_remove (task->locations, key);
      return;
    }
  if (task->first_worker_ms == 0)
    task->first_worker_ms = now_ms (task);
  location = g_new0 (struct worker_location, 1);
  location->domain = g_strdup (worker.listed.domain);
  location->rack = g_strdup (worker.listed.rack);
  if (g_hash_table_replace (task->locations, g_strdup (key), location))
    task->newest_worker_ms = now_ms (task);
  iv_wire_worker_clear (&worker);
}

static void
on_appended (void *context, enum iv_store_outcome outcome, gint64 end)
{
  struct iv_layout_task *task = context;
  task->appending = FALSE;
  iv_event (IV_LEVEL_INFO, "layout.stored", "outcome=%s", iv_store_outcome_name (outcome));
}

/* All hosts use the same writer name and sequence number, so the store keeps only one layout. */
static void
decide (struct iv_layout_task *task)
{
  const struct iv_fleet_settings *settings = task->deps.settings;
  struct iv_store_writer writer = { .name = WRITER, .epoch = 1, .sequence = 1 };
  struct iv_rack_list *list = iv_rack_list_new ();
  GByteArray *body = g_byte_array_new ();
  GHashTableIter iter;
  gpointer value;
  char *record;
  g_hash_table_iter_init (&iter, task->locations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    iv_rack_list_add (list, ((struct worker_location *)value)->domain,
                      ((struct worker_location *)value)->rack);
  record = iv_layout_build (
      list, (guint)MAX (1, settings->cpu_milli * settings->workers_per_core / 1000));
  iv_event (IV_LEVEL_INFO, "layout.decided", "workers=%u", iv_rack_list_workers (list));
  iv_store_encode_record (body, IV_KEY_LAYOUT, record, strlen (record));
  task->appending = TRUE;
  iv_store_append (task->deps.store, IV_TOPIC_JOBS, &writer, body,
                   now_ms (task) + APPEND_TIMEOUT_MS, on_appended, task);
  g_byte_array_free (body, TRUE);
  g_free (record);
  iv_rack_list_free (list);
}

static gboolean
has_settled (const struct iv_layout_task *task)
{
  gint64 now = now_ms (task);
  return task->first_worker_ms > 0
         && (now > task->newest_worker_ms + SETTLE_MS
             || now > task->first_worker_ms + SETTLE_MAX_MS);
}

void
iv_layout_task_member_confirmed (struct iv_layout_task *task)
{
  struct iv_stream_options options = {
    .topic = IV_TOPIC_WORKERS, .wait_ms = WORKERS_WAIT_MS, .apply = on_worker, .context = task
  };
  if (task->layout || task->appending || !iv_stream_loaded (task->deps.jobs)
      || !iv_membership_holds_cell (task->deps.membership, 0))
    return;
  if (task->workers == NULL)
    task->workers
        = iv_stream_new (task->deps.loop, task->deps.deadlines, task->deps.store, &options);
  if (has_settled (task))
    decide (task);
}

void
iv_layout_task_apply (struct iv_layout_task *task, const char *value, gsize len)
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
  iv_membership_set_fleet_size (task->deps.membership, iv_layout_cells (task->layout),
                                iv_layout_cell_workers (task->layout));
  iv_stream_close (task->workers);
  task->workers = NULL;
  g_hash_table_remove_all (task->locations);
}

const struct iv_layout *
iv_layout_task_layout (const struct iv_layout_task *task)
{
  return task->layout;
}
