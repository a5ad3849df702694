/**
 * @file report.h
 * Host time by workload, team, failure domain or host, from the owners' accounts.
 */
#ifndef IV_REPORT_H
#define IV_REPORT_H

#include <glib.h>
#include <jansson.h>

/** What a row of the report stands for. */
enum iv_report_grouping
{
  IV_REPORT_WORKLOAD,
  IV_REPORT_TEAM,
  IV_REPORT_DOMAIN,
  IV_REPORT_HOST
};

/** Format of a report. */
enum iv_report_format
{
  IV_REPORT_TEXT,
  IV_REPORT_JSON,
  IV_REPORT_CSV
};

/** Sum up the answer of /v1/report. Free with g_free(). */
char *iv_report_render (const json_t *answer, enum iv_report_grouping by,
                        enum iv_report_format format);

#endif
