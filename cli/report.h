/**
 * @file report.h
 * Report of core time by workload, team, failure domain or host, from the usage that the owners of
 * the failure domains recorded.
 */
#ifndef IV_REPORT_H
#define IV_REPORT_H

#include <glib.h>
#include <jansson.h>

/** Attribute by which usage is summed; one row per value. */
enum iv_report_grouping
{
  IV_REPORT_WORKLOAD,
  IV_REPORT_TEAM,
  IV_REPORT_DOMAIN,
  IV_REPORT_HOST
};

/** Output format of a report. */
enum iv_report_format
{
  IV_REPORT_TEXT,
  IV_REPORT_JSON,
  IV_REPORT_CSV
};

/** Aggregate and render @a response, the body of GET /v1/report. JSON and CSV give core time in
 *  microseconds, text in core-seconds. Free with g_free(). */
char *iv_report_render (const json_t *response, enum iv_report_grouping by,
                        enum iv_report_format format);

#endif
