#include "access.h"

#include <string.h>

#define SCHEME "Bearer"

static const struct
{
  const char *name;
  int status;
  const char *reason;
} verdicts[IV_ACCESS_VERDICTS] = {
  [IV_ACCESS_GRANTED] = { "granted", 200, "" },
  [IV_ACCESS_KEY_MISSING] = { "key_missing", 401, "a key is required" },
  [IV_ACCESS_KEY_MALFORMED]
  = { "key_malformed", 401, "the authorization is malformed: expected Bearer and a key" },
  [IV_ACCESS_KEY_UNKNOWN] = { "key_unknown", 401, "the key is not valid" },
  [IV_ACCESS_OTHER_WORKSPACE]
  = { "other_workspace", 403, "the key does not give access to this job" },
  [IV_ACCESS_UNCONFIRMED] = { "unconfirmed", 503, "the keys in force are not known at present" },
};

/* The key in the value of an Authorization header (RFC 6750, section 2.1; the scheme is
   case-insensitive by RFC 9110, section 11.1), or NULL. */
static const char *
find_key (const char *authorization)
{
  const gsize scheme_len = strlen (SCHEME);
  const char *key = authorization + scheme_len;
  if (g_ascii_strncasecmp (authorization, SCHEME, scheme_len) != 0 || *key != ' ')
    return NULL;
  key += strspn (key, " ");
  return *key ? key : NULL;
}

static gboolean
is_unconfirmed (const struct iv_access_request *request)
{
  return request->config_age_max_ms > 0 && request->config_age_ms > request->config_age_max_ms;
}

void
iv_access_identify (const struct iv_access_request *request, struct iv_access_caller *caller)
{
  const char *key = request->authorization ? find_key (request->authorization) : NULL;
  const struct iv_workspace *workspace
      = key && request->workspaces ? iv_workspaces_find_by_key (request->workspaces, key) : NULL;
  caller->public_access = request->public_access;
  caller->workspace = workspace ? workspace->name : "";
  if (request->workspaces == NULL)
    caller->verdict = IV_ACCESS_GRANTED;
  else if (is_unconfirmed (request))
    caller->verdict = IV_ACCESS_UNCONFIRMED;
  else if (request->authorization == NULL)
    caller->verdict = IV_ACCESS_KEY_MISSING;
  else if (key == NULL)
    caller->verdict = IV_ACCESS_KEY_MALFORMED;
  else
    caller->verdict = workspace ? IV_ACCESS_GRANTED : IV_ACCESS_KEY_UNKNOWN;
}

enum iv_access
iv_access_to_queue (const struct iv_access_caller *caller)
{
  return caller->public_access ? IV_ACCESS_GRANTED : caller->verdict;
}

/* Jobs are found by their id alone. Without the condition on the queue of the job, anybody could
   cancel a job of a workspace through the path of a public queue. */
enum iv_access
iv_access_to_job (const struct iv_access_caller *caller, gboolean is_job_queue_public,
                  const char *job_workspace)
{
  if (caller->public_access && is_job_queue_public)
    return IV_ACCESS_GRANTED;
  if (caller->verdict != IV_ACCESS_GRANTED)
    return caller->verdict;
  /* A granted caller without a workspace: there are no workspaces in force. */
  if (*job_workspace == '\0' || *caller->workspace == '\0')
    return IV_ACCESS_GRANTED;
  return strcmp (caller->workspace, job_workspace) == 0 ? IV_ACCESS_GRANTED
                                                        : IV_ACCESS_OTHER_WORKSPACE;
}

int
iv_access_status (enum iv_access verdict)
{
  return verdicts[verdict].status;
}

const char *
iv_access_reason (enum iv_access verdict)
{
  return verdicts[verdict].reason;
}

const char *
iv_access_name (enum iv_access verdict)
{
  return verdicts[verdict].name;
}
