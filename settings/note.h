/**
 * @file note.h
 * Release notes: what operators add, change and withdraw, read from YAML. docs/NOTES.md documents
 * every key.
 */
#ifndef IV_NOTE_H
#define IV_NOTE_H

#include "config.h"
#include "schema.h"

/** A note that was read; owns its record. */
struct iv_note
{
  struct iv_document *document;
  ivx_release release; /**< shares are empty: the host that publishes fills them in */
  GArray *locations;   /**< of struct iv_place, one for each item of the release */
};

/** Read and check a note by itself. Everything wrong is added to @a findings. Never NULL. */
struct iv_note *iv_note_read (const char *text, gsize len, struct iv_findings *findings);

/** Read one job by itself, with the keys of a job in a note. FALSE when there were findings; else
 *  @a item is to be freed by the caller. */
gboolean iv_note_read_job (const char *text, gsize len, ivx_item *item,
                           struct iv_findings *findings);

/** Free a note. */
void iv_note_free (struct iv_note *note);

/** Check a note against what is in force and the largest hosts (NULL when they are not known). */
void iv_note_check (const struct iv_note *note, const struct iv_config *config,
                    const GArray *host_sizes, struct iv_findings *findings);

/** Say what changed between the release that @a note is based on and the one in force. Free with
 *  g_free(). */
char *iv_note_describe_conflict (const struct iv_note *note, const struct iv_config *config);

#endif
