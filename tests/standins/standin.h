/**
 * @file standin.h
 * Helpers of the stand-ins: registration in the platform's host list, wall-clock time, addresses.
 */
#ifndef IV_STANDIN_H
#define IV_STANDIN_H

#include "http_client.h"
#include "schema.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define REGISTER_TIMEOUT_MS 5000
#define REGISTER_RETRY_MS 200

/** Registration of rows in the host list, repeated until the platform accepts it. */
struct registration
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  struct iv_http_client *client;
  const char *platform; /**< address of the platform */
  const char *path;     /**< /hosts/workers or /hosts/instances */
  json_t *rows;         /**< JSON array */
  struct iv_deadline retry;
};

static inline void send_registration (void *context);

static inline void
on_registered (void *context, const struct iv_http_response *response)
{
  struct registration *r = context;
  if (response->result != IV_HTTP_COMPLETE || response->status != 200)
    iv_deadline_set (r->deadlines, &r->retry, (gint64)uv_now (r->loop) + REGISTER_RETRY_MS);
}

static inline void
send_registration (void *context)
{
  struct registration *r = context;
  char *text = json_dumps (r->rows, JSON_COMPACT);
  struct iv_http_call call
      = { .method = "PUT", .path = r->path, .body = text, .body_len = strlen (text) };
  call.deadline_ms = (gint64)uv_now (r->loop) + REGISTER_TIMEOUT_MS;
  iv_http_call (r->client, r->platform, &call, on_registered, r);
  free (text);
}

/** Register @a rows at @a path of the platform. Failed attempts are repeated every
 *  REGISTER_RETRY_MS; @a r must remain valid until one succeeds. */
static inline void
register_rows (struct registration *r, uv_loop_t *loop, const char *platform, const char *path,
               json_t *rows)
{
  *r = (struct registration){ .loop = loop, .platform = platform, .path = path, .rows = rows };
  r->deadlines = iv_deadlines_new (loop);
  r->client = iv_http_client_new (loop, r->deadlines, REGISTER_TIMEOUT_MS, 65536);
  r->retry.fire = send_registration;
  r->retry.context = r;
  send_registration (r);
}

/** Return the wall-clock time in milliseconds. */
static inline guint64
wall_clock_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (guint64)now.tv_sec * 1000 + (guint64)now.tv_nsec / 1000000;
}

/** Parse IP:PORT; exits with status 64 (wrong usage) when it is malformed. */
static inline void
parse_address_or_exit (const char *address, char ip[64], guint16 *port)
{
  if (!iv_parse_address (address, ip, port))
    exit (64);
}

#endif
