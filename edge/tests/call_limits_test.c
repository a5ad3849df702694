/* Calls of one host over its link, in simulated time. The link sends one call after the other; a
   response takes ROUND_TRIP_MS beyond that. */
#include "call_limits.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define ROUND_TRIP_MS 12
#define TARGET_MS 100 /* of the delay in the link's queue: RFC 6817 */
#define MIN_MS 300
#define MAX_MS 2000
#define PEERS 30
#define SLOW_MS 200
#define SLOW_FROM_MS 2000
#define CALLS_MAX 1024

struct call
{
  guint peer;
  gint64 sent_ms;
  gint64 reply_ms;
  gint64 deadline_ms;
  gboolean open;
};

struct link
{
  struct iv_call_limits *limits;
  gint64 now_ms;
  double call_ms;     /* the link carries a call in this time */
  double free_ms;     /* it has sent everything by then */
  guint silent_peers; /* of PEERS: these never respond */
  guint slow_peers;   /* of PEERS, the last ones: these become slower by SLOW_MS */
  struct call calls[CALLS_MAX];
  guint made, replied, lapsed;
  gint64 longest_ms; /* of the calls of the second half */
};

static const char *
peer_name (guint peer)
{
  static char names[PEERS][8];
  g_snprintf (names[peer], sizeof names[peer], "w%u", peer);
  return names[peer];
}

static void
make_call (struct link *link)
{
  struct call *call = &link->calls[link->made % CALLS_MAX];
  assert_false (call->open);
  call->peer = link->made % PEERS;
  call->sent_ms = link->now_ms;
  link->free_ms = MAX (link->free_ms, (double)link->now_ms) + link->call_ms;
  call->reply_ms = (gint64)link->free_ms + ROUND_TRIP_MS;
  if (call->peer < link->silent_peers)
    call->reply_ms = G_MAXINT64;
  else if (call->peer >= PEERS - link->slow_peers && link->now_ms >= SLOW_FROM_MS)
    call->reply_ms += SLOW_MS;
  call->deadline_ms
      = link->now_ms
        + iv_call_limits_timeout_ms (link->limits, peer_name (call->peer), MIN_MS, MAX_MS);
  call->open = TRUE;
  iv_call_limits_enter (link->limits);
  link->made++;
}

static void
end_calls (struct link *link, gint64 from_ms)
{
  for (guint i = 0; i < MIN (link->made, CALLS_MAX); i++)
    {
      struct call *call = &link->calls[i];
      const char *peer = peer_name (call->peer);
      if (!call->open || link->now_ms < MIN (call->reply_ms, call->deadline_ms))
        continue;
      call->open = FALSE;
      iv_call_limits_leave (link->limits);
      if (call->reply_ms <= call->deadline_ms)
        {
          iv_call_limits_replied (link->limits, peer, call->sent_ms, link->now_ms);
          link->replied++;
        }
      else
        {
          iv_call_limits_lapsed (link->limits, peer, call->sent_ms, link->now_ms);
          link->lapsed++;
        }
      if (call->sent_ms >= from_ms)
        link->longest_ms = MAX (link->longest_ms, link->now_ms - call->sent_ms);
    }
}

/* Makes as many calls as the limits admit, up to @a calls_per_second, for ten seconds. */
static void
load_link (struct link *link, guint calls_per_second)
{
  double due = 0;
  link->limits = iv_call_limits_new ();
  for (link->now_ms = 1; link->now_ms <= 10000; link->now_ms++)
    {
      due += calls_per_second / 1000.0;
      end_calls (link, 5000);
      while (due >= 1 && iv_call_limits_credit (link->limits) > 0)
        {
          make_call (link);
          due--;
        }
    }
}

/* Thin link: more calls than it carries. Guards against congestion collapse: responses that come
   after their calls were given up, and a link that carries nothing else any more. */
static void
test_thin_link_is_used_but_not_filled (void **state)
{
  struct link link = { .call_ms = 6 };
  load_link (&link, 1000);
  assert_int_equal (link.lapsed, 0);
  assert_true (link.replied > 10000 / 6 * 9 / 10);
  assert_true (link.longest_ms < 2 * TARGET_MS);
  iv_call_limits_free (link.limits);
}

/* Guards against a window that holds calls up where the link carries them all. */
static void
test_sound_link_carries_everything (void **state)
{
  struct link link = { .call_ms = 0.2 };
  load_link (&link, 3000);
  assert_int_equal (link.lapsed, 0);
  assert_true (link.replied > 10 * 3000 * 95 / 100);
  iv_call_limits_free (link.limits);
}

/* Lost zone: a fifth of the peers is silent. Guards against a host that calls the sound ones less.
 */
static void
test_silent_peers_do_not_shrink_the_window (void **state)
{
  struct link link = { .call_ms = 0.2, .silent_peers = PEERS / 5 };
  guint credit;
  load_link (&link, 30);
  credit = iv_call_limits_credit (link.limits);
  assert_true (link.lapsed > 0);
  assert_true (credit >= 16);
  assert_int_equal (iv_call_limits_timeout_ms (link.limits, peer_name (0), MIN_MS, MAX_MS), MAX_MS);
  assert_int_equal (iv_call_limits_timeout_ms (link.limits, peer_name (PEERS - 1), MIN_MS, MAX_MS),
                    MIN_MS);
  iv_call_limits_free (link.limits);
}

/* Slow workers: a tenth of the peers becomes slow. Guards as above. */
static void
test_slow_peers_do_not_shrink_the_window (void **state)
{
  struct link link = { .call_ms = 0.2, .slow_peers = PEERS / 10 };
  load_link (&link, 300);
  assert_true (iv_call_limits_credit (link.limits) >= 16);
  iv_call_limits_free (link.limits);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_thin_link_is_used_but_not_filled),
    cmocka_unit_test (test_sound_link_carries_everything),
    cmocka_unit_test (test_silent_peers_do_not_shrink_the_window),
    cmocka_unit_test (test_slow_peers_do_not_shrink_the_window),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
