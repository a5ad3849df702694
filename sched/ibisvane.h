/**
 * @file ibisvane.h
 * Umbrella header of the embeddable parts: the state machines replicated through the log, the
 * scheduling decisions and the routing decisions. They do no I/O and read no clock; the caller
 * passes in time and records.
 */
#ifndef IBISVANE_H
#define IBISVANE_H

#include "cell.h"
#include "chunks.h"
#include "config.h"
#include "interference.h"
#include "placement.h"
#include "planner.h"
#include "worker_api.h"

#endif
