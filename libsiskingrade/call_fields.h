#ifndef SGR_CALL_FIELDS_H
#define SGR_CALL_FIELDS_H

#include "types.h"

/**
 * struct sgr_call_fields_t - names of the header fields that carry attributes of a call, lower case
 *
 * A node replaces the fields that it sets itself, so that a caller cannot set them. A deployment
 * whose callers and targets use other names gives its own table.
 *
 * @deadline: of a request, milliseconds until the caller gives up
 * @request_id: of a request, its id; a target repeats it in its answer
 * @instance: of a request to a target, the instance that it is meant for
 * @caller_service: of a request to a target, the service beside whose target the call began
 * @not_run: of an answer, present if the target did not run the request
 * @load: of an answer, load of the target, see sgr_target_load_parse()
 * @is_id_repeated: every target repeats the id, so that an answer without it is not the target's
 * @has_retry_fractions: Retry-After may have fractions of a second
 */
typedef struct
{
  const char *deadline;
  const char *request_id;
  const char *instance;
  const char *caller_service;
  const char *not_run;
  const char *load;
  bool is_id_repeated;
  bool has_retry_fractions;
} sgr_call_fields_t;

/** Names that siskingrade defines itself. */
extern const sgr_call_fields_t sgr_call_fields_default;

/** sgr_call_fields_is_set_here() - whether a node sets a request's field itself */
bool sgr_call_fields_is_set_here (const sgr_call_fields_t *fields, const char *name, size_t length);

/**
 * struct sgr_target_load_t - load of a target as it tells it in an answer
 * @running: requests that run
 * @waiting: requests that wait at the target
 * @slots: requests that it runs at a time
 * @cost_percent: time that work takes now, 100 for as usual; 100 if the target does not tell
 */
typedef struct
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t cost_percent;
} sgr_target_load_t;

/**
 * sgr_target_load_parse() - read "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,COST_PERCENT"
 *
 * Return: false if the text has another form; @load is then unchanged.
 */
bool sgr_target_load_parse (const char *text, size_t length, sgr_target_load_t *load);

#endif
