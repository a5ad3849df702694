#include "note.h"

#include "settings.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#define ITEMS_MAX 1000
#define TASKS_MAX 100000
#define DAY_MS 86400000

/* One added or changed service, job or team, with the keys of all three. */
struct entry
{
  struct iv_place place;
  char *name;
  char *team;
  gint64 cpu_milli;
  gint64 memory_mib;
  gint64 accelerators;
  gint64 tasks;
  gint64 priority;
  gint64 run_ms;
  gint64 latency_ms;
  gint64 horizon_ms;
  gint64 quota_milli;
  gint64 urgent;
  gint64 gang;
  gint64 at_most_once;
  gint64 idempotent;
};

struct section
{
  struct iv_place place;
  GArray *services;
  GArray *jobs;
  GArray *teams;
};

struct size
{
  struct iv_place place;
  gint64 cpu_milli;
  gint64 memory_mib;
  gint64 accelerators;
};

struct file
{
  struct iv_place place;
  gint64 release;
  gint64 changes;
  char *author;
  struct section added;
  struct section changed;
  struct section withdrawn;
  struct size largest_host;
};

#define AT(key_, member_, ...)                                                                     \
  {                                                                                                \
    .key = key_, .offset = offsetof (struct entry, member_), __VA_ARGS__                           \
  }

#define SIZE_FIELDS                                                                                \
  AT ("cpu", cpu_milli, .kind = IV_FIELD_CPU, .required = TRUE, .min = 1, .max = 1024000),         \
      AT ("memory", memory_mib, .kind = IV_FIELD_MEMORY, .required = TRUE, .min = 1,               \
          .max = 16777216),                                                                        \
      AT ("accelerators", accelerators, .kind = IV_FIELD_INT, .max = 64),                          \
      AT ("priority", priority, .kind = IV_FIELD_INT, .max = 1000),                                \
      AT ("horizon", horizon_ms, .kind = IV_FIELD_DURATION, .max = DAY_MS)

static const struct iv_field service_fields[] = {
  AT ("name", name, .kind = IV_FIELD_NAME, .required = TRUE),
  AT ("team", team, .kind = IV_FIELD_NAME, .required = TRUE),
  SIZE_FIELDS,
  AT ("instances", tasks, .kind = IV_FIELD_INT, .required = TRUE, .min = 1, .max = TASKS_MAX),
  AT ("latency_target", latency_ms, .kind = IV_FIELD_DURATION, .min = 1, .max = 600000,
      .fallback = 100),
  AT ("idempotent", idempotent, .kind = IV_FIELD_BOOL),
  { 0 },
};
static const struct iv_field job_fields[] = {
  AT ("name", name, .kind = IV_FIELD_NAME, .required = TRUE),
  AT ("team", team, .kind = IV_FIELD_NAME, .required = TRUE),
  SIZE_FIELDS,
  AT ("tasks", tasks, .kind = IV_FIELD_INT, .fallback = 1, .min = 1, .max = TASKS_MAX),
  AT ("run_time", run_ms, .kind = IV_FIELD_DURATION, .required = TRUE, .min = 1,
      .max = 30 * (gint64)DAY_MS),
  AT ("urgent", urgent, .kind = IV_FIELD_BOOL),
  AT ("gang", gang, .kind = IV_FIELD_BOOL),
  AT ("at_most_once", at_most_once, .kind = IV_FIELD_BOOL),
  { 0 },
};
static const struct iv_field team_fields[] = {
  AT ("name", name, .kind = IV_FIELD_NAME, .required = TRUE),
  AT ("quota", quota_milli, .kind = IV_FIELD_CPU, .max = G_MAXUINT32),
  { 0 },
};
static const struct iv_schema service_schema
    = { "a service", sizeof (struct entry), service_fields };
static const struct iv_schema job_schema = { "a job", sizeof (struct entry), job_fields };
static const struct iv_schema team_schema = { "a team", sizeof (struct entry), team_fields };

