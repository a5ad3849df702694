/**
 * @file offers.h
 * What the workers of a cell can hold, in the terms of a placement: service, label, size of a
 * worker. Other cells decide by it whether a job, or a task, has a place there.
 *
 * A label that names a rack is not told: the layout says which cell has the rack.
 */
#ifndef IV_OFFERS_H
#define IV_OFFERS_H

#include "fleet.h"

/** Most rows that a cell records. With more than that it tells nothing. */
#define IV_OFFERS_MAX 16

/** The workers of one service that have a label, and as many accelerators. */
struct iv_offer
{
  char *service;
  char *label; /**< "": all of them, whatever labels they have */
  guint workers;
  struct iv_resources largest; /**< the most of each that one worker has, when it is empty */
  /** What long-running tasks leave on them, largest first: struct iv_piece, at most IV_PIECES_MAX.
   *  NULL where the label is that of every worker of the service: the pieces of the cell tell. */
  GArray *pieces;
};

/** Create an empty table; free it with g_ptr_array_unref(). */
GPtrArray *iv_offers_new (void);

/** The row for these workers; it is added when it is missing. */
struct iv_offer *iv_offers_row (GPtrArray *offers, const char *service, const char *label,
                                gint64 accelerators);

/** Number of tasks of @a step that the workers of @a service would hold if they were empty. */
guint iv_offers_count (const GPtrArray *offers, const char *service, const ivj_step *step);

/** The pieces that tell what is left for tasks of @a step; NULL: those of the cell. */
GArray *iv_offers_pieces (const GPtrArray *offers, const char *service, const ivj_step *step);

/** Append @a offers to @a text: "|" before each row, its fields separated by spaces. Rows that
 * differ by their labels alone are one. */
void iv_offers_format (const GPtrArray *offers, GString *text);

/** Parse the output of iv_offers_format(). NULL when it is malformed, or there is none. */
GPtrArray *iv_offers_parse (const char *text);

#endif
