/**
 * @file app.h
 * The daemon: its tasks, and what they share read-only.
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

/** Everything one daemon runs. Each task belongs to itself; the rest does not change after start.
 */
struct iv_app
{
  uv_loop_t *loop;
  struct iv_settings *settings;
  guint64 incarnation; /**< grows with every start of this host */
  guint rank;          /**< of this host among the members by name */
  GPtrArray *domains;  /**< of `char *`: every failure domain with members, by name */
  struct iv_deadlines *deadlines;
  struct iv_mailbox *mailbox;
  struct iv_log_ops log;
  struct iv_hosts_ops hosts_edge;
  struct iv_worker_ops workers;
  struct iv_upstream_ops upstreams;
  struct iv_config_task *config;
  struct iv_hosts_task *hosts;
  GPtrArray *domain_tasks; /**< of struct iv_domain_task */
  struct iv_key_task *keys;
  struct iv_route_task *route;
  struct iv_peer_task *peers;
  struct iv_operator_task *operators;
  gboolean leaving;
};

/** Start every task. FALSE with a last message when a socket cannot be opened. */
gboolean iv_app_start (struct iv_app *app, uv_loop_t *loop, struct iv_settings *settings);

/** Leave in good order: no new work, requests in progress end, then the loop stops. */
void iv_app_leave (struct iv_app *app);

/** Present time of the loop. */
gint64 iv_app_now (const struct iv_app *app);

/** Wall clock in milliseconds since the epoch. */
guint64 iv_app_wall_ms (void);

#endif
