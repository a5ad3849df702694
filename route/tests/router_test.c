#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "router.h"

static struct iv_router *
new_router (guint queue_max, gint64 hedge_after_ms)
{
  struct iv_router_options options = { .hosts = 1,
                                       .queue_max = queue_max,
                                       .retry_percent = 10,
                                       .eject_ms = 1000,
                                       .slot_hold_ms = 500,
                                       .remote_cost_ms = 10,
                                       .hedge_after_ms = hedge_after_ms,
                                       .seed = 1 };
  struct iv_instance_info list[] = { { "near", "s", "a", "127.0.0.1:1", 2, 64, TRUE, FALSE },
                                     { "far", "s", "b", "127.0.0.1:2", 2, 64, FALSE, FALSE } };
  struct iv_router *router = iv_router_new (&options);
  iv_router_set_instances (router, list, 2);
  return router;
}

static void
add (struct iv_router *router, gint64 now, guint64 id, gint64 deadline, gboolean idempotent)
{
  struct iv_request_info info
      = { .id = id, .service = "s", .deadline_ms = deadline, .idempotent = idempotent };
  iv_router_add (router, now, &info);
}

static void
test_local_instance_first_within_slots (void **state)
{
  struct iv_router *router = new_router (10, 0);
  guint near = 0, far = 0;
  for (guint i = 0; i < 6; i++)
    add (router, 0, i, 1000, TRUE);
  for (struct iv_action action = iv_router_next (router, 0); action.kind != IV_ACTION_NONE;
       action = iv_router_next (router, 0))
    {
      assert_int_equal (action.kind, IV_ACTION_CALL);
      near += strcmp (action.instance, "near") == 0;
      far += strcmp (action.instance, "far") == 0;
    }
  assert_int_equal (near, 2);
  assert_int_equal (far, 2);
  assert_int_equal (iv_router_queued (router), 2);
  assert_int_equal (iv_router_call_ended (router, 5, 0, "near", IV_CALL_OK, 5), IV_ROUTE_FINAL);
  assert_int_equal (iv_router_next (router, 5).kind, IV_ACTION_CALL);
  iv_router_free (router);
}

static void
test_expired_request_is_refused (void **state)
{
  struct iv_router *router = new_router (10, 0);
  struct iv_action action;
  for (guint i = 0; i < 5; i++)
    {
      add (router, 0, i, 100, FALSE);
      iv_router_next (router, 0);
    }
  action = iv_router_next (router, 100);
  assert_int_equal (action.kind, IV_ACTION_REFUSE);
  assert_int_equal (action.request, 4);
  assert_int_equal (action.refusal, IV_REFUSAL_EXPIRED);
  iv_router_free (router);
}

static void
test_admission_sheds_load (void **state)
{
  struct iv_router *router = new_router (1000, 0);
  guint refused = 0;
  for (guint i = 0; i < 100; i++)
    add (router, 0, i, 60, FALSE);
  for (struct iv_action action = iv_router_next (router, 0); action.kind != IV_ACTION_NONE;
       action = iv_router_next (router, 0))
    refused += action.kind == IV_ACTION_REFUSE && action.refusal == IV_REFUSAL_OVERLOAD;
  /* Half of the 60 ms to the deadline is reserved for the call itself. In the other 30 ms the four
     slots serve twelve calls of 10 ms. */
  assert_in_range (refused, 86, 89);
  iv_router_free (router);
}

