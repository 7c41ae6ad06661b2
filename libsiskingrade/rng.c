#include "rng.h"

#define SEED_INCREMENT 0x9e3779b97f4a7c15ULL

void
sgr_rng_seed (sgr_rng_t *rng, uint64_t seed)
{
  /* One step of splitmix64, so that consecutive seeds give unrelated sequences. */
  uint64_t z = seed + SEED_INCREMENT;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  /* The state of xorshift must not be 0. */
  rng->state = (z ^ (z >> 31)) | 1;
}

uint64_t
sgr_rng_next (sgr_rng_t *rng)
{
  uint64_t x = rng->state;

  x ^= x >> 12;
  x ^= x << 25;
  x ^= x >> 27;
  rng->state = x;
  return x * 0x2545f4914f6cdd1dULL;
}

uint64_t
sgr_rng_below (sgr_rng_t *rng, uint64_t bound)
{
  return (uint64_t)(((unsigned __int128)sgr_rng_next (rng) * bound) >> 64);
}

double
sgr_rng_uniform (sgr_rng_t *rng)
{
  return (double)(sgr_rng_next (rng) >> 11) * 0x1.0p-53;
}
