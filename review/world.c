/**
 * @file world.c
 * The world around ibisvaned for the scripts of this review, in one process: the platform's store,
 * the minions and a consumer, over the published protocol, on loopback addresses and the real
 * clock. It starts the hosts of the system as separate processes, and ends them.
 *
 * Usage: world SCENARIO PROGRAM WORK_DIR RECORD_FILE; TROUBLE=0 leaves out the disruption.
 * Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HOSTS 3
#define MINIONS_MAX 64
#define PARTITIONS 24
#define HEARTBEAT_MS 1100
#define HOLD_MAX_MS 10000
#define STOP_GRACE_MS 200
#define GANG_WAIT_MS 3000
#define CHECKPOINT_MS 500
#define RESTORE_MS 100
#define MIN_TTL_MS 1000
#define STORE_ANSWER_MS 4
#define PAGE_ITEMS 500
#define PAGE_BYTES (1024 * 1024)
#define ENDS_LISTED 500
#define STEP_MS 4

/* ---- time and record ---- */

static gint64 zero_ms;
static FILE *record_file;

static gint64
now_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (gint64)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static gint64
wall_ms (void)
{
  return g_get_real_time () / 1000;
}

static void rec (const char *format, ...) G_GNUC_PRINTF (1, 2);

static void
rec (const char *format, ...)
{
  va_list args;
  gint64 at = now_ms () - zero_ms;
  fprintf (record_file, "%7.3f ", (double)at / 1000);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
}

static void stop_hosts (void);

static void
give_up (const char *why)
{
  rec ("the case could not run: %s", why);
  stop_hosts ();
  exit (2);
}

/* ---- sockets ---- */

enum kind
{
  KIND_STORE,
  KIND_MINION,
  KIND_CALL
};

struct waiting
{
  gboolean set;
  gint64 due_ms;
  /* a read of the store */
  char *topic;
  gint64 from;
  gsize max_bytes;
};

struct call
{
  gboolean done;
  int status; /* 0: no answer */
  char *body;
};

struct conn
{
  int fd;
  enum kind kind;
  guint minion;
  gint64 life; /* of the minion that accepted it */
  GByteArray *in;
  GByteArray *out;
  gint64 send_not_before_ms;
  struct waiting waiting;
  struct call *call;
  gboolean dead;
};

static GPtrArray *conns;
static int store_fd = -1;
static int store_port;

static int
listen_on (int *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((guint16)*port) };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0 || listen (fd, 256) != 0)
    {
      close (fd);
      return -1;
    }
  getsockname (fd, (struct sockaddr *)&address, &len);
  *port = ntohs (address.sin_port);
  return fd;
}

static int
free_port (void)
{
  int port = 0;
  int fd = listen_on (&port);
  close (fd);
  return port;
}

static struct conn *
conn_new (int fd, enum kind kind)
{
  struct conn *conn = g_new0 (struct conn, 1);
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  conn->fd = fd;
  conn->kind = kind;
  conn->in = g_byte_array_new ();
  conn->out = g_byte_array_new ();
  g_ptr_array_add (conns, conn);
  return conn;
}

static void
conn_free (struct conn *conn)
{
  if (conn->call && !conn->call->done)
    conn->call->done = TRUE;
  close (conn->fd);
  g_byte_array_free (conn->in, TRUE);
  g_byte_array_free (conn->out, TRUE);
  g_free (conn->waiting.topic);
  g_free (conn);
}

static void
respond_bytes (struct conn *conn, int status, const char *type, const void *body, gsize len)
{
  char *head = g_strdup_printf ("HTTP/1.1 %d %s\r\ncontent-type: %s\r\ncontent-length: %zu\r\n\r\n",
                                status, status == 200 ? "OK" : "Refused", type, len);
  g_byte_array_append (conn->out, (const guint8 *)head, (guint)strlen (head));
  g_byte_array_append (conn->out, body, (guint)len);
  g_free (head);
}

static void
respond (struct conn *conn, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  respond_bytes (conn, status, "application/json", text, strlen (text));
  free (text);
  json_decref (body);
}

/* ---- the store ---- */

struct record
{
  GBytes *bytes; /* with the key, without the length */
};

struct topic
{
  GArray *records;   /* of GBytes * */
  GTree *newest;     /* key to offset + 1 */
};

struct writer
{
  gint64 epoch;
  gint64 sequence; /* newest; -1: none */
  gint64 ends[5];
  gint64 starts[5];
};

struct member
{
  char *name;
  gint64 expires_ms;
};

static GHashTable *topics;
static GHashTable *writers;
static GPtrArray *members;
static gint64 generation = 1;
static char *holders[PARTITIONS];
static char *owner_name; /* of the newest claim of cell 0 */

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static struct topic *
topic_of (const char *name)
{
  struct topic *topic = g_hash_table_lookup (topics, name);
  if (topic)
    return topic;
  topic = g_new0 (struct topic, 1);
  topic->records = g_array_new (FALSE, FALSE, sizeof (GBytes *));
  topic->newest = g_tree_new_full (compare_keys, NULL, g_free, NULL);
  g_hash_table_insert (topics, g_strdup (name), topic);
  return topic;
}

static void
add_record (const char *name, struct topic *topic, const guint8 *bytes, gsize len)
{
  GBytes *copy = g_bytes_new (bytes, len);
  char *key = g_strndup ((const char *)bytes + 1, bytes[0]);
  gsize value_len = len - 1 - bytes[0];
  g_array_append_val (topic->records, copy);
  if (strcmp (name, "keyed.jobs") == 0 && strcmp (key, "owner/0") == 0)
    {
      char *text = g_strndup ((const char *)bytes + 1 + bytes[0], value_len);
      rec ("store: claim of the cell: %s", text);
      g_free (owner_name);
      owner_name = g_strdup (strchr (text, ' ') ? strchr (text, ' ') + 1 : "");
      g_free (text);
    }
  if (value_len == 0)
    {
      g_tree_remove (topic->newest, key);
      g_free (key);
    }
  else
    g_tree_replace (topic->newest, key, GUINT_TO_POINTER (topic->records->len));
}

static void
put (const char *name, const char *key, const char *value)
{
  GByteArray *bytes = g_byte_array_new ();
  guint8 len = (guint8)strlen (key);
  g_byte_array_append (bytes, &len, 1);
  g_byte_array_append (bytes, (const guint8 *)key, len);
  if (value)
    g_byte_array_append (bytes, (const guint8 *)value, (guint)strlen (value));
  add_record (name, topic_of (name), bytes->data, bytes->len);
  g_byte_array_free (bytes, TRUE);
}

