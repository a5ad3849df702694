#include "front_task.h"

#include "access.h"
#include "clock.h"
#include "counter.h"
#include "event.h"
#include "histogram.h"
#include "names.h"
#include "retry_advice.h"

#include <stdlib.h>
#include <string.h>

#define WAIT_DEFAULT_MS 3000   /* for requests without a wait time */
#define RESPONSE_MARGIN_MS 150 /* for the response to reach the caller */
#define RETRY_STORE_S "1"      /* outages of the store last seconds */
#define RETRY_CAPACITY_S "5"   /* capacity is freed when long-running jobs are cancelled */
#define RETRY_TEXT_SIZE 12
/* Hosts that own no cell read the jobs only now and then: a state older than this is read again
   before a caller is told... */
#define STATE_MAX_AGE_MS 50
#define STATE_WAIT_MS 300 /* ...unless that takes longer */
#define BODY_BYTES_MAX (512 * 1024)

struct iv_front_task
{
  struct iv_front_task_deps deps;
  struct iv_http_server *server;
  struct iv_http_server *ready_server;
  gboolean unready;
  GHashTable *pending_submissions; /* job id to struct store_wait of its first submission */
};

/* What a request waits for: a read, or the append of its record. */
enum store_wait_kind
{
  WAIT_READ,
  WAIT_SUBMISSION,
  WAIT_REPEAT, /* the append of the first submission of the same job */
  WAIT_CANCEL,
  WAIT_TOMBSTONE /* a cancellation of an id that no job is known for */
};

/* A request that waits for the store. A stored record takes effect only when it comes back through
   the stream, like records of other hosts: an owner that was replaced meanwhile then reads the
   claim of the next owner first. */
struct store_wait
{
  struct iv_front_task *task;
  struct iv_http_request *request; /* NULL once answered */
  struct iv_access_caller caller;  /* as identified when the request arrived */
  char *workspace;                 /* storage of `caller.workspace` */
  struct iv_deadline deadline;
  char id[IV_JOB_ID_LEN + 1];
  enum store_wait_kind kind;
  gboolean shows_state;     /* at the deadline, the state last read is told */
  gboolean outcome_unknown; /* reported so; the record may still be stored */
  gint64 since_ms;
  struct store_wait *first; /* whose repeat this is */
  GPtrArray *repeats; /* of struct store_wait: submissions of the same job since; NULL: none */
};

static void
respond (struct iv_http_request *request, int status, const char *json)
{
  iv_http_respond (request, status, "application/json", NULL, json, strlen (json));
}

static void
respond_reason (struct iv_http_request *request, int status, const char *reason,
                const struct iv_http_header *headers)
{
  char *json = g_strdup_printf ("{\"reason\":\"%s\"}", reason);
  iv_http_respond (request, status, "application/json", headers, json, strlen (json));
  g_free (json);
}

static void
reject_with_retry (struct iv_http_request *request, int status, const char *id, const char *reason,
                   const char *retry_s)
{
  const struct iv_http_header retry_headers[] = { { "Retry-After", retry_s }, { NULL, NULL } };
  iv_event (status == 404 || status == 410 ? IV_LEVEL_DEBUG : IV_LEVEL_INFO, "request.refused",
            "job=%s status=%d retry_s=%s reason=%s", *id ? id : "-", status,
            retry_s ? retry_s : "-", iv_quote (reason));
  respond_reason (request, status, reason, retry_s ? retry_headers : NULL);
}

static void
reject (struct iv_http_request *request, int status, const char *id, const char *reason)
{
  reject_with_retry (request, status, id, reason, status == 503 ? RETRY_STORE_S : NULL);
}

/* The text of Retry-After: @a advice_s, or @a constant where advice is off. */
static const char *
format_retry (const struct iv_front_task *task, guint advice_s, const char *constant,
              char text[RETRY_TEXT_SIZE])
{
  if (!task->deps.settings->fleet.retry_advice)
    return constant;
  g_snprintf (text, RETRY_TEXT_SIZE, "%u", advice_s);
  iv_histogram_add (
      iv_histogram_get ("ibisvane_retry_advice_ms", "Advised time until a retry, in ms."),
      (gint64)advice_s * 1000);
  return text;
}