#define IN(member_, ...)                                                                           \
  {                                                                                                \
    .key = #member_, .offset = offsetof (struct section, member_), __VA_ARGS__                     \
  }

static const struct iv_field section_fields[] = {
  IN (services, .kind = IV_FIELD_LIST, .sub = &service_schema, .max = ITEMS_MAX),
  IN (jobs, .kind = IV_FIELD_LIST, .sub = &job_schema, .max = ITEMS_MAX),
  IN (teams, .kind = IV_FIELD_LIST, .sub = &team_schema, .max = ITEMS_MAX),
  { 0 },
};
static const struct iv_field withdrawn_fields[] = {
  IN (services, .kind = IV_FIELD_NAMES, .max = ITEMS_MAX),
  IN (jobs, .kind = IV_FIELD_NAMES, .max = ITEMS_MAX),
  IN (teams, .kind = IV_FIELD_NAMES, .max = ITEMS_MAX),
  { 0 },
};
static const struct iv_schema added_schema = { "added", sizeof (struct section), section_fields };
static const struct iv_schema changed_schema
    = { "changed", sizeof (struct section), section_fields };
static const struct iv_schema withdrawn_schema
    = { "withdrawn", sizeof (struct section), withdrawn_fields };

static const struct iv_field size_fields[] = {
  { .key = "cpu", .kind = IV_FIELD_CPU, .offset = offsetof (struct size, cpu_milli), .min = 1 },
  { .key = "memory",
    .kind = IV_FIELD_MEMORY,
    .offset = offsetof (struct size, memory_mib),
    .min = 1 },
  { .key = "accelerators", .kind = IV_FIELD_INT, .offset = offsetof (struct size, accelerators) },
  { 0 },
};
static const struct iv_schema size_schema = { "largest_host", sizeof (struct size), size_fields };

static const struct iv_field file_fields[] = {
  { .key = "release",
    .kind = IV_FIELD_INT,
    .offset = offsetof (struct file, release),
    .required = TRUE,
    .min = 1,
    .max = G_MAXINT32 },
  { .key = "changes",
    .kind = IV_FIELD_INT,
    .offset = offsetof (struct file, changes),
    .required = TRUE,
    .min = 0,
    .max = G_MAXINT32 },
  { .key = "author",
    .kind = IV_FIELD_NAME,
    .offset = offsetof (struct file, author),
    .required = TRUE },
  { .key = "added",
    .kind = IV_FIELD_MAP,
    .offset = offsetof (struct file, added),
    .sub = &added_schema },
  { .key = "changed",
    .kind = IV_FIELD_MAP,
    .offset = offsetof (struct file, changed),
    .sub = &changed_schema },
  { .key = "withdrawn",
    .kind = IV_FIELD_MAP,
    .offset = offsetof (struct file, withdrawn),
    .sub = &withdrawn_schema },
  { .key = "largest_host",
    .kind = IV_FIELD_MAP,
    .offset = offsetof (struct file, largest_host),
    .sub = &size_schema },
  { 0 },
};
static const struct iv_schema file_schema
    = { "the release note", sizeof (struct file), file_fields };

static ivx_item
make_item (const struct entry *entry, ivx_change change, ivx_type type)
{
  ivx_item item = { .change = change, .type = type };
  item.name = iv_record_strdup (entry->name);
  item.team = iv_record_strdup (entry->team);
  item.size = (ivx_size){ (guint32)entry->cpu_milli, (guint32)entry->memory_mib,
                          (guint32)entry->accelerators };
  item.tasks = (guint32)entry->tasks;
  item.priority = (guint32)entry->priority;
  item.run_ms = (guint32)entry->run_ms;
  item.latency_ms = (guint32)entry->latency_ms;
  item.horizon_ms = (guint32)entry->horizon_ms;
  item.quota_milli = (guint32)entry->quota_milli;
  item.urgent = entry->urgent != 0;
  item.gang = entry->gang != 0;
  item.at_most_once = entry->at_most_once != 0;
  item.idempotent = entry->idempotent != 0;
  return item;
}

