/**
 * @file layout_task.h
 * Decides once, when a fleet first starts, how its racks are dealt to cells.
 */
#ifndef IV_LAYOUT_TASK_H
#define IV_LAYOUT_TASK_H

#include "layout.h"
#include "membership.h"
#include "stream.h"

/** What the task uses of its process. */
struct iv_layout_task_deps
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  struct iv_store *store;
  struct iv_stream *jobs;
  struct iv_membership *membership;
  const struct iv_fleet_settings *settings;
};

/** The layout, or the way to one. */
struct iv_layout_task;

struct iv_layout_task *iv_layout_task_new (const struct iv_layout_task_deps *deps);

/** The store confirmed this host as a member: it may be its turn to decide. */
void iv_layout_task_member_confirmed (struct iv_layout_task *task);

/** The record of the layout was folded. */
void iv_layout_task_apply (struct iv_layout_task *task, const char *value, gsize len);

/** The layout in force; NULL while it is not known. */
const struct iv_layout *iv_layout_task_layout (const struct iv_layout_task *task);

#endif
