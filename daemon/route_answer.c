#include "route_answer.h"

#include <stdio.h>
#include <string.h>

#define OUTCOME_HEADER "x-ibisvane-outcome"
#define HEADERS_MAX 64
#define CONTENT_TYPE_MAX 256

struct cache_entry
{
  struct iv_key key;
  struct iv_cached_response response;
};

struct iv_response_cache
{
  gsize bytes;
  gsize bytes_max;
  GHashTable *entries;
  GQueue *insertion_order;
};

static const char *const unforwarded_headers[]
    = { "connection",  "keep-alive", "transfer-encoding", "content-length", "content-type",
        "upgrade",     "te",         "trailer",           "server",         "date",
        OUTCOME_HEADER };

static void
free_entry (gpointer data)
{
  struct cache_entry *entry = data;
  g_bytes_unref (entry->response.body);
  g_free (entry->response.content_type);
  g_free (entry);
}

struct iv_response_cache *
iv_response_cache_new (gsize bytes_max)
{
  struct iv_response_cache *cache = g_new0 (struct iv_response_cache, 1);
  cache->bytes_max = bytes_max;
  cache->entries = g_hash_table_new_full (iv_key_hash, iv_key_equal, NULL, free_entry);
  cache->insertion_order = g_queue_new ();
  return cache;
}

void
iv_response_cache_add (struct iv_response_cache *cache, struct iv_key key,
                       const struct iv_http_response *response)
{
  struct cache_entry *entry;
  const char *content_type = iv_http_response_header (response, "content-type");
  if (g_hash_table_contains (cache->entries, &key))
    return;
  entry = g_new0 (struct cache_entry, 1);
  entry->key = key;
  entry->response.status = response->status;
  entry->response.content_type
      = g_strndup (content_type ? content_type : "application/octet-stream", CONTENT_TYPE_MAX);
  entry->response.body = g_bytes_new (response->body->data, response->body->len);
  g_hash_table_insert (cache->entries, &entry->key, entry);
  g_queue_push_tail (cache->insertion_order, entry);
  cache->bytes += response->body->len + sizeof *entry;
  while (cache->bytes > cache->bytes_max)
    {
      struct cache_entry *oldest = g_queue_pop_head (cache->insertion_order);
      cache->bytes -= g_bytes_get_size (oldest->response.body) + sizeof *oldest;
      g_hash_table_remove (cache->entries, &oldest->key);
    }
}

const struct iv_cached_response *
iv_response_cache_find (const struct iv_response_cache *cache, struct iv_key key)
{
  const struct cache_entry *entry = g_hash_table_lookup (cache->entries, &key);
  return entry ? &entry->response : NULL;
}

static gboolean
is_forwarded (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (unforwarded_headers); i++)
    if (strcmp (unforwarded_headers[i], name) == 0)
      return FALSE;
  return TRUE;
}

void
iv_respond_result (struct iv_http_request *request, const struct iv_http_response *response,
                   const char *traceparent)
{
  struct iv_http_header headers[HEADERS_MAX + 3]
      = { { OUTCOME_HEADER, "result" }, { "traceparent", traceparent } };
  guint count = 2;
  for (guint i = 0; i + 1 < response->headers->len && count < HEADERS_MAX; i += 2)
    {
      const char *name = g_ptr_array_index (response->headers, i);
      if (is_forwarded (name) && strcmp (name, "traceparent") != 0)
        headers[count++]
            = (struct iv_http_header){ name, g_ptr_array_index (response->headers, i + 1) };
    }
  iv_http_respond (request, response->status, iv_http_response_header (response, "content-type"),
                   headers, response->body->data, response->body->len);
}

void
iv_respond_cached (struct iv_http_request *request, const struct iv_cached_response *response)
{
  const struct iv_http_header headers[] = { { OUTCOME_HEADER, "result" }, { NULL, NULL } };
  gsize len;
  const void *body = g_bytes_get_data (response->body, &len);
  iv_http_respond (request, response->status, response->content_type, headers, body, len);
}

static void
respond_outcome (struct iv_http_request *request, int status, const char *outcome,
                 const char *value, const char *reason)
{
  const struct iv_http_header headers[] = { { OUTCOME_HEADER, value }, { NULL, NULL } };
  char *body = g_strdup_printf ("{\"outcome\":\"%s\",\"reason\":\"%s\"}\n", outcome, reason);
  iv_http_respond (request, status, "application/json", headers, body, strlen (body));
  g_free (body);
}

void
iv_respond_not_run (struct iv_http_request *request, int status, const char *reason)
{
  respond_outcome (request, status, "not_run", "not-run", reason);
}

void
iv_respond_may_have_run (struct iv_http_request *request, int status, const char *reason)
{
  respond_outcome (request, status, "may_have_run", "may-have-run", reason);
}

void
iv_cached_response_encode (const struct iv_cached_response *response, GByteArray *out)
{
  char *head = g_strdup_printf ("%d %s\n", response->status, response->content_type);
  gsize len;
  const void *body = g_bytes_get_data (response->body, &len);
  g_byte_array_append (out, (const guint8 *)head, (guint)strlen (head));
  g_byte_array_append (out, body, (guint)len);
  g_free (head);
}

gboolean
iv_respond_encoded (struct iv_http_request *request, const char *bytes, gsize len)
{
  const struct iv_http_header headers[] = { { OUTCOME_HEADER, "result" }, { NULL, NULL } };
  const char *line_end = len ? memchr (bytes, '\n', len) : NULL;
  char *line, content_type[CONTENT_TYPE_MAX + 1] = "";
  int status;
  gboolean ok;
  if (line_end == NULL)
    return FALSE;
  line = g_strndup (bytes, (gsize)(line_end - bytes));
  ok = sscanf (line, "%d %256[^\n]", &status, content_type) >= 1 && status >= 200 && status < 600;
  g_free (line);
  if (ok)
    iv_http_respond (request, status, content_type, headers, line_end + 1,
                     len - (gsize)(line_end + 1 - bytes));
  return ok;
}
