#ifndef SGR_MAILBOX_H
#define SGR_MAILBOX_H

#include <h2o.h>

#include "types.h"

/** struct sgr_mailbox_t - passes messages from any thread to the thread of an event loop */
typedef struct sgr_mailbox_t sgr_mailbox_t;

/**
 * sgr_mailbox_create() - create a mailbox, before the threads that send to it start
 * @loop: event loop of the receiving thread
 * @receive: called in the receiving thread for each message; becomes the owner of @message
 * @ctx: passed to @receive
 */
sgr_mailbox_t *sgr_mailbox_create (h2o_loop_t *loop,
                                   void (*receive) (void *ctx, int kind, void *message), void *ctx);

/**
 * sgr_mailbox_send() - send a message
 * @mailbox: the mailbox
 * @kind: type of the message, defined by sender and receiver
 * @message: content, which belongs to the receiver from now on
 */
void sgr_mailbox_send (sgr_mailbox_t *mailbox, int kind, void *message);

#endif
