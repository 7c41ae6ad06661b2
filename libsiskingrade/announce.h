#ifndef SGR_ANNOUNCE_H
#define SGR_ANNOUNCE_H

#include "buffer.h"
#include "snapshot.h"

/**
 * struct sgr_announcement_t - what a target says of itself
 * @local: the target
 * @started_ms: Unix time of its start in milliseconds, 0 if it did not tell; orders two instances
 * @sequence: number of the announcement within that life, 0 if it did not tell
 */
typedef struct
{
  sgr_snapshot_local_t local;
  uint64_t started_ms;
  uint64_t sequence;
} sgr_announcement_t;

/**
 * struct sgr_announce_t - the target that announced itself to this node
 * @local: what it announced, without a service if there is none
 * @expires_us: when it counts as gone unless it renews
 * @has_left: a target was registered before and is not any more
 * @started_ms: start of the newest instance that announced itself, 0 if it did not tell
 * @sequence: its newest announcement
 * @ended_instance: instance that left; late announcements of it change nothing
 * @ended_ms: its start
 */
typedef struct
{
  sgr_snapshot_local_t local;
  uint64_t expires_us;
  bool has_left;
  uint64_t started_ms;
  uint64_t sequence;
  char ended_instance[SGR_NAME_MAX + 1];
  uint64_t ended_ms;
} sgr_announce_t;

/**
 * sgr_announce_take() - take a registration or its renewal
 * @announce: state
 * @now_us: the time
 * @ttl_us: how long it holds
 * @announcement: what the target says
 * @is_changed: receives whether anything but the time changed
 *
 * An announcement of an instance that started before the one that is registered, one that is older
 * than the last of its instance, and one of an instance that has left change nothing. A target that
 * drains does not serve again in the same life.
 *
 * Return: SGR_OK; SGR_ERR_CONFLICT if another target is registered that cannot be told to be older.
 */
sgr_result_t sgr_announce_take (sgr_announce_t *announce, uint64_t now_us, uint64_t ttl_us,
                                const sgr_announcement_t *announcement, bool *is_changed);

/**
 * sgr_announce_put() - take a registration or its renewal
 * @announce: state
 * @now_us: the time
 * @ttl_us: how long it holds
 * @body: JSON object with "service", "address", "slots", and optionally "connections", "state",
 *        "probe_path", "instance", "started_ms" and "sequence"
 * @length: bytes of @body
 * @error: receives what is wrong with the body
 * @is_changed: receives whether anything but the time changed
 *
 * Return: SGR_ERR_INVALID for a bad body, SGR_ERR_CONFLICT if another target is registered.
 */
sgr_result_t sgr_announce_put (sgr_announce_t *announce, uint64_t now_us, uint64_t ttl_us,
                               const char *body, size_t length, sgr_buffer_t *error,
                               bool *is_changed);

/** sgr_announce_leave() - the target leaves for good; true if one was registered */
bool sgr_announce_leave (sgr_announce_t *announce);

/**
 * sgr_announce_instance_leave() - one instance leaves for good
 * @announce: state
 * @instance: name of the instance
 * @started_ms: its start as for sgr_announcement_t, 0 if unknown
 *
 * Return: true if it was registered; another instance, or a later life of it, stays.
 */
bool sgr_announce_instance_leave (sgr_announce_t *announce, const char *instance,
                                  uint64_t started_ms);

/** sgr_announce_drop() - no target until the next announcement; true if one was registered */
bool sgr_announce_drop (sgr_announce_t *announce);

/** sgr_announce_expire() - drop a registration that was not renewed; true if it was dropped */
bool sgr_announce_expire (sgr_announce_t *announce, uint64_t now_us);

#endif
