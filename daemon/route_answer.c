#include "route_answer.h"

#include <stdio.h>
#include <string.h>

#define OUTCOME_HEADER "x-ibisvane-outcome"
#define HEADERS_MAX 64
#define CONTENT_TYPE_MAX 256

struct row
{
  struct iv_key key;
  struct iv_kept_answer answer;
};

struct iv_kept_answers
{
  gsize bytes;
  gsize bytes_max;
  GHashTable *rows;
  GQueue *order;
};

static const char *const not_passed_on[]
    = { "connection",  "keep-alive", "transfer-encoding", "content-length", "content-type",
        "upgrade",     "te",         "trailer",           "server",         "date",
        OUTCOME_HEADER };

static void
free_row (gpointer data)
{
  struct row *row = data;
  g_bytes_unref (row->answer.body);
  g_free (row->answer.content_type);
  g_free (row);
}

struct iv_kept_answers *
iv_kept_answers_new (gsize bytes_max)
{
  struct iv_kept_answers *kept = g_new0 (struct iv_kept_answers, 1);
  kept->bytes_max = bytes_max;
  kept->rows = g_hash_table_new_full (iv_key_hash, iv_key_equal, NULL, free_row);
  kept->order = g_queue_new ();
  return kept;
}

void
iv_kept_answers_add (struct iv_kept_answers *kept, struct iv_key key,
                     const struct iv_http_response *reply)
{
  struct row *row;
  const char *type = iv_http_response_header (reply, "content-type");
  if (g_hash_table_contains (kept->rows, &key))
    return;
  row = g_new0 (struct row, 1);
  row->key = key;
  row->answer.status = reply->status;
  row->answer.content_type = g_strndup (type ? type : "application/octet-stream", CONTENT_TYPE_MAX);
  row->answer.body = g_bytes_new (reply->body->data, reply->body->len);
  g_hash_table_insert (kept->rows, &row->key, row);
  g_queue_push_tail (kept->order, row);
  kept->bytes += reply->body->len + sizeof *row;
  while (kept->bytes > kept->bytes_max)
    {
      struct row *oldest = g_queue_pop_head (kept->order);
      kept->bytes -= g_bytes_get_size (oldest->answer.body) + sizeof *oldest;
      g_hash_table_remove (kept->rows, &oldest->key);
    }
}

const struct iv_kept_answer *
iv_kept_answers_find (const struct iv_kept_answers *kept, struct iv_key key)
{
  const struct row *row = g_hash_table_lookup (kept->rows, &key);
  return row ? &row->answer : NULL;
}

static gboolean
is_passed_on (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (not_passed_on); i++)
    if (strcmp (not_passed_on[i], name) == 0)
      return FALSE;
  return TRUE;
}

void
iv_answer_result (struct iv_http_request *request, const struct iv_http_response *reply,
                  const char *traceparent)
{
  struct iv_http_header headers[HEADERS_MAX + 3]
      = { { OUTCOME_HEADER, "result" }, { "traceparent", traceparent } };
  guint count = 2;
  for (guint i = 0; i + 1 < reply->headers->len && count < HEADERS_MAX; i += 2)
    {
      const char *name = g_ptr_array_index (reply->headers, i);
      if (is_passed_on (name) && strcmp (name, "traceparent") != 0)
        headers[count++]
            = (struct iv_http_header){ name, g_ptr_array_index (reply->headers, i + 1) };
    }
  iv_http_respond (request, reply->status, iv_http_response_header (reply, "content-type"), headers,
                   reply->body->data, reply->body->len);
}

void
iv_answer_kept (struct iv_http_request *request, const struct iv_kept_answer *answer)
{
  const struct iv_http_header headers[] = { { OUTCOME_HEADER, "result" }, { NULL, NULL } };
  gsize len;
  const void *body = g_bytes_get_data (answer->body, &len);
  iv_http_respond (request, answer->status, answer->content_type, headers, body, len);
}

static void
answer_outcome (struct iv_http_request *request, int status, const char *outcome, const char *value,
                const char *reason)
{
  const struct iv_http_header headers[] = { { OUTCOME_HEADER, value }, { NULL, NULL } };
  char *body = g_strdup_printf ("{\"outcome\":\"%s\",\"reason\":\"%s\"}\n", outcome, reason);
  iv_http_respond (request, status, "application/json", headers, body, strlen (body));
  g_free (body);
}

void
iv_answer_not_run (struct iv_http_request *request, int status, const char *reason)
{
  answer_outcome (request, status, "not_run", "not-run", reason);
}

void
iv_answer_may_have_run (struct iv_http_request *request, int status, const char *reason)
{
  answer_outcome (request, status, "may_have_run", "may-have-run", reason);
}

void
iv_kept_answer_encode (const struct iv_kept_answer *answer, GByteArray *out)
{
  char *head = g_strdup_printf ("%d %s\n", answer->status, answer->content_type);
  gsize len;
  const void *body = g_bytes_get_data (answer->body, &len);
  g_byte_array_append (out, (const guint8 *)head, (guint)strlen (head));
  g_byte_array_append (out, body, (guint)len);
  g_free (head);
}

gboolean
iv_answer_encoded (struct iv_http_request *request, const char *bytes, gsize len)
{
  const struct iv_http_header headers[] = { { OUTCOME_HEADER, "result" }, { NULL, NULL } };
  const char *end = len ? memchr (bytes, '\n', len) : NULL;
  char *line, type[CONTENT_TYPE_MAX + 1] = "";
  int status;
  gboolean ok;
  if (end == NULL)
    return FALSE;
  line = g_strndup (bytes, (gsize)(end - bytes));
  ok = sscanf (line, "%d %256[^\n]", &status, type) >= 1 && status >= 200 && status < 600;
  g_free (line);
  if (ok)
    iv_http_respond (request, status, type, headers, end + 1, len - (gsize)(end + 1 - bytes));
  return ok;
}
