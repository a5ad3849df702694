#include "router.h"

#include "share.h"

#include <gsl/gsl_rng.h>
#include <string.h>

#define CALLS_MAX 3 /* for one request: first call, retries and hedged calls */
#define INITIAL_BACKOFF_MS 10
#define BACKOFF_MAX_MS 500
#define INITIAL_SERVICE_TIME_MS 10.0
#define SERVICE_TIME_WEIGHT 0.05        /* of the latest call in the moving average */
#define SERVICE_TIME_RESERVE_FACTOR 3.0 /* most calls end within 3 times the mean */

struct request
{
  struct iv_request_info info;
  char *service;
  gint64 not_before_ms; /* earliest time of a retry */
  double reserve_ms;    /* no call is started with less time to the deadline */
  gint64 hedge_at_ms;   /* when a hedged call is due; 0: never */
  guint calls;          /* started so far */
  guint active;         /* in flight */
  gboolean queued;
  gboolean may_have_run;  /* some call was sent and got no complete response */
  GList *link;            /* in the queue */
  char *tried[CALLS_MAX]; /* names of the instances called so far; only round robin repeats them */
};

struct iv_router
{
  struct iv_router_options options;
  GPtrArray *instances;   /* of struct iv_instance */
  GHashTable *by_name;    /* name to struct iv_instance */
  GHashTable *requests;   /* id to struct request */
  GQueue *queue;          /* of struct request: by priority, then age */
  GQueue *refused;        /* of struct refused, not yet passed on as actions */
  GHashTable *per_caller; /* caller to number of queued requests */
  struct iv_budget budget;
  gsl_rng *rng;
  double service_time_ms; /* moving average of complete responses */
  gboolean hedges_due;    /* some request may be due for a hedged call */
  guint next_round_robin; /* index of the next instance for round robin */
  guint64 retries;
};

struct refused
{
  guint64 id;
  enum iv_refusal refusal;
};

const char *
iv_refusal_name (enum iv_refusal refusal)
{
  static const char *const names[] = { "none", "no_instance", "expired", "overload" };
  return names[refusal];
}

static void
free_request (gpointer data)
{
  struct request *request = data;
  for (guint i = 0; i < CALLS_MAX; i++)
    g_free (request->tried[i]);
  g_free (request->service);
  g_free (request);
}

static void
free_instance (gpointer data)
{
  iv_instance_free (data);
}

struct iv_router *
iv_router_new (const struct iv_router_options *options)
{
  struct iv_router *router = g_new0 (struct iv_router, 1);
  router->options = *options;
  router->instances = g_ptr_array_new_with_free_func (free_instance);
  router->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  router->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_request);
  router->queue = g_queue_new ();
  router->refused = g_queue_new ();
  router->per_caller = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  router->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (router->rng, options->seed);
  router->service_time_ms = INITIAL_SERVICE_TIME_MS;
  iv_budget_init (&router->budget, options->retry_percent);
  return router;
}

void
iv_router_free (struct iv_router *router)
{
  g_ptr_array_free (router->instances, TRUE);
  g_hash_table_destroy (router->by_name);
  g_queue_free (router->queue);
  g_queue_free_full (router->refused, g_free);
  g_hash_table_destroy (router->requests);
  g_hash_table_destroy (router->per_caller);
  gsl_rng_free (router->rng);
  g_free (router);
}

static struct iv_instance *
instance_at (const struct iv_router *router, guint i)
{
  return g_ptr_array_index (router->instances, i);
}

static struct iv_instance *
find_or_add (struct iv_router *router, const struct iv_instance_info *info)
{
  struct iv_instance *instance = g_hash_table_lookup (router->by_name, info->name);
  if (instance && strcmp (instance->address, info->address) == 0)
    return instance;
  /* A changed address means a replaced instance, which begins with slow start. The entry is reused,
     because calls to the old one still end under this name. */
  if (instance)
    {
      g_free (instance->address);
      instance->address = g_strdup (info->address);
      instance->state = IV_INSTANCE_SLOW_START;
      instance->slow_start_limit = 1;
      return instance;
    }
  instance = iv_instance_new (info->name, info->service, info->domain, info->address);
  g_ptr_array_add (router->instances, instance);
  g_hash_table_insert (router->by_name, instance->name, instance);
  return instance;
}

static void
remove_unlisted (struct iv_router *router)
{
  for (guint i = 0; i < router->instances->len;)
    {
      struct iv_instance *instance = instance_at (router, i);
      if (instance->listed || instance->in_flight > 0 || instance->probing)
        {
          i++;
          continue;
        }
      g_hash_table_remove (router->by_name, instance->name);
      g_ptr_array_remove_index (router->instances, i);
    }
}

