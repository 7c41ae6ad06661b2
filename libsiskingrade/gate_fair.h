#ifndef SGR_GATE_FAIR_H
#define SGR_GATE_FAIR_H

#include "gate_queue.h"

/**
 * Fair shares of a gate between accounts whose calls have the same rank: which call waits no
 * longer when capacity is short, and how long a call would wait. The functions only read the queue.
 */

/**
 * sgr_gate_fair_link_us() - time for which bytes occupy a link
 * @mbps: rate of the link in Mbit/s, 0 if bytes are not counted
 * @bytes: number of bytes
 *
 * Return: the time in microseconds, 0 without a rate.
 */
uint64_t sgr_gate_fair_link_us (double mbps, uint64_t bytes);

/**
 * sgr_gate_fair_ahead_us() - slot time that is used before a call gets a slot
 * @queue: the queue, which has been set to fair shares
 * @item: the call, in the queue or not
 *
 * Counts the calls with a more urgent rank, and of each account those with the same rank that its
 * share lets start before the call. The calls of an account count in the order of their arrival.
 *
 * Return: sum of the durations of these calls in microseconds.
 */
uint64_t sgr_gate_fair_ahead_us (const sgr_gate_queue_t *queue, const sgr_gate_queue_item_t *item);

/**
 * sgr_gate_fair_last() - the call to refuse first
 * @queue: the queue
 * @held_us: expected work of the waiting and running calls of each account, by its index, in
 * microseconds
 * @candidate: a new call that is not in the queue and counted in @held_us, NULL for none
 *
 * Return: of the calls with the least urgent rank, the newest one of the account that holds the
 * most work: @candidate, or a call in the queue. NULL if there is no call.
 */
sgr_gate_queue_item_t *sgr_gate_fair_last (const sgr_gate_queue_t *queue, const uint64_t *held_us,
                                           sgr_gate_queue_item_t *candidate);

/**
 * sgr_gate_fair_is_beyond() - whether a call is beyond the fair share of its account
 * @held_us: expected work of the waiting and running calls of each account, in microseconds
 * @running_us: work of the running calls of all accounts, which is divided
 * @item: the call, which is counted in @held_us
 *
 * Return: true if the other calls of its account hold the account's max-min share of @running_us or
 * more. The only call of an account is never beyond its share.
 */
bool sgr_gate_fair_is_beyond (const uint64_t *held_us, uint64_t running_us,
                              const sgr_gate_queue_item_t *item);

#endif
