#include "run_time.h"

#include "event.h"

/* An owner logs steps that end by the thousand; these show where the time goes. */
#define LINES_PER_S_MAX 20

gboolean
iv_line_limit_admit (struct iv_line_limit *limit, gint64 now_ms)
{
  if (now_ms >= limit->second_ms + 1000)
    {
      limit->second_ms = now_ms;
      limit->lines = 0;
    }
  if (limit->lines < LINES_PER_S_MAX)
    {
      limit->lines++;
      return TRUE;
    }
  limit->suppressed++;
  return FALSE;
}

void
iv_run_time_note_limit (struct iv_run *run, gint64 now_ms)
{
  gint64 since_ms = run->limit_since_ms > 0 ? run->limit_since_ms : run->sent_ms;
  gint64 elapsed_ms = MAX (0, now_ms - since_ms);
  if (run->cpu_limit_percent == 0)
    run->halted_ms += elapsed_ms;
  else if (run->cpu_limit_percent < IV_FULL_SPEED_PERCENT)
    run->throttled_ms += elapsed_ms;
  run->limit_since_ms = now_ms;
}

gint64
iv_run_time_clean_ms (struct iv_run *run, gint64 now_ms)
{
  gint64 begin_clock_ms = run->first_clock_ms;
  iv_run_time_note_limit (run, now_ms);
  if (begin_clock_ms == 0 && run->phase == IV_RUN_PHASE_RUNNING && !run->proven)
    begin_clock_ms = run->acked_clock_ms;
  if (begin_clock_ms <= 0 || run->resumed || run->throttled_ms > 0)
    return -1;
  return MAX (0, iv_worker_clock (run->worker, now_ms) - begin_clock_ms - run->halted_ms);
}

void
iv_stage_end_set_run (struct iv_stage_end *end, struct iv_run *run, gint64 now_ms)
{
  iv_run_time_note_limit (run, now_ms);
  end->name = run->name;
  end->worker = run->worker->id;
  end->sent_ms = run->sent_ms;
  end->throttled_ms = run->throttled_ms;
  end->halted_ms = run->halted_ms;
  end->ended_ms = now_ms;
}

void
iv_stage_end_log (const struct iv_stage_end *end, struct iv_line_limit *limit)
{
  gint64 first_ms = end->first_sent_ms > 0 ? MIN (end->first_sent_ms, end->sent_ms) : end->sent_ms;
  gint64 ready_ms = end->ready_ms > 0 ? MIN (end->ready_ms, first_ms) : first_ms;
  if (!iv_line_limit_admit (limit, end->ended_ms))
    return;
  iv_event (IV_LEVEL_INFO, "stage.ended",
            "job=%s occurrence=%u step=%u tasks=%u last=%u worker=%s took_ms=%" G_GINT64_FORMAT
            " waiting_ms=%" G_GINT64_FORMAT " repeated_ms=%" G_GINT64_FORMAT
            " running_ms=%" G_GINT64_FORMAT " throttled_ms=%" G_GINT64_FORMAT
            " halted_ms=%" G_GINT64_FORMAT " expected_ms=%" G_GINT64_FORMAT " suppressed=%u",
            end->name.job, end->name.occurrence, end->name.step, end->count, end->name.index,
            end->worker, end->ended_ms - ready_ms, first_ms - ready_ms, end->sent_ms - first_ms,
            end->ended_ms - end->sent_ms - end->throttled_ms - end->halted_ms, end->throttled_ms,
            end->halted_ms, end->expected_ms, limit->suppressed);
  limit->suppressed = 0;
}
