/**
 * @file crash.h
 * Crashed workers: which runs may be to blame, and what is done about their tasks.
 */
#ifndef IV_CRASH_H
#define IV_CRASH_H

#include "owner.h"

/** @a worker replied: runs that it has survived for long enough are proven harmless. To be called
 *  after its list was applied. */
void iv_crash_worker_replied (struct iv_owner *owner, struct iv_fleet_worker *worker);

/** The instance of @a worker that the runs were started on has ended, as @a evidence shows. To be
 *  called before the runs are dropped. */
void iv_crash_worker_ended (struct iv_owner *owner, struct iv_fleet_worker *worker,
                            const char *evidence);

/** The lease of @a run expired on a silent worker. To be called before the run is dropped. */
void iv_crash_run_lapsed (struct iv_owner *owner, struct iv_run *run);

#endif
