#include "queue_order.h"

enum iv_queue_class
iv_queue_classify (const struct iv_queue_item *item, gint64 now_ms)
{
  if (item->long_running)
    return IV_QUEUE_LONG_RUNNING;
  if (item->objective_ms == 0 || now_ms + item->path_ms <= item->objective_ms)
    return IV_QUEUE_ON_TIME;
  return now_ms <= item->zero_utility_ms ? IV_QUEUE_LATE : IV_QUEUE_ZERO_UTILITY;
}

static gint
compare (gint64 a, gint64 b)
{
  return (a > b) - (a < b);
}

gint
iv_queue_compare (const struct iv_queue_item *a, enum iv_queue_class class_a,
                  const struct iv_queue_item *b, enum iv_queue_class class_b)
{
  if (class_a != class_b)
    return class_a < class_b ? -1 : 1;
  if (a->priority != b->priority)
    return compare (a->priority, b->priority);
  if (class_a == IV_QUEUE_ON_TIME && a->work != b->work)
    return compare (a->work, b->work);
  return compare (a->objective_ms, b->objective_ms);
}
