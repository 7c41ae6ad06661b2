#ifndef SGR_RELAY_H
#define SGR_RELAY_H

#include <stddef.h>
#include <stdint.h>

/**
 * A TCP relay that runs in a thread of the test and simulates the network between two nodes. The
 * client of a connection is the side that connected to the relay; the server is the side that the
 * relay connects to.
 */
typedef struct sgr_relay_t sgr_relay_t;

/**
 * enum sgr_relay_action_t - a fault of the open connections; connections that are opened later are
 * not affected
 * @SGR_RELAY_SILENCE: no more data is forwarded in either direction; the connections stay open
 * @SGR_RELAY_SILENCE_TO_CLIENT: no more data is forwarded from server to client
 * @SGR_RELAY_CLOSE: the connections are closed
 */
typedef enum
{
  SGR_RELAY_SILENCE = 1,
  SGR_RELAY_SILENCE_TO_CLIENT,
  SGR_RELAY_CLOSE,
} sgr_relay_action_t;

/** sgr_relay_start() - listen on 127.0.0.1:@listen_port and relay to 127.0.0.1:@server_port */
sgr_relay_t *sgr_relay_start (uint16_t listen_port, uint16_t server_port);
void sgr_relay_stop (sgr_relay_t *relay);

/** sgr_relay_action_apply() - apply an action; it is in effect when the function returns */
void sgr_relay_action_apply (sgr_relay_t *relay, sgr_relay_action_t action);

/**
 * sgr_relay_action_schedule() - apply an action once, when the traffic meets a condition
 * @relay: the relay
 * @action: the action
 * @client_read_bytes: apply it after a single read of at least this many bytes from a client was
 *                     forwarded; 0 for no such condition
 * @server_bytes: apply it after this many bytes from servers were forwarded, counted from now over
 *                all connections; the rest of the last read is dropped; 0 for no such condition
 */
void sgr_relay_action_schedule (sgr_relay_t *relay, sgr_relay_action_t action,
                                size_t client_read_bytes, size_t server_bytes);

/** sgr_relay_port_set() - relay later connections to another port of 127.0.0.1 */
void sgr_relay_port_set (sgr_relay_t *relay, uint16_t server_port);

/** sgr_relay_delay_set() - delay data by @delay_us microseconds in each direction */
void sgr_relay_delay_set (sgr_relay_t *relay, uint64_t delay_us);

/** sgr_relay_refuse_set() - close new connections at once while @is_refusing is not 0 */
void sgr_relay_refuse_set (sgr_relay_t *relay, int is_refusing);

#endif
