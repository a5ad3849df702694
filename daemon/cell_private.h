/**
 * @file cell_private.h
 * What the files of the cell's task share: cell_claim.c decides who owns, cell_task.c lets it act.
 */
#ifndef IV_CELL_PRIVATE_H
#define IV_CELL_PRIVATE_H

#include "cell_task.h"
#include "recorder.h"
#include "worker_calls.h"

struct iv_cell_task
{
  struct iv_cell_task_deps deps;
  guint cell;
  char *writer; /* name under which the cell's owners append; their term is the epoch */
  struct iv_deadline step;
  char *current_owner; /* member whose claim is the newest; "" for none */
  gint64 current_term;
  char *expected_owner;  /* the incumbent that our claim replaces */
  gint64 lost_term;      /* never claim with this one or a lower one again */
  gint64 claim_sequence; /* of the claim */
  gboolean listing_members;
  gboolean claiming;
  gboolean resigned;
  gint64 claim_term;
  gint64 claim_end_offset; /* the stream is to be folded up to here before we begin */
  struct iv_owner *owner;
  gint64 term;
  gint64 owned_since_ms;      /* when ownership began */
  gint64 claim_not_before_ms; /* no claim before: the cell was released to another host */
  gint64 vacant_since_ms; /* since when nobody owns it, as far as this host can tell; 0: unknown */
  struct iv_worker_calls *calls;
  struct iv_recorder *recorder;
  struct iv_stream *workers;
  guint progress_appends; /* appends of progress under way */
  char **handover;        /* term, then unsure workers, of an owner that resigned; NULL for none */
  gint64 replaced_term;   /* of the owner that our claim replaces */
  GByteArray *model;      /* newest record of what an owner learnt; NULL for none */
  gint64 next_model_ms;   /* when to record it next */
  gint64 next_load_ms;    /* when to record the cell's room next */
};

/** Present time of the loop. */
gint64 iv_cell_task_now_ms (const struct iv_cell_task *task);

/** Add a record of the cell, whose key is @a prefix and its number, to the body of an append. */
void iv_cell_task_frame_record (const struct iv_cell_task *task, GByteArray *body,
                                const char *prefix, const void *value, gsize len);

/** The claim is stored and everything before it is folded: own the cell. */
void iv_cell_task_begin_ownership (struct iv_cell_task *task);

/** Own the cell no longer. */
void iv_cell_task_end_ownership (struct iv_cell_task *task, const char *reason);

#endif
