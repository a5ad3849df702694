/**
 * @file instance.h
 * What one entry host knows of one upstream instance: its share of slots and the instance's health.
 */
#ifndef IV_INSTANCE_H
#define IV_INSTANCE_H

#include <glib.h>

/** Health of an instance as seen from here. */
enum iv_instance_state
{
  IV_INSTANCE_UP,        /**< gets work by its share */
  IV_INSTANCE_EJECTED,   /**< gets nothing until a probe succeeds */
  IV_INSTANCE_SLOW_START /**< gets a little more work with every success */
};

/** How a call to an instance ended. */
enum iv_call_outcome
{
  IV_CALL_OK,         /**< a whole answer, also one that reports an error of the caller */
  IV_CALL_REFUSED,    /**< the instance answered that it did not run it */
  IV_CALL_NOT_SENT,   /**< nothing was handed over */
  IV_CALL_INCOMPLETE, /**< handed over, but no whole answer came */
  IV_CALL_TIMED_OUT   /**< handed over, and no byte came in time */
};

/** One instance. */
struct iv_instance
{
  char *name;
  char *service;
  char *domain;
  char *address;
  gboolean local; /**< in this host's failure domain */
  gboolean leaving;
  gboolean listed; /**< in the last host list */
  guint share;     /**< slots that this host may use */
  guint in_flight;
  guint slow_start_limit;
  enum iv_instance_state state;
  gint64 ejected_until_ms;
  gint64 next_eject_ms; /**< length of the next ejection */
  gboolean probing;
  guint consecutive_failures; /**< in a row */
  double latency_ms;          /**< moving average of whole answers */
  GArray *held_slots;         /**< of gint64: slots of calls given up, until these deadlines */
  guint lent_slots;           /**< slots lent to a peer */
  gint64 lent_until_ms;
  guint borrowed_slots; /**< slots borrowed from a peer */
  gint64 borrowed_until_ms;
};

/** Create an instance that is up. */
struct iv_instance *iv_instance_new (const char *name, const char *service, const char *domain,
                                     const char *address);

/** Free it. */
void iv_instance_free (struct iv_instance *instance);

/** Slots that a call with @a deadline_ms may take now: borrowed ones only when it ends with the
 * loan. */
guint iv_instance_free_slots (struct iv_instance *instance, gint64 now_ms, gint64 until_ms);

/** Account the end of a call. @a linger_ms holds the slot of a call that may still run. */
void iv_instance_call_ended (struct iv_instance *instance, gint64 now_ms,
                             enum iv_call_outcome outcome, gint64 elapsed_ms, gint64 eject_ms,
                             gint64 slot_hold_ms);

/** Whether a probe on a new connection is due; it counts as begun. */
gboolean iv_instance_probe_due (struct iv_instance *instance, gint64 now_ms);

/** The probe's result. */
void iv_instance_probe_ended (struct iv_instance *instance, gint64 now_ms, gboolean alive);

/** A probe that was sent because a call made no progress got no answer. */
void iv_instance_stall_probe_failed (struct iv_instance *instance, gint64 now_ms, gint64 eject_ms);

/** Expected time of one more call. */
double iv_instance_cost (const struct iv_instance *instance, double remote_cost_ms);

#endif
