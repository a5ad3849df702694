#include "hosts_task.h"

struct iv_hosts_task
{
  struct iv_app *app;
  /* Of the last list; both NULL before the first one. */
  GHashTable *workers; /* failure domain to GArray of struct iv_host_entry */
  GArray *instances;   /* of struct iv_instance_entry */
  struct iv_deadline read_timer;
};

static void
on_list_read (void *context, const struct iv_host_list *hosts)
{
  struct iv_hosts_task *task = context;
  struct iv_message message = { .kind = IV_MSG_HOSTS };
  iv_deadline_set (task->app->deadlines, &task->read_timer,
                   iv_app_now (task->app) + task->app->settings->platform.hosts_interval_ms);
  /* The old list stays in use until a new one has been read completely. */
  if (hosts == NULL)
    return;
  if (task->workers)
    g_hash_table_unref (task->workers);
  if (task->instances)
    g_array_unref (task->instances);
  task->workers = g_hash_table_ref (hosts->workers);
  task->instances = g_array_ref (hosts->instances);
  iv_mailbox_post (task->app->mailbox, &message);
}

static void
read_list (void *context)
{
  struct iv_hosts_task *task = context;
  const struct iv_platform_settings *platform = &task->app->settings->platform;
  task->app->hosts_ops.list (task->app->hosts_ops.context,
                             iv_app_now (task->app) + platform->timeout_ms, on_list_read, task);
}

struct iv_hosts_task *
iv_hosts_task_new (struct iv_app *app)
{
  struct iv_hosts_task *task = g_new0 (struct iv_hosts_task, 1);
  task->app = app;
  task->read_timer.fire = read_list;
  task->read_timer.context = task;
  iv_deadline_set (app->deadlines, &task->read_timer, iv_app_now (app));
  return task;
}

const GArray *
iv_hosts_task_workers (const struct iv_hosts_task *task, const char *domain)
{
  return task->workers ? g_hash_table_lookup (task->workers, domain) : NULL;
}

const GArray *
iv_hosts_task_instances (const struct iv_hosts_task *task)
{
  return task->instances;
}

gboolean
iv_hosts_task_names_any (const struct iv_hosts_task *task)
{
  return (task->workers && g_hash_table_size (task->workers) > 0)
         || (task->instances && task->instances->len > 0);
}

GArray *
iv_hosts_task_sizes (const struct iv_hosts_task *task)
{
  GArray *sizes = g_array_new (FALSE, FALSE, sizeof (ivx_size));
  GHashTableIter iter;
  gpointer value;
  if (task->workers == NULL)
    return sizes;
  g_hash_table_iter_init (&iter, task->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const GArray *list = value;
      for (guint i = 0; i < list->len; i++)
        g_array_append_val (sizes, g_array_index (list, struct iv_host_entry, i).info.size);
    }
  return sizes;
}
