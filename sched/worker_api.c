#include "worker_api.h"

#include <string.h>

static const char *const run_state_names[]
    = { "none", "running", "done", "failed", "stopped", "lapsed", "refused" };

static void
clear_task (gpointer data)
{
  struct iv_sync_task *task = data;
  g_free (task->name);
  g_free (task->team);
}

static void
clear_usage (gpointer data)
{
  xdr_free ((xdrproc_t)xdr_ivx_usage, data);
}

struct iv_sync *
iv_sync_new (guint32 worker, const char *address, const char *domain)
{
  struct iv_sync *sync = g_new0 (struct iv_sync, 1);
  sync->worker = worker;
  sync->address = g_strdup (address);
  sync->domain = g_strdup (domain);
  sync->tasks = g_array_new (FALSE, TRUE, sizeof (struct iv_sync_task));
  g_array_set_clear_func (sync->tasks, clear_task);
  sync->acks = g_array_new (FALSE, TRUE, sizeof (struct iv_sync_ack));
  return sync;
}

void
iv_sync_free (struct iv_sync *sync)
{
  if (sync == NULL)
    return;
  g_array_free (sync->tasks, TRUE);
  g_array_free (sync->acks, TRUE);
  g_free (sync->address);
  g_free (sync->domain);
  g_free (sync);
}

struct iv_sync_reply *
iv_sync_reply_new (void)
{
  struct iv_sync_reply *reply = g_new0 (struct iv_sync_reply, 1);
  reply->reports = g_array_new (FALSE, TRUE, sizeof (struct iv_run_report));
  reply->usage = g_array_new (FALSE, TRUE, sizeof (ivx_usage));
  g_array_set_clear_func (reply->usage, clear_usage);
  return reply;
}

void
iv_sync_reply_free (struct iv_sync_reply *reply)
{
  if (reply == NULL)
    return;
  g_array_free (reply->reports, TRUE);
  g_array_free (reply->usage, TRUE);
  g_free (reply);
}

const char *
iv_run_state_name (enum iv_run_state state)
{
  return (guint)state < G_N_ELEMENTS (run_state_names) ? run_state_names[state] : "none";
}

enum iv_run_state
iv_run_state_parse (const char *name)
{
  for (guint i = 1; i < G_N_ELEMENTS (run_state_names); i++)
    if (name && strcmp (run_state_names[i], name) == 0)
      return (enum iv_run_state)i;
  return 0;
}
