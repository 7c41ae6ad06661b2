#ifndef SGR_CONFIG_LIST_H
#define SGR_CONFIG_LIST_H

#include "buffer.h"

/**
 * struct sgr_config_element_t - an element of a list in a JSON text
 * @text: its text, part of the text that was split, without white space around it
 * @length: its length in bytes
 */
typedef struct
{
  const char *text;
  size_t length;
} sgr_config_element_t;

/**
 * struct sgr_config_list_t - a JSON text, split at a list of its top-level object
 * @envelope: the text with an empty list, owned by this object
 * @elements: elements of the list in their order, owned by this object
 * @count: number of elements
 *
 * If the envelope and each element are valid JSON on their own, so is the text that was split.
 */
typedef struct
{
  sgr_buffer_t envelope;
  sgr_config_element_t *elements;
  size_t count;
} sgr_config_list_t;

/**
 * sgr_config_list_split() - split a JSON text without parsing its elements
 * @list: receives the parts; release it with sgr_config_list_release() also after a failure
 * @text: the text
 * @length: its length in bytes
 * @key: key of the list in the top-level object, without characters that JSON escapes
 *
 * The text need not be valid JSON; only strings, brackets and commas are looked at.
 *
 * Return: false if no such list was found, or if it does not end.
 */
bool sgr_config_list_split (sgr_config_list_t *list, const char *text, size_t length,
                            const char *key);

void sgr_config_list_release (sgr_config_list_t *list);

#endif
