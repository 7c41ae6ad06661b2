#include <dirent.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rng.h"

/* Replaces libFuzzer where its runtime is not installed: calls the fuzz target with RUNS inputs,
   each a randomly mutated copy of a file in FOLDER. The random numbers have a fixed seed, so that a
   failure can be reproduced. Usage: PROGRAM FOLDER RUNS */

#define INPUT_BYTES_MAX 16384
#define CORPUS_FILES_MAX 64
#define PART_BYTES_MAX 32
#define MUTATIONS_MAX 5
/* Exit statuses of sysexits.h. */
#define EXIT_USAGE 64
#define EXIT_OS_ERROR 71

int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t length);

/**
 * struct corpus_file_t - a file of the corpus
 * @bytes: the first INPUT_BYTES_MAX / 2 bytes of the file, so that mutations can make an input
 * longer
 * @length: used length of @bytes
 */
typedef struct
{
  uint8_t bytes[INPUT_BYTES_MAX];
  size_t length;
} corpus_file_t;

static corpus_file_t corpus[CORPUS_FILES_MAX];
static size_t corpus_count;

static void
corpus_load (const char *folder)
{
  struct dirent **entries;
  int entry_count = scandir (folder, &entries, NULL, alphasort);

  for (int i = 0; i < entry_count; i++)
    {
      char path[512];
      FILE *file;

      snprintf (path, sizeof path, "%s/%s", folder, entries[i]->d_name);
      if (entries[i]->d_name[0] != '.' && corpus_count < CORPUS_FILES_MAX
          && (file = fopen (path, "r")) != NULL)
        {
          corpus[corpus_count].length
              = fread (corpus[corpus_count].bytes, 1, INPUT_BYTES_MAX / 2, file);
          corpus_count++;
          fclose (file);
        }
      free (entries[i]);
    }
  if (entry_count >= 0)
    free (entries);
}

/* Applies one random mutation to @bytes and returns the new length. */
static size_t
mutate (sgr_rng_t *rng, uint8_t *bytes, size_t length)
{
  size_t offset = length > 0 ? sgr_rng_next (rng) % length : 0;
  size_t part_length = 1 + sgr_rng_next (rng) % PART_BYTES_MAX;

  switch (sgr_rng_next (rng) % 5)
    {
    case 0: /* change a byte */
      if (length > 0)
        bytes[offset] = (uint8_t)sgr_rng_next (rng);
      return length;
    case 1: /* flip a bit */
      if (length > 0)
        bytes[offset] ^= (uint8_t)(1U << (sgr_rng_next (rng) % 8));
      return length;
    case 2: /* truncate the input */
      return offset;
    case 3: /* duplicate a byte range */
      if (offset + part_length > length || length + part_length > INPUT_BYTES_MAX)
        return length;
      memmove (bytes + offset + part_length, bytes + offset, length - offset);
      return length + part_length;
    default: /* remove a byte range */
      if (offset + part_length > length)
        return length;
      memmove (bytes + offset, bytes + offset + part_length, length - offset - part_length);
      return length - part_length;
    }
}

int
main (int argc, char **argv)
{
  static uint8_t bytes[INPUT_BYTES_MAX];
  long runs = argc == 3 ? strtol (argv[2], NULL, 10) : 0;
  sgr_rng_t rng;

  if (argc == 3)
    corpus_load (argv[1]);
  if (corpus_count == 0 || runs <= 0)
    {
      fprintf (stderr, "usage: %s FOLDER RUNS\n", argv[0]);
      return EXIT_USAGE;
    }
  sgr_rng_seed (&rng, 1);
  for (long i = 0; i < runs; i++)
    {
      const corpus_file_t *corpus_file = &corpus[sgr_rng_next (&rng) % corpus_count];
      size_t length = corpus_file->length;
      unsigned mutations = (unsigned)(sgr_rng_next (&rng) % (MUTATIONS_MAX + 1));
      uint8_t *input;

      memcpy (bytes, corpus_file->bytes, length);
      for (unsigned j = 0; j < mutations; j++)
        length = mutate (&rng, bytes, length);
      /* An allocation of the exact size lets AddressSanitizer detect reads beyond the end. */
      input = malloc (length > 0 ? length : 1);
      if (input == NULL)
        return EXIT_OS_ERROR;
      memcpy (input, bytes, length);
      LLVMFuzzerTestOneInput (input, length);
      free (input);
    }
  printf ("%ld inputs\n", runs);
  return 0;
}
