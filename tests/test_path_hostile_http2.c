#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "buffer.h"
#include "crowd.h"

/* The crowd of test_path_hostile.c over HTTP/2 with prior knowledge. The frames are written here;
   what the node sends is not read. */

#define BODY_CONNECTIONS 12
/* Together below the 16 MiB that a connection of h2o takes without an update of its window. */
#define BODY_STREAMS 3
#define ANSWER_CONNECTIONS 8
#define ANSWER_STREAMS 64
#define ANSWER_PATH "/bytes/200000"
#define DATA_FRAME_BYTES 16384

enum
{
  FRAME_DATA = 0,
  FRAME_HEADERS = 1,
  FRAME_SETTINGS = 4,
  FLAG_END_STREAM = 1,
  FLAG_END_HEADERS = 4,
};

static void
frame_header_append (sgr_buffer_t *out, size_t length, uint8_t type, uint8_t flags, uint32_t stream)
{
  uint8_t header[9] = {
    (uint8_t)(length >> 16), (uint8_t)(length >> 8),  (uint8_t)length,        type,           flags,
    (uint8_t)(stream >> 24), (uint8_t)(stream >> 16), (uint8_t)(stream >> 8), (uint8_t)stream
  };

  sgr_buffer_append (out, header, sizeof header);
}

/* Appends a field of a head as a literal that is not added to the table of HPACK; @index is that of
   the name in the static table, 0 for a name of its own. Lengths below 127 only. */
static void
field_append (sgr_buffer_t *out, uint8_t index, const char *name, const char *value)
{
  uint8_t length = (uint8_t)strlen (value);

  sgr_buffer_append (out, &index, 1);
  if (index == 0)
    {
      uint8_t name_length = (uint8_t)strlen (name);

      sgr_buffer_append (out, &name_length, 1);
      sgr_buffer_append (out, name, name_length);
    }
  sgr_buffer_append (out, &length, 1);
  sgr_buffer_append (out, value, length);
}

static void
request_append (sgr_buffer_t *out, uint32_t stream, const char *method, const char *path,
                const char *fault, bool has_body)
{
  sgr_buffer_t head = { 0 };

  field_append (&head, 2, NULL, method);
  field_append (&head, 6, NULL, "http");
  field_append (&head, 4, NULL, path);
  field_append (&head, 1, NULL, "one");
  field_append (&head, 0, "siskingrade-service", "one");
  field_append (&head, 0, "siskingrade-deadline-ms", "60000");
  field_append (&head, 0, "x-request-id", "crowd");
  if (fault != NULL)
    field_append (&head, 0, "x-fault", fault);
  frame_header_append (out, head.length, FRAME_HEADERS,
                       has_body ? FLAG_END_HEADERS : FLAG_END_HEADERS | FLAG_END_STREAM, stream);
  sgr_buffer_append (out, head.bytes, head.length);
  sgr_buffer_release (&head);
}

/* Opens a connection whose windows for answers hold @window bytes a stream. */
static int
connection_open (sgr_crowd_t *crowd, uint32_t window)
{
  static const char preface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  uint8_t setting[6] = { 0,
                         4, /* SETTINGS_INITIAL_WINDOW_SIZE */
                         (uint8_t)(window >> 24),
                         (uint8_t)(window >> 16),
                         (uint8_t)(window >> 8),
                         (uint8_t)window };
  sgr_buffer_t out = { 0 };
  int fd = sgr_crowd_connect (crowd);

  sgr_buffer_append (&out, preface, strlen (preface));
  frame_header_append (&out, sizeof setting, FRAME_SETTINGS, 0, 0);
  sgr_buffer_append (&out, setting, sizeof setting);
  sgr_crowd_send (fd, out.bytes, out.length);
  sgr_buffer_release (&out);
  return fd;
}

/* Sends a body without its last byte, or with it if @is_whole. */
static bool
body_send (int fd, uint32_t stream, size_t length, bool is_whole)
{
  for (size_t left = is_whole ? length : length - 1; left > 0;)
    {
      size_t part = left < DATA_FRAME_BYTES ? left : DATA_FRAME_BYTES;
      sgr_buffer_t header = { 0 };
      bool is_sent;

      left -= part;
      frame_header_append (&header, part, FRAME_DATA, is_whole && left == 0 ? FLAG_END_STREAM : 0,
                           stream);
      is_sent = sgr_crowd_send (fd, header.bytes, header.length) && sgr_crowd_fill (fd, part);
      sgr_buffer_release (&header);
      if (!is_sent)
        return false;
    }
  return true;
}

static void
bodies_send (sgr_crowd_t *crowd, bool is_whole)
{
  for (int i = 0; i < BODY_CONNECTIONS; i++)
    {
      int fd = connection_open (crowd, 65535);

      for (uint32_t j = 0; j < BODY_STREAMS; j++)
        {
          sgr_buffer_t head = { 0 };

          request_append (&head, 2 * j + 1, "POST", "/x", "hang", true);
          if (sgr_crowd_send (fd, head.bytes, head.length))
            body_send (fd, 2 * j + 1, SGR_CROWD_BODY_BYTES, is_whole);
          sgr_buffer_release (&head);
        }
    }
  sgr_crowd_check (crowd);
}

/* Guards against whole bodies of many streams that wait for a target. */
static void
test_whole_bodies (void **state)
{
  bodies_send (*state, true);
}

/* Guards against bodies of many streams that stop before their last byte. */
static void
test_unfinished_bodies (void **state)
{
  bodies_send (*state, false);
}

/* Guards against answers that wait for windows which their callers never open. */
static void
test_closed_windows (void **state)
{
  sgr_crowd_t *crowd = *state;

  for (int i = 0; i < ANSWER_CONNECTIONS; i++)
    {
      int fd = connection_open (crowd, 0);

      for (uint32_t j = 0; j < ANSWER_STREAMS; j++)
        {
          sgr_buffer_t head = { 0 };

          request_append (&head, 2 * j + 1, "GET", ANSWER_PATH, NULL, false);
          sgr_crowd_send (fd, head.bytes, head.length);
          sgr_buffer_release (&head);
          /* Lets the gate work off its queue, which holds fewer requests than the crowd sends. */
          if (j % 16 == 15)
            sgr_crowd_call (crowd);
        }
    }
  sgr_crowd_check (crowd);
}

#define CROWD_TEST(test) cmocka_unit_test_setup_teardown (test, sgr_crowd_setup, sgr_crowd_teardown)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CROWD_TEST (test_whole_bodies),
    CROWD_TEST (test_unfinished_bodies),
    CROWD_TEST (test_closed_windows),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
