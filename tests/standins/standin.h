/**
 * @file standin.h
 * What the stand-ins for hosts share: they register with the platform's host list.
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

struct registration
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  struct iv_http_client *client;
  const char *platform;
  const char *path;
  json_t *rows;
  struct iv_deadline again;
};

static inline void send_registration (void *context);

static inline void
on_registered (void *context, const struct iv_http_response *reply)
{
  struct registration *r = context;
  if (reply->result != IV_HTTP_COMPLETE || reply->status != 200)
    iv_deadline_set (r->deadlines, &r->again, (gint64)uv_now (r->loop) + REGISTER_RETRY_MS);
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

/* Put the rows on the host list, again until the platform takes them. */
static inline void
register_rows (struct registration *r, uv_loop_t *loop, const char *platform, const char *path,
               json_t *rows)
{
  *r = (struct registration){ .loop = loop, .platform = platform, .path = path, .rows = rows };
  r->deadlines = iv_deadlines_new (loop);
  r->client = iv_http_client_new (loop, r->deadlines, REGISTER_TIMEOUT_MS, 65536);
  r->again.fire = send_registration;
  r->again.context = r;
  send_registration (r);
}

static inline guint64
wall_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (guint64)now.tv_sec * 1000 + (guint64)now.tv_nsec / 1000000;
}

static inline void
split_address (const char *address, char ip[64], guint16 *port)
{
  if (!iv_parse_address (address, ip, port))
    exit (64);
}

#endif