static char *
query (const char *path, const char *key)
{
  const char *at = strchr (path, '?');
  gsize len = strlen (key);
  while (at)
    {
      at++;
      if (strncmp (at, key, len) == 0 && at[len] == '=')
        {
          gsize n = strcspn (at + len + 1, "&");
          return g_uri_unescape_segment (at + len + 1, at + len + 1 + n, NULL);
        }
      at = strchr (at, '&');
    }
  return NULL;
}

static gint64
query_int (const char *path, const char *key, gint64 fallback)
{
  char *text = query (path, key);
  gint64 value = text ? g_ascii_strtoll (text, NULL, 10) : fallback;
  g_free (text);
  return value;
}

static void
answer_append (struct conn *conn, gint64 start, gint64 end)
{
  respond (conn, 200, json_pack ("{s:I,s:I}", "Offset", (json_int_t)start, "EndOffset",
                                 (json_int_t)end));
}

static void
store_append (struct conn *conn, const char *path, const guint8 *body, gsize len)
{
  char *name = query (path, "Topic");
  char *producer = query (path, "Producer");
  struct topic *topic = topic_of (name);
  gint64 end = topic->records->len;
  gint64 at = query_int (path, "At", -1);
  gint64 epoch = query_int (path, "epoch", 0);
  gint64 sequence = query_int (path, "Seq", 0);
  struct writer *writer = NULL;
  if (strcmp (name, "keyed.op") == 0 || strcmp (name, "keyed.servers") == 0)
    {
      respond (conn, 403, json_object ());
      goto out;
    }
  if (at >= 0 && at != end)
    {
      respond (conn, 412, json_pack ("{s:I}", "EndOffset", (json_int_t)end));
      goto out;
    }
  if (producer)
    {
      char *key = g_strdup_printf ("%s %s", name, producer);
      writer = g_hash_table_lookup (writers, key);
      if (writer == NULL)
        {
          writer = g_new0 (struct writer, 1);
          writer->epoch = -1;
          g_hash_table_insert (writers, g_strdup (key), writer);
        }
      g_free (key);
      if (epoch < writer->epoch)
        {
          respond (conn, 409, json_pack ("{s:s}", "Reason", "fenced"));
          goto out;
        }
      if (epoch > writer->epoch)
        {
          writer->epoch = epoch;
          writer->sequence = -1;
        }
      else if (len > 0 && writer->sequence >= 0 && sequence <= writer->sequence
               && sequence > writer->sequence - 5 && writer->ends[sequence % 5] > 0)
        {
          answer_append (conn, writer->starts[sequence % 5], writer->ends[sequence % 5]);
          goto out;
        }
      else if (len > 0 && writer->sequence >= 0 && sequence != writer->sequence + 1)
        {
          respond (conn, 409, json_pack ("{s:s,s:I}", "Reason", "seq", "Expected",
                                         (json_int_t)writer->sequence + 1));
          goto out;
        }
    }
  for (gsize i = 0; i + 4 <= len;)
    {
      gsize size = (gsize)body[i] << 24 | (gsize)body[i + 1] << 16 | (gsize)body[i + 2] << 8
                   | body[i + 3];
      add_record (name, topic, body + i + 4, size);
      i += 4 + size;
    }
  if (writer)
    {
      if (writer->sequence < 0)
        memset (writer->ends, 0, sizeof writer->ends);
      writer->sequence = sequence;
      writer->starts[sequence % 5] = end;
      writer->ends[sequence % 5] = topic->records->len;
    }
  answer_append (conn, end, topic->records->len);
out:
  g_free (producer);
  g_free (name);
}

static void
put_be (GByteArray *out, guint64 value, guint bytes)
{
  for (guint i = 0; i < bytes; i++)
    {
      guint8 byte = (guint8)(value >> (8 * (bytes - 1 - i)));
      g_byte_array_append (out, &byte, 1);
    }
}

/* At least one record, if there is any. */
static void
answer_read (struct conn *conn, const char *name, gint64 from, gsize max_bytes)
{
  struct topic *topic = topic_of (name);
  GByteArray *out = g_byte_array_new ();
  put_be (out, topic->records->len, 8);
  put_be (out, 0, 8);
  for (gint64 i = from; i < (gint64)topic->records->len; i++)
    {
      gsize len;
      const void *bytes = g_bytes_get_data (g_array_index (topic->records, GBytes *, i), &len);
      if (i > from && out->len + len > max_bytes)
        break;
      put_be (out, len, 4);
      g_byte_array_append (out, bytes, (guint)len);
    }
  respond_bytes (conn, 200, "application/octet-stream", out->data, out->len);
  g_byte_array_free (out, TRUE);
}

static void
store_read (struct conn *conn, const char *path)
{
  char *name = query (path, "Topic");
  gint64 from = query_int (path, "From", 0);
  gint64 wait = query_int (path, "WaitMs", 0);
  gsize max_bytes = (gsize)query_int (path, "MaxKb", 1024) * 1024;
  if (from < (gint64)topic_of (name)->records->len || wait == 0)
    answer_read (conn, name, from, max_bytes);
  else
    {
      conn->waiting.set = TRUE;
      conn->waiting.due_ms = now_ms () + MIN (wait, 30000);
      conn->waiting.topic = g_strdup (name);
      conn->waiting.from = from;
      conn->waiting.max_bytes = max_bytes;
    }
  g_free (name);
}

struct page
{
  struct topic *topic;
  const char *after;
  json_t *items;
  gsize bytes;
  gboolean more;
};

static gboolean
add_to_page (gpointer key, gpointer value, gpointer data)
{
  struct page *page = data;
  gsize len;
  const guint8 *bytes;
  char *text;
  if (page->after && strcmp (key, page->after) <= 0)
    return FALSE;
  if (json_array_size (page->items) >= PAGE_ITEMS || page->bytes >= PAGE_BYTES)
    {
      page->more = TRUE;
      return TRUE;
    }
  bytes = g_bytes_get_data (
      g_array_index (page->topic->records, GBytes *, GPOINTER_TO_UINT (value) - 1), &len);
  text = g_base64_encode (bytes + 1 + bytes[0], len - 1 - bytes[0]);
  page->bytes += strlen (text);
  json_array_append_new (page->items,
                         json_pack ("{s:s,s:s,s:I}", "Key", key, "Value", text, "Offset",
                                    (json_int_t)GPOINTER_TO_UINT (value) - 1));
  g_free (text);
  return FALSE;
}

static void
store_newest (struct conn *conn, const char *path)
{
  char *name = query (path, "Topic");
  char *after = query (path, "DependsOn");
  struct page page = { .topic = topic_of (name), .after = after, .items = json_array () };
  g_tree_foreach (page.topic->newest, add_to_page, &page);
  respond (conn, 200,
           json_pack ("{s:o,s:b,s:I}", "items", page.items, "HasMore", page.more, "EndOffset",
                      (json_int_t)page.topic->records->len));
  g_free (after);
  g_free (name);
}