static gboolean
is_submission (const struct iv_http_request *request)
{
  return strcmp (iv_http_method (request), "POST") == 0;
}

/* Status of a refusal for a reason that passes. 503 tells the caller of a submission that its job
   never runs, which this host cannot know: another one may have accepted it, or may still be
   appending it. */
static int
refusal_status (const struct iv_http_request *request)
{
  return is_submission (request) ? 504 : 503;
}

static void
reject_unavailable (const struct iv_front_task *task, struct iv_http_request *request,
                    const char *id)
{
  gint64 lasted_ms = MAX (iv_recorder_unreachable_ms (task->deps.recorder),
                          iv_stream_unreachable_ms (task->deps.jobs));
  guint advice_s = iv_retry_after_outage_s (lasted_ms, g_random_double ());
  char text[RETRY_TEXT_SIZE];
  reject_with_retry (request, refusal_status (request), id, "the store is not available",
                     format_retry (task, advice_s, RETRY_STORE_S, text));
}

/* A load that the store interrupts ends no earlier than the outage. */
static void
reject_starting (const struct iv_front_task *task, struct iv_http_request *request)
{
  struct iv_stream_progress progress = iv_stream_load_progress (task->deps.jobs);
  gint64 lasted_ms = iv_stream_unreachable_ms (task->deps.jobs);
  gboolean configured = task->deps.routes (task->deps.context) != NULL;
  int status = configured ? refusal_status (request) : 503; /* as the platform asks */
  double random = g_random_double ();
  char text[RETRY_TEXT_SIZE];
  guint advice_s = lasted_ms > 0 ? iv_retry_after_outage_s (lasted_ms, random)
                                 : iv_retry_after_loading_s (progress.lasted_ms, progress.loaded,
                                                             progress.total, random);
  reject_with_retry (request, status, "", "starting",
                     format_retry (task, advice_s, RETRY_STORE_S, text));
}

static void
reject_no_capacity (const struct iv_front_task *task, struct iv_http_request *request,
                    const char *id)
{
  guint advice_s = iv_retry_after_capacity_s (g_random_double ());
  char text[RETRY_TEXT_SIZE];
  reject_with_retry (request, refusal_status (request), id, "no room for more that lasts",
                     format_retry (task, advice_s, RETRY_CAPACITY_S, text));
}

static void
count_access (enum iv_access verdict)
{
  char *label = g_strdup_printf ("verdict=\"%s\"", iv_access_name (verdict));
  iv_counter_add (
      iv_counter_get ("ibisvane_access_total", label, "Requests that need a key, by verdict."), 1);
  g_free (label);
}

/* Whether @a verdict admits the request; if not, the request has been answered. The line names
   neither the key nor the workspace of the job. */
static gboolean
is_admitted (const struct iv_front_task *task, struct iv_http_request *request,
             const struct iv_access_caller *caller, const char *id, enum iv_access verdict)
{
  static const struct iv_http_header challenge[]
      = { { "WWW-Authenticate", "Bearer" }, { NULL, NULL } };
  static const struct iv_http_header retry[] = { { "Retry-After", RETRY_STORE_S }, { NULL, NULL } };
  const struct iv_http_header *const headers[] = { [IV_ACCESS_KEY_MISSING] = challenge,
                                                   [IV_ACCESS_KEY_MALFORMED] = challenge,
                                                   [IV_ACCESS_KEY_UNKNOWN] = challenge,
                                                   [IV_ACCESS_UNCONFIRMED] = retry,
                                                   [IV_ACCESS_VERDICTS] = NULL };
  const struct iv_routes *routes = task->deps.routes (task->deps.context);
  int status
      = verdict == IV_ACCESS_UNCONFIRMED ? refusal_status (request) : iv_access_status (verdict);
  if (routes->workspaces)
    count_access (verdict);
  if (verdict == IV_ACCESS_GRANTED)
    return TRUE;
  iv_event (IV_LEVEL_INFO, "access.refused",
            "job=%s verdict=%s status=%d workspace=%s version=%" G_GINT64_FORMAT
            " config_age_ms=%" G_GINT64_FORMAT,
            *id ? id : "-", iv_access_name (verdict), status,
            *caller->workspace ? iv_quote (caller->workspace) : "-", routes->version,
            task->deps.config_age_ms (task->deps.context));
  respond_reason (request, status, iv_access_reason (verdict), headers[verdict]);
  return FALSE;
}

