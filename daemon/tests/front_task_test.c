/* Access to queues and jobs by keys, and cancellations and refusals of jobs that may still be
   stored, over HTTP to the task alone, with a stand-in for the store. The test sets the
   configuration in force and its age. */
#include "counter.h"
#include "front_task.h"
#include "http_client.h"
#include "loopback_port.h"
#include "names.h"
#include "store_standin.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define TIMEOUT_MS 10000 /* of a test that does not progress; no test waits for it to pass */
#define STORM 3000       /* calls */
/* Long enough for two requests to come before the first append. */
#define ACCEPT_BATCH_DELAY_MS 100
#define JOB "{\"Steps\":[{\"Count\":1,\"Cpu\":1,\"MemMb\":1}]}"
#define ROUTES                                                                                     \
  "\"Routes\":[{\"Name\":\"q\",\"Host\":\"127.0.0.1\",\"PathPrefix\":\"/q/\",\"Service\":\"s\"},"  \
  "{\"Name\":\"open\",\"Host\":\"127.0.0.1\",\"PathPrefix\":\"/open/\",\"Service\":\"s\","         \
  "\"Public\":true}]"
/* Every key of these tests begins so. */
#define KEY_MARK "secret-"
#define KEY_A KEY_MARK "alpha"
#define KEY_B KEY_MARK "beta"

static const char without_workspaces[] = "{\"Version\":1," ROUTES "}";
static const char two_workspaces[]
    = "{\"Version\":2," ROUTES ",\"Tenants\":[{\"Name\":\"alpha\",\"ApiKeys\":[\"" KEY_A
      "\"]},{\"Name\":\"beta\",\"ApiKeys\":[\"" KEY_B "\"]}]}";
static const char alpha_removed[]
    = "{\"Version\":3," ROUTES ",\"Tenants\":[{\"Name\":\"alpha\",\"ApiKeys\":[]},"
      "{\"Name\":\"beta\",\"ApiKeys\":[\"" KEY_B "\"]}]}";

static uv_loop_t *loop;
static struct iv_deadlines *deadlines;
static struct store_standin *store;
static struct iv_http_client *caller;
static struct iv_job_table *job_table;
static struct iv_routes *routes;
static gint64 config_age;
static gboolean has_room = TRUE;
static const char *wait_ms; /* of the requests to send; NULL: not told */
static char address[32];
static GString *log_lines;

struct result
{
  gboolean done;
  int status;
  char challenge[32];
  char retry_after[32];
  char body[256];
};

static GLogWriterOutput
collect_line (GLogLevelFlags level, const GLogField *fields, gsize count, gpointer context)
{
  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      g_string_append_printf (log_lines, "%s\n", (const char *)fields[i].value);
  return G_LOG_WRITER_HANDLED;
}

static void
copy_header (const struct iv_http_response *response, const char *name, char value[32])
{
  const char *found = iv_http_response_header (response, name);
  g_strlcpy (value, found ? found : "", 32);
}

static void
on_response (void *context, const struct iv_http_response *response)
{
  struct result *result = context;
  result->done = TRUE;
  result->status = -1;
  if (response->result != IV_HTTP_COMPLETE)
    return;
  result->status = response->status;
  copy_header (response, "www-authenticate", result->challenge);
  copy_header (response, "retry-after", result->retry_after);
  g_snprintf (result->body, sizeof result->body, "%.*s", (int)response->body->len,
              (const char *)response->body->data);
}

static void
start_request (const char *method, const char *path, const char *key, struct result *result)
{
  char *authorization = key ? g_strconcat ("Bearer ", key, NULL) : NULL;
  struct iv_http_header headers[3] = { { NULL, NULL } };
  guint count = 0;
  const char *body = strcmp (method, "POST") == 0 ? JOB : NULL;
  const struct iv_http_call call = { .method = method,
                                     .path = path,
                                     .headers = headers,
                                     .body = body,
                                     .body_len = body ? strlen (body) : 0,
                                     .deadline_ms = (gint64)uv_now (loop) + TIMEOUT_MS };
  if (key)
    headers[count++] = (struct iv_http_header){ "authorization", authorization };
  if (wait_ms)
    headers[count++] = (struct iv_http_header){ IV_HEADER_WAIT_MS, wait_ms };
  memset (result, 0, sizeof *result);
  iv_http_call (caller, address, &call, on_response, result);
  g_free (authorization);
}

