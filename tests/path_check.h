#ifndef SGR_PATH_CHECK_H
#define SGR_PATH_CHECK_H

#include "node_fixture.h"

/** Sends calls through a node and checks their answers, with checks that hold for any fault. */

/**
 * struct sgr_path_call_t - a call of a test
 * @entry: node that receives the call
 * @service: name of the service
 * @method: HTTP method; POST counts as not idempotent, any other as idempotent
 * @path: "/" for an answer of one line, "/bytes/N" for a body of N bytes
 * @fields: additional header fields, each terminated by CRLF, or NULL
 * @body: body of the request or NULL
 * @deadline_ms: deadline in milliseconds, 5 seconds if 0
 * @id: receives the request id, unique in the process
 * @header_fields: receives all header fields of the request
 * @request: receives the request, which refers to @header_fields
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
  char header_fields[1024];
  sgr_probe_request_t request;
} sgr_path_call_t;

/** sgr_path_call_send() - send a call under a new request id; returns the socket, -1 on error */
int sgr_path_call_send (sgr_path_call_t *call);

/**
 * sgr_path_answer_receive() - read the answer to a call and close the socket
 * @fd: socket from sgr_path_call_send(); the test fails if it is -1
 * @call: the call
 * @answer: receives the answer
 */
void sgr_path_answer_receive (int fd, sgr_path_call_t *call, sgr_probe_answer_t *answer);

/**
 * sgr_path_answer_check() - check what holds for every answer, also after a fault
 * @call: the call
 * @answer: its answer
 * @executions: number of times that targets ran the request
 *
 * A request that is not idempotent ran at most once. An answer with status 200 belongs to the
 * request, which ran at least once. The outcome is "not-run" only if no target ran the request. An
 * answer is truncated only if its outcome is "complete".
 */
void sgr_path_answer_check (const sgr_path_call_t *call, const sgr_probe_answer_t *answer,
                            unsigned executions);

#endif
