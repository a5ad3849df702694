#include "front_task.h"

#include "clock.h"
#include "event.h"
#include "histogram.h"
#include "names.h"

#include <stdlib.h>
#include <string.h>

#define WAIT_FALLBACK_MS 3000 /* for callers that name no deadline */
#define WAIT_SLACK_MS 150     /* for the answer to travel */
#define RETRY_STORE_S "1"     /* the store is away for seconds */
#define RETRY_ROOM_S "5"      /* room comes free when jobs that last are cancelled */
#define BODY_MAX (512 * 1024)

struct iv_front_task
{
  struct iv_front_links links;
  struct iv_http_server *server;
  struct iv_http_server *ready_server;
  gboolean unready;
  GHashTable *accepting; /* id to struct waiting: the one that stores it */
};

/* A request whose answer waits for the store. What is stored here is folded by the stream, like
   what others store: an owner that was replaced meanwhile reads the claim of its successor before.
 */
struct waiting
{
  struct iv_front_task *task;
  struct iv_http_request *request; /* NULL once it is answered */
  struct iv_deadline deadline;
  char id[IV_JOB_ID_LEN + 1];
  gboolean cancel;
  gint64 since_ms;
  GPtrArray *others; /* of struct waiting: the same job handed in again meanwhile */
};

static void
answer (struct iv_http_request *request, int status, const char *json)
{
  iv_http_respond (request, status, "application/json", NULL, json, strlen (json));
}

static void
refuse_until (struct iv_http_request *request, int status, const char *id, const char *reason,
              const char *retry_s)
{
  const struct iv_http_header later[] = { { "Retry-After", retry_s }, { NULL, NULL } };
  char *json = g_strdup_printf ("{\"reason\":\"%s\"}", reason);
  iv_event (status == 404 || status == 410 ? IV_LEVEL_DEBUG : IV_LEVEL_INFO, "request.refused",
            "job=%s status=%d retry_s=%s reason=%s", *id ? id : "-", status,
            retry_s ? retry_s : "-", iv_quote (reason));
  iv_http_respond (request, status, "application/json", retry_s ? later : NULL, json,
                   strlen (json));
  g_free (json);
}

static void
refuse (struct iv_http_request *request, int status, const char *id, const char *reason)
{
  refuse_until (request, status, id, reason, status == 503 ? RETRY_STORE_S : NULL);
}

static void
on_deadline (void *context)
{
  struct waiting *waiting = context;
  struct iv_http_request *request = waiting->request;
  waiting->request = NULL;
  refuse (request, 504, waiting->id, "the store has not answered: the outcome is not known");
}

static gint64
deadline_of (const struct iv_front_task *task, const struct iv_http_request *request)
{
  const char *text = iv_http_request_header (request, IV_HEADER_WAIT_MS);
  gint64 wait = text ? g_ascii_strtoll (text, NULL, 10) : 0;
  if (wait <= 0 || wait > WAIT_FALLBACK_MS * 10)
    wait = WAIT_FALLBACK_MS;
  return (gint64)uv_now (task->links.loop) + MAX (wait - WAIT_SLACK_MS, wait / 2);
}

static struct waiting *
wait_new (struct iv_front_task *task, struct iv_http_request *request, const char *id)
{
  struct waiting *waiting = g_new0 (struct waiting, 1);
  waiting->task = task;
  waiting->request = request;
  waiting->since_ms = (gint64)uv_now (task->links.loop);
  g_strlcpy (waiting->id, id, sizeof waiting->id);
  waiting->deadline.fire = on_deadline;
  waiting->deadline.context = waiting;
  iv_deadline_set (task->links.deadlines, &waiting->deadline, deadline_of (task, request));
  return waiting;
}

static void
wait_free (struct waiting *waiting)
{
  iv_deadline_unset (waiting->task->links.deadlines, &waiting->deadline);
  if (waiting->others)
    g_ptr_array_free (waiting->others, TRUE);
  g_free (waiting);
}

static void
answer_stored (struct waiting *waiting, enum iv_status status)
{
  if (waiting->request == NULL)
    return;
  if (status == IV_OK)
    answer (waiting->request, 200, "{}");
  else if (status == IV_ERR_UNAVAILABLE)
    refuse (waiting->request, 503, waiting->id, "the store is not available");
  else
    refuse (waiting->request, 504, waiting->id, "the outcome is not known");
  waiting->request = NULL;
}

