/**
 * @file layout_task.h
 * Computes and records the layout of a new fleet, which assigns its racks to cells once and for
 * all. On an existing fleet, reads the recorded layout.
 */
#ifndef IV_LAYOUT_TASK_H
#define IV_LAYOUT_TASK_H

#include "layout.h"
#include "membership.h"
#include "stream.h"

/** Dependencies of the task; all outlive it. */
struct iv_layout_task_deps
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  struct iv_store *store;
  struct iv_stream *jobs;
  struct iv_membership *membership;
  const struct iv_fleet_settings *settings;
};

/** State of the task. */
struct iv_layout_task;

/** Create the task; the layout is unknown. */
struct iv_layout_task *iv_layout_task_new (const struct iv_layout_task_deps *deps);

/** The store confirmed this host as a member: record a layout if there is none and this host holds
 *  the partition of cell 0. */
void iv_layout_task_member_confirmed (struct iv_layout_task *task);

/** Apply the layout record. Only the first valid one counts. */
void iv_layout_task_apply (struct iv_layout_task *task, const char *value, gsize len);

/** The layout in force; NULL while it is unknown. Owned by the task. */
const struct iv_layout *iv_layout_task_layout (const struct iv_layout_task *task);

#endif
