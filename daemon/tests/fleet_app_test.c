/* End-to-end test over HTTP from caller to worker, with stand-ins for the store and a worker in the
   same event loop. The tests build on each other. */
#include "fleet_app.h"
#include "http_client.h"
#include "job_table.h"
#include "fleet.h"
#include "loopback_port.h"
#include "store.h"
#include "store_standin.h"
#include "worker_standin.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define TIMEOUT_MS 10000 /* of a test that does not progress; no test waits for it to pass */
/* A state of this age may have changed; up to 50 ms a caller is told what was read last. */
#define STATE_AGE_MIN_MS 100
#define STATE_AGE_MAX_MS 300 /* the next read in the background comes later */
#define JOB_PATH "/q/00000000000000aa"

static uv_loop_t *loop;
static struct iv_deadlines *deadlines;
static struct store_standin *store;
static struct worker_standin *worker;
static struct iv_http_client *caller;
static struct iv_fleet_app *app;
static struct iv_settings settings;
static struct iv_document *document; /* owns the strings of the settings */

/* Addresses of the host under test. */
static char callers_address[32];
static char ready_address[32];
static char metrics_address[32];

/* The addresses, in this order: callers, operators, peers, store, peers again, jobs, readiness,
   metrics. */
static const char settings_format[]
    = "user: u\nhost: h\ndomain: a\nlisten:\n  callers: %s\n  operators: %s\n  peers: %s\n"
      "platform:\n  address: %s\n"
      "members:\n  - host: h\n    domain: a\n    peers: %s\n"
      "fleet:\n  jobs: %s\n  ready: %s\n  metrics: %s\n";

static const char config_text[]
    = "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"127.0.0.1\",\"PathPrefix\":\"/q/\","
      "\"Service\":\"s\",\"Attempts\":2,\"Stretch\":2,\"TargetLatencyMs\":300}],"
      "\"Services\":[{\"Name\":\"s\"}]}";

static const char worker_format[]
    = "{\"Service\":\"s\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"a\",\"State\":\"ready\","
      "\"Capacity\":{\"Cpu\":8000,\"MemMb\":9000},\"Labels\":[\"k\",\"r1\"],\"born\":1}";
static guint16 worker_port;
static const char *request_key; /* of the requests to send; NULL: none */

struct result
{
  gboolean done;
  int status;
  gint64 retry_s; /* Retry-After; 0: none */
  char body[8192];
};

static void
on_response (void *context, const struct iv_http_response *response)
{
  struct result *result = context;
  const char *retry_s = iv_http_response_header (response, "retry-after");
  result->done = TRUE;
  result->retry_s = retry_s ? g_ascii_strtoll (retry_s, NULL, 10) : 0;
  result->status = response->result == IV_HTTP_COMPLETE ? response->status : -1;
  g_strlcpy (result->body, "", sizeof result->body);
  if (response->body->len > 0 && response->body->len < sizeof result->body)
    {
      memcpy (result->body, response->body->data, response->body->len);
      result->body[response->body->len] = '\0';
    }
}

static struct result
send_request (const char *method, const char *address, const char *path, const char *body)
{
  struct result result = { 0 };
  char *authorization = g_strdup_printf ("Bearer %s", request_key);
  const struct iv_http_header headers[] = { { "authorization", authorization }, { NULL, NULL } };
  struct iv_http_call call = { .method = method,
                               .path = path,
                               .headers = request_key ? headers : NULL,
                               .body = body,
                               .body_len = body ? strlen (body) : 0,
                               .deadline_ms = (gint64)uv_now (loop) + TIMEOUT_MS };
  iv_http_call (caller, address, &call, on_response, &result);
  g_free (authorization);
  while (!result.done)
    uv_run (loop, UV_RUN_ONCE);
  return result;
}

/* Repeat the request until the response has @a status and contains @a text. */
static void
poll_until (const char *address, const char *path, const char *text, int status)
{
  gint64 end = (gint64)uv_now (loop) + TIMEOUT_MS;
  struct result result;
  do
    {
      result = send_request ("GET", address, path, NULL);
      uv_run (loop, UV_RUN_ONCE);
    }
  while ((result.status != status || !strstr (result.body, text)) && (gint64)uv_now (loop) < end);
  assert_int_equal (result.status, status);
  assert_non_null (strstr (result.body, text));
}

