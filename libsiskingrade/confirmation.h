#ifndef SGR_CONFIRMATION_H
#define SGR_CONFIRMATION_H

#include "announce.h"

/**
 * Finds out whether an instance of the target still runs. Announcements may arrive late, in any
 * number and at any intervals, so that they show nothing by themselves. The node answers one with
 * an address that no other process of the host has given out lately, and an announcement that
 * arrives there was sent after that answer.
 *
 * The port of the address follows from the time, so that a process that starts soon after another
 * one does not use its ports again: port i of n is given out in the seconds i, i + n, i + 2n, ...
 * of the host's monotonic clock. Within one second, a target gets an answer but does not announce
 * itself again.
 */

/* Most ports that an object takes. */
#define SGR_CONFIRMATION_PORTS_MAX 32

/**
 * struct sgr_confirmation_t - the ports, and the instance that was asked for; zero-initialized, it
 * has no ports
 * @ports: the ports, in the order in which they are given out
 * @count: entries of @ports
 * @instance: name of the instance that was asked for last, empty for none
 * @started_ms: its start as Unix time in milliseconds
 * @is_asked: whether a port was given to the instance
 * @sequences: sequence number of the last announcement that was answered with a port
 */
typedef struct
{
  uint16_t ports[SGR_CONFIRMATION_PORTS_MAX];
  size_t count;
  char instance[SGR_NAME_MAX + 1];
  uint64_t started_ms;
  bool is_asked[SGR_CONFIRMATION_PORTS_MAX];
  uint64_t sequences[SGR_CONFIRMATION_PORTS_MAX];
} sgr_confirmation_t;

/** sgr_confirmation_port_add() - add a port; has no effect on a full object */
void sgr_confirmation_port_add (sgr_confirmation_t *confirmation, uint16_t port);

/** sgr_confirmation_port_index() - index of a port, SIZE_MAX if it is not one of the object's */
size_t sgr_confirmation_port_index (const sgr_confirmation_t *confirmation, uint16_t port);

/**
 * sgr_confirmation_ask() - choose the port that the answer to an announcement names
 * @confirmation: the object
 * @announcement: the announcement; one of another instance than before takes its place
 * @now_us: monotonic time
 *
 * Return: index of the port, SIZE_MAX if there are no ports.
 */
size_t sgr_confirmation_ask (sgr_confirmation_t *confirmation,
                             const sgr_announcement_t *announcement, uint64_t now_us);

/**
 * sgr_confirmation_is_given() - whether an announcement was sent after an answer of this process
 *
 * It was if it arrived at a port that an answer to an earlier announcement of the same instance has
 * named.
 */
bool sgr_confirmation_is_given (const sgr_confirmation_t *confirmation,
                                const sgr_announcement_t *announcement);

#endif
