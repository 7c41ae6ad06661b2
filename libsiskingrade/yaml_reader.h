#ifndef SGR_YAML_READER_H
#define SGR_YAML_READER_H

#include "buffer.h"
#include "result.h"

/** A YAML file with checked access; every error names file, line, key and what was expected. */
typedef struct sgr_yaml_t sgr_yaml_t;

/** A node of the document, 0 if absent. */
typedef int sgr_yaml_node_t;

/**
 * sgr_yaml_load() - read and parse a file
 * @path: file to read
 * @errors: receives one line for each error
 *
 * Return: the document, NULL after an error.
 */
sgr_yaml_t *sgr_yaml_load (const char *path, sgr_buffer_t *errors);

/**
 * sgr_yaml_parse() - the same for text in memory
 * @name: name for messages
 * @text: the text
 * @length: bytes of @text
 * @errors: receives one line for each error
 */
sgr_yaml_t *sgr_yaml_parse (const char *name, const char *text, size_t length,
                            sgr_buffer_t *errors);

void sgr_yaml_destroy (sgr_yaml_t *yaml);

sgr_yaml_node_t sgr_yaml_root (const sgr_yaml_t *yaml);

/**
 * sgr_yaml_error() - report an error at a node
 * @yaml: the document
 * @node: where
 * @key: key or path that is wrong
 * @format: what was expected
 */
void sgr_yaml_error (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *format,
                     ...) __attribute__ ((format (printf, 4, 5)));

/**
 * sgr_yaml_mapping_check() - report unknown and duplicate keys of a mapping
 * @yaml: the document
 * @node: the mapping
 * @path: dotted path of the mapping for messages, "" for the root
 * @keys: known keys, ended by NULL
 *
 * Return: false if the node is no mapping.
 */
bool sgr_yaml_mapping_check (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *path,
                             const char *const *keys);

/** sgr_yaml_get() - value of a key of a mapping, 0 if absent or if @node is 0 */
sgr_yaml_node_t sgr_yaml_get (const sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key);

/** sgr_yaml_count() - length of a sequence, 0 for any other node */
size_t sgr_yaml_count (const sgr_yaml_t *yaml, sgr_yaml_node_t node);
sgr_yaml_node_t sgr_yaml_item (const sgr_yaml_t *yaml, sgr_yaml_node_t node, size_t index);

/** sgr_yaml_pair() - key and value of a mapping by index, false past the end */
bool sgr_yaml_pair (const sgr_yaml_t *yaml, sgr_yaml_node_t node, size_t index, const char **key,
                    sgr_yaml_node_t *value);

bool sgr_yaml_is_sequence (const sgr_yaml_t *yaml, sgr_yaml_node_t node);

/** sgr_yaml_scalar() - text of a scalar, NULL for any other node */
const char *sgr_yaml_scalar (const sgr_yaml_t *yaml, sgr_yaml_node_t node);

/** sgr_yaml_line() - line of a node, counted from 1 */
unsigned sgr_yaml_line (const sgr_yaml_t *yaml, sgr_yaml_node_t node);

/**
 * sgr_yaml_name_read() - read a name of letters, digits, "-", "_" and "."
 * @yaml: the document
 * @node: the mapping
 * @key: key in the mapping
 * @path: dotted path of the mapping for messages
 * @required: report an error if the key is absent
 * @name: receives the name, SGR_NAME_MAX + 1 bytes; unchanged if absent
 */
bool sgr_yaml_name_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *path,
                         bool required, char *name);

/**
 * sgr_yaml_number_read() - read a whole number within a range
 * @yaml: the document
 * @node: the mapping
 * @key: key in the mapping
 * @path: dotted path of the mapping for messages
 * @min: least value
 * @max: greatest value
 * @number: receives the number; unchanged if absent
 */
bool sgr_yaml_number_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key,
                           const char *path, uint64_t min, uint64_t max, uint64_t *number);

/** sgr_yaml_address_read() - read "IP:PORT" */
bool sgr_yaml_address_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key,
                            const char *path, bool required, sgr_address_t *address);

/** sgr_yaml_failed() - whether any error was reported */
bool sgr_yaml_failed (const sgr_yaml_t *yaml);

#endif