static guint16
reserve_address (char address[32])
{
  guint16 port = loopback_port_reserve ();
  g_snprintf (address, 32, "127.0.0.1:%u", port);
  return port;
}

static int
set_up (void **state)
{
  struct iv_findings *findings = iv_findings_new ("settings");
  char operators[32], peers[32], upstream_callers[32], store_address[32];
  guint16 store_port = reserve_address (store_address);
  char *text;
  reserve_address (operators);
  reserve_address (peers);
  reserve_address (upstream_callers);
  reserve_address (callers_address);
  reserve_address (ready_address);
  reserve_address (metrics_address);
  worker_port = loopback_port_reserve ();
  text = g_strdup_printf (settings_format, upstream_callers, operators, peers, store_address, peers,
                          callers_address, ready_address, metrics_address);
  loop = uv_default_loop ();
  deadlines = iv_deadlines_new (loop);
  store = store_standin_new (loop, store_port);
  worker = worker_standin_new (loop, deadlines, "i-1", worker_port, 30);
  caller = iv_http_client_new (loop, deadlines, 3600000, 1 << 20);
  document = iv_settings_read (text, strlen (text), &settings, findings);
  g_free (text);
  if (store == NULL || worker == NULL || document == NULL || iv_findings_count (findings) > 0)
    return -1;
  iv_findings_free (findings);
  app = iv_fleet_app_new (loop, &settings);
  return app ? 0 : -1;
}

static int
tear_down (void **state)
{
  iv_document_free (document);
  return 0;
}

static void
test_not_ready_without_configuration (void **state)
{
  char *worker_text = g_strdup_printf (worker_format, worker_port);
  assert_int_equal (send_request ("GET", ready_address, "/ibisvane/ready", NULL).status, 503);
  assert_int_equal (
      send_request ("POST", callers_address, JOB_PATH, "{\"Steps\":[{\"Count\":1}]}").status, 503);
  store_standin_put (store, "keyed.op", "config", config_text);
  store_standin_put (store, "keyed.servers", "i-1", worker_text);
  g_free (worker_text);
  poll_until (ready_address, "/ibisvane/ready", "", 200);
}

static void
test_job_runs_to_its_end (void **state)
{
  static const char job[] = "{\"Spec\":\"s\",\"Steps\":[{\"Count\":3,\"Cpu\":1000,\"MemMb\":10},"
                            "{\"Count\":2,\"Cpu\":1000,\"MemMb\":10,\"DependsOn\":[0]}]}";
  assert_int_equal (send_request ("POST", callers_address, JOB_PATH, job).status, 200);
  poll_until (callers_address, JOB_PATH, "completed", 200);
  assert_int_equal (worker->starts, 5);
  assert_int_equal (worker->duplicate_starts, 0);
}

static void
test_resubmission_is_the_same_job (void **state)
{
  assert_int_equal (
      send_request ("POST", callers_address, JOB_PATH, "{\"Steps\":[{\"Count\":9}]}").status, 200);
  poll_until (callers_address, JOB_PATH, "completed", 200);
  assert_int_equal (worker->starts, 5);
}

static void
test_cancelled_job_stops (void **state)
{
  static const char path[] = "/q/00000000000000bb";
  worker->run_ms = 1000000;
  assert_int_equal (send_request ("POST", callers_address, path,
                                  "{\"Steps\":[{\"Count\":2,\"Cpu\":1,\"LongRunning\":true}]}")
                        .status,
                    200);
  poll_until (callers_address, path, "running", 200);
  poll_until (callers_address, "/q/", "{\"Pending\":0}", 200);
  assert_int_equal (send_request ("DELETE", callers_address, path, NULL).status, 200);
  poll_until (callers_address, path, "cancelled", 200);
  for (guint i = 0; i < 1000 && worker->runs->len > 0; i++)
    uv_run (loop, UV_RUN_ONCE);
  assert_int_equal (worker->runs->len, 0);
}

