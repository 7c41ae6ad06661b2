#ifndef SGR_GATE_QUEUE_H
#define SGR_GATE_QUEUE_H

#include "gate_limits.h"
#include "timer_heap.h"
#include "types.h"

/**
 * struct sgr_gate_queue_item_t - one waiting attempt, embedded in the owner's record. All times are
 * monotonic microseconds.
 * @tenant: index of the tenant, from sgr_gate_limits_tenant_ref()
 * @class_index: index of the class, from sgr_gate_limits_class_ref()
 * @deadline_us: time by which the caller needs the answer
 * @priority: rank, 0 is served first
 * @start_by_us: time until which the attempt must start for its answer to be on time,
 * SGR_TIMER_NEVER if there is no such limit
 * @queued_us: time at which the item was added to the queue
 * @duration_us: expected time in a slot, used only with fair shares
 * @work_us: expected work, which is charged to the tenant and the class with fair shares
 * @expected_wait_us: wait that was expected when the item was added, without the factor of
 * sgr_gate_queue_wait_factor(); used only with fair shares
 * @charged_us: service time that sgr_gate_queue_pop() charged to the tenant and the class, 0 if the
 * item was not popped
 * @owner: pointer to the owner's record
 * @queue: the queue that holds the item, valid while queued
 * @flow: index of the flow that holds the item, valid while queued
 * @older: next older item of the flow; once expired, next item in the list of expired items
 * @newer: next newer item of the flow
 * @arrival_older: next older item of the whole queue
 * @arrival_newer: next newer item of the whole queue
 * @deadline_timer: timer in the queue's heap of deadlines
 */
typedef struct sgr_gate_queue_item_t
{
  uint32_t tenant;
  uint32_t class_index;
  uint64_t deadline_us;
  uint32_t priority;
  uint64_t start_by_us;
  uint64_t queued_us;
  uint64_t duration_us;
  uint64_t work_us;
  uint64_t expected_wait_us;
  uint64_t charged_us;
  void *owner;
  struct sgr_gate_queue_t *queue;
  uint32_t flow;
  struct sgr_gate_queue_item_t *older;
  struct sgr_gate_queue_item_t *newer;
  struct sgr_gate_queue_item_t *arrival_older;
  struct sgr_gate_queue_item_t *arrival_newer;
  sgr_timer_t deadline_timer;
} sgr_gate_queue_item_t;

/**
 * The queue keeps one flow for each pair of class and tenant. A flow serves its oldest item first.
 * While its items wait too long, the flow is overloaded and serves its newest item first, if the
 * queue was created with @newest_first. Among the flows, the item with the lowest @priority value
 * goes first; among equal priorities, the item of the class that has used the least service time,
 * then that of the tenant that has used the least.
 *
 * With fair shares, see sgr_gate_queue_fair_set(), the tenant is compared before the class, the
 * expected work of each item is charged, and each flow serves its oldest item first: items that
 * would wait too long are not admitted then.
 */
typedef struct sgr_gate_queue_t sgr_gate_queue_t;

/**
 * sgr_gate_queue_create() - create an empty queue
 * @capacity: maximum number of items
 * @newest_first: whether an overloaded flow serves its newest item first
 */
sgr_gate_queue_t *sgr_gate_queue_create (uint32_t capacity, bool newest_first);
void sgr_gate_queue_destroy (sgr_gate_queue_t *queue);

/** sgr_gate_queue_fair_set() - set whether the queue serves fair shares of the tenants; the initial
 * value is false
 */
void sgr_gate_queue_fair_set (sgr_gate_queue_t *queue, bool is_fair);

/**
 * sgr_gate_queue_push() - add an item
 * @queue: the queue, which must have room
 * @now_us: the time
 * @item: the item with tenant, class, priority, deadline, latest start and owner set; it must stay
 * valid while queued
 */
void sgr_gate_queue_push (sgr_gate_queue_t *queue, uint64_t now_us, sgr_gate_queue_item_t *item);
void sgr_gate_queue_remove (sgr_gate_queue_t *queue, sgr_gate_queue_item_t *item);

/**
 * sgr_gate_queue_pop() - remove the next item that may start
 * @queue: the queue
 * @now_us: the time
 * @limits: slots and limits; items of a tenant or class without a free slot are skipped
 * @estimate_us: expected service time, charged to the item's tenant and class until
 * sgr_gate_queue_charge_correct() is called; with fair shares, the item's @work_us is charged
 *
 * Return: the item, NULL if none may start.
 */
