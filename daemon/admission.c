#include "admission.h"

#include "counter.h"

static void
count_verdict (enum iv_forecast_verdict verdict)
{
  char labels[40];
  g_snprintf (labels, sizeof labels, "verdict=\"%s\"", iv_forecast_verdict_name (verdict));
  iv_counter_add (iv_counter_get ("ibisvane_admissions_total", labels,
                                  "Batch jobs by verdict of the forecast."),
                  1);
}

/* Forecasts the job in @a cell. FALSE, and @a admission is unchanged, when nothing recent is known
   of the cell. */
static gboolean
forecast_in_cell (const struct iv_cell_loads *loads, const struct iv_admission_request *request,
                  const struct iv_forecast_job *job, guint cell, gint64 now_ms,
                  struct iv_admission *admission)
{
  struct iv_forecast_job here = *job;
  struct iv_cell_backlog known;
  if (!iv_cell_loads_backlog (loads, cell, now_ms, &known))
    return FALSE;
  here.waves_ms = iv_job_waves_ms (request->spec, known.backlog.capacity_milli);
  admission->forecast = iv_forecast_job (&known.backlog, &here, known.age_ms);
  admission->cell = cell;
  admission->shrink_milli = known.shrink_milli;
  return TRUE;
}

/* A job moves to a cell that has room for it, so that the cell in which it finishes first decides.
   A cell of which nothing is known may be that one. */
static void
forecast (const struct iv_cell_loads *loads, const struct iv_admission_request *request,
          const struct iv_forecast_job *job, gint64 now_ms, struct iv_admission *best)
{
  *best = (struct iv_admission){ .cell = request->cell };
  if (!forecast_in_cell (loads, request, job, request->cell, now_ms, best))
    return;
  for (guint i = 0; i < request->cells && best->forecast.verdict == IV_FORECAST_REFUSED; i++)
    {
      struct iv_admission other = { .cell = i };
      forecast_in_cell (loads, request, job, i, now_ms, &other);
      if (other.forecast.verdict != IV_FORECAST_REFUSED
          || other.forecast.finish_ms < best->forecast.finish_ms)
        *best = other;
    }
}

gboolean
iv_admission_decide (struct iv_cell_loads *loads, const struct iv_admission_request *request,
                     gint64 now_ms, struct iv_admission *admission)
{
  const struct iv_forecast_job job
      = { .priority = request->policy->priority,
          .work = iv_job_work (request->spec, FALSE),
          .ready = iv_job_work (request->spec, TRUE),
          .path_ms = iv_job_critical_path_ms (request->spec),
          .span_ms = iv_queue_policy_span_ms (request->policy, request->spec) };
  if (!iv_job_is_batch (request->spec))
    return TRUE;
  forecast (loads, request, &job, now_ms, admission);
  count_verdict (admission->forecast.verdict);
  if (admission->forecast.verdict == IV_FORECAST_REFUSED)
    return FALSE;
  iv_cell_loads_add_accepted (loads, request->cell, &job, request->hosts);
  return TRUE;
}

char *
iv_admission_format (const struct iv_admission *admission)
{
  const struct iv_forecast *f = &admission->forecast;
  return g_strdup_printf (
      "cell=%u verdict=%s ahead_on_time=%" G_GINT64_FORMAT " ahead=%" G_GINT64_FORMAT
      " rate=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT " finish_ms=%" G_GINT64_FORMAT
      " value_ms=%" G_GINT64_FORMAT " shrink=%" G_GINT64_FORMAT,
      admission->cell, iv_forecast_verdict_name (f->verdict), f->ahead_on_time, f->ahead,
      f->rate_milli, f->age_ms, f->finish_ms, f->value_ms, admission->shrink_milli);
}
