/* Stand-ins for a small deployment, in one process: the platform's store, its minions, the advice
   service, and consumers; the hosts of the system are started as separate processes. Everything
   is spoken as in PROTOCOL.md. Usage: sim-2 CASE DAEMON DIRECTORY RECORD; see cases-2.inc. */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
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
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

typedef long long ll;

#define HOLD_MAX_MS 10000
#define STOP_GRACE_MS 200
#define GANG_WAIT_MS 3000
#define HEARTBEAT_MS 1100
#define CANCEL_MS 3000

static ll start_ms;
static FILE *record_file;
static const char *daemon_path, *work_dir;
static int broken, trouble = 1;

static ll
mono (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (ll)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}
static ll
now (void)
{
  return mono () - start_ms;
}
static ll
wall (void)
{
  struct timespec t;
  clock_gettime (CLOCK_REALTIME, &t);
  return (ll)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}
static void __attribute__ ((format (printf, 1, 2)))
note (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (record_file, "%8.3f ", (double)now () / 1000);
  vfprintf (record_file, format, args);
  fputc ('\n', record_file);
  fflush (record_file);
  va_end (args);
}
static void __attribute__ ((format (printf, 2, 3)))
rule_broken (const char *rule, const char *format, ...)
{
  va_list args;
  char text[500];
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  note ("BROKEN %s: %s", rule, text);
  broken++;
}
static void
die (const char *what)
{
  note ("cannot run: %s: %s", what, strerror (errno));
  exit (2);
}

/* ---- bytes and connections ---- */

struct buf
{
  char *data;
  size_t len, cap;
};
static void
put (struct buf *b, const void *data, size_t len)
{
  if (b->len + len + 1 > b->cap)
    {
      b->cap = (b->len + len + 1) * 2;
      b->data = realloc (b->data, b->cap);
    }
  if (len)
    memcpy (b->data + b->len, data, len);
  b->len += len;
  b->data[b->len] = 0;
}
static void
take (struct buf *b, size_t len)
{
  memmove (b->data, b->data + len, b->len - len);
  b->len -= len;
  b->data[b->len] = 0;
}

enum
{
  C_FREE,
  C_STORE,
  C_MINION,
  C_ADVICE,
  C_CLIENT
};
typedef void (*reply_fn) (void *context, int status, const char *body);
struct conn
{
  int fd, kind, owner, life; /* owner: index of the minion */
  struct buf in, out;
  int muted;      /* nothing more is answered on this channel */
  int waiting;    /* a request waits: a read of the log, or a look at a minion */
  ll wait_until;
  int topic;      /* of the read */
  ll from;
  reply_fn done;  /* of a consumer's request */
  void *context;
  ll deadline;
};
#define CONNS 3000
static struct conn conns[CONNS];
struct listener
{
  int fd, kind, owner;
};
#define LISTENERS 400
static struct listener listeners[LISTENERS];
static int listener_count;

static struct conn *
conn_new (int fd, int kind, int owner)
{
  for (int i = 0; i < CONNS; i++)
    if (conns[i].kind == C_FREE)
      {
        memset (&conns[i], 0, sizeof conns[i]);
        conns[i].fd = fd;
        conns[i].kind = kind;
        conns[i].owner = owner;
        fcntl (fd, F_SETFL, O_NONBLOCK);
        int one = 1;
        setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        return &conns[i];
      }
  errno = 0;
  die ("too many connections");
  return NULL;
}
static void
conn_close (struct conn *c)
{
  close (c->fd);
  free (c->in.data);
  free (c->out.data);
  memset (c, 0, sizeof *c);
}
static void
conn_reset (struct conn *c)
{
  struct linger l = { 1, 0 };
  setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
  conn_close (c);
}
static struct sockaddr_in
address_of (const char *ip, int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, ip, &a.sin_addr);
  return a;
}
/* Listens on a free port, or on @a port when it is not 0. */
static int
listen_on (const char *ip, int *port, int kind, int owner)
{
  struct sockaddr_in a = address_of (ip, *port);
  socklen_t len = sizeof a;
  int one = 1, fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) || listen (fd, 256))
    die ("listen");
  fcntl (fd, F_SETFL, O_NONBLOCK);
  getsockname (fd, (struct sockaddr *)&a, &len);
  *port = ntohs (a.sin_port);
  for (int i = 0; i < LISTENERS; i++)
    if (listeners[i].fd == 0)
      {
        listeners[i] = (struct listener){ fd, kind, owner };
        if (i >= listener_count)
          listener_count = i + 1;
        return i;
      }
  die ("listeners");
  return -1;
}
static void
flush (struct conn *c)
{
  while (c->out.len > 0)
    {
      ssize_t n = send (c->fd, c->out.data, c->out.len, MSG_NOSIGNAL);
      if (n <= 0)
        return;
      take (&c->out, (size_t)n);
    }
}
static void
answer_bytes (struct conn *c, int status, const void *body, size_t len, const char *type)
{
  char head[200];
  int n = snprintf (head, sizeof head, "HTTP/1.1 %d X\r\ncontent-type: %s\r\ncontent-length: %zu\r\n\r\n",
                    status, type, len);
  c->waiting = 0;
  if (c->muted)
    return;
  put (&c->out, head, (size_t)n);
  put (&c->out, body, len);
  flush (c);
}
static void
answer (struct conn *c, int status, json_t *body)
{
  char *text = body ? json_dumps (body, JSON_COMPACT) : strdup ("{}");
  answer_bytes (c, status, text, strlen (text), "application/json");
  free (text);
  json_decref (body);
}

/* ---- the store ---- */

struct rec
{
  char *bytes;
  size_t len;
};
struct newest
{
  char *key;
  ll offset;
};
struct producer
{
  char name[100];
  ll epoch, seq, last_seq[5], last_offset[5], last_end[5];
  int last;
};
struct topic
{
  char name[60];
  struct rec *recs;
  ll count, cap;
  struct newest *keys;
  int key_count, key_cap;
  struct producer *producers;
  int producer_count;
};
static struct topic topics[8];
static int topic_count;
static int store_port;
static const char *const store_ip = "127.0.0.1";

static int
topic_find (const char *name)
{
  for (int i = 0; i < topic_count; i++)
    if (strcmp (topics[i].name, name) == 0)
      return i;
  snprintf (topics[topic_count].name, sizeof topics[0].name, "%s", name);
  return topic_count++;
}
static void
note_key (struct topic *t, const char *bytes, size_t len, ll offset)
{
  size_t key_len = (unsigned char)bytes[0];
  int at = 0;
  char key[256];
  memcpy (key, bytes + 1, key_len);
  key[key_len] = 0;
  while (at < t->key_count && strcmp (t->keys[at].key, key) < 0)
    at++;
  int found = at < t->key_count && strcmp (t->keys[at].key, key) == 0;
  if (len <= key_len + 1)
    {
      if (found)
        {
          free (t->keys[at].key);
          memmove (t->keys + at, t->keys + at + 1, sizeof *t->keys * (size_t)(--t->key_count - at));
        }
      return;
    }
  if (!found)
    {
      if (t->key_count == t->key_cap)
        t->keys = realloc (t->keys, sizeof *t->keys * (size_t)(t->key_cap = t->key_cap * 2 + 64));
      memmove (t->keys + at + 1, t->keys + at, sizeof *t->keys * (size_t)(t->key_count++ - at));
      t->keys[at].key = strdup (key);
    }
  t->keys[at].offset = offset;
}
static void
append_record (struct topic *t, const char *bytes, size_t len)
{
  if (t->count == t->cap)
    t->recs = realloc (t->recs, sizeof *t->recs * (size_t)(t->cap = t->cap * 2 + 256));
  t->recs[t->count].bytes = malloc (len + 1);
  memcpy (t->recs[t->count].bytes, bytes, len);
  t->recs[t->count].len = len;
  if (strncmp (t->name, "keyed.", 6) == 0 && len > 0)
    note_key (t, bytes, len, t->count);
  t->count++;
}
static void wake_readers (int topic);
static void
store_put (const char *topic, const char *key, const char *value)
{
  char record[70000];
  size_t key_len = strlen (key), len = value ? strlen (value) : 0;
  int t = topic_find (topic);
  record[0] = (char)key_len;
  memcpy (record + 1, key, key_len);
  if (value)
    memcpy (record + 1 + key_len, value, len);
  append_record (&topics[t], record, 1 + key_len + len);
  wake_readers (t);
}
static void
put_be (char *out, ll value, int bytes)
{
  for (int i = 0; i < bytes; i++)
    out[i] = (char)(value >> (8 * (bytes - 1 - i)));
}
static ll
get_be (const char *in, int bytes)
{
  ll value = 0;
  for (int i = 0; i < bytes; i++)
    value = value << 8 | (unsigned char)in[i];
  return value;
}
static void
answer_read (struct conn *c)
{
  struct topic *t = &topics[c->topic];
  struct buf b = { 0 };
  char head[16];
  put_be (head, t->count, 8);
  put_be (head + 8, 0, 8);
  put (&b, head, 16);
  for (ll i = c->from; i < t->count && b.len < 128 * 1024; i++)
    {
      put_be (head, (ll)t->recs[i].len, 4);
      put (&b, head, 4);
      put (&b, t->recs[i].bytes, t->recs[i].len);
    }
  answer_bytes (c, 200, b.data, b.len, "application/octet-stream");
  free (b.data);
}
static void
wake_readers (int topic)
{
  for (int i = 0; i < CONNS; i++)
    if (conns[i].kind == C_STORE && conns[i].waiting && conns[i].topic == topic
        && conns[i].from < topics[topic].count)
      answer_read (&conns[i]);
}

