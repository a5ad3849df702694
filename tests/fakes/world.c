#include "world.h"

#include "chunks.h"

#include <stdio.h>
#include <string.h>

#define START_MS 1000000
#define START_WALL_MS G_GUINT64_CONSTANT (1700000000000)
#define APPEND_RETRY_MS 500
#define DELAY_MAX_MS 20

/* Probabilities while the log is lossy. */
#define APPEND_LOST 0.3
#define MOVE_CONFIRMED 0.5

/* Ids of the writers of batches: operators, the configuration of a host, the moves of a host. */
#define OPERATOR_WRITER 1
#define CONFIG_WRITER_BASE 100
#define MOVE_WRITER_BASE 1000

static const char *const domain_names[WORLD_DOMAINS] = { "alpha", "beta" };

const char *
world_domain_name (guint domain)
{
  return domain_names[domain];
}

static struct fake_stream *
domain_stream (struct world *world, guint domain)
{
  char *name = g_strdup_printf ("domain.%s", domain_names[domain]);
  struct fake_stream *stream = fake_log_stream (world->log, name);
  g_free (name);
  return stream;
}

static struct iv_now
current_time (const struct world *world)
{
  return (struct iv_now){ world->now_ms, world->wall_ms };
}

static void
free_message (gpointer data)
{
  struct world_message *message = data;
  iv_sync_free (message->sync);
  iv_sync_reply_free (message->reply);
  g_free (message);
}

static void
start_host (struct world *world, guint index)
{
  struct world_host *host = &world->hosts[index];
  host->incarnation = ++world->last_id;
  host->config = iv_config_new ();
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    {
      struct iv_planner_options options = world->options;
      options.rank = (index + d) % WORLD_HOSTS;
      host->planners[d] = iv_planner_new (domain_names[d], host->name, host->incarnation, &options,
                                          world->now_ms);
      host->next_offset[d] = 0;
    }
}

static void
stop_host (struct world_host *host)
{
  iv_config_free (host->config);
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    {
      iv_planner_free (host->planners[d]);
      if (host->batch[d])
        g_byte_array_free (host->batch[d], TRUE);
      host->batch[d] = NULL;
    }
}

void
world_replace_host (struct world *world, guint index)
{
  stop_host (&world->hosts[index]);
  start_host (world, index);
}

struct world *
world_new (guint64 seed, const struct iv_planner_options *options)
{
  struct world *world = g_new0 (struct world, 1);
  ivx_size size = { 8000, 16000, 1 };
  world->now_ms = START_MS;
  world->wall_ms = START_WALL_MS;
  world->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (world->rng, seed);
  world->options = *options;
  world->log = fake_log_new ();
  world->messages = g_ptr_array_new_with_free_func (free_message);
  world->delay_max_ms = DELAY_MAX_MS;
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    {
      world->out_since_ms[d] = -1;
      for (guint w = 0; w < WORLD_WORKERS; w++)
        {
          char *name = g_strdup_printf ("%s-w%u", domain_names[d], w);
          world->workers[d][w]
              = fake_worker_new (name, size, world->now_ms, world->wall_ms, ++world->last_id);
          world->worker_listed[d][w] = TRUE;
          g_free (name);
        }
    }
  for (guint h = 0; h < WORLD_HOSTS; h++)
    {
      world->hosts[h].name = g_strdup_printf ("host%u", h);
      start_host (world, h);
    }
  return world;
}

void
world_free (struct world *world)
{
  for (guint h = 0; h < WORLD_HOSTS; h++)
    {
      stop_host (&world->hosts[h]);
      g_free (world->hosts[h].name);
    }
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    for (guint w = 0; w < WORLD_WORKERS; w++)
      fake_worker_free (world->workers[d][w]);
  g_ptr_array_free (world->messages, TRUE);
  fake_log_free (world->log);
  gsl_rng_free (world->rng);
  g_free (world);
}

static void
append_config_batch (struct world *world, guint64 writer, guint64 incarnation, guint64 sequence,
                     GArray *records)
{
  ivx_batch batch = { .writer = writer, .incarnation = incarnation, .sequence = sequence };
  GByteArray *bytes;
  iv_batch_take (&batch, records);
  bytes = iv_batch_encode (&batch);
  fake_stream_append (fake_log_stream (world->log, "config"), bytes->data, bytes->len,
                      world->now_ms);
  g_byte_array_free (bytes, TRUE);
  iv_batch_clear (&batch);
}