void
iv_router_set_instances (struct iv_router *router, const struct iv_instance_info *list, guint count)
{
  for (guint i = 0; i < router->instances->len; i++)
    instance_at (router, i)->listed = FALSE;
  for (guint i = 0; i < count; i++)
    {
      struct iv_instance *instance = find_or_add (router, &list[i]);
      guint slots
          = iv_share (list[i].slots, list[i].name, router->options.rank, router->options.hosts);
      guint connections = iv_share (list[i].connections, list[i].name, router->options.rank,
                                    router->options.hosts);
      instance->listed = TRUE;
      instance->local = list[i].local;
      instance->leaving = list[i].leaving;
      instance->share = MIN (slots, connections);
    }
  remove_unlisted (router);
}

static guint
queued_by_caller (const struct iv_router *router, guint64 caller)
{
  gint64 key = (gint64)caller;
  return GPOINTER_TO_UINT (g_hash_table_lookup (router->per_caller, &key));
}

static void
adjust_queued (struct iv_router *router, guint64 caller, gint change)
{
  gint64 key = (gint64)caller;
  guint count = (guint)((gint)queued_by_caller (router, caller) + change);
  if (count == 0)
    g_hash_table_remove (router->per_caller, &key);
  else
    g_hash_table_replace (router->per_caller, g_memdup2 (&key, sizeof key),
                          GUINT_TO_POINTER (count));
}

static void
enqueue (struct iv_router *router, struct request *request)
{
  GList *after = router->queue->tail;
  while (after && ((struct request *)after->data)->info.priority < request->info.priority)
    after = after->prev;
  g_queue_insert_after (router->queue, after, request);
  request->link = after ? after->next : router->queue->head;
  request->queued = TRUE;
  adjust_queued (router, request->info.caller, 1);
}

static void
dequeue (struct iv_router *router, struct request *request)
{
  g_queue_delete_link (router->queue, request->link);
  request->link = NULL;
  request->queued = FALSE;
  adjust_queued (router, request->info.caller, -1);
}

static void
remove_request (struct iv_router *router, struct request *request)
{
  if (request->queued)
    dequeue (router, request);
  g_hash_table_remove (router->requests, &request->info.id);
}

static void
refuse (struct iv_router *router, guint64 id, enum iv_refusal refusal)
{
  struct refused *entry = g_new (struct refused, 1);
  entry->id = id;
  entry->refusal = refusal;
  g_queue_push_tail (router->refused, entry);
}

static guint
sum_shares_up (const struct iv_router *router, const char *service, guint *up)
{
  guint share = 0;
  *up = 0;
  for (guint i = 0; i < router->instances->len; i++)
    {
      const struct iv_instance *instance = instance_at (router, i);
      if (!instance->listed || instance->leaving || strcmp (instance->service, service) != 0)
        continue;
      if (instance->state == IV_INSTANCE_EJECTED)
        continue;
      *up += 1;
      share += instance->share;
    }
  return share;
}

/* A borrowed slot must be free again when the loan ends, including the time for which it is held
   after a call that was given up. */
static guint
free_slots (const struct iv_router *router, struct iv_instance *instance,
            const struct request *request, gint64 now_ms)
{
  return iv_instance_free_slots (instance, now_ms,
                                 request->info.deadline_ms + router->options.slot_hold_ms);
}

/* Time reserved for the call itself. A call aborted at its deadline is wasted work, and enough of
   them occupy the slots of calls that could be answered in time. At most half of the time to the
   deadline is reserved, so that requests with short deadlines may still queue. */
static double
reserve_ms (const struct iv_router *router, const struct iv_request_info *info, gint64 since_ms)
{
  double half = (double)(info->deadline_ms - since_ms) / 2;
  return MIN (router->service_time_ms * SERVICE_TIME_RESERVE_FACTOR, half);
}

/* Whether a request queued now is expected to be answered by its deadline. */
static gboolean
can_meet_deadline (const struct iv_router *router, const struct iv_request_info *info,
                   gint64 now_ms, guint share)
{
  double wait_ms = router->service_time_ms * router->queue->length / MAX (1, share);
  return (double)now_ms + wait_ms + reserve_ms (router, info, now_ms) <= (double)info->deadline_ms;
}