struct member
{
  char name[120];
  ll until;
  unsigned parts;
};
#define PARTS 24
static struct member members[64];
static int member_count;
static ll generation = 1;
static void
deal_partitions (void)
{
  generation++;
  for (int i = 0; i < member_count; i++)
    members[i].parts = 0;
  for (int p = 0; p < PARTS && member_count; p++)
    members[p % member_count].parts |= 1u << p;
}
static void
expire_members (void)
{
  int before = member_count;
  for (int i = member_count; i-- > 0;)
    if (now () > members[i].until)
      memmove (members + i, members + i + 1, sizeof *members * (size_t)(--member_count - i));
  if (member_count != before)
    deal_partitions ();
}

/* ---- queries and headers ---- */

static int
query (const char *path, const char *key, char *out, size_t size)
{
  size_t key_len = strlen (key);
  const char *at = strchr (path, '?');
  while (at)
    {
      at++;
      if (strncmp (at, key, key_len) == 0 && at[key_len] == '=')
        {
          size_t n = 0;
          for (at += key_len + 1; *at && *at != '&' && n + 1 < size; at++)
            if (*at == '%' && at[1] && at[2])
              {
                char hex[3] = { at[1], at[2], 0 };
                out[n++] = (char)strtol (hex, NULL, 16);
                at += 2;
              }
            else
              out[n++] = *at;
          out[n] = 0;
          return 1;
        }
      at = strchr (at, '&');
    }
  *out = 0;
  return 0;
}
static ll
query_number (const char *path, const char *key, ll missing)
{
  char text[100];
  return query (path, key, text, sizeof text) ? atoll (text) : missing;
}

static char *
base64 (const char *data, size_t len)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  char *out = malloc (len * 4 / 3 + 8), *at = out;
  for (size_t i = 0; i < len; i += 3)
    {
      unsigned v = (unsigned)(unsigned char)data[i] << 16;
      if (i + 1 < len)
        v |= (unsigned)(unsigned char)data[i + 1] << 8;
      if (i + 2 < len)
        v |= (unsigned char)data[i + 2];
      *at++ = digits[v >> 18];
      *at++ = digits[v >> 12 & 63];
      *at++ = i + 1 < len ? digits[v >> 6 & 63] : '=';
      *at++ = i + 2 < len ? digits[v & 63] : '=';
    }
  *at = 0;
  return out;
}

static int store_mode; /* 0: sound, 1: answers 503, 2: silent, 3: done and not answered */
static int store_lost_percent;

static void
store_append (struct conn *c, const char *path, const char *body, size_t len)
{
  char name[60], producer[100];
  query (path, "Topic", name, sizeof name);
  struct topic *t = &topics[topic_find (name)];
  struct producer *p = NULL;
  ll epoch = query_number (path, "epoch", 0), seq = query_number (path, "Seq", 0), first = t->count;
  if (query (path, "Producer", producer, sizeof producer))
    {
      for (int i = 0; i < t->producer_count; i++)
        if (strcmp (t->producers[i].name, producer) == 0)
          p = &t->producers[i];
      if (p == NULL)
        {
          t->producers = realloc (t->producers, sizeof *p * (size_t)(t->producer_count + 1));
          p = &t->producers[t->producer_count++];
          memset (p, 0, sizeof *p);
          snprintf (p->name, sizeof p->name, "%s", producer);
          p->epoch = -1;
        }
      if (epoch < p->epoch)
        {
          answer (c, 409, json_pack ("{s:s}", "Reason", "fenced"));
          return;
        }
      if (epoch == p->epoch && seq != p->seq + 1)
        {
          for (int i = 0; i < p->last && i < 5; i++)
            if (p->last_seq[i] == seq)
              {
                answer (c, 200, json_pack ("{s:I,s:I}", "Offset", p->last_offset[i], "EndOffset",
                                           p->last_end[i]));
                return;
              }
          answer (c, 409, json_pack ("{s:s,s:I}", "Reason", "seq", "Seq", p->seq + 1));
          return;
        }
      if (epoch > p->epoch)
        p->last = 0;
      p->epoch = epoch;
      p->seq = seq;
    }
  for (size_t at = 0; at + 4 <= len;)
    {
      size_t size = (size_t)get_be (body + at, 4);
      at += 4;
      if (size > len - at)
        break;
      append_record (t, body + at, size);
      at += size;
    }
  if (p)
    {
      if (p->last == 5)
        {
          memmove (p->last_seq, p->last_seq + 1, sizeof (ll) * 4);
          memmove (p->last_offset, p->last_offset + 1, sizeof (ll) * 4);
          memmove (p->last_end, p->last_end + 1, sizeof (ll) * 4);
          p->last = 4;
        }
      p->last_seq[p->last] = seq;
      p->last_offset[p->last] = first;
      p->last_end[p->last++] = t->count;
    }
  answer (c, 200, json_pack ("{s:I,s:I}", "Offset", first, "EndOffset", t->count));
  wake_readers ((int)(t - topics));
}
static void
store_newest (struct conn *c, const char *path)
{
  char name[60], after[256];
  json_t *items = json_array ();
  int more = 0;
  query (path, "Topic", name, sizeof name);
  struct topic *t = &topics[topic_find (name)];
  int has_after = query (path, "DependsOn", after, sizeof after);
  for (int i = 0; i < t->key_count; i++)
    {
      if (has_after && strcmp (t->keys[i].key, after) <= 0)
        continue;
      if (json_array_size (items) >= 500)
        {
          more = 1;
          break;
        }
      const struct rec *r = &t->recs[t->keys[i].offset];
      size_t skip = 1 + (unsigned char)r->bytes[0];
      char *value = base64 (r->bytes + skip, r->len - skip);
      json_array_append_new (items, json_pack ("{s:s,s:s,s:I}", "Key", t->keys[i].key, "Value", value,
                                               "Offset", t->keys[i].offset));
      free (value);
    }
  answer (c, 200, json_pack ("{s:o,s:b,s:I}", "items", items, "HasMore", more, "EndOffset", t->count));
}
static const char *
text_of (json_t *o, const char *key)
{
  const char *s = json_string_value (json_object_get (o, key));
  return s ? s : "";
}
static ll
number_of (json_t *o, const char *key, ll missing)
{
  json_t *v = json_object_get (o, key);
  return json_is_integer (v) ? json_integer_value (v) : missing;
}
static void
store_join (struct conn *c, json_t *body)
{
  const char *name = text_of (body, "Member");
  json_t *parts = json_array ();
  struct member *m = NULL;
  expire_members ();
  for (int i = 0; i < member_count; i++)
    if (strcmp (members[i].name, name) == 0)
      m = &members[i];
  if (m == NULL)
    {
      m = &members[member_count++];
      snprintf (m->name, sizeof m->name, "%s", name);
      deal_partitions ();
    }
  m->until = now () + number_of (body, "TtlMs", 1000);
  for (int p = 0; p < PARTS; p++)
    if (m->parts >> p & 1)
      json_array_append_new (parts, json_pack ("[s,i,i]", text_of (body, "group"), p, 0));
  answer (c, 200, json_pack ("{s:I,s:o}", "Generation", generation, "parts", parts));
}
static void
store_leave (struct conn *c, json_t *body)
{
  for (int i = 0; i < member_count; i++)
    if (strcmp (members[i].name, text_of (body, "Member")) == 0)
      members[i].until = -1;
  expire_members ();
  answer (c, 200, NULL);
}
static void
store_owners (struct conn *c, const char *path)
{
  char group[60];
  json_t *rows = json_array ();
  query (path, "group", group, sizeof group);
  expire_members ();
  for (int i = 0; i < member_count; i++)
    for (int p = 0; p < PARTS; p++)
      if (members[i].parts >> p & 1)
        json_array_append_new (rows, json_pack ("[s,i,s,i]", group, p, members[i].name, 0));
  answer (c, 200, json_pack ("{s:o}", "Owners", rows));
}
static void
store_request (struct conn *c, const char *method, const char *path, const char *body, size_t len)
{
  json_t *json = NULL;
  if (store_mode == 1)
    {
      answer (c, 503, NULL);
      return;
    }
  if (store_mode == 2)
    {
      c->muted = 1;
      return;
    }
  if (store_lost_percent && rand () % 100 < store_lost_percent && strcmp (method, "POST") == 0)
    c->muted = 1;
  if (strncmp (path, "/ibisvane/log-append", 20) == 0)
    store_append (c, path, body, len);
  else if (strncmp (path, "/ibisvane/log-read", 18) == 0)
    {
      char name[60];
      query (path, "Topic", name, sizeof name);
      c->topic = topic_find (name);
      c->from = query_number (path, "From", 0);
      c->wait_until = now () + query_number (path, "WaitMs", 0);
      c->waiting = 1;
      if (c->from < topics[c->topic].count || c->wait_until <= now ())
        answer_read (c);
    }
  else if (strncmp (path, "/ibisvane/log-newest", 20) == 0)
    store_newest (c, path);
  else if (strncmp (path, "/ibisvane/log-owners", 20) == 0)
    store_owners (c, path);
  else if ((json = json_loadb (body, len, 0, NULL)) && strncmp (path, "/ibisvane/log-join", 18) == 0)
    store_join (c, json);
  else if (json && strncmp (path, "/ibisvane/log-leave", 19) == 0)
    store_leave (c, json);
  else
    answer (c, 404, NULL);
  json_decref (json);
}

