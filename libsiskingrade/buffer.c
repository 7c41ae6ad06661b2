#include "buffer.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "result.h"

#define MIN_CAPACITY_BYTES 256

uint8_t *
sgr_buffer_reserve (sgr_buffer_t *buffer, size_t extra)
{
  size_t needed = buffer->length + extra;
  size_t capacity = buffer->capacity;

  if (needed > capacity)
    {
      if (capacity < MIN_CAPACITY_BYTES)
        capacity = MIN_CAPACITY_BYTES;
      while (capacity < needed)
        capacity *= 2;
      buffer->bytes = realloc (buffer->bytes, capacity);
      sgr_invariant (buffer->bytes != NULL);
      buffer->capacity = capacity;
    }
  return buffer->bytes + buffer->length;
}

void
sgr_buffer_reserve_exact (sgr_buffer_t *buffer, size_t extra)
{
  size_t needed = buffer->length + extra;

  if (needed <= buffer->capacity)
    return;
  buffer->bytes = realloc (buffer->bytes, needed);
  sgr_invariant (buffer->bytes != NULL);
  buffer->capacity = needed;
}

void
sgr_buffer_append (sgr_buffer_t *buffer, const void *bytes, size_t length)
{
  if (length == 0)
    return;
  memcpy (sgr_buffer_reserve (buffer, length), bytes, length);
  buffer->length += length;
}

void
sgr_buffer_printf (sgr_buffer_t *buffer, const char *format, ...)
{
  va_list args;
  int length;

  va_start (args, format);
  length = vsnprintf (NULL, 0, format, args);
  va_end (args);
  sgr_invariant (length >= 0);
  sgr_buffer_reserve (buffer, (size_t)length + 1);
  va_start (args, format);
  vsnprintf ((char *)buffer->bytes + buffer->length, (size_t)length + 1, format, args);
  va_end (args);
  buffer->length += (size_t)length;
}

void
sgr_buffer_consume (sgr_buffer_t *buffer, size_t length)
{
  sgr_invariant (length <= buffer->length);
  buffer->length -= length;
  if (buffer->length > 0)
    memmove (buffer->bytes, buffer->bytes + length, buffer->length);
}

void
sgr_buffer_release (sgr_buffer_t *buffer)
{
  free (buffer->bytes);
  *buffer = (sgr_buffer_t){ 0 };
}
