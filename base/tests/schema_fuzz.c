/**
 * @file schema_fuzz.c
 * The YAML reader must return values or findings for any text, without crashing. The input mutates
 * and truncates a valid document, and is also read as a document itself.
 */
#include "schema.h"

#include <stddef.h>
#include <stdint.h>
#include <string.h>

struct row
{
  struct iv_location location;
  char *name;
  gint64 number;
  GArray *rows;
  GArray *names;
};

static const struct iv_schema row_schema;
static const struct iv_field row_fields[] = {
  { .key = "name", .kind = IV_FIELD_NAME, .offset = offsetof (struct row, name), .required = TRUE },
  { .key = "number",
    .kind = IV_FIELD_DURATION,
    .offset = offsetof (struct row, number),
    .max = 1000 },
  { .key = "rows",
    .kind = IV_FIELD_LIST,
    .offset = offsetof (struct row, rows),
    .sub_schema = &row_schema },
  { .key = "names", .kind = IV_FIELD_NAMES, .offset = offsetof (struct row, names) },
  { 0 },
};
static const struct iv_schema row_schema = { "a row", sizeof (struct row), row_fields };

static const char valid_document[]
    = "name: a\nnumber: 5ms\nrows:\n  - {name: b, number: 1s, names: [x, y]}\n  - name: c\n";

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
read_text (const char *text, gsize len)
{
  struct iv_findings *findings = iv_findings_new ("f");
  struct row row = { 0 };
  struct iv_document *document = iv_document_read (text, len, &row_schema, &row, findings);
  g_free (iv_findings_text (findings));
  iv_document_free (document);
  iv_findings_free (findings);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char text[sizeof valid_document];
  gsize len = sizeof valid_document - 1;
  memcpy (text, valid_document, sizeof valid_document);
  for (size_t i = 0; i + 2 < size && i < 12; i += 3)
    text[data[i] % len] = (char)data[i + 1];
  if (size > 0)
    len = data[size - 1] % (len + 1);
  read_text (text, len);
  read_text ((const char *)data, size);
  return 0;
}