sgr_gate_queue_item_t *sgr_gate_queue_pop (sgr_gate_queue_t *queue, uint64_t now_us,
                                           const sgr_gate_limits_t *limits, uint64_t estimate_us);

/**
 * sgr_gate_queue_charge_correct() - replace the estimate charged for an item by its service time
 * @queue: the queue
 * @item: the item; nothing happens if it was never popped
 * @service_us: time that the request took at the target, in microseconds; with fair shares, its
 * work
 */
void sgr_gate_queue_charge_correct (sgr_gate_queue_t *queue, const sgr_gate_queue_item_t *item,
                                    uint64_t service_us);

/**
 * sgr_gate_queue_expire() - remove all items that cannot finish by their deadlines
 * @queue: the queue
 * @now_us: the time
 * @estimate_us: expected service time in microseconds
 * @next_us: receives the time at which the next item expires with the same estimate,
 * SGR_TIMER_NEVER if the queue is empty
 *
 * Return: list of the removed items, linked by their member @older, NULL if there are none.
 */
sgr_gate_queue_item_t *sgr_gate_queue_expire (sgr_gate_queue_t *queue, uint64_t now_us,
                                              uint64_t estimate_us, uint64_t *next_us);

/**
 * sgr_gate_queue_victim() - choose the item to drop from a full queue to make room for a new item
 * @queue: the queue
 * @tenant: tenant of the new item
 * @class_index: class of the new item
 *
 * Return: the oldest item of the longest flow, if that flow would be longer than the flow of the
 * new item even with the new item in it. Otherwise, if the flow of the new item is overloaded, the
 * oldest item of that flow. Otherwise NULL: the new item has to be refused.
 */
sgr_gate_queue_item_t *sgr_gate_queue_victim (const sgr_gate_queue_t *queue, uint32_t tenant,
                                              uint32_t class_index);

/**
 * sgr_gate_queue_late_find() - find an item whose @start_by_us has passed
 * @queue: the queue
 * @now_us: the time
 * @next_us: receives the earliest @start_by_us of all items, SGR_TIMER_NEVER if no item has one;
 * valid only if the function returns NULL
 *
 * Return: the item, which stays in the queue, or NULL if there is none.
 */
sgr_gate_queue_item_t *sgr_gate_queue_late_find (const sgr_gate_queue_t *queue, uint64_t now_us,
                                                 uint64_t *next_us);

/** sgr_gate_queue_wait_record() - record how long an item has waited, before it is refused as late;
 * sgr_gate_queue_pop() records it for the others
 */
void sgr_gate_queue_wait_record (sgr_gate_queue_t *queue, const sgr_gate_queue_item_t *item,
                                 uint64_t now_us);

/**
 * sgr_gate_queue_wait_factor() - how much longer the items of a flow have waited than expected
 * @queue: the queue
 * @item: an item of the flow, in the queue or not
 *
 * Items that arrive later and start earlier are not part of the expected wait. Calls of an account
 * beyond its share are mostly delayed by them.
 *
 * Return: the factor, 1 for a flow without waiting items.
 */
double sgr_gate_queue_wait_factor (const sgr_gate_queue_t *queue,
                                   const sgr_gate_queue_item_t *item);

/** sgr_gate_queue_oldest() - the item that has waited longest, NULL if the queue is empty */
sgr_gate_queue_item_t *sgr_gate_queue_oldest (const sgr_gate_queue_t *queue);

/** sgr_gate_queue_newest() - the item that arrived last, NULL if the queue is empty */
sgr_gate_queue_item_t *sgr_gate_queue_newest (const sgr_gate_queue_t *queue);

/**
 * sgr_gate_queue_tenant_served_us() - work charged to a tenant, as it counts for the tenant's next
 * item; only comparable between tenants
 */
uint64_t sgr_gate_queue_tenant_served_us (const sgr_gate_queue_t *queue, uint32_t tenant);

uint32_t sgr_gate_queue_count (const sgr_gate_queue_t *queue);
uint32_t sgr_gate_queue_tenant_count (const sgr_gate_queue_t *queue, uint32_t tenant);
uint32_t sgr_gate_queue_class_count (const sgr_gate_queue_t *queue, uint32_t class_index);

/** sgr_gate_queue_is_overloaded() - whether at least one flow serves its newest item first */
bool sgr_gate_queue_is_overloaded (const sgr_gate_queue_t *queue);

#endif
