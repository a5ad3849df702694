#include "deadlines.h"

#define TICK_MS 2 /* resolution of all deadlines */

struct iv_deadlines
{
  uv_timer_t timer;
  GTree *tree;
  guint64 next_sequence;
};

static gint
compare_deadlines (gconstpointer a, gconstpointer b)
{
  const struct iv_deadline *x = a, *y = b;
  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static struct iv_deadline *
earliest (struct iv_deadlines *deadlines)
{
  GTreeNode *node = g_tree_node_first (deadlines->tree);
  return node ? g_tree_node_key (node) : NULL;
}

static void
on_tick (uv_timer_t *timer)
{
  struct iv_deadlines *deadlines = timer->data;
  struct iv_deadline *deadline;
  gint64 now = (gint64)uv_now (timer->loop);
  while ((deadline = earliest (deadlines)) != NULL && deadline->at_ms <= now)
    {
      iv_deadline_unset (deadlines, deadline);
      deadline->fire (deadline->context);
    }
}

struct iv_deadlines *
iv_deadlines_new (uv_loop_t *loop)
{
  struct iv_deadlines *deadlines = g_new0 (struct iv_deadlines, 1);
  deadlines->tree = g_tree_new (compare_deadlines);
  uv_timer_init (loop, &deadlines->timer);
  deadlines->timer.data = deadlines;
  uv_timer_start (&deadlines->timer, on_tick, TICK_MS, TICK_MS);
  uv_unref ((uv_handle_t *)&deadlines->timer);
  return deadlines;
}

static void
on_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

void
iv_deadlines_free (struct iv_deadlines *deadlines)
{
  g_tree_destroy (deadlines->tree);
  uv_close ((uv_handle_t *)&deadlines->timer, on_closed);
}

void
iv_deadline_set (struct iv_deadlines *deadlines, struct iv_deadline *deadline, gint64 at_ms)
{
  iv_deadline_unset (deadlines, deadline);
  deadline->at_ms = at_ms;
  deadline->sequence = deadlines->next_sequence++;
  deadline->set = TRUE;
  g_tree_insert (deadlines->tree, deadline, deadline);
}

void
iv_deadline_unset (struct iv_deadlines *deadlines, struct iv_deadline *deadline)
{
  if (!deadline->set)
    return;
  deadline->set = FALSE;
  g_tree_remove (deadlines->tree, deadline);
}
