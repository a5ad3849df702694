/**
 * @file resources.h
 * Amounts of compute resources.
 */
#ifndef IV_RESOURCES_H
#define IV_RESOURCES_H

#include <glib.h>

/** An amount of compute resources. */
struct iv_resources
{
  gint64 cpu_milli; /**< cores, in thousandths */
  gint64 mem_mb;    /**< memory, in MiB */
  gint64 accelerators;
};

#endif
