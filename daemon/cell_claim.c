#include "cell_private.h"

#include "authority.h"
#include "event.h"
#include "names.h"

#include <string.h>

#define CLAIM_TIMEOUT_MS 1000
#define TERM_MAX (G_MAXINT64 >> 24) /* the numbers of runs begin at a multiple of the term */
#define HANDOVER_TIMEOUT_MS 500
#define RECLAIM_DELAY_MS 4000 /* after a release, so that another host can claim the cell */
/* Delays before a cell without an owner is claimed. A host that holds its partition and owns no
   cell claims at once, then any host that owns no cell, then the holder even if it owns other
   cells. */
#define IDLE_CLAIM_DELAY_MS 500
#define BUSY_CLAIM_DELAY_MS 3000

static void
on_caught_up (void *context)
{
  struct iv_cell_task *task = context;
  if (!task->claiming || task->owner)
    return;
  if (iv_stream_position (task->deps.jobs) < task->claim_end_offset)
    iv_stream_barrier (task->deps.jobs, on_caught_up, task);
  else
    iv_cell_task_begin_ownership (task);
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
  task->claim_end_offset = end;
  iv_stream_barrier (task->deps.jobs, on_caught_up, task);
}

/* The first term from @a term on; hosts of earlier releases claim those between. */
static gint64
next_term (gint64 term)
{
  return (term + IV_FENCES_PER_TERM - 1) / IV_FENCES_PER_TERM * IV_FENCES_PER_TERM;
}

/* The claim announces the owner to all hosts. Its higher epoch also fences the previous owner: the
   store rejects progress records that it appends later. The sequence starts at a random number, so
   that of two claims with the same term one fails. */
static void
send_claim (void *context)
{
  struct iv_cell_task *task = context;
  struct iv_store_writer writer = { .name = task->writer };
  GByteArray *body;
  char *value;
  if (!task->claiming || task->resigned)
    return;
  if (strcmp (task->current_owner, task->expected_owner) != 0)
    {
      task->claiming = FALSE;
      return;
    }
  task->replaced_claim_ms = task->claim_applied_ms;
  task->claim_term = next_term (MAX (iv_membership_generation (task->deps.membership),
                                     MAX (task->lost_term, task->current_term) + 1));
  task->replaced_term = task->current_term;
  task->claim_sequence = g_random_int_range (1, G_MAXINT32 / 2);
  writer.epoch = task->claim_term;
  writer.sequence = task->claim_sequence;
  body = g_byte_array_new ();
  value = g_strdup_printf ("%" G_GINT64_FORMAT " %s", task->claim_term,
                           iv_membership_name (task->deps.membership));
  iv_cell_task_frame_record (task, body, IV_KEY_OWNER, value, strlen (value));
  iv_store_append (task->deps.store, IV_TOPIC_JOBS, &writer, body,
                   iv_cell_task_now_ms (task) + CLAIM_TIMEOUT_MS, on_claimed, task);
  g_free (value);
  g_byte_array_free (body, TRUE);
}

/* Claims after a fresh read, which shows whether another host has claimed meanwhile. */
static void
claim (struct iv_cell_task *task, gboolean previous_ended)
{
  if (task->claiming || task->resigned || task->owner || !iv_stream_loaded (task->deps.jobs))
    return;
  task->claiming = TRUE;
  task->previous_ended = previous_ended;
  g_free (task->expected_owner);
  task->expected_owner = g_strdup (task->current_owner);
  iv_stream_barrier (task->deps.jobs, send_claim, task);
}

static gboolean
may_claim (const struct iv_cell_task *task)
{
  const struct iv_layout *layout = task->deps.layout (task->deps.context);
  return layout && task->cell < iv_layout_cells (layout) && !task->resigned && !task->owner
         && iv_cell_task_now_ms (task) >= task->claim_not_before_ms;
}

static void
on_members (void *context, const GPtrArray *members)
{
  struct iv_cell_task *task = context;
  enum iv_owner_presence presence;
  task->listing_members = FALSE;
  if (members == NULL || !may_claim (task)
      || !iv_membership_holds_cell (task->deps.membership, task->cell))
    return;
  presence = iv_authority_find_owner (members, task->current_owner,
                                      iv_membership_member_ms (task->deps.membership));
  if (presence != IV_OWNER_PRESENT)
    claim (task, presence == IV_OWNER_ENDED);
}

/* The cell has no owner. The holder of its partition claims it, but after idle hosts if it owns
   another cell already. */
