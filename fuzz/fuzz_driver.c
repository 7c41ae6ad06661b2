#include <dirent.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rng.h"

/* Stands in for libFuzzer where its runtime is missing: a bounded number of seeded mutations of the
   files of a folder. Usage: PROGRAM FOLDER RUNS */

#define INPUT_MAX 16384
#define SEEDS_MAX 64

int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t length);

typedef struct
{
  uint8_t bytes[INPUT_MAX];
  size_t length;
} seed_t;

static seed_t seeds[SEEDS_MAX];
static size_t seed_count;

static void
seeds_load (const char *folder)
{
  struct dirent **entries;
  int count = scandir (folder, &entries, NULL, alphasort);

  for (int i = 0; i < count; i++)
    {
      char path[512];
      FILE *file;

      snprintf (path, sizeof path, "%s/%s", folder, entries[i]->d_name);
      if (entries[i]->d_name[0] != '.' && seed_count < SEEDS_MAX
          && (file = fopen (path, "r")) != NULL)
        {
          seeds[seed_count].length = fread (seeds[seed_count].bytes, 1, INPUT_MAX / 2, file);
          seed_count++;
          fclose (file);
        }
      free (entries[i]);
    }
  if (count >= 0)
    free (entries);
}

static size_t
mutate (sgr_rng_t *rng, uint8_t *bytes, size_t length)
{
  size_t at = length > 0 ? sgr_rng_next (rng) % length : 0;
  size_t size = 1 + sgr_rng_next (rng) % 32;

  switch (sgr_rng_next (rng) % 5)
    {
    case 0: /* change a byte */
      if (length > 0)
        bytes[at] = (uint8_t)sgr_rng_next (rng);
      return length;
    case 1: /* flip a bit */
      if (length > 0)
        bytes[at] ^= (uint8_t)(1U << (sgr_rng_next (rng) % 8));
      return length;
    case 2: /* cut */
      return at;
    case 3: /* repeat a part */
      if (at + size > length || length + size > INPUT_MAX)
        return length;
      memmove (bytes + at + size, bytes + at, length - at);
      return length + size;
    default: /* remove a part */
      if (at + size > length)
        return length;
      memmove (bytes + at, bytes + at + size, length - at - size);
      return length - size;
    }
}

int
main (int argc, char **argv)
{
  static uint8_t bytes[INPUT_MAX];
  long runs = argc == 3 ? strtol (argv[2], NULL, 10) : 0;
  sgr_rng_t rng;

  if (argc == 3)
    seeds_load (argv[1]);
  if (seed_count == 0 || runs <= 0)
    {
      fprintf (stderr, "usage: %s FOLDER RUNS\n", argv[0]);
      return 64;
    }
  sgr_rng_seed (&rng, 1);
  for (long i = 0; i < runs; i++)
    {
      const seed_t *seed = &seeds[sgr_rng_next (&rng) % seed_count];
      size_t length = seed->length;
      unsigned changes = (unsigned)(sgr_rng_next (&rng) % 6);
      uint8_t *input;

      memcpy (bytes, seed->bytes, length);
      for (unsigned j = 0; j < changes; j++)
        length = mutate (&rng, bytes, length);
      /* An allocation of the exact size lets the sanitizer see reads beyond the end. */
      input = malloc (length > 0 ? length : 1);
      if (input == NULL)
        return 71;
      memcpy (input, bytes, length);
      LLVMFuzzerTestOneInput (input, length);
      free (input);
    }
  printf ("%ld inputs\n", runs);
  return 0;
}