/* ---- jobs, as consumers sent them ---- */

#define STEPS 4
#define TASKS 64
struct task
{
  int done, done_noted, fails_noted, starts, start_after_done;
  ll done_ms, last_run_ms;
  int running; /* runs at present, on minions that are up */
  int lost_runs, failed_ends;
};
struct step
{
  int count, cpu, mem, gang, rack_local, lasting, apart, work_ms, fail_runs, depends, saves;
  const char *needs;
};
struct job
{
  char id[17], spec[100];
  int queue, step_count;
  struct step steps[STEPS];
  struct task *tasks; /* [occurrence][step][TASKS] */
  int times;
  ll first_wall, interval;
  int accepted, rejected_all, sent, cancelled;
  ll accepted_ms, cancel_acked_ms;
  char shown[20]; /* the state shown last */
  int shown_completed, shown_failed, gets_410;
  int tries;
};
#define JOBS 600
static struct job jobs[JOBS];
static int job_count;
struct queue
{
  char host[40], prefix[40];
  int attempts, advised;
};
static struct queue queues[4];
static int queue_count, guards = 1;

static struct job *
job_find (const char *id)
{
  for (int i = 0; i < job_count; i++)
    if (strcmp (jobs[i].id, id) == 0)
      return &jobs[i];
  return NULL;
}
static struct task *
task_of (struct job *j, int occurrence, int step, int index)
{
  return &j->tasks[(occurrence * STEPS + step) * TASKS + index];
}

/* ---- minions ---- */

struct run
{
  struct job *job;
  int occurrence, step, index;
  char name[60];
  ll number, started, work, since;
  int stopping;
  ll stop_until;
  char saved[80];
  int active;
};
struct end
{
  ll n, number, at;
  char name[60], how[10], saved[80];
  struct job *job;
  int occurrence, step, index;
};
#define RUNS 300
struct minion
{
  char id[20], ip[20], zone[20], rack[20], kind[8];
  int port, listener, life, up, listed, draining, cpu, mem;
  ll born, born_wall, fence, lease, seq, next_beat, end_n, lapsed_at;
  struct run runs[RUNS];
  int run_count;
  struct end ends[600];
  int end_count;
  struct { char name[60]; ll number; } stopped[2000];
  int stopped_count;
  int mode; /* 0: sound, 1: starts are refused with 503, 2: silent */
  int late_percent;
  int removed;
  ll down_since;
};
#define MINIONS 200
static struct minion *minions;
static int minion_count;
static const char *service = "svc";

