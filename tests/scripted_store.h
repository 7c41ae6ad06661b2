#ifndef SCRIPTED_STORE_H
#define SCRIPTED_STORE_H

#include <pthread.h>

#include "types.h"

/* How the server reacts to a request. */
typedef enum
{
  REPLY,               /* sends the whole reply */
  RESET_UNREAD,        /* resets the connection without reading the request */
  CLOSE_WITHOUT_REPLY, /* reads the request and closes the connection */
  TRUNCATED_REPLY,     /* closes the connection before the end of the reply */
  NO_REPLY,            /* sends nothing and keeps the connection open */
} scripted_reaction_t;

/**
 * struct scripted_exchange_t - one request to the server and its reply
 * @request_part: text that the request must contain
 * @reaction: how the server reacts
 * @status: HTTP status of the reply
 * @body: body of the reply
 */
typedef struct
{
  const char *request_part;
  scripted_reaction_t reaction;
  int status;
  const char *body;
} scripted_exchange_t;

/**
 * struct scripted_store_t - an HTTP server that follows a script, in a thread of its own
 * @exchanges: the script; it ends at the first exchange that is all zero
 * @count: entries of @exchanges
 * @listener: listening socket
 * @thread: thread of the server
 * @has_unexpected_request: whether a request differed from the script, which ends the server
 * @request: the last request
 */
typedef struct
{
  const scripted_exchange_t *exchanges;
  size_t count;
  int listener;
  pthread_t thread;
  bool has_unexpected_request;
  char request[4096];
} scripted_store_t;

/** scripted_store_listen() - open a listening socket on a free port; @address receives its address
 */
int scripted_store_listen (sgr_address_t *address);

/** scripted_store_start() - start a server; @address receives its address */
void scripted_store_start (scripted_store_t *server, const scripted_exchange_t *exchanges,
                           size_t count, sgr_address_t *address);

/** scripted_store_stop() - end a server, and wait for its thread */
void scripted_store_stop (scripted_store_t *server);

#endif
