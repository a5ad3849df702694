#include "owner_private.h"

#include "event.h"

#define MOVES_EVERY_MS 100
#define WAITED_MS 150 /* a move takes about 100 */

/* Nobody has started, or can have started, a task of it. */
static gboolean
is_untouched (const struct iv_owner *owner, const struct iv_work *work)
{
  return !work->begun && work->placed == 0 && (owner->settled || !work->inherited);
}

/* Cores of the first step that waits; 0 when none does. */
static gint64
waiting_milli (const struct iv_work *work, enum iv_room_kind *kind)
{
  for (guint i = 0; i < work->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (work->open, i);
      for (guint j = 0; j < work->job->spec.steps.steps_len; j++)
        {
          const struct iv_stage *stage = &occurrence->stages[j];
          if (!iv_stage_ready (occurrence, stage))
            continue;
          *kind = stage->step->flags & IVJ_FILLS ? IV_ROOM_FILL : IV_ROOM_SHORT;
          return (gint64)stage->step->cpu_milli * stage->step->count;
        }
    }
  return 0;
}

static gboolean
move_if_roomier (struct iv_owner *owner, struct iv_work *work, gint64 need, enum iv_room_kind kind)
{
  struct iv_job *job = work->job;
  gint cell = need > 0 ? owner->effects.roomier_cell (owner->effects.context, need, kind) : -1;
  if (cell < 0)
    return FALSE;
  iv_event (IV_LEVEL_INFO, "job.moved", "job=%s to=%d need_milli=%" G_GINT64_FORMAT, job->id, cell,
            need);
  g_ptr_array_remove_fast (owner->works, work);
  g_ptr_array_remove_fast (owner->dirty, job);
  iv_work_free (work);
  job->leaving = TRUE;
  owner->effects.move_job (owner->effects.context, job, (guint)cell);
  return TRUE;
}

gboolean
iv_owner_level_out (struct iv_owner *owner, struct iv_work *work)
{
  return work->job->moved_to < 0 && is_untouched (owner, work)
         && move_if_roomier (owner, work, iv_job_lasting_milli (&work->job->spec), IV_ROOM_LASTING);
}

void
iv_owner_move_jobs (struct iv_owner *owner, gint64 now_ms)
{
  if (now_ms < owner->moves_at_ms)
    return;
  owner->moves_at_ms = now_ms + MOVES_EVERY_MS;
  for (guint i = owner->works->len; i-- > 0;)
    {
      struct iv_work *work = g_ptr_array_index (owner->works, i);
      enum iv_room_kind kind = IV_ROOM_SHORT;
      if (is_untouched (owner, work) && now_ms > work->first_seen_ms + WAITED_MS)
        move_if_roomier (owner, work, waiting_milli (work, &kind), kind);
    }
}

void
iv_owner_not_moved (struct iv_owner *owner, struct iv_job *job, gint64 now_ms)
{
  job->leaving = FALSE;
  iv_owner_job (owner, job, now_ms);
}