void
world_append_config (struct world *world, const ivx_record *record)
{
  GArray *records = iv_records_new ();
  iv_records_add (records, record);
  append_config_batch (world, OPERATOR_WRITER, 1, ++world->last_id, records);
  g_array_free (records, TRUE);
}

void
world_submit_job (struct world *world, const char *name, guint domain, guint tasks, guint cpu_milli,
                  guint run_ms, gboolean at_most_once)
{
  ivx_record record = { .kind = IVX_SUBMIT };
  ivx_item *item = &record.ivx_record_u.submit;
  item->change = IVX_ADDED;
  item->type = IVX_JOB;
  item->name = iv_record_strdup (name);
  item->team = iv_record_strdup ("team");
  item->size = (ivx_size){ cpu_milli, 1000, 0 };
  item->tasks = tasks;
  item->run_ms = run_ms;
  item->at_most_once = at_most_once;
  item->shares.shares_val = calloc (1, sizeof (ivx_share));
  item->shares.shares_len = 1;
  item->shares.shares_val[0] = (ivx_share){ iv_record_strdup (domain_names[domain]), 0, tasks };
  world_append_config (world, &record);
}

void
world_cancel_job (struct world *world, const char *name)
{
  ivx_record record = { .kind = IVX_CANCEL };
  record.ivx_record_u.cancel.job = iv_record_strdup (name);
  world_append_config (world, &record);
}

void
world_set_domain_out (struct world *world, guint domain, gboolean out)
{
  ivx_record record = { .kind = IVX_DOMAIN };
  record.ivx_record_u.domain.name = iv_record_strdup (domain_names[domain]);
  record.ivx_record_u.domain.out = out;
  world_append_config (world, &record);
  if (!out)
    world->out_since_ms[domain] = -1;
  else if (world->out_since_ms[domain] < 0)
    world->out_since_ms[domain] = world->now_ms;
}

void
world_clear_faults (struct world *world)
{
  world->log_down = world->lossy_log = FALSE;
  world->delay_max_ms = DELAY_MAX_MS;
  memset (world->partitioned, 0, sizeof world->partitioned);
  memset (world->worker_frozen, 0, sizeof world->worker_frozen);
  for (guint h = 0; h < WORLD_HOSTS; h++)
    {
      struct world_host *host = &world->hosts[h];
      if (host->dead)
        world_replace_host (world, h);
      host->paused = host->dead = host->log_partitioned = FALSE;
    }
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    for (guint w = 0; w < WORLD_WORKERS; w++)
      {
        world->workers[d][w]->fail_all_tasks = FALSE;
        world->worker_listed[d][w] = TRUE;
      }
}

/* End offset of the newest complete snapshot in the stream; 0 when there is none. */
static guint64
last_snapshot (const struct fake_stream *stream)
{
  struct iv_chunks *chunks = iv_chunks_new ();
  guint64 last = 0;
  for (guint64 offset = stream->first; offset < fake_stream_end (stream); offset++)
    {
      gsize len;
      const guint8 *bytes = g_bytes_get_data (fake_stream_read (stream, offset), &len);
      guint64 end_offset;
      ivx_batch batch;
      g_assert (iv_batch_decode (bytes, len, &batch) == IV_OK);
      if (iv_chunks_add (chunks, &batch, &end_offset))
        last = end_offset;
      iv_batch_clear (&batch);
    }
  iv_chunks_free (chunks);
  return last;
}

void
world_expire_records (struct world *world, gint64 age_ms)
{
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    {
      struct fake_stream *stream = domain_stream (world, d);
      guint64 last = last_snapshot (stream);
      gint64 before_ms = world->now_ms - age_ms;
      if (last < fake_stream_end (stream))
        before_ms = MIN (before_ms, g_array_index (stream->append_times_ms, gint64, last));
      fake_stream_expire (stream, before_ms);
    }
}

struct iv_planner *
world_owner_planner (struct world *world, guint domain)
{
  for (guint h = 0; h < WORLD_HOSTS; h++)
    if (!world->hosts[h].dead && iv_planner_owns (world->hosts[h].planners[domain]))
      return world->hosts[h].planners[domain];
  return NULL;
}

static gboolean
can_reach_log (const struct world *world, const struct world_host *host)
{
  return !world->log_down && !host->log_partitioned;
}

