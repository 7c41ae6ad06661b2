#ifndef SCRIPTED_STORE_H
#define SCRIPTED_STORE_H

#include <pthread.h>

#include "types.h"

/* Most connections that a script can hold. */
#define SCRIPTED_STORE_HELD_MAX 4

/* How the server reacts to a request. */
typedef enum
{
  REPLY,               /* sends the whole reply */
  RESET_UNREAD,        /* resets the connection without reading the request */
  CLOSE_WITHOUT_REPLY, /* reads the request and closes the connection */
  TRUNCATED_REPLY,     /* closes the connection before the end of the reply */
  NO_REPLY,            /* sends nothing and waits until the client closes the connection */
  HOLD, /* sends nothing, keeps the connection open and goes on with the next exchange */
} scripted_reaction_t;

/**
 * struct scripted_exchange_t - one request to the server and its reply
 * @request_part: text that the request must contain
 * @reaction: how the server reacts
 * @status: HTTP status of the reply
 * @body: body of the reply
 * @headers: additional header fields of the reply, each ended by CR LF, or NULL
 */
typedef struct
{
  const char *request_part;
  scripted_reaction_t reaction;
  int status;
  const char *body;
  const char *headers;
} scripted_exchange_t;

/**
 * struct scripted_store_t - an HTTP server that follows a script, in a thread of its own
 * @exchanges: the script; it ends at the first exchange that is all zero
 * @count: entries of @exchanges
 * @listener: listening socket
 * @thread: thread of the server
 * @has_unexpected_request: whether a request differed from the script, which ends the server
 * @request_count: requests that were read so far
 * @request: the last request
 * @held: connections that are kept open until the server is stopped
 * @held_count: entries of @held
 */
typedef struct
{
  const scripted_exchange_t *exchanges;
  size_t count;
  int listener;
  pthread_t thread;
  bool has_unexpected_request;
  _Atomic size_t request_count;
  char request[4096];
  int held[SCRIPTED_STORE_HELD_MAX];
  size_t held_count;
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
