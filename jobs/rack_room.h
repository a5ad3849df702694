/**
 * @file rack_room.h
 * When workers will have room for tasks, from the ages of the runs there and learnt durations.
 */
#ifndef IV_RACK_ROOM_H
#define IV_RACK_ROOM_H

#include "fleet.h"
#include "place_wait.h"
#include "task_lengths.h"

/** Tasks that wait. */
struct iv_room_need
{
  const ivj_step *step;
  guint tasks;    /**< that are to run at the same time, or one after the other if they may */
  gint64 task_ms; /**< expected duration of one */
};

/** Expected time until @a workers, of `struct iv_fleet_worker *`, have room for @a need as runs
 *  there end, in ms; 0: they have now. Where they can never hold all tasks at once, the others are
 *  expected to follow those that they hold. IV_PLACE_NEVER: they cannot hold a single one. */
gint64 iv_rack_room_in_ms (const GPtrArray *workers, const struct iv_room_need *need,
                           const struct iv_task_lengths *lengths, gint64 now_ms);

#endif
