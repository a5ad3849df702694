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

/* How long the longest lease lasts by the slowest clock. */
static gint64
longest_lease_ms (const struct iv_owner *owner)
{
  return owner->limits.lease_max_ms * IV_LEASE_MARGIN_PERCENT / 100;
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
        wait_ms = MIN (MAX (wait_ms, longest_lease_ms (owner)),
                       g_ascii_strtoll (fields[ids + 1 + i], NULL, 10));
      *until_ms = owner->owned_since_ms + wait_ms;
      g_hash_table_insert (owner->unresolved, g_strdup (fields[i]), until_ms);
    }
}

void
iv_owner_previous_ended (struct iv_owner *owner, gint64 ended_ms, gint64 claimed_ms)
{
  gint64 until_ms
      = MAX (ended_ms + longest_lease_ms (owner), claimed_ms + owner->limits.horizon_ms);
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
lacks_unresolved (const struct iv_owner *owner, gboolean confirmed, gint64 now_ms)
{
  GHashTableIter iter;
  gpointer id;
  g_hash_table_iter_init (&iter, owner->unresolved);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    if (iv_fleet_find_by_id (owner->fleet, id) == NULL
        && (!confirmed || now_ms <= iv_owner_awaited_until_ms (owner, id)))
      return TRUE;
  return FALSE;
}

/* Until when to wait for @a worker. A run on an instance whose restart the previous owner may not
   have known of can hold the longest lease. */
static gint64
worker_awaited_until_ms (const struct iv_owner *owner, const struct iv_fleet_worker *worker)
{
  gint64 until_ms = iv_owner_awaited_until_ms (owner, worker->id);
  return worker->stray_lease_end_clock_ms > 0 && !owner->handed_over
             ? MAX (until_ms, owner->owned_since_ms + longest_lease_ms (owner))
             : until_ms;
}

/* Whether the runs of previous owners are known: each worker that may have one has replied, or the
   horizon has passed. Without confirmation the time proves nothing: a newer owner, of which this
   one cannot know, may have adopted the runs of a worker that is silent here. */
static gboolean
are_previous_runs_known (const struct iv_owner *owner, gboolean confirmed, gint64 now_ms)
{
  GHashTableIter iter;
  gpointer value;
  gboolean horizon_passed = confirmed && now_ms > owner->previous_until_ms;
  if (lacks_unresolved (owner, confirmed, now_ms)
      || (!horizon_passed && (!owner->workers_loaded || owner->roster_missing)))
    return FALSE;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_fleet_worker *worker = value;
      if (is_awaited (owner, worker)
          && (!confirmed || now_ms <= worker_awaited_until_ms (owner, worker)))
        return FALSE;
    }
  return TRUE;
}

void
iv_owner_check_previous_runs (struct iv_owner *owner, gboolean confirmed, gint64 now_ms)
{
  if (owner->previous_runs_known || !are_previous_runs_known (owner, confirmed, now_ms))
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

/* End of a stray lease of @a worker as its row tells it; 0: it has ended, or there was none. */
static gint64
stray_lease_end (const struct iv_fleet_worker *worker, gint64 now_ms)
{
  gint64 end_clock_ms = worker->stray_lease_end_clock_ms;
  return worker->fenced && end_clock_ms < iv_worker_clock_min (worker, now_ms) ? 0 : end_clock_ms;
}

/* Marks the workers of the roster. Whether it differs from the newest one. A worker that leaves it
   gets no start until it is recorded again. */
static gboolean
update_roster (struct iv_owner *owner, gint64 now_ms)
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
      gint64 stray_end_clock_ms = stray_lease_end (worker, now_ms);
      changed |= state != worker->roster_state
                 || (state != IV_ROSTER_ABSENT
                     && stray_end_clock_ms > worker->recorded_stray_end_clock_ms);
      worker->roster_state = state;
      worker->recorded_stray_end_clock_ms = stray_end_clock_ms;
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
  guint rows_max = MAX (owner->roster_len, 1);
  ivj_worker *rows = g_new0 (ivj_worker, rows_max);
  ivj_stray_lease *leases = g_new0 (ivj_stray_lease, rows_max);
  ivj_roster_record record = { .roster.workers = { 0, rows }, .stray_leases = { 0, leases } };
  GByteArray *bytes;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_fleet_worker *worker = value;
      if (worker->roster_state == IV_ROSTER_ABSENT)
        continue;
      if (worker->recorded_stray_end_clock_ms > 0)
        leases[record.stray_leases.stray_leases_len++]
            = (ivj_stray_lease){ record.roster.workers.workers_len,
                                 worker->recorded_stray_end_clock_ms };
      rows[record.roster.workers.workers_len++] = pack_worker (worker);
    }
  bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_roster_record, &record, IV_RECORD_MAX_BYTES);
  g_free (rows);
  g_free (leases);
  return bytes;
}

GByteArray *
iv_owner_collect_roster (struct iv_owner *owner, gint64 now_ms)
{
  GByteArray *bytes;
  if (!owner->workers_loaded || owner->roster_pending
      || !(update_roster (owner, now_ms) || owner->roster_failed))
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
load_worker (struct iv_owner *owner, const ivj_worker *row, gint64 stray_end_clock_ms,
             gint64 now_ms)
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
  worker->stray_lease_end_clock_ms = stray_end_clock_ms;
  worker->recorded_stray_end_clock_ms = stray_end_clock_ms;
  g_free (labels);
}

/* Decodes what this release stores, or an earlier one, which tells nothing of stray leases. */
static enum iv_status
decode_roster (const guint8 *bytes, gsize len, ivj_roster_record *record, gboolean *tells_leases)
{
  *tells_leases = iv_xdr_decode ((iv_xdr_proc)xdr_ivj_roster_record, bytes, len, record) == IV_OK;
  if (*tells_leases)
    return IV_OK;
  memset (record, 0, sizeof *record);
  return iv_xdr_decode ((iv_xdr_proc)xdr_ivj_roster, bytes, len, &record->roster);
}

static void
load_workers (struct iv_owner *owner, const ivj_roster_record *record, gboolean tells_leases,
              gint64 now_ms)
{
  const ivj_stray_lease *lease = record->stray_leases.stray_leases_val;
  const ivj_stray_lease *end = lease + record->stray_leases.stray_leases_len;
  for (guint i = 0; i < record->roster.workers.workers_len; i++)
    {
      gint64 stray_end_clock_ms = tells_leases ? 0 : IV_LEASE_END_UNKNOWN;
      if (lease < end && lease->worker == i)
        stray_end_clock_ms = lease++->end_clock_ms;
      load_worker (owner, &record->roster.workers.workers_val[i], stray_end_clock_ms, now_ms);
    }
}

void
iv_owner_load_roster (struct iv_owner *owner, const guint8 *bytes, gsize len, gint64 now_ms)
{
  ivj_roster_record record = { 0 };
  gboolean tells_leases;
  if (bytes == NULL)
    {
      owner->roster_missing = TRUE;
      return;
    }
  if (decode_roster (bytes, len, &record, &tells_leases) != IV_OK)
    {
      iv_event (IV_LEVEL_ERROR, "roster.ignored", "bytes=%zu", len);
      owner->roster_missing = TRUE;
      return;
    }
  owner->roster_known = TRUE;
  owner->roster_len = record.roster.workers.workers_len;
  owner->roster_loaded = record.roster.workers.workers_len;
  load_workers (owner, &record, tells_leases, now_ms);
  xdr_free ((xdrproc_t)xdr_ivj_roster_record, (char *)&record);
}
