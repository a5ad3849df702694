/**
 * @file findings.h
 * Diagnostics of a checked file ("findings"), collected with their location and reported together.
 */
#ifndef IV_FINDINGS_H
#define IV_FINDINGS_H

#include <glib.h>
#include <stdio.h>

/** Position in a text file. Lines and columns count from 1; 0 means unknown. */
struct iv_location
{
  guint line;
  guint col;
};

/** One diagnostic. */
struct iv_finding
{
  struct iv_location location;
  char *message;
};

/** The diagnostics of one file. */
struct iv_findings
{
  char *file;
  GArray *items; /**< of struct iv_finding */
};

/** Create an empty collection for the file name @a file, which is copied. */
struct iv_findings *iv_findings_new (const char *file);

/** Free @a findings and its messages; NULL is allowed. */
void iv_findings_free (struct iv_findings *findings);

/** Add a finding at @a location; @a message is a printf format. */
void iv_findings_add (struct iv_findings *findings, struct iv_location location,
                      const char *message, ...) G_GNUC_PRINTF (3, 4);

guint iv_findings_count (const struct iv_findings *findings);

/** Render all findings as lines of `file:line:col: message`, sorted by location. Free with
 *  g_free(). */
char *iv_findings_text (struct iv_findings *findings);

#endif
