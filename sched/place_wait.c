#include "place_wait.h"

#include <string.h>

/* A job with nothing running for 3 s counts as lost; this leaves time to start its tasks. */
#define IDLE_MAX_MS 2000
/* The same for a single long-running task that is down, whatever else of its job runs. */
#define LONG_RUNNING_MAX_MS 2000

static const char *const kind_names[IV_PLACE_KINDS]
    = { [IV_PLACE_RACK] = "rack", [IV_PLACE_DATA] = "data", [IV_PLACE_GANG] = "gang" };
static const char *const reason_names[IV_PLACE_REASONS] = {
  [IV_PLACE_FITS] = "fits",   [IV_PLACE_WAITS] = "waits", [IV_PLACE_TOO_LATE] = "too_late",
  [IV_PLACE_BOUND] = "bound", [IV_PLACE_LOST] = "lost",   [IV_PLACE_NONE] = "none",
};

const char *
iv_place_kind_name (enum iv_place_kind kind)
{
  return kind_names[kind];
}

const char *
iv_place_reason_name (enum iv_place_reason reason)
{
  return reason_names[reason];
}

static const struct iv_place *
find_named (const struct iv_place_query *query, const char *name)
{
  for (guint i = 0; i < query->count; i++)
    if (strcmp (query->places[i].name, name) == 0)
      return &query->places[i];
  return NULL;
}

/* The place that has room first; of those that have now, that which can take most. */
static const struct iv_place *
find_first (const struct iv_place_query *query)
{
  const struct iv_place *best = NULL;
  for (guint i = 0; i < query->count; i++)
    {
      const struct iv_place *place = &query->places[i];
      if (!place->usable)
        continue;
      if (best == NULL || place->room_in_ms < best->room_in_ms
          || (place->room_in_ms == best->room_in_ms && place->takes > best->takes))
        best = place;
    }
  return best;
}

static const struct iv_place *
choose (const struct iv_place_query *query)
{
  const struct iv_place *place
      = query->preferred ? find_named (query, query->preferred) : find_first (query);
  return place && place->usable && place->room_in_ms < IV_PLACE_NEVER ? place : NULL;
}

static gboolean
is_lost (const struct iv_place_query *query)
{
  const struct iv_place *place;
  if (query->waited_for == NULL)
    return FALSE;
  place = find_named (query, query->waited_for);
  return place == NULL || !place->usable;
}

/* How much longer what remains takes elsewhere. */
static gint64
gain_ms (const struct iv_place_query *query)
{
  gint64 excess_milli = MAX (0, query->far_factor_milli - 1000);
  return MIN (MAX (0, query->rest_ms), (gint64)G_MAXINT) * excess_milli / 1000;
}

/* The time @a ms from @a since_ms, if there is such a bound. */
static gint64
bound (gboolean exists, gint64 since_ms, gint64 ms)
{
  return exists ? since_ms + ms : G_MAXINT64;
}

/* The latest end of a wait. */
static gint64
latest_ms (const struct iv_place_query *query)
{
  const struct iv_place_bounds *bounds = &query->bounds;
  gint64 since_ms = query->since_ms > 0 ? query->since_ms : query->now_ms;
  gint64 latest = since_ms + gain_ms (query);
  latest = MIN (latest, bound (bounds->long_running, since_ms, LONG_RUNNING_MAX_MS));
  latest = MIN (latest, bound (bounds->gang_wait_ms > 0, since_ms, bounds->gang_wait_ms));
  latest = MIN (latest, bound (bounds->idle_since_ms > 0, bounds->idle_since_ms, IDLE_MAX_MS));
  return MIN (latest, bound (bounds->objective_ms > 0, bounds->objective_ms, 0));
}

static struct iv_place_decision
go (enum iv_place_reason reason, const struct iv_place *place)
{
  return (struct iv_place_decision){ .reason = reason,
                                     .room_in_ms = place ? place->room_in_ms : IV_PLACE_NEVER };
}

static struct iv_place_decision
confine (enum iv_place_reason reason, const struct iv_place *place, gint64 until_ms)
{
  return (struct iv_place_decision){ place->name, until_ms, reason, place->room_in_ms };
}

/* Whether @a place has room too late: elsewhere the tasks would have ended sooner, or it will not
   have any by the time at which they may not wait any more. Where there is no room elsewhere
   either, they lose nothing. */
static gboolean
is_too_late (const struct iv_place_query *query, const struct iv_place *place, gint64 latest)
{
  gint64 left_ms = latest - query->now_ms;
  if (place->room_in_ms <= query->elsewhere_in_ms)
    return FALSE;
  return place->room_in_ms - query->elsewhere_in_ms >= gain_ms (query)
         || place->room_in_ms >= left_ms;
}

struct iv_place_decision
iv_place_wait_decide (const struct iv_place_query *query)
{
  const struct iv_place *place = choose (query);
  gint64 latest = latest_ms (query);
  if (is_lost (query))
    return go (IV_PLACE_LOST, place);
  if (place == NULL)
    return go (IV_PLACE_NONE, place);
  if (place->room_in_ms == 0 && (!query->fitted || query->now_ms < latest))
    return confine (IV_PLACE_FITS, place, 0);
  if (query->now_ms >= latest)
    return go (IV_PLACE_BOUND, place);
  if (is_too_late (query, place, latest))
    return go (IV_PLACE_TOO_LATE, place);
  return confine (IV_PLACE_WAITS, place, latest);
}

struct iv_place_decision
iv_place_wait_constant (const struct iv_place_query *query)
{
  const struct iv_place *place = choose (query);
  gint64 latest = latest_ms (query);
  if (is_lost (query) && (place == NULL || place->room_in_ms > 0))
    return go (IV_PLACE_LOST, place);
  if (query->since_ms > 0 && query->now_ms >= latest)
    return go (IV_PLACE_BOUND, place);
  if (place == NULL)
    return go (IV_PLACE_NONE, place);
  return confine (place->room_in_ms == 0 ? IV_PLACE_FITS : IV_PLACE_WAITS, place, latest);
}

guint
iv_place_tasks_needed (guint tasks, guint ahead, guint takes)
{
  guint64 all = (guint64)tasks + ahead;
  return (guint)MIN (G_MAXUINT, all <= takes ? all : all + ahead);
}

gint64
iv_place_gang_window_ms (gint64 window_ms, gint64 gang_wait_ms)
{
  return gang_wait_ms > 0 ? MIN (window_ms, gang_wait_ms) : window_ms;
}
