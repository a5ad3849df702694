#include "task_name.h"

#include <stdio.h>
#include <string.h>

gboolean
iv_job_id_valid (const char *text, gsize len)
{
  if (len != IV_JOB_ID_LEN)
    return FALSE;
  for (gsize i = 0; i < len; i++)
    if (!g_ascii_isxdigit (text[i]))
      return FALSE;
  return TRUE;
}

void
iv_task_name_format (const struct iv_task_name *name, char out[IV_TASK_NAME_MAX])
{
  snprintf (out, IV_TASK_NAME_MAX, "%s.%u.%u.%u", name->job, name->occurrence, name->step,
            name->index);
}

static gboolean
parse_number (const char **text, guint *out)
{
  char *end;
  guint64 value;
  if (**text != '.' || !g_ascii_isdigit ((*text)[1]))
    return FALSE;
  value = g_ascii_strtoull (*text + 1, &end, 10);
  *text = end;
  *out = (guint)value;
  return value <= G_MAXINT;
}

gboolean
iv_task_name_parse (const char *text, struct iv_task_name *name)
{
  const char *rest = text + IV_JOB_ID_LEN;
  if (strlen (text) < IV_JOB_ID_LEN || !iv_job_id_valid (text, IV_JOB_ID_LEN))
    return FALSE;
  memcpy (name->job, text, IV_JOB_ID_LEN);
  name->job[IV_JOB_ID_LEN] = '\0';
  return parse_number (&rest, &name->occurrence) && parse_number (&rest, &name->step)
         && parse_number (&rest, &name->index) && *rest == '\0';
}
