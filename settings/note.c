#include "note.h"

#include "settings.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#define ITEMS_MAX 1000
#define TASKS_MAX 100000
#define DAY_MS 86400000

/* One added or changed service, job or team; has the members of all three. */
struct entry
{
  struct iv_location location;
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
  struct iv_location location;
  GArray *services;
  GArray *jobs;
  GArray *teams;
};

struct size
{
  struct iv_location location;
  gint64 cpu_milli;
  gint64 memory_mib;
  gint64 accelerators;
};

struct note_file
{
  struct iv_location location;
  gint64 release;
  gint64 changes;
  char *author;
  struct section added;
  struct section changed;
  struct section withdrawn;
  struct size largest_host;
};

#define ENTRY_FIELD(key_, member_, ...)                                                            \
  {                                                                                                \
    .key = key_, .offset = offsetof (struct entry, member_), __VA_ARGS__                           \
  }

#define SIZE_FIELDS                                                                                \
  ENTRY_FIELD ("cpu", cpu_milli, .kind = IV_FIELD_CPU, .required = TRUE, .min = 1,                 \
               .max = 1024000),                                                                    \
      ENTRY_FIELD ("memory", memory_mib, .kind = IV_FIELD_MEMORY, .required = TRUE, .min = 1,      \
                   .max = 16777216),                                                               \
      ENTRY_FIELD ("accelerators", accelerators, .kind = IV_FIELD_INT, .max = 64),                 \
      ENTRY_FIELD ("priority", priority, .kind = IV_FIELD_INT, .max = 1000),                       \
      ENTRY_FIELD ("horizon", horizon_ms, .kind = IV_FIELD_DURATION, .max = DAY_MS)

static const struct iv_field service_fields[] = {
  ENTRY_FIELD ("name", name, .kind = IV_FIELD_NAME, .required = TRUE),
  ENTRY_FIELD ("team", team, .kind = IV_FIELD_NAME, .required = TRUE),
  SIZE_FIELDS,
  ENTRY_FIELD ("instances", tasks, .kind = IV_FIELD_INT, .required = TRUE, .min = 1,
               .max = TASKS_MAX),
  ENTRY_FIELD ("latency_target", latency_ms, .kind = IV_FIELD_DURATION, .min = 1, .max = 600000,
               .default_value = 100),
  ENTRY_FIELD ("idempotent", idempotent, .kind = IV_FIELD_BOOL),
  { 0 },
};
static const struct iv_field job_fields[] = {
  ENTRY_FIELD ("name", name, .kind = IV_FIELD_NAME, .required = TRUE),
  ENTRY_FIELD ("team", team, .kind = IV_FIELD_NAME, .required = TRUE),
  SIZE_FIELDS,
  ENTRY_FIELD ("tasks", tasks, .kind = IV_FIELD_INT, .default_value = 1, .min = 1,
               .max = TASKS_MAX),
  ENTRY_FIELD ("run_time", run_ms, .kind = IV_FIELD_DURATION, .required = TRUE, .min = 1,
               .max = 30 * (gint64)DAY_MS),
  ENTRY_FIELD ("urgent", urgent, .kind = IV_FIELD_BOOL),
  ENTRY_FIELD ("gang", gang, .kind = IV_FIELD_BOOL),
  ENTRY_FIELD ("at_most_once", at_most_once, .kind = IV_FIELD_BOOL),
  { 0 },
};
static const struct iv_field team_fields[] = {
  ENTRY_FIELD ("name", name, .kind = IV_FIELD_NAME, .required = TRUE),
  ENTRY_FIELD ("quota", quota_milli, .kind = IV_FIELD_CPU, .max = G_MAXUINT32),
  { 0 },
};
static const struct iv_schema service_schema
    = { "a service", sizeof (struct entry), service_fields };
static const struct iv_schema job_schema = { "a job", sizeof (struct entry), job_fields };
static const struct iv_schema team_schema = { "a team", sizeof (struct entry), team_fields };

#define SECTION_FIELD(member_, ...)                                                                \
  {                                                                                                \
    .key = #member_, .offset = offsetof (struct section, member_), __VA_ARGS__                     \
  }

