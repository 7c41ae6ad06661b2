#include "gate_queue.h"

#include <stdlib.h>

#include "result.h"

/* As in CoDel, a flow becomes overloaded when its oldest item has waited too long at each check for
   CODEL_INTERVAL_US. Too long means longer than CODEL_WAIT_TARGET_US and than the expected service
   time. The interval prevents a short burst from changing the order of service. */
#define CODEL_WAIT_TARGET_US 5000
#define CODEL_INTERVAL_US 100000
#define NO_FLOW UINT32_MAX
/* Sum of expected waits above which older waits of a flow count half, so that the factor follows
   the load within some hundred milliseconds. */
#define WAIT_SUM_MAX_US (2 * SGR_USEC_PER_SEC)
/* Added to both sums, so that a few short waits do not make a large factor. */
#define WAIT_PRIOR_US 100000.0
/* Bounds of the factor. */
#define WAIT_FACTOR_MIN 0.5
#define WAIT_FACTOR_MAX 16.0

/**
 * struct flow_t - queued items of one tenant in one class
 * @tenant: index of the tenant
 * @class_index: index of the class
 * @count: number of items, 0 if the flow is not in use
 * @active_index: index of this flow's element in @active_flows of the queue
 * @long_wait_since_us: time of the first of the consecutive checks that found the oldest item
 * waiting too long, see flow_overload_update(); 0 if the last check did not find it
 * @overloaded: the newest item is served first
 * @waited_us: sum of recent waits of its items
 * @expected_us: sum of the waits that were expected for them
 * @oldest: item that arrived first
 * @newest: item that arrived last
 */
typedef struct
{
  uint32_t tenant;
  uint32_t class_index;
  uint32_t count;
  uint32_t active_index;
  uint64_t long_wait_since_us;
  bool overloaded;
  double waited_us;
  double expected_us;
  sgr_gate_queue_item_t *oldest;
  sgr_gate_queue_item_t *newest;
} flow_t;

/**
 * struct fair_share_t - fair shares of the tenants, or of the classes
 * @served_us: service time charged so far, by index of the tenant or class; only comparable between
 * those that have waiting items
 * @waiting: number of waiting items, by index of the tenant or class
 * @floor_us: @served_us of the tenant or class that was served last, as it was before that charge.
 * When an item arrives for a tenant or class without waiting items, its @served_us is raised to
 * this value, so that it gets no priority for its idle time.
 */
typedef struct
{
  uint64_t served_us[SGR_LIMITS_CHILDREN_MAX];
  uint32_t waiting[SGR_LIMITS_CHILDREN_MAX];
  uint64_t floor_us;
} fair_share_t;

/**
 * struct sgr_gate_queue_t - state of a queue
 * @capacity: maximum number of items
 * @count: number of items
 * @newest_first: an overloaded flow serves its newest item first
 * @is_fair: the queue serves fair shares of the tenants
 * @tenants: fair shares of the tenants
 * @classes: fair shares of the classes
 * @oldest: item that arrived first
 * @newest: item that arrived last
 * @expired: items that the deadline timers have removed, until sgr_gate_queue_expire() returns them
 * @deadlines: timers of the items
 * @flows: all flows, in use or not
 * @active_flow_count: number of flows in use
 * @active_flows: indexes of the flows in use, followed by those of the other flows
 */
struct sgr_gate_queue_t
{
  uint32_t capacity;
  uint32_t count;
  bool newest_first;
  bool is_fair;
  fair_share_t tenants;
  fair_share_t classes;
  sgr_gate_queue_item_t *oldest;
  sgr_gate_queue_item_t *newest;
  sgr_gate_queue_item_t *expired;
  sgr_timer_heap_t *deadlines;
  flow_t *flows;
  uint32_t active_flow_count;
  uint32_t *active_flows;
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
  queue->active_flows = calloc (capacity + 1, sizeof *queue->active_flows);
  sgr_invariant (queue->flows != NULL && queue->active_flows != NULL);
  for (uint32_t i = 0; i <= capacity; i++)
    queue->active_flows[i] = i;
  return queue;
}

void
sgr_gate_queue_destroy (sgr_gate_queue_t *queue)
{
  if (queue == NULL)
    return;
  sgr_timer_heap_destroy (queue->deadlines);
  free (queue->flows);
  free (queue->active_flows);
  free (queue);
}

void
sgr_gate_queue_fair_set (sgr_gate_queue_t *queue, bool is_fair)
{
  queue->is_fair = is_fair;
}

static uint32_t
flow_find (const sgr_gate_queue_t *queue, uint32_t tenant, uint32_t class_index)
{
  for (uint32_t i = 0; i < queue->active_flow_count; i++)
    {
      const flow_t *flow = &queue->flows[queue->active_flows[i]];

      if (flow->tenant == tenant && flow->class_index == class_index)
        return queue->active_flows[i];
    }
  return NO_FLOW;
}

