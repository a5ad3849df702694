/**
 * @file cell_loads.h
 * Free capacity of every cell, as its owner recorded it last, and the cells chosen by it: for new
 * long-running jobs, for jobs that move, and for single tasks.
 *
 * No I/O and no clock: times are passed in, milliseconds on the monotonic clock. What is chosen is
 * counted as used until the next record of the cell.
 */
#ifndef IV_CELL_LOADS_H
#define IV_CELL_LOADS_H

#include "layout.h"
#include "owner.h"

struct iv_cell_loads;

struct iv_cell_loads *iv_cell_loads_new (void);
void iv_cell_loads_free (struct iv_cell_loads *loads);

/** Format the record of a load. @a pieces: struct iv_piece; @a offers: NULL when they are not told.
 *  Free with g_free(). */
char *iv_cell_loads_format (const struct iv_cell_capacity *capacity, const GArray *pieces,
                            const GPtrArray *offers);

/** Apply the record of the load of @a cell. */
void iv_cell_loads_apply (struct iv_cell_loads *loads, guint cell, const char *text, gint64 now_ms);

/** Choose a cell that can hold what @a needs tells, and has much more free capacity than that, for
 * a job of @a cell; -1: there is none, or the job is best off there. A cell that does not tell what
 * it can hold may hold it. @a only: the only cell that may be chosen; -1: any. */
gint iv_cell_loads_find_target (struct iv_cell_loads *loads, guint cell, gint only,
                                const struct iv_move_needs *needs, gint64 now_ms);

/** Choose a cell for a job that is about to be accepted and would go to @a cell. Stays there while
 *  the cell has about as much free capacity as the others. Otherwise the cell is drawn in
 * proportion to free capacity, so that hosts that decide alone on the same records spread their
 * jobs; a long-running job goes to the cell with the most, as few come at the same time. @a draw
 * decides, from 0 to below 1. Returns @a cell when no recent load tells otherwise. */
guint iv_cell_loads_choose (struct iv_cell_loads *loads, guint cell,
                            const struct iv_move_needs *needs, double draw, gint64 now_ms);

/** Whether to accept a long-running job that needs @a cpu_milli: any cell has the capacity, as the
 *  job is moved there, or no recent load is known. */
gboolean iv_cell_loads_admit (struct iv_cell_loads *loads, gint64 cpu_milli, gint64 now_ms);

/** Choose a cell other than @a cell with a piece for a task of @a step; -1: there is none. */
gint iv_cell_loads_find_delegate (struct iv_cell_loads *loads, guint cell, const char *service,
                                  const ivj_step *step, gint64 now_ms);

/** Number of tasks with need @a need that the pieces of the cells other than @a cell hold. */
guint iv_cell_loads_count_elsewhere (const struct iv_cell_loads *loads, guint cell,
                                     const struct iv_piece *need, gint64 now_ms);

#endif
