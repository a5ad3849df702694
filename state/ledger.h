/**
 * @file ledger.h
 * Host time of one worker, in integer core-microseconds, that always adds up.
 *
 * For every worker: workloads + idle + overhead + unattributed = cores x time from the worker's
 * start to the end of its accounted time. Late reports move time out of unattributed rows.
 */
#ifndef IV_LEDGER_H
#define IV_LEDGER_H

#include "batch.h"

#define IV_GAPS_MAX 64 /**< gaps of one worker that still take late reports */

#define IV_CAUSE_NO_REPORT "no-report" /**< unattributed: the interval has no report yet */
#define IV_CAUSE_HOST_LOST "host-lost" /**< unattributed: the host ended before it reported */
#define IV_CAUSE_MEASUREMENT                                                                       \
  "measurement" /**< unattributed: the report's rows did not fill its interval */

/** Accounts of one worker. */
struct iv_ledger
{
  guint64 cpu_milli;
  guint64 start_ms; /**< when the host began to exist */
  guint64 until_ms; /**< end of the accounted time */
  GArray *rows;     /**< of ivx_usage_row; at most one for each kind, team and name */
  GArray *gaps;     /**< of ivx_gap, oldest first: accounted, but a late report may still come */
};

/** Start the accounts of a worker. */
void iv_ledger_init (struct iv_ledger *ledger, guint64 cpu_milli, guint64 start_ms);

/** Free the rows. */
void iv_ledger_clear (struct iv_ledger *ledger);

/** Book a usage report. FALSE, with nothing changed, when its rows exceed its interval's host time
 *  or, for an interval that is already accounted, the time still unattributed. */
gboolean iv_ledger_add_usage (struct iv_ledger *ledger, const ivx_usage *usage);

/** Whether @a usage lies in a gap that still takes late reports. */
gboolean iv_ledger_has_gap (const struct iv_ledger *ledger, const ivx_usage *usage);

/** Close the accounts at @a end_ms; what was not reported becomes unattributed. */
void iv_ledger_close (struct iv_ledger *ledger, guint64 end_ms);

/** Add @a units to the row of @a kind, @a team and @a name in @a rows. */
void iv_usage_rows_add (GArray *rows, ivx_row_kind kind, const char *team, const char *name,
                        guint64 core_us);

/** Sum of all units in @a rows. */
guint64 iv_usage_rows_total (const GArray *rows);

/** Free rows and their strings. */
void iv_usage_rows_free (GArray *rows);

/** Whether the accounts add up to the host's time. */
gboolean iv_ledger_balanced (const struct iv_ledger *ledger);

#endif