static void
test_unknown_and_malformed (void **state)
{
  assert_int_equal (send_request ("GET", callers_address, "/q/00000000000000ff", NULL).status, 410);
  assert_int_equal (send_request ("DELETE", callers_address, "/q/00000000000000ff", NULL).status,
                    410);
  assert_int_equal (send_request ("GET", callers_address, "/other/", NULL).status, 404);
  assert_int_equal (send_request ("POST", callers_address, "/q/short", "{}").status, 404);
  assert_int_equal (
      send_request ("POST", callers_address, "/q/00000000000000fe", "{\"Steps\":[]}").status, 400);
  assert_int_equal (send_request ("GET", callers_address, "/q/00000000000000fe", NULL).status, 410);
}

/* Load: the store is away for more than a second. Guards against advice that takes an outage for a
   new one each time, and against advice where it is off. */
static void
test_retry_after_grows_with_the_outage (void **state)
{
  static const char path[] = "/q/00000000000000cd";
  static const char job[] = "{\"Steps\":[{\"Count\":1}]}";
  gint64 end = (gint64)uv_now (loop) + TIMEOUT_MS;
  struct result result;
  store->refuse = TRUE;
  result = send_request ("POST", callers_address, path, job);
  assert_int_equal (result.status, 504);
  assert_int_equal (result.retry_s, 1);
  settings.fleet.retry_advice = TRUE;
  do
    result = send_request ("POST", callers_address, path, job);
  while (result.status == 504 && result.retry_s < 2 && (gint64)uv_now (loop) < end);
  assert_int_equal (result.status, 504);
  assert_in_range (result.retry_s, 2, 3);
  settings.fleet.retry_advice = FALSE;
  assert_int_equal (send_request ("POST", callers_address, path, job).retry_s, 1);
  store->refuse = FALSE;
  poll_until (callers_address, path, "no such job", 410);
}

/* Guards against a refused job that is stored. The answer is not 503: that the job never runs
   cannot be told while another host may be storing it. */
static void
test_refused_by_the_store_is_not_accepted (void **state)
{
  static const char path[] = "/q/00000000000000cc";
  store->refuse = TRUE;
  assert_int_equal (
      send_request ("POST", callers_address, path, "{\"Steps\":[{\"Count\":1}]}").status, 504);
  store->refuse = FALSE;
  poll_until (callers_address, path, "no such job", 410);
}

/* Guards against hosts that end, or stop following a topic, because of one odd record in it: after
   each a job still runs. */
static void
test_odd_records_stop_nothing (void **state)
{
  static const struct
  {
    const char *topic;
    const char *key;
    const char *value; /* NULL: nested 200,000 deep */
  } rows[] = {
    { "keyed.servers", "odd-1", NULL },
    { "keyed.servers", "odd-2", "{\"Service\":\"s\",\"Address\":\"127.0.0.1:99999\"}" },
    { "keyed.servers", "odd-3", "{\"born\":99999999999999999999}" },
    { "keyed.servers", "odd 4\r\n", "\xff" },
    { "keyed.op", "config", NULL },
    { "keyed.op", "config", "{\"Version\":1e300,\"Routes\":[]}" },
    { "keyed.op", "evacuate/", "\xff" },
    { "keyed.op", "wave/1", NULL },
    { "keyed.jobs", "layout", "18446744073709551616 9" },
    { "keyed.jobs", "owner/0", "9223372036854775807 other" },
    { "keyed.jobs", "owner/0", "99999999999999999999 other" },
    { "keyed.jobs", "owner/0", "-1 other" },
    { "keyed.jobs", "owner/0", "" },
    { "keyed.jobs", "owner/0", "51200 other" },
    { "keyed.jobs", "owner/18446744073709551616", "9 other" },
    { "keyed.jobs", "load/0", "9223372036854775807 -9223372036854775808 x" },
    { "keyed.jobs", "handover/0", "-9223372036854775808 i-1 - -9223372036854775808" },
    { "keyed.jobs", "roster/0", "\xff\xff\xff\xff" },
    { "keyed.jobs", "model/0", "\x7f\xff\xff\xff" },
    { "keyed.jobs", "00000000000000dd+m", "99999999999999999999" },
    { "keyed.jobs", "00000000000000dd", "\xff\xff\xff\xff" },
    { "keyed.jobs", "00000000000000dd+p", "\xff\xff\xff\xff" },
    { "keyed.jobs", "owner/0", "92160 other" }, /* the next owner reads these records */
  };
  char *nested = g_malloc0 (200001);
  memset (nested, '[', 200000);
  worker->run_ms = 30;
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      char *path = g_strdup_printf ("/q/00000000000001%02x", i);
      print_message ("%s %s\n", rows[i].topic, rows[i].key);
      store_standin_put (store, rows[i].topic, rows[i].key, rows[i].value ? rows[i].value : nested);
      assert_int_equal (send_request ("POST", callers_address, path,
                                      "{\"Steps\":[{\"Count\":1,\"Cpu\":1,\"MemMb\":1}]}")
                            .status,
                        200);
      poll_until (callers_address, path, "completed", 200);
      g_free (path);
    }
  assert_int_equal (worker->duplicate_starts, 0);
  g_free (nested);
}

