/**
 * @file rack.h
 * Choice of the rack for a rack-local step, or for tasks with data in a rack.
 *
 * Racks are compared by the tasks that a placement would accept there, by the conditions of
 * place.c. A rack is a preference: tasks take `far_factor` times as long elsewhere, so they wait
 * for a rack no longer than that costs: see place_wait.h.
 */
#ifndef IV_RACK_H
#define IV_RACK_H

#include "owner_private.h"

/** Decision on the rack for the stage of a placement query. */
struct iv_rack_choice
{
  gboolean decided;              /**< FALSE: the stage prefers no rack */
  enum iv_place_kind kind;       /**< what was decided on */
  struct iv_place_query inputs;  /**< what it was based on; without the places */
  struct iv_place_decision made; /**< its `place` belongs to the fleet, or to the step */
};

/** Decide on the rack for the tasks of the stage of @a query. @a with_data: tasks wait for the rack
 *  of their data, too, where durations are learnt. The rack in @a query must be NULL. */
struct iv_rack_choice iv_rack_choose (const struct iv_placement_query *query, gboolean with_data);

/** Note what came of a choice once tasks were started. */
void iv_rack_note (struct iv_owner *owner, const struct iv_rack_choice *choice,
                   struct iv_stage *stage, const char *job);

#endif