static enum iv_access
job_access (const struct iv_front_task *task, const struct iv_access_caller *caller,
            const struct iv_job_entry *job)
{
  const struct iv_route *route
      = iv_routes_find (task->deps.routes (task->deps.context), job->spec.host, job->spec.prefix);
  return iv_access_to_job (caller, route && route->public_access, job->workspace);
}

static void
respond_state (struct iv_http_request *request, const struct iv_job_entry *job)
{
  char *json = iv_wire_encode_state (iv_job_state (job));
  respond (request, 200, json);
  g_free (json);
}

static gint64
deadline_of (const struct iv_front_task *task, const struct iv_http_request *request)
{
  const char *text = iv_http_request_header (request, IV_HEADER_WAIT_MS);
  gint64 wait = text ? g_ascii_strtoll (text, NULL, 10) : 0;
  if (wait <= 0 || wait > WAIT_DEFAULT_MS * 10)
    wait = WAIT_DEFAULT_MS;
  return (gint64)uv_now (task->deps.loop) + MAX (wait - RESPONSE_MARGIN_MS, wait / 2);
}

static void on_deadline (void *context);

static struct store_wait *
store_wait_new (struct iv_front_task *task, struct iv_http_request *request,
                const struct iv_access_caller *caller, const char *id, enum store_wait_kind kind)
{
  struct store_wait *store_wait = g_new0 (struct store_wait, 1);
  store_wait->task = task;
  store_wait->request = request;
  store_wait->kind = kind;
  store_wait->workspace = g_strdup (caller->workspace);
  store_wait->caller = *caller;
  store_wait->caller.workspace = store_wait->workspace;
  store_wait->since_ms = (gint64)uv_now (task->deps.loop);
  g_strlcpy (store_wait->id, id, sizeof store_wait->id);
  store_wait->deadline.fire = on_deadline;
  store_wait->deadline.context = store_wait;
  iv_deadline_set (task->deps.deadlines, &store_wait->deadline, deadline_of (task, request));
  return store_wait;
}

static void
store_wait_free (gpointer data)
{
  struct store_wait *store_wait = data;
  iv_deadline_unset (store_wait->task->deps.deadlines, &store_wait->deadline);
  if (store_wait->kind == WAIT_SUBMISSION)
    g_hash_table_remove (store_wait->task->pending_submissions, store_wait->id);
  if (store_wait->repeats)
    g_ptr_array_free (store_wait->repeats, TRUE);
  g_free (store_wait->workspace);
  g_free (store_wait);
}

static void
respond_stored (struct store_wait *store_wait, enum iv_status status)
{
  if (store_wait->request == NULL)
    return;
  if (status == IV_OK && store_wait->kind == WAIT_TOMBSTONE)
    reject (store_wait->request, 410, store_wait->id, "no such job");
  else if (status == IV_OK)
    respond (store_wait->request, 200, "{}");
  else if (status == IV_ERR_UNAVAILABLE)
    reject_unavailable (store_wait->task, store_wait->request, store_wait->id);
  else
    reject (store_wait->request, 504, store_wait->id, "the outcome is not known");
  store_wait->request = NULL;
}