static struct result
send_request (const char *method, const char *path, const char *key)
{
  struct result result;
  start_request (method, path, key, &result);
  while (!result.done)
    uv_run (loop, UV_RUN_ONCE);
  return result;
}

static int
status_of (const char *method, const char *path, const char *key)
{
  return send_request (method, path, key).status;
}

static void
set_configuration (const char *text)
{
  iv_routes_free (routes);
  routes = text ? iv_wire_parse_config ((const guint8 *)text, strlen (text)) : NULL;
}

static void
apply_record (void *context, const char *key, const guint8 *value, gsize len)
{
  iv_job_table_apply (job_table, key, value, len);
}

static const struct iv_routes *
get_routes (void *context)
{
  return routes;
}

static gint64
get_config_age (void *context)
{
  return config_age;
}

static gboolean
has_capacity (void *context, const struct iv_job_entry *job)
{
  return has_room;
}

static struct iv_settings settings;
static struct iv_stream *jobs;

static int
set_up (void **state)
{
  static char ready[32];
  const struct iv_stream_options options
      = { .topic = IV_TOPIC_JOBS, .read_delay_ms = 5, .apply = apply_record };
  struct iv_front_task_deps deps = { .settings = &settings,
                                     .routes = get_routes,
                                     .config_age_ms = get_config_age,
                                     .has_capacity = has_capacity };
  struct iv_store *client;
  const struct iv_recorder_times times
      = { .batch_delay = ACCEPT_BATCH_DELAY_MS, .unknown_timeout = 500 };
  char store_address[32];
  guint16 port = loopback_port_reserve ();
  g_snprintf (store_address, sizeof store_address, "127.0.0.1:%u", port);
  g_snprintf (address, sizeof address, "127.0.0.1:%u", loopback_port_reserve ());
  g_snprintf (ready, sizeof ready, "127.0.0.1:%u", loopback_port_reserve ());
  settings.fleet.jobs = address;
  settings.fleet.ready = ready;
  settings.limits
      = (struct iv_limit_settings){ .requests = 100, .connections = 100, .read_timeout_ms = 5000 };
  loop = deps.loop = uv_default_loop ();
  deadlines = deps.deadlines = iv_deadlines_new (loop);
  store = store_standin_new (loop, port);
  caller = iv_http_client_new (loop, deadlines, 3600000, 1 << 20);
  client = iv_store_new (iv_http_client_new (loop, deadlines, 3600000, 1 << 20), store_address);
  job_table = deps.job_table = iv_job_table_new ();
  deps.queues = iv_queues_new ();
  jobs = deps.jobs = iv_stream_new (loop, deadlines, client, &options);
  deps.recorder = iv_recorder_new (loop, deadlines, client, IV_TOPIC_JOBS, "h", 1, &times);
  if (store == NULL || iv_front_task_new (&deps) == NULL)
    return -1;
  while (!iv_stream_loaded (deps.jobs))
    uv_run (loop, UV_RUN_ONCE);
  return 0;
}

/* Submits a job and returns it once its record was read back. */
static const struct iv_job_entry *
submit (const char *prefix, const char *id, const char *key)
{
  char *path = g_strconcat (prefix, id, NULL);
  const struct iv_job_entry *job = NULL;
  assert_int_equal (status_of ("POST", path, key), 200);
  for (gint64 end = (gint64)uv_now (loop) + TIMEOUT_MS; !job && (gint64)uv_now (loop) < end;)
    {
      uv_run (loop, UV_RUN_ONCE);
      job = iv_job_table_find (job_table, id);
    }
  assert_non_null (job);
  g_free (path);
  return job;
}

/* Guards against a host that admits anybody before it knows the keys. */
static void
test_host_without_a_configuration (void **state)
{
  assert_int_equal (status_of ("GET", "/q/", NULL), 503);
  assert_int_equal (status_of ("POST", "/q/00000000000000a0", KEY_A), 503);
}

/* Guards against keys that are asked for, or jobs that are stored in another form, where the
   configuration has no workspaces. */
static void
test_no_workspaces_no_keys (void **state)
{
  set_configuration (without_workspaces);
  assert_int_equal (status_of ("GET", "/q/", NULL), 200);
  assert_string_equal (submit ("/q/", "00000000000000a1", KEY_A)->workspace, "");
  assert_string_equal (submit ("/q/", "00000000000000a2", NULL)->workspace, "");
}

