#ifndef SGR_MEMBERSHIP_IO_H
#define SGR_MEMBERSHIP_IO_H

#include <h2o.h>

#include "membership.h"

/**
 * Runs membership on a UDP socket and a timer of an h2o event loop. Only the task that runs the
 * loop may use it.
 */
typedef struct sgr_membership_io_t sgr_membership_io_t;

/**
 * sgr_membership_io_create() - bind the control address and start membership
 * @loop: event loop of the task
 * @options: settings, copied; if the control port is 0, the system chooses a free port, which is
 *           stored in the record of this node
 * @changed: called when a member changed, see sgr_membership_callbacks_t; may be NULL
 * @ctx: passed to @changed
 * @io: receives the object
 *
 * Return: SGR_OK; SGR_ERR_INVALID if an option is invalid; SGR_ERR_CONFLICT if the control address
 * is in use; SGR_ERR_IO if another system call failed, with errno set; SGR_ERR_NO_MEMORY.
 */
sgr_result_t sgr_membership_io_create (h2o_loop_t *loop, const sgr_membership_options_t *options,
                                       void (*changed) (void *ctx, const sgr_member_t *member),
                                       void *ctx, sgr_membership_io_t **io);

/**
 * sgr_membership_io_destroy() - close the socket and free the membership
 * @io: the object, may be NULL
 *
 * Other nodes are not notified; for that, call sgr_membership_leave() some time before.
 */
void sgr_membership_io_destroy (sgr_membership_io_t *io);

/**
 * sgr_membership_io_membership() - the membership that the object runs, for use in the same task
 * @io: the object
 */
sgr_membership_t *sgr_membership_io_membership (sgr_membership_io_t *io);

/**
 * sgr_membership_io_send_errors() - number of datagrams that could not be sent
 * @io: the object
 */
uint64_t sgr_membership_io_send_errors (const sgr_membership_io_t *io);

#endif