static void
read_config (struct world *world, struct world_host *host)
{
  struct fake_stream *stream = fake_log_stream (world->log, "config");
  while (host->config->next < fake_stream_end (stream))
    {
      gsize len;
      const guint8 *bytes = g_bytes_get_data (fake_stream_read (stream, host->config->next), &len);
      ivx_batch batch;
      g_assert (iv_batch_decode (bytes, len, &batch) == IV_OK);
      iv_config_apply (host->config, host->config->next, &batch);
      iv_batch_clear (&batch);
    }
}

/* Restore the planner from the newest snapshot whose following records are all retained. FALSE when
   there is none. */
static gboolean
restore (struct world *world, struct world_host *host, guint domain)
{
  struct fake_stream *stream = domain_stream (world, domain);
  struct iv_chunks *chunks = iv_chunks_new ();
  gboolean found = FALSE;
  for (guint64 offset = stream->first; offset < fake_stream_end (stream); offset++)
    {
      gsize len;
      const guint8 *bytes = g_bytes_get_data (fake_stream_read (stream, offset), &len);
      const GByteArray *snapshot;
      guint64 end_offset;
      ivx_batch batch;
      g_assert (iv_batch_decode (bytes, len, &batch) == IV_OK);
      snapshot = iv_chunks_add (chunks, &batch, &end_offset);
      iv_batch_clear (&batch);
      if (snapshot && end_offset >= stream->first)
        {
          struct iv_cell *cell = iv_cell_load (domain_names[domain], snapshot->data, snapshot->len);
          g_assert (cell != NULL);
          iv_planner_restore (host->planners[domain], cell);
          host->next_offset[domain] = end_offset;
          found = TRUE;
        }
    }
  iv_chunks_free (chunks);
  return found;
}

static gboolean
read_domain (struct world *world, struct world_host *host, guint domain)
{
  struct fake_stream *stream = domain_stream (world, domain);
  if (host->next_offset[domain] < stream->first && !restore (world, host, domain))
    return FALSE;
  while (host->next_offset[domain] < fake_stream_end (stream))
    {
      guint64 offset = host->next_offset[domain]++;
      gsize len;
      const guint8 *bytes = g_bytes_get_data (fake_stream_read (stream, offset), &len);
      ivx_batch batch;
      g_assert (iv_batch_decode (bytes, len, &batch) == IV_OK);
      iv_planner_apply (host->planners[domain], current_time (world), offset, &batch);
      iv_batch_clear (&batch);
    }
  if (host->batch[domain] && !iv_planner_append_pending (host->planners[domain]))
    {
      g_byte_array_free (host->batch[domain], TRUE);
      host->batch[domain] = NULL;
    }
  return TRUE;
}

static void
set_worker_list (struct world *world, struct world_host *host, guint domain)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct iv_host_entry));
  for (guint w = 0; w < WORLD_WORKERS; w++)
    {
      struct fake_worker *worker = world->workers[domain][w];
      struct iv_host_entry entry = { 0 };
      entry.info.name = worker->name;
      entry.info.rack = (char *)"rack";
      entry.info.address = worker->name;
      entry.info.size = worker->size;
      entry.info.start_ms = START_WALL_MS;
      if (world->worker_listed[domain][w])
        g_array_append_val (list, entry);
    }
  iv_planner_set_hosts (host->planners[domain], list);
  g_array_free (list, TRUE);
}

static const char *
other_domain (void *context, const char *from, const ivx_item *item)
{
  const struct iv_config *config = context;
  const char *to = strcmp (from, domain_names[0]) == 0 ? domain_names[1] : domain_names[0];
  return iv_config_domain_out (config, to) ? NULL : to;
}

static gint64
random_delay_ms (struct world *world)
{
  return (gint64)gsl_rng_uniform_int (world->rng, (unsigned long)world->delay_max_ms + 1);
}

static guint
worker_index (const struct world *world, guint domain, const char *name)
{
  for (guint w = 0; w < WORLD_WORKERS; w++)
    if (strcmp (world->workers[domain][w]->name, name) == 0)
      return w;
  g_assert_not_reached ();
}

static void
send_syncs (struct world *world, guint h, guint domain, GPtrArray *syncs)
{
  while (syncs->len > 0)
    {
      struct iv_sync *sync = g_ptr_array_steal_index (syncs, 0);
      struct world_message *message;
      if (world->partitioned[h][domain])
        {
          iv_sync_free (sync);
          continue;
        }
      message = g_new0 (struct world_message, 1);
      message->at_ms = world->now_ms + random_delay_ms (world);
      message->host = h;
      message->domain = domain;
      message->worker = worker_index (world, domain, sync->address);
      message->incarnation = world->hosts[h].incarnation;
      message->sent_ms = world->now_ms;
      message->worker_id = sync->worker;
      message->sync = sync;
      g_ptr_array_add (world->messages, message);
    }
}

