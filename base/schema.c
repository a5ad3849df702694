#include "schema.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <yaml.h>

#define NAME_CHARS_MAX 63
#define NESTING_DEPTH_MAX 64
#define SUGGESTION_DISTANCE_MAX 3

struct iv_document
{
  GStringChunk *strings;
  GPtrArray *lists; /* of GArray */
};

struct reader
{
  struct iv_document *document;
  yaml_document_t *yaml;
  struct iv_findings *findings;
};

static struct iv_location
location_of (const yaml_node_t *node)
{
  return (struct iv_location){ (guint)node->start_mark.line + 1,
                               (guint)node->start_mark.column + 1 };
}

static const char *
scalar_text (const yaml_node_t *node)
{
  return (const char *)node->data.scalar.value;
}

static guint
edit_distance (const char *a, const char *b)
{
  guint row[NAME_CHARS_MAX + 2];
  gsize a_len = strlen (a), b_len = strlen (b);
  if (a_len > NAME_CHARS_MAX || b_len > NAME_CHARS_MAX)
    return G_MAXUINT;
  for (gsize j = 0; j <= b_len; j++)
    row[j] = (guint)j;
  for (gsize i = 1; i <= a_len; i++)
    {
      guint diagonal = row[0];
      row[0] = (guint)i;
      for (gsize j = 1; j <= b_len; j++)
        {
          guint substitution = diagonal + (a[i - 1] != b[j - 1]);
          diagonal = row[j];
          row[j] = MIN (substitution, MIN (row[j], row[j - 1]) + 1);
        }
    }
  return row[b_len];
}

static const char *
closest_key (const struct iv_schema *schema, const char *key)
{
  const char *best = NULL;
  guint best_distance = SUGGESTION_DISTANCE_MAX + 1;
  for (const struct iv_field *f = schema->fields; f->key; f++)
    {
      guint distance = edit_distance (key, f->key);
      if (distance < best_distance)
        {
          best = f->key;
          best_distance = distance;
        }
    }
  return best;
}

static gboolean
is_name (const char *text)
{
  gsize len = strlen (text);
  if (len == 0 || len > NAME_CHARS_MAX || !g_ascii_isalnum (text[0]))
    return FALSE;
  for (const char *c = text; *c; c++)
    if (!g_ascii_islower (*c) && !g_ascii_isdigit (*c) && strchr ("._-", *c) == NULL)
      return FALSE;
  return TRUE;
}

gboolean
iv_parse_address (const char *text, char ip[64], guint16 *port)
{
  const char *colon = strrchr (text, ':');
  unsigned char parsed[sizeof (struct in6_addr)];
  guint64 number;
  gsize len;
  if (colon == NULL)
    return FALSE;
  len = (gsize)(colon - text);
  if (len >= 2 && text[0] == '[' && text[len - 1] == ']')
    {
      text++;
      len -= 2;
    }
  if (len == 0 || len >= 64 || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &number, NULL))
    return FALSE;
  memcpy (ip, text, len);
  ip[len] = '\0';
  *port = (guint16)number;
  return inet_pton (AF_INET, ip, parsed) == 1 || inet_pton (AF_INET6, ip, parsed) == 1;
}

struct unit
{
  const char *suffix;
  gint64 factor;
};

static const struct unit duration_units[]
    = { { "ms", 1 }, { "s", 1000 }, { "m", 60000 }, { "h", 3600000 }, { NULL, 0 } };
static const struct unit memory_units[] = { { "MiB", 1 }, { "GiB", 1024 }, { NULL, 0 } };
static const struct unit cpu_units[] = { { "", 1000 }, { "m", 1 }, { NULL, 0 } };
static const struct unit plain_units[] = { { "", 1 }, { NULL, 0 } };

static const struct
{
  const struct unit *units;
  const char *expected;
} number_kinds[] = {
  [IV_FIELD_INT] = { plain_units, "a whole number" },
  [IV_FIELD_DURATION] = { duration_units, "a number with one of the units ms, s, m, h" },
  [IV_FIELD_MEMORY] = { memory_units, "a number with one of the units MiB, GiB" },
  [IV_FIELD_CPU] = { cpu_units, "a number of cores, or of milli-cores with the unit m" },
};

/* Parses one to three decimal digits. Returns the text after them, or NULL if there are none or
   more. */
