/**
 * @file keys.h
 * Table of idempotency keys, built from the log: which host may dispatch the request of a key, and
 * with which status the request was answered.
 *
 * A host claims a key by appending an intent. The intent with the lowest offset wins; its host may
 * dispatch the request once it has read that intent back. All other hosts apply the same records
 * and find the key claimed.
 */
#ifndef IV_KEYS_H
#define IV_KEYS_H

#include "batch.h"
#include "writers.h"

/** 128-bit hash of a key's text and its service. */
struct iv_key
{
  guint64 hi;
  guint64 lo;
};

/** State of a key. */
enum iv_key_state
{
  IV_KEY_UNKNOWN,  /**< no intent was read */
  IV_KEY_CLAIMED,  /**< a host claimed it; the request may be running or have run */
  IV_KEY_COMPLETED /**< the claiming host recorded the status of the response */
};

/** One claimed key. */
struct iv_key_entry
{
  struct iv_key key;
  enum iv_key_state state;
  guint64 offset;      /**< of the winning intent in the log */
  guint64 writer;      /**< writer of the winning intent */
  guint64 incarnation; /**< incarnation of that writer */
  char *host;          /**< that claimed the key */
  guint status;        /**< HTTP status of the response in IV_KEY_COMPLETED */
  gint64 applied_ms;   /**< when the intent was applied, on this host's clock */
};

/** Table of keys. */
struct iv_keys;

/** Create a table that keeps at most @a limit keys, each for @a window_ms after its intent was
 * applied. */
struct iv_keys *iv_keys_new (guint limit, gint64 window_ms);

/** Free @a keys. */
void iv_keys_free (struct iv_keys *keys);

/** Hash @a text, the idempotency key of a request to @a service. Services do not share keys. */
struct iv_key iv_key_from_text (const char *service, const char *text);

/** Hash of a struct iv_key for a GHashTable. */
guint iv_key_hash (gconstpointer key);

/** Equality of two struct iv_key for a GHashTable. */
gboolean iv_key_equal (gconstpointer a, gconstpointer b);

/** Apply the batch at @a offset of the stream "keys". Repeated batches have no effect. */
void iv_keys_apply (struct iv_keys *keys, gint64 now_ms, guint64 offset, const ivx_batch *batch);

/** Look up @a key. Returns NULL when no intent was applied within the window, or when the key was
 * evicted because of the limit. The entry is valid until the next call on @a keys. */
const struct iv_key_entry *iv_keys_find (struct iv_keys *keys, gint64 now_ms, struct iv_key key);

/** Offset of the next batch to apply. */
guint64 iv_keys_next_offset (const struct iv_keys *keys);

/** Number of keys in the table. */
guint iv_keys_count (const struct iv_keys *keys);

#endif
