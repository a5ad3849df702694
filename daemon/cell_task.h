/**
 * @file cell_task.h
 * Owns a cell while the store says so: claims it when its partition is held here and its owner has
 * left, fences the former owner in the stream, then wires the owner's decisions to workers and
 * records.
 */
#ifndef IV_CELL_TASK_H
#define IV_CELL_TASK_H

#include "layout.h"
#include "membership.h"
#include "stream.h"
#include "wire.h"

/** What the task uses of its process. */
struct iv_cell_links
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  struct iv_store *store;
  struct iv_http_client *workers;
  struct iv_stream *jobs;
  struct iv_stream *operators; /**< configuration and domains out of service */
  struct iv_job_table *job_table;
  struct iv_membership *membership;
  const struct iv_fleet_settings *settings;
  void *context;
  const struct iv_layout *(*layout) (void *context); /**< NULL while it is not known */
  const struct iv_routes *(*routes) (void *context);
  gboolean (*is_domain_in_service) (void *context, const char *domain);
  /** Whether this host owns no cell and claims none. */
  gboolean (*is_idle) (void *context);
  /** Another cell than @a cell that has much more room of a kind than @a cpu_milli; -1: none. */
  gint (*find_move_target) (void *context, guint cell, gint64 cpu_milli,
                            enum iv_capacity_kind kind);
};

struct iv_cell_task;

/** Create the task of the cell with the number @a cell. */
struct iv_cell_task *iv_cell_task_new (const struct iv_cell_links *links, guint cell);

/** The store confirmed this host as a member. */
void iv_cell_task_confirmed (struct iv_cell_task *task);

/** A record of @a job was folded, or routes or domains changed (@a job NULL). */
void iv_cell_task_changed (struct iv_cell_task *task, struct iv_job_entry *job);

/** The claim of an owner was folded: its term and its name as a member. */
void iv_cell_task_claimed (struct iv_cell_task *task, const char *value, gsize len);

/** The word of an owner that ended in good order was folded: its term and its unsure workers. */
void iv_cell_task_handover (struct iv_cell_task *task, const char *value, gsize len);

/** What the owner of @a cell learnt of pairs of images was folded. */
void iv_cell_task_model (struct iv_cell_task *task, guint cell, const guint8 *value, gsize len);

/** Whether this host owns the cell, and for how many milliseconds it has; 0 when it does not. */
gboolean iv_cell_task_owns (const struct iv_cell_task *task);
gint64 iv_cell_task_owned_ms (const struct iv_cell_task *task);

/** Hand the cell to whoever takes it. Nothing where it is not owned. */
void iv_cell_task_release (struct iv_cell_task *task);

/** Whether the newest claim of the cell is by @a member. */
gboolean iv_cell_task_is_by (const struct iv_cell_task *task, const char *member);

/** Whether a claim of this host is on its way. */
gboolean iv_cell_task_claims (const struct iv_cell_task *task);

/** Give the cell up for good. */
void iv_cell_task_resign (struct iv_cell_task *task);

#endif
