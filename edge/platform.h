/**
 * @file platform.h
 * The platform as the product sees it: a log and a host list. Another wire format is one new file
 * that fills these tables of callbacks.
 */
#ifndef IV_PLATFORM_H
#define IV_PLATFORM_H

#include "http_client.h"
#include "planner.h"

/** One batch read from a stream. */
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
  guint64 end;   /**< offset of the next append, when the read was answered */
  const struct iv_log_entry *entries;
  guint count;
};

/** Result of an append. IV_ERR_UNAVAILABLE: nothing was sent. IV_ERR_TIMEOUT: it may have happened.
 */
typedef void (*iv_log_append_done) (void *context, enum iv_status status, guint64 offset);
typedef void (*iv_log_read_done) (void *context, const struct iv_log_read *read);

/** The log service. */
struct iv_log_ops
{
  void *context;
  void (*append) (void *context, const char *stream, const guint8 *bytes, gsize len,
                  gint64 deadline_ms, iv_log_append_done done, void *done_context);
  /** Read from @a from on; waits until there is something or @a wait_ms passed. */
  void (*read) (void *context, const char *stream, guint64 from, gint64 wait_ms, gint64 deadline_ms,
                iv_log_read_done done, void *done_context);
};

/** An instance of a service that answers callers. */
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

/** The host list, or NULL when it could not be read or has not changed. It is valid during the
 * callback, and longer for who takes references. */
struct iv_host_list
{
  GHashTable *workers; /**< failure domain to GArray of struct iv_host_entry */
  GArray *instances;   /**< of struct iv_instance_entry */
};
typedef void (*iv_hosts_done) (void *context, const struct iv_host_list *hosts);

/** The host list service. */
struct iv_hosts_ops
{
  void *context;
  void (*list) (void *context, gint64 deadline_ms, iv_hosts_done done, void *done_context);
};

/** The platform over HTTP: see docs/PROTOCOLS.md. Fills both tables for the service at @a address.
 */
void iv_platform_http (struct iv_http_client *client, const char *address, struct iv_log_ops *log,
                       struct iv_hosts_ops *hosts);

/** Worker's outcome of a sync; the callback owns @a reply, which is NULL on failure. */
typedef void (*iv_worker_sync_done) (void *context, struct iv_sync_reply *reply);

/** Workers. */
struct iv_worker_ops
{
  void *context;
  void (*sync) (void *context, const struct iv_sync *sync, gint64 deadline_ms,
                iv_worker_sync_done done, void *done_context);
};

/** Workers over HTTP with JSON. */
void iv_worker_http (struct iv_http_client *client, struct iv_worker_ops *workers);

/** JSON of a sync and back, and of a reply and back; used by both ends. Free text with free(). */
char *iv_worker_encode_sync (const struct iv_sync *sync);
struct iv_sync *iv_worker_decode_sync (const char *text, gsize len);
char *iv_worker_encode_reply (const struct iv_sync_reply *reply);
struct iv_sync_reply *iv_worker_decode_reply (const char *text, gsize len);

/** Upstream instances that answer callers. */
struct iv_upstream_ops
{
  void *context;
  void (*call) (void *context, const char *address, const struct iv_http_call *call,
                iv_http_done done, void *done_context);
  /** Ask on a new connection whether the instance lives. */
  void (*probe) (void *context, const char *address, gint64 deadline_ms, iv_http_done done,
                 void *done_context);
  /** Forget kept connections, which may be silent. */
  void (*drop) (void *context, const char *address);
};

/** Upstreams over HTTP. */
void iv_upstream_http (struct iv_http_client *client, struct iv_upstream_ops *upstreams);

#endif