static struct member *
find_member (const char *name)
{
  for (guint i = 0; i < members->len; i++)
    if (strcmp (((struct member *)g_ptr_array_index (members, i))->name, name) == 0)
      return g_ptr_array_index (members, i);
  return NULL;
}

static void
remove_member (const char *name)
{
  for (guint i = 0; i < members->len; i++)
    {
      struct member *member = g_ptr_array_index (members, i);
      if (strcmp (member->name, name) != 0)
        continue;
      for (guint p = 0; p < PARTITIONS; p++)
        if (g_strcmp0 (holders[p], name) == 0)
          g_clear_pointer (&holders[p], g_free);
      g_ptr_array_remove_index (members, i);
      g_free (member->name);
      g_free (member);
      generation++;
      return;
    }
}

static void
expire_members (void)
{
  for (guint i = members->len; i-- > 0;)
    {
      struct member *member = g_ptr_array_index (members, i);
      if (now_ms () > member->expires_ms)
        {
          char *name = g_strdup (member->name);
          remove_member (name);
          g_free (name);
        }
    }
}

/* Partitions are dealt in the order of joining; one that is taken from a member is free once that
   member has joined with the new generation. */
static void
store_join (struct conn *conn, json_t *body)
{
  const char *name = json_string_value (json_object_get (body, "Member"));
  const char *topic = json_string_value (json_array_get (json_object_get (body, "Topics"), 0));
  gint64 ttl = json_integer_value (json_object_get (body, "TtlMs"));
  gint64 known = json_integer_value (json_object_get (body, "Generation"));
  struct member *member = find_member (name);
  json_t *parts = json_array ();
  if (member == NULL)
    {
      member = g_new0 (struct member, 1);
      member->name = g_strdup (name);
      g_ptr_array_add (members, member);
      generation++;
    }
  member->expires_ms = now_ms () + MAX (ttl, MIN_TTL_MS);
  for (guint p = 0; p < PARTITIONS; p++)
    {
      const struct member *target = g_ptr_array_index (members, p % members->len);
      if (known >= generation && g_strcmp0 (holders[p], name) == 0 && target != member)
        g_clear_pointer (&holders[p], g_free);
      if (target != member)
        continue;
      if (holders[p] == NULL)
        holders[p] = g_strdup (name);
      if (strcmp (holders[p], name) == 0)
        json_array_append_new (parts, json_pack ("[s,i,i]", topic, (int)p, 0));
    }
  respond (conn, 200, json_pack ("{s:I,s:I,s:o}", "Generation", (json_int_t)generation, "TtlMs",
                                 (json_int_t)ttl, "parts", parts));
}

static void
store_owners (struct conn *conn)
{
  json_t *rows = json_array ();
  for (guint p = 0; p < PARTITIONS; p++)
    if (holders[p])
      json_array_append_new (rows, json_pack ("[s,i,s,i]", "cells", (int)p, holders[p], 0));
  respond (conn, 200, json_pack ("{s:o}", "parts", rows));
}

static void
serve_store (struct conn *conn, const char *method, const char *path, const guint8 *body, gsize len)
{
  json_t *json = NULL;
  (void)method;
  conn->send_not_before_ms = now_ms () + STORE_ANSWER_MS;
  if (g_str_has_prefix (path, "/ibisvane/log-append?"))
    store_append (conn, path, body, len);
  else if (g_str_has_prefix (path, "/ibisvane/log-read?"))
    store_read (conn, path);
  else if (g_str_has_prefix (path, "/ibisvane/log-newest?"))
    store_newest (conn, path);
  else if (g_str_has_prefix (path, "/ibisvane/log-owners?"))
    store_owners (conn);
  else if (strcmp (path, "/ibisvane/log-join") == 0)
    {
      json = json_loadb ((const char *)body, len, 0, NULL);
      store_join (conn, json);
    }
  else if (strcmp (path, "/ibisvane/log-leave") == 0)
    {
      json = json_loadb ((const char *)body, len, 0, NULL);
      remove_member (json_string_value (json_object_get (json, "Member")));
      respond (conn, 200, json_object ());
    }
  else
    respond (conn, 404, json_object ());
  json_decref (json);
}

/* ---- minions ---- */

struct run
{
  char *task;
  gint64 number;
  char *spec;
  gint64 started_ms;
  gint64 work_since_ms; /* -1: a gang that waits */
  gint64 work_ms;       /* that it takes, what a checkpoint saves taken off */
  gint64 saved_ms;
  gint64 stop_at_ms; /* 0: it is not being stopped */
  guint gang;        /* members; 0: none */
  gboolean lasts;
  gboolean saves;
};

struct end
{
  gint64 sequence;
  char *task;
  gint64 number;
  char *how;
  char *saved;
};

struct minion
{
  guint index;
  char id[32];
  char old_id[32];
  gint64 old_gone_ms; /* when the entry of the life before leaves the list */
  const char *zone;
  char rack[16];
  int fd;
  int port;
  gint64 life;
  gint64 born_ms; /* Unix time */
  gint64 zero_ms; /* of its clock */
  gint64 fence;
  gint64 lease_end; /* on its clock */
  gint64 next_beat_ms;
  gint64 seq;
  gint64 last_end;
  gint64 last_seen;
  GPtrArray *runs;
  GPtrArray *ends;
  GHashTable *refused; /* task to the highest run that was stopped or ended, + 1 */
  gboolean down;
  gint64 back_ms;
  gint64 cpu;
};

/* What has become of each task, over all minions. */
struct task
{
  char *name;
  guint starts;
  guint running;
  gint64 done_ms;      /* when a run of it ended `done`; 0: none has */
  guint done_minion;   /* where */
  gint64 done_end;     /* number of that end there */
  gint64 done_life;
  gint64 noted_ms;     /* when that end was taken note of; 0: it was not */
  gint64 last_start_ms;
  guint last_minion;
  guint failed;
};

static struct minion minions[MINIONS_MAX];
static guint minion_count;
static gint64 minion_cpu = 16000;
static GHashTable *tasks;
static guint doubled;       /* starts after an end `done` that was taken note of */
static guint doubled_early; /* starts after an end `done` that was not, when they came */
static guint overlaps;      /* starts while another run was there */
static guint starts_total;
static guint done_total;
static gboolean quiet_record; /* no line for each start */

static struct task *
task_of (const char *name)
{
  struct task *task = g_hash_table_lookup (tasks, name);
  if (task)
    return task;
  task = g_new0 (struct task, 1);
  task->name = g_strdup (name);
  g_hash_table_insert (tasks, task->name, task);
  return task;
}

