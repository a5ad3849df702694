/**
 * @file findings.h
 * Findings of a check, collected with their place and reported together.
 */
#ifndef IV_FINDINGS_H
#define IV_FINDINGS_H

#include <glib.h>
#include <stdio.h>

/** Place in a text file; both numbers count from 1, 0 means unknown. */
struct iv_location
{
  guint line;
  guint col;
};

/** One finding of a check. */
struct iv_finding
{
  struct iv_location location;
  char *message;
};

/** An ordered collection of findings about one file. */
struct iv_findings
{
  char *file;
  GArray *items; /**< of struct iv_finding */
};

/** Start an empty collection about @a file (the name is copied). */
struct iv_findings *iv_findings_new (const char *file);

/** Free @a findings and all messages in it. */
void iv_findings_free (struct iv_findings *findings);

/** Add a finding at @a place. */
void iv_findings_add (struct iv_findings *findings, struct iv_location location,
                      const char *message, ...) G_GNUC_PRINTF (3, 4);

/** Number of findings so far. */
guint iv_findings_count (const struct iv_findings *findings);

/** Render all findings, one `file:line:col: message` a line, ordered by place. Free with g_free().
 */
char *iv_findings_text (struct iv_findings *findings);

#endif