static void
test_metrics_are_served (void **state)
{
  struct result result = send_request ("GET", metrics_address, "/metrics", NULL);
  assert_int_equal (result.status, 200);
  assert_non_null (strstr (result.body, "ibisvane_cells_owned 1\n"));
  assert_non_null (strstr (result.body, "ibisvane_cells_suspended 0\n"));
  assert_non_null (strstr (result.body, "ibisvane_start_window "));
  assert_non_null (strstr (result.body, "ibisvane_config_version 1\n"));
  assert_non_null (strstr (result.body, "ibisvane_events_total{event=\"job.accepted\"}"));
  assert_non_null (strstr (result.body, "ibisvane_first_start_ms_count"));
  assert_non_null (strstr (result.body, "ibisvane_retry_advice_ms_count "));
}

/* Age of the job records that the host under test has read, by its metrics. */
static gint64
jobs_age_ms (const char *metrics)
{
  static const char name[] = "\nibisvane_jobs_age_ms ";
  const char *line = strstr (metrics, name);
  assert_non_null (line);
  return strtol (line + strlen (name), NULL, 10);
}

/* Waits until the state that was read last is old. FALSE when the host under test has claimed the
   cell again meanwhile, as the other one is no member: an owner reads all the time. */
static gboolean
wait_for_old_state (void)
{
  gint64 age_ms;
  do
    {
      struct result result = send_request ("GET", metrics_address, "/metrics", NULL);
      if (strstr (result.body, "ibisvane_cells_owned 1\n"))
        return FALSE;
      age_ms = jobs_age_ms (result.body);
      uv_run (loop, UV_RUN_ONCE);
    }
  while (age_ms < STATE_AGE_MIN_MS || age_ms > STATE_AGE_MAX_MS);
  return TRUE;
}

/* Lets another host own the cell until the state that the host under test has read is old. That
   host may claim the cell again under the next terms; a claim of a term that it has reached is
   ignored, so each claim is above all of them. */
#define TERMS_PER_CLAIM 16

static void
take_cell_away (void)
{
  gint64 end = (gint64)uv_now (loop) + TIMEOUT_MS;
  gboolean old = FALSE;
  for (gint64 term = 120 * IV_FENCES_PER_TERM; !old && (gint64)uv_now (loop) < end;
       term += TERMS_PER_CLAIM * IV_FENCES_PER_TERM)
    {
      char claim[32];
      g_snprintf (claim, sizeof claim, "%" G_GINT64_FORMAT " other", term);
      store_standin_put (store, "keyed.jobs", "owner/0", claim);
      poll_until (metrics_address, "/metrics", "ibisvane_cells_owned 0\n", 200);
      old = wait_for_old_state ();
    }
  assert_true (old);
}

/* Another host owns the cell and records that a job has ended. Guards against a caller that is told
   so half a second late, when this host reads the records the next time. */
