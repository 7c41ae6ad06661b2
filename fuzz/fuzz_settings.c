#include <stdint.h>
#include <stdlib.h>

#include "settings.h"

/* Fuzzes the settings parser, which must report errors if it refuses a text and none otherwise. */

int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t length);

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t length)
{
  sgr_settings_t settings;
  sgr_buffer_t errors = { 0 };
  sgr_result_t result
      = sgr_settings_parse (&settings, "fuzz", (const char *)bytes, length, &errors);

  if ((result == SGR_OK) != (errors.length == 0))
    abort ();
  sgr_buffer_release (&errors);
  return 0;
}