static ll
clock_of (const struct minion *m)
{
  return now () - m->born;
}
static void
beat (struct minion *m)
{
  json_t *v = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}", "Service", service,
      "Address", "", "Zone", m->zone, "Version", "v1", "Slots", 8, "State",
      m->draining ? "draining" : "ready", "ColdLeftMs", 0, "Capacity", "Cpu", m->cpu, "MemMb", m->mem,
      "Gpu", 0, "Labels", m->kind, m->rack, "ClockMs", clock_of (m), "Seq", ++m->seq, "born",
      m->born_wall);
  char text[40];
  snprintf (text, sizeof text, "%s:%d", m->ip, m->port);
  json_object_set_new (v, "Address", json_string (text));
  char *dump = json_dumps (v, JSON_COMPACT);
  store_put ("keyed.servers", m->id, dump);
  free (dump);
  json_decref (v);
  m->next_beat = now () + HEARTBEAT_MS;
  m->listed = 1;
}
static int
minion_add (const char *zone, const char *rack, const char *kind, int cpu, int mem)
{
  struct minion *m = &minions[minion_count];
  memset (m, 0, sizeof *m);
  snprintf (m->id, sizeof m->id, "i-%08x", 0x51000000 + minion_count * 7919);
  snprintf (m->ip, sizeof m->ip, "127.0.0.1");
  snprintf (m->zone, sizeof m->zone, "%s", zone);
  snprintf (m->rack, sizeof m->rack, "%s", rack);
  snprintf (m->kind, sizeof m->kind, "%s", kind);
  m->cpu = cpu;
  m->mem = mem;
  m->listener = listen_on (m->ip, &m->port, C_MINION, minion_count);
  m->up = 1;
  m->born = now () - 1000 - rand () % 5000;
  m->born_wall = wall () - (now () - m->born);
  m->next_beat = now () + rand () % HEARTBEAT_MS;
  m->lease = 0;
  return minion_count++;
}
static struct run *
run_find (struct minion *m, const char *name, ll number)
{
  for (int i = 0; i < m->run_count; i++)
    if (m->runs[i].number == number && strcmp (m->runs[i].name, name) == 0)
      return &m->runs[i];
  return NULL;
}
static void
remember_stopped (struct minion *m, const char *name, ll number)
{
  for (int i = 0; i < m->stopped_count; i++)
    if (strcmp (m->stopped[i].name, name) == 0)
      {
        if (number > m->stopped[i].number)
          m->stopped[i].number = number;
        return;
      }
  if (m->stopped_count == 2000)
    m->stopped_count = 0;
  snprintf (m->stopped[m->stopped_count].name, 60, "%s", name);
  m->stopped[m->stopped_count++].number = number;
}
static int
is_stopped (const struct minion *m, const char *name, ll number)
{
  for (int i = 0; i < m->stopped_count; i++)
    if (strcmp (m->stopped[i].name, name) == 0)
      return number <= m->stopped[i].number;
  return 0;
}
static void hold_answer (struct conn *c);
static void
run_end (struct minion *m, int at, const char *how)
{
  struct run r = m->runs[at];
  struct task *t = task_of (r.job, r.occurrence, r.step, r.index);
  m->runs[at] = m->runs[--m->run_count];
  remember_stopped (m, r.name, r.number);
  t->running--;
  t->last_run_ms = now ();
  struct end *e = &m->ends[m->end_count++];
  memset (e, 0, sizeof *e);
  e->n = ++m->end_n;
  e->at = now ();
  e->number = r.number;
  e->job = r.job;
  e->occurrence = r.occurrence;
  e->step = r.step;
  e->index = r.index;
  snprintf (e->name, sizeof e->name, "%s", r.name);
  snprintf (e->how, sizeof e->how, "%s", how);
  snprintf (e->saved, sizeof e->saved, "%s", r.saved);
  if (strcmp (how, "done") == 0 && !t->done)
    {
      t->done = 1;
      t->done_ms = now ();
    }
  if (strcmp (how, "failed") == 0)
    t->failed_ends++;
  note ("minion %s: %s run %lld ended %s", m->id, r.name, r.number, how);
  for (int i = 0; i < CONNS; i++)
    if (conns[i].kind == C_MINION && conns[i].waiting && &minions[conns[i].owner] == m)
      hold_answer (&conns[i]);
}
static void
minion_close_conns (int index)
{
  for (int i = 0; i < CONNS; i++)
    if (conns[i].kind == C_MINION && conns[i].owner == index)
      conn_reset (&conns[i]);
}
/* A crash sends nothing: its port refuses, or is silent when @a dark. */
static void
minion_crash (int index)
{
  struct minion *m = &minions[index];
  note ("TROUBLE: minion %s (%s, %s) crashes with %d runs", m->id, m->zone, m->rack, m->run_count);
  for (int i = 0; i < m->run_count; i++)
    {
      struct run *r = &m->runs[i];
      struct task *t = task_of (r->job, r->occurrence, r->step, r->index);
      t->running--;
      t->lost_runs++;
      t->last_run_ms = now ();
      note ("minion %s: %s run %lld is lost", m->id, r->name, r->number);
    }
  m->run_count = m->end_count = m->stopped_count = 0;
  m->up = 0;
  m->life++;
  m->down_since = now ();
  minion_close_conns (index);
  close (listeners[m->listener].fd);
  listeners[m->listener].fd = 0;
}
static void
minion_start_again (int index)
{
  struct minion *m = &minions[index];
  m->listener = listen_on (m->ip, &m->port, C_MINION, index);
  m->up = 1;
  m->draining = 0;
  m->born = now ();
  m->born_wall = wall ();
  m->fence = m->lease = m->seq = m->end_n = 0;
  m->end_count = m->stopped_count = m->run_count = 0;
  note ("minion %s starts again", m->id);
  beat (m);
}
static int
used_cpu (const struct minion *m)
{
  int sum = 0;
  for (int i = 0; i < m->run_count; i++)
    sum += m->runs[i].job->steps[m->runs[i].step].cpu;
  return sum;
}
static int
used_mem (const struct minion *m)
{
  int sum = 0;
  for (int i = 0; i < m->run_count; i++)
    sum += m->runs[i].job->steps[m->runs[i].step].mem;
  return sum;
}
static int advice_allows (const char *step, const char *id);
static int
parse_task (const char *name, struct job **job, int *k, int *step, int *index)
{
  char id[17] = { 0 };
  if (strlen (name) < 18 || sscanf (name + 16, ".%d.%d.%d", k, step, index) != 3)
    return 0;
  memcpy (id, name, 16);
  *job = job_find (id);
  return *job != NULL;
}
static void
check_start (struct minion *m, struct job *j, int k, int step, int index, json_t *body, const char *name)
{
  struct step *s = &j->steps[step];
  struct task *t = task_of (j, k, step, index);
  const char *checkpoint = text_of (body, "LastCheckpoint");
  int same = 0;
  if (t->running > 0)
    rule_broken ("TWICE", "%s starts on %s while another run exists", name, m->id);
  if (t->done && !s->lasting)
    {
      t->start_after_done = 1;
      if (t->done_noted)
        rule_broken ("TWICE", "%s starts on %s after a run has ended done, noted", name, m->id);
    }
  if (s->depends >= 0)
    for (int i = 0; i < j->steps[s->depends].count; i++)
      if (!task_of (j, k, s->depends, i)->done)
        {
          rule_broken ("ORDER", "%s starts before step %d is done", name, s->depends);
          break;
        }
  if (j->times && wall () < j->first_wall + k * j->interval - 250)
    rule_broken ("ORDER", "%s starts %lld ms before its time", name,
                 j->first_wall + k * j->interval - wall ());
  if (!s->lasting && t->fails_noted >= queues[j->queue].attempts)
    rule_broken ("BUDGET", "%s starts after %d runs failed", name, t->fails_noted);
  if (strcmp (text_of (body, "Spec"), j->spec) != 0)
    rule_broken ("UNASKED", "%s starts with another Spec \"%s\"", name, text_of (body, "Spec"));
  if (*checkpoint)
    {
      char expected[80];
      snprintf (expected, sizeof expected, "%.16s.%d.%d.%d.", j->id, k, step, s->gang ? 0 : index);
      if (strncmp (checkpoint, expected, strlen (expected)) != 0)
        rule_broken ("UNASKED", "%s starts with the checkpoint %s", name, checkpoint);
    }
  if (s->needs && strcmp (s->needs, m->kind) != 0)
    rule_broken ("ROUTE", "%s starts on a minion of kind %s", name, m->kind);
  for (int i = 0; i < m->run_count; i++)
    same += m->runs[i].job == j && m->runs[i].occurrence == k && m->runs[i].step == step;
  if (s->apart && same >= s->apart)
    rule_broken ("ROUTE", "%s starts beside %d of its step", name, same);
  if (!guards && (used_cpu (m) + s->cpu > m->cpu || used_mem (m) + s->mem > m->mem))
    rule_broken ("LIMIT", "%s brings %s over its capacity", name, m->id);
  if (j->cancel_acked_ms && now () > j->cancel_acked_ms + CANCEL_MS)
    rule_broken ("UNASKED", "%s starts %lld ms after its cancelling", name, now () - j->cancel_acked_ms);
  if (!j->sent)
    rule_broken ("UNASKED", "%s was never sent", name);
}
static json_t *
clock_body (const struct minion *m)
{
  return json_pack ("{s:I}", "ClockMs", clock_of (m));
}
static void
refuse (struct conn *c, struct minion *m, const char *reason, const char *name, ll number)
{
  note ("minion %s: %s run %lld refused: %s", m->id, name, number, reason);
  if (c)
    answer (c, 409, json_pack ("{s:I,s:s}", "ClockMs", clock_of (m), "Reason", reason));
}
static void
extend_lease (struct minion *m, ll deadline)
{
  ll limit = clock_of (m) + HOLD_MAX_MS;
  deadline = deadline > limit ? limit : deadline;
  if (deadline > m->lease)
    m->lease = deadline;
}
static void
minion_start (struct conn *c, struct minion *m, json_t *body)
{
  const char *name = text_of (body, "Task");
  ll number = number_of (body, "Run", 0), fence = number_of (body, "Fence", 0);
  ll deadline = number_of (body, "DeadlineMs", 0);
  struct job *j;
  int k, step, index;
  if (!parse_task (name, &j, &k, &step, &index))
    {
      rule_broken ("UNASKED", "unknown task %s", name);
      if (c)
        answer (c, 400, NULL);
      return;
    }
  if (fence < m->fence)
    {
      refuse (c, m, "fence", name, number);
      return;
    }
  m->fence = fence;
  if (deadline < clock_of (m))
    {
      refuse (c, m, "late", name, number);
      return;
    }
  extend_lease (m, deadline);
  struct step *s = &j->steps[step];
  if (run_find (m, name, number))
    {
      if (c)
        answer (c, 200, clock_body (m));
      return;
    }
  if (is_stopped (m, name, number))
    {
      refuse (c, m, "old", name, number);
      return;
    }
  if (guards && (used_cpu (m) + s->cpu > m->cpu || used_mem (m) + s->mem > m->mem))
    {
      refuse (c, m, "room", name, number);
      return;
    }
  if (queues[j->queue].advised)
    {
      char step_name[60], ticket[100];
      snprintf (step_name, sizeof step_name, "%.16s.%d.%d", j->id, k, step);
      snprintf (ticket, sizeof ticket, "%s/%s/%d", step_name, m->id, m->life);
      if (!advice_allows (step_name, m->id) || strcmp (ticket, text_of (body, "Ticket")) != 0)
        {
          refuse (c, m, "ticket", name, number);
          return;
        }
    }
  check_start (m, j, k, step, index, body, name);
  struct run *r = &m->runs[m->run_count++];
  memset (r, 0, sizeof *r);
  r->job = j;
  r->occurrence = k;
  r->step = step;
  r->index = index;
  snprintf (r->name, sizeof r->name, "%s", name);
  r->number = number;
  r->started = r->since = now ();
  const char *checkpoint = text_of (body, "LastCheckpoint");
  if (*checkpoint)
    {
      r->work = atoll (strrchr (checkpoint, '.') + 1);
      snprintf (r->saved, sizeof r->saved, "%s", checkpoint);
    }
  struct task *t = task_of (j, k, step, index);
  t->running++;
  t->starts++;
  note ("minion %s (%s, %s): %s run %lld starts%s%s", m->id, m->zone, m->rack, name, number,
        *checkpoint ? " from " : "", checkpoint);
  if (c)
    answer (c, 200, clock_body (m));
}
static void
minion_stop (struct conn *c, struct minion *m, json_t *body)
{
  const char *name = text_of (body, "Task");
  ll number = number_of (body, "Run", 0), fence = number_of (body, "Fence", 0);
  if (fence < m->fence)
    {
      refuse (c, m, "fence", name, number);
      return;
    }
  m->fence = fence;
  struct run *r = run_find (m, name, number);
  if (r && !r->stopping)
    {
      r->stopping = 1;
      r->stop_until = now () + 20 + rand () % (STOP_GRACE_MS - 40);
      note ("minion %s: %s run %lld is told to stop", m->id, name, number);
    }
  remember_stopped (m, name, number);
  if (c)
    answer (c, 200, clock_body (m));
}
static void
hold_answer (struct conn *c)
{
  struct minion *m = &minions[c->owner];
  json_t *running = json_array (), *ends = json_array ();
  for (int i = 0; i < m->run_count; i++)
    {
      struct run *r = &m->runs[i];
      struct step *s = &r->job->steps[r->step];
      int percent = s->lasting ? (now () - r->started > 300 ? 100 : 50)
                               : (int)(r->work * 100 / (s->work_ms ? s->work_ms : 1));
      json_array_append_new (running, json_pack ("[s,I,s,i,i]", r->name, r->number, r->saved,
                                                 percent > 99 && !s->lasting ? 99 : percent, s->cpu));
    }
  for (int i = 0; i < m->end_count && i < 500; i++)
    json_array_append_new (ends, json_pack ("[I,s,I,s,s]", m->ends[i].n, m->ends[i].name,
                                            m->ends[i].number, m->ends[i].how, m->ends[i].saved));
  answer (c, 200, json_pack ("{s:I,s:I,s:o,s:o}", "ClockMs", clock_of (m), "born", m->born_wall,
                             "Running", running, "Finished", ends));
}
static void
note_ends (struct minion *m, ll last_seen)
{
  int kept = 0;
  for (int i = 0; i < m->end_count; i++)
    {
      struct end *e = &m->ends[i];
      struct task *t = task_of (e->job, e->occurrence, e->step, e->index);
      if (e->n > last_seen)
        {
          m->ends[kept++] = *e;
          continue;
        }
      /* An end doesn't count whose minion's lease lapsed before it was taken note of. */
      if (m->lapsed_at >= e->at)
        continue;
      if (strcmp (e->how, "failed") == 0)
        t->fails_noted++;
      if (strcmp (e->how, "done") == 0)
        {
          t->done_noted = 1;
          if (t->start_after_done && !e->job->steps[e->step].lasting)
            rule_broken ("TWICE", "%s had started after its end done, noted now", e->name);
        }
    }
  m->end_count = kept;
}
static void
minion_hold (struct conn *c, struct minion *m, json_t *body)
{
  ll fence = number_of (body, "Fence", 0);
  if (fence < m->fence)
    {
      refuse (c, m, "fence", "hold", 0);
      return;
    }
  m->fence = fence;
  if (number_of (body, "DeadlineMs", 0) > 0)
    extend_lease (m, number_of (body, "DeadlineMs", 0));
  note_ends (m, number_of (body, "LastSeen", 0));
  if (c == NULL)
    return;
  c->wait_until = now () + number_of (body, "WaitMs", 0);
  c->waiting = 1;
  if (m->end_count > 0 || c->wait_until <= now ())
    hold_answer (c);
}