/* Evicts a request from the full queue in favour of a new one: the youngest of the lowest priority
   below that of the new one; else, at the same priority, the youngest of the caller with the most
   queued requests, if those are more than the new request's caller would have. Requests for which a
   call was made stay. Returns FALSE when there is none to evict. */
static gboolean
evict_queued (struct iv_router *router, const struct iv_request_info *info)
{
  struct request *victim = NULL;
  guint most = queued_by_caller (router, info->caller) + 1;
  for (GList *l = router->queue->tail; l; l = l->prev)
    {
      struct request *request = l->data;
      guint count = queued_by_caller (router, request->info.caller);
      gboolean lower_priority = request->info.priority < info->priority;
      if (request->calls > 0 || request->info.priority > info->priority)
        continue;
      if (lower_priority || count > most)
        {
          victim = request;
          most = count;
          if (lower_priority)
            break;
        }
    }
  if (victim == NULL)
    return FALSE;
  refuse (router, victim->info.id, IV_REFUSAL_OVERLOAD);
  remove_request (router, victim);
  return TRUE;
}

static struct request *
new_request (const struct iv_router *router, gint64 now_ms, const struct iv_request_info *info)
{
  struct request *request = g_new0 (struct request, 1);
  request->info = *info;
  request->service = g_strdup (info->service);
  request->info.service = request->service;
  request->reserve_ms = reserve_ms (router, info, now_ms);
  if (info->idempotent && router->options.hedge_after_ms > 0)
    request->hedge_at_ms = now_ms + router->options.hedge_after_ms;
  return request;
}

void
iv_router_add (struct iv_router *router, gint64 now_ms, const struct iv_request_info *info)
{
  struct request *request;
  guint up, share = sum_shares_up (router, info->service, &up);
  iv_budget_deposit (&router->budget);
  if (up == 0)
    refuse (router, info->id, IV_REFUSAL_NO_INSTANCE);
  else if (!can_meet_deadline (router, info, now_ms, share))
    refuse (router, info->id, IV_REFUSAL_OVERLOAD);
  else if (router->queue->length >= router->options.queue_max && !evict_queued (router, info))
    refuse (router, info->id, IV_REFUSAL_OVERLOAD);
  else
    {
      request = new_request (router, now_ms, info);
      g_hash_table_insert (router->requests, &request->info.id, request);
      enqueue (router, request);
    }
}

static gboolean
was_tried (const struct request *request, const char *instance)
{
  for (guint i = 0; i < request->calls && i < CALLS_MAX; i++)
    if (strcmp (request->tried[i], instance) == 0)
      return TRUE;
  return FALSE;
}

static struct iv_instance *
round_robin (struct iv_router *router, const struct request *request, gint64 now_ms)
{
  for (guint i = 0; i < router->instances->len; i++)
    {
      struct iv_instance *instance
          = instance_at (router, (router->next_round_robin + i) % router->instances->len);
      if (strcmp (instance->service, request->service) != 0
          || free_slots (router, instance, request, now_ms) == 0)
        continue;
      router->next_round_robin = (router->next_round_robin + i + 1) % router->instances->len;
      return instance;
    }
  return NULL;
}

static struct iv_instance *
least_cost (struct iv_router *router, const struct request *request, gint64 now_ms)
{
  struct iv_instance *best = NULL;
  double best_cost = 0;
  for (guint i = 0; i < router->instances->len; i++)
    {
      struct iv_instance *instance = instance_at (router, i);
      double cost;
      if (strcmp (instance->service, request->service) != 0 || was_tried (request, instance->name)
          || free_slots (router, instance, request, now_ms) == 0)
        continue;
      cost = iv_instance_cost (instance, (double)router->options.remote_cost_ms);
      if (best == NULL || cost < best_cost)
        {
          best = instance;
          best_cost = cost;
        }
    }
  return best;
}

static struct iv_instance *
choose_instance (struct iv_router *router, const struct request *request, gint64 now_ms)
{
  return router->options.strategy == IV_ROUTER_ROUND_ROBIN ? round_robin (router, request, now_ms)
                                                           : least_cost (router, request, now_ms);
}

static struct iv_action
call_action (struct request *request, struct iv_instance *instance, gboolean hedge)
{
  struct iv_action action = { .kind = IV_ACTION_CALL,
                              .request = request->info.id,
                              .deadline_ms = request->info.deadline_ms,
                              .hedge = hedge };
  g_strlcpy (action.address, instance->address, sizeof action.address);
  g_strlcpy (action.instance, instance->name, sizeof action.instance);
  request->tried[request->calls++] = g_strdup (instance->name);
  request->active++;
  instance->in_flight++;
  return action;
}

