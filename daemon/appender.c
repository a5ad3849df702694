#include "appender.h"

#include <string.h>
#include <xxhash.h>

#define RETRY_MS 100
#define GROUP_MAX 1000
#define GROUP_BYTES_MAX (256 * 1024)

struct entry
{
  ivx_record record;
  gboolean alone;
  struct iv_deadline deadline;
  iv_appended_fn done; /* NULL once it was called */
  void *context;
  struct iv_appender *appender;
};

struct iv_appender
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  const struct iv_log_ops *log;
  char *stream;
  guint64 writer;
  guint64 incarnation;
  guint64 sequence;
  gint64 every_ms;
  gint64 timeout_ms;
  gboolean trust_answer;
  GQueue *waiting;   /* of struct entry */
  GPtrArray *group;  /* entries of the batch under way */
  GByteArray *bytes; /* that batch; NULL when there is none */
  gboolean maybe_sent;
  gboolean calling;
  gint64 last_append_ms;
  gint64 next_append_ms;
  struct iv_deadline again;
};

static void go_on (void *context);

static void
free_entry (gpointer data)
{
  struct entry *entry = data;
  iv_deadline_unset (entry->appender->deadlines, &entry->deadline);
  xdr_free ((xdrproc_t)xdr_ivx_record, (char *)&entry->record);
  g_free (entry);
}

static void
settle_entry (struct entry *entry, enum iv_status status, guint64 offset)
{
  iv_appended_fn done = entry->done;
  entry->done = NULL;
  if (done)
    done (entry->context, status, offset);
}

static void
settle_group (struct iv_appender *appender, guint64 offset)
{
  GPtrArray *group = appender->group;
  appender->group = g_ptr_array_new_with_free_func (free_entry);
  g_byte_array_free (appender->bytes, TRUE);
  appender->bytes = NULL;
  appender->next_append_ms = appender->last_append_ms + appender->every_ms;
  for (guint i = 0; i < group->len; i++)
    settle_entry (g_ptr_array_index (group, i), IV_OK, offset);
  g_ptr_array_free (group, TRUE);
  go_on (appender);
}

static void
on_entry_deadline (void *context)
{
  struct entry *entry = context;
  struct iv_appender *appender = entry->appender;
  if (g_queue_remove (appender->waiting, entry))
    {
      settle_entry (entry, IV_ERR_UNAVAILABLE, 0);
      free_entry (entry);
      return;
    }
  settle_entry (entry, IV_ERR_TIMEOUT, 0);
}

/* A group of which nothing was ever sent and for which nobody waits any longer is given up. */
static gboolean
is_abandoned (const struct iv_appender *appender)
{
  for (guint i = 0; i < appender->group->len; i++)
    if (((struct entry *)g_ptr_array_index (appender->group, i))->done)
      return FALSE;
  return !appender->maybe_sent && appender->group->len > 0;
}

static void
form_group (struct iv_appender *appender)
{
  GArray *records = iv_records_new ();
  ivx_batch batch = { .writer = appender->writer,
                      .incarnation = appender->incarnation,
                      .sequence = ++appender->sequence };
  gsize bytes = 0;
  struct entry *entry;
  while ((entry = g_queue_peek_head (appender->waiting)) != NULL && records->len < GROUP_MAX
         && bytes < GROUP_BYTES_MAX)
    {
      ivx_record copy = { 0 };
      if (entry->alone && records->len > 0)
        break;
      g_queue_pop_head (appender->waiting);
      g_ptr_array_add (appender->group, entry);
      iv_xdr_copy ((iv_xdr_proc)xdr_ivx_record, &entry->record, &copy);
      bytes += xdr_sizeof ((xdrproc_t)xdr_ivx_record, &copy);
      iv_records_add (records, &copy);
      if (entry->alone)
        break;
    }
  iv_batch_take (&batch, records);
  appender->bytes = iv_batch_encode (&batch);
  appender->maybe_sent = FALSE;
  iv_batch_clear (&batch);
  g_array_free (records, TRUE);
}

