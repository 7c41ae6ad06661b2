#include "gate_queue.h"

#include <stdlib.h>

#include "result.h"

/* As in CoDel: a standing queue is one whose oldest item waited longer than the target during a
   whole interval; a short burst does not change the order. The target is raised to the expected
   service time where that is longer. */
#define WAIT_TARGET_US 5000
#define WAIT_INTERVAL_US 100000
#define NO_FLOW UINT32_MAX

/**
 * struct flow_t - items of one tenant in one class
 * @tenant: number of the tenant
 * @class_number: number of the class
 * @count: items, 0 for an unused entry
 * @oldest: first in order of arrival
 * @newest: last in order of arrival
 * @active_position: its place in the list of flows in use
 * @above_since_us: since when the oldest item waits longer than the target, 0 if it does not
 * @overloaded: the newest items are served first
 */
typedef struct
{
  uint32_t tenant;
  uint32_t class_number;
  uint32_t count;
  uint32_t active_position;
  uint64_t above_since_us;
  bool overloaded;
  sgr_gate_queue_item_t *oldest;
  sgr_gate_queue_item_t *newest;
} flow_t;

/**
 * struct share_t - service time of the tenants, or of the classes
 * @served_us: service time by number, comparable among waiting ones only
 * @waiting: items that wait, by number
 * @floor_us: @served_us of the last one that was served; those who come later start there
 */
typedef struct
{
  uint64_t served_us[SGR_LIMITS_NAMES_MAX];
  uint32_t waiting[SGR_LIMITS_NAMES_MAX];
  uint64_t floor_us;
} share_t;

struct sgr_gate_queue_t
{
  uint32_t capacity;
  uint32_t count;
  bool newest_first;
  share_t tenants;
  share_t classes;
  sgr_gate_queue_item_t *oldest;
  sgr_gate_queue_item_t *newest;
  sgr_gate_queue_item_t *expired;
  sgr_timer_heap_t *deadlines;
  flow_t *flows;
  uint32_t active_count;
  uint32_t *active; /* numbers of the flows in use, then of the unused ones */
};

sgr_gate_queue_t *
sgr_gate_queue_create (uint32_t capacity, bool newest_first)
{
  sgr_gate_queue_t *queue = calloc (1, sizeof *queue);

  sgr_invariant (queue != NULL);
  queue->capacity = capacity;
  queue->newest_first = newest_first;
  queue->deadlines = sgr_timer_heap_create ();
  queue->flows = calloc (capacity + 1, sizeof *queue->flows);
  queue->active = calloc (capacity + 1, sizeof *queue->active);
  sgr_invariant (queue->flows != NULL && queue->active != NULL);
  for (uint32_t i = 0; i <= capacity; i++)
    queue->active[i] = i;
  return queue;
}

void
sgr_gate_queue_destroy (sgr_gate_queue_t *queue)
{
  if (queue == NULL)
    return;
  sgr_timer_heap_destroy (queue->deadlines);
  free (queue->flows);
  free (queue->active);
  free (queue);
}

static uint32_t
flow_find (const sgr_gate_queue_t *queue, uint32_t tenant, uint32_t class_number)
{
  for (uint32_t i = 0; i < queue->active_count; i++)
    {
      const flow_t *flow = &queue->flows[queue->active[i]];

      if (flow->tenant == tenant && flow->class_number == class_number)
        return queue->active[i];
    }
  return NO_FLOW;
}

static void
share_enter (share_t *share, uint32_t number)
{
  if (share->waiting[number]++ == 0 && share->served_us[number] < share->floor_us)
    share->served_us[number] = share->floor_us;
}

static void
flow_append (sgr_gate_queue_t *queue, sgr_gate_queue_item_t *item)
{
  uint32_t number = flow_find (queue, item->tenant, item->class_number);
  flow_t *flow;

  if (number == NO_FLOW)
    {
      number = queue->active[queue->active_count];
      queue->flows[number] = (flow_t){ .tenant = item->tenant,
                                       .class_number = item->class_number,
                                       .active_position = queue->active_count++ };
    }
  flow = &queue->flows[number];
  item->flow = number;
  item->newer = NULL;
  item->older = flow->newest;
  if (flow->newest != NULL)
    flow->newest->newer = item;
  else
    flow->oldest = item;
  flow->newest = item;
  flow->count++;
}

