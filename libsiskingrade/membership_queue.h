#ifndef SGR_MEMBERSHIP_QUEUE_H
#define SGR_MEMBERSHIP_QUEUE_H

#include "membership_table.h"

/* Maximum number of transmissions of one update. */
#define SGR_MEMBERSHIP_UPDATE_SENDS_MAX 24

/**
 * enum sgr_membership_urgency_t - urgency of an update; more urgent ones are sent first
 * @SGR_MEMBERSHIP_LEAVING: a target drains or leaves, or a node leaves
 * @SGR_MEMBERSHIP_HEALTH: suspicions, refutations, deaths and returns of departed members
 * @SGR_MEMBERSHIP_STATE_CHANGE: a live member has a new boot, a target changed its state other than
 * to drain or leave, or the target of this node changed its service
 * @SGR_MEMBERSHIP_ROUTINE: all other updates
 * @SGR_MEMBERSHIP_URGENCIES: number of urgencies
 */
typedef enum
{
  SGR_MEMBERSHIP_LEAVING = 0,
  SGR_MEMBERSHIP_HEALTH,
  SGR_MEMBERSHIP_STATE_CHANGE,
  SGR_MEMBERSHIP_ROUTINE,
  SGR_MEMBERSHIP_URGENCIES,
} sgr_membership_urgency_t;

/**
 * struct sgr_membership_queue_t - records whose updates are to be sent to other members
 *
 * The queue has one doubly linked list for each urgency and number of transmissions so far. The
 * links are members of sgr_membership_entry_t.
 *
 * @first: handle of the first record of each list
 * @last: handle of the last record of each list
 * @count: queued records of each urgency
 */
typedef struct
{
  uint32_t first[SGR_MEMBERSHIP_URGENCIES * SGR_MEMBERSHIP_UPDATE_SENDS_MAX];
  uint32_t last[SGR_MEMBERSHIP_URGENCIES * SGR_MEMBERSHIP_UPDATE_SENDS_MAX];
  uint32_t count[SGR_MEMBERSHIP_URGENCIES];
} sgr_membership_queue_t;

void sgr_membership_queue_init (sgr_membership_queue_t *queue);

/**
 * sgr_membership_queue_put() - queue a record with no transmission counted yet
 * @queue: the queue
 * @table: the table of the record
 * @handle: the record; if it is queued already, it moves and its transmissions are counted anew
 * @urgency: urgency of the update
 * @full: whether to send the descriptor too, because receivers may lack it
 */
void sgr_membership_queue_put (sgr_membership_queue_t *queue, sgr_membership_table_t *table,
                               uint32_t handle, sgr_membership_urgency_t urgency, bool full);

/** sgr_membership_queue_remove() - remove a record from the queue, if it is queued */
void sgr_membership_queue_remove (sgr_membership_queue_t *queue, sgr_membership_table_t *table,
                                  uint32_t handle);

/**
 * sgr_membership_queue_count_send() - count a transmission of a record
 * @queue: the queue
 * @table: the table of the record
 * @handle: the record; nothing happens if it is not queued
 * @sends: number of transmissions after which the record is removed from the queue, at most
 * SGR_MEMBERSHIP_UPDATE_SENDS_MAX
 */
void sgr_membership_queue_count_send (sgr_membership_queue_t *queue, sgr_membership_table_t *table,
                                      uint32_t handle, uint32_t sends);

/**
 * sgr_membership_queue_urgency() - urgency of a queued record
 * @entry: the record; must be queued
 */
sgr_membership_urgency_t sgr_membership_queue_urgency (const sgr_membership_entry_t *entry);

/**
 * sgr_membership_queue_select() - list the records to send next
 * @queue: the queue
 * @table: the table of the records
 * @handles: receives the handles: the most urgent records first, within an urgency those with the
 * fewest transmissions, and within these the records queued or sent longest ago
 * @max: maximum number of handles
 *
 * Return: the number of handles.
 */
size_t sgr_membership_queue_select (const sgr_membership_queue_t *queue,
                                    const sgr_membership_table_t *table, uint32_t *handles,
                                    size_t max);

#endif