static char *
parse_fraction (char *text, gint64 *thousandths)
{
  gint64 scale = 100;
  char *at = text;
  for (; g_ascii_isdigit (*at) && scale > 0; at++, scale /= 10)
    *thousandths += (*at - '0') * scale;
  return at == text || g_ascii_isdigit (*at) ? NULL : at;
}

/* A fraction is accepted only if the value is a whole number of the smallest unit. */
static gboolean
parse_number (const char *text, const struct unit *units, gint64 *value)
{
  char *end;
  gint64 thousandths = 0;
  gint64 number;
  if (!g_ascii_isdigit (text[0]) && text[0] != '-')
    return FALSE;
  errno = 0;
  number = g_ascii_strtoll (text, &end, 10);
  if (errno != 0 || end == text)
    return FALSE;
  if (*end == '.')
    end = parse_fraction (end + 1, &thousandths);
  if (end == NULL || (thousandths > 0 && text[0] == '-'))
    return FALSE;
  while (*end == ' ')
    end++;
  for (; units->suffix; units++)
    if (strcmp (end, units->suffix) == 0)
      {
        if (number > G_MAXINT64 / units->factor - 1 || number < G_MININT64 / units->factor
            || thousandths * units->factor % 1000 != 0)
          return FALSE;
        *value = number * units->factor + thousandths * units->factor / 1000;
        return TRUE;
      }
  return FALSE;
}

static void read_map (struct reader *r, yaml_node_t *node, const struct iv_schema *schema,
                      gpointer out, guint depth);

static gboolean
check_range (struct reader *r, struct iv_location location, const struct iv_field *f, gint64 value)
{
  if (value >= f->min && (f->max == 0 || value <= f->max))
    return TRUE;
  if (f->max == 0)
    iv_findings_add (r->findings, location, "%s: %" G_GINT64_FORMAT " is below %" G_GINT64_FORMAT,
                     f->key, value, f->min);
  else
    iv_findings_add (r->findings, location,
                     "%s: %" G_GINT64_FORMAT " is outside %" G_GINT64_FORMAT "..%" G_GINT64_FORMAT,
                     f->key, value, f->min, f->max);
  return FALSE;
}

static void
read_number (struct reader *r, yaml_node_t *node, const struct iv_field *f, gint64 *out)
{
  gint64 value;
  if (!parse_number (scalar_text (node), number_kinds[f->kind].units, &value))
    iv_findings_add (r->findings, location_of (node), "%s: expected %s, found \"%.60s\"", f->key,
                     number_kinds[f->kind].expected, scalar_text (node));
  else if (check_range (r, location_of (node), f, value))
    *out = value;
}

static void
read_choice (struct reader *r, yaml_node_t *node, const struct iv_field *f, gint64 *out)
{
  GString *allowed = g_string_new (NULL);
  for (gint64 i = 0; f->choices[i]; i++)
    {
      if (strcmp (f->choices[i], scalar_text (node)) == 0)
        {
          *out = i;
          g_string_free (allowed, TRUE);
          return;
        }
      g_string_append_printf (allowed, "%s%s", i ? ", " : "", f->choices[i]);
    }
  iv_findings_add (r->findings, location_of (node), "%s: \"%.60s\" is none of %s", f->key,
                   scalar_text (node), allowed->str);
  g_string_free (allowed, TRUE);
}

static void
read_bool (struct reader *r, yaml_node_t *node, const struct iv_field *f, gint64 *out)
{
  if (strcmp (scalar_text (node), "true") == 0)
    *out = 1;
  else if (strcmp (scalar_text (node), "false") == 0)
    *out = 0;
  else
    iv_findings_add (r->findings, location_of (node), "%s: expected true or false, found \"%.60s\"",
                     f->key, scalar_text (node));
}

static void
read_text (struct reader *r, yaml_node_t *node, const struct iv_field *f, char **out)
{
  const char *text = scalar_text (node);
  char ip[64];
  guint16 port;
  if (strlen (text) != node->data.scalar.length)
    iv_findings_add (r->findings, location_of (node), "%s: contains a NUL byte", f->key);
  else if (f->kind == IV_FIELD_NAME && !is_name (text))
    iv_findings_add (r->findings, location_of (node),
                     "%s: \"%.60s\" is not a name (a-z, 0-9, '.', '_', '-', at most %d characters)",
                     f->key, text, NAME_CHARS_MAX);
  else if (f->kind == IV_FIELD_ADDRESS && !iv_parse_address (text, ip, &port))
    iv_findings_add (r->findings, location_of (node),
                     "%s: \"%.60s\" is not an IP number with a port", f->key, text);
  else
    *out = g_string_chunk_insert (r->document->strings, text);
}