static void
flow_remove (sgr_gate_queue_t *queue, sgr_gate_queue_item_t *item)
{
  flow_t *flow = &queue->flows[item->flow];
  uint32_t last;

  if (item->older != NULL)
    item->older->newer = item->newer;
  else
    flow->oldest = item->newer;
  if (item->newer != NULL)
    item->newer->older = item->older;
  else
    flow->newest = item->older;
  if (--flow->count > 0)
    return;
  last = queue->active[--queue->active_count];
  queue->active[queue->active_count] = item->flow;
  queue->active[flow->active_position] = last;
  queue->flows[last].active_position = flow->active_position;
}

static void
deadline_fire (void *ctx, uint64_t now_us)
{
  sgr_gate_queue_item_t *item = ctx;
  sgr_gate_queue_t *queue = item->queue;

  sgr_gate_queue_remove (queue, item);
  item->older = queue->expired;
  queue->expired = item;
}

void
sgr_gate_queue_push (sgr_gate_queue_t *queue, uint64_t now_us, sgr_gate_queue_item_t *item)
{
  sgr_invariant (queue->count < queue->capacity);
  item->queue = queue;
  item->queued_us = now_us;
  share_enter (&queue->tenants, item->tenant);
  share_enter (&queue->classes, item->class_number);
  flow_append (queue, item);
  item->arrival_newer = NULL;
  item->arrival_older = queue->newest;
  if (queue->newest != NULL)
    queue->newest->arrival_newer = item;
  else
    queue->oldest = item;
  queue->newest = item;
  queue->count++;
  item->deadline_timer = (sgr_timer_t){ .fire = deadline_fire, .ctx = item };
  sgr_timer_arm (queue->deadlines, &item->deadline_timer, item->deadline_us);
}

void
sgr_gate_queue_remove (sgr_gate_queue_t *queue, sgr_gate_queue_item_t *item)
{
  sgr_timer_cancel (queue->deadlines, &item->deadline_timer);
  flow_remove (queue, item);
  if (item->arrival_older != NULL)
    item->arrival_older->arrival_newer = item->arrival_newer;
  else
    queue->oldest = item->arrival_newer;
  if (item->arrival_newer != NULL)
    item->arrival_newer->arrival_older = item->arrival_older;
  else
    queue->newest = item->arrival_older;
  queue->tenants.waiting[item->tenant]--;
  queue->classes.waiting[item->class_number]--;
  queue->count--;
}

static void
flow_overload_update (const sgr_gate_queue_t *queue, flow_t *flow, uint64_t now_us,
                      uint64_t estimate_us)
{
  uint64_t target_us = estimate_us > WAIT_TARGET_US ? estimate_us : WAIT_TARGET_US;

  if (!queue->newest_first)
    return;
  /* Newcomers displace the oldest items of a full queue, so their wait says little then: a flow
     stays overloaded until it has nearly drained. */
  if (flow->overloaded && flow->count > 1)
    return;
  if (flow->oldest->queued_us + target_us >= now_us)
    {
      flow->above_since_us = 0;
      flow->overloaded = false;
      return;
    }
  if (flow->above_since_us == 0)
    flow->above_since_us = now_us;
  if (now_us - flow->above_since_us >= WAIT_INTERVAL_US)
    flow->overloaded = true;
}

/* The item that a flow would start next. */
static sgr_gate_queue_item_t *
flow_candidate (const sgr_gate_queue_t *queue, flow_t *flow, uint64_t now_us, uint64_t estimate_us)
{
  flow_overload_update (queue, flow, now_us, estimate_us);
  return flow->overloaded ? flow->newest : flow->oldest;
}

/* Whether item @a goes before item @b. */
static bool
goes_before (const sgr_gate_queue_t *queue, const sgr_gate_queue_item_t *a,
             const sgr_gate_queue_item_t *b)
{
  const uint64_t *classes_us = queue->classes.served_us;
  const uint64_t *tenants_us = queue->tenants.served_us;

  if (a->priority != b->priority)
    return a->priority < b->priority;
  if (classes_us[a->class_number] != classes_us[b->class_number])
    return classes_us[a->class_number] < classes_us[b->class_number];
  return tenants_us[a->tenant] < tenants_us[b->tenant];
}

