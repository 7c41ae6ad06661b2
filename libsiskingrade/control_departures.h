#ifndef SGR_CONTROL_DEPARTURES_H
#define SGR_CONTROL_DEPARTURES_H

#include "control_internal.h"
#include "store.h"

/**
 * Keeps the departures of the local target in the store, because a node has no disk and a late
 * announcement may arrive after it was killed and started again. The record has the key
 * "departures/DEPLOYMENT/NAME". Without a store, departures last as long as the process.
 */

/** sgr_control_departures_create() - create the object; @store is NULL for none */
sgr_control_departures_t *sgr_control_departures_create (sgr_control_t *control,
                                                         sgr_store_t *store);

/**
 * sgr_control_departures_is_record_needed() - whether an announcement has to wait for the record
 * @departures: the object
 * @announcement: the announcement
 *
 * An instance that started before the node may have departed, unless it has shown to this process
 * that it runs. A younger instance does not need the record.
 */
bool sgr_control_departures_is_record_needed (const sgr_control_departures_t *departures,
                                              const sgr_announcement_t *announcement);

/**
 * sgr_control_departures_may_register() - whether an announcement may register a target
 * @departures: the object
 * @announcement: the announcement
 *
 * An announcement that has to wait for the record is kept, and applied once it has been read. If it
 * shows that the instance runs, it is not kept; the record is read nevertheless, and if it has the
 * instance, the target drains from then on.
 *
 * Return: false if the announcement was kept, or is older than the one that is kept.
 */
bool sgr_control_departures_may_register (sgr_control_departures_t *departures,
                                          const sgr_announcement_t *announcement);

/**
 * sgr_control_departures_kept_take() - drop the announcement that waits for the record
 * @departures: the object
 * @kept: receives the announcement
 *
 * Return: false if there is none.
 */
bool sgr_control_departures_kept_take (sgr_control_departures_t *departures,
                                       sgr_announcement_t *kept);

/**
 * sgr_control_departures_kept_reply() - answer an announcement that was kept
 * @departures: the object
 * @announcement: the announcement
 * @req: the request
 * @send: sends the answer
 *
 * If the record is not read soon, the answer names the address at which the next announcement shows
 * that the instance runs.
 */
void sgr_control_departures_kept_reply (sgr_control_departures_t *departures,
                                        const sgr_announcement_t *announcement, h2o_req_t *req,
                                        sgr_control_reply_cb_t send);

/**
 * sgr_control_departures_reply() - acknowledge a departure once all departures are in the store
 * @departures: the object
 * @req: the request
 * @send: sends the answer
 *
 * If the store does not take the record in time, the answer is SGR_ERR_UNAVAILABLE and the write is
 * repeated. The departure is in force at this node all the same; an acknowledgement would promise
 * that it outlasts the process.
 */
void sgr_control_departures_reply (sgr_control_departures_t *departures, h2o_req_t *req,
                                   sgr_control_reply_cb_t send);

/** sgr_control_departures_renew() - write the record again, after the store was restored */
void sgr_control_departures_renew (sgr_control_departures_t *departures);

/** sgr_control_departures_destroy() - free the object; requests that wait get no answer */
void sgr_control_departures_destroy (sgr_control_departures_t *departures);

#endif
