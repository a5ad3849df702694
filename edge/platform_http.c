#include "platform.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define ENTRY_HEADER_BYTES 12 /* offset (8 bytes) and length (4 bytes), big endian */
#define ENTRIES_MAX 4096      /* in one read; a response with more is rejected */

struct service
{
  struct iv_http_client *client;
  char *address;
  char *etag; /* of the last host list passed on; NULL before the first */
};

struct append_call
{
  iv_log_append_done done;
  void *context;
};

struct read_call
{
  iv_log_read_done done;
  void *context;
};

struct list_call
{
  struct service *service;
  iv_hosts_done done;
  void *context;
};

static guint64
read_be (const guint8 *bytes, guint count)
{
  guint64 value = 0;
  for (guint i = 0; i < count; i++)
    value = value << 8 | bytes[i];
  return value;
}

static void
on_appended (void *context, const struct iv_http_response *response)
{
  struct append_call *call = context;
  guint64 offset = 0;
  enum iv_status status = IV_ERR_TIMEOUT;
  const char *text = iv_http_response_header (response, "x-log-offset");
  if (response->result == IV_HTTP_NOT_SENT)
    status = iv_fail (IV_ERR_UNAVAILABLE, "the log cannot be reached: %s", response->reason);
  else if (response->result == IV_HTTP_COMPLETE && response->status == 201 && text
           && g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, &offset, NULL))
    status = IV_OK;
  else
    iv_fail (status, "the log did not confirm the append; it may have taken effect");
  call->done (call->context, status, offset);
  g_free (call);
}

static void
append (void *context, const char *stream, const guint8 *bytes, gsize len, gint64 deadline_ms,
        iv_log_append_done done, void *done_context)
{
  struct service *service = context;
  char *path = g_strdup_printf ("/streams/%s/records", stream);
  struct iv_http_call http = {
    .method = "POST", .path = path, .body = bytes, .body_len = len, .deadline_ms = deadline_ms
  };
  struct append_call *call = g_new (struct append_call, 1);
  call->done = done;
  call->context = done_context;
  iv_http_call (service->client, service->address, &http, on_appended, call);
  g_free (path);
}

static gboolean
parse_entries (const GByteArray *body, GArray *entries)
{
  gsize at = 0;
  while (at < body->len)
    {
      struct iv_log_entry entry;
      if (body->len - at < ENTRY_HEADER_BYTES || entries->len >= ENTRIES_MAX)
        return FALSE;
      entry.offset = read_be (body->data + at, 8);
      entry.len = read_be (body->data + at + 8, 4);
      entry.bytes = body->data + at + ENTRY_HEADER_BYTES;
      if (body->len - at - ENTRY_HEADER_BYTES < entry.len)
        return FALSE;
      at += ENTRY_HEADER_BYTES + entry.len;
      g_array_append_val (entries, entry);
    }
  return TRUE;
}

static gboolean
header_uint (const struct iv_http_response *response, const char *name, guint64 *value)
{
  const char *text = iv_http_response_header (response, name);
  return text && g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, value, NULL);
}

static void
on_read (void *context, const struct iv_http_response *response)
{
  struct read_call *call = context;
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (struct iv_log_entry));
  struct iv_log_read read = { .status = IV_ERR_UNAVAILABLE };
  if (response->result == IV_HTTP_COMPLETE && response->status == 200
      && header_uint (response, "x-log-first", &read.first)
      && header_uint (response, "x-log-end", &read.end) && parse_entries (response->body, entries))
    {
      read.status = IV_OK;
      read.entries = (struct iv_log_entry *)entries->data;
      read.count = entries->len;
    }
  call->done (call->context, &read);
  g_array_free (entries, TRUE);
  g_free (call);
}

static void
read_log (void *context, const char *stream, guint64 from, gint64 wait_ms, gint64 deadline_ms,
          iv_log_read_done done, void *done_context)
{
  struct service *service = context;
  char *path
      = g_strdup_printf ("/streams/%s/records?from=%" G_GUINT64_FORMAT "&wait_ms=%" G_GINT64_FORMAT,
                         stream, from, wait_ms);
  struct iv_http_call http = { .method = "GET", .path = path, .deadline_ms = deadline_ms };
  struct read_call *call = g_new (struct read_call, 1);
  call->done = done;
  call->context = done_context;
  iv_http_call (service->client, service->address, &http, on_read, call);
  g_free (path);
}

static const char *
text_field (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text ? text : "";
}