static void
on_stored (void *context, enum iv_status status, gint64 end)
{
  static const char *const events[] = { [WAIT_SUBMISSION] = "job.accepted",
                                        [WAIT_CANCEL] = "job.cancel_stored",
                                        [WAIT_TOMBSTONE] = "job.tombstone_stored" };
  struct store_wait *store_wait = context;
  iv_event (IV_LEVEL_INFO, events[store_wait->kind],
            "job=%s outcome=%s offset=%" G_GINT64_FORMAT "%s%s", store_wait->id,
            iv_status_name (status), end, *store_wait->workspace ? " workspace=" : "",
            *store_wait->workspace ? iv_quote (store_wait->workspace) : "");
  iv_histogram_add (iv_histogram_get ("ibisvane_store_request_ms",
                                      "Time from a request to the store's response, in ms."),
                    (gint64)uv_now (store_wait->task->deps.loop) - store_wait->since_ms);
  respond_stored (store_wait, status);
  for (guint i = 0; store_wait->repeats && i < store_wait->repeats->len; i++)
    respond_stored (g_ptr_array_index (store_wait->repeats, i), status);
  store_wait->outcome_unknown = status == IV_ERR_TIMEOUT;
  if (!store_wait->outcome_unknown)
    store_wait_free (store_wait);
}

static gboolean
has_waiting_request (const struct store_wait *store_wait)
{
  for (guint i = 0; store_wait->repeats && i < store_wait->repeats->len; i++)
    if (((const struct store_wait *)g_ptr_array_index (store_wait->repeats, i))->request)
      return TRUE;
  return store_wait->request != NULL;
}

static void
on_deadline (void *context)
{
  struct store_wait *store_wait = context;
  struct iv_front_task *task = store_wait->task;
  struct store_wait *submission = store_wait->kind == WAIT_REPEAT ? store_wait->first : store_wait;
  struct iv_http_request *request = store_wait->request;
  const struct iv_job_entry *job = iv_job_table_find (task->deps.job_table, store_wait->id);
  store_wait->request = NULL;
  if (request == NULL)
    return;
  if (store_wait->shows_state && job)
    respond_state (request, job);
  else
    reject (request, 504, store_wait->id, "the store has not answered: the outcome is not known");
  /* The caller that was told 504 last may submit the job anew, or cancel it. */
  if (submission->kind == WAIT_SUBMISSION && !has_waiting_request (submission)
      && iv_recorder_withdraw (task->deps.recorder, on_stored, submission))
    {
      iv_event (IV_LEVEL_INFO, "job.withdrawn_unstored", "job=%s", submission->id);
      store_wait_free (submission);
    }
}

/* The last append did not reach the store and a retry is in progress: a new record would only queue
   behind it. */
static gboolean
store_is_unreachable (const struct iv_front_task *task)
{
  return iv_recorder_store_unreachable (task->deps.recorder)
         && iv_recorder_append_pending (task->deps.recorder);
}

/* Records the policy of the queue with the first job that is accepted under it. */
static void
record_queue (struct iv_front_task *task, const struct iv_route *route)
{
  const struct iv_queue_policy policy = iv_route_policy (route);
  GByteArray *bytes;
  char *key;
  if (iv_queues_has (task->deps.queues, route->host, route->prefix, &policy))
    return;
  bytes = iv_queues_encode (route->host, route->prefix, &policy, &key);
  if (bytes)
    {
      iv_recorder_add (task->deps.recorder, key, bytes->data, bytes->len, NULL, NULL);
      g_byte_array_free (bytes, TRUE);
    }
  g_free (key);
}

static void
store_job (struct iv_front_task *task, struct iv_http_request *request,
           const struct iv_access_caller *caller, const char *id, const struct iv_route *route,
           ivj_job *job)
{
  struct store_wait *store_wait;
  GByteArray *bytes;
  free (job->host);
  free (job->prefix);
  job->host = strdup (route->host);
  job->prefix = strdup (route->prefix);
  job->accepted_ms = iv_clock_wall_ms ();
  bytes = iv_job_encode_spec (job, caller->workspace);
  if (bytes == NULL)
    {
      reject (request, 413, id, "the job is too large");
      return;
    }
  record_queue (task, route);
  store_wait = store_wait_new (task, request, caller, id, WAIT_SUBMISSION);
  g_hash_table_insert (task->pending_submissions, store_wait->id, store_wait);
  iv_recorder_add (task->deps.recorder, id, bytes->data, bytes->len, on_stored, store_wait);
  g_byte_array_free (bytes, TRUE);
}

