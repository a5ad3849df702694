/**
 * @file metrics_task.h
 * Serves the counters, gauges and histograms of the process in the Prometheus text format.
 */
#ifndef IV_METRICS_TASK_H
#define IV_METRICS_TASK_H

#include "http_server.h"

/** Sets the gauges; called before each response. */
typedef void (*iv_metrics_refresh_fn) (void *context);

/** Listen on @a address (IP:PORT). FALSE with a last message when the address is malformed or the
 *  socket cannot be opened. */
gboolean iv_metrics_task_start (uv_loop_t *loop, const char *address, iv_metrics_refresh_fn refresh,
                                void *context);

#endif
