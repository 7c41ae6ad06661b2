#ifndef SGR_MEMBERSHIP_IO_H
#define SGR_MEMBERSHIP_IO_H

#include <h2o.h>

#include "membership.h"

/** Runs membership on a UDP socket and a timer of an h2o event loop. Belongs to one task. */
typedef struct sgr_membership_io_t sgr_membership_io_t;

/**
 * sgr_membership_io_create() - bind the control address and start membership
 * @loop: event loop of the task
 * @options: settings, copied; a control port of 0 takes a free port, which becomes part of the own
 *           record
 * @changed: a member changed, see sgr_membership_callbacks_t; may be NULL
 * @ctx: passed to @changed
 * @io: receives the object
 *
 * Return: SGR_OK; SGR_ERR_INVALID for bad options; SGR_ERR_CONFLICT if the address is in use;
 * SGR_ERR_IO if a system call failed, see errno.
 */
sgr_result_t sgr_membership_io_create (h2o_loop_t *loop, const sgr_membership_options_t *options,
                                       void (*changed) (void *ctx, const sgr_member_t *member),
                                       void *ctx, sgr_membership_io_t **io);

/**
 * sgr_membership_io_destroy() - close the socket and free membership; does not announce a leave
 * @io: the object, may be NULL
 */
void sgr_membership_io_destroy (sgr_membership_io_t *io);

/**
 * sgr_membership_io_membership() - the membership, for updates and reads from the same task
 * @io: the object
 */
sgr_membership_t *sgr_membership_io_membership (sgr_membership_io_t *io);

/**
 * sgr_membership_io_send_errors() - datagrams that the system refused to send
 * @io: the object
 */
uint64_t sgr_membership_io_send_errors (const sgr_membership_io_t *io);

#endif
