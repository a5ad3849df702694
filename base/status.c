#include "status.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const status_names[]
    = { "ok",          "invalid", "not_found", "conflict", "limit",
        "unavailable", "timeout", "stale",     "internal" };

static __thread char last_message[256];

enum iv_status
iv_fail (enum iv_status code, const char *message, ...)
{
  va_list args;
  va_start (args, message);
  vsnprintf (last_message, sizeof last_message, message, args);
  va_end (args);
  return code;
}

const char *
iv_last_message (void)
{
  return last_message;
}

const char *
iv_status_name (enum iv_status code)
{
  if ((unsigned)code >= sizeof status_names / sizeof status_names[0])
    return "unknown";
  return status_names[code];
}
