#ifndef SGR_ANNOUNCE_H
#define SGR_ANNOUNCE_H

#include "buffer.h"
#include "snapshot.h"

/**
 * struct sgr_announce_t - the target that announced itself to this node
 * @local: what it announced, without a service if there is none
 * @expires_us: when it counts as gone unless it renews
 * @has_left: a target was registered before and is not any more
 */
typedef struct
{
  sgr_snapshot_local_t local;
  uint64_t expires_us;
  bool has_left;
} sgr_announce_t;

/**
 * sgr_announce_put() - take a registration or its renewal
 * @announce: state
 * @now_us: the time
 * @ttl_us: how long it holds
 * @body: JSON object with "service", "address", "slots", and optionally "connections" and "state"
 * @length: bytes of @body
 * @error: receives what is wrong with the body
 * @is_changed: receives whether anything but the time changed
 *
 * Return: SGR_ERR_INVALID for a bad body, SGR_ERR_CONFLICT if another target is registered.
 */
sgr_result_t sgr_announce_put (sgr_announce_t *announce, uint64_t now_us, uint64_t ttl_us,
                               const char *body, size_t length, sgr_buffer_t *error,
                               bool *is_changed);

/** sgr_announce_leave() - the target leaves; true if one was registered */
bool sgr_announce_leave (sgr_announce_t *announce);

/** sgr_announce_expire() - drop a registration that was not renewed; true if it was dropped */
bool sgr_announce_expire (sgr_announce_t *announce, uint64_t now_us);

#endif
