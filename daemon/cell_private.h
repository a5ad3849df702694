/**
 * @file cell_private.h
 * Shared by the files of the cell's task: cell_claim.c claims and releases ownership, cell_task.c
 * runs the owner.
 */
#ifndef IV_CELL_PRIVATE_H
#define IV_CELL_PRIVATE_H

#include "cap_task.h"
#include "cell_task.h"
#include "recorder.h"
#include "worker_calls.h"

struct iv_cell_task
{
  struct iv_cell_task_deps deps;
  guint cell;
  char *writer; /* writer name of all owners of the cell; their term is the epoch */
  struct iv_deadline step;
  char *current_owner; /* member whose claim is the newest; "": none */
  gint64 current_term;
  gint64 claim_applied_ms;  /* when that claim was read */
  char *expected_owner;     /* current_owner when our claim was begun */
  gboolean previous_ended;  /* the process that is expected_owner has ended */
  gint64 lost_term;         /* new claims use a higher term than this */
  gint64 claim_sequence;    /* sequence number of our claim */
  gboolean listing_members; /* a request for the members is pending */
  gboolean claiming;
  gboolean resigned;
  gint64 claim_term;
  gint64 claim_end_offset; /* ownership begins once the stream is applied up to here */
  struct iv_owner *owner;
  gint64 term;
  gint64 owned_since_ms;
  gint64 suspended_since_ms;  /* the owner may not act since then; 0: it may */
  gint64 claim_not_before_ms; /* set when the cell is released to another host */
  gint64 vacant_since_ms;     /* when this host found the cell without an owner; 0: it has not */
  struct iv_cap_task *caps;
  gboolean caps_outdated; /* at the last step, the configuration was read too long ago */
  struct iv_worker_calls *calls;
  struct iv_recorder *recorder;
  struct iv_stream *workers;
  guint progress_appends;   /* batches of progress records not yet stored */
  char **handover;          /* term and unresolved workers of an owner that resigned; NULL: none */
  gint64 replaced_term;     /* term of the owner that our claim replaces... */
  gint64 replaced_claim_ms; /* ...and when its claim was read */
  GByteArray *roster;       /* newest record of the workers that may have runs; NULL: none */
  GByteArray *model;        /* newest record of the interference model; NULL: none */
  gint64 next_model_ms;     /* when to record the model next */
  gint64 next_load_ms;      /* when to record the cell's free capacity next */
};

/** Time of the event loop, in ms. */
gint64 iv_cell_task_now_ms (const struct iv_cell_task *task);

/** Add a record to the body of an append. Its key is @a prefix and the number of the cell. */
void iv_cell_task_frame_record (const struct iv_cell_task *task, GByteArray *body,
                                const char *prefix, const void *value, gsize len);

/** Start the owner. The claim is stored, and everything before it is applied. */
void iv_cell_task_begin_ownership (struct iv_cell_task *task);

/** Stop and free the owner, and log @a reason. No-op when the cell is not owned. */
void iv_cell_task_end_ownership (struct iv_cell_task *task, const char *reason);

#endif
