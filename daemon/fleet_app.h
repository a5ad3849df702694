/**
 * @file fleet_app.h
 * The daemon on a host that schedules jobs on the platform's fleet of workers: connects the API for
 * callers, the streams of the store, the group membership and the tasks of the cells.
 */
#ifndef IV_FLEET_APP_H
#define IV_FLEET_APP_H

#include "settings.h"

#include <uv.h>

/** The daemon's tasks. There is no function to free it: it lives as long as the process. */
struct iv_fleet_app;

/** Start every task. @a loop and @a settings outlive the result. NULL with a last message when a
 *  listening socket cannot be opened. */
struct iv_fleet_app *iv_fleet_app_new (uv_loop_t *loop, const struct iv_settings *settings);

/** Shut down in order: give up ownership, report not ready, finish the pending requests within the
 *  settings' time limit, then stop the loop. Further calls do nothing. */
void iv_fleet_app_leave (struct iv_fleet_app *app);

#endif
