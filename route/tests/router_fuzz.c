/**
 * @file router_fuzz.c
 * Drives two routers that share instances by random events and checks them against a simple oracle:
 * every request has exactly one outcome and runs at most once unless it is idempotent; a request
 * reported as not run was not executed; no instance has more calls in flight than slots.
 */
#include "router.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUTERS 2
#define INSTANCES 4
#define SLOTS 3
#define REQUESTS_MAX 512
#define CALLS_MAX 2048

struct request
{
  gboolean idempotent;
  guint runs;     /* calls executed by an instance */
  guint outcomes; /* final outcomes reported to the caller */
  gboolean not_run;
};

struct call
{
  guint router;
  guint64 id;
  guint instance;
  gint64 started_ms;
  gint64 held_until_ms; /* until then the instance may still execute it */
  gboolean open;        /* not ended yet for the router */
  gint64 deadline_ms;
};

struct fuzz
{
  struct iv_router *routers[ROUTERS];
  struct request requests[REQUESTS_MAX];
  struct call calls[CALLS_MAX];
  guint request_count, call_count;
  gint64 now_ms;
  guint failing[INSTANCES];
  struct iv_instance_info list[INSTANCES];
};

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const char *const names[INSTANCES] = { "i0", "i1", "i2", "i3" };

static void
check (gboolean holds, const char *what)
{
  if (holds)
    return;
  fprintf (stderr, "violation: %s\n", what);
  /* With a fault injected, ctest expects a failure and tells it from a crash by the exit code. */
  if (g_getenv ("IV_MUTATE"))
    exit (1);
  abort ();
}

static gboolean
is_mutated (const char *mutation)
{
  const char *chosen = g_getenv ("IV_MUTATE");
  return chosen && strcmp (chosen, mutation) == 0;
}

static guint
calls_in_flight (const struct fuzz *fuzz, guint instance)
{
  guint count = 0;
  for (guint i = 0; i < fuzz->call_count; i++)
    count += fuzz->calls[i].instance == instance
             && (fuzz->calls[i].open || fuzz->calls[i].held_until_ms > fuzz->now_ms);
  return count;
}

static void
record_outcome (struct fuzz *fuzz, guint64 id, gboolean not_run)
{
  struct request *request = &fuzz->requests[id];
  request->outcomes++;
  request->not_run = not_run;
  check (request->outcomes == 1, "a request has more than one outcome");
  check (!not_run || request->runs == 0 || request->idempotent,
         "a request reported as not run was executed");
}

static void
open_call (struct fuzz *fuzz, guint router, const struct iv_action *action)
{
  struct call *call = &fuzz->calls[fuzz->call_count++];
  guint instance = (guint)(action->instance[1] - '0');
  *call = (struct call){ router, action->request,    instance, fuzz->now_ms, 0,
                         TRUE,   action->deadline_ms };
  check (calls_in_flight (fuzz, instance) <= SLOTS,
         "an instance has more calls in flight than slots");
  check (!fuzz->list[instance].leaving, "a leaving instance got a new call");
}

static void
take_actions (struct fuzz *fuzz, guint router)
{
  struct iv_action action;
  while (fuzz->call_count < CALLS_MAX
         && (action = iv_router_next (fuzz->routers[router], fuzz->now_ms)).kind != IV_ACTION_NONE)
    if (action.kind == IV_ACTION_CALL)
      open_call (fuzz, router, &action);
    else if (action.kind == IV_ACTION_REFUSE)
      record_outcome (fuzz, action.request, !action.may_have_run);
    else
      iv_router_probe_ended (fuzz->routers[router], fuzz->now_ms, action.instance,
                             !fuzz->failing[action.instance[1] - '0']);
}

static void
end_call (struct fuzz *fuzz, struct call *call, enum iv_call_outcome outcome)
{
  struct request *request = &fuzz->requests[call->id];
  gboolean ran
      = outcome == IV_CALL_OK || outcome == IV_CALL_INCOMPLETE || outcome == IV_CALL_TIMED_OUT;
  enum iv_route_verdict verdict;
  call->open = FALSE;
  request->runs += ran;
  check (request->runs <= 1 || request->idempotent, "a non-idempotent request ran twice");
  if (outcome == IV_CALL_TIMED_OUT || outcome == IV_CALL_INCOMPLETE)
    call->held_until_ms = fuzz->now_ms + 100;
  /* Injected fault: a call that ran is reported to the router as not sent. */
  if (is_mutated ("truth") && ran && outcome != IV_CALL_OK)
    outcome = IV_CALL_NOT_SENT;
  verdict = iv_router_call_ended (fuzz->routers[call->router], fuzz->now_ms, call->id,
                                  names[call->instance], outcome, fuzz->now_ms - call->started_ms);
  if (request->outcomes == 0 && (verdict == IV_ROUTE_FINAL || verdict == IV_ROUTE_MAY_HAVE_RUN))
    record_outcome (fuzz, call->id,
                    verdict == IV_ROUTE_FINAL
                        && (outcome == IV_CALL_NOT_SENT || outcome == IV_CALL_REFUSED));
}

