/**
 * @file operator_views.h
 * The state of this host in JSON, for operators and peers.
 */
#ifndef IV_OPERATOR_VIEWS_H
#define IV_OPERATOR_VIEWS_H

#include "app.h"

/** Answer a query from the state of this host and append the reply to @a body. @a path is "report"
 * or "job/NAME", for which this host must own @a domain, or "key/" and 32 hexadecimal digits, for
 * which @a domain is ignored; see iv_route_task_key_response(). Returns an HTTP status: 503 if this
 * host does not own the domain, 404 if @a path is unknown. */
int iv_operator_local_query (struct iv_app *app, const char *domain, const char *path,
                             GByteArray *body);

/* Each of these returns a JSON text. Free with free(). */

/** The release in force with its services, jobs and teams. */
char *iv_operator_release_json (const struct iv_app *app);

/** The history of the releases. */
char *iv_operator_history_json (const struct iv_app *app);

/** All jobs with their progress. */
char *iv_operator_jobs_json (const struct iv_app *app);

/** The job @a name; NULL if there is none. */
char *iv_operator_job_json (const struct iv_app *app, const char *name);

/** Status of this host, the failure domains and the peers. */
char *iv_operator_status_json (const struct iv_app *app);

/** Whether this host can serve callers. @a reason is set to why not, or to an empty string; a
 * static text. */
gboolean iv_operator_is_ready (const struct iv_app *app, const char **reason);

#endif
