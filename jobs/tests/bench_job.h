/**
 * @file bench_job.h
 * Job specification for tests of the owner, which may change it before they submit it.
 */
#ifndef IV_BENCH_JOB_H
#define IV_BENCH_JOB_H

#include "bench_fleet.h"

#define JOB_ID "00000000000000aa"
#define OTHER_JOB_ID "00000000000000bb"
/** `evidence_max_age_ms` of sim_new(): no task starts with older evidence. */
#define EVIDENCE_MAX_AGE_MS 5000

extern ivj_step sim_steps[3];
extern ivj_job sim_spec;

/** Set sim_spec to a step of @a count tasks of two cores each, and, when @a second is not 0, a step
 *  of @a second tasks that depends on it. */
void sim_make_job (guint count, guint second);

#endif
