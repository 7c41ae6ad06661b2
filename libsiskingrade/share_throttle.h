#ifndef SGR_SHARE_THROTTLE_H
#define SGR_SHARE_THROTTLE_H

#include "types.h"

/**
 * Refuses calls at the entry of an account that the gates of a service refuse as beyond its share,
 * before their bodies are sent on. Of each account it lets through somewhat more than the gates do,
 * so that their decisions stay visible. Has no clock of its own and does no I/O.
 */
typedef struct sgr_share_throttle_t sgr_share_throttle_t;

/* Length of the sliding window, after which a refusal is forgotten, in microseconds. */
#define SGR_SHARE_THROTTLE_WINDOW_US (1000U * 1000)

/** sgr_share_throttle_create() - create the throttle of one service */
sgr_share_throttle_t *sgr_share_throttle_create (void);
void sgr_share_throttle_destroy (sgr_share_throttle_t *throttle);

/**
 * sgr_share_throttle_key() - key of the calls of an account with one rank
 * @account: name of the account
 * @rank: rank of the calls; gates may refuse the less urgent calls of an account only
 */
uint64_t sgr_share_throttle_key (const char *account, uint32_t rank);

/**
 * sgr_share_throttle_admit() - decide whether a call is sent to a gate, and count it
 * @throttle: the throttle
 * @now_us: the time
 * @key: key of the call
 * @random: random number from 0 to 1, 1 excluded
 *
 * Return: false if the call has to be refused. A call of an account without enough refusals in the
 * window, or of which the gates take two thirds, is never refused.
 */
bool sgr_share_throttle_admit (sgr_share_throttle_t *throttle, uint64_t now_us, uint64_t key,
                               double random);

/** sgr_share_throttle_refused() - count a call that gates refused as beyond its account's share */
void sgr_share_throttle_refused (sgr_share_throttle_t *throttle, uint64_t now_us, uint64_t key);

#endif
