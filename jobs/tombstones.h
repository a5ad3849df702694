/**
 * @file tombstones.h
 * Tombstones: cancellations of job ids that no job was known for, as recorded.
 *
 * That the jobs lack an id proves nothing of later: a host may still be appending the job, and its
 * caller may send it again. A tombstone cancels the job whenever its record is stored, before the
 * tombstone or after it. It covers only the jobs that its caller could have cancelled.
 *
 * Each tombstone has a key of its own, which is written once, and deleted once the tombstone has
 * outlasted every write that may still arrive.
 */
#ifndef IV_TOMBSTONES_H
#define IV_TOMBSTONES_H

#include "jobs_xdr.h"
#include "status.h"

#include <glib.h>

#define IV_KEY_TOMBSTONE "+t" /**< after the job id; + a random number */
/** Tombstones that are kept at once: bounds what hosts read when they start. */
#define IV_TOMBSTONES_MAX 10000

/** All tombstones. */
struct iv_tombstones;

struct iv_tombstones *iv_tombstones_new (void);
void iv_tombstones_free (struct iv_tombstones *tombstones);

/** Apply the record of @a key, an id followed by IV_KEY_TOMBSTONE; @a value is NULL when the key
 * was deleted. IV_ERR_INVALID with a last message when the record is malformed. */
enum iv_status iv_tombstones_apply (struct iv_tombstones *tombstones, const char *key,
                                    const guint8 *value, gsize len);

/** Whether a tombstone of @a id covers a job of @a workspace ("": of none) in the queue of @a host
 *  and @a prefix. */
gboolean iv_tombstones_cover (const struct iv_tombstones *tombstones, const char *id,
                              const char *workspace, const char *host, const char *prefix);

/** Number of tombstones. */
guint iv_tombstones_count (const struct iv_tombstones *tombstones);

/** Called with the key of a tombstone and its id, which is valid during the call. */
typedef void (*iv_tombstones_fn) (void *context, const char *key, const char *id);

/** Call @a each for every tombstone that was recorded before @a cancelled_before_ms (wall clock).
 *  @a each must not change the tombstones. */
void iv_tombstones_foreach_before (const struct iv_tombstones *tombstones,
                                   gint64 cancelled_before_ms, iv_tombstones_fn each,
                                   void *context);

/** Key for a new tombstone of @a id. Free with g_free(). */
char *iv_tombstone_format_key (const char *id);

/** Record of @a tombstone; NULL when it is too large. Free with g_byte_array_free(). */
GByteArray *iv_tombstone_encode (const ivj_tombstone *tombstone);

#endif
