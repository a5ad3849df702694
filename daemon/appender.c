#include "appender.h"

#include <string.h>
#include <xxhash.h>

#define RETRY_MS 100
/* A group is closed once it has this many records or its records this many bytes. */
#define GROUP_RECORDS_MAX 1000
#define GROUP_BYTES_MAX (256 * 1024)

/* A record whose outcome is not known. */
struct entry
{
  ivx_record record;
  gboolean own_batch;
  struct iv_deadline deadline;
  iv_appender_result_fn done; /* NULL once it has been called */
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
  gint64 interval_ms;
  gint64 timeout_ms;
  gboolean trust_ack;
  GQueue *queued;            /* of struct entry: not in a batch yet */
  GPtrArray *group;          /* of struct entry: the records of the batch in flight */
  GByteArray *batch;         /* that batch, encoded; NULL if none is in flight */
  gboolean maybe_sent;       /* an append of that batch may have reached the log */
  gboolean append_in_flight; /* an append has no response yet */
  gint64 last_append_ms;
  gint64 next_append_ms;
  struct iv_deadline send_timer;
};

static void send_next (void *context);

static void
free_entry (gpointer data)
{
  struct entry *entry = data;
  iv_deadline_unset (entry->appender->deadlines, &entry->deadline);
  xdr_free ((xdrproc_t)xdr_ivx_record, (char *)&entry->record);
  g_free (entry);
}

static void
complete_entry (struct entry *entry, enum iv_status status, guint64 offset)
{
  iv_appender_result_fn done = entry->done;
  entry->done = NULL;
  if (done)
    done (entry->context, status, offset);
}

static void
complete_group (struct iv_appender *appender, guint64 offset)
{
  GPtrArray *group = appender->group;
  appender->group = g_ptr_array_new_with_free_func (free_entry);
  g_byte_array_free (appender->batch, TRUE);
  appender->batch = NULL;
  appender->next_append_ms = appender->last_append_ms + appender->interval_ms;
  for (guint i = 0; i < group->len; i++)
    complete_entry (g_ptr_array_index (group, i), IV_OK, offset);
  g_ptr_array_free (group, TRUE);
  send_next (appender);
}

static void
on_entry_timeout (void *context)
{
  struct entry *entry = context;
  struct iv_appender *appender = entry->appender;
  if (g_queue_remove (appender->queued, entry))
    {
      complete_entry (entry, IV_ERR_UNAVAILABLE, 0);
      free_entry (entry);
      return;
    }
  complete_entry (entry, IV_ERR_TIMEOUT, 0);
}

/* Whether the group was never sent and has no callback left to call, so that it can be dropped. */
static gboolean
is_abandoned (const struct iv_appender *appender)
{
  for (guint i = 0; i < appender->group->len; i++)
    if (((struct entry *)g_ptr_array_index (appender->group, i))->done)
      return FALSE;
  return !appender->maybe_sent && appender->group->len > 0;
}

static void
build_batch (struct iv_appender *appender)
{
  GArray *records = iv_records_new ();
  ivx_batch batch = { .writer = appender->writer,
                      .incarnation = appender->incarnation,
                      .sequence = ++appender->sequence };
  gsize bytes = 0;
  struct entry *entry;
  while ((entry = g_queue_peek_head (appender->queued)) != NULL && records->len < GROUP_RECORDS_MAX
         && bytes < GROUP_BYTES_MAX)
    {
      ivx_record copy = { 0 };
      if (entry->own_batch && records->len > 0)
        break;
      g_queue_pop_head (appender->queued);
      g_ptr_array_add (appender->group, entry);
      iv_xdr_copy ((iv_xdr_proc)xdr_ivx_record, &entry->record, &copy);
      bytes += xdr_sizeof ((xdrproc_t)xdr_ivx_record, &copy);
      iv_records_add (records, &copy);
      if (entry->own_batch)
        break;
    }
  iv_batch_take (&batch, records);
  appender->batch = iv_batch_encode (&batch);
  appender->maybe_sent = FALSE;
  iv_batch_clear (&batch);
  g_array_free (records, TRUE);
}

