#ifndef SGR_LABEL_H
#define SGR_LABEL_H

#include "types.h"

/* Characters that a label consists of. */
#define SGR_LABEL_CHARACTERS "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

/** sgr_label_is_valid() - whether a text is a label: 1 to SGR_NAME_MAX of SGR_LABEL_CHARACTERS */
bool sgr_label_is_valid (const char *text);

/**
 * sgr_label_of() - label that stands for a name of any length and any characters
 * @name: the name
 * @length: its length in bytes
 * @label: receives the label
 *
 * A name that is a valid label stands for itself. The label of another name begins like the name
 * and ends with its 128-bit hash, so that all nodes derive the same one, and different names have
 * different ones.
 */
void sgr_label_of (const char *name, size_t length, char label[SGR_NAME_MAX + 1]);

#endif