/* Orders that are carried out late. */
struct late
{
  ll at;
  int minion, kind;
  json_t *body;
};
static struct late lates[400];
static int late_count;
static void
minion_order (struct conn *c, struct minion *m, int kind, json_t *body)
{
  if (kind == 0)
    minion_start (c, m, body);
  else if (kind == 1)
    minion_stop (c, m, body);
  else
    minion_hold (c, m, body);
}
static void
minion_request (struct conn *c, const char *path, const char *instance, const char *text, size_t len)
{
  struct minion *m = &minions[c->owner];
  json_t *body = json_loadb (text, len, 0, NULL);
  int kind = strstr (path, "run-start") ? 0 : strstr (path, "run-stop") ? 1 : strstr (path, "hold") ? 2 : 3;
  if (m->mode == 2)
    c->muted = 1;
  else if (*instance && strcmp (instance, m->id) != 0)
    answer (c, 421, NULL);
  else if (kind == 3)
    answer (c, 200, clock_body (m));
  else if (m->mode == 1 && kind == 0)
    answer (c, 503, NULL);
  else if (kind < 2 && m->late_percent && rand () % 100 < m->late_percent && late_count < 400)
    {
      lates[late_count++] = (struct late){ now () + 2000 + rand () % 10000, c->owner, kind,
                                           json_incref (body) };
      note ("TROUBLE: minion %s leaves an order unanswered", m->id);
      c->muted = 1;
    }
  else
    minion_order (c, m, kind, body);
  json_decref (body);
}
/* Whether all members of the gang of @a r are at work under its number. */
static int
gang_present (const struct run *r)
{
  int found = 0;
  for (int i = 0; i < minion_count; i++)
    for (int k = 0; minions[i].up && k < minions[i].run_count; k++)
      {
        const struct run *o = &minions[i].runs[k];
        found += o->job == r->job && o->step == r->step && o->occurrence == r->occurrence
                 && o->number == r->number && !o->stopping;
      }
  return found >= r->job->steps[r->step].count;
}
static void
minion_tick (struct minion *m)
{
  if (!m->up)
    return;
  if (now () >= m->next_beat && !m->removed)
    beat (m);
  if (clock_of (m) > m->lease)
    m->lapsed_at = now ();
  if (m->run_count > 0 && clock_of (m) > m->lease)
    while (m->run_count > 0)
      run_end (m, 0, "lapsed");
  for (int i = m->run_count; i-- > 0;)
    {
      struct run *r = &m->runs[i];
      struct step *s = &r->job->steps[r->step];
      ll at = now (), passed = at - r->since;
      r->since = at;
      if (r->stopping)
        {
          if (at >= r->stop_until)
            run_end (m, i, "stopped");
          continue;
        }
      if (s->lasting)
        continue;
      if (s->gang && !r->active)
        {
          if (gang_present (r))
            r->active = 1;
          else if (at > r->started + GANG_WAIT_MS)
            run_end (m, i, "alone");
          continue;
        }
      if (s->gang && !gang_present (r))
        {
          /* Another member has ended: with `done` they all do. */
          int done = 0;
          for (int k = 0; k < s->count; k++)
            done |= task_of (r->job, r->occurrence, r->step, k)->done;
          run_end (m, i, done ? "done" : "broken");
          continue;
        }
      r->work += passed;
      if (s->saves && r->work >= 500)
        snprintf (r->saved, sizeof r->saved, "%.16s.%d.%d.%d.%lld", r->job->id, r->occurrence, r->step,
                  s->gang ? 0 : r->index, r->work / 500 * 500);
      if (r->work < s->work_ms)
        continue;
      struct task *t = task_of (r->job, r->occurrence, r->step, r->index);
      run_end (m, i, t->failed_ends < s->fail_runs ? "failed" : "done");
    }
}

