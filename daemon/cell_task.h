/**
 * @file cell_task.h
 * Ownership of one cell. The task claims the cell when this host holds its partition and the
 * previous owner is no longer a member, fences that owner in the jobs stream, then connects the
 * owner to the workers and to the stream.
 */
#ifndef IV_CELL_TASK_H
#define IV_CELL_TASK_H

#include "call_limits.h"
#include "cap_parts.h"
#include "layout.h"
#include "membership.h"
#include "queues.h"
#include "stream.h"
#include "wire.h"

/** Dependencies of the task; all outlive it. */
struct iv_cell_task_deps
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  struct iv_store *store;
  struct iv_http_client *workers;
  struct iv_call_limits *worker_limits; /**< of the calls that all cells of this host make */
  struct iv_stream *jobs;
  struct iv_stream *operators; /**< configuration, and failure domains out of service */
  struct iv_job_table *job_table;
  struct iv_queues *queues; /**< as recorded */
  struct iv_membership *membership;
  const struct iv_cap_rows *caps; /**< records of the parts of caps */
  const struct iv_fleet_settings *settings;
  void *context;
  const struct iv_layout *(*layout) (void *context); /**< NULL while it is unknown */
  /** Configuration in force; NULL before it was read. */
  const struct iv_routes *(*routes) (void *context);
  /** Whether @a domain is in service. */
  gboolean (*is_domain_in_service) (void *context, const char *domain);
  /** Whether this host owns no cell and has no claim in progress. */
  gboolean (*is_idle) (void *context);
  /** A cell other than @a cell for a job with needs @a needs; -1: none. */
  gint (*find_move_target) (void *context, guint cell, const struct iv_move_needs *needs);
  /** A cell other than @a cell that could hold a task of @a step; -1: none. */
  gint (*find_delegate) (void *context, guint cell, const char *service, const ivj_step *step);
  /** Number of tasks with need @a need that the largest pieces of the cells but @a cell hold. */
  guint (*count_elsewhere) (void *context, guint cell, const struct iv_piece *need);
};

/** Task of one cell on this host. */
struct iv_cell_task;

/** Create the task of cell number @a cell. It does not own the cell yet. */
struct iv_cell_task *iv_cell_task_new (const struct iv_cell_task_deps *deps, guint cell);

/** The store confirmed this host as a member. Claims the cell if it has no owner, or if its owner
 *  is no longer a member and this host holds its partition. */
void iv_cell_task_member_confirmed (struct iv_cell_task *task);

/** A record of @a job was applied; with NULL, the configuration or a failure domain changed. */
void iv_cell_task_changed (struct iv_cell_task *task, struct iv_job_entry *job);

/** Apply the claim of an owner: its term and its member name, separated by a space. */
void iv_cell_task_apply_claim (struct iv_cell_task *task, const char *value, gsize len);

/** Apply the handover of an owner that resigned: its term and the ids of its unresolved workers,
 *  separated by spaces. */
void iv_cell_task_apply_handover (struct iv_cell_task *task, const char *value, gsize len);

/** Apply the record of the workers on which the owner of the cell has runs, or may start one. */
void iv_cell_task_apply_roster (struct iv_cell_task *task, const guint8 *value, gsize len);

/** Apply the interference model that the owner of @a cell recorded. */
void iv_cell_task_apply_model (struct iv_cell_task *task, guint cell, const guint8 *value,
                               gsize len);

/** Whether this host owns the cell. */
gboolean iv_cell_task_owns (const struct iv_cell_task *task);

/** Whether this host owns the cell, and its owner may not act until the store confirms it again. */
gboolean iv_cell_task_is_suspended (const struct iv_cell_task *task);

/** How long this host has owned the cell, in ms; 0 when it does not. */
gint64 iv_cell_task_owned_ms (const struct iv_cell_task *task);

/** Give the cell up to another host, and do not claim it again for a few seconds. No-op when it is
 *  not owned. */
void iv_cell_task_release (struct iv_cell_task *task);

/** Whether @a member made the newest claim of the cell. */
gboolean iv_cell_task_is_claimed_by (const struct iv_cell_task *task, const char *member);

/** Whether a claim of this host is in progress. */
gboolean iv_cell_task_is_claiming (const struct iv_cell_task *task);

/** Give the cell up and never claim it again. */
void iv_cell_task_resign (struct iv_cell_task *task);

#endif