/* Counts a new item of a tenant or class. */
static void
fair_share_item_add (fair_share_t *share, uint32_t index)
{
  if (share->waiting[index]++ == 0 && share->served_us[index] < share->floor_us)
    share->served_us[index] = share->floor_us;
}

static void
flow_append (sgr_gate_queue_t *queue, sgr_gate_queue_item_t *item)
{
  uint32_t index = flow_find (queue, item->tenant, item->class_index);
  flow_t *flow;

  if (index == NO_FLOW)
    {
      index = queue->active_flows[queue->active_flow_count];
      queue->flows[index] = (flow_t){ .tenant = item->tenant,
                                      .class_index = item->class_index,
                                      .active_index = queue->active_flow_count++ };
    }
  flow = &queue->flows[index];
  item->flow = index;
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
  /* The last flow in use takes the place of the empty one in the list. */
  last = queue->active_flows[--queue->active_flow_count];
  queue->active_flows[queue->active_flow_count] = item->flow;
  queue->active_flows[flow->active_index] = last;
  queue->flows[last].active_index = flow->active_index;
}

/* Moves an item that cannot finish by its deadline to the list of expired items. */
static void
item_deadline_expire (void *ctx, uint64_t now_us)
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
  fair_share_item_add (&queue->tenants, item->tenant);
  fair_share_item_add (&queue->classes, item->class_index);
  flow_append (queue, item);
  item->arrival_newer = NULL;
  item->arrival_older = queue->newest;
  if (queue->newest != NULL)
    queue->newest->arrival_newer = item;
  else
    queue->oldest = item;
  queue->newest = item;
  queue->count++;
  item->deadline_timer = (sgr_timer_t){ .fire = item_deadline_expire, .ctx = item };
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
  queue->classes.waiting[item->class_index]--;
  queue->count--;
}

static void
flow_overload_update (const sgr_gate_queue_t *queue, flow_t *flow, uint64_t now_us,
                      uint64_t estimate_us)
{
  uint64_t wait_limit_us = estimate_us > CODEL_WAIT_TARGET_US ? estimate_us : CODEL_WAIT_TARGET_US;

  if (!queue->newest_first)
    return;
  if (queue->is_fair)
    {
      flow->long_wait_since_us = 0;
      flow->overloaded = false;
      return;
    }
  /* An overloaded flow stays overloaded while it has more than one item. The wait of its oldest
     item may be short although the overload goes on, because new items displace the oldest ones
     when the queue is full. */
  if (flow->overloaded && flow->count > 1)
    return;
  if (flow->oldest->queued_us + wait_limit_us >= now_us)
    {
      flow->long_wait_since_us = 0;
      flow->overloaded = false;
      return;
    }
  if (flow->long_wait_since_us == 0)
    flow->long_wait_since_us = now_us;
  if (now_us - flow->long_wait_since_us >= CODEL_INTERVAL_US)
    flow->overloaded = true;
}

/* Returns the item that a flow serves next. */
static sgr_gate_queue_item_t *
flow_next_item (const sgr_gate_queue_t *queue, flow_t *flow, uint64_t now_us, uint64_t estimate_us)
{
  flow_overload_update (queue, flow, now_us, estimate_us);
  return flow->overloaded ? flow->newest : flow->oldest;
}

/* Whether item @a is served before item @b. */
static bool
item_precedes (const sgr_gate_queue_t *queue, const sgr_gate_queue_item_t *a,
               const sgr_gate_queue_item_t *b)
{
  const uint64_t *classes_us = queue->classes.served_us;
  const uint64_t *tenants_us = queue->tenants.served_us;

  if (a->priority != b->priority)
    return a->priority < b->priority;
  if (queue->is_fair && tenants_us[a->tenant] != tenants_us[b->tenant])
    return tenants_us[a->tenant] < tenants_us[b->tenant];
  if (classes_us[a->class_index] != classes_us[b->class_index])
    return classes_us[a->class_index] < classes_us[b->class_index];
  return tenants_us[a->tenant] < tenants_us[b->tenant];
}

sgr_gate_queue_item_t *
sgr_gate_queue_pop (sgr_gate_queue_t *queue, uint64_t now_us, const sgr_gate_limits_t *limits,
                    uint64_t estimate_us)
{
  sgr_gate_queue_item_t *item = NULL;

  for (uint32_t i = 0; i < queue->active_flow_count; i++)
    {
      flow_t *flow = &queue->flows[queue->active_flows[i]];
      sgr_gate_queue_item_t *candidate;

      if (sgr_gate_limits_check (limits, flow->tenant, flow->class_index) != SGR_LIMITS_ALLOWED)
        continue;
      candidate = flow_next_item (queue, flow, now_us, estimate_us);
      if (item == NULL || item_precedes (queue, candidate, item))
        item = candidate;
    }
  if (item == NULL)
    return NULL;
  queue->classes.floor_us = queue->classes.served_us[item->class_index];
  queue->tenants.floor_us = queue->tenants.served_us[item->tenant];
  if (queue->is_fair && item->work_us > 0)
    estimate_us = item->work_us;
  /* Charges at least one microsecond. Without an estimate, a charge of 0 would let the same tenant
     and class go first each time. */
  item->charged_us = estimate_us > 0 ? estimate_us : 1;
  queue->classes.served_us[item->class_index] += item->charged_us;
  queue->tenants.served_us[item->tenant] += item->charged_us;
  sgr_gate_queue_wait_record (queue, item, now_us);
  sgr_gate_queue_remove (queue, item);
  return item;
}

