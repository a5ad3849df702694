/**
 * @file oracle.h
 * A simple oracle over a world: what must hold at every step, kept apart from the planners' state.
 */
#ifndef IV_ORACLE_H
#define IV_ORACLE_H

#include "world.h"

#include <stdio.h>

/** Everything the oracle remembers. */
struct oracle
{
  struct world *world;
  GHashTable *attempts; /**< "gen/index/attempt" that were started, with the worker */
  GHashTable *runs;     /**< "gen/index" of at-most-once tasks to their last run */
  guint starts;
  guint done;
  guint late_starts; /**< in a domain that was out for longer than the bound */
  char *violation;   /**< first one found, or NULL */
};

/** Attach an oracle to every worker of @a world. */
struct oracle *oracle_new (struct world *world);
void oracle_free (struct oracle *oracle);

/** Check the state after a step. FALSE when something does not hold; `violation` says what. */
gboolean oracle_check (struct oracle *oracle);

/** Whether every job in the configuration that has ended tasks to run has ended. */
gboolean oracle_all_ended (const struct oracle *oracle);

/** Whether hosts that have read the same part of a stream have the same state. */
gboolean oracle_states_agree (struct oracle *oracle);

/** Print every state, for whoever looks into a failure. */
void oracle_dump (const struct oracle *oracle, FILE *out);

#endif
