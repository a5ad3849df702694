/**
 * @file schema.h
 * YAML documents read into C structs by tables of fields.
 *
 * Every struct that a schema fills starts with a `struct iv_place`, the place of its mapping in
 * the file, so that later checks can point at it. Strings are owned by the document; lists are
 * `GArray *` of the element struct (or of `char *`) and are owned by the document too.
 */
#ifndef IV_SCHEMA_H
#define IV_SCHEMA_H

#include "findings.h"
#include "status.h"

#include <glib.h>

/** How the text of a value is read, and the C type it is stored in. */
enum iv_field_kind
{
  IV_FIELD_STRING,   /**< any text; `char *` */
  IV_FIELD_NAME,     /**< [a-z0-9][a-z0-9._-]*, 63 characters at most; `char *` */
  IV_FIELD_INT,      /**< whole number; `gint64` */
  IV_FIELD_BOOL,     /**< true or false; `gint64` 0 or 1 */
  IV_FIELD_DURATION, /**< number with ms, s, m or h; `gint64` milliseconds */
  IV_FIELD_MEMORY,   /**< number with MiB or GiB; `gint64` MiB */
  IV_FIELD_CPU,      /**< cores, or milli-cores with m; `gint64` milli-cores */
  IV_FIELD_CHOICE,   /**< one of `choices`; `gint64` index */
  IV_FIELD_ADDRESS,  /**< IP-number:port; `char *` */
  IV_FIELD_NAMES,    /**< list of names; `GArray *` of `char *` */
  IV_FIELD_LIST,     /**< list of mappings; `GArray *` of `sub` */
  IV_FIELD_MAP       /**< one mapping stored in place */
};

struct iv_schema;

/** One key of a mapping. */
struct iv_field
{
  const char *key;
  enum iv_field_kind kind;
  gsize offset;         /**< of the member in the struct */
  gboolean required;    /**< a finding when missing */
  gint64 default_value; /**< value of a missing number */
  gint64 min, max;      /**< bounds of a number or of a list's length; max 0 means none */
  const struct iv_schema *sub_schema; /**< for LIST and MAP */
  const char *const *choices;         /**< for CHOICE, NULL at the end */
};

/** A mapping: its struct size and keys, `key == NULL` at the end. */
struct iv_schema
{
  const char *description;
  gsize size;
  const struct iv_field *fields;
};

/** A document that was read; owns the strings and lists of the struct. */
struct iv_document;

/** Read @a text of @a len bytes by @a schema into the zeroed struct @a out. Everything wrong is
 *  added to @a findings; @a out is to be used only when none was. Never returns NULL. */
struct iv_document *iv_document_read (const char *text, gsize len, const struct iv_schema *schema,
                                      gpointer out, struct iv_findings *findings);

/** Free the document with the strings and lists that it owns. */
void iv_document_free (struct iv_document *document);

/** Read the file @a path whole, at most @a limit bytes. Free @a text with g_free(). */
enum iv_status iv_read_file (const char *path, gsize limit, char **text, gsize *len);

/** Split "IP-number:port" (IPv6 in brackets). @a ip has room for 64 bytes. */
gboolean iv_parse_address (const char *text, char ip[64], guint16 *port);

#endif