sgr_gate_queue_item_t *
sgr_gate_queue_pop (sgr_gate_queue_t *queue, uint64_t now_us, const sgr_gate_limits_t *limits,
                    uint64_t estimate_us)
{
  sgr_gate_queue_item_t *item = NULL;

  for (uint32_t i = 0; i < queue->active_count; i++)
    {
      flow_t *flow = &queue->flows[queue->active[i]];
      sgr_gate_queue_item_t *candidate;

      if (sgr_gate_limits_check (limits, flow->tenant, flow->class_number) != SGR_LIMITS_FREE)
        continue;
      candidate = flow_candidate (queue, flow, now_us, estimate_us);
      if (item == NULL || goes_before (queue, candidate, item))
        item = candidate;
    }
  if (item == NULL)
    return NULL;
  queue->classes.floor_us = queue->classes.served_us[item->class_number];
  queue->tenants.floor_us = queue->tenants.served_us[item->tenant];
  /* At least one unit, so that the turns change even without an estimate. */
  item->charged_us = estimate_us > 0 ? estimate_us : 1;
  queue->classes.served_us[item->class_number] += item->charged_us;
  queue->tenants.served_us[item->tenant] += item->charged_us;
  sgr_gate_queue_remove (queue, item);
  return item;
}

sgr_gate_queue_item_t *
sgr_gate_queue_late (const sgr_gate_queue_t *queue, uint64_t now_us, uint64_t *next_us)
{
  *next_us = SGR_TIMER_NEVER;
  for (sgr_gate_queue_item_t *item = queue->oldest; item != NULL; item = item->arrival_newer)
    {
      if (now_us > item->start_by_us)
        return item;
      if (item->start_by_us < *next_us)
        *next_us = item->start_by_us;
    }
  return NULL;
}

static void
share_correct (share_t *share, uint32_t number, uint64_t charged_us, uint64_t service_us)
{
  uint64_t *served_us = &share->served_us[number];

  *served_us -= charged_us < *served_us ? charged_us : *served_us;
  *served_us += service_us;
}

void
sgr_gate_queue_served (sgr_gate_queue_t *queue, const sgr_gate_queue_item_t *item,
                       uint64_t service_us)
{
  if (item->charged_us == 0)
    return;
  share_correct (&queue->classes, item->class_number, item->charged_us, service_us);
  share_correct (&queue->tenants, item->tenant, item->charged_us, service_us);
}

sgr_gate_queue_item_t *
sgr_gate_queue_expire (sgr_gate_queue_t *queue, uint64_t now_us, uint64_t estimate_us,
                       uint64_t *next_us)
{
  uint64_t due_us = sgr_timer_heap_run (queue->deadlines, now_us + estimate_us);
  sgr_gate_queue_item_t *expired = queue->expired;

  queue->expired = NULL;
  *next_us = due_us == SGR_TIMER_NEVER ? due_us : due_us - estimate_us;
  return expired;
}

sgr_gate_queue_item_t *
sgr_gate_queue_victim (const sgr_gate_queue_t *queue, uint32_t tenant, uint32_t class_number)
{
  uint32_t own_number = flow_find (queue, tenant, class_number);
  const flow_t *own = own_number == NO_FLOW ? NULL : &queue->flows[own_number];
  const flow_t *longest = NULL;

  for (uint32_t i = 0; i < queue->active_count; i++)
    {
      const flow_t *flow = &queue->flows[queue->active[i]];

      if (longest == NULL || flow->count > longest->count)
        longest = flow;
    }
  if (longest == NULL)
    return NULL;
  if (own != NULL && own->count >= longest->count)
    return own->overloaded ? own->oldest : NULL;
  if (own == NULL ? longest->count > 1 : longest->count > own->count + 1)
    return longest->oldest;
  return own != NULL && own->overloaded ? own->oldest : NULL;
}

sgr_gate_queue_item_t *
sgr_gate_queue_oldest (const sgr_gate_queue_t *queue)
{
  return queue->oldest;
}

uint32_t
sgr_gate_queue_count (const sgr_gate_queue_t *queue)
{
  return queue->count;
}

uint32_t
sgr_gate_queue_tenant_count (const sgr_gate_queue_t *queue, uint32_t tenant)
{
  return queue->tenants.waiting[tenant];
}

uint32_t
sgr_gate_queue_class_count (const sgr_gate_queue_t *queue, uint32_t class_number)
{
  return queue->classes.waiting[class_number];
}

bool
sgr_gate_queue_is_overloaded (const sgr_gate_queue_t *queue)
{
  for (uint32_t i = 0; i < queue->active_count; i++)
    if (queue->flows[queue->active[i]].overloaded)
      return true;
  return false;
}
