#ifndef SGR_BUFFER_H
#define SGR_BUFFER_H

#include "types.h"

/**
 * struct sgr_buffer_t - growable bytes; all zero is an empty buffer
 * @bytes: the content
 * @length: used bytes
 * @capacity: allocated bytes
 */
typedef struct
{
  uint8_t *bytes;
  size_t length;
  size_t capacity;
} sgr_buffer_t;

/**
 * sgr_buffer_reserve() - make room after the used bytes
 * @buffer: the buffer
 * @extra: bytes wanted
 *
 * Return: where to write; the caller then adds to @length.
 */
uint8_t *sgr_buffer_reserve (sgr_buffer_t *buffer, size_t extra);

void sgr_buffer_append (sgr_buffer_t *buffer, const void *bytes, size_t length);

/**
 * sgr_buffer_printf() - append formatted text; the terminating zero is not counted
 * @buffer: the buffer
 * @format: printf format
 */
void sgr_buffer_printf (sgr_buffer_t *buffer, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/**
 * sgr_buffer_consume() - drop bytes from the front
 * @buffer: the buffer
 * @length: bytes to drop, at most the used ones
 */
void sgr_buffer_consume (sgr_buffer_t *buffer, size_t length);

void sgr_buffer_release (sgr_buffer_t *buffer);

#endif
