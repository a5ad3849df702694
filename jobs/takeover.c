#include "owner_private.h"

#include "crash.h"
#include "event.h"
#include "histogram.h"

#include <string.h>

/* Whether runs of a previous owner may exist on a worker that has not replied yet: its roster names
   each that has any. None do where another instance answers at the worker's address. A worker that
   drained and left the list has ended all its runs, but it may also have lost the store: what the
   previous owner reported of it counts more. */
static gboolean
is_awaited (const struct iv_owner *owner, const struct iv_fleet_worker *worker)
{
  if (worker->fenced || owner->previous_runs_known || (worker->replaced && !worker->listed))
    return FALSE;
  if (owner->handed_over)
    return g_hash_table_contains (owner->unresolved, worker->id);
  return (worker->inherited || !owner->roster_known)
         && (worker->listed || !worker->draining || worker->drained_with_runs);
}

/* Whether @a worker has runs, or ends of runs that are not recorded yet: a next owner learns of
   both from the worker alone. */
static gboolean
has_runs_or_ends (const struct iv_fleet_worker *worker)
{
  return worker->runs->len > 0 || worker->acked_end < worker->processed_end;
}

GPtrArray *
iv_owner_unresolved_workers (const struct iv_owner *owner)
{
  GPtrArray *ids = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_fleet_worker *worker = value;
      if (has_runs_or_ends (worker) || is_awaited (owner, worker))
        g_ptr_array_add (ids, worker->id);
    }
  return ids;
}

void
iv_owner_apply_handover (struct iv_owner *owner, char *const *fields)
{
  guint ids = 0;
  gboolean waits_known;
  owner->handed_over = TRUE;
  while (fields[ids] && strcmp (fields[ids], IV_HANDOVER_WAITS) != 0)
    ids++;
  waits_known = fields[ids] && g_strv_length ((char **)fields) == 2 * ids + 1;
  for (guint i = 0; i < ids; i++)
    {
      gint64 *until_ms = g_new (gint64, 1);
      gint64 wait_ms = owner->previous_until_ms - owner->owned_since_ms;
      if (waits_known)
        wait_ms = MIN (wait_ms, g_ascii_strtoll (fields[ids + 1 + i], NULL, 10));
      *until_ms = owner->owned_since_ms + wait_ms;
      g_hash_table_insert (owner->unresolved, g_strdup (fields[i]), until_ms);
    }
}

void
iv_owner_previous_ended (struct iv_owner *owner, gint64 ended_ms, gint64 claimed_ms)
{
  gint64 lease_ms = owner->limits.lease_max_ms * IV_LEASE_MARGIN_PERCENT / 100;
  gint64 until_ms = MAX (ended_ms + lease_ms, claimed_ms + owner->limits.horizon_ms);
  owner->previous_until_ms = MIN (owner->previous_until_ms, until_ms);
}

void
iv_owner_worker_list_loaded (struct iv_owner *owner)
{
  owner->workers_loaded = TRUE;
}

gint64
iv_owner_awaited_until_ms (const struct iv_owner *owner, const char *id)
{
  const gint64 *until_ms = g_hash_table_lookup (owner->unresolved, id);
  return until_ms ? *until_ms : owner->previous_until_ms;
}

/* Whether a worker that the previous owner reported, and that may have runs, is unknown here. */
static gboolean
lacks_unresolved (const struct iv_owner *owner, gint64 now_ms)
{
  GHashTableIter iter;
  gpointer id;
  g_hash_table_iter_init (&iter, owner->unresolved);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    if (iv_fleet_find_by_id (owner->fleet, id) == NULL
        && now_ms <= iv_owner_awaited_until_ms (owner, id))
      return TRUE;
  return FALSE;
}

/* Whether the runs of previous owners are known: each worker that may have one has replied, or the
   horizon has passed. */
static gboolean
are_previous_runs_known (const struct iv_owner *owner, gint64 now_ms)
{
  GHashTableIter iter;
  gpointer value;
  if (now_ms > owner->previous_until_ms)
    return TRUE;
  if (!owner->workers_loaded || owner->roster_missing || lacks_unresolved (owner, now_ms))
    return FALSE;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_fleet_worker *worker = value;
      if (is_awaited (owner, worker) && now_ms <= iv_owner_awaited_until_ms (owner, worker->id))
        return FALSE;
    }
  return TRUE;
}

void
iv_owner_check_previous_runs (struct iv_owner *owner, gint64 now_ms)
{
  if (owner->previous_runs_known || !are_previous_runs_known (owner, now_ms))
    return;
  owner->previous_runs_known = TRUE;
  iv_crash_previous_runs_known (owner);
  owner->needs_dispatch = TRUE;
  iv_histogram_add (
      iv_histogram_get ("ibisvane_settle_ms", "From owning a cell to starting everything in it."),
      now_ms - owner->owned_since_ms);
  iv_event (IV_LEVEL_INFO, "owner.settled",
            "term=%" G_GINT64_FORMAT " after_ms=%" G_GINT64_FORMAT
            " workers=%u recorded=%u roster_missing=%d handed_over=%d",
            owner->term, now_ms - owner->owned_since_ms, g_hash_table_size (owner->fleet->by_id),
            owner->roster_loaded, owner->roster_missing, owner->handed_over);
}

