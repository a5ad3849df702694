/**
 * @file task_name.h
 * Identity of a task: job, occurrence, step and index within the step.
 */
#ifndef IV_TASK_NAME_H
#define IV_TASK_NAME_H

#include <glib.h>

#define IV_JOB_ID_LEN 16    /**< hexadecimal digits of a job id */
#define IV_TASK_NAME_MAX 64 /**< bytes of a formatted name, including the NUL */

/** Identifies one task of one occurrence of a job. */
struct iv_task_name
{
  char job[IV_JOB_ID_LEN + 1];
  guint occurrence; /**< number of the occurrence, from 0 */
  guint step;       /**< index of the step in the job */
  guint index;      /**< index of the task in the step */
};

/** Whether the first @a len bytes of @a text are a job id. */
gboolean iv_job_id_valid (const char *text, gsize len);

/** Format @a name as JOB.OCCURRENCE.STEP.INDEX. */
void iv_task_name_format (const struct iv_task_name *name, char out[IV_TASK_NAME_MAX]);

/** Parse the output of iv_task_name_format(). FALSE when @a text is malformed; @a name is then
 *  undefined. */
gboolean iv_task_name_parse (const char *text, struct iv_task_name *name);

#endif