static gint64
clock_of (const struct minion *minion)
{
  return now_ms () - minion->zero_ms;
}

static void
run_free (struct run *run)
{
  g_free (run->task);
  g_free (run->spec);
  g_free (run);
}

static void
end_free (struct end *end)
{
  g_free (end->task);
  g_free (end->how);
  g_free (end->saved);
  g_free (end);
}

static gint64
spec_number (const char *spec, const char *key)
{
  const char *at = strstr (spec, key);
  return at ? g_ascii_strtoll (at + strlen (key), NULL, 10) : 0;
}

static struct run *
find_run (const struct minion *minion, const char *task, gint64 number)
{
  for (guint i = 0; i < minion->runs->len; i++)
    {
      struct run *run = g_ptr_array_index (minion->runs, i);
      if (run->number == number && strcmp (run->task, task) == 0)
        return run;
    }
  return NULL;
}

static void
remember_refused (struct minion *minion, const char *task, gint64 number)
{
  gint64 *known = g_hash_table_lookup (minion->refused, task);
  if (known == NULL)
    {
      known = g_new0 (gint64, 1);
      g_hash_table_insert (minion->refused, g_strdup (task), known);
    }
  *known = MAX (*known, number);
}

static char *
saved_text (const struct run *run)
{
  return run->saves && run->saved_ms > 0 ? g_strdup_printf ("%08" G_GINT64_MODIFIER "x", run->saved_ms)
                                         : g_strdup ("");
}

static void
end_run (struct minion *minion, struct run *run, const char *how)
{
  struct end *end = g_new0 (struct end, 1);
  struct task *task = task_of (run->task);
  end->sequence = ++minion->last_end;
  end->task = g_strdup (run->task);
  end->number = run->number;
  end->how = g_strdup (how);
  end->saved = saved_text (run);
  g_ptr_array_add (minion->ends, end);
  remember_refused (minion, run->task, run->number);
  task->running--;
  if (strcmp (how, "failed") == 0)
    task->failed++;
  if (strcmp (how, "done") == 0)
    {
      done_total++;
      if (task->done_ms == 0)
        {
          task->done_ms = now_ms ();
          task->done_minion = minion->index;
          task->done_end = end->sequence;
          task->done_life = minion->life;
        }
    }
  if (!quiet_record || strcmp (how, "done") != 0)
    rec ("minion %s: run %" G_GINT64_FORMAT " of %s ended %s", minion->id, run->number, run->task,
         how);
  g_ptr_array_remove (minion->runs, run);
  run_free (run);
}

static gint64
used_cpu (const struct minion *minion)
{
  gint64 sum = 0;
  for (guint i = 0; i < minion->runs->len; i++)
    sum += spec_number (((struct run *)g_ptr_array_index (minion->runs, i))->spec, "cpu=");
  return sum;
}

static void
take_lease (struct minion *minion, gint64 deadline)
{
  gint64 longest = clock_of (minion) + HOLD_MAX_MS;
  minion->lease_end = MAX (minion->lease_end, MIN (deadline, longest));
}

static void
answer_minion (struct conn *conn, const struct minion *minion, int status, const char *reason)
{
  json_t *body = json_pack ("{s:I,s:I}", "ClockMs", (json_int_t)clock_of (minion), "born",
                            (json_int_t)minion->born_ms);
  if (reason)
    json_object_set_new (body, "Reason", json_string (reason));
  respond (conn, status, body);
}

static void
note_start (const struct minion *minion, const char *name, gint64 number, const char *spec)
{
  struct task *task = task_of (name);
  gboolean lasts = strstr (spec, "lasts") != NULL;
  starts_total++;
  if (task->running > 0)
    {
      overlaps++;
      rec ("TWO RUNS AT A TIME: run %" G_GINT64_FORMAT " of %s starts on %s", number, name,
           minion->id);
    }
  if (task->done_ms > 0 && !lasts)
    {
      if (task->noted_ms > 0)
        doubled++;
      else
        doubled_early++;
      if (doubled + doubled_early <= 20)
        rec ("STARTED AGAIN: run %" G_GINT64_FORMAT " of %s starts on %s, %" G_GINT64_FORMAT
             " ms after a run of it ended done, which was taken note of %" G_GINT64_FORMAT
             " ms before (0: not yet)",
             number, name, minion->id, now_ms () - task->done_ms,
             task->noted_ms > 0 ? now_ms () - task->noted_ms : 0);
    }
  task->starts++;
  task->running++;
  task->last_start_ms = now_ms ();
  task->last_minion = minion->index;
  if (!quiet_record)
    rec ("minion %s: run %" G_GINT64_FORMAT " of %s starts", minion->id, number, name);
}

static void
minion_start (struct conn *conn, struct minion *minion, json_t *body)
{
  const char *name = json_string_value (json_object_get (body, "Task"));
  const char *spec = json_string_value (json_object_get (body, "Spec"));
  const char *saved = json_string_value (json_object_get (body, "LastCheckpoint"));
  gint64 number = json_integer_value (json_object_get (body, "Run"));
  gint64 deadline = json_integer_value (json_object_get (body, "DeadlineMs"));
  const gint64 *refused = g_hash_table_lookup (minion->refused, name);
  struct run *run;
  if (find_run (minion, name, number))
    {
      take_lease (minion, deadline);
      answer_minion (conn, minion, 200, NULL);
      return;
    }
  if (refused && number <= *refused)
    {
      take_lease (minion, deadline);
      answer_minion (conn, minion, 409, "old");
      return;
    }
  if (deadline < clock_of (minion))
    {
      answer_minion (conn, minion, 409, "late");
      return;
    }
  take_lease (minion, deadline);
  if (used_cpu (minion) + spec_number (spec, "cpu=") > minion->cpu)
    {
      answer_minion (conn, minion, 409, "room");
      return;
    }
  run = g_new0 (struct run, 1);
  run->task = g_strdup (name);
  run->number = number;
  run->spec = g_strdup (spec);
  run->started_ms = now_ms ();
  run->gang = (guint)spec_number (spec, "gang=");
  run->lasts = strstr (spec, "lasts") != NULL;
  run->saves = strstr (spec, "saves") != NULL;
  run->work_ms = spec_number (spec, "ms=");
  run->work_since_ms = run->gang ? -1 : run->started_ms;
  if (saved && *saved)
    {
      run->saved_ms = g_ascii_strtoll (saved, NULL, 16);
      run->work_ms = MAX (0, run->work_ms - run->saved_ms) + RESTORE_MS;
    }
  g_ptr_array_add (minion->runs, run);
  note_start (minion, name, number, spec);
  answer_minion (conn, minion, 200, NULL);
}

