#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "rng.h"
#include "store.h"

/** struct fake_faults_t - chances in percent of what may happen to a call */
typedef struct
{
  uint32_t unavailable;
  uint32_t lose_reply;
  uint32_t drop_write;
  uint32_t late_write;
  uint32_t stale_read;
  uint64_t delay_max_us;
} fake_faults_t;

typedef struct fake_store_t fake_store_t;

/** fake_store_create() - key-value service in virtual time; faults are drawn from @rng */
fake_store_t *fake_store_create (sgr_rng_t *rng);
void fake_store_destroy (fake_store_t *fake);
sgr_store_t *fake_store_interface (fake_store_t *fake);
fake_faults_t *fake_store_faults (fake_store_t *fake);

/** fake_store_once() - the next write to a key that contains @part has the fault of @faults */
void fake_store_once (fake_store_t *fake, const char *part, const fake_faults_t *faults);

/** fake_store_delay() - run a function later; the delay callback of the commit */
void fake_store_delay (fake_store_t *fake, uint64_t delay_us, void (*fire) (void *), void *ctx);

/** fake_store_step() - run the next event; false if none is left */
bool fake_store_step (fake_store_t *fake);
uint64_t fake_store_now (const fake_store_t *fake);

/** fake_store_read() - current value of a key, NULL if it does not exist */
const char *fake_store_read (fake_store_t *fake, const char *key, uint64_t *version);

#endif
