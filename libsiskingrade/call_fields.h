#ifndef SGR_CALL_FIELDS_H
#define SGR_CALL_FIELDS_H

#include "types.h"

/**
 * struct sgr_call_fields_t - names of the HTTP header fields that carry attributes of a call
 *
 * All names are in lower case. A deployment whose callers and targets use other names passes its
 * own table. Some fields are set by nodes alone, see sgr_call_fields_is_set_by_node().
 *
 * @deadline: in a request, milliseconds until the caller stops waiting
 * @request_id: in a request, its id; a target copies it into its answer
 * @instance: in a request to a target, the instance that is to run it
 * @caller_service: in a request to a target, service of the target beside the entry, where the call
 *                  began
 * @not_run: in an answer, present if the target did not run the request
 * @load: in an answer, load of the target, see sgr_target_load_parse()
 * @authorization: in a request, the key of the caller's client account; never passed on if the
 *                 configuration has accounts
 * @tenant: in a request to a target, name of the client account that the key belongs to; NULL if
 *          targets do not get it
 * @cold: in the answer of a target to a load query, milliseconds for which it stays cold; NULL if
 *        targets do not tell it
 * @is_request_id_echoed: every target copies the request id into its answers, so that an answer
 * without the id belongs to another request
 * @has_retry_fractions: Retry-After fields may contain fractions of a second
 */
typedef struct
{
  const char *deadline;
  const char *request_id;
  const char *instance;
  const char *caller_service;
  const char *not_run;
  const char *load;
  const char *authorization;
  const char *tenant;
  const char *cold;
  bool is_request_id_echoed;
  bool has_retry_fractions;
} sgr_call_fields_t;

/** Siskingrade's default names of the HTTP header fields. */
extern const sgr_call_fields_t sgr_call_fields_default;

/**
 * sgr_call_fields_is_set_by_node() - whether nodes set a field of requests themselves
 * @fields: names of the fields
 * @name: name of the field in any case, not zero-terminated
 * @length: its length in bytes
 *
 * A node does not forward such a field of a caller, so that callers cannot forge it.
 */
bool sgr_call_fields_is_set_by_node (const sgr_call_fields_t *fields, const char *name,
                                     size_t length);

/**
 * sgr_call_fields_is_of_account() - whether a field of requests concerns client accounts
 * @fields: names of the fields
 * @name: name of the field in any case, not zero-terminated
 * @length: its length in bytes
 *
 * With client accounts, a node does not forward such a field of a caller: its key, and fields that
 * a target could take for the name of the account. Some servers do not tell '-' from '_' in names,
 * so that neither does this function.
 */
bool sgr_call_fields_is_of_account (const sgr_call_fields_t *fields, const char *name,
                                    size_t length);

/**
 * struct sgr_target_load_t - load that a target reports in a header field of an answer
 * @running: requests that the target is running
 * @waiting: requests that wait at the target
 * @slots: requests that the target may run at a time
 * @cost_percent: current duration of requests in percent of their usual duration, 100 if the field
 *                does not contain it
 */
typedef struct
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t cost_percent;
} sgr_target_load_t;

/**
 * sgr_target_load_parse() - parse "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,COST_PERCENT"
 * @text: value of the header field, not zero-terminated
 * @length: its length in bytes
 * @load: receives the load
 *
 * Return: false if the text has another form; @load is then unchanged.
 */
bool sgr_target_load_parse (const char *text, size_t length, sgr_target_load_t *load);

#endif
