#ifndef SGR_MEMBERSHIP_QUEUE_H
#define SGR_MEMBERSHIP_QUEUE_H

#include "membership_table.h"

#define SGR_MEMBERSHIP_SENDS_MAX 24

/**
 * enum sgr_membership_urgency_t - order of updates in the queue
 * @SGR_MEMBERSHIP_LEAVING: a target drains or leaves, or a node leaves
 * @SGR_MEMBERSHIP_HEALTH: suspicions, refutations and deaths
 * @SGR_MEMBERSHIP_RISING: new lives of nodes and new states of targets that stay
 * @SGR_MEMBERSHIP_ROUTINE: all others
 */
typedef enum
{
  SGR_MEMBERSHIP_LEAVING = 0,
  SGR_MEMBERSHIP_HEALTH,
  SGR_MEMBERSHIP_RISING,
  SGR_MEMBERSHIP_ROUTINE,
  SGR_MEMBERSHIP_URGENCIES,
} sgr_membership_urgency_t;

/**
 * struct sgr_membership_queue_t - records to spread, one list for each urgency and number of sends
 * so far; the links are in the records
 */
typedef struct
{
  uint32_t first[SGR_MEMBERSHIP_URGENCIES * SGR_MEMBERSHIP_SENDS_MAX];
  uint32_t last[SGR_MEMBERSHIP_URGENCIES * SGR_MEMBERSHIP_SENDS_MAX];
  uint32_t count[SGR_MEMBERSHIP_URGENCIES];
} sgr_membership_queue_t;

void sgr_membership_queue_init (sgr_membership_queue_t *queue);

/**
 * sgr_membership_queue_put() - spread a record from the start
 * @queue: the queue
 * @table: the records
 * @handle: the record; replaces its earlier place in the queue
 * @urgency: its place among the others
 * @full: whether receivers may lack its descriptor
 */
void sgr_membership_queue_put (sgr_membership_queue_t *queue, sgr_membership_table_t *table,
                               uint32_t handle, sgr_membership_urgency_t urgency, bool full);

void sgr_membership_queue_remove (sgr_membership_queue_t *queue, sgr_membership_table_t *table,
                                  uint32_t handle);

/**
 * sgr_membership_queue_count_send() - count a transmission
 * @queue: the queue
 * @table: the records
 * @handle: a queued record
 * @sends: transmissions after which it leaves the queue, at most SGR_MEMBERSHIP_SENDS_MAX
 */
void sgr_membership_queue_count_send (sgr_membership_queue_t *queue, sgr_membership_table_t *table,
                                      uint32_t handle, uint32_t sends);

/**
 * sgr_membership_queue_urgency() - urgency of a queued record
 */
sgr_membership_urgency_t sgr_membership_queue_urgency (const sgr_membership_entry_t *entry);

/**
 * sgr_membership_queue_select() - records in the order in which they are to be sent
 * @queue: the queue
 * @table: the records
 * @handles: receives the handles
 * @max: room in @handles
 *
 * Return: the number of handles.
 */
size_t sgr_membership_queue_select (const sgr_membership_queue_t *queue,
                                    const sgr_membership_table_t *table, uint32_t *handles,
                                    size_t max);

#endif