/* Guards against a request that tells anything of a queue or its jobs without a valid key. */
static void
test_nothing_is_told_without_a_key (void **state)
{
  static const char *const paths[]
      = { "/q/", "/q/00000000000000a1", "/q/00000000000000ff", "/q/short" };
  static const char *const methods[] = { "GET", "POST", "DELETE", "PUT" };
  static const char *const keys[] = { NULL, "", KEY_MARK "none", KEY_A "x" };
  set_configuration (two_workspaces);
  for (guint p = 0; p < G_N_ELEMENTS (paths); p++)
    for (guint m = 0; m < G_N_ELEMENTS (methods); m++)
      for (guint k = 0; k < G_N_ELEMENTS (keys); k++)
        {
          struct result result = send_request (methods[m], paths[p], keys[k]);
          assert_int_equal (result.status, 401);
          assert_string_equal (result.challenge, "Bearer");
          assert_null (strstr (result.body, KEY_MARK));
        }
  assert_int_equal (status_of ("GET", "/other/", NULL), 404);
  assert_int_equal (status_of ("GET", "/q/", KEY_A), 200);
  assert_int_equal (status_of ("GET", "/q/00000000000000ff", KEY_A), 410);
  assert_int_equal (status_of ("PUT", "/q/00000000000000a1", KEY_A), 405);
  assert_int_equal (status_of ("GET", "/q/short", KEY_A), 404);
}

/* Guards against a job that is stored without its workspace, or is open to another one. */
static void
test_job_belongs_to_its_workspace (void **state)
{
  static const char path[] = "/q/00000000000000b1";
  assert_string_equal (submit ("/q/", "00000000000000b1", KEY_A)->workspace, "alpha");
  assert_int_equal (status_of ("GET", path, KEY_A), 200);
  assert_int_equal (status_of ("POST", path, KEY_A), 200);
  assert_int_equal (status_of ("GET", path, KEY_B), 403);
  assert_int_equal (status_of ("POST", path, KEY_B), 403);
  assert_int_equal (status_of ("DELETE", path, KEY_B), 403);
  assert_false (iv_job_table_find (job_table, "00000000000000b1")->cancel);
  assert_int_equal (status_of ("DELETE", path, KEY_A), 200);
  assert_int_equal (status_of ("GET", "/q/00000000000000a1", KEY_A), 200);
  assert_int_equal (status_of ("GET", "/q/00000000000000a1", KEY_B), 200);
}

/* Guards against a job that a second workspace submits, and is told to be accepted, while the store
   has not answered the first. */
static void
test_same_id_at_the_same_time (void **state)
{
  static const char path[] = "/q/00000000000000b2";
  static struct result results[2]; /* outlives a failed assertion, as the calls do */
  start_request ("POST", path, KEY_A, &results[0]);
  start_request ("POST", path, KEY_B, &results[1]);
  while (!results[0].done || !results[1].done)
    uv_run (loop, UV_RUN_ONCE);
  assert_int_equal (MIN (results[0].status, results[1].status), 200);
  assert_int_equal (MAX (results[0].status, results[1].status), 403);
  assert_int_equal (status_of ("GET", path, KEY_A), results[0].status);
  assert_int_equal (status_of ("GET", path, KEY_B), results[1].status);
}

/* Guards against keys that are asked for on a public queue, jobs there that are counted for the
   wrong workspace, and jobs of other queues that can be reached through its path. */
static void
test_public_queue (void **state)
{
  const struct iv_job_entry *job;
  assert_int_equal (status_of ("GET", "/open/", NULL), 200);
  assert_string_equal (submit ("/open/", "00000000000000c1", NULL)->workspace, "");
  assert_string_equal (submit ("/open/", "00000000000000c2", KEY_MARK "none")->workspace, "");
  assert_string_equal (submit ("/open/", "00000000000000c3", KEY_A)->workspace, "alpha");
  assert_int_equal (status_of ("GET", "/open/00000000000000c3", NULL), 200);
  assert_int_equal (status_of ("DELETE", "/open/00000000000000c3", NULL), 200);
  job = submit ("/q/", "00000000000000c4", KEY_A);
  assert_int_equal (status_of ("GET", "/open/00000000000000c4", NULL), 401);
  assert_int_equal (status_of ("DELETE", "/open/00000000000000c4", NULL), 401);
  assert_int_equal (status_of ("DELETE", "/open/00000000000000c4", KEY_B), 403);
  assert_int_equal (status_of ("POST", "/open/00000000000000c4", NULL), 401);
  assert_false (job->cancel);
  assert_int_equal (status_of ("GET", "/open/00000000000000c4", KEY_A), 200);
}