static void
read_scalar (struct reader *r, yaml_node_t *node, const struct iv_field *f, gpointer member)
{
  if (node->type != YAML_SCALAR_NODE)
    {
      iv_findings_add (r->findings, location_of (node), "%s: expected a single value", f->key);
      return;
    }
  switch (f->kind)
    {
    case IV_FIELD_STRING:
    case IV_FIELD_NAME:
    case IV_FIELD_ADDRESS:
      read_text (r, node, f, member);
      break;
    case IV_FIELD_BOOL:
      read_bool (r, node, f, member);
      break;
    case IV_FIELD_CHOICE:
      read_choice (r, node, f, member);
      break;
    default:
      read_number (r, node, f, member);
    }
}

static GArray *
new_list (struct reader *r, gsize size)
{
  GArray *list = g_array_new (FALSE, TRUE, (guint)size);
  g_ptr_array_add (r->document->lists, list);
  return list;
}

static void
read_list (struct reader *r, yaml_node_t *node, const struct iv_field *f, GArray **out, guint depth)
{
  static const struct iv_field name_field = { .key = "name", .kind = IV_FIELD_NAME };
  gsize size = f->kind == IV_FIELD_NAMES ? sizeof (char *) : f->sub_schema->size;
  if (node->type != YAML_SEQUENCE_NODE)
    {
      iv_findings_add (r->findings, location_of (node), "%s: expected a list", f->key);
      return;
    }
  *out = new_list (r, size);
  for (yaml_node_item_t *i = node->data.sequence.items.start; i < node->data.sequence.items.top;
       i++)
    {
      yaml_node_t *item = yaml_document_get_node (r->yaml, *i);
      guint row = (*out)->len;
      g_array_set_size (*out, row + 1);
      if (f->kind == IV_FIELD_NAMES)
        read_scalar (r, item, &name_field, (*out)->data + row * size);
      else
        read_map (r, item, f->sub_schema, (*out)->data + row * size, depth + 1);
    }
  check_range (r, location_of (node), f, (*out)->len);
}

static void
read_member (struct reader *r, yaml_node_t *node, const struct iv_field *f, char *out, guint depth)
{
  if (f->kind == IV_FIELD_MAP)
    read_map (r, node, f->sub_schema, out + f->offset, depth + 1);
  else if (f->kind == IV_FIELD_LIST || f->kind == IV_FIELD_NAMES)
    read_list (r, node, f, (GArray **)(out + f->offset), depth);
  else
    read_scalar (r, node, f, out + f->offset);
}

static const struct iv_field *
find_field (const struct iv_schema *schema, const char *key, guint *index)
{
  for (*index = 0; schema->fields[*index].key; (*index)++)
    if (strcmp (schema->fields[*index].key, key) == 0)
      return &schema->fields[*index];
  return NULL;
}

static void
set_defaults (struct reader *r, const struct iv_schema *schema, char *out)
{
  for (const struct iv_field *f = schema->fields; f->key; f++)
    if (f->kind == IV_FIELD_LIST || f->kind == IV_FIELD_NAMES)
      *(GArray **)(out + f->offset)
          = new_list (r, f->kind == IV_FIELD_NAMES ? sizeof (char *) : f->sub_schema->size);
    else if (f->kind == IV_FIELD_MAP)
      set_defaults (r, f->sub_schema, out + f->offset);
    else if (f->kind != IV_FIELD_STRING && f->kind != IV_FIELD_NAME && f->kind != IV_FIELD_ADDRESS)
      *(gint64 *)(out + f->offset) = f->default_value;
}

static void
report_unknown_key (struct reader *r, yaml_node_t *key, const struct iv_schema *schema)
{
  const char *suggestion = closest_key (schema, scalar_text (key));
  if (suggestion)
    iv_findings_add (r->findings, location_of (key),
                     "unknown key \"%.60s\" in %s; did you mean \"%s\"?", scalar_text (key),
                     schema->description, suggestion);
  else
    iv_findings_add (r->findings, location_of (key), "unknown key \"%.60s\" in %s",
                     scalar_text (key), schema->description);
}

