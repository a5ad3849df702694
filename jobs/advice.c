#include "advice.h"

#include "event.h"

#include <string.h>

#define QUERY_WORKERS_MAX 30    /* the service takes time for each worker in a query */
#define TICKET_MIN_VALID_MS 300 /* time for a start to arrive */
#define QUERY_RETRY_MS 200      /* after a query without a reply */

/* What the service has replied about one worker. */
struct advice_entry
{
  gint64 start_time_ms; /* start time of the worker instance that the query was about */
  gboolean allowed;
  char *ticket;
  gint64 until_ms;
};

struct iv_advice
{
  GHashTable *entries; /* worker handle to struct advice_entry */
};

static void
free_entry (gpointer data)
{
  struct advice_entry *entry = data;
  g_free (entry->ticket);
  g_free (entry);
}

void
iv_advice_free (struct iv_advice *advice)
{
  if (advice == NULL)
    return;
  g_hash_table_destroy (advice->entries);
  g_free (advice);
}

static struct advice_entry *
find_entry (const struct iv_advice *advice, const struct iv_fleet_worker *worker)
{
  struct advice_entry *entry
      = advice ? g_hash_table_lookup (advice->entries, GUINT_TO_POINTER (worker->handle)) : NULL;
  return entry && entry->start_time_ms == worker->start_time_ms ? entry : NULL;
}

const char *
iv_advice_ticket (const struct iv_advice *advice, const struct iv_fleet_worker *worker,
                  gint64 now_ms)
{
  const struct advice_entry *entry = find_entry (advice, worker);
  return entry && entry->allowed && entry->until_ms > now_ms + TICKET_MIN_VALID_MS ? entry->ticket
                                                                                   : NULL;
}

gboolean
iv_advice_is_denied (const struct iv_advice *advice, const struct iv_fleet_worker *worker)
{
  const struct advice_entry *entry = find_entry (advice, worker);
  return entry && !entry->allowed;
}

void
iv_advice_invalidate (struct iv_advice *advice, const struct iv_fleet_worker *worker)
{
  struct advice_entry *entry = find_entry (advice, worker);
  if (entry)
    entry->until_ms = 0;
}

static gint
compare_free_cpu (gconstpointer a, gconstpointer b)
{
  const struct iv_fleet_worker *x = *(struct iv_fleet_worker *const *)a;
  const struct iv_fleet_worker *y = *(struct iv_fleet_worker *const *)b;
  gint64 free_x = x->capacity.cpu_milli - x->used.cpu_milli;
  gint64 free_y = y->capacity.cpu_milli - y->used.cpu_milli;
  return free_x > free_y ? -1 : free_x < free_y;
}

/* Workers that meet @a condition and are not denied, most free cores first. */
static GPtrArray *
list_candidates (const struct iv_placement_query *query, const struct iv_stage *stage,
                 gboolean (*condition) (const struct iv_fleet_worker *worker,
                                        const struct iv_placement_query *query))
{
  GPtrArray *workers = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, query->owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (condition (value, query) && !iv_advice_is_denied (stage->advice, value))
      g_ptr_array_add (workers, value);
  g_ptr_array_sort (workers, compare_free_cpu);
  return workers;
}

void
iv_advice_send_query (struct iv_owner *owner, const struct iv_placement_query *query,
                      struct iv_stage *stage)
{
  struct iv_advice_query *pending = &owner->advice_query;
  GPtrArray *workers;
  gboolean have_ticket = FALSE;
  if (pending->outstanding || query->now_ms < owner->next_advice_ms)
    return;
  workers = list_candidates (query, stage, iv_place_is_feasible);
  /* A worker is reserved only with a ticket. */
  if (workers->len == 0)
    {
      g_ptr_array_free (workers, TRUE);
      workers = list_candidates (query, stage, iv_place_may_become_feasible);
    }
  for (guint i = 0; i < workers->len; i++)
    have_ticket
        |= iv_advice_ticket (stage->advice, g_ptr_array_index (workers, i), query->now_ms) != NULL;
  if (!have_ticket && workers->len > 0)
    {
      g_ptr_array_set_size (workers, (gint)MIN (workers->len, QUERY_WORKERS_MAX));
      pending->outstanding = TRUE;
      g_strlcpy (pending->name.job, query->job->id, sizeof pending->name.job);
      pending->name.occurrence = query->occurrence;
      pending->name.step = stage->number;
      pending->workers = g_array_new (FALSE, FALSE, sizeof (struct iv_advice_candidate));
      for (guint i = 0; i < workers->len; i++)
        {
          const struct iv_fleet_worker *worker = g_ptr_array_index (workers, i);
          struct iv_advice_candidate candidate = { worker->handle, worker->start_time_ms };
          g_array_append_val (pending->workers, candidate);
        }
      owner->effects.advise (owner->effects.context, &pending->name, workers);
    }
  g_ptr_array_free (workers, TRUE);
}

static void
store_entry (struct iv_stage *stage, const struct iv_advice_candidate *candidate,
             const char *ticket, gint64 until_ms)
{
  struct advice_entry *entry = g_new0 (struct advice_entry, 1);
  entry->start_time_ms = candidate->start_time_ms;
  entry->allowed = ticket != NULL;
  entry->ticket = g_strdup (ticket);
  entry->until_ms = until_ms;
  if (stage->advice == NULL)
    {
      stage->advice = g_new0 (struct iv_advice, 1);
      stage->advice->entries = g_hash_table_new_full (NULL, NULL, NULL, free_entry);
    }
  g_hash_table_replace (stage->advice->entries, GUINT_TO_POINTER (candidate->handle), entry);
}

static const char *
find_ticket (const struct iv_advice_reply *reply, const char *id)
{
  for (guint i = 0; i < reply->count; i++)
    if (strcmp (reply->allowed[i].worker, id) == 0)
      return reply->allowed[i].ticket;
  return NULL;
}

void
iv_owner_advice_replied (struct iv_owner *owner, const struct iv_advice_reply *reply, gint64 now_ms)
{
  struct iv_advice_query *pending = &owner->advice_query;
  struct iv_job_exec *exec = iv_owner_find_exec (owner, &pending->name);
  struct iv_stage *stage = NULL;
  if (!pending->outstanding)
    return;
  if (exec)
    iv_job_exec_task (exec, &pending->name, &stage);
  if (reply == NULL)
    owner->next_advice_ms = now_ms + QUERY_RETRY_MS;
  iv_event (IV_LEVEL_INFO, "advice.answered", "job=%s step=%u asked=%u allowed=%d",
            pending->name.job, pending->name.step, pending->workers->len,
            reply ? (int)reply->count : -1);
  for (guint i = 0; reply && stage && i < pending->workers->len; i++)
    {
      const struct iv_advice_candidate *candidate
          = &g_array_index (pending->workers, struct iv_advice_candidate, i);
      const struct iv_fleet_worker *worker = iv_fleet_worker (owner->fleet, candidate->handle);
      if (worker)
        store_entry (stage, candidate, find_ticket (reply, worker->id), now_ms + reply->valid_ms);
    }
  g_array_free (pending->workers, TRUE);
  pending->workers = NULL;
  pending->outstanding = FALSE;
  owner->needs_dispatch = TRUE;
}