/* Guards against a request that was admitted and is refused by a later version, and against a later
   one that is admitted by the older version. */
static void
test_key_removed_while_a_request_waits (void **state)
{
  static const char path[] = "/q/00000000000000ff";
  static struct result result; /* outlives a failed assertion, as the call does */
  gint64 answered_by
      = (gint64)uv_now (loop) + 100; /* a lookup in a store that answers takes few ms */
  store->refuse = TRUE;
  start_request ("GET", path, KEY_A, &result);
  while (!result.done && (gint64)uv_now (loop) < answered_by)
    uv_run (loop, UV_RUN_ONCE);
  assert_false (result.done);
  set_configuration (alpha_removed);
  store->refuse = FALSE;
  while (!result.done)
    uv_run (loop, UV_RUN_ONCE);
  assert_int_equal (result.status, 410);
  assert_int_equal (status_of ("GET", path, KEY_A), 401);
}

/* Guards against removed keys of which any is admitted in a storm of calls, and against calls of
   another workspace that are refused in it. Each round holds one call of the latter. */
static void
test_storm_of_removed_keys (void **state)
{
  static struct result results[20]; /* outlives a failed assertion, as the calls do */
  set_configuration (alpha_removed);
  for (guint call = 0; call < STORM; call += G_N_ELEMENTS (results))
    {
      guint valid = (call / G_N_ELEMENTS (results)) % G_N_ELEMENTS (results);
      for (guint i = 0; i < G_N_ELEMENTS (results); i++)
        start_request (i % 2 ? "GET" : "POST", "/q/00000000000000b1", i == valid ? KEY_B : KEY_A,
                       &results[i]);
      for (guint i = 0; i < G_N_ELEMENTS (results); i++)
        {
          while (!results[i].done)
            uv_run (loop, UV_RUN_ONCE);
          assert_int_equal (results[i].status, i == valid ? 403 : 401);
        }
      assert_int_equal (status_of ("GET", "/q/", KEY_B), 200);
    }
}

/* Guards against a host cut off from the store that refuses without the setting, or admits with it,
   and against refusals of what needs no key. */
static void
test_host_cut_off_from_the_store (void **state)
{
  struct result result;
  set_configuration (two_workspaces);
  store->refuse = TRUE;
  config_age = 3600000;
  assert_int_equal (status_of ("GET", "/q/", KEY_A), 200);
  assert_int_equal (status_of ("GET", "/q/", NULL), 401);
  settings.fleet.revoke_ms = 5000;
  result = send_request ("GET", "/q/", KEY_A);
  assert_int_equal (result.status, 503);
  assert_string_not_equal (result.retry_after, "");
  /* Another host may have accepted the job: 503 would tell that it never runs. */
  result = send_request ("POST", "/q/00000000000000d1", KEY_A);
  assert_int_equal (result.status, 504);
  assert_string_not_equal (result.retry_after, "");
  assert_int_equal (status_of ("GET", "/q/", NULL), 503);
  assert_int_equal (status_of ("GET", "/open/", NULL), 200);
  config_age = 5000;
  assert_int_equal (status_of ("GET", "/q/", KEY_A), 200);
  config_age = 3600000;
  set_configuration (without_workspaces);
  assert_int_equal (status_of ("GET", "/q/", NULL), 200);
  store->refuse = FALSE;
  settings.fleet.revoke_ms = 0;
}

/* Guards against keys in log lines and metrics. */
static void
test_no_key_is_logged (void **state)
{
  char *metrics = iv_counters_text ();
  assert_non_null (strstr (log_lines->str, "event=access.refused"));
  assert_non_null (strstr (log_lines->str, "verdict=key_unknown"));
  assert_non_null (strstr (log_lines->str, "event=job.accepted job=00000000000000b1 "));
  assert_non_null (strstr (log_lines->str, " workspace=alpha\n"));
  assert_non_null (strstr (metrics, "ibisvane_access_total{verdict=\"granted\"}"));
  assert_non_null (strstr (metrics, "ibisvane_access_total{verdict=\"other_workspace\"}"));
  assert_null (strstr (log_lines->str, KEY_MARK));
  assert_null (strstr (metrics, KEY_MARK));
  g_free (metrics);
}

static void
run_for (gint64 duration_ms)
{
  gint64 end = (gint64)uv_now (loop) + duration_ms;
  while ((gint64)uv_now (loop) < end)
    uv_run (loop, UV_RUN_ONCE);
}