static void
minion_stop (struct conn *conn, struct minion *minion, json_t *body)
{
  const char *name = json_string_value (json_object_get (body, "Task"));
  gint64 number = json_integer_value (json_object_get (body, "Run"));
  struct run *run = find_run (minion, name, number);
  if (run == NULL)
    remember_refused (minion, name, number);
  else if (run->stop_at_ms == 0)
    run->stop_at_ms = now_ms () + STOP_GRACE_MS / 2;
  rec ("minion %s: told to stop run %" G_GINT64_FORMAT " of %s%s", minion->id, number, name,
       run ? "" : ", which is not there");
  answer_minion (conn, minion, 200, NULL);
}

static guint
percent_of (const struct run *run)
{
  if (run->lasts)
    return run->work_since_ms >= 0 && now_ms () - run->work_since_ms > 200 ? 100 : 0;
  if (run->work_since_ms < 0 || run->work_ms <= 0)
    return 0;
  return (guint)MIN (99, (now_ms () - run->work_since_ms) * 100 / run->work_ms);
}

static void
answer_hold (struct conn *conn, const struct minion *minion)
{
  json_t *runs = json_array ();
  json_t *ends = json_array ();
  for (guint i = 0; i < minion->runs->len; i++)
    {
      const struct run *run = g_ptr_array_index (minion->runs, i);
      char *saved = saved_text (run);
      json_array_append_new (runs, json_pack ("[s,I,s,i,I]", run->task, (json_int_t)run->number,
                                              saved, (int)percent_of (run),
                                              (json_int_t)spec_number (run->spec, "cpu=")));
      g_free (saved);
    }
  for (guint i = 0; i < minion->ends->len && i < ENDS_LISTED; i++)
    {
      const struct end *end = g_ptr_array_index (minion->ends, i);
      json_array_append_new (ends, json_pack ("[I,s,I,s,s]", (json_int_t)end->sequence, end->task,
                                              (json_int_t)end->number, end->how, end->saved));
    }
  respond (conn, 200,
           json_pack ("{s:I,s:I,s:o,s:o}", "ClockMs", (json_int_t)clock_of (minion), "born",
                      (json_int_t)minion->born_ms, "Running", runs, "Finished", ends));
}

static void
forget_seen (struct minion *minion, gint64 seen)
{
  while (minion->ends->len > 0)
    {
      struct end *end = g_ptr_array_index (minion->ends, 0);
      struct task *task;
      if (end->sequence > seen)
        break;
      task = task_of (end->task);
      if (task->noted_ms == 0 && task->done_ms > 0 && task->done_minion == minion->index
          && task->done_life == minion->life && task->done_end == end->sequence)
        task->noted_ms = now_ms ();
      g_ptr_array_remove_index (minion->ends, 0);
      end_free (end);
    }
}

static void
minion_hold (struct conn *conn, struct minion *minion, json_t *body)
{
  gint64 wait = json_integer_value (json_object_get (body, "WaitMs"));
  json_t *deadline = json_object_get (body, "DeadlineMs");
  forget_seen (minion, json_integer_value (json_object_get (body, "LastSeen")));
  if (deadline)
    take_lease (minion, json_integer_value (deadline));
  if (wait <= 0 || minion->ends->len > 0)
    answer_hold (conn, minion);
  else
    {
      conn->waiting.set = TRUE;
      conn->waiting.due_ms = now_ms () + MIN (wait, 2000);
      conn->waiting.from = minion->last_end;
    }
}

static void
serve_minion (struct conn *conn, const char *path, const char *head, const guint8 *bytes, gsize len)
{
  struct minion *minion = &minions[conn->minion];
  json_t *body;
  char *expected = g_strdup_printf ("\r\nX-Ibisvane-Expect-Instance: %s\r\n", minion->id);
  gint64 fence;
  if (strstr (head, "X-Ibisvane-Expect-Instance") && !strstr (head, expected))
    {
      g_free (expected);
      respond (conn, 421, json_object ());
      return;
    }
  g_free (expected);
  body = json_loadb ((const char *)bytes, len, 0, NULL);
  fence = json_integer_value (json_object_get (body, "Fence"));
  if (body == NULL)
    respond (conn, 400, json_object ());
  else if (fence < minion->fence)
    answer_minion (conn, minion, 409, "fence");
  else
    {
      minion->fence = fence;
      if (strcmp (path, "/ibisvane/run-start") == 0)
        minion_start (conn, minion, body);
      else if (strcmp (path, "/ibisvane/run-stop") == 0)
        minion_stop (conn, minion, body);
      else if (strcmp (path, "/ibisvane/hold") == 0)
        minion_hold (conn, minion, body);
      else if (strcmp (path, "/ibisvane/pace") == 0)
        answer_minion (conn, minion, 200, NULL);
      else
        respond (conn, 404, json_object ());
    }
  json_decref (body);
}

static void
beat (struct minion *minion)
{
  char *address = g_strdup_printf ("127.0.0.1:%d", minion->port);
  json_t *entry = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:I,s:i,s:i},s:[s,s],s:I,s:I,s:I}", "Service", "ledger",
      "Address", address, "Zone", minion->zone, "Version", "v1", "Slots", 8, "State", "ready",
      "ColdLeftMs", 0, "Capacity", "Cpu", (json_int_t)minion->cpu, "MemMb", 64000, "Gpu", 0,
      "Labels", "a", minion->rack, "ClockMs", (json_int_t)clock_of (minion), "born",
      (json_int_t)minion->born_ms, "Seq", (json_int_t)++minion->seq);
  char *text = json_dumps (entry, JSON_COMPACT);
  put ("keyed.servers", minion->id, text);
  minion->next_beat_ms = now_ms () + HEARTBEAT_MS;
  free (text);
  json_decref (entry);
  g_free (address);
}

static void
begin_life (struct minion *minion)
{
  g_snprintf (minion->id, sizeof minion->id, "i-%08x", g_random_int ());
  minion->life++;
  minion->born_ms = wall_ms ();
  minion->zero_ms = now_ms ();
  minion->fence = 0;
  minion->lease_end = 0;
  minion->last_end = 0;
  minion->seq = 0;
  minion->cpu = minion_cpu;
  minion->runs = g_ptr_array_new ();
  minion->ends = g_ptr_array_new ();
  minion->refused = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  minion->down = FALSE;
  minion->fd = listen_on (&minion->port);
  if (minion->fd < 0)
    give_up ("a port of a minion is taken");
  beat (minion);
}

/* The minion crashes: it says nothing, and all that ran there is gone. It is back after @a for_ms,
   as a new life of the machine at the same address. */
