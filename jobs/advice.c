#include "advice.h"

#include "event.h"

#include <string.h>

#define ASK_MAX 30          /* workers in one question: it is answered after a time for each */
#define TICKET_LEAST_MS 300 /* for a start to arrive */
#define ASK_AGAIN_MS 200    /* after a question without an answer */

/* What is known of one worker. */
struct row
{
  gint64 start_time_ms; /* of the life that was asked about */
  gboolean allowed;
  char *ticket;
  gint64 until_ms;
};

struct iv_advice
{
  GHashTable *rows; /* handle to struct row */
};

static void
free_row (gpointer data)
{
  struct row *row = data;
  g_free (row->ticket);
  g_free (row);
}

void
iv_advice_free (struct iv_advice *advice)
{
  if (advice == NULL)
    return;
  g_hash_table_destroy (advice->rows);
  g_free (advice);
}

static struct row *
find_row (const struct iv_advice *advice, const struct iv_fleet_worker *worker)
{
  struct row *row
      = advice ? g_hash_table_lookup (advice->rows, GUINT_TO_POINTER (worker->handle)) : NULL;
  return row && row->start_time_ms == worker->start_time_ms ? row : NULL;
}

const char *
iv_advice_ticket (const struct iv_advice *advice, const struct iv_fleet_worker *worker,
                  gint64 now_ms)
{
  const struct row *row = find_row (advice, worker);
  return row && row->allowed && row->until_ms > now_ms + TICKET_LEAST_MS ? row->ticket : NULL;
}

gboolean
iv_advice_refused (const struct iv_advice *advice, const struct iv_fleet_worker *worker)
{
  const struct row *row = find_row (advice, worker);
  return row && !row->allowed;
}

void
iv_advice_forget (struct iv_advice *advice, const struct iv_fleet_worker *worker)
{
  struct row *row = find_row (advice, worker);
  if (row)
    row->until_ms = 0;
}

static gint
by_room (gconstpointer a, gconstpointer b)
{
  const struct iv_fleet_worker *x = *(struct iv_fleet_worker *const *)a;
  const struct iv_fleet_worker *y = *(struct iv_fleet_worker *const *)b;
  gint64 free_x = x->capacity.cpu_milli - x->used.cpu_milli;
  gint64 free_y = y->capacity.cpu_milli - y->used.cpu_milli;
  return free_x > free_y ? -1 : free_x < free_y;
}

/* Workers that could take a task of the stage if they were allowed to, most room first. */
static GPtrArray *
candidates (const struct iv_placement_view *view, const struct iv_stage *stage)
{
  GPtrArray *workers = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, view->owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (iv_place_fits (value, view) && !iv_advice_refused (stage->advice, value))
      g_ptr_array_add (workers, value);
  g_ptr_array_sort (workers, by_room);
  return workers;
}

void
iv_advice_ask (struct iv_owner *owner, const struct iv_placement_view *view, struct iv_stage *stage)
{
  struct iv_question *question = &owner->question;
  GPtrArray *workers;
  gboolean at_hand = FALSE;
  if (question->asked || view->now_ms < owner->ask_at_ms)
    return;
  workers = candidates (view, stage);
  for (guint i = 0; i < workers->len; i++)
    at_hand
        |= iv_advice_ticket (stage->advice, g_ptr_array_index (workers, i), view->now_ms) != NULL;
  if (!at_hand && workers->len > 0)
    {
      g_ptr_array_set_size (workers, (gint)MIN (workers->len, ASK_MAX));
      question->asked = TRUE;
      g_strlcpy (question->name.job, view->job->id, sizeof question->name.job);
      question->name.occurrence = view->occurrence;
      question->name.step = stage->number;
      question->workers = g_array_new (FALSE, FALSE, sizeof (struct iv_asked_worker));
      for (guint i = 0; i < workers->len; i++)
        {
          const struct iv_fleet_worker *worker = g_ptr_array_index (workers, i);
          struct iv_asked_worker row = { worker->handle, worker->start_time_ms };
          g_array_append_val (question->workers, row);
        }
      owner->effects.advise (owner->effects.context, &question->name, workers);
    }
  g_ptr_array_free (workers, TRUE);
}

static void
note_answer (struct iv_stage *stage, const struct iv_asked_worker *asked, const char *ticket,
             gint64 until_ms)
{
  struct row *row = g_new0 (struct row, 1);
  row->start_time_ms = asked->start_time_ms;
  row->allowed = ticket != NULL;
  row->ticket = g_strdup (ticket);
  row->until_ms = until_ms;
  if (stage->advice == NULL)
    {
      stage->advice = g_new0 (struct iv_advice, 1);
      stage->advice->rows = g_hash_table_new_full (NULL, NULL, NULL, free_row);
    }
  g_hash_table_replace (stage->advice->rows, GUINT_TO_POINTER (asked->handle), row);
}

static const char *
ticket_for (const struct iv_advice_answer *answer, const char *id)
{
  for (guint i = 0; i < answer->count; i++)
    if (strcmp (answer->allowed[i].worker, id) == 0)
      return answer->allowed[i].ticket;
  return NULL;
}

void
iv_owner_advised (struct iv_owner *owner, const struct iv_advice_answer *answer, gint64 now_ms)
{
  struct iv_question *question = &owner->question;
  struct iv_job_exec *exec = iv_owner_work (owner, &question->name);
  struct iv_stage *stage = NULL;
  if (!question->asked)
    return;
  if (exec)
    iv_job_exec_task (exec, &question->name, &stage);
  if (answer == NULL)
    owner->ask_at_ms = now_ms + ASK_AGAIN_MS;
  iv_event (IV_LEVEL_INFO, "advice.answered", "job=%s step=%u asked=%u allowed=%d",
            question->name.job, question->name.step, question->workers->len,
            answer ? (int)answer->count : -1);
  for (guint i = 0; answer && stage && i < question->workers->len; i++)
    {
      const struct iv_asked_worker *asked
          = &g_array_index (question->workers, struct iv_asked_worker, i);
      const struct iv_fleet_worker *worker = iv_fleet_worker (owner->fleet, asked->handle);
      if (worker)
        note_answer (stage, asked, ticket_for (answer, worker->id), now_ms + answer->valid_ms);
    }
  g_array_free (question->workers, TRUE);
  question->workers = NULL;
  question->asked = FALSE;
  owner->changed = TRUE;
}