static void
await_held_append (void)
{
  gint64 end = (gint64)uv_now (loop) + TIMEOUT_MS;
  while (store->held->len == 0 && (gint64)uv_now (loop) < end)
    uv_run (loop, UV_RUN_ONCE);
  assert_true (store->held->len > 0);
}

static int
end_disruptions (void **state)
{
  store_standin_release (store);
  wait_ms = NULL;
  has_room = TRUE;
  return 0;
}

static void
set_flag (void *context)
{
  *(gboolean *)context = TRUE;
}

static void
read_to_the_end (void)
{
  gboolean done = FALSE;
  iv_stream_barrier (jobs, set_flag, &done);
  while (!done)
    uv_run (loop, UV_RUN_ONCE);
}

/* Stores a job as another host does whose append is carried out late. */
static void
store_elsewhere (const char *id, const char *workspace)
{
  ivj_step step = { .count = 1, .cpu_milli = 1, .label = "", .data_rack = "", .image = "" };
  ivj_job job = { .host = "127.0.0.1", .prefix = "/q/", .spec = "" };
  GByteArray *record = g_byte_array_new ();
  GByteArray *value;
  job.steps.steps_len = 1;
  job.steps.steps_val = &step;
  value = iv_job_encode_spec (&job, workspace);
  iv_store_encode_record (record, id, value->data, value->len);
  store_standin_put_raw (store, IV_TOPIC_JOBS, record->data + 4, record->len - 4);
  g_byte_array_unref (value);
  g_byte_array_unref (record);
  read_to_the_end ();
}

/* Guards against a job that runs on after its cancellation was acknowledged: another host may still
   be appending it, or its caller repeats the submission. */
static void
test_cancelled_before_it_is_stored (void **state)
{
  static const char late[] = "/q/00000000000000e1";
  static const char repeated[] = "/q/00000000000000e2";
  struct result before;
  set_configuration (without_workspaces);
  before = send_request ("GET", "/q/", NULL);
  assert_int_equal (status_of ("DELETE", late, NULL), 410);
  assert_int_equal (status_of ("GET", late, NULL), 410);
  store_elsewhere (late + 3, "");
  assert_true (iv_job_table_find (job_table, late + 3)->cancel);
  assert_non_null (strstr (send_request ("GET", late, NULL).body, "cancelled"));
  assert_int_equal (status_of ("DELETE", late, NULL), 200);
  assert_int_equal (status_of ("DELETE", repeated, NULL), 410);
  assert_int_equal (status_of ("POST", repeated, NULL), 200);
  read_to_the_end ();
  assert_non_null (strstr (send_request ("GET", repeated, NULL).body, "cancelled"));
  assert_string_equal (send_request ("GET", "/q/", NULL).body, before.body);
}

/* Guards against a cancellation that is told and not stored, and against one that is carried out
   before the submission that it follows on the same host. */
static void
test_cancelled_while_it_is_appended (void **state)
{
  static const char path[] = "/q/00000000000000e3";
  static struct result submission, cancellation; /* outlive a failed assertion, as the calls do */
  set_configuration (without_workspaces);
  store->appends_to_hold = 1;
  start_request ("POST", path, NULL, &submission);
  await_held_append ();
  start_request ("DELETE", path, NULL, &cancellation);
  run_for (100);
  assert_false (cancellation.done);
  store_standin_release (store);
  while (!submission.done || !cancellation.done)
    uv_run (loop, UV_RUN_ONCE);
  assert_int_equal (submission.status, 200);
  assert_true (cancellation.status == 200 || cancellation.status == 410);
  read_to_the_end ();
  assert_true (iv_job_table_find (job_table, path + 3)->cancel);
}

/* Guards against a caller that cancels a job of another workspace before it is stored, or learns of
   it so. */
static void
test_cancelled_by_another_workspace (void **state)
{
  static const char path[] = "/q/00000000000000e4";
  set_configuration (two_workspaces);
  assert_int_equal (status_of ("DELETE", path, KEY_B), 410);
  store_elsewhere (path + 3, "alpha");
  assert_false (iv_job_table_find (job_table, path + 3)->cancel);
  assert_int_equal (status_of ("DELETE", path, KEY_B), 403);
  assert_int_equal (status_of ("DELETE", path, KEY_A), 200);
}

/* Guards against 503, which tells that a job never runs, for one that may still be stored: by the
   same host, whose append has no response, or by another one. */