static void
on_appended (void *context, enum iv_status status, guint64 offset)
{
  struct iv_appender *appender = context;
  appender->calling = FALSE;
  if (appender->bytes == NULL)
    {
      go_on (appender);
      return;
    }
  if (status != IV_ERR_UNAVAILABLE)
    appender->maybe_sent = TRUE;
  if (status == IV_OK && appender->trust_answer)
    {
      settle_group (appender, offset);
      return;
    }
  appender->next_append_ms
      = (gint64)uv_now (appender->loop) + (status == IV_OK ? appender->timeout_ms : RETRY_MS);
  go_on (appender);
}

static void
go_on (void *context)
{
  struct iv_appender *appender = context;
  gint64 now = (gint64)uv_now (appender->loop);
  if (appender->calling)
    return;
  if (appender->bytes && is_abandoned (appender))
    {
      g_ptr_array_set_size (appender->group, 0);
      g_byte_array_free (appender->bytes, TRUE);
      appender->bytes = NULL;
    }
  if (appender->bytes == NULL && appender->waiting->length == 0)
    return;
  if (now < appender->next_append_ms)
    {
      iv_deadline_set (appender->deadlines, &appender->again, appender->next_append_ms);
      return;
    }
  if (appender->bytes == NULL)
    form_group (appender);
  appender->calling = TRUE;
  appender->last_append_ms = now;
  appender->next_append_ms = now + appender->every_ms;
  appender->log->append (appender->log->context, appender->stream, appender->bytes->data,
                         appender->bytes->len, now + appender->timeout_ms, on_appended, appender);
}

struct iv_appender *
iv_appender_new (uv_loop_t *loop, struct iv_deadlines *deadlines, const struct iv_log_ops *log,
                 const char *stream, const char *identity, guint64 incarnation, gint64 every_ms,
                 gint64 timeout_ms, gboolean trust_answer)
{
  struct iv_appender *appender = g_new0 (struct iv_appender, 1);
  appender->loop = loop;
  appender->deadlines = deadlines;
  appender->log = log;
  appender->stream = g_strdup (stream);
  appender->writer = XXH3_64bits (identity, strlen (identity));
  appender->incarnation = incarnation;
  appender->every_ms = every_ms;
  appender->timeout_ms = timeout_ms;
  appender->trust_answer = trust_answer;
  appender->waiting = g_queue_new ();
  appender->group = g_ptr_array_new_with_free_func (free_entry);
  appender->again.fire = go_on;
  appender->again.context = appender;
  return appender;
}

void
iv_appender_free (struct iv_appender *appender)
{
  iv_deadline_unset (appender->deadlines, &appender->again);
  g_queue_free_full (appender->waiting, free_entry);
  g_ptr_array_free (appender->group, TRUE);
  if (appender->bytes)
    g_byte_array_free (appender->bytes, TRUE);
  g_free (appender->stream);
  g_free (appender);
}

void
iv_appender_add (struct iv_appender *appender, const ivx_record *record, gboolean alone,
                 gint64 deadline_ms, iv_appended_fn done, void *context)
{
  struct entry *entry = g_new0 (struct entry, 1);
  entry->record = *record;
  entry->alone = alone;
  entry->done = done;
  entry->context = context;
  entry->appender = appender;
  entry->deadline.fire = on_entry_deadline;
  entry->deadline.context = entry;
  iv_deadline_set (appender->deadlines, &entry->deadline, deadline_ms);
  g_queue_push_tail (appender->waiting, entry);
  go_on (appender);
}

void
iv_appender_read_back (struct iv_appender *appender, guint64 offset, const ivx_batch *batch)
{
  if (appender->bytes == NULL || batch->writer != appender->writer
      || batch->incarnation != appender->incarnation || batch->sequence != appender->sequence)
    return;
  settle_group (appender, offset);
}

guint64
iv_appender_writer (const struct iv_appender *appender)
{
  return appender->writer;
}

guint
iv_appender_waiting (const struct iv_appender *appender)
{
  return appender->waiting->length + appender->group->len;
}