static void
add_entries (struct iv_note *note, GArray *items, const GArray *entries, ivx_change change,
             ivx_type type)
{
  for (guint i = 0; entries && i < entries->len; i++)
    {
      const struct entry *entry = &g_array_index (entries, struct entry, i);
      ivx_item item = make_item (entry, change, type);
      g_array_append_val (items, item);
      g_array_append_val (note->places, entry->place);
    }
}

static void
add_names (struct iv_note *note, GArray *items, const GArray *names, struct iv_place place,
           ivx_type type)
{
  for (guint i = 0; names && i < names->len; i++)
    {
      struct entry entry = { .name = g_array_index (names, char *, i) };
      ivx_item item = make_item (&entry, IVX_WITHDRAWN, type);
      g_array_append_val (items, item);
      g_array_append_val (note->places, place);
    }
}

static void
add_section (struct iv_note *note, GArray *items, const struct section *section, ivx_change change)
{
  add_entries (note, items, section->services, change, IVX_SERVICE);
  add_entries (note, items, section->jobs, change, IVX_JOB);
  add_entries (note, items, section->teams, change, IVX_TEAM);
}

static void
check_names (const struct iv_note *note, const GArray *items, struct iv_findings *findings)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < items->len; i++)
    {
      const char *name = g_array_index (items, ivx_item, i).name;
      if (!g_hash_table_add (seen, (gpointer)name))
        iv_findings_add (findings, g_array_index (note->places, struct iv_place, i),
                         "duplicate name \"%s\"", name);
    }
  g_hash_table_destroy (seen);
}

static gboolean
fits (const ivx_size *size, const ivx_size *host)
{
  return size->cpu_milli <= host->cpu_milli && size->memory_mib <= host->memory_mib
         && size->accelerators <= host->accelerators;
}

static void
check_sizes (const struct iv_note *note, const ivx_item *items, guint count, const GArray *hosts,
             struct iv_findings *findings)
{
  for (guint i = 0; i < count; i++)
    {
      gboolean possible = FALSE;
      if (items[i].type == IVX_TEAM || items[i].change == IVX_WITHDRAWN)
        continue;
      for (guint j = 0; j < hosts->len; j++)
        possible |= fits (&items[i].size, &g_array_index (hosts, ivx_size, j));
      if (!possible)
        iv_findings_add (findings, g_array_index (note->places, struct iv_place, i),
                         "\"%s\" is larger than any host", items[i].name);
    }
}

static void
check_file (const struct iv_note *note, const struct file *file, const GArray *items,
            struct iv_findings *findings)
{
  if (file->release != file->changes + 1)
    iv_findings_add (findings, file->place,
                     "release %" G_GINT64_FORMAT
                     " must follow the one it changes, %" G_GINT64_FORMAT,
                     file->release, file->changes);
  check_names (note, items, findings);
  if (items->len > IVX_ENTRIES_MAX)
    iv_findings_add (findings, file->place, "more than %d changes", IVX_ENTRIES_MAX);
  if (file->largest_host.cpu_milli > 0)
    {
      GArray *hosts = g_array_new (FALSE, FALSE, sizeof (ivx_size));
      ivx_size size
          = { (guint32)file->largest_host.cpu_milli, (guint32)file->largest_host.memory_mib,
              (guint32)file->largest_host.accelerators };
      g_array_append_val (hosts, size);
      check_sizes (note, (ivx_item *)items->data, items->len, hosts, findings);
      g_array_free (hosts, TRUE);
    }
}

static void
fill_release (struct iv_note *note, const struct file *file, GArray *items, const char *text,
              gsize len)
{
  ivx_release *release = &note->release;
  release->number = (guint32)file->release;
  release->base = (guint32)file->changes;
  release->author = iv_record_strdup (file->author);
  release->text = strndup (text, MIN (len, IVX_TEXT_BYTES_MAX));
  release->items.items_len = items->len;
  release->items.items_val = malloc ((items->len + 1) * sizeof (ivx_item));
  memcpy (release->items.items_val, items->data, items->len * sizeof (ivx_item));
}