/* ---- advice ---- */

static int advice_port, advice_percent = 100, advice_valid_ms = 3000;
static int (*advice_rule) (const char *step, const char *id);
static int
advice_allows (const char *step, const char *id)
{
  unsigned h = 5381;
  if (advice_rule)
    return advice_rule (step, id);
  for (const char *s = step; *s; s++)
    h = h * 33 + (unsigned char)*s;
  for (const char *s = id; *s; s++)
    h = h * 33 + (unsigned char)*s;
  return (int)(h / 7 % 100) < advice_percent;
}
static void
advice_request (struct conn *c, const char *text, size_t len)
{
  json_t *body = json_loadb (text, len, 0, NULL), *allowed = json_array (), *id;
  const char *step = text_of (body, "Step");
  size_t i;
  json_array_foreach (json_object_get (body, "Workers"), i, id)
    {
      const char *name = json_string_value (id);
      char ticket[100];
      if (!advice_allows (step, name))
        continue;
      for (int k = 0; k < minion_count; k++)
        if (strcmp (minions[k].id, name) == 0)
          {
            snprintf (ticket, sizeof ticket, "%s/%s/%d", step, name, minions[k].life);
            json_array_append_new (allowed, json_pack ("[s,s]", name, ticket));
          }
    }
  note ("advice on %s: %zu asked, %zu allowed", step, json_array_size (json_object_get (body, "Workers")),
        json_array_size (allowed));
  answer (c, 200, json_pack ("{s:o,s:i}", "Allowed", allowed, "ValidMs", advice_valid_ms));
  json_decref (body);
}

/* ---- hosts of the system ---- */

struct host
{
  char name[40], ip[20], zone[20], settings[300], log[300];
  int jobs_port, ready_port, ports[2];
  pid_t pid;
  ll restart_at;
};
static struct host hosts[8];
static int host_count;
static int
free_port (const char *ip)
{
  struct sockaddr_in a = address_of (ip, 0);
  socklen_t len = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (fd, (struct sockaddr *)&a, sizeof a))
    die ("free port");
  getsockname (fd, (struct sockaddr *)&a, &len);
  close (fd);
  return ntohs (a.sin_port);
}
static void
host_start (struct host *h)
{
  pid_t pid = fork ();
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      int fd = open (h->log, O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execl (daemon_path, daemon_path, "--config", h->settings, (char *)NULL);
      _exit (127);
    }
  h->pid = pid;
  h->restart_at = 0;
  note ("host %s starts", h->name);
}
static void
host_add (const char *name, const char *zone, const char *ip)
{
  struct host *h = &hosts[host_count++];
  FILE *f;
  snprintf (h->name, sizeof h->name, "%s", name);
  snprintf (h->zone, sizeof h->zone, "%s", zone);
  snprintf (h->ip, sizeof h->ip, "%s", ip);
  snprintf (h->settings, sizeof h->settings, "%s/%s.yaml", work_dir, name);
  snprintf (h->log, sizeof h->log, "%s/%s.log", work_dir, name);
  h->jobs_port = free_port (ip);
  h->ready_port = free_port (ip);
  h->ports[0] = free_port (ip);
  h->ports[1] = free_port (ip);
  int metrics = free_port (ip);
  f = fopen (h->settings, "w");
  if (f == NULL)
    die ("settings");
  /* As deploy/settings.yaml is filled in for a machine of khairat-bersatu. */
  fprintf (f,
           "user: fleet\nhost: %s\ndomain: %s\nlisten:\n  callers: %s:%d\n  operators: %s:%d\n"
           "  peers: %s:%d\nplatform:\n  address: %s:%d\nmembers:\n  - host: %s\n    domain: %s\n"
           "    peers: %s:%d\nfleet:\n  jobs: %s:%d\n  ready: %s:%d\n  metrics: %s:%d\n",
           name, zone, ip, h->ports[0], ip, h->ports[1], ip, h->ports[1], store_ip, store_port, name,
           zone, ip, h->ports[1], ip, h->jobs_port, ip, h->ready_port, ip, metrics);
  if (advice_port)
    fprintf (f, "  advice: 127.0.0.1:%d\n", advice_port);
  fprintf (f, "  member_ttl: 1000ms\n  cpu: 0.25\n  lease_max: %dms\n  evidence: 5000ms\n"
              "  contact: 3000ms\n  heartbeat: %dms\n  harm: 4000ms\n  keep: 120s\n",
           HOLD_MAX_MS, HEARTBEAT_MS);
  fclose (f);
  host_start (h);
}
static void
host_kill (int i, ll down_ms)
{
  note ("TROUBLE: host %s is killed", hosts[i].name);
  kill (hosts[i].pid, SIGKILL);
  waitpid (hosts[i].pid, NULL, 0);
  hosts[i].pid = 0;
  hosts[i].restart_at = now () + down_ms;
}
static void
host_tick (void)
{
  for (int i = 0; i < host_count; i++)
    {
      int status;
      if (hosts[i].pid && waitpid (hosts[i].pid, &status, WNOHANG) == hosts[i].pid)
        {
          note ("host %s ended by itself, status %x", hosts[i].name, status);
          if (WIFSIGNALED (status))
            rule_broken ("Fault", "host %s ends by signal %d", hosts[i].name, WTERMSIG (status));
          hosts[i].pid = 0;
          hosts[i].restart_at = now () + 300;
        }
      if (hosts[i].pid == 0 && hosts[i].restart_at && now () >= hosts[i].restart_at)
        host_start (&hosts[i]);
    }
}
static void
hosts_end (void)
{
  for (int i = 0; i < host_count; i++)
    if (hosts[i].pid > 0)
      {
        kill (hosts[i].pid, SIGCONT);
        kill (hosts[i].pid, SIGKILL);
        waitpid (hosts[i].pid, NULL, 0);
        hosts[i].pid = 0;
      }
}
/* The host that claimed cell @a cell last; -1: none. */
static int
owner_of (int cell)
{
  struct topic *t = &topics[topic_find ("keyed.jobs")];
  char key[30];
  snprintf (key, sizeof key, "owner/%d", cell);
  for (int i = 0; i < t->key_count; i++)
    if (strcmp (t->keys[i].key, key) == 0)
      {
        const struct rec *r = &t->recs[t->keys[i].offset];
        char value[200] = { 0 };
        size_t skip = 1 + strlen (key), len = r->len - skip;
        memcpy (value, r->bytes + skip, len < 199 ? len : 199);
        for (int h = 0; h < host_count; h++)
          if (strstr (value, hosts[h].name))
            return h;
      }
  return -1;
}

/* ---- consumers ---- */