static void
test_state_recorded_by_another_owner_is_told_at_once (void **state)
{
  static const char path[] = "/q/00000000000000ee";
  ivj_progress ended = { .state = IVJ_COMPLETED };
  GByteArray *progress = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_progress, &ended, IV_RECORD_MAX_BYTES);
  GByteArray *record = g_byte_array_new ();
  worker->run_ms = 1000000;
  assert_int_equal (send_request ("POST", callers_address, path,
                                  "{\"Steps\":[{\"Count\":1,\"Cpu\":1,\"MemMb\":1}]}")
                        .status,
                    200);
  poll_until (callers_address, path, "running", 200);
  take_cell_away ();
  iv_store_encode_record (record, "00000000000000ee" IV_KEY_PROGRESS, progress->data,
                          progress->len);
  store_standin_put_raw (store, "keyed.jobs", record->data + 4, record->len - 4);
  assert_non_null (strstr (send_request ("GET", callers_address, path, NULL).body, "completed"));
  g_byte_array_free (progress, TRUE);
  g_byte_array_free (record, TRUE);
}

/* Guards against accepted jobs that are lost with their queue: the operator removes it after the
   first of two steps has begun. */
static void
test_jobs_of_a_removed_queue_are_run_on (void **state)
{
  static const char path[] = "/q/00000000000000ab";
  static const char without_queue[]
      = "{\"Version\":2,\"Routes\":[],\"Services\":[{\"Name\":\"s\"}]}";
  char *with_queue = g_strdup (config_text);
  guint starts;
  worker->run_ms = 300;
  for (gint64 end = (gint64)uv_now (loop) + TIMEOUT_MS; (gint64)uv_now (loop) < end;)
    if (send_request ("POST", callers_address, path,
                      "{\"Steps\":[{\"Count\":2,\"Cpu\":1,\"MemMb\":1},"
                      "{\"Count\":2,\"Cpu\":1,\"MemMb\":1,\"DependsOn\":[0]}]}")
            .status
        == 200)
      break;
  poll_until (callers_address, path, "running", 200);
  starts = worker->starts;
  store_standin_put (store, "keyed.op", "config", without_queue);
  poll_until (callers_address, path, "", 404);
  for (gint64 end = (gint64)uv_now (loop) + TIMEOUT_MS;
       worker->starts < starts + 2 && (gint64)uv_now (loop) < end;)
    uv_run (loop, UV_RUN_ONCE);
  assert_int_equal (worker->starts, starts + 2);
  strstr (with_queue, ":1,")[1] = '3';
  store_standin_put (store, "keyed.op", "config", with_queue);
  poll_until (callers_address, path, "completed", 200);
  g_free (with_queue);
}

/* Puts a configuration of @a version in which the workspace "alpha" has @a keys, a list in JSON,
   and "beta" the key "key-b". */
static void
put_keys (gint64 version, const char *keys)
{
  char *text = g_strdup_printf (
      "{\"Version\":%" G_GINT64_FORMAT ",\"Routes\":[{\"Name\":\"r\",\"Host\":\"127.0.0.1\","
      "\"PathPrefix\":\"/q/\",\"Service\":\"s\",\"Attempts\":2}],"
      "\"Services\":[{\"Name\":\"s\"}],\"Tenants\":[{\"Name\":\"alpha\",\"ApiKeys\":%s},"
      "{\"Name\":\"beta\",\"ApiKeys\":[\"key-b\"]}]}",
      version, keys);
  store_standin_put (store, "keyed.op", "config", text);
  g_free (text);
}

static int
status_with (const char *key)
{
  int status;
  request_key = key;
  status = send_request ("GET", callers_address, "/q/", NULL).status;
  request_key = NULL;
  return status;
}

static void
poll_until_key_has (const char *key, int status)
{
  gint64 end = (gint64)uv_now (loop) + TIMEOUT_MS;
  while (status_with (key) != status && (gint64)uv_now (loop) < end)
    uv_run (loop, UV_RUN_ONCE);
  assert_int_equal (status_with (key), status);
}

