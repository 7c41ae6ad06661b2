#ifndef SGR_TARGET_HEAD_H
#define SGR_TARGET_HEAD_H

#include <stdbool.h>
#include <stddef.h>

/**
 * sgr_target_head_is_valid() - check the head of a target's answer before h2o parses it
 * @bytes: received bytes; the head may be incomplete
 * @length: number of received bytes
 *
 * h2o 2.2.5 fails an assertion, which aborts the process, on a Content-Length that is not a number
 * and on a Transfer-Encoding other than "chunked".
 *
 * Return: false if the received lines contain such a field or a folded line.
 */
bool sgr_target_head_is_valid (const char *bytes, size_t length);

#endif
