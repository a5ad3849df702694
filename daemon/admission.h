/**
 * @file admission.h
 * Whether a host accepts a batch job, by the backlog that the owners of the cells recorded.
 *
 * No I/O and no clock. Each host decides alone; what is missing means: accept.
 */
#ifndef IV_ADMISSION_H
#define IV_ADMISSION_H

#include "cell_loads.h"

/** A job that is to be accepted, and what the host knows of cells and hosts. */
struct iv_admission_request
{
  const ivj_job *spec;
  const struct iv_queue_policy *policy;
  guint cell;  /**< of the job */
  guint cells; /**< of the layout: the job may move to any of them */
  guint hosts; /**< that take requests, as far as it is known; else 1 */
};

/** A verdict and its inputs. */
struct iv_admission
{
  struct iv_forecast forecast; /**< of the cell in which the job finishes first */
  guint cell;                  /**< that cell */
  gint64 shrink_milli;         /**< rate at which the backlog there shrinks */
};

/** Decide whether to accept the job of @a request, and count it as waiting if so. TRUE when it is
 *  accepted. */
gboolean iv_admission_decide (struct iv_cell_loads *loads,
                              const struct iv_admission_request *request, gint64 now_ms,
                              struct iv_admission *admission);

/** Inputs of a verdict as key=value pairs for the log. Free with g_free(). */
char *iv_admission_format (const struct iv_admission *admission);

#endif
