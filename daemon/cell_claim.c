#include "cell_private.h"

#include "event.h"
#include "names.h"

#include <string.h>

#define CLAIM_TIMEOUT_MS 1000
#define HANDOVER_TIMEOUT_MS 500
#define RELEASED_FOR_MS 4000 /* unless nobody took the cell by then */
#define VACANT_IDLE_MS 500   /* the holder of the partition goes first when it owns no cell */
#define VACANT_BUSY_MS 3000  /* any host that owns no cell goes first */

static void
on_caught_up (void *context)
{
  struct iv_cell_task *task = context;
  if (!task->claiming || task->owner)
    return;
  if (iv_stream_position (task->links.jobs) < task->claim_end)
    iv_stream_barrier (task->links.jobs, on_caught_up, task);
  else
    iv_cell_begin (task);
}

static void
on_claimed (void *context, enum iv_store_outcome outcome, gint64 end)
{
  struct iv_cell_task *task = context;
  if (outcome != IV_STORE_OK || task->resigned)
    {
      iv_event (IV_LEVEL_INFO, "owner.claim_failed", "cell=%u term=%" G_GINT64_FORMAT " outcome=%s",
                task->cell, task->claim_term, iv_store_outcome_name (outcome));
      task->lost_term = MAX (task->lost_term, task->claim_term);
      task->claiming = FALSE;
      return;
    }
  task->claim_end = end;
  iv_stream_barrier (task->links.jobs, on_caught_up, task);
}

/* The claim tells everybody who owns the cell; from it on the stream takes no more progress of a
   former owner. Its sequence starts at random, so that of two claims with one term one fails. */
static void
send_claim (void *context)
{
  struct iv_cell_task *task = context;
  struct iv_store_writer writer = { .name = task->writer };
  GByteArray *body;
  char *value;
  if (!task->claiming || task->resigned)
    return;
  if (strcmp (task->incumbent, task->expected) != 0)
    {
      task->claiming = FALSE;
      return;
    }
  task->claim_term = MAX (iv_membership_generation (task->links.membership),
                          MAX (task->lost_term, task->incumbent_term) + 1);
  task->replaced_term = task->incumbent_term;
  task->sequence = g_random_int_range (1, G_MAXINT32 / 2);
  writer.epoch = task->claim_term;
  writer.sequence = task->sequence;
  body = g_byte_array_new ();
  value = g_strdup_printf ("%" G_GINT64_FORMAT " %s", task->claim_term,
                           iv_membership_name (task->links.membership));
  iv_cell_frame (task, body, IV_KEY_OWNER, value, strlen (value));
  iv_store_append (task->links.store, IV_TOPIC_JOBS, &writer, body,
                   iv_cell_now (task) + CLAIM_TIMEOUT_MS, on_claimed, task);
  g_free (value);
  g_byte_array_free (body, TRUE);
}

/* Claim once a fresh read has shown that nobody else did meanwhile. */
static void
claim (struct iv_cell_task *task)
{
  if (task->claiming || task->resigned || task->owner || !iv_stream_loaded (task->links.jobs))
    return;
  task->claiming = TRUE;
  g_free (task->expected);
  task->expected = g_strdup (task->incumbent);
  iv_stream_barrier (task->links.jobs, send_claim, task);
}

static gboolean
may_claim (const struct iv_cell_task *task)
{
  const struct iv_layout *layout = task->links.layout (task->links.context);
  return layout && task->cell < iv_layout_cells (layout) && !task->resigned && !task->owner
         && iv_cell_now (task) >= task->claim_after_ms;
}

static void
on_members (void *context, const GPtrArray *members)
{
  struct iv_cell_task *task = context;
  task->asking = FALSE;
  if (members == NULL || !may_claim (task)
      || !iv_membership_holds (task->links.membership, task->cell))
    return;
  for (guint i = 0; i < members->len; i++)
    if (strcmp (g_ptr_array_index (members, i), task->incumbent) == 0)
      return;
  claim (task);
}

/* Nobody owns the cell. Whoever holds its partition claims it, but one that owns another cell lets
   idle hosts go first. */