static void
test_no_refusal_of_what_may_be_stored (void **state)
{
  static const char path[] = "/q/00000000000000e5";
  static const char other_path[] = "/q/00000000000000e6";
  set_configuration (without_workspaces);
  wait_ms = "400";
  store->appends_to_hold = G_MAXUINT;
  assert_int_equal (status_of ("POST", path, NULL), 504);
  has_room = FALSE;
  assert_int_equal (status_of ("POST", path, NULL), 504);
  run_for (1500); /* the append has timed out */
  assert_int_equal (status_of ("POST", path, NULL), 504);
  assert_int_equal (status_of ("POST", other_path, NULL), 504);
  assert_int_equal (status_of ("DELETE", other_path, NULL), 503);
  has_room = TRUE;
  store_standin_release (store);
  wait_ms = NULL;
  run_for (1500); /* the append is tried again */
  assert_int_equal (status_of ("POST", path, NULL), 200);
  read_to_the_end ();
  assert_non_null (iv_job_table_find (job_table, path + 3));
  assert_null (iv_job_table_find (job_table, other_path + 3));
}

/* Guards against a submission that is stored, queued behind a slow one, after its caller has been
   told that it failed. */
static void
test_unsent_submission_is_withdrawn (void **state)
{
  static const char path[] = "/q/00000000000000e7";
  static const char queued_path[] = "/q/00000000000000e8";
  static struct result submission, queued; /* outlive a failed assertion, as the calls do */
  set_configuration (without_workspaces);
  store->appends_to_hold = 1;
  start_request ("POST", path, NULL, &submission);
  await_held_append ();
  wait_ms = "300";
  start_request ("POST", queued_path, NULL, &queued);
  while (!queued.done)
    uv_run (loop, UV_RUN_ONCE);
  assert_int_equal (queued.status, 504);
  wait_ms = NULL;
  store_standin_release (store);
  while (!submission.done)
    uv_run (loop, UV_RUN_ONCE);
  assert_int_equal (submission.status, 200);
  run_for (2 * ACCEPT_BATCH_DELAY_MS);
  read_to_the_end ();
  assert_null (iv_job_table_find (job_table, queued_path + 3));
  assert_int_equal (status_of ("POST", queued_path, NULL), 200);
}

/* Guards against a stream of cancellations of unknown ids that fills the store. */
static void
test_cancellations_of_unknown_ids_are_limited (void **state)
{
  const ivj_tombstone tombstone = { .workspace = "", .host = "", .prefix = "" };
  GByteArray *bytes = iv_tombstone_encode (&tombstone);
  set_configuration (without_workspaces);
  for (guint i = 0; iv_tombstones_count (iv_job_table_tombstones (job_table)) < IV_TOMBSTONES_MAX;
       i++)
    {
      char key[64];
      g_snprintf (key, sizeof key, "%016x" IV_KEY_TOMBSTONE "1", 0x10000 + i);
      iv_job_table_apply (job_table, key, bytes->data, bytes->len);
    }
  assert_int_equal (status_of ("DELETE", "/q/00000000000000e9", NULL), 503);
  iv_job_table_apply (job_table, "0000000000010000" IV_KEY_TOMBSTONE "1", NULL, 0);
  assert_int_equal (status_of ("DELETE", "/q/00000000000000e9", NULL), 410);
  g_byte_array_unref (bytes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_host_without_a_configuration),
    cmocka_unit_test (test_no_workspaces_no_keys),
    cmocka_unit_test (test_nothing_is_told_without_a_key),
    cmocka_unit_test (test_job_belongs_to_its_workspace),
    cmocka_unit_test (test_same_id_at_the_same_time),
    cmocka_unit_test (test_public_queue),
    cmocka_unit_test (test_key_removed_while_a_request_waits),
    cmocka_unit_test (test_storm_of_removed_keys),
    cmocka_unit_test (test_host_cut_off_from_the_store),
    cmocka_unit_test (test_no_key_is_logged),
    cmocka_unit_test (test_cancelled_before_it_is_stored),
    cmocka_unit_test_teardown (test_cancelled_while_it_is_appended, end_disruptions),
    cmocka_unit_test (test_cancelled_by_another_workspace),
    cmocka_unit_test_teardown (test_no_refusal_of_what_may_be_stored, end_disruptions),
    cmocka_unit_test_teardown (test_unsent_submission_is_withdrawn, end_disruptions),
    cmocka_unit_test (test_cancellations_of_unknown_ids_are_limited),
  };
  log_lines = g_string_new (NULL);
  g_log_set_writer_func (collect_line, NULL, NULL);
  return cmocka_run_group_tests (tests, set_up, NULL);
}