static void
append_batch (struct world *world, struct world_host *host, guint domain)
{
  GByteArray *batch = host->batch[domain];
  if (batch == NULL || world->now_ms < host->append_at_ms[domain] || !can_reach_log (world, host))
    return;
  host->append_at_ms[domain] = world->now_ms + APPEND_RETRY_MS;
  if (world->lossy_log && gsl_rng_uniform (world->rng) < APPEND_LOST)
    return;
  fake_stream_append (domain_stream (world, domain), batch->data, batch->len, world->now_ms);
}

static void
append_moves (struct world *world, struct world_host *host, guint domain, GPtrArray *moves)
{
  for (guint i = 0; i < moves->len && can_reach_log (world, host); i++)
    {
      struct iv_move *move = g_ptr_array_index (moves, i);
      GArray *records = iv_records_new ();
      ivx_batch batch = { .writer = MOVE_WRITER_BASE + 10 * (guint64)(host - world->hosts) + domain,
                          .incarnation = host->incarnation,
                          .sequence = ++world->last_id };
      guint to = strcmp (move->to, domain_names[0]) == 0 ? 0 : 1;
      GByteArray *bytes;
      iv_records_add (records, &move->record);
      memset (&move->record, 0, sizeof move->record);
      move->record.kind = IVX_RENEW;
      iv_batch_take (&batch, records);
      bytes = iv_batch_encode (&batch);
      fake_stream_append (domain_stream (world, to), bytes->data, bytes->len, world->now_ms);
      g_byte_array_free (bytes, TRUE);
      iv_batch_clear (&batch);
      g_array_free (records, TRUE);
      if (!world->lossy_log || gsl_rng_uniform (world->rng) < MOVE_CONFIRMED)
        iv_planner_confirm_move (host->planners[domain], move->task);
    }
}

static void
step_planner (struct world *world, guint h, guint domain)
{
  struct world_host *host = &world->hosts[h];
  struct iv_planner *planner = host->planners[domain];
  struct iv_planner_output *output;
  if (can_reach_log (world, host))
    {
      if (!read_domain (world, host, domain))
        return;
      iv_planner_read_end (planner, world->now_ms);
      iv_planner_set_config (planner, host->config, world->now_ms);
      set_worker_list (world, host, domain);
    }
  output = iv_planner_step (planner, current_time (world), other_domain, host->config);
  if (output->batch)
    {
      g_assert (host->batch[domain] == NULL);
      host->batch[domain] = g_steal_pointer (&output->batch);
      host->append_at_ms[domain] = world->now_ms;
    }
  append_batch (world, host, domain);
  send_syncs (world, h, domain, output->syncs);
  if (output->config_records->len > 0 && can_reach_log (world, host))
    append_config_batch (world, CONFIG_WRITER_BASE + h, host->incarnation, ++host->config_sequence,
                         output->config_records);
  append_moves (world, host, domain, output->moves);
  iv_planner_output_free (output);
}

static void
deliver_sync (struct world *world, struct world_message *message)
{
  struct fake_worker *worker = world->workers[message->domain][message->worker];
  if (world->worker_frozen[message->domain][message->worker])
    return;
  message->reply = fake_worker_sync (worker, MAX (worker->now_ms, world->now_ms), message->sync);
  iv_sync_free (message->sync);
  message->sync = NULL;
  message->at_ms = world->now_ms + random_delay_ms (world);
}

static void
deliver_reply (struct world *world, struct world_message *message)
{
  struct world_host *host = &world->hosts[message->host];
  if (host->incarnation == message->incarnation && !host->dead)
    {
      iv_planner_handle_reply (host->planners[message->domain], current_time (world),
                               message->worker_id, message->sent_ms, message->reply);
      message->reply = NULL;
    }
}

static void
deliver_messages (struct world *world)
{
  for (guint i = 0; i < world->messages->len;)
    {
      struct world_message *message = g_ptr_array_index (world->messages, i);
      gboolean partitioned = world->partitioned[message->host][message->domain];
      if (message->at_ms > world->now_ms || (message->reply && world->hosts[message->host].paused))
        {
          i++;
          continue;
        }
      /* A partition loses replies; syncs already in flight still arrive. */
      if (message->sync)
        deliver_sync (world, message);
      else if (!partitioned)
        deliver_reply (world, message);
      if (message->reply && !partitioned && message->at_ms > world->now_ms)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (world->messages, i);
    }
}

