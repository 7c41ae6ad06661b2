#ifndef SGR_ANNOUNCE_H
#define SGR_ANNOUNCE_H

#include "buffer.h"
#include "departures.h"
#include "snapshot.h"

/**
 * struct sgr_announcement_t - one announcement of a target
 * @local: the target as announced
 * @started_ms: Unix time of the instance's start in milliseconds, 0 if not given; orders instances
 * @sequence: counter of the announcements of one instance, 0 if not given
 * @has_cold: the announcement says whether the target is cold
 * @cold_ms: time for which the target stays cold, 0 if it is not cold, milliseconds
 * @arrival_port: port of the node at which the announcement arrived
 */
typedef struct
{
  sgr_local_target_t local;
  uint64_t started_ms;
  uint64_t sequence;
  bool has_cold;
  uint32_t cold_ms;
  uint16_t arrival_port;
} sgr_announcement_t;

/**
 * struct sgr_announce_state_t - registration of the target that announced itself to this node
 * @local: the registered target; its service is empty if no target is registered
 * @expires_us: monotonic time when the registration expires unless it is renewed
 * @has_left: a registration was removed since the node started; without a registered target, the
 *            published state is then SGR_TARGET_LEFT instead of SGR_TARGET_NONE
 * @started_ms: start of the instance that was registered last, 0 if not given
 * @sequence: counter of the last announcement that was applied, 0 if not given
 * @departures: instances that drain or have left; they get no new work, whatever late announcements
 *              of them say
 */
typedef struct
{
  sgr_local_target_t local;
  uint64_t expires_us;
  bool has_left;
  uint64_t started_ms;
  uint64_t sequence;
  sgr_departures_t departures;
} sgr_announce_state_t;

/**
 * sgr_announce_apply() - register a target or renew its registration
 * @announce: the registration
 * @now_us: monotonic time
 * @ttl_us: time until the registration expires, in microseconds
 * @announcement: the announcement
 * @is_changed: receives whether anything but the time of expiry changed. A statement that the
 * target is cold is a change if its cold time ends later than known by more than 100 ms.
 *
 * Ignores an outdated announcement: one of an instance that started before the instance that was
 * registered last, one whose sequence number is given and does not exceed that of the last
 * announcement of the same instance, and one of an instance that has left. An instance that has a
 * name and is draining stays draining until an announcement gives a later start.
 *
 * Return: SGR_OK, also for an ignored announcement; SGR_ERR_CONFLICT if another target is
 * registered and the announcement does not give a later start.
 */
sgr_result_t sgr_announce_apply (sgr_announce_state_t *announce, uint64_t now_us, uint64_t ttl_us,
                                 const sgr_announcement_t *announcement, bool *is_changed);

/**
 * sgr_announcement_read() - parse an announcement
 * @announcement: receives the announcement; not valid after an error
 * @body: JSON object with "service", "address", "slots", and optionally "connections", "state",
 *        "probe_path", "instance", "started_ms", "sequence" and "cold_ms"; NULL stands for an empty
 * body
 * @length: bytes of @body
 * @error: receives the reason, without a terminating zero, if the result is not SGR_OK
 *
 * Return: SGR_OK or SGR_ERR_INVALID.
 */
sgr_result_t sgr_announcement_read (sgr_announcement_t *announcement, const char *body,
                                    size_t length, sgr_buffer_t *error);

/**
 * sgr_announce_departures_merge() - add departures that were recorded before the node started
 *
 * Return: true if the registered target is one of them; it drains from then on.
 */
bool sgr_announce_departures_merge (sgr_announce_state_t *announce,
                                    const sgr_departures_t *departures);

/**
 * sgr_announce_leave() - remove the registration and ignore later announcements of its instance
 *
 * Return: true if a target was registered.
 */
bool sgr_announce_leave (sgr_announce_state_t *announce);

/**
 * sgr_announce_instance_leave() - as sgr_announce_leave(), for one instance only
 * @announce: the registration
 * @instance: name of the instance
 * @started_ms: start of the instance as Unix time in milliseconds, 0 if unknown
 * @now_ms: Unix time in milliseconds
 *
 * The registration of another instance, or of one with the same name and a later start, stays.
 * Later announcements of the instance are ignored even if it was not registered; if its start is
 * then unknown, those of all instances of that name that started until now are.
 *
 * Return: true if the instance was registered.
 */
bool sgr_announce_instance_leave (sgr_announce_state_t *announce, const char *instance,
                                  uint64_t started_ms, uint64_t now_ms);

/**
 * sgr_announce_drop() - remove the registration; the next announcement registers the target again
 *
 * Return: true if a target was registered.
 */
bool sgr_announce_drop (sgr_announce_state_t *announce);

/**
 * sgr_announce_expire() - remove a registration that was not renewed in time
 * @announce: the registration
 * @now_us: monotonic time
 *
 * Return: true if the registration was removed.
 */
bool sgr_announce_expire (sgr_announce_state_t *announce, uint64_t now_us);

#endif
