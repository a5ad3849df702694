/**
 * @file bench_job.h
 * The job that tests of the owner hand in, to be changed before it is.
 */
#ifndef IV_BENCH_JOB_H
#define IV_BENCH_JOB_H

#include "bench_fleet.h"

#define JOB_ID "00000000000000aa"
#define OTHER_JOB_ID "00000000000000bb"
#define EVIDENCE_MAX_AGE_MS 5000 /**< the bench permits starts on younger evidence */

extern ivj_step sim_steps[3];
extern ivj_job sim_spec;

/** One step of @a count tasks of two cores; a second one after it when @a second is set. */
void sim_make_job (guint count, guint second);

#endif