static gboolean
next_refusal (struct iv_router *router, struct iv_action *action)
{
  struct refused *entry = g_queue_pop_head (router->refused);
  if (entry == NULL)
    return FALSE;
  *action = (struct iv_action){ .kind = IV_ACTION_REFUSE,
                                .request = entry->id,
                                .refusal = entry->refusal };
  g_free (entry);
  return TRUE;
}

static gboolean
next_probe (struct iv_router *router, gint64 now_ms, struct iv_action *action)
{
  for (guint i = 0; i < router->instances->len; i++)
    {
      struct iv_instance *instance = instance_at (router, i);
      if (!iv_instance_probe_due (instance, now_ms))
        continue;
      *action = (struct iv_action){ .kind = IV_ACTION_PROBE };
      g_strlcpy (action->address, instance->address, sizeof action->address);
      g_strlcpy (action->instance, instance->name, sizeof action->instance);
      return TRUE;
    }
  return FALSE;
}

/* A request that was never called and finds no slot shows that its service has none, so the other
   requests for that service are skipped; other services may have free slots. */
static gboolean
next_call (struct iv_router *router, gint64 now_ms, struct iv_action *action)
{
  const char *no_slot_service = NULL;
  GList *next;
  for (GList *l = router->queue->head; l; l = next)
    {
      struct request *request = l->data;
      struct iv_instance *instance;
      next = l->next;
      if ((double)now_ms + request->reserve_ms > (double)request->info.deadline_ms)
        {
          *action = (struct iv_action){ .kind = IV_ACTION_REFUSE,
                                        .request = request->info.id,
                                        .refusal = IV_REFUSAL_EXPIRED,
                                        .may_have_run = request->may_have_run };
          remove_request (router, request);
          return TRUE;
        }
      if (now_ms < request->not_before_ms
          || (no_slot_service && strcmp (no_slot_service, request->service) == 0))
        continue;
      instance = choose_instance (router, request, now_ms);
      if (instance == NULL)
        {
          if (request->calls == 0)
            no_slot_service = request->service;
          continue;
        }
      dequeue (router, request);
      *action = call_action (request, instance, FALSE);
      return TRUE;
    }
  return FALSE;
}

static gboolean
next_hedge (struct iv_router *router, gint64 now_ms, struct iv_action *action)
{
  GHashTableIter iter;
  gpointer value;
  if (router->options.hedge_after_ms == 0 && !router->hedges_due)
    return FALSE;
  router->hedges_due = FALSE;
  g_hash_table_iter_init (&iter, router->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct request *request = value;
      struct iv_instance *instance;
      if (request->hedge_at_ms == 0 || now_ms < request->hedge_at_ms || request->active != 1
          || request->calls >= CALLS_MAX || request->queued)
        continue;
      request->hedge_at_ms = 0;
      instance = choose_instance (router, request, now_ms);
      if (instance == NULL || !iv_budget_withdraw (&router->budget))
        continue;
      router->retries++;
      router->hedges_due = TRUE;
      *action = call_action (request, instance, TRUE);
      return TRUE;
    }
  return FALSE;
}

struct iv_action
iv_router_next (struct iv_router *router, gint64 now_ms)
{
  struct iv_action action = { .kind = IV_ACTION_NONE };
  if (next_refusal (router, &action) || next_probe (router, now_ms, &action)
      || next_call (router, now_ms, &action) || next_hedge (router, now_ms, &action))
    return action;
  return action;
}

static gboolean
may_retry (struct iv_router *router, const struct request *request, gint64 now_ms,
           enum iv_call_outcome outcome)
{
  gboolean not_executed = outcome == IV_CALL_NOT_SENT || outcome == IV_CALL_REFUSED;
  if (outcome == IV_CALL_OK || request->calls >= CALLS_MAX || now_ms >= request->info.deadline_ms)
    return FALSE;
  if (!not_executed && !request->info.idempotent)
    return FALSE;
  return router->options.unlimited_retries || iv_budget_withdraw (&router->budget);
}

static gint64
random_backoff_ms (struct iv_router *router, guint calls)
{
  gint64 limit_ms = MIN ((gint64)INITIAL_BACKOFF_MS << (calls - 1), BACKOFF_MAX_MS);
  return (gint64)(gsl_rng_uniform (router->rng) * (double)limit_ms);
}

