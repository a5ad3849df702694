/**
 * @file workspaces.h
 * The workspaces of one configuration: their weights and caps, and the keys of their callers.
 */
#ifndef IV_WORKSPACES_H
#define IV_WORKSPACES_H

#include "resources.h"
#include "status.h"

#define IV_WORKSPACE_NAME_MAX 1024 /**< bytes */

/** A workspace. */
struct iv_workspace
{
  char *name;
  double weight;           /**< share when all capacity is in use, and jobs a second; above 0 */
  struct iv_resources cap; /**< what it may have running; 0 in a resource: no limit for it */
};

/** The workspaces of a configuration. */
struct iv_workspaces;

struct iv_workspaces *iv_workspaces_new (void);
void iv_workspaces_free (struct iv_workspaces *workspaces);

/** Add a workspace. IV_ERR_INVALID with a last message when the name is empty, too long or taken,
 *  the weight is not above 0 or the cap is negative; nothing is added then. */
enum iv_status iv_workspaces_add (struct iv_workspaces *workspaces, const char *name, double weight,
                                  const struct iv_resources *cap);

/** Add a key of the workspace @a name, which exists. IV_ERR_INVALID with a last message, which
 *  does not hold the key, when it is empty or taken. */
enum iv_status iv_workspaces_add_key (struct iv_workspaces *workspaces, const char *name,
                                      const char *key);

/** Find a workspace by name; NULL when there is none. */
const struct iv_workspace *iv_workspaces_find (const struct iv_workspaces *workspaces,
                                               const char *name);

/** Find the workspace of a key; NULL when no workspace has it. How long this takes does not depend
 *  on how much of @a key is right. */
const struct iv_workspace *iv_workspaces_find_by_key (const struct iv_workspaces *workspaces,
                                                      const char *key);

/** Number of workspaces, and the one at @a index, in the order in which they were added. */
guint iv_workspaces_count (const struct iv_workspaces *workspaces);
const struct iv_workspace *iv_workspaces_at (const struct iv_workspaces *workspaces, guint index);

#endif