static void
crash (struct minion *minion, gint64 for_ms)
{
  rec ("DISRUPTION: minion %s crashes with %u runs, for %" G_GINT64_FORMAT " ms", minion->id,
       minion->runs->len, for_ms);
  close (minion->fd);
  minion->fd = -1;
  for (guint i = 0; i < conns->len; i++)
    {
      struct conn *conn = g_ptr_array_index (conns, i);
      if (conn->kind == KIND_MINION && conn->minion == minion->index)
        conn->dead = TRUE;
    }
  while (minion->runs->len > 0)
    {
      struct run *run = g_ptr_array_index (minion->runs, 0);
      task_of (run->task)->running--;
      rec ("minion %s: run %" G_GINT64_FORMAT " of %s is lost", minion->id, run->number, run->task);
      g_ptr_array_remove_index (minion->runs, 0);
      run_free (run);
    }
  minion->down = TRUE;
  minion->back_ms = now_ms () + for_ms;
  g_strlcpy (minion->old_id, minion->id, sizeof minion->old_id);
  minion->old_gone_ms = now_ms () + 3 * HEARTBEAT_MS;
}

/* The prefix of a task's name that its gang shares. */
static gboolean
same_gang (const struct run *a, const struct run *b)
{
  gsize len = (gsize)(strrchr (a->task, '.') - a->task);
  return a->number == b->number && strncmp (a->task, b->task, len + 1) == 0;
}

static guint
gang_present (const struct run *run)
{
  guint count = 0;
  for (guint i = 0; i < minion_count; i++)
    for (guint j = 0; !minions[i].down && j < minions[i].runs->len; j++)
      count += same_gang (run, g_ptr_array_index (minions[i].runs, j));
  return count;
}

static void
tick_gang (struct minion *minion, struct run *run)
{
  guint present = gang_present (run);
  if (run->work_since_ms < 0 && present == run->gang)
    run->work_since_ms = now_ms ();
  else if (run->work_since_ms < 0 && now_ms () > run->started_ms + GANG_WAIT_MS)
    end_run (minion, run, "alone");
  else if (run->work_since_ms >= 0 && now_ms () < run->work_since_ms + run->work_ms
           && present < run->gang)
    end_run (minion, run, "broken");
}

static void
tick_run (struct minion *minion, struct run *run)
{
  gint64 now = now_ms ();
  if (run->saves && run->work_since_ms >= 0)
    run->saved_ms = MAX (run->saved_ms, (now - run->work_since_ms) / CHECKPOINT_MS * CHECKPOINT_MS);
  if (run->stop_at_ms > 0 && now >= run->stop_at_ms)
    end_run (minion, run, "stopped");
  else if (!run->lasts && run->work_since_ms >= 0 && now >= run->work_since_ms + run->work_ms)
    end_run (minion, run, "done");
  else if (run->gang)
    tick_gang (minion, run);
}

static void
tick_minion (struct minion *minion)
{
  if (*minion->old_id && now_ms () > minion->old_gone_ms)
    {
      put ("keyed.servers", minion->old_id, NULL);
      *minion->old_id = '\0';
    }
  if (minion->down)
    {
      if (now_ms () < minion->back_ms)
        return;
      begin_life (minion);
      rec ("minion %s is back as %s", minion->old_id, minion->id);
    }
  if (now_ms () >= minion->next_beat_ms)
    beat (minion);
  for (guint i = minion->runs->len; i-- > 0;)
    if (i < minion->runs->len)
      tick_run (minion, g_ptr_array_index (minion->runs, i));
  if (clock_of (minion) > minion->lease_end)
    while (minion->runs->len > 0)
      end_run (minion, g_ptr_array_index (minion->runs, 0), "lapsed");
}

/* ---- the loop ---- */

static void
serve (struct conn *conn, const char *head, const guint8 *body, gsize len)
{
  char **words = g_strsplit (head, " ", 3);
  if (conn->kind == KIND_STORE)
    serve_store (conn, words[0], words[1], body, len);
  else
    serve_minion (conn, words[1], head, body, len);
  g_strfreev (words);
}

static gboolean
read_message (const GByteArray *in, char **head, gsize *head_len, gsize *body_len)
{
  const char *end = g_strstr_len ((const char *)in->data, in->len, "\r\n\r\n");
  const char *length;
  char *lower;
  if (end == NULL)
    return FALSE;
  *head_len = (gsize)(end - (const char *)in->data) + 4;
  *head = g_strndup ((const char *)in->data, *head_len);
  lower = g_ascii_strdown (*head, -1);
  length = strstr (lower, "\r\ncontent-length:");
  *body_len = length ? (gsize)g_ascii_strtoull (length + 17, NULL, 10) : 0;
  g_free (lower);
  if (in->len >= *head_len + *body_len)
    return TRUE;
  g_free (*head);
  return FALSE;
}

static void
handle_input (struct conn *conn)
{
  char *head;
  gsize head_len, body_len;
  while (!conn->dead && !conn->waiting.set && read_message (conn->in, &head, &head_len, &body_len))
    {
      if (conn->kind == KIND_CALL)
        {
          conn->call->status = atoi (head + 9);
          conn->call->body = g_strndup ((const char *)conn->in->data + head_len, body_len);
          conn->call->done = TRUE;
          conn->dead = TRUE;
        }
      else
        serve (conn, head, conn->in->data + head_len, body_len);
      g_byte_array_remove_range (conn->in, 0, (guint)(head_len + body_len));
      g_free (head);
    }
}

static void
tick_waiting (struct conn *conn)
{
  gboolean ready;
  if (!conn->waiting.set || conn->dead)
    return;
  if (conn->kind == KIND_STORE)
    ready = conn->waiting.from < (gint64)topic_of (conn->waiting.topic)->records->len;
  else
    ready = minions[conn->minion].last_end > conn->waiting.from;
  if (!ready && now_ms () < conn->waiting.due_ms)
    return;
  conn->waiting.set = FALSE;
  if (conn->kind == KIND_STORE)
    answer_read (conn, conn->waiting.topic, conn->waiting.from, conn->waiting.max_bytes);
  else
    answer_hold (conn, &minions[conn->minion]);
  g_clear_pointer (&conn->waiting.topic, g_free);
  handle_input (conn);
}

static void
flush_out (struct conn *conn)
{
  ssize_t sent;
  if (conn->out->len == 0 || now_ms () < conn->send_not_before_ms)
    return;
  sent = send (conn->fd, conn->out->data, conn->out->len, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0)
    g_byte_array_remove_range (conn->out, 0, (guint)sent);
  else if (sent < 0 && errno != EAGAIN && errno != EINTR)
    conn->dead = TRUE;
}

