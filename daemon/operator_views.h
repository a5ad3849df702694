/**
 * @file operator_views.h
 * JSON views of the state for operators.
 */
#ifndef IV_OPERATOR_VIEWS_H
#define IV_OPERATOR_VIEWS_H

#include "app.h"

/** Answer what only the owner of @a domain knows: "report" or "job/NAME"; or "key/HEX" of this
 * host. Returns a status like HTTP's and fills @a body. */
int iv_operator_local_query (struct iv_app *app, const char *domain, const char *what,
                             GByteArray *body);

/** The release in force, its history, all jobs, one job, and this host's state. Free with free().
 */
char *iv_operator_release_json (const struct iv_app *app);
char *iv_operator_history_json (const struct iv_app *app);
char *iv_operator_jobs_json (const struct iv_app *app);
char *iv_operator_job_json (const struct iv_app *app, const char *name);
char *iv_operator_status_json (const struct iv_app *app);

/** Whether this host can serve callers; @a reason says why not. */
gboolean iv_operator_is_ready (const struct iv_app *app, const char **reason);

#endif