void
world_step (struct world *world)
{
  world->now_ms += WORLD_STEP_MS;
  world->wall_ms += WORLD_STEP_MS;
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    for (guint w = 0; w < WORLD_WORKERS; w++)
      fake_worker_advance (world->workers[d][w], world->now_ms);
  deliver_messages (world);
  for (guint h = 0; h < WORLD_HOSTS; h++)
    {
      struct world_host *host = &world->hosts[h];
      if (host->dead || host->paused)
        continue;
      if (can_reach_log (world, host))
        read_config (world, host);
      for (guint d = 0; d < WORLD_DOMAINS; d++)
        step_planner (world, h, d);
    }
}

void
world_advance (struct world *world, gint64 ms)
{
  for (gint64 until = world->now_ms + ms; world->now_ms < until;)
    world_step (world);
}

static void
print_record (const ivx_record *record, FILE *out)
{
  switch (record->kind)
    {
    case IVX_CLAIM:
      fprintf (out, " claim term %u %s", record->ivx_record_u.claim.term,
               record->ivx_record_u.claim.host);
      break;
    case IVX_ADMIT:
      fprintf (out, " admit %s x%u", record->ivx_record_u.admit.item.name,
               record->ivx_record_u.admit.count);
      break;
    case IVX_BIND:
      fprintf (out, " bind %u on %u", record->ivx_record_u.bind.task,
               record->ivx_record_u.bind.worker);
      break;
    case IVX_FINISH:
      fprintf (out, " finish %u/%u: %d", record->ivx_record_u.finish.task,
               record->ivx_record_u.finish.attempt, record->ivx_record_u.finish.result);
      break;
    case IVX_REQUEUE:
      fprintf (out, " requeue %u/%u", record->ivx_record_u.requeue.task,
               record->ivx_record_u.requeue.attempt);
      break;
    case IVX_CANCEL_JOB:
      fprintf (out, " cancel %s", record->ivx_record_u.cancel_job.job);
      break;
    case IVX_EXPORT:
      fprintf (out, " export %u to %s", record->ivx_record_u.task_export.task,
               record->ivx_record_u.task_export.to);
      break;
    case IVX_EXPORTED:
      fprintf (out, " exported %u", record->ivx_record_u.exported.task);
      break;
    case IVX_IMPORT:
      fprintf (out, " import %s/%u move %u", record->ivx_record_u.task_import.item.name,
               record->ivx_record_u.task_import.index, record->ivx_record_u.task_import.moves);
      break;
    case IVX_JOB_REMOVED:
      fprintf (out, " forget %s", record->ivx_record_u.job_removed.job);
      break;
    case IVX_PROGRESS:
      fprintf (out, " progress %s %s done %u", record->ivx_record_u.progress.job,
               record->ivx_record_u.progress.domain, record->ivx_record_u.progress.done);
      break;
    case IVX_SUBMIT:
      fprintf (out, " submit %s", record->ivx_record_u.submit.name);
      break;
    default:
      fprintf (out, " kind%d", record->kind);
    }
}

/* TRUE when the batch holds only renewals and usage. */
static gboolean
is_routine (const ivx_batch *batch)
{
  for (u_int i = 0; i < batch->records.records_len; i++)
    if (batch->records.records_val[i].kind != IVX_RENEW
        && batch->records.records_val[i].kind != IVX_USAGE)
      return FALSE;
  return TRUE;
}

void
world_print_log (struct world *world, const char *name, FILE *out)
{
  struct fake_stream *stream = fake_log_stream (world->log, name);
  for (guint64 offset = stream->first; offset < fake_stream_end (stream); offset++)
    {
      gsize len;
      const guint8 *bytes = g_bytes_get_data (fake_stream_read (stream, offset), &len);
      ivx_batch batch;
      g_assert (iv_batch_decode (bytes, len, &batch) == IV_OK);
      if (!is_routine (&batch))
        {
          fprintf (out, "%s %" G_GUINT64_FORMAT " at %" G_GINT64_FORMAT " term %u:", name, offset,
                   g_array_index (stream->append_times_ms, gint64, offset), batch.term);
          for (u_int i = 0; i < batch.records.records_len; i++)
            print_record (&batch.records.records_val[i], out);
          fputc ('\n', out);
        }
      iv_batch_clear (&batch);
    }
}