/* Number of configurations that the host has ignored, by its metrics. */
static gint64
ignored_configurations (void)
{
  static const char name[] = "ibisvane_events_total{event=\"config.ignored\"} ";
  struct result result = send_request ("GET", metrics_address, "/metrics", NULL);
  const char *line = strstr (result.body, name);
  return line ? strtol (line + strlen (name), NULL, 10) : 0;
}

/* Guards against keys that a version removed and that work again because an older version is read,
   and against keys that a version added and that do not work. */
static void
test_keys_follow_versions (void **state)
{
  gint64 ignored;
  gint64 end;
  put_keys (4, "[\"key-a1\"]");
  poll_until_key_has (NULL, 401);
  poll_until_key_has ("key-a1", 200);
  assert_int_equal (status_with ("key-a2"), 401);
  put_keys (5, "[\"key-a2\"]");
  poll_until_key_has ("key-a2", 200);
  assert_int_equal (status_with ("key-a1"), 401);
  ignored = ignored_configurations ();
  put_keys (4, "[\"key-a1\"]");
  end = (gint64)uv_now (loop) + TIMEOUT_MS;
  while (ignored_configurations () == ignored && status_with ("key-a1") == 401
         && (gint64)uv_now (loop) < end)
    uv_run (loop, UV_RUN_ONCE);
  assert_true (ignored_configurations () > ignored);
  assert_int_equal (status_with ("key-a1"), 401);
  assert_int_equal (status_with ("key-a2"), 200);
  put_keys (6, "[\"key-a1\",\"key-a2\"]");
  poll_until_key_has ("key-a1", 200);
}

/* Guards against a job of a workspace whose record the owner cannot read, and a workspace that is
   forgotten with the texts of an ended job. */
static void
test_job_of_a_workspace_runs_to_its_end (void **state)
{
  static const char path[] = "/q/00000000000000ac";
  worker->run_ms = 30;
  request_key = "key-a1";
  assert_int_equal (send_request ("POST", callers_address, path,
                                  "{\"Steps\":[{\"Count\":2,\"Cpu\":1,\"MemMb\":1}]}")
                        .status,
                    200);
  poll_until (callers_address, path, "completed", 200);
  request_key = "key-b";
  assert_int_equal (send_request ("GET", callers_address, path, NULL).status, 403);
  request_key = NULL;
}

/* Guards against a host that goes on admitting keys after the time that the settings set, or does
   not admit them again once the store is back. Without the setting it goes on. */
static void
test_revocation_while_cut_off (void **state)
{
  gint64 end = (gint64)uv_now (loop) + 2000;
  store->refuse = TRUE;
  while ((gint64)uv_now (loop) < end)
    uv_run (loop, UV_RUN_ONCE);
  assert_int_equal (status_with ("key-a1"), 200);
  settings.fleet.revoke_ms = 1500;
  assert_int_equal (status_with ("key-a1"), 503);
  assert_int_equal (status_with (NULL), 503);
  store->refuse = FALSE;
  poll_until_key_has ("key-a1", 200);
  settings.fleet.revoke_ms = 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_not_ready_without_configuration),
    cmocka_unit_test (test_job_runs_to_its_end),
    cmocka_unit_test (test_resubmission_is_the_same_job),
    cmocka_unit_test (test_cancelled_job_stops),
    cmocka_unit_test (test_unknown_and_malformed),
    cmocka_unit_test (test_refused_by_the_store_is_not_accepted),
    cmocka_unit_test (test_retry_after_grows_with_the_outage),
    cmocka_unit_test (test_odd_records_stop_nothing),
    cmocka_unit_test (test_metrics_are_served),
    cmocka_unit_test (test_state_recorded_by_another_owner_is_told_at_once),
    cmocka_unit_test (test_jobs_of_a_removed_queue_are_run_on),
    cmocka_unit_test (test_keys_follow_versions),
    cmocka_unit_test (test_job_of_a_workspace_runs_to_its_end),
    cmocka_unit_test (test_revocation_while_cut_off),
  };
  return cmocka_run_group_tests (tests, set_up, tear_down);
}
