#ifndef SGR_SETTINGS_H
#define SGR_SETTINGS_H

#include "buffer.h"
#include "config_chain.h"
#include "log.h"
#include "result.h"

#define SGR_SETTINGS_CONTACTS_MAX 16
/* Longest path of a PEM file, without the terminating zero. */
#define SGR_SETTINGS_PATH_MAX 255
/* Longest name of the local service, which is a header field of requests to targets. */
#define SGR_SETTINGS_SERVICE_MAX 4096

/**
 * struct sgr_settings_t - settings of a node, read at start; a reload changes only the log level
 * @deployment: deployment that the node belongs to; part of what the co-owners sign
 * @name: name of the node, unique in the deployment
 * @are_services_named: callers name the service of each call, and routes are not used; otherwise
 * each call needs a route, also if the configuration has none
 * @service: service of the target beside the node, empty if known only from its announcement
 * @region: region of the node
 * @region_count: number of regions of the deployment, 0 if not known
 * @failure_domain: failure domain of the node; its name is unique in the deployment
 * @callers: address where callers connect
 * @peers: address where other nodes send calls
 * @advertised_peers: address at which other nodes reach @peers; equal to @peers unless set
 * @control: address of control messages, announcements and the resource API
 * @ready: additional address of the readiness check, port 0 for none
 * @metrics: additional address of the metrics, port 0 for none
 * @targets: additional address where targets announce themselves, port 0 for none
 * @confirm: first address at which a target confirms that it runs, port 0 for none
 * @confirm_last: last port of these addresses, which have the same IP
 * @store: address of the platform's key-value service, port 0 for none
 * @contacts: control addresses of the contacts, the seed nodes that this node joins through
 * @contact_count: used entries of @contacts
 * @is_approved_outside: the configuration is approved outside siskingrade and @owners is unused
 * @owners: the two co-owners, who approve the configuration
 * @tls_certificate: PEM file of the certificate for callers' TLS, empty for plain TCP
 * @tls_key: PEM file of its private key
 * @log_level: least severe level that is logged
 * @request_body_max_bytes: largest request body in bytes
 * @answer_buffer_bytes: largest answer in bytes that is buffered whole before it is passed on
 * @calls_max: largest number of calls open at this node at a time
 * @announce_ttl_ms: time in milliseconds until an announcement expires unless it is renewed
 * @store_delay_ms: wait in milliseconds before the first read of the configuration from the store;
 *                  a random time of up to half of it is added
 * @store_readers: number of readers in a failure domain, the nodes that watch the configuration
 *                 in the store
 * @store_watch_interval_ms: shortest time between the starts of two watches of the configuration,
 *                           in milliseconds
 * @store_watch_ms: longest wait of one watch of the store, in milliseconds
 * @store_retry_max_ms: longest delay between watches of a store that fails, in milliseconds
 * @leave_delay_ms: time in milliseconds from a stop signal until the node refuses callers' requests
 * @drain_timeout_ms: longest wait in milliseconds for calls in flight during a graceful shutdown
 * @heartbeat_ms: interval of pings on a connection between nodes, in milliseconds
 * @silence_ms: time in milliseconds after which a connection between nodes is closed if no byte
 *              has arrived
 * @far_us_per_kib: extra latency in microseconds that is accepted to keep 1 KiB of a call's data
 *                  within the failure domain
 * @remote_us_per_kib: as @far_us_per_kib, within the region; equal to it unless set
 * @membership_bytes_per_s: budget of membership messages in bytes per second
 * @stop_grace_ms: time in milliseconds from a stop signal until the process is killed, 0 if not
 *                 known; replaces @drain_timeout_ms
 * @evacuation_ms: time in milliseconds within which an evacuation has to be in force, 0 if the node
 *                 does not follow evacuations
 * @quota_window_ms: length in milliseconds of the windows in which quotas of accounts hold
 * @quota_over: share by which a quota may be exceeded in a window
 * @link_mbps: rate of the machine's link in Mbit/s, 0 if not known
 * @quota_slack: further calls by which a quota may be exceeded in a window
 * @memory_mb: memory limit of the process in MiB, 0 if not known
 * @memory_budget_bytes: most bytes in buffers of callers, peers and the target
 * @memory_share_percent: share of the budget that one caller address may use
 * @connections_max: most connections of callers
 * @head_timeout_ms: longest time in milliseconds for the head of a request
 * @stall_timeout_ms: longest time in milliseconds without a byte of a body, or without a byte that
 *                    the caller takes of an answer
 */