static void
end_open_call (struct fuzz *fuzz, guint start, enum iv_call_outcome outcome)
{
  for (guint i = 0; i < fuzz->call_count; i++)
    {
      struct call *call = &fuzz->calls[(start + i) % fuzz->call_count];
      if (call->open)
        {
          end_call (fuzz, call, outcome);
          return;
        }
    }
}

static void
add_request (struct fuzz *fuzz, guint router, uint8_t detail)
{
  struct iv_request_info info = { .id = fuzz->request_count, .service = "s", .caller = detail % 3 };
  if (fuzz->request_count >= REQUESTS_MAX)
    return;
  info.idempotent = detail & 1;
  info.priority = detail >> 6;
  info.deadline_ms = fuzz->now_ms + 20 + 4 * (detail >> 2);
  fuzz->requests[fuzz->request_count++] = (struct request){ .idempotent = info.idempotent };
  iv_router_add (fuzz->routers[router], fuzz->now_ms, &info);
}

static void
end_expired (struct fuzz *fuzz)
{
  for (guint i = 0; i < fuzz->call_count; i++)
    if (fuzz->calls[i].open && fuzz->calls[i].deadline_ms <= fuzz->now_ms)
      end_call (fuzz, &fuzz->calls[i], IV_CALL_TIMED_OUT);
}

/* Advances the clock by single milliseconds, because calls end at their deadlines. */
static void
advance_ms (struct fuzz *fuzz, guint ms)
{
  while (ms-- > 0)
    {
      fuzz->now_ms++;
      end_expired (fuzz);
    }
}

static void
apply_event (struct fuzz *fuzz, uint8_t kind, uint8_t detail)
{
  guint router = detail % ROUTERS, instance = (detail >> 1) % INSTANCES;
  switch (kind % 12)
    {
    case 0:
    case 1:
    case 2:
      add_request (fuzz, router, detail);
      break;
    case 3:
    case 4:
      end_open_call (fuzz, detail, IV_CALL_OK);
      break;
    case 5:
      end_open_call (fuzz, detail, IV_CALL_INCOMPLETE);
      break;
    case 6:
      end_open_call (fuzz, detail, IV_CALL_NOT_SENT);
      break;
    case 7:
      end_open_call (fuzz, detail, IV_CALL_REFUSED);
      break;
    case 8:
      advance_ms (fuzz, detail);
      break;
    case 9:
      fuzz->list[instance].leaving = !fuzz->list[instance].leaving;
      for (guint r = 0; r < ROUTERS; r++)
        iv_router_set_instances (fuzz->routers[r], fuzz->list, INSTANCES);
      break;
    case 10:
      fuzz->failing[instance] = !fuzz->failing[instance];
      break;
    case 11:
      iv_router_set_borrowed (fuzz->routers[1 - router], names[instance],
                              iv_router_lend (fuzz->routers[router], fuzz->now_ms, names[instance],
                                              1, fuzz->now_ms + 150),
                              fuzz->now_ms + 150);
      break;
    default:
      break;
    }
}

static void
finish (struct fuzz *fuzz)
{
  advance_ms (fuzz, 2000);
  for (guint r = 0; r < ROUTERS; r++)
    take_actions (fuzz, r);
  for (guint i = 0; i < fuzz->request_count && fuzz->call_count < CALLS_MAX; i++)
    check (fuzz->requests[i].outcomes == 1, "a request does not have exactly one outcome");
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct fuzz *fuzz = g_new0 (struct fuzz, 1);
  fuzz->now_ms = 1000;
  for (guint i = 0; i < INSTANCES; i++)
    fuzz->list[i]
        = (struct iv_instance_info){ names[i], "s", "d", names[i], SLOTS, 64, i < 2, FALSE };
  for (guint r = 0; r < ROUTERS; r++)
    {
      struct iv_router_options options = { .rank = r,
                                           .hosts = is_mutated ("shares") ? 1 : ROUTERS,
                                           .queue_max = 8,
                                           .retry_percent = 20,
                                           .eject_ms = 50,
                                           .slot_hold_ms = is_mutated ("linger") ? 0 : 100,
                                           .hedge_after_ms = 30,
                                           .seed = size };
      fuzz->routers[r] = iv_router_new (&options);
      iv_router_set_instances (fuzz->routers[r], fuzz->list, INSTANCES);
    }
  for (size_t i = 0; i + 1 < size; i += 2)
    {
      apply_event (fuzz, data[i], data[i + 1]);
      end_expired (fuzz);
      for (guint r = 0; r < ROUTERS; r++)
        take_actions (fuzz, r);
    }
  finish (fuzz);
  for (guint r = 0; r < ROUTERS; r++)
    iv_router_free (fuzz->routers[r]);
  g_free (fuzz);
  return 0;
}