static void
test_incomplete_call_is_retried_only_if_idempotent (void **state)
{
  struct iv_router *router = new_router (10, 0);
  struct iv_action action;
  add (router, 0, 1, 1000, FALSE);
  action = iv_router_next (router, 0);
  assert_int_equal (iv_router_call_ended (router, 5, 1, action.instance, IV_CALL_INCOMPLETE, 5),
                    IV_ROUTE_MAY_HAVE_RUN);
  add (router, 5, 2, 1000, TRUE);
  action = iv_router_next (router, 5);
  assert_int_equal (iv_router_call_ended (router, 9, 2, action.instance, IV_CALL_INCOMPLETE, 4),
                    IV_ROUTE_RETRY);
  add (router, 9, 3, 1000, FALSE);
  while ((action = iv_router_next (router, 9)).request != 3)
    assert_int_not_equal (action.kind, IV_ACTION_NONE);
  assert_int_equal (iv_router_call_ended (router, 10, 3, action.instance, IV_CALL_NOT_SENT, 1),
                    IV_ROUTE_RETRY);
  iv_router_free (router);
}

static void
test_timed_out_call_holds_its_slot (void **state)
{
  struct iv_router *router = new_router (10, 0);
  add (router, 0, 1, 1000, FALSE);
  assert_string_equal (iv_router_next (router, 0).instance, "near");
  iv_router_call_ended (router, 10, 1, "near", IV_CALL_TIMED_OUT, 10);
  assert_int_equal (
      iv_instance_free_slots ((struct iv_instance *)iv_router_instance (router, "near"), 10, 1000),
      1);
  assert_int_equal (
      iv_instance_free_slots ((struct iv_instance *)iv_router_instance (router, "near"), 600, 1000),
      2);
  iv_router_free (router);
}

static void
test_ejection_and_slow_start (void **state)
{
  struct iv_router *router = new_router (10, 0);
  const struct iv_instance *near = iv_router_instance (router, "near");
  struct iv_action action;
  for (guint i = 0; i < 3; i++)
    {
      add (router, 600 * i, i, 5000, FALSE);
      assert_string_equal (iv_router_next (router, 600 * i).instance, "near");
      iv_router_call_ended (router, 600 * i, i, "near", IV_CALL_INCOMPLETE, 1);
    }
  assert_int_equal (near->state, IV_INSTANCE_EJECTED);
  add (router, 1200, 9, 5000, FALSE);
  action = iv_router_next (router, 1200);
  assert_string_equal (action.instance, "far");
  action = iv_router_next (router, 2200);
  assert_int_equal (action.kind, IV_ACTION_PROBE);
  iv_router_probe_ended (router, 2201, "near", FALSE);
  assert_int_equal (near->state, IV_INSTANCE_EJECTED);
  assert_int_equal (iv_router_next (router, 3000).kind, IV_ACTION_NONE);
  assert_int_equal (iv_router_next (router, 9000).kind, IV_ACTION_PROBE);
  iv_router_probe_ended (router, 9001, "near", TRUE);
  assert_int_equal (iv_instance_free_slots ((struct iv_instance *)near, 9001, 9999), 1);
  iv_router_free (router);
}

static void
test_leaving_instance_gets_no_new_calls (void **state)
{
  struct iv_router *router = new_router (10, 0);
  struct iv_instance_info list[] = { { "near", "s", "a", "127.0.0.1:1", 2, 64, TRUE, TRUE },
                                     { "far", "s", "b", "127.0.0.1:2", 2, 64, FALSE, FALSE } };
  add (router, 0, 1, 1000, FALSE);
  assert_string_equal (iv_router_next (router, 0).instance, "near");
  iv_router_set_instances (router, list, 2);
  add (router, 0, 2, 1000, FALSE);
  assert_string_equal (iv_router_next (router, 0).instance, "far");
  iv_router_set_instances (router, list + 1, 1);
  assert_non_null (iv_router_instance (router, "near"));
  iv_router_call_ended (router, 5, 1, "near", IV_CALL_OK, 5);
  iv_router_set_instances (router, list + 1, 1);
  assert_null (iv_router_instance (router, "near"));
  iv_router_free (router);
}

