/**
 * @file keys.h
 * Idempotency keys, folded from the log: who may run a key, and how it ended.
 *
 * The host whose intent has the lowest offset may dispatch the request, once it has read that
 * intent back. Every other host knows from the same fold that the key is taken.
 */
#ifndef IV_KEYS_H
#define IV_KEYS_H

#include "batch.h"
#include "writers.h"

/** Hash of a key together with the service it is for. */
struct iv_key
{
  guint64 hi;
  guint64 lo;
};

/** What is known of a key. */
enum iv_key_state
{
  IV_KEY_UNKNOWN,  /**< no intent was read */
  IV_KEY_CLAIMED,  /**< a host won it; it may be running or have run */
  IV_KEY_COMPLETED /**< the winner recorded the answer's status */
};

/** One key. */
struct iv_key_entry
{
  struct iv_key key;
  enum iv_key_state state;
  guint64 offset; /**< of the winning intent */
  guint64 writer; /**< of the winning intent, with */
  guint64 incarnation;
  char *host;
  guint status;
  gint64 applied_ms; /**< when it was folded, on this host's clock */
};

/** The table. */
struct iv_keys;

/** Remember at most @a limit keys, each for @a window_ms after it was read. */
struct iv_keys *iv_keys_new (guint limit, gint64 window_ms);

void iv_keys_free (struct iv_keys *keys);

/** Hash @a text, the key of a request to @a service. */
struct iv_key iv_key_from_text (const char *service, const char *text);

/** Hash and comparison of struct iv_key, for tables. */
guint iv_key_hash (gconstpointer key);
gboolean iv_key_equal (gconstpointer a, gconstpointer b);

/** Fold a batch of the stream "keys". */
void iv_keys_apply (struct iv_keys *keys, gint64 now_ms, guint64 offset, const ivx_batch *batch);

/** Look a key up; NULL when no intent was read within the window. */
const struct iv_key_entry *iv_keys_find (struct iv_keys *keys, gint64 now_ms, struct iv_key key);

/** Offset of the next batch, and of how many keys there are. */
guint64 iv_keys_next_offset (const struct iv_keys *keys);
guint iv_keys_count (const struct iv_keys *keys);

#endif