static gboolean
has_capacity (const struct iv_front_task *task, const struct iv_access_caller *caller,
              const char *id, const ivj_job *spec)
{
  struct iv_job_entry job = { .spec = *spec, .moved_to = -1, .workspace = caller->workspace };
  g_strlcpy (job.id, id, sizeof job.id);
  return task->deps.has_capacity (task->deps.context, &job);
}

/* The first submission of the same job may still be stored: only its outcome answers this one. */
static void
submit_again (struct iv_front_task *task, struct iv_http_request *request,
              const struct iv_access_caller *caller, struct store_wait *first)
{
  enum iv_access access
      = iv_access_to_job (caller, first->caller.public_access, first->caller.workspace);
  struct store_wait *repeat;
  if (!is_admitted (task, request, caller, first->id, access))
    return;
  if (first->outcome_unknown)
    {
      reject_unavailable (task, request, first->id);
      return;
    }
  repeat = store_wait_new (task, request, caller, first->id, WAIT_REPEAT);
  repeat->first = first;
  if (first->repeats == NULL)
    first->repeats = g_ptr_array_new_with_free_func (store_wait_free);
  g_ptr_array_add (first->repeats, repeat);
}

static void
submit (struct iv_front_task *task, struct iv_http_request *request,
        const struct iv_access_caller *caller, const char *id, const struct iv_route *route)
{
  struct store_wait *first = g_hash_table_lookup (task->pending_submissions, id);
  const struct iv_job_entry *known = iv_job_table_find (task->deps.job_table, id);
  const char *body;
  gsize len;
  ivj_job job;
  if (known)
    {
      if (is_admitted (task, request, caller, id, job_access (task, caller, known)))
        respond (request, 200, "{}");
      return;
    }
  if (first)
    {
      submit_again (task, request, caller, first);
      return;
    }
  body = iv_http_body (request, &len);
  if (iv_wire_parse_job (body, len, &job) != IV_OK)
    reject (request, 400, id, iv_last_message ());
  else if (store_is_unreachable (task))
    reject_unavailable (task, request, id);
  else if (!has_capacity (task, caller, id, &job))
    reject_no_capacity (task, request, id);
  else
    store_job (task, request, caller, id, route, &job);
  xdr_free ((xdrproc_t)xdr_ivj_job, (char *)&job);
}

static void
store_cancel (struct iv_front_task *task, struct iv_http_request *request,
              const struct iv_access_caller *caller, const char *id, enum store_wait_kind kind,
              const char *key, const void *value, gsize len)
{
  struct store_wait *store_wait;
  if (store_is_unreachable (task))
    {
      reject_unavailable (task, request, id);
      return;
    }
  store_wait = store_wait_new (task, request, caller, id, kind);
  iv_recorder_add (task->deps.recorder, key, value, len, on_stored, store_wait);
}

static void
cancel (struct iv_front_task *task, struct iv_http_request *request,
        const struct iv_access_caller *caller, const struct iv_job_entry *job)
{
  char key[IV_JOB_ID_LEN + 8];
  if (iv_job_state_is_final (iv_job_state (job)))
    {
      respond (request, 200, "{}");
      return;
    }
  g_snprintf (key, sizeof key, "%s" IV_KEY_CANCEL, job->id);
  store_cancel (task, request, caller, job->id, WAIT_CANCEL, key, "1", 1);
}

/* No job of this id is stored, but one may be yet. */
static void
cancel_unknown (struct iv_front_task *task, struct iv_http_request *request,
                const struct iv_access_caller *caller, const char *id)
{
  const struct iv_route *route = iv_routes_match (task->deps.routes (task->deps.context),
                                                  iv_http_host (request), iv_http_path (request));
  gboolean is_public = caller->public_access && route && route->public_access;
  const ivj_tombstone tombstone = { .workspace = (char *)caller->workspace,
                                    .host = is_public ? route->host : (char *)"",
                                    .prefix = is_public ? route->prefix : (char *)"",
                                    .cancelled_ms = iv_clock_wall_ms () };
  GByteArray *bytes = iv_tombstone_encode (&tombstone);
  char *key = iv_tombstone_format_key (id);
  if (bytes == NULL
      || iv_tombstones_count (iv_job_table_tombstones (task->deps.job_table)) >= IV_TOMBSTONES_MAX)
    reject (request, 503, id, "too many cancellations of unknown jobs");
  else
    store_cancel (task, request, caller, id, WAIT_TOMBSTONE, key, bytes->data, bytes->len);
  g_clear_pointer (&bytes, g_byte_array_unref);
  g_free (key);
}

