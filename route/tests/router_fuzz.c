/**
 * @file router_fuzz.c
 * Two routers that share instances, driven by random events, against a simple oracle: every request
 * has one outcome, runs at most once unless it is idempotent, "not run" is true, and no instance
 * has more calls under way than slots.
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
  guint runs;     /* calls that an instance executed */
  guint outcomes; /* final answers */
  gboolean not_run;
};

struct call
{
  guint router;
  guint64 id;
  guint instance;
  gint64 started_ms;
  gint64 held_until_ms; /* the instance may still work on it */
  gboolean open;        /* the router waits for it */
  gint64 deadline_ms;
};

struct run
{
  struct iv_router *routers[ROUTERS];
  struct request requests[REQUESTS_MAX];
  struct call calls[CALLS_MAX];
  guint request_count, call_count;
  gint64 now_ms;
  guint broken[INSTANCES];
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
  /* A broken version is expected to fail; ctest tells that from a crash by the exit code. */
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
under_way (const struct run *run, guint instance)
{
  guint count = 0;
  for (guint i = 0; i < run->call_count; i++)
    count += run->calls[i].instance == instance
             && (run->calls[i].open || run->calls[i].held_until_ms > run->now_ms);
  return count;
}

static void
answer (struct run *run, guint64 id, gboolean not_run)
{
  struct request *request = &run->requests[id];
  request->outcomes++;
  request->not_run = not_run;
  check (request->outcomes == 1, "a request has two outcomes");
  check (!not_run || request->runs == 0 || request->idempotent,
         "not run, but an instance executed it");
}

static void
open_call (struct run *run, guint router, const struct iv_action *action)
{
  struct call *call = &run->calls[run->call_count++];
  guint instance = (guint)(action->instance[1] - '0');
  *call = (struct call){ router, action->request,    instance, run->now_ms, 0,
                         TRUE,   action->deadline_ms };
  check (under_way (run, instance) <= SLOTS, "an instance has more calls than slots");
  check (!run->list[instance].leaving, "a leaving instance got new work");
}

static void
act (struct run *run, guint router)
{
  struct iv_action action;
  while (run->call_count < CALLS_MAX
         && (action = iv_router_next (run->routers[router], run->now_ms)).kind != IV_ACTION_NONE)
    if (action.kind == IV_ACTION_CALL)
      open_call (run, router, &action);
    else if (action.kind == IV_ACTION_REFUSE)
      answer (run, action.request, !action.may_have_run);
    else
      iv_router_probe_ended (run->routers[router], run->now_ms, action.instance,
                             !run->broken[action.instance[1] - '0']);
}

static void
end_call (struct run *run, struct call *call, enum iv_call_outcome outcome)
{
  struct request *request = &run->requests[call->id];
  gboolean ran
      = outcome == IV_CALL_OK || outcome == IV_CALL_INCOMPLETE || outcome == IV_CALL_TIMED_OUT;
  enum iv_route_verdict verdict;
  call->open = FALSE;
  request->runs += ran;
  check (request->runs <= 1 || request->idempotent, "a non-idempotent request ran twice");
  if (outcome == IV_CALL_TIMED_OUT || outcome == IV_CALL_INCOMPLETE)
    call->held_until_ms = run->now_ms + 100;
  /* Mutation: the router is told that a call which ran was not sent. */
  if (is_mutated ("truth") && ran && outcome != IV_CALL_OK)
    outcome = IV_CALL_NOT_SENT;
  verdict = iv_router_call_ended (run->routers[call->router], run->now_ms, call->id,
                                  names[call->instance], outcome, run->now_ms - call->started_ms);
  if (request->outcomes == 0 && (verdict == IV_ROUTE_FINAL || verdict == IV_ROUTE_MAY_HAVE_RUN))
    answer (run, call->id,
            verdict == IV_ROUTE_FINAL
                && (outcome == IV_CALL_NOT_SENT || outcome == IV_CALL_REFUSED));
}

static void
end_some (struct run *run, guint pick, enum iv_call_outcome outcome)
{
  for (guint i = 0; i < run->call_count; i++)
    {
      struct call *call = &run->calls[(pick + i) % run->call_count];
      if (call->open)
        {
          end_call (run, call, outcome);
          return;
        }
    }
}

static void
add_request (struct run *run, guint router, uint8_t detail)
{
  struct iv_request_info info = { .id = run->request_count, .service = "s", .caller = detail % 3 };
  if (run->request_count >= REQUESTS_MAX)
    return;
  info.idempotent = detail & 1;
  info.priority = detail >> 6;
  info.deadline_ms = run->now_ms + 20 + 4 * (detail >> 2);
  run->requests[run->request_count++] = (struct request){ .idempotent = info.idempotent };
  iv_router_add (run->routers[router], run->now_ms, &info);
}

static void
end_expired (struct run *run)
{
  for (guint i = 0; i < run->call_count; i++)
    if (run->calls[i].open && run->calls[i].deadline_ms <= run->now_ms)
      end_call (run, &run->calls[i], IV_CALL_TIMED_OUT);
}

/* Calls end at their deadlines, so time passes by the millisecond. */
static void
pass (struct run *run, guint ms)
{
  while (ms-- > 0)
    {
      run->now_ms++;
      end_expired (run);
    }
}

static void
event (struct run *run, uint8_t kind, uint8_t detail)
{
  guint router = detail % ROUTERS, instance = (detail >> 1) % INSTANCES;
  switch (kind % 12)
    {
    case 0:
    case 1:
    case 2:
      add_request (run, router, detail);
      break;
    case 3:
    case 4:
      end_some (run, detail, IV_CALL_OK);
      break;
    case 5:
      end_some (run, detail, IV_CALL_INCOMPLETE);
      break;
    case 6:
      end_some (run, detail, IV_CALL_NOT_SENT);
      break;
    case 7:
      end_some (run, detail, IV_CALL_REFUSED);
      break;
    case 8:
      pass (run, detail);
      break;
    case 9:
      run->list[instance].leaving = !run->list[instance].leaving;
      for (guint r = 0; r < ROUTERS; r++)
        iv_router_set_instances (run->routers[r], run->list, INSTANCES);
      break;
    case 10:
      run->broken[instance] = !run->broken[instance];
      break;
    case 11:
      iv_router_set_borrowed (
          run->routers[1 - router], names[instance],
          iv_router_lend (run->routers[router], run->now_ms, names[instance], 1, run->now_ms + 150),
          run->now_ms + 150);
      break;
    default:
      break;
    }
}

static void
finish (struct run *run)
{
  pass (run, 2000);
  for (guint r = 0; r < ROUTERS; r++)
    act (run, r);
  for (guint i = 0; i < run->request_count && run->call_count < CALLS_MAX; i++)
    check (run->requests[i].outcomes == 1, "a request has no outcome");
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct run *run = g_new0 (struct run, 1);
  run->now_ms = 1000;
  for (guint i = 0; i < INSTANCES; i++)
    run->list[i]
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
      run->routers[r] = iv_router_new (&options);
      iv_router_set_instances (run->routers[r], run->list, INSTANCES);
    }
  for (size_t i = 0; i + 1 < size; i += 2)
    {
      event (run, data[i], data[i + 1]);
      end_expired (run);
      for (guint r = 0; r < ROUTERS; r++)
        act (run, r);
    }
  finish (run);
  for (guint r = 0; r < ROUTERS; r++)
    iv_router_free (run->routers[r]);
  g_free (run);
  return 0;
}
