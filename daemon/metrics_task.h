/**
 * @file metrics_task.h
 * Serves counters, gauges and histograms of the process as Prometheus text.
 */
#ifndef IV_METRICS_TASK_H
#define IV_METRICS_TASK_H

#include "http_server.h"

/** Sets the gauges before they are told. */
typedef void (*iv_metrics_refresh_fn) (void *context);

/** Listen on @a address. FALSE when the socket cannot be opened. */
gboolean iv_metrics_task_start (uv_loop_t *loop, const char *address, iv_metrics_refresh_fn refresh,
                                void *context);

#endif
