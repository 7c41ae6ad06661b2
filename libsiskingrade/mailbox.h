#ifndef SGR_MAILBOX_H
#define SGR_MAILBOX_H

#include <h2o.h>

#include "types.h"

/**
 * A mailbox carries messages to the one task that owns the event loop. Any task may send.
 */
typedef struct sgr_mailbox_t sgr_mailbox_t;

/**
 * sgr_mailbox_create() - make a mailbox; call it before the sending tasks start
 * @loop: event loop of the receiving task
 * @receive: called in that task for each message; takes over @message
 * @ctx: passed to @receive
 */
sgr_mailbox_t *sgr_mailbox_create (h2o_loop_t *loop,
                                   void (*receive) (void *ctx, int kind, void *message), void *ctx);

/**
 * sgr_mailbox_send() - send a message
 * @mailbox: the mailbox
 * @kind: type of the message
 * @message: content, owned by the receiver from now on
 */
void sgr_mailbox_send (sgr_mailbox_t *mailbox, int kind, void *message);

#endif
