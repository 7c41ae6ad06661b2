#ifndef SGR_TARGET_HEAD_H
#define SGR_TARGET_HEAD_H

#include <stdbool.h>
#include <stddef.h>

/**
 * sgr_target_head_is_valid() - check the head of an answer before h2o parses it
 * @bytes: received bytes; the head may be incomplete
 * @length: how many
 *
 * h2o 2.2.5 aborts the process by an assertion on a length that is no number and on a transfer
 * coding other than "chunked".
 *
 * Return: false if the part that is there has such a field or a folded line.
 */
bool sgr_target_head_is_valid (const char *bytes, size_t length);

#endif
