/**
 * @file app.h
 * The daemon of an entry host: its tasks and the data that they share.
 */
#ifndef IV_APP_H
#define IV_APP_H

#include "deadlines.h"
#include "mailbox.h"
#include "platform.h"
#include "settings.h"

struct iv_config_task;
struct iv_hosts_task;
struct iv_domain_task;
struct iv_key_task;
struct iv_route_task;
struct iv_peer_task;
struct iv_operator_task;

/** One daemon. Each task changes only its own state; of the rest, only `leaving` changes after the
 *  start. */
struct iv_app
{
  uv_loop_t *loop;
  struct iv_settings *settings;
  guint64 incarnation; /**< larger after every start of this host */
  guint rank;          /**< of this host among all members, ordered by name; the first has 0 */
  GPtrArray *domains;  /**< of `char *`: every failure domain with members, ordered by name */
  struct iv_deadlines *deadlines;
  struct iv_mailbox *mailbox;
  struct iv_log_ops log;
  struct iv_hosts_ops hosts_ops;
  struct iv_worker_ops workers;
  struct iv_upstream_ops upstreams;
  struct iv_config_task *config;
  struct iv_hosts_task *hosts;
  GPtrArray *domain_tasks; /**< of struct iv_domain_task */
  struct iv_key_task *keys;
  struct iv_route_task *route;
  struct iv_peer_task *peers;
  struct iv_operator_task *operators;
  gboolean leaving; /**< iv_app_leave() was called */
};

/** Start every task. Returns FALSE, with the reason in iv_last_message(), if a socket cannot be
 *  opened. @a app must be zeroed and outlive the loop. */
gboolean iv_app_start (struct iv_app *app, uv_loop_t *loop, struct iv_settings *settings);

/** Begin a planned stop: give up the failure domains, then stop listening, then stop the loop once
 *  all requests have been answered or `routing.drain_ms` has passed. */
void iv_app_leave (struct iv_app *app);

/** Time of the loop in milliseconds (monotonic), as of its current iteration. */
gint64 iv_app_now (const struct iv_app *app);

/** Wall clock in milliseconds since the Unix epoch. */
guint64 iv_app_wall_ms (void);

#endif
