#include <stddef.h>
#include <stdint.h>

#include "config_state.h"
#include "platform.h"

/* Fuzzes the parsers of the platform's configuration documents and heartbeats. Any bytes must be
   either accepted or refused, without a crash or a sanitizer error. */

int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t length);

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t length)
{
  sgr_config_owners_t owners = { 0 };
  sgr_config_state_t *state = sgr_config_state_create (&owners, 2);
  sgr_config_error_t error = { SGR_OK };
  sgr_announcement_t announcement;

  sgr_config_state_source_set (state, sgr_platform_adapter.config);
  sgr_config_state_offer (state, bytes, length, &error);
  sgr_config_state_destroy (state);
  sgr_platform_heartbeat_read ("i-1", (const char *)bytes, length, &announcement, &error);
  return 0;
}
