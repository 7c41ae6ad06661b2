#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "target_client.h"

/* Guards against a node that crashes when its target has announced another address or connection
   limit, and the client of the former one is destroyed. */
static void
test_destroy (void **state)
{
  const sgr_address_t address = { .ip = 0x7f000001, .port = 1 };
  h2o_loop_t *loop = h2o_evloop_create ();

  for (int i = 0; i < 3; i++)
    {
      sgr_target_client_t *client = sgr_target_client_create (loop, &address, 4);

      assert_true (sgr_target_client_is_idle (client));
      sgr_target_client_destroy (client);
    }
  /* The timers of a destroyed client must not be in the loop any more. */
  h2o_evloop_run (loop, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_destroy) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
