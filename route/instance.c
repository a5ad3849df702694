#include "instance.h"

#define INITIAL_LATENCY_MS 10.0 /* until a response was received */
#define LATENCY_WEIGHT 0.2      /* of the latest response in the moving average */
#define FAILURES_TO_EJECT 3
#define EJECT_LIMIT_FACTOR 16 /* bound of next_eject_ms after a failed call, in eject_ms */

struct iv_instance *
iv_instance_new (const char *name, const char *service, const char *domain, const char *address)
{
  struct iv_instance *instance = g_new0 (struct iv_instance, 1);
  instance->name = g_strdup (name);
  instance->service = g_strdup (service);
  instance->domain = g_strdup (domain);
  instance->address = g_strdup (address);
  instance->latency_ms = INITIAL_LATENCY_MS;
  instance->held_slots = g_array_new (FALSE, FALSE, sizeof (gint64));
  return instance;
}

void
iv_instance_free (struct iv_instance *instance)
{
  g_array_free (instance->held_slots, TRUE);
  g_free (instance->name);
  g_free (instance->service);
  g_free (instance->domain);
  g_free (instance->address);
  g_free (instance);
}

static void
release_expired_slots (struct iv_instance *instance, gint64 now_ms)
{
  for (guint i = 0; i < instance->held_slots->len;)
    if (g_array_index (instance->held_slots, gint64, i) <= now_ms)
      g_array_remove_index_fast (instance->held_slots, i);
    else
      i++;
}

guint
iv_instance_free_slots (struct iv_instance *instance, gint64 now_ms, gint64 until_ms)
{
  guint limit = instance->share, used;
  if (instance->state == IV_INSTANCE_EJECTED || instance->leaving || !instance->listed)
    return 0;
  if (instance->lent_until_ms > now_ms)
    limit -= MIN (limit, instance->lent_slots);
  if (until_ms <= instance->borrowed_until_ms)
    limit += instance->borrowed_slots;
  if (instance->state == IV_INSTANCE_SLOW_START)
    limit = MIN (limit, instance->slow_start_limit);
  release_expired_slots (instance, now_ms);
  used = instance->in_flight + instance->held_slots->len;
  return limit > used ? limit - used : 0;
}

static void
eject (struct iv_instance *instance, gint64 now_ms, gint64 eject_ms)
{
  if (instance->next_eject_ms == 0)
    instance->next_eject_ms = eject_ms;
  instance->state = IV_INSTANCE_EJECTED;
  instance->ejected_until_ms = now_ms + instance->next_eject_ms;
  instance->next_eject_ms = MIN (instance->next_eject_ms * 2, eject_ms * EJECT_LIMIT_FACTOR);
}

static void
record_success (struct iv_instance *instance, gint64 elapsed_ms)
{
  instance->consecutive_failures = 0;
  instance->latency_ms += LATENCY_WEIGHT * ((double)elapsed_ms - instance->latency_ms);
  if (instance->state != IV_INSTANCE_SLOW_START)
    return;
  if (++instance->slow_start_limit < instance->share)
    return;
  instance->state = IV_INSTANCE_UP;
  instance->next_eject_ms = 0;
}

void
iv_instance_call_ended (struct iv_instance *instance, gint64 now_ms, enum iv_call_outcome outcome,
                        gint64 elapsed_ms, gint64 eject_ms, gint64 slot_hold_ms)
{
  instance->in_flight--;
  if (outcome == IV_CALL_OK)
    {
      record_success (instance, elapsed_ms);
      return;
    }
  if (outcome == IV_CALL_INCOMPLETE || outcome == IV_CALL_TIMED_OUT)
    {
      gint64 until_ms = now_ms + slot_hold_ms;
      g_array_append_val (instance->held_slots, until_ms);
    }
  instance->consecutive_failures++;
  if (instance->state == IV_INSTANCE_SLOW_START
      || instance->consecutive_failures >= FAILURES_TO_EJECT)
    eject (instance, now_ms, eject_ms);
}

gboolean
iv_instance_probe_due (struct iv_instance *instance, gint64 now_ms)
{
  if (instance->state != IV_INSTANCE_EJECTED || instance->probing || instance->leaving
      || now_ms < instance->ejected_until_ms)
    return FALSE;
  instance->probing = TRUE;
  return TRUE;
}

void
iv_instance_probe_ended (struct iv_instance *instance, gint64 now_ms, gboolean alive)
{
  instance->probing = FALSE;
  if (instance->state != IV_INSTANCE_EJECTED)
    return;
  if (!alive)
    {
      eject (instance, now_ms, instance->next_eject_ms);
      return;
    }
  instance->state = IV_INSTANCE_SLOW_START;
  instance->slow_start_limit = 1;
  instance->consecutive_failures = 0;
  instance->latency_ms = INITIAL_LATENCY_MS;
}

void
iv_instance_stall_probe_failed (struct iv_instance *instance, gint64 now_ms, gint64 eject_ms)
{
  if (instance->state != IV_INSTANCE_EJECTED)
    eject (instance, now_ms, eject_ms);
}

double
iv_instance_cost (const struct iv_instance *instance, double remote_cost_ms)
{
  double load = (double)(instance->in_flight + 1) / MAX (1, instance->share);
  return instance->latency_ms * (1 + load) + (instance->local ? 0 : remote_cost_ms);
}
