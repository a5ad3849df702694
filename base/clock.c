#include "clock.h"

#include <time.h>

static gint64
read_ms (clockid_t clock)
{
  struct timespec now;
  clock_gettime (clock, &now);
  return (gint64)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

gint64
iv_clock_wall_ms (void)
{
  return read_ms (CLOCK_REALTIME);
}

gint64
iv_clock_boot_ms (void)
{
  return read_ms (CLOCK_BOOTTIME);
}