void
sgr_gate_queue_wait_record (sgr_gate_queue_t *queue, const sgr_gate_queue_item_t *item,
                            uint64_t now_us)
{
  flow_t *flow = &queue->flows[item->flow];

  if (item->expected_wait_us == 0)
    return;
  flow->waited_us += (double)(now_us - item->queued_us);
  flow->expected_us += (double)item->expected_wait_us;
  if (flow->expected_us > (double)WAIT_SUM_MAX_US)
    {
      flow->waited_us /= 2;
      flow->expected_us /= 2;
    }
}

double
sgr_gate_queue_wait_factor (const sgr_gate_queue_t *queue, const sgr_gate_queue_item_t *item)
{
  uint32_t index = flow_find (queue, item->tenant, item->class_index);
  double factor;

  if (index == NO_FLOW)
    return 1;
  factor = (queue->flows[index].waited_us + WAIT_PRIOR_US)
           / (queue->flows[index].expected_us + WAIT_PRIOR_US);
  if (factor < WAIT_FACTOR_MIN)
    return WAIT_FACTOR_MIN;
  return factor < WAIT_FACTOR_MAX ? factor : WAIT_FACTOR_MAX;
}

sgr_gate_queue_item_t *
sgr_gate_queue_late_find (const sgr_gate_queue_t *queue, uint64_t now_us, uint64_t *next_us)
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

/* Replaces an estimated charge by the service time. */
static void
fair_share_charge_correct (fair_share_t *share, uint32_t index, uint64_t charged_us,
                           uint64_t service_us)
{
  uint64_t *served_us = &share->served_us[index];

  *served_us -= charged_us < *served_us ? charged_us : *served_us;
  *served_us += service_us;
}

void
sgr_gate_queue_charge_correct (sgr_gate_queue_t *queue, const sgr_gate_queue_item_t *item,
                               uint64_t service_us)
{
  /* The attempt got its slot without waiting in the queue, so nothing was charged. */
  if (item->charged_us == 0)
    return;
  fair_share_charge_correct (&queue->classes, item->class_index, item->charged_us, service_us);
  fair_share_charge_correct (&queue->tenants, item->tenant, item->charged_us, service_us);
}

sgr_gate_queue_item_t *
sgr_gate_queue_expire (sgr_gate_queue_t *queue, uint64_t now_us, uint64_t estimate_us,
                       uint64_t *next_us)
{
  /* Fires the timers of all items that would miss their deadlines if they started now. */
  uint64_t due_us = sgr_timer_heap_run (queue->deadlines, now_us + estimate_us);
  sgr_gate_queue_item_t *expired = queue->expired;

  queue->expired = NULL;
  *next_us = due_us == SGR_TIMER_NEVER ? due_us : due_us - estimate_us;
  return expired;
}

sgr_gate_queue_item_t *
sgr_gate_queue_victim (const sgr_gate_queue_t *queue, uint32_t tenant, uint32_t class_index)
{
  uint32_t own_index = flow_find (queue, tenant, class_index);
  const flow_t *own = own_index == NO_FLOW ? NULL : &queue->flows[own_index];
  const flow_t *longest = NULL;

  for (uint32_t i = 0; i < queue->active_flow_count; i++)
    {
      const flow_t *flow = &queue->flows[queue->active_flows[i]];

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

sgr_gate_queue_item_t *
sgr_gate_queue_newest (const sgr_gate_queue_t *queue)
{
  return queue->newest;
}

uint64_t
sgr_gate_queue_tenant_served_us (const sgr_gate_queue_t *queue, uint32_t tenant)
{
  const fair_share_t *share = &queue->tenants;

  return share->waiting[tenant] == 0 && share->served_us[tenant] < share->floor_us
             ? share->floor_us
             : share->served_us[tenant];
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
sgr_gate_queue_class_count (const sgr_gate_queue_t *queue, uint32_t class_index)
{
  return queue->classes.waiting[class_index];
}

bool
sgr_gate_queue_is_overloaded (const sgr_gate_queue_t *queue)
{
  for (uint32_t i = 0; i < queue->active_flow_count; i++)
    if (queue->flows[queue->active_flows[i]].overloaded)
      return true;
  return false;
}
