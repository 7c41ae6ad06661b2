#include "mailbox.h"

#include <stdlib.h>

#include "result.h"

typedef struct
{
  h2o_multithread_message_t super;
  int kind;
  void *content;
} envelope_t;

struct sgr_mailbox_t
{
  h2o_multithread_receiver_t receiver; /* first member: on_messages() casts its address */
  h2o_multithread_queue_t *queue;
  void (*receive) (void *ctx, int kind, void *message);
  void *ctx;
};

static void
on_messages (h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages)
{
  sgr_mailbox_t *mailbox = (sgr_mailbox_t *)receiver;

  while (!h2o_linklist_is_empty (messages))
    {
      envelope_t *envelope = H2O_STRUCT_FROM_MEMBER (envelope_t, super.link, messages->next);
      /* The static analyzer reports a use after free, because it does not see that the unlink below
         removes the freed envelope from the list. NOLINTNEXTLINE */
      int kind = envelope->kind;
      void *content = envelope->content;

      h2o_linklist_unlink (&envelope->super.link);
      free (envelope);
      mailbox->receive (mailbox->ctx, kind, content);
    }
}

sgr_mailbox_t *
sgr_mailbox_create (h2o_loop_t *loop, void (*receive) (void *ctx, int kind, void *message),
                    void *ctx)
{
  sgr_mailbox_t *mailbox = calloc (1, sizeof *mailbox);

  sgr_invariant (mailbox != NULL);
  mailbox->receive = receive;
  mailbox->ctx = ctx;
  mailbox->queue = h2o_multithread_create_queue (loop);
  h2o_multithread_register_receiver (mailbox->queue, &mailbox->receiver, on_messages);
  return mailbox;
}

void
sgr_mailbox_send (sgr_mailbox_t *mailbox, int kind, void *message)
{
  envelope_t *envelope = calloc (1, sizeof *envelope);

  sgr_invariant (envelope != NULL);
  envelope->kind = kind;
  envelope->content = message;
  h2o_multithread_send_message (&mailbox->receiver, &envelope->super);
}