static void
test_only_idempotent_requests_are_hedged (void **state)
{
  struct iv_router *router = new_router (10, 50);
  struct iv_action action;
  add (router, 0, 1, 1000, FALSE);
  iv_router_next (router, 0);
  assert_int_equal (iv_router_next (router, 60).kind, IV_ACTION_NONE);
  add (router, 60, 2, 1000, TRUE);
  iv_router_next (router, 60);
  action = iv_router_next (router, 110);
  assert_int_equal (action.kind, IV_ACTION_CALL);
  assert_true (action.hedge);
  assert_int_equal (iv_router_call_ended (router, 120, 2, "near", IV_CALL_INCOMPLETE, 60),
                    IV_ROUTE_WAIT);
  assert_int_equal (iv_router_call_ended (router, 130, 2, action.instance, IV_CALL_OK, 20),
                    IV_ROUTE_FINAL);
  iv_router_free (router);
}

static void
test_loans_preserve_the_total (void **state)
{
  struct iv_router *lender = new_router (10, 0);
  struct iv_instance *near = (struct iv_instance *)iv_router_instance (lender, "near");
  assert_int_equal (iv_router_lend (lender, 0, "near", 1, 500), 1);
  assert_int_equal (iv_router_lend (lender, 0, "near", 1, 500), 0);
  assert_int_equal (iv_instance_free_slots (near, 100, 1000), 1);
  assert_int_equal (iv_instance_free_slots (near, 500, 1000), 2);
  iv_router_set_borrowed (lender, "far", 1, 400);
  assert_int_equal (
      iv_instance_free_slots ((struct iv_instance *)iv_router_instance (lender, "far"), 100, 400),
      3);
  assert_int_equal (
      iv_instance_free_slots ((struct iv_instance *)iv_router_instance (lender, "far"), 100, 401),
      2);
  iv_router_free (lender);
}

static void
test_full_queue_is_shared_fairly (void **state)
{
  struct iv_router *router = new_router (4, 0);
  guint heavy_caller_refused = 0, light_caller_refused = 0;
  for (guint i = 0; i < 4; i++)
    {
      add (router, 0, 900 + i, 9000, FALSE);
      iv_router_next (router, 0);
    }
  for (guint i = 0; i < 6; i++)
    {
      struct iv_request_info info
          = { .id = i, .service = "s", .deadline_ms = 9000, .caller = i == 5 ? 2 : 1 };
      iv_router_add (router, 0, &info);
    }
  for (struct iv_action action = iv_router_next (router, 0); action.kind == IV_ACTION_REFUSE;
       action = iv_router_next (router, 0))
    {
      heavy_caller_refused += action.request < 5;
      light_caller_refused += action.request == 5;
    }
  assert_int_equal (heavy_caller_refused, 2);
  assert_int_equal (light_caller_refused, 0);
  iv_router_free (router);
}

static void
test_refusal_after_incomplete_call_may_have_run (void **state)
{
  struct iv_router *router = new_router (10, 0);
  struct iv_action action;
  add (router, 0, 1, 100, TRUE);
  action = iv_router_next (router, 0);
  assert_int_equal (iv_router_call_ended (router, 5, 1, action.instance, IV_CALL_INCOMPLETE, 5),
                    IV_ROUTE_RETRY);
  action = iv_router_next (router, 99);
  assert_int_equal (action.kind, IV_ACTION_REFUSE);
  assert_true (action.may_have_run);
  iv_router_free (router);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_local_instance_first_within_slots),
          cmocka_unit_test (test_expired_request_is_refused),
          cmocka_unit_test (test_admission_sheds_load),
          cmocka_unit_test (test_incomplete_call_is_retried_only_if_idempotent),
          cmocka_unit_test (test_timed_out_call_holds_its_slot),
          cmocka_unit_test (test_ejection_and_slow_start),
          cmocka_unit_test (test_leaving_instance_gets_no_new_calls),
          cmocka_unit_test (test_only_idempotent_requests_are_hedged),
          cmocka_unit_test (test_loans_preserve_the_total),
          cmocka_unit_test (test_full_queue_is_shared_fairly),
          cmocka_unit_test (test_refusal_after_incomplete_call_may_have_run) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