/* A worker belongs in the roster when it has runs, or may get one: it must have replied before. */
static enum iv_roster_state
roster_state (const struct iv_owner *owner, const struct iv_fleet_worker *worker)
{
  gboolean has_predecessor = owner->roster_known || owner->roster_missing;
  gboolean may_have_runs
      = has_runs_or_ends (worker) || (has_predecessor && is_awaited (owner, worker));
  if (worker->draining)
    return may_have_runs ? IV_ROSTER_DRAINING : IV_ROSTER_ABSENT;
  return may_have_runs || (worker->listed && worker->fenced) ? IV_ROSTER_NAMED : IV_ROSTER_ABSENT;
}

/* The strings of the result belong to @a worker. */
static ivj_worker
pack_worker (const struct iv_fleet_worker *worker)
{
  return (ivj_worker){
    .id = worker->id,
    .service = worker->service,
    .address = worker->address,
    .domain = worker->domain,
    .rack = worker->rack,
    .labels = { worker->labels ? g_strv_length (worker->labels) : 0, worker->labels },
    .cpu_milli = worker->capacity.cpu_milli,
    .mem_mb = worker->capacity.mem_mb,
    .accelerators = worker->capacity.accelerators,
    .start_time_ms = worker->start_time_ms,
    .draining = worker->draining,
  };
}

/* Marks the workers of the roster. Whether it differs from the newest one. A worker that leaves it
   gets no start until it is recorded again. */
static gboolean
update_roster (struct iv_owner *owner)
{
  guint len = 0;
  gboolean changed = FALSE;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct iv_fleet_worker *worker = value;
      enum iv_roster_state state = roster_state (owner, worker);
      changed |= state != worker->roster_state;
      worker->roster_state = state;
      worker->recorded &= state != IV_ROSTER_ABSENT;
      len += state != IV_ROSTER_ABSENT;
    }
  changed |= len != owner->roster_len;
  owner->roster_len = len;
  return changed;
}

static GByteArray *
encode_roster (const struct iv_owner *owner)
{
  ivj_worker *rows = g_new0 (ivj_worker, MAX (owner->roster_len, 1));
  ivj_roster roster = { .workers = { 0, rows } };
  GByteArray *bytes;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const struct iv_fleet_worker *)value)->roster_state != IV_ROSTER_ABSENT)
      rows[roster.workers.workers_len++] = pack_worker (value);
  bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_roster, &roster, IV_RECORD_MAX_BYTES);
  g_free (rows);
  return bytes;
}

GByteArray *
iv_owner_collect_roster (struct iv_owner *owner)
{
  GByteArray *bytes;
  if (!owner->workers_loaded || owner->roster_pending
      || !(update_roster (owner) || owner->roster_failed))
    return NULL;
  bytes = encode_roster (owner);
  if (bytes == NULL)
    iv_event (IV_LEVEL_ERROR, "roster.too_large", "workers=%u", owner->roster_len);
  owner->roster_pending = bytes != NULL;
  owner->roster_failed = FALSE;
  return bytes;
}

void
iv_owner_roster_stored (struct iv_owner *owner, gboolean stored)
{
  GHashTableIter iter;
  gpointer value;
  owner->roster_pending = FALSE;
  owner->roster_failed = !stored;
  owner->needs_dispatch |= stored;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (stored && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct iv_fleet_worker *worker = value;
      worker->recorded = worker->roster_state != IV_ROSTER_ABSENT;
    }
}

static void
load_worker (struct iv_owner *owner, const ivj_worker *row, gint64 now_ms)
{
  char **labels = g_new0 (char *, row->labels.labels_len + 1);
  struct iv_listed_worker listed = { .id = row->id,
                                     .service = row->service,
                                     .address = row->address,
                                     .domain = row->domain,
                                     .rack = row->rack,
                                     .labels = labels,
                                     .capacity = { row->cpu_milli, row->mem_mb, row->accelerators },
                                     .draining = row->draining,
                                     .start_time_ms = row->start_time_ms };
  struct iv_fleet_worker *worker;
  gboolean restarted;
  for (guint i = 0; i < row->labels.labels_len; i++)
    labels[i] = row->labels.labels_val[i];
  worker = iv_fleet_update_worker (owner->fleet, &listed, &restarted);
  worker->listed = FALSE;
  worker->unlisted_ms = now_ms;
  worker->inherited = TRUE;
  worker->drained_with_runs = row->draining;
  worker->recorded = TRUE;
  g_free (labels);
}

void
iv_owner_load_roster (struct iv_owner *owner, const guint8 *bytes, gsize len, gint64 now_ms)
{
  ivj_roster roster = { 0 };
  if (bytes == NULL)
    {
      owner->roster_missing = TRUE;
      return;
    }
  if (iv_xdr_decode ((iv_xdr_proc)xdr_ivj_roster, bytes, len, &roster) != IV_OK)
    {
      iv_event (IV_LEVEL_ERROR, "roster.ignored", "bytes=%zu", len);
      owner->roster_missing = TRUE;
      return;
    }
  owner->roster_known = TRUE;
  owner->roster_len = roster.workers.workers_len;
  owner->roster_loaded = roster.workers.workers_len;
  for (guint i = 0; i < roster.workers.workers_len; i++)
    load_worker (owner, &roster.workers.workers_val[i], now_ms);
  xdr_free ((xdrproc_t)xdr_ivj_roster, (char *)&roster);
}
