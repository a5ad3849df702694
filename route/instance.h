/**
 * @file instance.h
 * One entry host's view of an upstream instance: the host's share of the instance's slots, and the
 * instance's health.
 *
 * A slot admits one concurrent call. All times are in milliseconds on one monotonic clock, which
 * the caller passes in as @a now_ms.
 */
#ifndef IV_INSTANCE_H
#define IV_INSTANCE_H

#include <glib.h>

/** Health of an instance as seen from this host. */
enum iv_instance_state
{
  IV_INSTANCE_UP,        /**< may use its whole share */
  IV_INSTANCE_EJECTED,   /**< gets no calls until a probe succeeds */
  IV_INSTANCE_SLOW_START /**< gets one more concurrent call with every success */
};

/** How a call to an instance ended. */
enum iv_call_outcome
{
  IV_CALL_OK,         /**< a complete response, including one that reports an error of the caller */
  IV_CALL_REFUSED,    /**< the instance responded that it did not execute the call */
  IV_CALL_NOT_SENT,   /**< nothing was sent to the instance */
  IV_CALL_INCOMPLETE, /**< sent, but the response was incomplete: the call may have run */
  IV_CALL_TIMED_OUT   /**< sent, but no byte came back in time: the call may have run */
};

/** One instance. */
struct iv_instance
{
  char *name;
  char *service;
  char *domain;           /**< failure domain */
  char *address;          /**< "IP:PORT" */
  gboolean local;         /**< in this host's failure domain */
  gboolean leaving;       /**< draining: gets no new calls */
  gboolean listed;        /**< in the latest host list */
  guint share;            /**< slots that this host may use */
  guint in_flight;        /**< calls sent and not ended */
  guint slow_start_limit; /**< concurrent calls allowed in IV_INSTANCE_SLOW_START */
  enum iv_instance_state state;
  gint64 ejected_until_ms;
  gint64 next_eject_ms; /**< duration of the next ejection; 0: the configured first one */
  gboolean probing;     /**< a probe of the ejected instance is under way */
  guint consecutive_failures;
  double latency_ms; /**< exponential moving average of complete responses */
  /** Of gint64: times until which slots stay reserved for calls given up that may still run. */
  GArray *held_slots;
  guint lent_slots; /**< slots lent to a peer until lent_until_ms */
  gint64 lent_until_ms;
  guint borrowed_slots; /**< slots borrowed from a peer until borrowed_until_ms */
  gint64 borrowed_until_ms;
};

/** Create an instance in state IV_INSTANCE_UP. The strings are copied. */
struct iv_instance *iv_instance_new (const char *name, const char *service, const char *domain,
                                     const char *address);

/** Free @a instance. */
void iv_instance_free (struct iv_instance *instance);

/** Number of slots free now for a call that holds its slot until @a until_ms at the latest.
 * Borrowed slots count only when the loan lasts that long. Releases held slots whose time has
 * passed. */
guint iv_instance_free_slots (struct iv_instance *instance, gint64 now_ms, gint64 until_ms);

/** Record the end of a call. Three consecutive failures, or one during slow start, eject the
 * instance.
 * @param elapsed_ms    duration of the call, used for the latency average
 * @param eject_ms      duration of a first ejection; each further one is twice as long, bounded
 *                      by 16 times @a eject_ms when a failed call ejects
 * @param slot_hold_ms  time to keep the slot of a call that may still run */
void iv_instance_call_ended (struct iv_instance *instance, gint64 now_ms,
                             enum iv_call_outcome outcome, gint64 elapsed_ms, gint64 eject_ms,
                             gint64 slot_hold_ms);

/** Whether an ejected instance is due for a probe on a new connection. When TRUE, the probe counts
 * as started and the caller must report its end by iv_instance_probe_ended(). */
gboolean iv_instance_probe_due (struct iv_instance *instance, gint64 now_ms);

/** Record the result of a probe of an ejected instance: begin slow start, or eject it again for
 * twice as long as before. */
void iv_instance_probe_ended (struct iv_instance *instance, gint64 now_ms, gboolean alive);

/** Eject the instance because a probe failed that was sent when a call stalled. */
void iv_instance_stall_probe_failed (struct iv_instance *instance, gint64 now_ms, gint64 eject_ms);

/** Estimated latency of one more call in ms, by which instances are compared. @a remote_cost_ms is
 * added for instances outside this host's failure domain. */
double iv_instance_cost (const struct iv_instance *instance, double remote_cost_ms);

#endif
