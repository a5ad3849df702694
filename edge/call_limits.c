#include "call_limits.h"

#include "response_time.h"

/* The window follows the delay that calls add to the link's queue, as in LEDBAT (RFC 6817): it
   grows by at most one call in the time of a response, and shrinks by at most half. */
#define TARGET_DELAY_MS 100 /* the largest target that RFC 6817 permits */
#define WINDOW_FIRST 32
#define WINDOW_MIN 2
#define WINDOW_MAX 1024
#define DELAYS_KEPT 4 /* the least of these counts, so that one slow peer does not */
#define PEERS_MAX 4096

struct peer
{
  struct iv_response_time time;
  gint64 least_ms; /* the shortest response: the time without queues */
};

struct iv_call_limits
{
  GHashTable *peers; /* from name to struct peer */
  double window;
  guint in_progress;
  gint64
      delays_ms[DELAYS_KEPT]; /* what the newest responses took beyond the least of their peers */
  guint next_delay;
  gint64 cut_ms;    /* the window was halved last */
  gint64 prompt_ms; /* newest response that was hardly delayed */
};

struct iv_call_limits *
iv_call_limits_new (void)
{
  struct iv_call_limits *limits = g_new0 (struct iv_call_limits, 1);
  limits->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  limits->window = WINDOW_FIRST;
  limits->cut_ms = G_MININT64;
  limits->prompt_ms = G_MININT64;
  return limits;
}

void
iv_call_limits_free (struct iv_call_limits *limits)
{
  if (limits == NULL)
    return;
  g_hash_table_destroy (limits->peers);
  g_free (limits);
}

static struct peer *
find_or_add_peer (struct iv_call_limits *limits, const char *name)
{
  struct peer *peer = g_hash_table_lookup (limits->peers, name);
  if (peer)
    return peer;
  if (g_hash_table_size (limits->peers) >= PEERS_MAX)
    g_hash_table_remove_all (limits->peers);
  peer = g_new0 (struct peer, 1);
  peer->least_ms = G_MAXINT64;
  g_hash_table_insert (limits->peers, g_strdup (name), peer);
  return peer;
}

gint64
iv_call_limits_timeout_ms (const struct iv_call_limits *limits, const char *peer, gint64 min_ms,
                           gint64 max_ms)
{
  const struct peer *known = g_hash_table_lookup (limits->peers, peer);
  return known ? iv_response_time_limit_ms (&known->time, min_ms, max_ms) : min_ms;
}

guint
iv_call_limits_window (const struct iv_call_limits *limits)
{
  return (guint)limits->window;
}

guint
iv_call_limits_credit (const struct iv_call_limits *limits)
{
  guint window = iv_call_limits_window (limits);
  return window > limits->in_progress ? window - limits->in_progress : 0;
}

void
iv_call_limits_enter (struct iv_call_limits *limits)
{
  limits->in_progress++;
}

void
iv_call_limits_leave (struct iv_call_limits *limits)
{
  limits->in_progress--;
}

/* A window that is not used up says nothing about a larger one. */
static gboolean
is_window_used (const struct iv_call_limits *limits)
{
  return limits->in_progress >= limits->window / 2;
}

static gint64
filter_delay (struct iv_call_limits *limits, gint64 delay_ms)
{
  limits->delays_ms[limits->next_delay] = delay_ms;
  limits->next_delay = (limits->next_delay + 1) % DELAYS_KEPT;
  for (guint i = 0; i < DELAYS_KEPT; i++)
    delay_ms = MIN (delay_ms, limits->delays_ms[i]);
  return delay_ms;
}

void
iv_call_limits_replied (struct iv_call_limits *limits, const char *name, gint64 sent_ms,
                        gint64 now_ms)
{
  struct peer *peer = find_or_add_peer (limits, name);
  gint64 took_ms = MAX (now_ms - sent_ms, 0);
  double surplus;
  iv_response_time_add (&peer->time, took_ms);
  peer->least_ms = MIN (peer->least_ms, took_ms);
  surplus = 1 - (double)filter_delay (limits, took_ms - peer->least_ms) / TARGET_DELAY_MS;
  if (surplus > 0)
    limits->prompt_ms = now_ms;
  if (surplus > 0 && !is_window_used (limits))
    return;
  limits->window += surplus > 0 ? surplus / limits->window : MAX (surplus, -1) / 2;
  limits->window = CLAMP (limits->window, WINDOW_MIN, WINDOW_MAX);
}

void
iv_call_limits_lapsed (struct iv_call_limits *limits, const char *name, gint64 sent_ms,
                       gint64 now_ms)
{
  iv_response_time_lapse (&find_or_add_peer (limits, name)->time);
  if (limits->prompt_ms >= sent_ms || sent_ms <= limits->cut_ms)
    return;
  limits->cut_ms = now_ms;
  limits->window = MAX (limits->window / 2, WINDOW_MIN);
}
