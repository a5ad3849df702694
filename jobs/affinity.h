/**
 * @file affinity.h
 * Failure domain that the tasks of a batch job are kept together in. A job ends with the last of its
 * tasks, so one that is spread over all domains is late whichever of them is cut off. Pure.
 */
#ifndef IV_AFFINITY_H
#define IV_AFFINITY_H

#include <glib.h>

/** The domain of @a domains (of `const char *`) for the job @a id; NULL when there are none. Jobs
 *  are distributed evenly, and one keeps its domain for as long as that is among @a domains
 *  (rendezvous hashing). */
const char *iv_affinity_domain (const GPtrArray *domains, const char *id);

#endif
