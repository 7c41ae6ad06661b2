#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "rng.h"
#include "store.h"

/**
 * struct fake_faults_t - probabilities of the faults of a call in percent, and its longest delay
 * @unavailable: a call has no effect, with outcome SGR_STORE_UNAVAILABLE
 * @lose_reply: a write takes effect, with outcome SGR_STORE_UNKNOWN
 * @drop_write: a write is lost and has no effect, with outcome SGR_STORE_UNKNOWN; if @late_write
 *              is above 0, the write is not lost but late
 * @late_write: a write is tried up to 2 s after it was sent, with outcome SGR_STORE_UNKNOWN
 * @stale_read: a read returns the previous value and version of its key, if there are any
 * @delay_max_us: bound of the random time that a call takes, in virtual microseconds; ignored by
 *                fake_store_fault_next_write()
 */
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

/** fake_store_create() - key-value service in virtual time; @rng draws faults and delays */
fake_store_t *fake_store_create (sgr_rng_t *rng);
void fake_store_destroy (fake_store_t *fake);

/** fake_store_interface() - the service as a store; it offers get, swap and cancel only */
sgr_store_t *fake_store_interface (fake_store_t *fake);

/** fake_store_faults() - the faults of all calls, to be changed by the caller; none at first */
fake_faults_t *fake_store_faults (fake_store_t *fake);

/** fake_store_fault_next_write() - set faults of the next write to a key that contains @key_part */
void fake_store_fault_next_write (fake_store_t *fake, const char *key_part,
                                  const fake_faults_t *faults);

/**
 * fake_store_delay() - run a function after a delay in virtual time
 * @fake: the service
 * @delay_us: delay in virtual microseconds
 * @fire: the function
 * @ctx: passed to @fire
 *
 * Tests use it for @start_delay of sgr_config_commit_callbacks_t.
 */
void fake_store_delay (fake_store_t *fake, uint64_t delay_us, void (*fire) (void *), void *ctx);

/** fake_store_step() - advance virtual time to the next event and run it; false if none is left */
bool fake_store_step (fake_store_t *fake);

/** fake_store_now() - virtual time in microseconds */
uint64_t fake_store_now (const fake_store_t *fake);

/** fake_store_read() - value of a key, NULL if it does not exist; @version receives its version */
const char *fake_store_read (fake_store_t *fake, const char *key, uint64_t *version);

#endif