enum iv_route_verdict
iv_router_call_ended (struct iv_router *router, gint64 now_ms, guint64 id, const char *name,
                      enum iv_call_outcome outcome, gint64 elapsed_ms)
{
  struct iv_instance *instance = g_hash_table_lookup (router->by_name, name);
  struct request *request = g_hash_table_lookup (router->requests, &id);
  if (instance)
    iv_instance_call_ended (instance, now_ms, outcome, elapsed_ms, router->options.eject_ms,
                            router->options.slot_hold_ms);
  if (outcome == IV_CALL_OK)
    router->service_time_ms += SERVICE_TIME_WEIGHT * ((double)elapsed_ms - router->service_time_ms);
  if (request == NULL)
    return IV_ROUTE_FINAL;
  request->active--;
  request->may_have_run |= outcome == IV_CALL_INCOMPLETE || outcome == IV_CALL_TIMED_OUT;
  if (outcome != IV_CALL_OK && request->active > 0)
    return IV_ROUTE_WAIT;
  if (!may_retry (router, request, now_ms, outcome))
    {
      gboolean may_have_run = request->may_have_run && outcome != IV_CALL_OK;
      remove_request (router, request);
      return may_have_run ? IV_ROUTE_MAY_HAVE_RUN : IV_ROUTE_FINAL;
    }
  router->retries++;
  request->not_before_ms = now_ms + random_backoff_ms (router, request->calls);
  enqueue (router, request);
  return IV_ROUTE_RETRY;
}

void
iv_router_probe_ended (struct iv_router *router, gint64 now_ms, const char *name, gboolean alive)
{
  struct iv_instance *instance = g_hash_table_lookup (router->by_name, name);
  if (instance)
    iv_instance_probe_ended (instance, now_ms, alive);
}

void
iv_router_hedge_now (struct iv_router *router, gint64 now_ms, guint64 id)
{
  struct request *request = g_hash_table_lookup (router->requests, &id);
  if (request && request->info.idempotent)
    {
      request->hedge_at_ms = now_ms;
      router->hedges_due = TRUE;
    }
}

void
iv_router_stall_probe_ended (struct iv_router *router, gint64 now_ms, const char *name,
                             gboolean alive)
{
  struct iv_instance *instance = g_hash_table_lookup (router->by_name, name);
  if (instance && !alive)
    iv_instance_stall_probe_failed (instance, now_ms, router->options.eject_ms);
}

void
iv_router_cancel (struct iv_router *router, guint64 id)
{
  struct request *request = g_hash_table_lookup (router->requests, &id);
  if (request)
    remove_request (router, request);
}

guint
iv_router_lend (struct iv_router *router, gint64 now_ms, const char *name, guint wanted,
                gint64 until_ms)
{
  struct iv_instance *instance = g_hash_table_lookup (router->by_name, name);
  guint slots;
  if (instance == NULL || instance->lent_until_ms > now_ms || router->queue->length > 0)
    return 0;
  slots = MIN (wanted, iv_instance_free_slots (instance, now_ms, G_MAXINT64));
  if (slots == 0)
    return 0;
  instance->lent_slots = slots;
  instance->lent_until_ms = until_ms;
  return slots;
}

void
iv_router_set_borrowed (struct iv_router *router, const char *name, guint slots, gint64 until_ms)
{
  struct iv_instance *instance = g_hash_table_lookup (router->by_name, name);
  if (instance == NULL || slots == 0)
    return;
  instance->borrowed_slots = slots;
  instance->borrowed_until_ms = until_ms;
}

const char *
iv_router_loan_candidate (struct iv_router *router, gint64 now_ms)
{
  const struct request *first = g_queue_peek_head (router->queue);
  const struct iv_instance *best = NULL;
  if (first == NULL)
    return NULL;
  for (guint i = 0; i < router->instances->len; i++)
    {
      struct iv_instance *instance = instance_at (router, i);
      if (strcmp (instance->service, first->service) != 0 || instance->state != IV_INSTANCE_UP
          || instance->leaving || !instance->listed || instance->borrowed_until_ms > now_ms)
        continue;
      if (best == NULL || instance->latency_ms < best->latency_ms)
        best = instance;
    }
  return best ? best->name : NULL;
}

guint
iv_router_queued (const struct iv_router *router)
{
  return router->queue->length;
}

guint64
iv_router_retries (const struct iv_router *router)
{
  return router->retries;
}

guint
iv_router_up_count (const struct iv_router *router, const char *service)
{
  guint up;
  sum_shares_up (router, service, &up);
  return up;
}

const struct iv_instance *
iv_router_instance (const struct iv_router *router, const char *name)
{
  return g_hash_table_lookup (router->by_name, name);
}