static void
serve_known (struct store_wait *store_wait, struct iv_job_entry *job)
{
  struct iv_front_task *task = store_wait->task;
  struct iv_http_request *request = store_wait->request;
  const struct iv_access_caller *caller = &store_wait->caller;
  if (!is_admitted (task, request, caller, job->id, job_access (task, caller, job)))
    return;
  if (strcmp (iv_http_method (request), "DELETE") == 0)
    cancel (task, request, caller, job);
  else
    respond_state (request, job);
}

static void
on_caught_up (void *context)
{
  struct store_wait *store_wait = context;
  struct iv_job_entry *job = iv_job_table_find (store_wait->task->deps.job_table, store_wait->id);
  if (store_wait->request && job)
    serve_known (store_wait, job);
  else if (store_wait->request && strcmp (iv_http_method (store_wait->request), "DELETE") == 0)
    cancel_unknown (store_wait->task, store_wait->request, &store_wait->caller, store_wait->id);
  else if (store_wait->request)
    reject (store_wait->request, 410, store_wait->id, "no such job");
  store_wait_free (store_wait);
}

/* Whether the state of @a job, as last read, may have changed since, and can be read again. */
static gboolean
is_state_old (const struct iv_front_task *task, const struct iv_job_entry *job)
{
  return !iv_job_state_is_final (iv_job_state (job))
         && iv_stream_age_ms (task->deps.jobs) > STATE_MAX_AGE_MS
         && !iv_stream_is_unreachable (task->deps.jobs);
}

static void
show_state (struct iv_front_task *task, struct iv_http_request *request,
            const struct iv_access_caller *caller, const struct iv_job_entry *job)
{
  struct store_wait *store_wait;
  if (!is_state_old (task, job))
    {
      respond_state (request, job);
      return;
    }
  store_wait = store_wait_new (task, request, caller, job->id, WAIT_READ);
  store_wait->shows_state = TRUE;
  iv_deadline_set (task->deps.deadlines, &store_wait->deadline,
                   MIN (store_wait->deadline.at_ms, store_wait->since_ms + STATE_WAIT_MS));
  iv_stream_barrier (task->deps.jobs, on_caught_up, store_wait);
}

/* Only a read sent after the request can prove that the job does not exist. */
static void
look_up (struct iv_front_task *task, struct iv_http_request *request,
         const struct iv_access_caller *caller, const char *id)
{
  struct iv_job_entry *job = iv_job_table_find (task->deps.job_table, id);
  if (job == NULL)
    {
      iv_stream_barrier (task->deps.jobs, on_caught_up,
                         store_wait_new (task, request, caller, id, WAIT_READ));
      return;
    }
  if (!is_admitted (task, request, caller, id, job_access (task, caller, job)))
    return;
  if (strcmp (iv_http_method (request), "GET") == 0)
    show_state (task, request, caller, job);
  else
    cancel (task, request, caller, job);
}

static void
serve_queue (struct iv_front_task *task, struct iv_http_request *request,
             const struct iv_route *route)
{
  char *json = iv_wire_encode_pending (
      iv_job_table_pending (task->deps.job_table, route->host, route->prefix));
  respond (request, 200, json);
  g_free (json);
}

static void
serve (struct iv_front_task *task, struct iv_http_request *request,
       const struct iv_access_caller *caller, const struct iv_route *route, const char *rest,
       const char *id)
{
  const char *method = iv_http_method (request);
  if (strcspn (rest, "?") == 0 && strcmp (method, "GET") == 0)
    {
      serve_queue (task, request, route);
      return;
    }
  if (*id == '\0')
    {
      reject (request, 404, "", "no such job or queue");
      return;
    }
  if (strcmp (method, "POST") == 0)
    submit (task, request, caller, id, route);
  else if (strcmp (method, "GET") == 0 || strcmp (method, "DELETE") == 0)
    look_up (task, request, caller, id);
  else
    reject (request, 405, id, "method not allowed");
}

