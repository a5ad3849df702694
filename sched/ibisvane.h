/**
 * @file ibisvane.h
 * The parts that others can embed: the folds of the log, the scheduling decisions and the routing
 * decisions. They do no I/O and read no clock; time and records are passed in.
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
