#ifndef SGR_YAML_READER_H
#define SGR_YAML_READER_H

#include "buffer.h"
#include "result.h"

/** A YAML document. Each error names the file, the line, the key and what was expected. */
typedef struct sgr_yaml_t sgr_yaml_t;

/** Reference to a node of a YAML document, 0 for an absent node. */
typedef int sgr_yaml_node_t;

/**
 * sgr_yaml_load() - read and parse a file
 * @path: path of the file
 * @errors: receives one line for each error, including errors that are reported later; must outlive
 *          the document
 *
 * Return: the document, NULL after an error.
 */
sgr_yaml_t *sgr_yaml_load (const char *path, sgr_buffer_t *errors);

/**
 * sgr_yaml_parse() - parse text in memory as sgr_yaml_load() does
 * @name: file name for error messages
 * @text: YAML text
 * @length: length of @text in bytes
 * @errors: see sgr_yaml_load()
 *
 * Return: the document, NULL after an error.
 */
sgr_yaml_t *sgr_yaml_parse (const char *name, const char *text, size_t length,
                            sgr_buffer_t *errors);

void sgr_yaml_destroy (sgr_yaml_t *yaml);

sgr_yaml_node_t sgr_yaml_root (const sgr_yaml_t *yaml);

/**
 * sgr_yaml_error() - report an error at a node
 * @yaml: the document
 * @node: node whose line is given
 * @key: key or dotted path that the error is about
 * @format: printf format of the message
 */
void sgr_yaml_error (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *format,
                     ...) __attribute__ ((format (printf, 4, 5)));

/**
 * sgr_yaml_mapping_check() - report unknown and duplicate keys of a mapping
 * @yaml: the document
 * @node: the mapping
 * @path: dotted path of the mapping for error messages, "" for the root
 * @keys: known keys, terminated by NULL; NULL if all keys are allowed
 *
 * Return: false if the node is not a mapping, which is reported, too.
 */
bool sgr_yaml_mapping_check (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *path,
                             const char *const *keys);

/** sgr_yaml_get() - value of a key of a mapping, 0 if the key is absent or @node is no mapping */
sgr_yaml_node_t sgr_yaml_get (const sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key);

/** sgr_yaml_count() - length of a sequence, 0 for any other node */
size_t sgr_yaml_count (const sgr_yaml_t *yaml, sgr_yaml_node_t node);

/** sgr_yaml_item() - item of a sequence; @index must be less than sgr_yaml_count() */
sgr_yaml_node_t sgr_yaml_item (const sgr_yaml_t *yaml, sgr_yaml_node_t node, size_t index);

/**
 * sgr_yaml_pair() - key and value of a mapping by index
 *
 * Return: false past the end, if @node is not a mapping or if the key is not a scalar.
 */
bool sgr_yaml_pair (const sgr_yaml_t *yaml, sgr_yaml_node_t node, size_t index, const char **key,
                    sgr_yaml_node_t *value);

bool sgr_yaml_is_sequence (const sgr_yaml_t *yaml, sgr_yaml_node_t node);

/** sgr_yaml_scalar() - text of a scalar, NULL for any other node and for text with a NUL byte */
const char *sgr_yaml_scalar (const sgr_yaml_t *yaml, sgr_yaml_node_t node);

/** sgr_yaml_line() - line number of a node, counted from 1; 1 for an absent node */
unsigned sgr_yaml_line (const sgr_yaml_t *yaml, sgr_yaml_node_t node);

/**
 * sgr_yaml_name_read() - read a name of letters, digits, "-", "_" and "."
 * @yaml: the document
 * @node: the mapping
 * @key: key in the mapping
 * @path: dotted path of the mapping for error messages
 * @required: whether to report an error if the key is absent
 * @name: receives the name, SGR_NAME_MAX + 1 bytes; unchanged if the key is absent or invalid
 *
 * Return: false if the key is absent or invalid. An invalid name is reported.
 */
bool sgr_yaml_name_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *path,
                         bool required, char *name);

/**
 * sgr_yaml_number_read() - read a whole number within a range
 * @yaml: the document
 * @node: the mapping
 * @key: key in the mapping
 * @path: dotted path of the mapping for error messages
 * @min: smallest valid number
 * @max: largest valid number
 * @number: receives the number; unchanged if the key is absent or invalid
 *
 * Return: false if the key is absent or invalid. An invalid number is reported.
 */
bool sgr_yaml_number_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key,
                           const char *path, uint64_t min, uint64_t max, uint64_t *number);

/**
 * sgr_yaml_duration_read() - read a duration such as "1500ms" or "2.5s"
 * @yaml: the document
 * @node: the mapping
 * @key: key in the mapping
 * @path: dotted path of the mapping for error messages
 * @min_ms: shortest valid duration in milliseconds
 * @max_ms: longest valid duration in milliseconds
 * @duration_ms: receives the duration in whole milliseconds; unchanged if the key is absent or
 * invalid
 *
 * Return: false if the key is absent or invalid. An invalid duration is reported.
 */
bool sgr_yaml_duration_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key,
                             const char *path, uint64_t min_ms, uint64_t max_ms,
                             uint64_t *duration_ms);

/** sgr_yaml_decimal_read() - read a decimal number from 0 to @max as sgr_yaml_number_read() reads a
 * whole number */
bool sgr_yaml_decimal_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key,
                            const char *path, uint32_t max, double *value);

/** sgr_yaml_share_read() - read a decimal number from 0 to 1 as sgr_yaml_number_read() reads a
 * whole number */
bool sgr_yaml_share_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, const char *path,
                          double *share);

/** sgr_yaml_address_read() - read an address "IP:PORT" as sgr_yaml_name_read() reads a name */
bool sgr_yaml_address_read (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key,
                            const char *path, bool required, sgr_address_t *address);

/** sgr_yaml_failed() - whether any error was reported */
bool sgr_yaml_failed (const sgr_yaml_t *yaml);

#endif