static void
identify (const struct iv_front_task *task, const struct iv_http_request *request,
          const struct iv_route *route, struct iv_access_caller *caller)
{
  const struct iv_access_request access
      = { .workspaces = task->deps.routes (task->deps.context)->workspaces,
          .public_access = route->public_access,
          .authorization = iv_http_request_header (request, "authorization"),
          .config_age_ms = task->deps.config_age_ms (task->deps.context),
          .config_age_max_ms = task->deps.settings->fleet.revoke_ms };
  iv_access_identify (&access, caller);
}

/* Admits callers to the queue, and counts those who showed a key for that. */
static gboolean
admit (const struct iv_front_task *task, struct iv_http_request *request,
       const struct iv_access_caller *caller, const char *id)
{
  if (!is_admitted (task, request, caller, id, iv_access_to_queue (caller)))
    return FALSE;
  if (!caller->public_access && *caller->workspace)
    count_access (IV_ACCESS_GRANTED);
  return TRUE;
}

static void
on_request (void *context, struct iv_http_request *request)
{
  struct iv_front_task *task = context;
  const struct iv_routes *routes = task->deps.routes (task->deps.context);
  const char *path = iv_http_path (request);
  const struct iv_route *route;
  const char *rest;
  struct iv_access_caller caller;
  char id[IV_JOB_ID_LEN + 1] = "";
  if (routes == NULL || !iv_stream_loaded (task->deps.jobs))
    {
      reject_starting (task, request);
      return;
    }
  route = iv_routes_match (routes, iv_http_host (request), path);
  if (route == NULL)
    {
      reject (request, 404, "", "no such queue");
      return;
    }
  rest = path + strlen (route->prefix);
  if (iv_job_id_valid (rest, strcspn (rest, "?")))
    g_strlcpy (id, rest, sizeof id);
  identify (task, request, route, &caller);
  if (admit (task, request, &caller, id))
    serve (task, request, &caller, route, rest, id);
}

static void
on_ready (void *context, struct iv_http_request *request)
{
  struct iv_front_task *task = context;
  gboolean ready = !task->unready && task->deps.routes (task->deps.context) != NULL
                   && iv_stream_loaded (task->deps.jobs);
  respond (request, ready ? 200 : 503, "{}");
}

static struct iv_http_server *
listen_on (struct iv_front_task *task, const char *address, iv_http_handler handler)
{
  const struct iv_limit_settings *settings = &task->deps.settings->limits;
  struct iv_http_limits limits = { .body_bytes_max = BODY_BYTES_MAX,
                                   .requests_max = (guint)settings->requests,
                                   .overload_status = 504, /* see refusal_status() */
                                   .connections_max = (guint)settings->connections,
                                   .request_read_timeout_ms = settings->read_timeout_ms };
  char ip[64];
  guint16 port;
  if (!iv_parse_address (address, ip, &port))
    return NULL;
  return iv_http_server_new (task->deps.loop, ip, port, &limits, handler, task);
}

struct iv_front_task *
iv_front_task_new (const struct iv_front_task_deps *deps)
{
  struct iv_front_task *task = g_new0 (struct iv_front_task, 1);
  task->deps = *deps;
  task->pending_submissions = g_hash_table_new (g_str_hash, g_str_equal);
  task->server = listen_on (task, deps->settings->fleet.jobs, on_request);
  if (task->server)
    task->ready_server = listen_on (task, deps->settings->fleet.ready, on_ready);
  if (task->ready_server)
    return task;
  g_hash_table_destroy (task->pending_submissions);
  g_free (task);
  return NULL;
}

void
iv_front_task_set_unready (struct iv_front_task *task)
{
  task->unready = TRUE;
}

void
iv_front_task_stop (struct iv_front_task *task)
{
  iv_http_server_stop (task->server);
}

guint
iv_front_task_pending (const struct iv_front_task *task)
{
  return iv_http_server_pending (task->server);
}
