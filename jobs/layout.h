/**
 * @file layout.h
 * Assignment of racks and jobs to cells. A rack belongs to one cell permanently; a job belongs to
 * one cell at a time and can be moved.
 *
 * Every cell gets racks of all failure domains, so that it can keep working while one of them is
 * out of service. The layout is computed once and recorded, so it is the same on every host.
 */
#ifndef IV_LAYOUT_H
#define IV_LAYOUT_H

#include "job_table.h"

/** A layout. */
struct iv_layout;

/** Racks and number of workers of a fleet: the input of iv_layout_build(). */
struct iv_rack_list;

struct iv_rack_list *iv_rack_list_new (void);
void iv_rack_list_free (struct iv_rack_list *list);

/** Count one worker, in @a rack of @a domain. */
void iv_rack_list_add (struct iv_rack_list *list, const char *domain, const char *rack);

/** Number of workers counted. */
guint iv_rack_list_workers (const struct iv_rack_list *list);

/** Assign the racks to cells of about @a workers_per_cell workers each. Returns the layout record;
 *  free with g_free(). */
char *iv_layout_build (const struct iv_rack_list *list, guint workers_per_cell);

/** Parse a layout record. NULL with a last message when it is malformed. */
struct iv_layout *iv_layout_parse (const char *record, gsize len);
void iv_layout_free (struct iv_layout *layout);

/** Number of cells. */
guint iv_layout_cells (const struct iv_layout *layout);

/** Average number of workers per cell when the layout was built. */
guint iv_layout_cell_workers (const struct iv_layout *layout);

/** Cell that the layout assigns a rack to; -1: it does not know the rack. */
gint iv_layout_rack_cell (const struct iv_layout *layout, const char *rack);

/** Cell of a worker in @a rack; a rack that is not in the layout is assigned by a hash of its
 *  name. */
guint iv_layout_worker_cell (const struct iv_layout *layout, const char *rack);

/** Whether a step of @a spec requests a rack that the layout knows. */
gboolean iv_layout_names_rack (const struct iv_layout *layout, const ivj_job *spec);

/** A number from 0 to below 1 that follows from the id of a job, and not from its cell. */
double iv_layout_job_draw (const char *id);

/** Cell of @a job: the one that it was moved to, else that of a rack that it requests, else the one
 *  that was chosen when it was accepted, else one by its id. */
guint iv_layout_job_cell (const struct iv_layout *layout, const struct iv_job_entry *job);

#endif