static void
claim_vacant (struct iv_cell_task *task)
{
  gboolean holds_partition = iv_membership_holds_cell (task->deps.membership, task->cell);
  gboolean idle = task->deps.is_idle (task->deps.context);
  gint64 now = iv_cell_task_now_ms (task);
  gint64 wait_ms = holds_partition && idle ? 0 : idle ? IDLE_CLAIM_DELAY_MS : BUSY_CLAIM_DELAY_MS;
  if (task->vacant_since_ms == 0)
    task->vacant_since_ms = now;
  if ((holds_partition || idle) && now >= task->vacant_since_ms + wait_ms)
    claim (task, FALSE);
}

/* The holder of the cell's partition replaces an owner that is no longer a member. */
void
iv_cell_task_member_confirmed (struct iv_cell_task *task)
{
  if (!may_claim (task) || task->claiming || task->listing_members)
    return;
  if (*task->current_owner == '\0')
    claim_vacant (task);
  else if (strcmp (task->current_owner, iv_membership_name (task->deps.membership)) == 0)
    claim (task, FALSE);
  else if (iv_membership_holds_cell (task->deps.membership, task->cell))
    {
      task->listing_members = TRUE;
      iv_membership_list (task->deps.membership, on_members, task);
    }
}

void
iv_cell_task_apply_claim (struct iv_cell_task *task, const char *value, gsize len)
{
  char *text = g_strndup (value, len);
  char *member;
  gint64 term = g_ascii_strtoll (text, &member, 10);
  if (term <= 0 || term > TERM_MAX || *member != ' ')
    iv_event (IV_LEVEL_WARNING, "record.ignored", "key=" IV_KEY_OWNER "%u reason=malformed_claim",
              task->cell);
  else if (term > task->current_term)
    {
      /* Stored between our read of the claims and our own claim. */
      if (task->claiming && term < task->claim_term)
        {
          task->replaced_term = term;
          task->previous_ended = FALSE;
        }
      task->current_term = term;
      task->vacant_since_ms = 0;
      task->claim_applied_ms = iv_cell_task_now_ms (task);
      g_free (task->current_owner);
      task->current_owner = g_strdup (member + 1);
      if (task->owner && term > task->term)
        iv_cell_task_end_ownership (task, "replaced");
    }
  g_free (text);
}

/* A handover that was not stored only makes the next owner wait longer. */
static void
on_handed_over (void *context, enum iv_store_outcome outcome, gint64 end)
{
  iv_event (IV_LEVEL_INFO, "owner.handed_over", "outcome=%s", iv_store_outcome_name (outcome));
}

void
iv_cell_task_apply_handover (struct iv_cell_task *task, const char *value, gsize len)
{
  char *text = g_strndup (value, len);
  g_strfreev (task->handover);
  task->handover = g_strsplit (text, " ", 0);
  g_free (text);
  /* The cell has no owner now: the next owner need not wait until this member has left. */
  if (g_ascii_strtoll (task->handover[0], NULL, 10) == task->current_term)
    {
      g_free (task->current_owner);
      task->current_owner = g_strdup ("");
    }
}

/* Records the unresolved workers, so that the next owner does not wait for the other ones. */
static void
hand_over (struct iv_cell_task *task)
{
  struct iv_store_writer no_writer = { 0 };
  GPtrArray *ids = iv_owner_unresolved_workers (task->owner);
  GString *text = g_string_new (NULL);
  GByteArray *body = g_byte_array_new ();
  g_string_printf (text, "%" G_GINT64_FORMAT, task->term);
  for (guint i = 0; i < ids->len; i++)
    g_string_append_printf (text, " %s", (const char *)g_ptr_array_index (ids, i));
  g_string_append (text, " " IV_HANDOVER_WAITS);
  for (guint i = 0; i < ids->len; i++)
    g_string_append_printf (text, " %" G_GINT64_FORMAT,
                            iv_owner_unresolved_ms (task->owner, g_ptr_array_index (ids, i),
                                                    iv_cell_task_now_ms (task)));
  iv_cell_task_frame_record (task, body, IV_KEY_HANDOVER, text->str, text->len);
  iv_store_append (task->deps.store, IV_TOPIC_JOBS, &no_writer, body,
                   iv_cell_task_now_ms (task) + HANDOVER_TIMEOUT_MS, on_handed_over, NULL);
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
  iv_cell_task_end_ownership (task, "released");
  task->claim_not_before_ms = iv_cell_task_now_ms (task) + RECLAIM_DELAY_MS;
}

gboolean
iv_cell_task_is_claimed_by (const struct iv_cell_task *task, const char *member)
{
  return strcmp (task->current_owner, member) == 0;
}

gboolean
iv_cell_task_is_claiming (const struct iv_cell_task *task)
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
  iv_cell_task_end_ownership (task, "resigned");
  task->resigned = TRUE;
  task->claiming = FALSE;
}
