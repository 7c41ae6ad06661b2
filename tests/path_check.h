#ifndef SGR_PATH_CHECK_H
#define SGR_PATH_CHECK_H

#include "node_fixture.h"

/** Checks of answers that every fault case of the call path shares. */

/**
 * struct sgr_path_call_t - a call of a test
 * @entry: node that takes it
 * @service: service
 * @method: method
 * @path: "/" or "/bytes/N"
 * @fields: further header fields, each with CRLF, or NULL
 * @body: body or NULL
 * @deadline_ms: deadline, 5 seconds if 0
 * @id: receives the request id, unique in the process
 * @head: used for the header fields
 */
typedef struct
{
  const sgr_fixture_node_t *entry;
  const char *service;
  const char *method;
  const char *path;
  const char *fields;
  const char *body;
  int deadline_ms;
  char id[40];
  char head[1024];
  sgr_probe_request_t request;
} sgr_path_call_t;

/** sgr_path_send() - send a call; the socket */
int sgr_path_send (sgr_path_call_t *call);

/** sgr_path_receive() - read the answer and check it with sgr_path_check() */
void sgr_path_receive (int fd, sgr_path_call_t *call, sgr_probe_answer_t *answer);

/**
 * sgr_path_check() - what holds for every answer: it is whole or seen as cut, it belongs to the
 * request, and not-run is only said of a request that no target ran
 * @call: the call
 * @answer: its answer
 * @executions: how often it ran at the targets
 */
void sgr_path_check (const sgr_path_call_t *call, const sgr_probe_answer_t *answer,
                     unsigned executions);

#endif
