#ifndef SGR_RELAY_H
#define SGR_RELAY_H

#include <stddef.h>
#include <stdint.h>

/** A TCP relay in a thread of the test: it stands for the network between two nodes. */
typedef struct sgr_relay_t sgr_relay_t;

/**
 * enum sgr_relay_action_t - what happens to the connections that are open now; later ones pass
 * @SGR_RELAY_SILENCE: nothing passes any more in either direction, the connections stay open
 * @SGR_RELAY_MUTE_DOWN: nothing passes from the far side back, the other direction still does
 * @SGR_RELAY_CUT: the connections are closed
 */
typedef enum
{
  SGR_RELAY_SILENCE = 1,
  SGR_RELAY_MUTE_DOWN,
  SGR_RELAY_CUT,
} sgr_relay_action_t;

/** sgr_relay_start() - relay connections from @from_port to @to_port at 127.0.0.1 */
sgr_relay_t *sgr_relay_start (uint16_t from_port, uint16_t to_port);
void sgr_relay_stop (sgr_relay_t *relay);

/** sgr_relay_now() - apply an action at once; returns after it took effect */
void sgr_relay_now (sgr_relay_t *relay, sgr_relay_action_t action);

/**
 * sgr_relay_after() - apply an action at a moment of the traffic
 * @relay: the relay
 * @action: what to do
 * @up: after a piece of at least so many bytes towards the far side was passed on; 0 for none
 * @down: after so many bytes from the far side were passed on, counted from now; 0 for none
 */
void sgr_relay_after (sgr_relay_t *relay, sgr_relay_action_t action, size_t up, size_t down);

/** sgr_relay_delay() - hold every piece of data back for a time, 0 to pass at once */
void sgr_relay_delay (sgr_relay_t *relay, uint64_t delay_us);

/** sgr_relay_refuse() - close new connections at once, as if nothing listened */
void sgr_relay_refuse (sgr_relay_t *relay, int is_refusing);

#endif