static guint
uint_field (const json_t *object, const char *key)
{
  json_int_t number = json_integer_value (json_object_get (object, key));
  return (guint)CLAMP (number, 0, G_MAXUINT32);
}

static void
free_workers (gpointer data)
{
  GArray *list = data;
  for (guint i = 0; i < list->len; i++)
    xdr_free ((xdrproc_t)xdr_ivx_worker,
              (char *)&g_array_index (list, struct iv_host_entry, i).info);
  g_array_free (list, TRUE);
}

static void
add_worker (GHashTable *workers, const json_t *row)
{
  const char *domain = text_field (row, "domain");
  GArray *list = g_hash_table_lookup (workers, domain);
  struct iv_host_entry entry = { .leaving = json_is_true (json_object_get (row, "leaving")) };
  if (list == NULL)
    {
      list = g_array_new (FALSE, TRUE, sizeof (struct iv_host_entry));
      g_hash_table_insert (workers, g_strdup (domain), list);
    }
  entry.info.name = iv_record_strdup (text_field (row, "name"));
  entry.info.rack = iv_record_strdup (text_field (row, "rack"));
  entry.info.address = iv_record_strdup (text_field (row, "address"));
  entry.info.size.cpu_milli = uint_field (row, "cpu_milli");
  entry.info.size.memory_mib = uint_field (row, "memory_mib");
  entry.info.size.accelerators = uint_field (row, "accelerators");
  entry.info.start_ms = (guint64)json_integer_value (json_object_get (row, "start_ms"));
  g_array_append_val (list, entry);
}

static void
clear_instance (gpointer data)
{
  struct iv_instance_entry *entry = data;
  g_free (entry->name);
  g_free (entry->service);
  g_free (entry->domain);
  g_free (entry->address);
}

static void
add_instance (GArray *instances, const json_t *row)
{
  struct iv_instance_entry entry = { .name = g_strdup (text_field (row, "name")),
                                     .service = g_strdup (text_field (row, "service")),
                                     .domain = g_strdup (text_field (row, "domain")),
                                     .address = g_strdup (text_field (row, "address")),
                                     .slots = uint_field (row, "slots"),
                                     .connections = uint_field (row, "connections"),
                                     .leaving = json_is_true (json_object_get (row, "leaving")) };
  g_array_append_val (instances, entry);
}

static void
on_listed (void *context, const struct iv_http_response *response)
{
  struct list_call *call = context;
  struct iv_host_list hosts = { 0 };
  json_t *root = NULL, *row;
  size_t i;
  if (response->result == IV_HTTP_COMPLETE && response->status == 200)
    root = json_loadb ((const char *)response->body->data, response->body->len, 0, NULL);
  if (root == NULL)
    {
      call->done (call->context, NULL);
      g_free (call);
      return;
    }
  hosts.workers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_workers);
  hosts.instances = g_array_new (FALSE, TRUE, sizeof (struct iv_instance_entry));
  g_array_set_clear_func (hosts.instances, clear_instance);
  json_array_foreach (json_object_get (root, "workers"), i, row)
    add_worker (hosts.workers, row);
  json_array_foreach (json_object_get (root, "instances"), i, row)
    add_instance (hosts.instances, row);
  g_free (call->service->etag);
  call->service->etag = g_strdup (iv_http_response_header (response, "etag"));
  call->done (call->context, &hosts);
  g_hash_table_unref (hosts.workers);
  g_array_unref (hosts.instances);
  json_decref (root);
  g_free (call);
}

static void
list_hosts (void *context, gint64 deadline_ms, iv_hosts_done done, void *done_context)
{
  struct service *service = context;
  const struct iv_http_header headers[] = { { "if-none-match", service->etag }, { NULL, NULL } };
  struct iv_http_call http = { .method = "GET", .path = "/hosts", .deadline_ms = deadline_ms };
  if (service->etag)
    http.headers = headers;
  struct list_call *call = g_new (struct list_call, 1);
  call->service = service;
  call->done = done;
  call->context = done_context;
  iv_http_call (service->client, service->address, &http, on_listed, call);
}

void
iv_platform_http (struct iv_http_client *client, const char *address, struct iv_log_ops *log,
                  struct iv_hosts_ops *hosts)
{
  struct service *service = g_new0 (struct service, 1);
  service->client = client;
  service->address = g_strdup (address);
  *log = (struct iv_log_ops){ .context = service, .append = append, .read = read_log };
  *hosts = (struct iv_hosts_ops){ .context = service, .list = list_hosts };
}