static void
on_stored (void *context, enum iv_status status, gint64 end)
{
  struct waiting *waiting = context;
  iv_event (IV_LEVEL_INFO, waiting->cancel ? "job.cancel_stored" : "job.accepted",
            "job=%s outcome=%s offset=%" G_GINT64_FORMAT, waiting->id, iv_status_name (status),
            end);
  iv_histogram_add (iv_histogram_get ("ibisvane_store_request_ms",
                                      "From a request to the store's answer for it."),
                    (gint64)uv_now (waiting->task->links.loop) - waiting->since_ms);
  answer_stored (waiting, status);
  for (guint i = 0; waiting->others && i < waiting->others->len; i++)
    {
      struct waiting *other = g_ptr_array_index (waiting->others, i);
      answer_stored (other, status);
      wait_free (other);
    }
  if (!waiting->cancel)
    g_hash_table_remove (waiting->task->accepting, waiting->id);
  wait_free (waiting);
}

/* While the newest append found no store and another one tries, a request would only wait. */
static gboolean
store_is_down (const struct iv_front_task *task)
{
  return iv_recorder_down (task->links.recorder) && iv_recorder_busy (task->links.recorder);
}

static void
store_job (struct iv_front_task *task, struct iv_http_request *request, const char *id,
           const struct iv_route *route, ivj_job *job)
{
  struct waiting *waiting;
  GByteArray *bytes;
  free (job->host);
  free (job->prefix);
  job->host = strdup (route->host);
  job->prefix = strdup (route->prefix);
  job->accepted_ms = iv_clock_wall_ms ();
  bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_job, job, IV_RECORD_MAX_BYTES);
  if (bytes == NULL)
    {
      refuse (request, 413, id, "the job is too large");
      return;
    }
  waiting = wait_new (task, request, id);
  g_hash_table_insert (task->accepting, waiting->id, waiting);
  iv_recorder_add (task->links.recorder, id, bytes->data, bytes->len, on_stored, waiting);
  g_byte_array_free (bytes, TRUE);
}

static gboolean
has_room (const struct iv_front_task *task, const char *id, const ivj_job *spec)
{
  struct iv_job_entry job = { .spec = *spec, .moved_to = -1 };
  g_strlcpy (job.id, id, sizeof job.id);
  return task->links.has_room (task->links.context, &job);
}

static void
submit (struct iv_front_task *task, struct iv_http_request *request, const char *id,
        const struct iv_route *route)
{
  struct waiting *first = g_hash_table_lookup (task->accepting, id);
  const char *body;
  gsize len;
  ivj_job job;
  if (iv_job_table_find (task->links.job_table, id))
    {
      answer (request, 200, "{}");
      return;
    }
  if (first)
    {
      if (first->others == NULL)
        first->others = g_ptr_array_new ();
      g_ptr_array_add (first->others, wait_new (task, request, id));
      return;
    }
  body = iv_http_body (request, &len);
  if (iv_wire_parse_job (body, len, &job) != IV_OK)
    refuse (request, 400, id, iv_last_message ());
  else if (store_is_down (task))
    refuse (request, 503, id, "the store is not available");
  else if (!has_room (task, id, &job))
    refuse_until (request, 503, id, "no room for more that lasts", RETRY_ROOM_S);
  else
    store_job (task, request, id, route, &job);
  xdr_free ((xdrproc_t)xdr_ivj_job, (char *)&job);
}

static void
tell_state (struct iv_http_request *request, const struct iv_job_entry *job)
{
  char *json = iv_wire_encode_state (iv_job_state (job));
  answer (request, 200, json);
  g_free (json);
}

static void
cancel (struct iv_front_task *task, struct iv_http_request *request, const struct iv_job_entry *job)
{
  struct waiting *waiting;
  char key[IV_JOB_ID_LEN + 8];
  if (iv_job_state_is_final (iv_job_state (job)))
    {
      answer (request, 200, "{}");
      return;
    }
  if (store_is_down (task))
    {
      refuse (request, 503, job->id, "the store is not available");
      return;
    }
  waiting = wait_new (task, request, job->id);
  waiting->cancel = TRUE;
  g_snprintf (key, sizeof key, "%s" IV_KEY_CANCEL, job->id);
  iv_recorder_add (task->links.recorder, key, "1", 1, on_stored, waiting);
}