static void
read_map (struct reader *r, yaml_node_t *node, const struct iv_schema *schema, gpointer out,
          guint depth)
{
  guint64 seen = 0;
  guint index;
  *(struct iv_location *)out = location_of (node);
  set_defaults (r, schema, out);
  if (node->type != YAML_MAPPING_NODE || depth > NESTING_DEPTH_MAX)
    {
      iv_findings_add (r->findings, location_of (node), "expected %s as a mapping",
                       schema->description);
      return;
    }
  for (yaml_node_pair_t *p = node->data.mapping.pairs.start; p < node->data.mapping.pairs.top; p++)
    {
      yaml_node_t *key = yaml_document_get_node (r->yaml, p->key);
      const struct iv_field *f;
      if (key->type != YAML_SCALAR_NODE)
        {
          iv_findings_add (r->findings, location_of (key), "a key must be a single value");
          continue;
        }
      f = find_field (schema, scalar_text (key), &index);
      if (f == NULL)
        report_unknown_key (r, key, schema);
      else if (seen & (G_GUINT64_CONSTANT (1) << index))
        iv_findings_add (r->findings, location_of (key), "duplicate key \"%s\"", f->key);
      else
        {
          seen |= G_GUINT64_CONSTANT (1) << index;
          read_member (r, yaml_document_get_node (r->yaml, p->value), f, out, depth);
        }
    }
  for (index = 0; schema->fields[index].key; index++)
    if (schema->fields[index].required && !(seen & (G_GUINT64_CONSTANT (1) << index)))
      iv_findings_add (r->findings, location_of (node), "%s lacks \"%s\"", schema->description,
                       schema->fields[index].key);
}

/* libyaml resolves an alias to the node of its anchor. A self-referencing alias would recurse
   forever, and nested aliases can expand exponentially. Neither settings nor release notes need
   aliases, so documents with aliases are rejected. */
static gboolean
has_alias (const char *text, gsize len)
{
  yaml_parser_t parser;
  yaml_event_t event;
  gboolean found = FALSE, at_end = FALSE;
  yaml_parser_initialize (&parser);
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, len);
  while (!at_end && yaml_parser_parse (&parser, &event))
    {
      found |= event.type == YAML_ALIAS_EVENT;
      at_end = found || event.type == YAML_STREAM_END_EVENT;
      yaml_event_delete (&event);
    }
  yaml_parser_delete (&parser);
  return found;
}

struct iv_document *
iv_document_read (const char *text, gsize len, const struct iv_schema *schema, gpointer out,
                  struct iv_findings *findings)
{
  yaml_parser_t parser;
  yaml_document_t yaml;
  struct iv_document *document = g_new0 (struct iv_document, 1);
  struct reader r = { document, &yaml, findings };

  document->strings = g_string_chunk_new (1024);
  document->lists = g_ptr_array_new ();
  if (has_alias (text, len))
    {
      iv_findings_add (findings, (struct iv_location){ 1, 1 }, "aliases are not supported");
      return document;
    }
  yaml_parser_initialize (&parser);
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, len);
  if (!yaml_parser_load (&parser, &yaml))
    iv_findings_add (findings,
                     (struct iv_location){ (guint)parser.problem_mark.line + 1,
                                           (guint)parser.problem_mark.column + 1 },
                     "not valid YAML: %s", parser.problem ? parser.problem : "unknown problem");
  else
    {
      yaml_node_t *root = yaml_document_get_root_node (&yaml);
      if (root == NULL)
        iv_findings_add (findings, (struct iv_location){ 1, 1 }, "the file is empty");
      else
        read_map (&r, root, schema, out, 0);
      yaml_document_delete (&yaml);
    }
  yaml_parser_delete (&parser);
  return document;
}

void
iv_document_free (struct iv_document *document)
{
  if (document == NULL)
    return;
  for (guint i = 0; i < document->lists->len; i++)
    g_array_free (g_ptr_array_index (document->lists, i), TRUE);
  g_ptr_array_free (document->lists, TRUE);
  g_string_chunk_free (document->strings);
  g_free (document);
}

enum iv_status
iv_read_file (const char *path, gsize limit, char **text, gsize *len)
{
  FILE *file = fopen (path, "rb");
  if (file == NULL)
    return iv_fail (IV_ERR_NOT_FOUND, "cannot open %s: %s", path, g_strerror (errno));
  *text = g_malloc (limit + 1);
  *len = fread (*text, 1, limit + 1, file);
  fclose (file);
  if (*len > limit)
    {
      g_free (*text);
      *text = NULL;
      return iv_fail (IV_ERR_LIMIT, "%s is larger than %zu bytes", path, limit);
    }
  (*text)[*len] = '\0';
  return IV_OK;
}
