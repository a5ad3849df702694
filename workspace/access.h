/**
 * @file access.h
 * Decides whether a caller may use a queue or a job, by the key of the request and the workspaces
 * of the configuration in force.
 */
#ifndef IV_ACCESS_H
#define IV_ACCESS_H

#include "workspaces.h"

/** Verdict on a request. */
enum iv_access
{
  IV_ACCESS_GRANTED,
  IV_ACCESS_KEY_MISSING,
  IV_ACCESS_KEY_MALFORMED,
  IV_ACCESS_KEY_UNKNOWN,
  IV_ACCESS_OTHER_WORKSPACE, /**< the job belongs to another workspace than the key */
  IV_ACCESS_UNCONFIRMED,     /**< the configuration was last confirmed too long ago to trust keys */
  IV_ACCESS_VERDICTS
};

/** What is known of a request. */
struct iv_access_request
{
  const struct iv_workspaces *workspaces; /**< in force; NULL: no request needs a key */
  gboolean public_access;                 /**< requests to its queue need no key */
  const char *authorization;              /**< value of the header; NULL when there is none */
  gint64 config_age_ms;                   /**< since the configuration was last confirmed */
  gint64 config_age_max_ms;               /**< keys are not trusted beyond this; 0: no limit */
};

/** The caller of a request. */
struct iv_access_caller
{
  enum iv_access verdict; /**< on the key, also when the queue needs none */
  gboolean public_access; /**< as in the request */
  const char *workspace;  /**< of the key, also on a public queue; belongs to the table of
                               workspaces. "" when no workspace has it */
};

/** Identify the caller of @a request. */
void iv_access_identify (const struct iv_access_request *request, struct iv_access_caller *caller);

/** Whether @a caller may use the queue of the request. */
enum iv_access iv_access_to_queue (const struct iv_access_caller *caller);

/** Whether @a caller may read or change a job of @a job_workspace ("": of none). The queue of the
 *  job may be another than that of the request: a job is free of keys only when both are public. */
enum iv_access iv_access_to_job (const struct iv_access_caller *caller,
                                 gboolean is_job_queue_public, const char *job_workspace);

/** HTTP status of a refusal, and the reason told to the caller. */
int iv_access_status (enum iv_access verdict);
const char *iv_access_reason (enum iv_access verdict);

/** Name of @a verdict in logs and metrics. */
const char *iv_access_name (enum iv_access verdict);

#endif
