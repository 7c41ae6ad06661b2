#include "label.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Most characters of a name at the start of its label: SGR_NAME_MAX without a separator and 32
   digits. */
#define START_MAX (SGR_NAME_MAX - 33)

bool
sgr_label_is_valid (const char *text)
{
  size_t length = strlen (text);

  return length >= 1 && length <= SGR_NAME_MAX && strspn (text, SGR_LABEL_CHARACTERS) == length;
}

void
sgr_label_of (const char *name, size_t length, char label[SGR_NAME_MAX + 1])
{
  XXH128_hash_t hash = XXH3_128bits (name, length);
  size_t start = length < START_MAX ? length : START_MAX;

  if (length <= SGR_NAME_MAX)
    {
      memcpy (label, name, length);
      label[length] = '\0';
      if (strlen (label) == length && sgr_label_is_valid (label))
        return;
    }
  for (size_t i = 0; i < start; i++)
    label[i] = name[i] != '\0' && strchr (SGR_LABEL_CHARACTERS, name[i]) != NULL ? name[i] : '_';
  snprintf (label + start, SGR_NAME_MAX + 1 - start, "-%016" PRIx64 "%016" PRIx64, hash.high64,
            hash.low64);
}
