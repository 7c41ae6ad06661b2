#include <stdio.h>
#include <string.h>

#include "siskingrade.h"

/* Uses the balancer as a library: simulates 1,000 attempts at three targets, one of which is slow,
   and prints how many attempts each target received.
   Build: cc embed.c $(pkg-config --cflags --libs siskingrade) */

#define TARGETS 3
#define ATTEMPTS 1000

int
main (void)
{
  static const uint64_t latency_us[TARGETS] = { 1000, 1000, 20000 };
  sgr_balancer_options_t options = { .policy = SGR_BALANCER_LOAD_LATENCY, .seed = 1 };
  sgr_balancer_t *balancer = sgr_balancer_create (&options);
  unsigned attempts[TARGETS + 1] = { 0 };
  uint64_t now_us = 1;

  if (balancer == NULL)
    return 1;
  for (uint64_t node = 1; node <= TARGETS; node++)
    {
      sgr_balancer_target_info_t info
          = { .node = node, .slots = 16, .state = SGR_TARGET_SERVING, .failure_domain = "a" };
      sgr_balancer_target_t target;

      if (sgr_balancer_target_add (balancer, now_us, &info, &target) != SGR_OK)
        return 1;
    }
  for (int i = 0; i < ATTEMPTS; i++)
    {
      sgr_balancer_target_t target = sgr_balancer_pick (balancer, now_us, NULL, 0);
      uint64_t node = sgr_balancer_target_info (balancer, target)->node;

      attempts[node]++;
      sgr_balancer_attempt_start (balancer, now_us, target);
      now_us += latency_us[node - 1];
      sgr_balancer_attempt_finish (balancer, now_us, target, SGR_OUTCOME_COMPLETE,
                                   latency_us[node - 1], false, NULL);
    }
  for (uint64_t node = 1; node <= TARGETS; node++)
    printf ("target %lu: %u attempts\n", node, attempts[node]);
  sgr_balancer_destroy (balancer);
  return 0;
}