static void
serve_known (struct iv_front_task *task, struct iv_http_request *request, struct iv_job_entry *job)
{
  if (strcmp (iv_http_method (request), "DELETE") == 0)
    cancel (task, request, job);
  else
    tell_state (request, job);
}

static void
on_fresh (void *context)
{
  struct waiting *waiting = context;
  struct iv_job_entry *job = iv_job_table_find (waiting->task->links.job_table, waiting->id);
  if (waiting->request)
    {
      if (job)
        serve_known (waiting->task, waiting->request, job);
      else
        refuse (waiting->request, 410, waiting->id, "no such job");
    }
  wait_free (waiting);
}

/* Only a read that is newer than the request can tell that there is no such job. */
static void
look_up (struct iv_front_task *task, struct iv_http_request *request, const char *id)
{
  struct iv_job_entry *job = iv_job_table_find (task->links.job_table, id);
  if (job)
    serve_known (task, request, job);
  else
    iv_stream_barrier (task->links.jobs, on_fresh, wait_new (task, request, id));
}

static void
serve_queue (struct iv_front_task *task, struct iv_http_request *request,
             const struct iv_route *route)
{
  char *json = iv_wire_encode_pending (
      iv_job_table_pending (task->links.job_table, route->host, route->prefix));
  answer (request, 200, json);
  g_free (json);
}

static void
serve (struct iv_front_task *task, struct iv_http_request *request, const struct iv_route *route,
       const char *rest)
{
  const char *method = iv_http_method (request);
  gsize len = strcspn (rest, "?");
  char id[IV_JOB_ID_LEN + 1] = "";
  if (len == 0 && strcmp (method, "GET") == 0)
    {
      serve_queue (task, request, route);
      return;
    }
  if (!iv_job_id_valid (rest, len))
    {
      refuse (request, 404, "", "no such job or queue");
      return;
    }
  g_strlcpy (id, rest, sizeof id);
  if (strcmp (method, "POST") == 0)
    submit (task, request, id, route);
  else if (strcmp (method, "GET") == 0 || strcmp (method, "DELETE") == 0)
    look_up (task, request, id);
  else
    refuse (request, 405, id, "method not allowed");
}

static void
on_request (void *context, struct iv_http_request *request)
{
  struct iv_front_task *task = context;
  const struct iv_routes *routes = task->links.routes (task->links.context);
  const char *path = iv_http_path (request);
  const struct iv_route *route;
  if (routes == NULL || !iv_stream_loaded (task->links.jobs))
    {
      refuse (request, 503, "", "starting");
      return;
    }
  route = iv_routes_match (routes, iv_http_host (request), path);
  if (route == NULL)
    refuse (request, 404, "", "no such queue");
  else
    serve (task, request, route, path + strlen (route->prefix));
}

static void
on_ready (void *context, struct iv_http_request *request)
{
  struct iv_front_task *task = context;
  gboolean ready = !task->unready && task->links.routes (task->links.context) != NULL
                   && iv_stream_loaded (task->links.jobs);
  answer (request, ready ? 200 : 503, "{}");
}

static struct iv_http_server *
listen_on (struct iv_front_task *task, const char *address, iv_http_handler handler)
{
  const struct iv_limit_settings *settings = &task->links.settings->limits;
  struct iv_http_limits limits = { .body_bytes_max = BODY_MAX,
                                   .requests_max = (guint)settings->requests,
                                   .connections_max = (guint)settings->connections,
                                   .request_read_timeout_ms = settings->read_timeout_ms };
  char ip[64];
  guint16 port;
  if (!iv_parse_address (address, ip, &port))
    return NULL;
  return iv_http_server_new (task->links.loop, ip, port, &limits, handler, task);
}

struct iv_front_task *
iv_front_task_new (const struct iv_front_links *links)
{
  struct iv_front_task *task = g_new0 (struct iv_front_task, 1);
  task->links = *links;
  task->accepting = g_hash_table_new (g_str_hash, g_str_equal);
  task->server = listen_on (task, links->settings->fleet.jobs, on_request);
  if (task->server)
    task->ready_server = listen_on (task, links->settings->fleet.ready, on_ready);
  if (task->ready_server)
    return task;
  g_hash_table_destroy (task->accepting);
  g_free (task);
  return NULL;
}

void
iv_front_task_unready (struct iv_front_task *task)
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