static const struct iv_field section_fields[] = {
  SECTION_FIELD (services, .kind = IV_FIELD_LIST, .sub_schema = &service_schema, .max = ITEMS_MAX),
  SECTION_FIELD (jobs, .kind = IV_FIELD_LIST, .sub_schema = &job_schema, .max = ITEMS_MAX),
  SECTION_FIELD (teams, .kind = IV_FIELD_LIST, .sub_schema = &team_schema, .max = ITEMS_MAX),
  { 0 },
};
static const struct iv_field withdrawn_fields[] = {
  SECTION_FIELD (services, .kind = IV_FIELD_NAMES, .max = ITEMS_MAX),
  SECTION_FIELD (jobs, .kind = IV_FIELD_NAMES, .max = ITEMS_MAX),
  SECTION_FIELD (teams, .kind = IV_FIELD_NAMES, .max = ITEMS_MAX),
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
    .offset = offsetof (struct note_file, release),
    .required = TRUE,
    .min = 1,
    .max = G_MAXINT32 },
  { .key = "changes",
    .kind = IV_FIELD_INT,
    .offset = offsetof (struct note_file, changes),
    .required = TRUE,
    .min = 0,
    .max = G_MAXINT32 },
  { .key = "author",
    .kind = IV_FIELD_NAME,
    .offset = offsetof (struct note_file, author),
    .required = TRUE },
  { .key = "added",
    .kind = IV_FIELD_MAP,
    .offset = offsetof (struct note_file, added),
    .sub_schema = &added_schema },
  { .key = "changed",
    .kind = IV_FIELD_MAP,
    .offset = offsetof (struct note_file, changed),
    .sub_schema = &changed_schema },
  { .key = "withdrawn",
    .kind = IV_FIELD_MAP,
    .offset = offsetof (struct note_file, withdrawn),
    .sub_schema = &withdrawn_schema },
  { .key = "largest_host",
    .kind = IV_FIELD_MAP,
    .offset = offsetof (struct note_file, largest_host),
    .sub_schema = &size_schema },
  { 0 },
};
static const struct iv_schema file_schema
    = { "the release note", sizeof (struct note_file), file_fields };

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
      g_array_append_val (note->locations, entry->location);
    }
}

static void
add_names (struct iv_note *note, GArray *items, const GArray *names, struct iv_location location,
           ivx_type type)
{
  for (guint i = 0; names && i < names->len; i++)
    {
      struct entry entry = { .name = g_array_index (names, char *, i) };
      ivx_item item = make_item (&entry, IVX_WITHDRAWN, type);
      g_array_append_val (items, item);
      g_array_append_val (note->locations, location);
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
  GHashTable *names_seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < items->len; i++)
    {
      const char *name = g_array_index (items, ivx_item, i).name;
      if (!g_hash_table_add (names_seen, (gpointer)name))
        iv_findings_add (findings, g_array_index (note->locations, struct iv_location, i),
                         "duplicate name \"%s\"", name);
    }
  g_hash_table_destroy (names_seen);
}

static gboolean
fits_on_host (const ivx_size *size, const ivx_size *host)
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
      gboolean fits_any_host = FALSE;
      if (items[i].type == IVX_TEAM || items[i].change == IVX_WITHDRAWN)
        continue;
      for (guint j = 0; j < hosts->len; j++)
        fits_any_host |= fits_on_host (&items[i].size, &g_array_index (hosts, ivx_size, j));
      if (!fits_any_host)
        iv_findings_add (findings, g_array_index (note->locations, struct iv_location, i),
                         "\"%s\" is larger than any host", items[i].name);
    }
}

static void
check_file (const struct iv_note *note, const struct note_file *note_file, const GArray *items,
            struct iv_findings *findings)
{
  if (note_file->release != note_file->changes + 1)
    iv_findings_add (findings, note_file->location,
                     "release %" G_GINT64_FORMAT
                     " must follow the one it changes, %" G_GINT64_FORMAT,
                     note_file->release, note_file->changes);
  check_names (note, items, findings);
  if (items->len > IVX_ENTRIES_MAX)
    iv_findings_add (findings, note_file->location, "more than %d changes", IVX_ENTRIES_MAX);
  if (note_file->largest_host.cpu_milli > 0)
    {
      GArray *hosts = g_array_new (FALSE, FALSE, sizeof (ivx_size));
      ivx_size size = { (guint32)note_file->largest_host.cpu_milli,
                        (guint32)note_file->largest_host.memory_mib,
                        (guint32)note_file->largest_host.accelerators };
      g_array_append_val (hosts, size);
      check_sizes (note, (ivx_item *)items->data, items->len, hosts, findings);
      g_array_free (hosts, TRUE);
    }
}