static void
on_appended (void *context, enum iv_status status, guint64 offset)
{
  struct iv_appender *appender = context;
  appender->append_in_flight = FALSE;
  if (appender->batch == NULL)
    {
      send_next (appender);
      return;
    }
  if (status != IV_ERR_UNAVAILABLE)
    appender->maybe_sent = TRUE;
  if (status == IV_OK && appender->trust_ack)
    {
      complete_group (appender, offset);
      return;
    }
  appender->next_append_ms
      = (gint64)uv_now (appender->loop) + (status == IV_OK ? appender->timeout_ms : RETRY_MS);
  send_next (appender);
}

static void
send_next (void *context)
{
  struct iv_appender *appender = context;
  gint64 now = (gint64)uv_now (appender->loop);
  if (appender->append_in_flight)
    return;
  if (appender->batch && is_abandoned (appender))
    {
      g_ptr_array_set_size (appender->group, 0);
      g_byte_array_free (appender->batch, TRUE);
      appender->batch = NULL;
    }
  if (appender->batch == NULL && appender->queued->length == 0)
    return;
  if (now < appender->next_append_ms)
    {
      iv_deadline_set (appender->deadlines, &appender->send_timer, appender->next_append_ms);
      return;
    }
  if (appender->batch == NULL)
    build_batch (appender);
  appender->append_in_flight = TRUE;
  appender->last_append_ms = now;
  appender->next_append_ms = now + appender->interval_ms;
  appender->log->append (appender->log->context, appender->stream, appender->batch->data,
                         appender->batch->len, now + appender->timeout_ms, on_appended, appender);
}

struct iv_appender *
iv_appender_new (uv_loop_t *loop, struct iv_deadlines *deadlines, const struct iv_log_ops *log,
                 const char *stream, const char *identity, guint64 incarnation, gint64 interval_ms,
                 gint64 timeout_ms, gboolean trust_ack)
{
  struct iv_appender *appender = g_new0 (struct iv_appender, 1);
  appender->loop = loop;
  appender->deadlines = deadlines;
  appender->log = log;
  appender->stream = g_strdup (stream);
  appender->writer = XXH3_64bits (identity, strlen (identity));
  appender->incarnation = incarnation;
  appender->interval_ms = interval_ms;
  appender->timeout_ms = timeout_ms;
  appender->trust_ack = trust_ack;
  appender->queued = g_queue_new ();
  appender->group = g_ptr_array_new_with_free_func (free_entry);
  appender->send_timer.fire = send_next;
  appender->send_timer.context = appender;
  return appender;
}

void
iv_appender_free (struct iv_appender *appender)
{
  iv_deadline_unset (appender->deadlines, &appender->send_timer);
  g_queue_free_full (appender->queued, free_entry);
  g_ptr_array_free (appender->group, TRUE);
  if (appender->batch)
    g_byte_array_free (appender->batch, TRUE);
  g_free (appender->stream);
  g_free (appender);
}

void
iv_appender_add (struct iv_appender *appender, const ivx_record *record, gboolean own_batch,
                 gint64 deadline_ms, iv_appender_result_fn done, void *context)
{
  struct entry *entry = g_new0 (struct entry, 1);
  entry->record = *record;
  entry->own_batch = own_batch;
  entry->done = done;
  entry->context = context;
  entry->appender = appender;
  entry->deadline.fire = on_entry_timeout;
  entry->deadline.context = entry;
  iv_deadline_set (appender->deadlines, &entry->deadline, deadline_ms);
  g_queue_push_tail (appender->queued, entry);
  send_next (appender);
}

void
iv_appender_confirm_batch (struct iv_appender *appender, guint64 offset, const ivx_batch *batch)
{
  if (appender->batch == NULL || batch->writer != appender->writer
      || batch->incarnation != appender->incarnation || batch->sequence != appender->sequence)
    return;
  complete_group (appender, offset);
}

guint64
iv_appender_writer (const struct iv_appender *appender)
{
  return appender->writer;
}

guint
iv_appender_pending (const struct iv_appender *appender)
{
  return appender->queued->length + appender->group->len;
}