static void
read_in (struct conn *conn)
{
  guint8 buffer[65536];
  ssize_t got = recv (conn->fd, buffer, sizeof buffer, MSG_DONTWAIT);
  if (got > 0)
    {
      g_byte_array_append (conn->in, buffer, (guint)got);
      handle_input (conn);
    }
  else if (got == 0 || (errno != EAGAIN && errno != EINTR))
    conn->dead = TRUE;
}

static void
accept_all (int fd, enum kind kind, guint minion)
{
  int accepted;
  while (fd >= 0 && (accepted = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      struct conn *conn = conn_new (accepted, kind);
      conn->minion = minion;
      conn->life = minions[minion].life;
    }
}

static void tick_hosts (void);

/* One turn of the loop. */
static void
turn (void)
{
  guint listeners = 1 + minion_count;
  guint count = listeners + conns->len;
  struct pollfd *fds = g_new0 (struct pollfd, count);
  guint polled = conns->len;
  fds[0] = (struct pollfd){ store_fd, POLLIN, 0 };
  for (guint i = 0; i < minion_count; i++)
    fds[1 + i] = (struct pollfd){ minions[i].fd, POLLIN, 0 };
  for (guint i = 0; i < polled; i++)
    {
      const struct conn *conn = g_ptr_array_index (conns, i);
      fds[listeners + i] = (struct pollfd){ conn->fd, POLLIN, 0 };
    }
  poll (fds, count, STEP_MS);
  if (fds[0].revents)
    accept_all (store_fd, KIND_STORE, 0);
  for (guint i = 0; i < minion_count; i++)
    if (fds[1 + i].revents && minions[i].fd == fds[1 + i].fd)
      accept_all (minions[i].fd, KIND_MINION, i);
  for (guint i = 0; i < polled; i++)
    if (fds[listeners + i].revents && !((struct conn *)g_ptr_array_index (conns, i))->dead)
      read_in (g_ptr_array_index (conns, i));
  g_free (fds);
  for (guint i = 0; i < minion_count; i++)
    tick_minion (&minions[i]);
  expire_members ();
  tick_hosts ();
  for (guint i = conns->len; i-- > 0;)
    {
      struct conn *conn = g_ptr_array_index (conns, i);
      tick_waiting (conn);
      if (!conn->dead)
        flush_out (conn);
      if (!conn->dead)
        continue;
      g_ptr_array_remove_index_fast (conns, i);
      conn_free (conn);
    }
}

static void
run_for (gint64 ms)
{
  gint64 until = now_ms () + ms;
  while (now_ms () < until)
    turn ();
}

/* ---- the hosts of the system ---- */

struct host
{
  char name[32];
  const char *zone;
  int jobs_port;
  int ready_port;
  char *settings;
  char *log;
  pid_t pid;
  gint64 restart_ms; /* 0: it is not to be started again */
};

static const char *const zones[HOSTS] = { "zone-a", "zone-b", "zone-c" };
static struct host hosts[HOSTS];
static const char *program;

static void
start_host (struct host *host)
{
  host->restart_ms = 0;
  host->pid = fork ();
  if (host->pid != 0)
    {
      rec ("host %s is started", host->name);
      return;
    }
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  int fd = open (host->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2 (fd, 1);
  dup2 (fd, 2);
  execl (program, program, "--config", host->settings, (char *)NULL);
  _exit (127);
}

static void
make_host (struct host *host, guint index, const char *work)
{
  int callers = free_port ();
  int operators = free_port ();
  char *text;
  g_snprintf (host->name, sizeof host->name, "front-%s-1", zones[index]);
  host->zone = zones[index];
  host->jobs_port = free_port ();
  host->ready_port = free_port ();
  host->settings = g_strdup_printf ("%s/host-%u.yaml", work, index);
  host->log = g_strdup_printf ("%s/host-%u.log", work, index);
  /* deploy/settings.yaml, filled in with the bounds of the small site */
  text = g_strdup_printf (
      "user: fleet\nhost: %s\ndomain: %s\nlisten:\n  callers: 127.0.0.1:%d\n"
      "  operators: 127.0.0.1:%d\n  peers: 127.0.0.1:%d\nplatform:\n  address: 127.0.0.1:%d\n"
      "members:\n  - host: %s\n    domain: %s\n    peers: 127.0.0.1:%d\nfleet:\n"
      "  jobs: 127.0.0.1:%d\n  ready: 127.0.0.1:%d\n  member_ttl: %dms\n  cpu: 0.25\n"
      "  lease_max: %dms\n  evidence: 5000ms\n  contact: 3000ms\n  heartbeat: %dms\n"
      "  harm: 4000ms\n  keep: 120s\n",
      host->name, host->zone, callers, operators, operators, store_port, host->name, host->zone,
      operators, host->jobs_port, host->ready_port, MIN_TTL_MS, HOLD_MAX_MS, HEARTBEAT_MS);
  if (!g_file_set_contents (host->settings, text, -1, NULL))
    give_up ("the settings cannot be written");
  g_free (text);
}

static void
kill_host (struct host *host, gint64 back_after_ms)
{
  rec ("DISRUPTION: host %s is killed, and started again after %" G_GINT64_FORMAT " ms", host->name,
       back_after_ms);
  kill (host->pid, SIGKILL);
  waitpid (host->pid, NULL, 0);
  host->pid = 0;
  host->restart_ms = now_ms () + back_after_ms;
}

static void
tick_hosts (void)
{
  for (guint i = 0; i < HOSTS; i++)
    {
      int status;
      if (hosts[i].pid > 0 && waitpid (hosts[i].pid, &status, WNOHANG) == hosts[i].pid)
        {
          rec ("host %s has ended by itself, status %d", hosts[i].name, status);
          hosts[i].pid = 0;
          hosts[i].restart_ms = now_ms () + 500;
        }
      if (hosts[i].restart_ms > 0 && now_ms () >= hosts[i].restart_ms)
        start_host (&hosts[i]);
    }
}

static void
stop_hosts (void)
{
  for (guint i = 0; i < HOSTS; i++)
    if (hosts[i].pid > 0)
      {
        kill (hosts[i].pid, SIGKILL);
        waitpid (hosts[i].pid, NULL, 0);
        hosts[i].pid = 0;
      }
}

/* The host that last wrote to the store under a condition: the owner of the cell. */
static struct host *
leader (void)
{
  for (guint i = 0; owner_name && i < HOSTS; i++)
    if (g_str_has_prefix (owner_name, hosts[i].name))
      return &hosts[i];
  return NULL;
}

/* ---- the consumer and the operator ---- */

/* Sends a request to host @a index and waits for the answer. 0: none came. */
static int
call_host (guint index, const char *method, const char *path, const char *body, char **answer)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct call call = { 0 };
  gint64 until = now_ms () + 3000;
  char *text;
  struct conn *conn;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  address.sin_port = htons ((guint16)hosts[index].jobs_port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return 0;
    }
  fcntl (fd, F_SETFL, O_NONBLOCK);
  conn = conn_new (fd, KIND_CALL);
  conn->call = &call;
  text = g_strdup_printf ("%s %s HTTP/1.1\r\nHost: fund.example\r\nX-Ibisvane-Deadline-Ms: 3000\r\n"
                          "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                          method, path, body ? strlen (body) : 0, body ? body : "");
  g_byte_array_append (conn->out, (const guint8 *)text, (guint)strlen (text));
  g_free (text);
  while (!call.done && now_ms () < until)
    turn ();
  if (!call.done)
    for (guint i = 0; i < conns->len; i++)
      if (g_ptr_array_index (conns, i) == conn)
        {
          conn->call = NULL;
          conn->dead = TRUE;
        }
  if (answer)
    *answer = call.body;
  else
    g_free (call.body);
  return call.done ? call.status : 0;
}

/* Hands a job in, with retries at other hosts as on the page. */
static void
submit (const char *prefix, const char *id, const char *body)
{
  char *path = g_strconcat (prefix, id, NULL);
  for (guint try = 0; try < 5; try++)
    {
      int status = call_host (try % HOSTS, "POST", path, body, NULL);
      rec ("consumer: POST %s to %s: %d", path, hosts[try % HOSTS].name, status);
      if (status / 100 == 2)
        {
          g_free (path);
          return;
        }
      run_for (300);
    }
  give_up ("the job was not accepted");
}

/* The state of a job, by a host that answers; "" when none does. */
static char *
state_of (const char *prefix, const char *id)
{
  char *path = g_strconcat (prefix, id, NULL);
  char *state = NULL;
  for (guint try = 0; try < HOSTS && state == NULL; try++)
    {
      char *answer = NULL;
      int status = call_host (try, "GET", path, NULL, &answer);
      json_t *json = answer ? json_loads (answer, 0, NULL) : NULL;
      const char *text = json_string_value (json_object_get (json, "State"));
      rec ("consumer: GET %s to %s: %d %s", path, hosts[try].name, status, answer ? answer : "");
      if (status == 200 && text)
        state = g_strdup (text);
      else if (status == 404 || status == 410)
        state = g_strdup_printf ("%d", status);
      json_decref (json);
      g_free (answer);
    }
  g_free (path);
  return state ? state : g_strdup ("");
}

static void
put_config (gint64 version, gboolean with_jobs, guint attempts)
{
  json_t *routes = json_array ();
  json_t *config;
  char *text;
  json_array_append_new (
      routes, json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}", "Name", "r-other", "Host",
                         "fund.example", "PathPrefix", "/other/", "Type", "non_idempotent",
                         "TimeoutMs", 3000, "TargetLatencyMs", 300, "Priority", 0, "Service",
                         "ledger", "Attempts", (int)attempts, "Stretch", 2.0));
  if (with_jobs)
    json_array_append_new (
        routes, json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}", "Name", "r-jobs", "Host",
                           "fund.example", "PathPrefix", "/jobs/", "Type", "non_idempotent",
                           "TimeoutMs", 3000, "TargetLatencyMs", 300, "Priority", 0, "Service",
                           "ledger", "Attempts", (int)attempts, "Stretch", 2.0));
  config = json_pack ("{s:I,s:o,s:[{s:s,s:s,s:i,s:s,s:b,s:f,s:f,s:b,s:b}],s:{s:i,s:i,s:i,s:i}}",
                      "Version", (json_int_t)version, "Routes", routes, "Services", "Name",
                      "ledger", "HealthPath", "/health", "MaxConns", 64, "Protocol", "h1", "Tls", 0,
                      "ColdStartS", 0.0, "ColdPerS", 0.0, "AdmissionCheck", 1, "Standby", 0,
                      "Limits", "MaxHeaderBytes", 16384, "MaxBodyBytes", 262144, "HeaderTimeoutMs",
                      3000, "IdleTimeoutMs", 15000);
  text = json_dumps (config, JSON_COMPACT);
  put ("keyed.op", "config", text);
  rec ("operator: config %" G_GINT64_FORMAT " is confirmed, %s the route /jobs/", version,
       with_jobs ? "with" : "without");
  free (text);
  json_decref (config);
}

