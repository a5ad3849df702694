/**
 * @file layout.h
 * How a fleet is dealt to cells: each rack belongs to one cell for good, each job to one at a time.
 *
 * A cell holds racks of every failure domain, so that it can work while one of them is out of
 * service. The layout is decided once, recorded, and the same for every host.
 */
#ifndef IV_LAYOUT_H
#define IV_LAYOUT_H

#include "job_table.h"

#define IV_CELLS_MAX 24 /**< partitions that the platform's topics have at the least */

/** A layout. */
struct iv_layout;

/** The racks of a fleet, to be dealt. */
struct iv_rack_list;

struct iv_rack_list *iv_rack_list_new (void);
void iv_rack_list_free (struct iv_rack_list *list);

/** Count one worker in @a rack of @a domain. */
void iv_rack_list_add (struct iv_rack_list *list, const char *domain, const char *rack);

/** Workers counted. */
guint iv_rack_list_workers (const struct iv_rack_list *list);

/** Deal the racks to as many cells as make about @a workers_per_cell each; the record that says so.
 *  Free with g_free(). */
char *iv_layout_build (const struct iv_rack_list *list, guint workers_per_cell);

/** Read a record. NULL with a last message when it is malformed. */
struct iv_layout *iv_layout_parse (const char *record, gsize len);
void iv_layout_free (struct iv_layout *layout);

/** Number of cells. */
guint iv_layout_cells (const struct iv_layout *layout);

/** Workers of a cell, on average, when the fleet was dealt. */
guint iv_layout_cell_workers (const struct iv_layout *layout);

/** The cell of a worker in @a rack, also of one that came after the layout. */
guint iv_layout_worker_cell (const struct iv_layout *layout, const char *rack);

/** The cell of @a job: the one it was moved to; else that of the rack it asks for; else by id. */
guint iv_layout_job_cell (const struct iv_layout *layout, const struct iv_job_entry *job);

#endif