static void
http_request (int host, const char *method, const char *host_header, const char *path, const char *body,
              ll deadline_ms, reply_fn done, void *context)
{
  struct sockaddr_in a = address_of (hosts[host].ip, hosts[host].jobs_port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct conn *c = conn_new (fd, C_CLIENT, host);
  char head[500];
  int n = snprintf (head, sizeof head,
                    "%s %s HTTP/1.1\r\nhost: %s\r\ncontent-type: application/json\r\n"
                    "x-ibisvane-deadline-ms: %lld\r\ncontent-length: %zu\r\nconnection: close\r\n\r\n",
                    method, path, host_header, deadline_ms, body ? strlen (body) : 0);
  c->done = done;
  c->context = context;
  c->deadline = now () + deadline_ms;
  connect (fd, (struct sockaddr *)&a, sizeof a);
  put (&c->out, head, (size_t)n);
  if (body)
    put (&c->out, body, strlen (body));
}
static char *
job_body (const struct job *j)
{
  json_t *steps = json_array ();
  for (int i = 0; i < j->step_count; i++)
    {
      const struct step *s = &j->steps[i];
      json_t *row = json_pack ("{s:i,s:i,s:i,s:i}", "Count", s->count, "Cpu", s->cpu, "MemMb", s->mem,
                               "EstimateMs", s->work_ms ? s->work_ms : 1000);
      if (s->depends >= 0)
        json_object_set_new (row, "DependsOn", json_pack ("[i]", s->depends));
      if (s->gang)
        json_object_set_new (row, "Gang", json_true ());
      if (s->rack_local)
        json_object_set_new (row, "RackLocal", json_true ());
      if (s->saves)
        json_object_set_new (row, "SavesProgress", json_true ());
      if (s->lasting)
        json_object_set_new (row, "LongRunning", json_true ());
      if (s->apart)
        json_object_set_new (row, "AntiAffinity", json_integer (s->apart));
      if (s->needs)
        json_object_set_new (row, "Requires", json_string (s->needs));
      json_array_append_new (steps, row);
    }
  json_t *body = json_pack ("{s:s,s:o}", "Spec", j->spec, "Steps", steps);
  if (j->times)
    {
      json_object_set_new (body, "Times", json_integer (j->times));
      json_object_set_new (body, "FirstRunMs", json_integer (j->first_wall));
      json_object_set_new (body, "IntervalMs", json_integer (j->interval));
    }
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}
static struct job *
job_new (int queue, unsigned long long id)
{
  struct job *j = &jobs[job_count++];
  memset (j, 0, sizeof *j);
  snprintf (j->id, sizeof j->id, "%016llx", id);
  snprintf (j->spec, sizeof j->spec, "spec of %s", j->id);
  j->queue = queue;
  for (int i = 0; i < STEPS; i++)
    j->steps[i].depends = -1;
  return j;
}
static unsigned long long
random_id (void)
{
  unsigned long long id = 0;
  for (int i = 0; i < 8; i++)
    id = id << 8 | (unsigned long long)(rand () & 255);
  return id;
}
static void job_send (struct job *j);
static void
on_submitted (void *context, int status, const char *body)
{
  struct job *j = context;
  (void)body;
  note ("consumer: POST %s answered %d", j->id, status);
  if (status >= 200 && status < 300)
    {
      if (!j->accepted)
        j->accepted_ms = now ();
      j->accepted = 1;
    }
  else if (j->tries < 12 && status != 400 && status != 404)
    job_send (j);
}
static int
pick_host (void)
{
  for (int i = 0; i < 20; i++)
    {
      int h = rand () % host_count;
      if (hosts[h].pid)
        return h;
    }
  return 0;
}
static void
job_send (struct job *j)
{
  char path[100], *body = job_body (j);
  if (j->tasks == NULL)
    j->tasks = calloc ((size_t)((j->times ? j->times : 1) * STEPS * TASKS), sizeof *j->tasks);
  snprintf (path, sizeof path, "%s%s", queues[j->queue].prefix, j->id);
  j->sent = 1;
  j->tries++;
  int h = pick_host ();
  note ("consumer: POST %s to %s, %s", j->id, hosts[h].name, body);
  http_request (h, "POST", queues[j->queue].host, path, body, 3000, on_submitted, j);
  free (body);
}
static int
job_is_done (const struct job *j)
{
  for (int k = 0; k < (j->times ? j->times : 1); k++)
    for (int s = 0; s < j->step_count; s++)
      for (int i = 0; i < j->steps[s].count; i++)
        {
          /* One end of a gang is that of all. */
          int any = 0;
          for (int g = 0; j->steps[s].gang && g < j->steps[s].count; g++)
            any |= task_of ((struct job *)j, k, s, g)->done;
          if (!any && !task_of ((struct job *)j, k, s, i)->done)
            return 0;
        }
  return 1;
}
static int
job_has_failed (const struct job *j)
{
  for (int k = 0; k < (j->times ? j->times : 1); k++)
    for (int s = 0; s < j->step_count; s++)
      {
        int sum = 0;
        for (int i = 0; i < j->steps[s].count; i++)
          {
            int n = task_of ((struct job *)j, k, s, i)->failed_ends;
            sum += n;
            if (n >= queues[j->queue].attempts)
              return 1;
          }
        if (j->steps[s].gang && sum >= queues[j->queue].attempts)
          return 1;
      }
  return 0;
}
static void
on_state (void *context, int status, const char *body)
{
  struct job *j = context;
  json_t *json = body ? json_loads (body, 0, NULL) : NULL;
  const char *state = text_of (json, "State");
  if (status == 200 && strcmp (state, j->shown) != 0)
    {
      note ("consumer: GET %s answered %s", j->id, state);
      snprintf (j->shown, sizeof j->shown, "%s", state);
      if (strcmp (state, "completed") == 0 && !job_is_done (j))
        rule_broken ("MIXED", "%s is shown as completed while a task has not ended so", j->id);
      if (strcmp (state, "failed") == 0 && !job_has_failed (j))
        rule_broken ("LOST", "%s is shown as failed, though no task of it has ended failed %d times",
                     j->id, queues[j->queue].attempts);
      if (strcmp (state, "cancelled") == 0 && !j->cancelled)
        rule_broken ("LOST", "%s is shown as cancelled, though nobody cancelled it", j->id);
    }
  else if (status == 410 && j->accepted && now () > j->accepted_ms + 3000)
    rule_broken ("LOST", "GET %s answered 410", j->id);
  else if (status != 200)
    note ("consumer: GET %s answered %d", j->id, status);
  json_decref (json);
}
static void
job_ask (struct job *j, int host)
{
  char path[100];
  snprintf (path, sizeof path, "%s%s", queues[j->queue].prefix, j->id);
  http_request (host, "GET", queues[j->queue].host, path, NULL, 3000, on_state, j);
}
static void
on_cancelled (void *context, int status, const char *body)
{
  struct job *j = context;
  (void)body;
  note ("consumer: DELETE %s answered %d", j->id, status);
  if ((status >= 200 && status < 300) || status == 410)
    j->cancel_acked_ms = now ();
}
static void
job_cancel (struct job *j)
{
  char path[100];
  snprintf (path, sizeof path, "%s%s", queues[j->queue].prefix, j->id);
  j->cancelled = 1;
  note ("consumer: DELETE %s", j->id);
  http_request (pick_host (), "DELETE", queues[j->queue].host, path, NULL, 3000, on_cancelled, j);
}

/* ---- the loop ---- */

static void
client_finish (struct conn *c, int status, const char *body)
{
  reply_fn done = c->done;
  void *context = c->context;
  char *copy = body ? strdup (body) : NULL;
  conn_close (c);
  done (context, status, copy);
  free (copy);
}
static void
on_bytes (struct conn *c)
{
  for (;;)
    {
      char *end = c->in.data ? strstr (c->in.data, "\r\n\r\n") : NULL;
      char method[10], path[1500], instance[40] = "";
      size_t length = 0, head;
      if (end == NULL || c->waiting)
        return;
      head = (size_t)(end - c->in.data) + 4;
      char *h = strcasestr (c->in.data, "\r\ncontent-length:");
      if (h && h < end)
        length = (size_t)atoll (h + 17);
      h = strcasestr (c->in.data, "\r\nx-ibisvane-expect-instance:");
      if (h && h < end)
        sscanf (h + 29, " %39s", instance);
      if (c->in.len < head + length)
        return;
      if (c->kind == C_CLIENT)
        {
          int status = atoi (c->in.data + 9);
          client_finish (c, status, c->in.data + head);
          return;
        }
      if (sscanf (c->in.data, "%9s %1499s", method, path) != 2)
        {
          conn_reset (c);
          return;
        }
      char *body = malloc (length + 1);
      memcpy (body, c->in.data + head, length);
      body[length] = 0;
      take (&c->in, head + length);
      if (c->kind == C_STORE)
        store_request (c, method, path, body, length);
      else if (c->kind == C_MINION)
        minion_request (c, path, instance, body, length);
      else
        advice_request (c, body, length);
      free (body);
      if (c->kind == C_FREE)
        return;
    }
}
static void
loop_once (int wait_ms)
{
  static struct pollfd fds[CONNS + LISTENERS];
  static int what[CONNS + LISTENERS];
  int n = 0;
  for (int i = 0; i < listener_count; i++)
    if (listeners[i].fd)
      {
        fds[n] = (struct pollfd){ listeners[i].fd, POLLIN, 0 };
        what[n++] = -1 - i;
      }
  for (int i = 0; i < CONNS; i++)
    if (conns[i].kind)
      {
        fds[n] = (struct pollfd){ conns[i].fd, (short)(POLLIN | (conns[i].out.len ? POLLOUT : 0)), 0 };
        what[n++] = i;
      }
  poll (fds, (nfds_t)n, wait_ms);
  for (int i = 0; i < n; i++)
    {
      if (fds[i].revents == 0)
        continue;
      if (what[i] < 0)
        {
          struct listener *l = &listeners[-1 - what[i]];
          int fd = l->fd ? accept4 (l->fd, NULL, NULL, SOCK_CLOEXEC) : -1;
          if (fd >= 0)
            conn_new (fd, l->kind, l->owner);
          continue;
        }
      struct conn *c = &conns[what[i]];
      if (c->kind == C_FREE || c->fd != fds[i].fd)
        continue;
      if (c->out.len)
        flush (c);
      if (fds[i].revents & (POLLIN | POLLHUP | POLLERR))
        {
          char data[65536];
          ssize_t got = recv (c->fd, data, sizeof data, 0);
          if (got > 0)
            {
              put (&c->in, data, (size_t)got);
              on_bytes (c);
            }
          else if (got == 0 || (errno != EAGAIN && errno != EINTR))
            {
              if (c->kind == C_CLIENT)
                client_finish (c, 0, NULL);
              else
                conn_close (c);
            }
        }
    }
  for (int i = 0; i < CONNS; i++)
    {
      struct conn *c = &conns[i];
      if (c->kind == C_STORE && c->waiting && now () >= c->wait_until)
        answer_read (c);
      else if (c->kind == C_MINION && c->waiting && now () >= c->wait_until)
        hold_answer (c);
      else if (c->kind == C_CLIENT && now () > c->deadline)
        client_finish (c, -1, NULL);
      else if ((c->kind == C_STORE || c->kind == C_MINION || c->kind == C_ADVICE) && c->in.len
               && !c->waiting)
        on_bytes (c);
    }
  for (int i = 0; i < minion_count; i++)
    minion_tick (&minions[i]);
  for (int i = late_count; i-- > 0;)
    if (now () >= lates[i].at)
      {
        struct late l = lates[i];
        lates[i] = lates[--late_count];
        if (minions[l.minion].up)
          {
            note ("minion %s carries out a late order", minions[l.minion].id);
            minion_order (NULL, &minions[l.minion], l.kind, l.body);
          }
        json_decref (l.body);
      }
  host_tick ();
  expire_members ();
}
static void
run_for (ll ms)
{
  ll until = now () + ms;
  while (now () < until)
    loop_once (5);
}
static int config_version = 1;
static void
put_config (void)
{
  json_t *routes = json_array ();
  for (int i = 0; i < queue_count; i++)
    {
      json_t *r = json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}", "Name", queues[i].prefix, "Host",
                             queues[i].host, "PathPrefix", queues[i].prefix, "Type", "non_idempotent",
                             "TimeoutMs", 3000, "TargetLatencyMs", 1000, "Priority", 0, "Service",
                             service, "Attempts", queues[i].attempts, "Stretch", 2.0);
      if (queues[i].advised)
        json_object_set_new (r, "Advice", json_pack ("{s:i,s:i,s:i}", "DecideMs", 5, "PerWorkerMs", 1,
                                                     "ValidMs", advice_valid_ms));
      json_array_append_new (routes, r);
    }
  json_t *config = json_pack (
      "{s:i,s:o,s:[{s:s,s:s,s:i,s:s,s:b,s:b,s:b}],s:{s:i}}", "Version", config_version++, "Routes",
      routes, "Services", "Name", service, "HealthPath", "/health", "MaxConns", 64, "Protocol", "h1",
      "Tls", 0, "AdmissionCheck", guards, "Standby", 0, "Limits", "MaxBodyBytes", 262144);
  char *text = json_dumps (config, JSON_COMPACT);
  store_put ("keyed.op", "config", text);
  free (text);
  json_decref (config);
}
static void
queue_add (const char *prefix, int attempts, int advised)
{
  struct queue *q = &queues[queue_count++];
  snprintf (q->host, sizeof q->host, "nony24.example");
  snprintf (q->prefix, sizeof q->prefix, "%s", prefix);
  q->attempts = attempts;
  q->advised = advised;
}
/* Whether nothing of the job runs, or has ended done, in any of its tasks. */
static int
job_running (const struct job *j)
{
  int sum = 0;
  for (int s = 0; s < j->step_count; s++)
    for (int i = 0; i < j->steps[s].count; i++)
      sum += task_of ((struct job *)j, 0, s, i)->running;
  return sum;
}
static int
wait_until_accepted (struct job *j, ll ms)
{
  ll until = now () + ms;
  while (!j->accepted && now () < until)
    loop_once (5);
  if (!j->accepted)
    {
      note ("cannot run: job %s was not accepted", j->id);
      return 0;
    }
  return 1;
}
/* Starts the store and the hosts; the minions have been added. */
static void
begin (int host_total)
{
  static const char *const zones[] = { "za", "zb", "zc" };
  char ip[20], name[40];
  int net = 64 + getpid () % 180;
  put_config ();
  for (int i = 0; i < minion_count; i++)
    beat (&minions[i]);
  for (int i = 0; i < host_total; i++)
    {
      snprintf (ip, sizeof ip, "127.%d.%d.%d", net, 1 + getpid () / 180 % 250, 11 + i);
      snprintf (name, sizeof name, "front-%s-%d", zones[i % 3], i / 3 + 1);
      host_add (name, zones[i % 3], ip);
    }
}

#include "cases-2.inc"

int
main (int argc, char **argv)
{
  if (argc != 5)
    {
      fprintf (stderr, "usage: sim-2 CASE DAEMON DIRECTORY RECORD\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  atexit (hosts_end);
  start_ms = mono ();
  daemon_path = argv[2];
  work_dir = argv[3];
  record_file = fopen (argv[4], "w");
  if (record_file == NULL)
    return 2;
  if (getenv ("TROUBLE") && strcmp (getenv ("TROUBLE"), "0") == 0)
    trouble = 0;
  srand ((unsigned)(getenv ("SEED") ? atoi (getenv ("SEED")) : time (NULL)));
  minions = calloc (MINIONS, sizeof *minions);
  listen_on (store_ip, &store_port, C_STORE, 0);
  int result = run_case (argv[1]);
  hosts_end ();
  note ("%s", result == 2 ? "could not run" : broken ? "rule broken" : "rule held");
  return result == 2 ? 2 : broken ? 1 : 0;
}