/* Starts everything, and waits until the system serves. */
static void
begin (guint count, gint64 cpu, const char *work, guint attempts)
{
  gint64 until;
  conns = g_ptr_array_new ();
  topics = g_hash_table_new (g_str_hash, g_str_equal);
  writers = g_hash_table_new (g_str_hash, g_str_equal);
  tasks = g_hash_table_new (g_str_hash, g_str_equal);
  members = g_ptr_array_new ();
  store_fd = listen_on (&store_port);
  minion_cpu = cpu;
  put_config (1, TRUE, attempts);
  for (minion_count = 0; minion_count < count; minion_count++)
    {
      struct minion *minion = &minions[minion_count];
      minion->index = minion_count;
      minion->zone = zones[minion_count % HOSTS];
      g_snprintf (minion->rack, sizeof minion->rack, "r%u-%u", minion_count % HOSTS + 1,
                  minion_count / 12 + 1);
      begin_life (minion);
    }
  for (guint i = 0; i < HOSTS; i++)
    make_host (&hosts[i], i, work);
  for (guint i = 0; i < HOSTS; i++)
    start_host (&hosts[i]);
  until = now_ms () + 10000;
  while (leader () == NULL && now_ms () < until)
    turn ();
  if (leader () == NULL)
    give_up ("no host claims the cell");
  run_for (5000);
}

#include "scenarios.h"

int
main (int argc, char **argv)
{
  int (*scenario) (gboolean trouble) = NULL;
  const char *trouble = g_getenv ("TROUBLE");
  int result;
  if (argc != 5)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  zero_ms = now_ms ();
  program = argv[2];
  record_file = fopen (argv[4], "w");
  if (record_file == NULL)
    return 2;
  work_dir = argv[3];
  for (guint i = 0; i < G_N_ELEMENTS (scenarios); i++)
    if (strcmp (scenarios[i].name, argv[1]) == 0)
      scenario = scenarios[i].run;
  if (scenario == NULL)
    return 2;
  result = scenario (trouble == NULL || strcmp (trouble, "0") != 0);
  rec ("%s: %u starts, %u ends done; exit %d", result ? "BROKEN" : "held", starts_total, done_total,
       result);
  stop_hosts ();
  return result;
}
