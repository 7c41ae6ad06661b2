#ifndef SGR_RNG_H
#define SGR_RNG_H

#include <stdint.h>

/**
 * struct sgr_rng_t - deterministic pseudo-random generator (xorshift64*); not for secrets
 */
typedef struct
{
  uint64_t state;
} sgr_rng_t;

/**
 * sgr_rng_seed() - initialize a generator
 * @rng: the generator
 * @seed: any number; equal seeds give equal sequences
 */
void sgr_rng_seed (sgr_rng_t *rng, uint64_t seed);

/** sgr_rng_next() - pseudo-random number of 64 bits, never 0 */
uint64_t sgr_rng_next (sgr_rng_t *rng);

/**
 * sgr_rng_below() - uniform number below a bound
 * @rng: the generator
 * @bound: exclusive bound, at least 1
 */
uint64_t sgr_rng_below (sgr_rng_t *rng, uint64_t bound);

/**
 * sgr_rng_uniform() - uniform number in [0, 1)
 * @rng: the generator
 */
double sgr_rng_uniform (sgr_rng_t *rng);

#endif
