#ifndef SGR_BUFFER_H
#define SGR_BUFFER_H

#include "types.h"

/**
 * struct sgr_buffer_t - growable byte buffer; a zero-initialized one is empty
 * @bytes: the content
 * @length: length of the content in bytes
 * @capacity: allocated bytes
 */
typedef struct
{
  uint8_t *bytes;
  size_t length;
  size_t capacity;
} sgr_buffer_t;

/**
 * sgr_buffer_reserve() - allocate space after the content
 * @buffer: the buffer
 * @extra: bytes needed
 *
 * Aborts the process if memory is exhausted.
 *
 * Return: the address after the content. Code that writes there has to increase @length afterwards.
 */
uint8_t *sgr_buffer_reserve (sgr_buffer_t *buffer, size_t extra);

/**
 * sgr_buffer_reserve_exact() - allocate space after the content, without space for growth
 * @buffer: the buffer
 * @extra: bytes needed
 *
 * For a length that is known in advance. sgr_buffer_reserve() allocates up to twice as much.
 */
void sgr_buffer_reserve_exact (sgr_buffer_t *buffer, size_t extra);

/** sgr_buffer_append() - append bytes */
void sgr_buffer_append (sgr_buffer_t *buffer, const void *bytes, size_t length);

/**
 * sgr_buffer_printf() - append formatted text; its terminating zero is not part of the content
 * @buffer: the buffer
 * @format: printf format
 */
void sgr_buffer_printf (sgr_buffer_t *buffer, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/**
 * sgr_buffer_consume() - remove bytes from the front
 * @buffer: the buffer
 * @length: bytes to remove, at most the length of the content
 */
void sgr_buffer_consume (sgr_buffer_t *buffer, size_t length);

/** sgr_buffer_release() - free the content; the buffer is then empty and can be used again */
void sgr_buffer_release (sgr_buffer_t *buffer);

#endif