static void
fill_release (struct iv_note *note, const struct note_file *note_file, GArray *items,
              const char *text, gsize len)
{
  ivx_release *release = &note->release;
  release->number = (guint32)note_file->release;
  release->base = (guint32)note_file->changes;
  release->author = iv_record_strdup (note_file->author);
  release->text = strndup (text, MIN (len, IVX_TEXT_BYTES_MAX));
  release->items.items_len = items->len;
  release->items.items_val = malloc ((items->len + 1) * sizeof (ivx_item));
  if (items->len > 0)
    memcpy (release->items.items_val, items->data, items->len * sizeof (ivx_item));
}

struct iv_note *
iv_note_read (const char *text, gsize len, struct iv_findings *findings)
{
  struct iv_note *note = g_new0 (struct iv_note, 1);
  struct note_file note_file = { 0 };
  GArray *items = g_array_new (FALSE, FALSE, sizeof (ivx_item));
  note->locations = g_array_new (FALSE, FALSE, sizeof (struct iv_location));
  if (len > IVX_TEXT_BYTES_MAX)
    iv_findings_add (findings, (struct iv_location){ 1, 1 }, "the note is larger than %d bytes",
                     IVX_TEXT_BYTES_MAX);
  note->document = iv_document_read (text, len, &file_schema, &note_file, findings);
  if (iv_findings_count (findings) == 0)
    {
      add_section (note, items, &note_file.added, IVX_ADDED);
      add_section (note, items, &note_file.changed, IVX_CHANGED);
      add_names (note, items, note_file.withdrawn.services, note_file.withdrawn.location,
                 IVX_SERVICE);
      add_names (note, items, note_file.withdrawn.jobs, note_file.withdrawn.location, IVX_JOB);
      add_names (note, items, note_file.withdrawn.teams, note_file.withdrawn.location, IVX_TEAM);
      check_file (note, &note_file, items, findings);
    }
  fill_release (note, &note_file, items, text, len);
  g_array_free (items, TRUE);
  return note;
}

gboolean
iv_note_read_job (const char *text, gsize len, ivx_item *item, struct iv_findings *findings)
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
  g_array_free (note->locations, TRUE);
  iv_document_free (note->document);
  g_free (note);
}

static void
check_item (const struct iv_config *config, const ivx_item *item, struct iv_location location,
            struct iv_findings *findings)
{
  static const char *const type_names[] = { "", "service", "job", "team" };
  const struct iv_item *known = iv_config_item (config, item->name);
  gboolean in_force = known && !known->ended;
  if (item->change == IVX_ADDED && known && (in_force || known->item.type == IVX_JOB))
    iv_findings_add (findings, location, "\"%s\" exists already", item->name);
  else if (item->change == IVX_ADDED)
    return;
  else if (!in_force)
    iv_findings_add (findings, location, "there is no %s \"%s\" to %s", type_names[item->type],
                     item->name, item->change == IVX_CHANGED ? "change" : "withdraw");
  else if (known->item.type != item->type)
    iv_findings_add (findings, location, "\"%s\" is a %s, not a %s", item->name,
                     type_names[known->item.type], type_names[item->type]);
}

void
iv_note_check (const struct iv_note *note, const struct iv_config *config, const GArray *host_sizes,
               struct iv_findings *findings)
{
  const ivx_release *release = &note->release;
  for (u_int i = 0; config && i < release->items.items_len; i++)
    check_item (config, &release->items.items_val[i],
                g_array_index (note->locations, struct iv_location, i), findings);
  if (host_sizes && host_sizes->len > 0)
    check_sizes (note, release->items.items_val, release->items.items_len, host_sizes, findings);
}

char *
iv_note_describe_conflict (const struct iv_note *note, const struct iv_config *config)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "the note changes release %u, but release %u is in force",
                          note->release.base, config->release);
  for (guint i = 0; i < config->history->len; i++)
    {
      const ivx_history_state *release_info
          = &g_array_index (config->history, ivx_history_state, i);
      if (release_info->number > note->release.base)
        g_string_append_printf (text, "; release %u by %s added %u, changed %u, withdrew %u",
                                release_info->number, release_info->author, release_info->added,
                                release_info->changed, release_info->withdrawn);
    }
  return g_string_free (text, FALSE);
}
