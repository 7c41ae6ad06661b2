#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "membership_io.h"

#define LOOPBACK 0x7f000001U

static sgr_membership_options_t
options_of (const char *name, uint64_t seed)
{
  sgr_membership_options_t options;

  sgr_membership_options_init (&options);
  options.seed = seed;
  options.probe_period_ms = 40;
  options.probe_timeout_ms = 20;
  snprintf (options.self.name, sizeof options.self.name, "%s", name);
  options.self.boot = seed;
  options.self.boot_time_ms = 100;
  options.self.control_address = (sgr_address_t){ LOOPBACK, 0 };
  options.self.data_address = (sgr_address_t){ LOOPBACK, 1 };
  return options;
}

static void
count_change (void *ctx, const sgr_member_t *member)
{
  (*(int *)ctx)++;
}

/* Guards against creation errors that abort the process or leave an incomplete object. */
static void
test_bind_errors_returned (void **state)
{
  h2o_loop_t *loop = h2o_evloop_create ();
  sgr_membership_options_t options = options_of ("a", 1);
  sgr_membership_io_t *first;
  sgr_membership_io_t *second = NULL;
  sgr_member_t self;

  assert_int_equal (sgr_membership_io_create (loop, &options, NULL, NULL, &first), SGR_OK);
  sgr_membership_self_get (sgr_membership_io_membership (first), &self);
  assert_int_not_equal (self.control_address.port, 0);
  options = options_of ("b", 2);
  options.self.control_address = self.control_address;
  assert_int_equal (sgr_membership_io_create (loop, &options, NULL, NULL, &second),
                    SGR_ERR_CONFLICT);
  options.self.control_address
      = (sgr_address_t){ 0xc0000201U, 7000 }; /* 192.0.2.1, an address of no host */
  assert_int_equal (sgr_membership_io_create (loop, &options, NULL, NULL, &second), SGR_ERR_IO);
  options = options_of ("", 2);
  assert_int_equal (sgr_membership_io_create (loop, &options, NULL, NULL, &second),
                    SGR_ERR_INVALID);
  assert_null (second);
  sgr_membership_io_destroy (first);
  sgr_membership_io_destroy (NULL);
  h2o_evloop_run (loop, 0);
  h2o_evloop_destroy (loop);
}

/*
 * Guards against a socket or timer that stops working. The test then waits forever in a loop, until
 * the time limit of the test runner ends it.
 */
static void
test_nodes_join_over_loopback (void **state)
{
  static const char *names[] = { "a", "b", "c" };
  h2o_loop_t *loop = h2o_evloop_create ();
  sgr_membership_io_t *ios[3];
  sgr_membership_t *m[3];
  int changes = 0;
  uint8_t oversized[2000] = { 0 };
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (LOOPBACK) };
  sgr_member_t first;
  int fd = socket (AF_INET, SOCK_DGRAM, 0);

  for (uint64_t i = 0; i < 3; i++)
    {
      sgr_membership_options_t options = options_of (names[i], i + 1);

      assert_int_equal (sgr_membership_io_create (loop, &options, count_change, &changes, &ios[i]),
                        SGR_OK);
      m[i] = sgr_membership_io_membership (ios[i]);
      sgr_membership_self_get (m[0], &first);
      sgr_membership_contact_add (m[i], &first.control_address);
    }
  /* Each of the three nodes lists all three, and has reported the other two as changes. */
  while (sgr_membership_size (m[0]) + sgr_membership_size (m[1]) + sgr_membership_size (m[2]) < 9)
    h2o_evloop_run (loop, 100);
  assert_true (changes >= 6);
  to.sin_port = htons (first.control_address.port);
  sendto (fd, oversized, sizeof oversized, 0, (struct sockaddr *)&to, sizeof to);
  while (sgr_membership_counters (m[0])->malformed == 0)
    h2o_evloop_run (loop, 100);
  sgr_membership_leave (m[2], sgr_clock_monotonic_us ());
  while (sgr_membership_size (m[0]) != 2 || sgr_membership_size (m[1]) != 2)
    h2o_evloop_run (loop, 100);
  close (fd);
  for (int i = 0; i < 3; i++)
    sgr_membership_io_destroy (ios[i]);
  h2o_evloop_run (loop, 0);
  h2o_evloop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bind_errors_returned),
    cmocka_unit_test (test_nodes_join_over_loopback),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