struct iv_note *
iv_note_read (const char *text, gsize len, struct iv_findings *findings)
{
  struct iv_note *note = g_new0 (struct iv_note, 1);
  struct file file = { 0 };
  GArray *items = g_array_new (FALSE, FALSE, sizeof (ivx_item));
  note->places = g_array_new (FALSE, FALSE, sizeof (struct iv_place));
  if (len > IVX_TEXT_BYTES_MAX)
    iv_findings_add (findings, (struct iv_place){ 1, 1 }, "the note is larger than %d bytes",
                     IVX_TEXT_BYTES_MAX);
  note->document = iv_document_read (text, len, &file_schema, &file, findings);
  if (iv_findings_count (findings) == 0)
    {
      add_section (note, items, &file.added, IVX_ADDED);
      add_section (note, items, &file.changed, IVX_CHANGED);
      add_names (note, items, file.withdrawn.services, file.withdrawn.place, IVX_SERVICE);
      add_names (note, items, file.withdrawn.jobs, file.withdrawn.place, IVX_JOB);
      add_names (note, items, file.withdrawn.teams, file.withdrawn.place, IVX_TEAM);
      check_file (note, &file, items, findings);
    }
  fill_release (note, &file, items, text, len);
  g_array_free (items, TRUE);
  return note;
}

gboolean
iv_job_read (const char *text, gsize len, ivx_item *item, struct iv_findings *findings)
{
  struct entry entry = { 0 };
  struct iv_document *document = iv_document_read (text, len, &job_schema, &entry, findings);
  gboolean ok = iv_findings_count (findings) == 0;
  if (ok)
    *item = make_item (&entry, IVX_ADDED, IVX_JOB);
  iv_document_free (document);
  return ok;
}

void
iv_note_free (struct iv_note *note)
{
  if (note == NULL)
    return;
  xdr_free ((xdrproc_t)xdr_ivx_release, (char *)&note->release);
  g_array_free (note->places, TRUE);
  iv_document_free (note->document);
  g_free (note);
}

static void
check_item (const struct iv_config *config, const ivx_item *item, struct iv_place place,
            struct iv_findings *findings)
{
  static const char *const types[] = { "", "service", "job", "team" };
  const struct iv_item *known = iv_config_item (config, item->name);
  gboolean in_force = known && !known->ended;
  if (item->change == IVX_ADDED && known && (in_force || known->item.type == IVX_JOB))
    iv_findings_add (findings, place, "\"%s\" exists already", item->name);
  else if (item->change == IVX_ADDED)
    return;
  else if (!in_force)
    iv_findings_add (findings, place, "there is no %s \"%s\" to %s", types[item->type], item->name,
                     item->change == IVX_CHANGED ? "change" : "withdraw");
  else if (known->item.type != item->type)
    iv_findings_add (findings, place, "\"%s\" is a %s, not a %s", item->name,
                     types[known->item.type], types[item->type]);
}

void
iv_note_check (const struct iv_note *note, const struct iv_config *config, const GArray *host_sizes,
               struct iv_findings *findings)
{
  const ivx_release *release = &note->release;
  for (u_int i = 0; config && i < release->items.items_len; i++)
    check_item (config, &release->items.items_val[i],
                g_array_index (note->places, struct iv_place, i), findings);
  if (host_sizes && host_sizes->len > 0)
    check_sizes (note, release->items.items_val, release->items.items_len, host_sizes, findings);
}

char *
iv_note_conflict (const struct iv_note *note, const struct iv_config *config)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "the note changes release %u, but release %u is in force",
                          note->release.base, config->release);
  for (guint i = 0; i < config->history->len; i++)
    {
      const ivx_history_state *head = &g_array_index (config->history, ivx_history_state, i);
      if (head->number > note->release.base)
        g_string_append_printf (text, "; release %u by %s added %u, changed %u, withdrew %u",
                                head->number, head->author, head->added, head->changed,
                                head->withdrawn);
    }
  return g_string_free (text, FALSE);
}
