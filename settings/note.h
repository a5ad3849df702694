/**
 * @file note.h
 * Release notes: services, jobs and teams that operators add, change and withdraw, read from YAML.
 * docs/NOTES.md documents every key.
 */
#ifndef IV_NOTE_H
#define IV_NOTE_H

#include "config.h"
#include "schema.h"

/** A parsed release note; owns its record. */
struct iv_note
{
  struct iv_document *document;
  ivx_release release; /**< without shares; the publishing host sets them */
  GArray *locations;   /**< of struct iv_location, one per item of the release */
};

/** Parse a note and check everything that needs no other data. All errors are added to @a findings.
 *  Never returns NULL. */
struct iv_note *iv_note_read (const char *text, gsize len, struct iv_findings *findings);

/** Parse a single job, which has the keys of a job in a note. Returns FALSE if there were findings;
 *  otherwise the caller frees the content of @a item with xdr_free(). */
gboolean iv_note_read_job (const char *text, gsize len, ivx_item *item,
                           struct iv_findings *findings);

/** Free @a note; NULL is allowed. */
void iv_note_free (struct iv_note *note);

/** Check a note without findings against the release in force in @a config, if not NULL, and
 *  against the sizes of the hosts (of ivx_size; NULL or empty if unknown). */
void iv_note_check (const struct iv_note *note, const struct iv_config *config,
                    const GArray *host_sizes, struct iv_findings *findings);

/** Describe the releases published since the one that @a note is based on, for the message about
 *  the conflict. Free with g_free(). */
char *iv_note_describe_conflict (const struct iv_note *note, const struct iv_config *config);

#endif
