/**
 * @file ledger.h
 * Usage accounting of one worker: its host time, in integer core-microseconds, by consumer.
 *
 * Invariant: workloads + idle + overhead + unattributed = cores x time from the worker's start to
 * the end of its accounted time. Late reports move time out of unattributed rows.
 */
#ifndef IV_LEDGER_H
#define IV_LEDGER_H

#include "batch.h"

#define IV_GAPS_MAX 64 /**< gaps of one worker that accept late reports; the oldest is dropped */

/* Names of the unattributed rows: why the time has no consumer. */
#define IV_CAUSE_NO_REPORT "no-report"     /**< the interval has no report yet */
#define IV_CAUSE_HOST_LOST "host-lost"     /**< the host ended before it reported */
#define IV_CAUSE_MEASUREMENT "measurement" /**< the rows of the report do not fill its interval */

/** Ledger of one worker. */
struct iv_ledger
{
  guint64 cpu_milli; /**< cores of the host, in thousandths */
  guint64 start_ms;  /**< start of the host, ms since the epoch */
  guint64 until_ms;  /**< end of the accounted time, ms since the epoch */
  GArray *rows;      /**< of ivx_usage_row; at most one per kind, team and name */
  GArray *gaps;      /**< of ivx_gap, oldest first: accounted without a report */
};

/** Initialize the ledger of a worker with @a cpu_milli thousandths of a core that started at
 *  @a start_ms. */
void iv_ledger_init (struct iv_ledger *ledger, guint64 cpu_milli, guint64 start_ms);

/** Free rows and gaps. */
void iv_ledger_clear (struct iv_ledger *ledger);

/** Add a usage report. FALSE, with nothing changed, when the interval is empty or longer than
 *  G_MAXUINT32 ms, when the rows exceed its host time or include an unattributed one, or when the
 *  interval is already accounted, even in part, and does not lie within one gap. */
gboolean iv_ledger_add_usage (struct iv_ledger *ledger, const ivx_usage *usage);

/** Whether the interval of @a usage lies within a gap, so that a late report can be added. */
gboolean iv_ledger_has_gap (const struct iv_ledger *ledger, const ivx_usage *usage);

/** Account the time up to @a end_ms, when the host ended, as unattributed. Does nothing when it is
 *  accounted already. */
void iv_ledger_close (struct iv_ledger *ledger, guint64 end_ms);

/** Add @a core_us to the row with @a kind, @a team and @a name in @a rows, a GArray of
 *  ivx_usage_row. */
void iv_usage_rows_add (GArray *rows, ivx_row_kind kind, const char *team, const char *name,
                        guint64 core_us);

/** Sum of all @a rows, in core-microseconds. */
guint64 iv_usage_rows_total (const GArray *rows);

/** Free rows and their strings. */
void iv_usage_rows_free (GArray *rows);

/** Whether the rows add up to the host time from the start to the end of the accounted time. */
gboolean iv_ledger_balanced (const struct iv_ledger *ledger);

#endif
