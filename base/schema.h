/**
 * @file schema.h
 * Reads YAML documents into C structs, driven by tables of fields.
 *
 * Every struct that a schema fills must start with a `struct iv_location`: it receives the location
 * of the mapping, so that later checks can report it. The document owns all strings and lists; a
 * list is a `GArray *` of the element struct or of `char *`.
 */
#ifndef IV_SCHEMA_H
#define IV_SCHEMA_H

#include "findings.h"
#include "status.h"

#include <glib.h>

/** Syntax of a value and the C type of the member that stores it. */
enum iv_field_kind
{
  IV_FIELD_STRING,   /**< any text without NUL bytes; `char *` */
  IV_FIELD_NAME,     /**< [a-z0-9][a-z0-9._-]*, 63 characters at most; `char *` */
  IV_FIELD_INT,      /**< whole number; `gint64` */
  IV_FIELD_BOOL,     /**< true or false; `gint64` 0 or 1 */
  IV_FIELD_DURATION, /**< number with ms, s, m or h; `gint64` milliseconds */
  IV_FIELD_MEMORY,   /**< number with MiB or GiB; `gint64` MiB */
  IV_FIELD_CPU,      /**< cores, or milli-cores with m; `gint64` milli-cores */
  IV_FIELD_CHOICE,   /**< one of `choices`; its index as `gint64` */
  IV_FIELD_ADDRESS,  /**< IP:port, IPv6 in brackets; `char *` */
  IV_FIELD_NAMES,    /**< list of names; `GArray *` of `char *` */
  IV_FIELD_LIST,     /**< list of mappings; `GArray *` of the struct of `sub_schema` */
  IV_FIELD_MAP       /**< one mapping; the struct of `sub_schema`, embedded */
};

struct iv_schema;

/** One key of a mapping. */
struct iv_field
{
  const char *key;
  enum iv_field_kind kind;
  gsize offset;                       /**< offset of the member in the struct */
  gboolean required;                  /**< a missing key is a finding */
  gint64 default_value;               /**< of a number, bool or choice whose key is missing */
  gint64 min, max;                    /**< bounds of a number or a list length; max 0: unbounded */
  const struct iv_schema *sub_schema; /**< for IV_FIELD_LIST and IV_FIELD_MAP */
  const char *const *choices;         /**< for IV_FIELD_CHOICE; NULL-terminated */
};

/** Schema of a mapping; `fields` ends with a field whose key is NULL. At most 64 fields. */
struct iv_schema
{
  const char *description;
  gsize size;
  const struct iv_field *fields;
};

/** Owner of the strings and lists of a struct filled by iv_document_read(). */
struct iv_document;

/** Parse @a text of @a len bytes into the zeroed struct @a out, as described by @a schema. All
 *  errors are added to @a findings; use @a out only if there were none. Never returns NULL. */
struct iv_document *iv_document_read (const char *text, gsize len, const struct iv_schema *schema,
                                      gpointer out, struct iv_findings *findings);

/** Free @a document and the strings and lists that it owns; NULL is allowed. */
void iv_document_free (struct iv_document *document);

/** Read the file @a path into NUL-terminated @a text, to be freed with g_free(). Returns
 *  IV_ERR_NOT_FOUND if it cannot be opened and IV_ERR_LIMIT if it has more than @a limit bytes. */
enum iv_status iv_read_file (const char *path, gsize limit, char **text, gsize *len);

/** Parse "IP:port", IPv6 in brackets, into @a ip (without brackets) and @a port. Returns FALSE if
 *  @a text is malformed; host names are not resolved. */
gboolean iv_parse_address (const char *text, char ip[64], guint16 *port);

#endif
