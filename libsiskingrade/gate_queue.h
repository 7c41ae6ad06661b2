#ifndef SGR_GATE_QUEUE_H
#define SGR_GATE_QUEUE_H

#include "gate_limits.h"
#include "timer_heap.h"
#include "types.h"

/**
 * struct sgr_gate_queue_item_t - one waiting attempt, embedded in the owner's record
 * @tenant: number of the tenant, see gate_limits.h
 * @class_number: number of the class
 * @deadline_us: time by which the answer is wanted
 * @priority: rank, 0 is served first
 * @start_by_us: time after which its answer cannot be on time any more, SGR_TIMER_NEVER for none
 * @queued_us: time of the push
 * @charged_us: service time that the fair order has charged so far
 * @owner: the owner's record
 * @queue: the queue while queued
 * @flow: number of the flow while queued
 * @older: neighbour in the flow, or in the list of expired items
 * @newer: neighbour in the flow
 * @arrival_older: neighbour in the order of arrival
 * @arrival_newer: neighbour in the order of arrival
 * @deadline_timer: place in the order of deadlines
 */
typedef struct sgr_gate_queue_item_t
{
  uint32_t tenant;
  uint32_t class_number;
  uint64_t deadline_us;
  uint32_t priority;
  uint64_t start_by_us;
  uint64_t queued_us;
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
 * The queue keeps one flow for each pair of class and tenant. Items of the better rank go first;
 * among equals it serves the class, then the tenant, that has had the least service time. Within a
 * flow it serves the oldest item first, and the newest first while the oldest one of the flow waits
 * too long.
 */
typedef struct sgr_gate_queue_t sgr_gate_queue_t;

/**
 * sgr_gate_queue_create() - an empty queue
 * @capacity: most items
 * @newest_first: whether an overloaded queue serves the newest items first
 */
sgr_gate_queue_t *sgr_gate_queue_create (uint32_t capacity, bool newest_first);
void sgr_gate_queue_destroy (sgr_gate_queue_t *queue);

/** sgr_gate_queue_push() - add an item; the queue must have room */
void sgr_gate_queue_push (sgr_gate_queue_t *queue, uint64_t now_us, sgr_gate_queue_item_t *item);
void sgr_gate_queue_remove (sgr_gate_queue_t *queue, sgr_gate_queue_item_t *item);

/**
 * sgr_gate_queue_pop() - take the next item that the limits let start
 * @queue: the queue
 * @now_us: the time
 * @limits: limits to check
 * @estimate_us: expected service time, charged in advance
 *
 * Return: the item, NULL if none may start.
 */
sgr_gate_queue_item_t *sgr_gate_queue_pop (sgr_gate_queue_t *queue, uint64_t now_us,
                                           const sgr_gate_limits_t *limits, uint64_t estimate_us);

/** sgr_gate_queue_served() - replace the charge of a popped item by its real service time */
void sgr_gate_queue_served (sgr_gate_queue_t *queue, const sgr_gate_queue_item_t *item,
                            uint64_t service_us);

/**
 * sgr_gate_queue_expire() - take out all items that cannot finish in time
 * @queue: the queue
 * @now_us: the time
 * @estimate_us: expected service time
 * @next_us: receives when the next item expires by this estimate, SGR_TIMER_NEVER if none waits
 *
 * Return: list of items linked by @older, NULL if none.
 */
sgr_gate_queue_item_t *sgr_gate_queue_expire (sgr_gate_queue_t *queue, uint64_t now_us,
                                              uint64_t estimate_us, uint64_t *next_us);

/**
 * sgr_gate_queue_victim() - item to drop from a full queue in favour of a newcomer
 * @queue: the queue
 * @tenant: tenant of the newcomer
 * @class_number: class of the newcomer
 *
 * Return: the oldest item of the longest flow if that flow is longer than the newcomer's would be,
 * or if it is the newcomer's own and serves the newest first; else NULL: refuse the newcomer.
 */
sgr_gate_queue_item_t *sgr_gate_queue_victim (const sgr_gate_queue_t *queue, uint32_t tenant,
                                              uint32_t class_number);

/**
 * sgr_gate_queue_late() - an item whose answer cannot be on time any more
 * @queue: the queue
 * @now_us: the time
 * @next_us: receives when the next item becomes late, SGR_TIMER_NEVER for none; only if none is now
 *
 * Return: the item, NULL if there is none.
 */
sgr_gate_queue_item_t *sgr_gate_queue_late (const sgr_gate_queue_t *queue, uint64_t now_us,
                                            uint64_t *next_us);

/** sgr_gate_queue_oldest() - item that has waited longest, NULL if the queue is empty */
sgr_gate_queue_item_t *sgr_gate_queue_oldest (const sgr_gate_queue_t *queue);

uint32_t sgr_gate_queue_count (const sgr_gate_queue_t *queue);
uint32_t sgr_gate_queue_tenant_count (const sgr_gate_queue_t *queue, uint32_t tenant);
uint32_t sgr_gate_queue_class_count (const sgr_gate_queue_t *queue, uint32_t class_number);

/** sgr_gate_queue_is_overloaded() - whether some flow serves its newest items first now */
bool sgr_gate_queue_is_overloaded (const sgr_gate_queue_t *queue);

#endif
