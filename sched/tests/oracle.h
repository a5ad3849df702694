/**
 * @file oracle.h
 * Test oracle for a simulated cluster: checks the invariants after every step, mainly from what the
 * workers do rather than from the planners' state.
 */
#ifndef IV_ORACLE_H
#define IV_ORACLE_H

#include "world.h"

#include <stdio.h>

/** Observations of the oracle. */
struct oracle
{
  struct world *world;
  GHashTable *attempts; /**< "gen/index/attempt" of each start to the worker */
  GHashTable *runs;     /**< "gen/index" of at-most-once tasks to the state of their last run */
  guint starts;
  guint done;
  guint late_starts; /**< in a domain out of service for longer than the bound; not counted yet */
  char *violation;   /**< description of the first violation, or NULL */
};

/** Create an oracle that observes every worker of @a world. */
struct oracle *oracle_new (struct world *world);

/** Free @a oracle. */
void oracle_free (struct oracle *oracle);

/** Check the invariants after a step. FALSE when one is violated; `violation` describes it. */
gboolean oracle_check (struct oracle *oracle);

/** Whether every item of the configuration has ended. */
gboolean oracle_all_ended (const struct oracle *oracle);

/** Whether hosts that have read a stream to the same offset have the same state. */
gboolean oracle_states_agree (struct oracle *oracle);

/** Print the state of all hosts and workers, to diagnose a failure. */
void oracle_dump (const struct oracle *oracle, FILE *out);

#endif
