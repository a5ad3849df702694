#include "workspaces.h"

#include <string.h>
#include <sys/random.h>

#define SECRET_BYTES 32 /* as long as the digest, as RFC 2104 recommends */
#define DIGEST_BYTES 32 /* of SHA-256 */

struct iv_workspaces
{
  GPtrArray *all;      /* of struct iv_workspace, in order */
  GHashTable *by_name; /* from name to struct iv_workspace */
  GHashTable *by_key;  /* from the digest of a key to struct iv_workspace */
  guint8 secret[SECRET_BYTES];
};

static void
free_workspace (gpointer data)
{
  struct iv_workspace *workspace = data;
  g_free (workspace->name);
  g_free (workspace);
}

/* A digest is evenly distributed. Its first bytes tell nothing about a key, as the secret is not
   known to callers. */
static guint
hash_digest (gconstpointer digest)
{
  guint hash;
  memcpy (&hash, digest, sizeof hash);
  return hash;
}

/* Takes the same time wherever the first difference is. */
static gboolean
equal_digests (gconstpointer a, gconstpointer b)
{
  const guint8 *left = a;
  const guint8 *right = b;
  volatile guint8 difference = 0;
  for (guint i = 0; i < DIGEST_BYTES; i++)
    difference |= left[i] ^ right[i];
  return difference == 0;
}

struct iv_workspaces *
iv_workspaces_new (void)
{
  struct iv_workspaces *workspaces = g_new0 (struct iv_workspaces, 1);
  workspaces->all = g_ptr_array_new_with_free_func (free_workspace);
  workspaces->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  workspaces->by_key = g_hash_table_new_full (hash_digest, equal_digests, g_free, NULL);
  if (getentropy (workspaces->secret, sizeof workspaces->secret) != 0)
    g_error ("the system has no random numbers");
  return workspaces;
}

void
iv_workspaces_free (struct iv_workspaces *workspaces)
{
  if (workspaces == NULL)
    return;
  g_hash_table_destroy (workspaces->by_key);
  g_hash_table_destroy (workspaces->by_name);
  g_ptr_array_free (workspaces->all, TRUE);
  g_free (workspaces);
}

enum iv_status
iv_workspaces_add (struct iv_workspaces *workspaces, const char *name, double weight,
                   const struct iv_resources *cap)
{
  struct iv_workspace *workspace;
  if (*name == '\0' || strlen (name) > IV_WORKSPACE_NAME_MAX)
    return iv_fail (IV_ERR_INVALID, "the name of a workspace has 1 to %d bytes",
                    IV_WORKSPACE_NAME_MAX);
  if (g_hash_table_contains (workspaces->by_name, name))
    return iv_fail (IV_ERR_INVALID, "there are two workspaces of this name");
  if (!(weight >= IV_WORKSPACE_WEIGHT_MIN && weight <= IV_WORKSPACE_WEIGHT_MAX))
    return iv_fail (IV_ERR_INVALID, "the weight of a workspace is out of range");
  if (cap->cpu_milli < 0 || cap->mem_mb < 0 || cap->accelerators < 0)
    return iv_fail (IV_ERR_INVALID, "the cap of a workspace is below 0");
  if (workspaces->all->len >= IV_WORKSPACES_MAX)
    return iv_fail (IV_ERR_LIMIT, "there are more than %d workspaces", IV_WORKSPACES_MAX);
  workspace = g_new0 (struct iv_workspace, 1);
  workspace->name = g_strdup (name);
  workspace->weight = weight;
  workspace->cap = *cap;
  g_ptr_array_add (workspaces->all, workspace);
  g_hash_table_insert (workspaces->by_name, workspace->name, workspace);
  return IV_OK;
}

void
iv_workspaces_set_priority (struct iv_workspaces *workspaces, const char *name, gint64 priority)
{
  struct iv_workspace *workspace = g_hash_table_lookup (workspaces->by_name, name);
  workspace->priority = priority;
}

/* Keyed with a secret of this process, so that the time of a search tells a caller nothing about
   keys. */
static void
compute_digest (const struct iv_workspaces *workspaces, const char *key,
                guint8 digest[DIGEST_BYTES])
{
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, workspaces->secret, sizeof workspaces->secret);
  gsize len = DIGEST_BYTES;
  g_hmac_update (hmac, (const guchar *)key, -1);
  g_hmac_get_digest (hmac, digest, &len);
  g_hmac_unref (hmac);
}

enum iv_status
iv_workspaces_add_key (struct iv_workspaces *workspaces, const char *name, const char *key)
{
  guint8 digest[DIGEST_BYTES];
  if (*key == '\0' || strlen (key) > IV_WORKSPACE_KEY_MAX)
    return iv_fail (IV_ERR_INVALID, "a key has 1 to %d bytes", IV_WORKSPACE_KEY_MAX);
  if (g_hash_table_size (workspaces->by_key) >= IV_WORKSPACE_KEYS_MAX)
    return iv_fail (IV_ERR_LIMIT, "there are more than %d keys", IV_WORKSPACE_KEYS_MAX);
  compute_digest (workspaces, key, digest);
  if (g_hash_table_contains (workspaces->by_key, digest))
    return iv_fail (IV_ERR_INVALID, "a key that was named before");
  g_hash_table_insert (workspaces->by_key, g_memdup2 (digest, sizeof digest),
                       g_hash_table_lookup (workspaces->by_name, name));
  return IV_OK;
}

const struct iv_workspace *
iv_workspaces_find (const struct iv_workspaces *workspaces, const char *name)
{
  return g_hash_table_lookup (workspaces->by_name, name);
}

const struct iv_workspace *
iv_workspaces_find_by_key (const struct iv_workspaces *workspaces, const char *key)
{
  guint8 digest[DIGEST_BYTES];
  if (strlen (key) > IV_WORKSPACE_KEY_MAX)
    return NULL;
  compute_digest (workspaces, key, digest);
  return g_hash_table_lookup (workspaces->by_key, digest);
}

guint
iv_workspaces_count (const struct iv_workspaces *workspaces)
{
  return workspaces->all->len;
}

const struct iv_workspace *
iv_workspaces_at (const struct iv_workspaces *workspaces, guint index)
{
  return g_ptr_array_index (workspaces->all, index);
}
