/**
 * @file workspaces.h
 * The workspaces of one configuration: their weights and caps, and the keys of their callers.
 */
#ifndef IV_WORKSPACES_H
#define IV_WORKSPACES_H

#include "resources.h"
#include "status.h"

#define IV_WORKSPACE_NAME_MAX 1024 /**< bytes; as long as a text of a job's record may be */
#define IV_WORKSPACE_KEY_MAX 1024  /**< bytes */
#define IV_WORKSPACES_MAX 4096
#define IV_WORKSPACE_KEYS_MAX 65536 /**< of all workspaces */
/** Quotients of amounts and weights in this range stay finite. */
#define IV_WORKSPACE_WEIGHT_MIN 1e-6
#define IV_WORKSPACE_WEIGHT_MAX 1e6

/** A workspace. */
struct iv_workspace
{
  char *name;
  gint64 priority;         /**< as configured; 0 at first */
  double weight;           /**< share when all capacity is in use, and jobs a second; above 0 */
  struct iv_resources cap; /**< what it may have running; 0 in a resource: no limit for it */
};

/** The workspaces of a configuration. */
struct iv_workspaces;

struct iv_workspaces *iv_workspaces_new (void);
void iv_workspaces_free (struct iv_workspaces *workspaces);

/** Add a workspace. IV_ERR_INVALID with a last message when the name is empty, too long or taken,
 *  the weight is out of range or the cap is negative, IV_ERR_LIMIT when there are too many; nothing
 *  is added then. */
enum iv_status iv_workspaces_add (struct iv_workspaces *workspaces, const char *name, double weight,
                                  const struct iv_resources *cap);

/** Set the priority of the workspace @a name, which exists. */
void iv_workspaces_set_priority (struct iv_workspaces *workspaces, const char *name,
                                 gint64 priority);

/** Add a key of the workspace @a name, which exists. IV_ERR_INVALID with a last message, which
 *  does not hold the key, when it is empty, too long or taken; IV_ERR_LIMIT when there are too
 *  many. */
enum iv_status iv_workspaces_add_key (struct iv_workspaces *workspaces, const char *name,
                                      const char *key);

/** Find a workspace by name; NULL when there is none. */
const struct iv_workspace *iv_workspaces_find (const struct iv_workspaces *workspaces,
                                               const char *name);

/** Find the workspace of a key; NULL when no workspace has it. How long this takes does not depend
 *  on how much of @a key is right: digests under a random secret are compared, in constant time. */
const struct iv_workspace *iv_workspaces_find_by_key (const struct iv_workspaces *workspaces,
                                                      const char *key);

/** Number of workspaces, and the one at @a index, in the order in which they were added. */
guint iv_workspaces_count (const struct iv_workspaces *workspaces);
const struct iv_workspace *iv_workspaces_at (const struct iv_workspaces *workspaces, guint index);

#endif