typedef struct
{
  bool are_services_named;
  char deployment[SGR_NAME_MAX + 1];
  char name[SGR_NAME_MAX + 1];
  char service[SGR_SETTINGS_SERVICE_MAX + 1];
  char region[SGR_NAME_MAX + 1];
  size_t region_count;
  char failure_domain[SGR_NAME_MAX + 1];
  sgr_address_t callers;
  sgr_address_t peers;
  sgr_address_t advertised_peers;
  sgr_address_t control;
  sgr_address_t ready;
  sgr_address_t metrics;
  sgr_address_t targets;
  sgr_address_t confirm;
  uint16_t confirm_last;
  sgr_address_t store;
  sgr_address_t contacts[SGR_SETTINGS_CONTACTS_MAX];
  size_t contact_count;
  bool is_approved_outside;
  sgr_config_owner_t owners[SGR_CONFIG_OWNER_COUNT];
  char tls_certificate[SGR_SETTINGS_PATH_MAX + 1];
  char tls_key[SGR_SETTINGS_PATH_MAX + 1];
  sgr_log_level_t log_level;
  uint64_t request_body_max_bytes;
  uint64_t answer_buffer_bytes;
  uint64_t calls_max;
  uint64_t announce_ttl_ms;
  uint64_t store_delay_ms;
  uint64_t store_readers;
  uint64_t store_watch_ms;
  uint64_t store_watch_interval_ms;
  uint64_t store_retry_max_ms;
  uint64_t leave_delay_ms;
  uint64_t drain_timeout_ms;
  uint64_t heartbeat_ms;
  uint64_t silence_ms;
  uint64_t far_us_per_kib;
  uint64_t remote_us_per_kib;
  uint64_t membership_bytes_per_s;
  uint64_t stop_grace_ms;
  uint64_t evacuation_ms;
  uint64_t quota_window_ms;
  double quota_over;
  uint64_t quota_slack;
  double link_mbps;
  uint64_t memory_mb;
  uint64_t memory_budget_bytes;
  uint64_t memory_share_percent;
  uint64_t connections_max;
  uint64_t head_timeout_ms;
  uint64_t stall_timeout_ms;
} sgr_settings_t;

/** sgr_settings_routing_name() - how calls find their service: "by-route" or "by-service" */
const char *sgr_settings_routing_name (const sgr_settings_t *settings);

/**
 * sgr_settings_load() - read a settings file and report all errors in it
 * @settings: receives the settings; not valid after an error
 * @path: path of the YAML file
 * @errors: receives one line "FILE:LINE: KEY: MESSAGE" for each error
 *
 * Return: SGR_OK, or SGR_ERR_INVALID if the file cannot be read or has an error.
 */
sgr_result_t sgr_settings_load (sgr_settings_t *settings, const char *path, sgr_buffer_t *errors);

/**
 * sgr_settings_parse() - parse settings in memory as sgr_settings_load() does
 * @settings: receives the settings; not valid after an error
 * @name: file name for error messages
 * @text: YAML text
 * @length: length of @text in bytes
 * @errors: receives one line "NAME:LINE: KEY: MESSAGE" for each error
 *
 * Return: SGR_OK, or SGR_ERR_INVALID if there is any error.
 */
sgr_result_t sgr_settings_parse (sgr_settings_t *settings, const char *name, const char *text,
                                 size_t length, sgr_buffer_t *errors);

#endif
