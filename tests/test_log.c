#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "call_log.h"
#include "ctl_explain.h"
#include "log.h"

/* Tests the log buffer, the selection of the requests that are logged, and sgr_ctl_explain(), which
   prints the lines of one request from several log files in the order of time. */

/* Multiplier of a multiplicative hash (Knuth), so that request ids differ in many bits. */
#define HASH_MULTIPLIER 2654435761u

/* Replaces standard output by a pipe; returns its reading end, which does not block. */
static int
stdout_capture_begin (int *saved)
{
  int ends[2];

  fflush (stdout);
  assert_int_equal (pipe (ends), 0);
  *saved = dup (STDOUT_FILENO);
  dup2 (ends[1], STDOUT_FILENO);
  close (ends[1]);
  fcntl (ends[0], F_SETFL, O_NONBLOCK);
  return ends[0];
}

static void
stdout_capture_end (int saved)
{
  dup2 (saved, STDOUT_FILENO);
  close (saved);
}

/* Reads all available output; returns whether it contains a text. */
static bool
output_contains (int fd, const char *wanted)
{
  static char text[1024 * 1024];
  size_t length = 0;
  ssize_t got;

  while ((got = read (fd, text + length, sizeof text - 1 - length)) > 0)
    length += (size_t)got;
  text[length] = '\0';
  return strstr (text, wanted) != NULL;
}

/* Guards against a process that blocks because nobody reads its log, and against lines that are
   dropped without notice: once the log is read again, it contains the number of dropped lines. */
static void
test_reader_that_does_not_read (void **state)
{
  char filler[901];
  bool is_drop_logged = false;
  int saved, fd = stdout_capture_begin (&saved);

  memset (filler, 'x', 900);
  filler[900] = '\0';
  sgr_log_setup ("node", SGR_LOG_INFO);
  sgr_log_buffer (true);
  for (int i = 0; i < 2000; i++)
    {
      sgr_log_info ("filler", "text=%s", filler);
      sgr_log_flush ();
    }
  for (int i = 0; i < 200 && !is_drop_logged; i++)
    {
      is_drop_logged = output_contains (fd, "event=log-dropped lines=");
      sgr_log_flush ();
    }
  sgr_log_info ("after", "text=back");
  sgr_log_buffer (false);
  assert_true (is_drop_logged);
  assert_true (output_contains (fd, "event=after text=back"));
  stdout_capture_end (saved);
  close (fd);
}

/* Guards against a log volume that grows with the number of failed requests, and against samples
   that differ between nodes. */
static void
test_log_request_selection (void **state)
{
  sgr_call_log_t *entry = sgr_call_log_create (), *gate = sgr_call_log_create ();
  uint64_t logged_failures = 0, logged_successes = 0;
  char id[32];

  sgr_log_setup ("node", SGR_LOG_INFO);
  for (uint64_t i = 0; i < 100000; i++)
    {
      uint64_t now_us = 1 + i * 100; /* the 100,000 requests span ten seconds */

      snprintf (id, sizeof id, "%lx", (unsigned long)(i * HASH_MULTIPLIER));
      logged_failures += sgr_call_log_should_log (entry, now_us, id, true);
      logged_successes += sgr_call_log_should_log (gate, now_us, id, false);
      assert_int_equal (sgr_call_log_should_log (entry, now_us, id, false),
                        sgr_call_log_should_log (gate, now_us, id, false));
    }
  /* Failures: a burst of 40, and 20 a second for ten seconds. Successes: one in 256 of 100,000. */
  assert_true (logged_failures >= 200 && logged_failures <= 300);
  assert_true (logged_successes > 200 && logged_successes < 800);
  sgr_log_setup ("node", SGR_LOG_ERROR);
  assert_false (sgr_call_log_should_log (entry, 1, id, true));
  sgr_call_log_destroy (entry);
  sgr_call_log_destroy (gate);
}

/* Guards against output that contains lines of another request, or that is sorted by file instead
   of by time. */
static void
test_explain (void **state)
{
  static const char *const texts[]
      = { "2026-01-01T00:00:02.000Z info node=a event=call-end id=r1 status=0\n"
          "2026-01-01T00:00:00.100Z info node=a event=call-attempt id=r1 attempt=0\n"
          "2026-01-01T00:00:00.200Z info node=a event=call-attempt id=r10 attempt=0\n",
          "prefix 2026-01-01T00:00:01.000Z info node=b event=gate-refused id=r1 reason=slow\n" };
  char paths[2][32], *files[2], *text = NULL;
  sgr_config_error_t error = { SGR_OK };
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  for (int i = 0; i < 2; i++)
    {
      int fd;

      strcpy (paths[i], "/tmp/siskingrade-log-XXXXXX");
      fd = mkstemp (paths[i]);
      assert_true (fd >= 0);
      assert_int_equal (write (fd, texts[i], strlen (texts[i])), (ssize_t)strlen (texts[i]));
      close (fd);
      files[i] = paths[i];
    }
  assert_int_equal (sgr_ctl_explain ("r1", files, 2, out, &error), SGR_OK);
  fclose (out);
  assert_string_equal (text,
                       "2026-01-01T00:00:00.100Z info node=a event=call-attempt id=r1 attempt=0\n"
                       "2026-01-01T00:00:01.000Z info node=b event=gate-refused id=r1 reason=slow\n"
                       "2026-01-01T00:00:02.000Z info node=a event=call-end id=r1 status=0\n");
  free (text);
  assert_int_equal (sgr_ctl_explain ("r2", files, 2, stdout, &error), SGR_ERR_NOT_FOUND);
  unlink (paths[0]);
  assert_int_equal (sgr_ctl_explain ("r1", files, 2, stdout, &error), SGR_ERR_INVALID);
  unlink (paths[1]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_reader_that_does_not_read),
    cmocka_unit_test (test_log_request_selection),
    cmocka_unit_test (test_explain),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
