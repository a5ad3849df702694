/**
 * @file platform.h
 * Interfaces to the services around an entry host: the log, the host list, workers and upstreams.
 * Each is a table of functions, so that another wire format needs only one new file that fills it.
 */
#ifndef IV_PLATFORM_H
#define IV_PLATFORM_H

#include "http_client.h"
#include "planner.h"

/** One entry of a stream. `bytes` is valid during the callback. */
struct iv_log_entry
{
  guint64 offset;
  const guint8 *bytes;
  gsize len;
};

/** Result of a read, valid during the callback. */
struct iv_log_read
{
  enum iv_status status;
  guint64 first; /**< oldest retained offset */
  guint64 end;   /**< offset of the next append at the time of the response */
  const struct iv_log_entry *entries;
  guint count;
};

/** Result of an append. IV_ERR_UNAVAILABLE: nothing was sent. IV_ERR_TIMEOUT: it may have taken
 *  effect. */
typedef void (*iv_log_append_done) (void *context, enum iv_status status, guint64 offset);
typedef void (*iv_log_read_done) (void *context, const struct iv_log_read *read);

/** Functions of the log service. */
struct iv_log_ops
{
  void *context;
  void (*append) (void *context, const char *stream, const guint8 *bytes, gsize len,
                  gint64 deadline_ms, iv_log_append_done done, void *done_context);
  /** Read from the offset @a from; waits until there is an entry or @a wait_ms have passed. */
  void (*read) (void *context, const char *stream, guint64 from, gint64 wait_ms, gint64 deadline_ms,
                iv_log_read_done done, void *done_context);
};

/** An upstream instance in the host list. */
struct iv_instance_entry
{
  char *name;
  char *service;
  char *domain;
  char *address;
  guint slots;
  guint connections;
  gboolean leaving;
};

/** The host list. Its members are valid during the callback; to keep one, add a reference. */
struct iv_host_list
{
  GHashTable *workers; /**< failure domain to GArray of struct iv_host_entry */
  GArray *instances;   /**< of struct iv_instance_entry */
};

/** Receives the host list, or NULL when it could not be read or has not changed. */
typedef void (*iv_hosts_done) (void *context, const struct iv_host_list *hosts);

/** Functions of the host list service. */
struct iv_hosts_ops
{
  void *context;
  void (*list) (void *context, gint64 deadline_ms, iv_hosts_done done, void *done_context);
};

/** Fill both tables for the HTTP service at @a address; its protocol is in docs/PROTOCOLS.md. */
void iv_platform_http (struct iv_http_client *client, const char *address, struct iv_log_ops *log,
                       struct iv_hosts_ops *hosts);

/** Receives a worker's reply to a sync. The callback owns @a reply, which is NULL on failure. */
typedef void (*iv_worker_sync_done) (void *context, struct iv_sync_reply *reply);

/** Functions of workers. */
struct iv_worker_ops
{
  void *context;
  void (*sync) (void *context, const struct iv_sync *sync, gint64 deadline_ms,
                iv_worker_sync_done done, void *done_context);
};

/** Fill @a workers for workers over HTTP with JSON. */
void iv_worker_http (struct iv_http_client *client, struct iv_worker_ops *workers);

/** Encode and decode a sync and its reply as JSON; used by both ends. Free encoded text with
 *  free(). Decoding returns NULL with a last message when the text is not a JSON object. */
char *iv_worker_encode_sync (const struct iv_sync *sync);
struct iv_sync *iv_worker_decode_sync (const char *text, gsize len);
char *iv_worker_encode_reply (const struct iv_sync_reply *reply);
struct iv_sync_reply *iv_worker_decode_reply (const char *text, gsize len);

/** Functions of upstream instances, which serve callers. */
struct iv_upstream_ops
{
  void *context;
  void (*call) (void *context, const char *address, const struct iv_http_call *call,
                iv_http_done done, void *done_context);
  /** Check on a new connection whether the instance is healthy. */
  void (*probe) (void *context, const char *address, gint64 deadline_ms, iv_http_done done,
                 void *done_context);
  /** Discard pooled connections, whose peer may no longer respond. */
  void (*drop_connections) (void *context, const char *address);
};

/** Fill @a upstreams for upstreams over HTTP. */
void iv_upstream_http (struct iv_http_client *client, struct iv_upstream_ops *upstreams);

#endif
