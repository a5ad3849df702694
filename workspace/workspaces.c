#include "workspaces.h"

#include <string.h>

#define SECRET_WORDS 4 /* of 32 bits: as long as a SHA-256 block's key needs for 128 bits */

struct iv_workspaces
{
  GPtrArray *all;      /* of struct iv_workspace, in order */
  GHashTable *by_name; /* from name to struct iv_workspace */
  GHashTable *by_key;  /* from the digest of a key to struct iv_workspace */
  guint32 secret[SECRET_WORDS];
};

static void
free_workspace (gpointer data)
{
  struct iv_workspace *workspace = data;
  g_free (workspace->name);
  g_free (workspace);
}

struct iv_workspaces *
iv_workspaces_new (void)
{
  struct iv_workspaces *workspaces = g_new0 (struct iv_workspaces, 1);
  workspaces->all = g_ptr_array_new_with_free_func (free_workspace);
  workspaces->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  workspaces->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < SECRET_WORDS; i++)
    workspaces->secret[i] = g_random_int ();
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
  if (!(weight > 0) || cap->cpu_milli < 0 || cap->mem_mb < 0 || cap->accelerators < 0)
    return iv_fail (IV_ERR_INVALID, "a weight is above 0, and a cap not below it");
  workspace = g_new0 (struct iv_workspace, 1);
  workspace->name = g_strdup (name);
  workspace->weight = weight;
  workspace->cap = *cap;
  g_ptr_array_add (workspaces->all, workspace);
  g_hash_table_insert (workspaces->by_name, workspace->name, workspace);
  return IV_OK;
}

/* Keyed with a secret of this process, so that the time of a comparison of digests tells a caller
   nothing about keys. */
static char *
digest_of (const struct iv_workspaces *workspaces, const char *key)
{
  return g_compute_hmac_for_string (G_CHECKSUM_SHA256, (const guchar *)workspaces->secret,
                                    sizeof workspaces->secret, key, -1);
}

enum iv_status
iv_workspaces_add_key (struct iv_workspaces *workspaces, const char *name, const char *key)
{
  char *digest;
  if (*key == '\0')
    return iv_fail (IV_ERR_INVALID, "an empty key");
  digest = digest_of (workspaces, key);
  if (g_hash_table_contains (workspaces->by_key, digest))
    {
      g_free (digest);
      return iv_fail (IV_ERR_INVALID, "a key that was named before");
    }
  g_hash_table_insert (workspaces->by_key, digest, g_hash_table_lookup (workspaces->by_name, name));
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
  char *digest = digest_of (workspaces, key);
  const struct iv_workspace *workspace = g_hash_table_lookup (workspaces->by_key, digest);
  g_free (digest);
  return workspace;
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