static void
claim_vacant (struct iv_cell_task *task)
{
  gboolean holds = iv_membership_holds (task->links.membership, task->cell);
  gboolean idle = task->links.is_idle (task->links.context);
  gint64 now = iv_cell_now (task);
  gint64 wait_ms = holds && idle ? 0 : idle ? VACANT_IDLE_MS : VACANT_BUSY_MS;
  if (task->vacant_ms == 0)
    task->vacant_ms = now;
  if ((holds || idle) && now >= task->vacant_ms + wait_ms)
    claim (task);
}

/* Whoever holds the cell's partition replaces an owner that is no member any more. */
void
iv_cell_task_confirmed (struct iv_cell_task *task)
{
  if (!may_claim (task) || task->claiming || task->asking)
    return;
  if (*task->incumbent == '\0')
    claim_vacant (task);
  else if (strcmp (task->incumbent, iv_membership_name (task->links.membership)) == 0)
    claim (task);
  else if (iv_membership_holds (task->links.membership, task->cell))
    {
      task->asking = TRUE;
      iv_membership_list (task->links.membership, on_members, task);
    }
}

void
iv_cell_task_claimed (struct iv_cell_task *task, const char *value, gsize len)
{
  char *text = g_strndup (value, len);
  char *member;
  gint64 term = g_ascii_strtoll (text, &member, 10);
  if (term > task->incumbent_term && *member == ' ')
    {
      task->incumbent_term = term;
      task->vacant_ms = 0;
      g_free (task->incumbent);
      task->incumbent = g_strdup (member + 1);
      if (task->owner && term > task->term)
        iv_cell_lose (task, "replaced");
    }
  g_free (text);
}

/* Without it the next owner waits longer, no more. */
static void
on_handed_over (void *context, enum iv_store_outcome outcome, gint64 end)
{
  iv_event (IV_LEVEL_INFO, "owner.handed_over", "outcome=%s", iv_store_outcome_name (outcome));
}

void
iv_cell_task_handover (struct iv_cell_task *task, const char *value, gsize len)
{
  char *text = g_strndup (value, len);
  g_strfreev (task->handover);
  task->handover = g_strsplit (text, " ", 0);
  g_free (text);
  /* Nobody owns the cell now: its successor need not wait until the owner is no member. */
  if (g_ascii_strtoll (task->handover[0], NULL, 10) == task->incumbent_term)
    {
      g_free (task->incumbent);
      task->incumbent = g_strdup ("");
    }
}

/* The next owner need not wait for workers that certainly run nothing. */
static void
hand_over (struct iv_cell_task *task)
{
  struct iv_store_writer nobody = { 0 };
  GPtrArray *ids = iv_owner_unresolved_workers (task->owner);
  GString *text = g_string_new (NULL);
  GByteArray *body = g_byte_array_new ();
  g_string_printf (text, "%" G_GINT64_FORMAT, task->term);
  for (guint i = 0; i < ids->len; i++)
    g_string_append_printf (text, " %s", (const char *)g_ptr_array_index (ids, i));
  iv_cell_frame (task, body, IV_KEY_HANDOVER, text->str, text->len);
  iv_store_append (task->links.store, IV_TOPIC_JOBS, &nobody, body,
                   iv_cell_now (task) + HANDOVER_TIMEOUT_MS, on_handed_over, NULL);
  g_byte_array_free (body, TRUE);
  g_string_free (text, TRUE);
  g_ptr_array_free (ids, TRUE);
}

void
iv_cell_task_release (struct iv_cell_task *task)
{
  if (task->owner == NULL)
    return;
  hand_over (task);
  iv_cell_lose (task, "released");
  task->claim_after_ms = iv_cell_now (task) + RELEASED_FOR_MS;
}

gboolean
iv_cell_task_is_by (const struct iv_cell_task *task, const char *member)
{
  return strcmp (task->incumbent, member) == 0;
}

gboolean
iv_cell_task_claims (const struct iv_cell_task *task)
{
  return task->claiming;
}

void
iv_cell_task_resign (struct iv_cell_task *task)
{
  if (task->resigned)
    return;
  if (task->owner)
    hand_over (task);
  iv_cell_lose (task, "resigned");
  task->resigned = TRUE;
  task->claiming = FALSE;
}
