#ifndef SGR_RESULT_H
#define SGR_RESULT_H

/**
 * enum sgr_result_t - outcome of an operation
 * @SGR_OK: done
 * @SGR_ERR_INVALID: the input is malformed or out of range
 * @SGR_ERR_LIMIT: a configured limit would be exceeded
 * @SGR_ERR_CONFLICT: another writer or another request came first
 * @SGR_ERR_NOT_FOUND: no such object
 * @SGR_ERR_UNAVAILABLE: the remote end cannot be reached at present
 * @SGR_ERR_DENIED: the requester may not do this
 * @SGR_ERR_NO_MEMORY: allocation failed
 * @SGR_ERR_IO: a system call failed, see errno
 */
typedef enum
{
  SGR_OK = 0,
  SGR_ERR_INVALID,
  SGR_ERR_LIMIT,
  SGR_ERR_CONFLICT,
  SGR_ERR_NOT_FOUND,
  SGR_ERR_UNAVAILABLE,
  SGR_ERR_DENIED,
  SGR_ERR_NO_MEMORY,
  SGR_ERR_IO,
} sgr_result_t;

/**
 * sgr_result_name() - short lower-case name of a result
 * @result: the result
 *
 * Return: a static string.
 */
const char *sgr_result_name (sgr_result_t result);

/**
 * sgr_invariant() - abort the process with a message if a condition is false
 * @condition: condition that only a defect of the code or a failed allocation makes false
 */
#define sgr_invariant(condition)                                                                   \
  ((condition) ? (void)0 : sgr_invariant_failed (#condition, __FILE__, __LINE__))

_Noreturn void sgr_invariant_failed (const char *condition, const char *file, int line);

#endif
