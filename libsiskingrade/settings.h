#ifndef SGR_SETTINGS_H
#define SGR_SETTINGS_H

#include "buffer.h"
#include "config_chain.h"
#include "log.h"
#include "result.h"

#define SGR_SETTINGS_CONTACTS_MAX 16
#define SGR_SETTINGS_PATH_MAX 255

/**
 * struct sgr_settings_t - settings of a node, read once at start
 * @deployment: deployment that the node belongs to; part of what the co-owners sign
 * @name: name of the node, unique in the fleet
 * @service: service whose target runs beside the node, empty if only its announcement tells
 * @region: region
 * @failure_domain: failure domain, unique in the fleet
 * @callers: where callers connect
 * @peers: where other nodes send calls
 * @advertised_peers: address of @peers as other nodes reach it, @peers unless set
 * @control: where control messages, announcements and the resource API arrive
 * @ready: where readiness is asked for, port 0 for the control address only
 * @metrics: where metrics are served besides the control address, port 0 for nowhere else
 * @targets: where targets announce themselves, port 0 for the control address only
 * @store: the platform's key-value service, port 0 for none
 * @contacts: control addresses of some other nodes
 * @contact_count: used entries of @contacts
 * @is_approved_outside: configuration is approved outside of siskingrade; there are no owners here
 * @owners: the two co-owners
 * @tls_certificate: PEM file for callers' TLS, empty for plain TCP
 * @tls_key: PEM file of the private key
 * @log_level: lines above this level are dropped
 * @request_body_max_bytes: largest request body
 * @answer_buffer_bytes: answers up to this size are held whole before they are passed on
 * @calls_max: calls open at this node at a time
 * @announce_ttl_ms: an announcement that is not renewed for this long is dropped
 * @store_delay_ms: wait before the first call to the store, a random half is added
 * @store_readers: nodes of a failure domain that read the configuration from the store
 * @store_watch_ms: longest wait of one watch of the store
 * @leave_delay_ms: time between a stop signal and the first refusal of a caller's request
 * @drain_timeout_ms: longest wait for calls in flight at a planned stop
 * @heartbeat_ms: interval of pings on a connection between nodes
 * @silence_ms: a connection between nodes without any byte for this long is given up
 * @far_us_per_kib: latency that it is worth to keep 1 KiB within the failure domain, microseconds
 * @membership_bytes_per_s: budget of membership messages
 */
typedef struct
{
  char deployment[SGR_NAME_MAX + 1];
  char name[SGR_NAME_MAX + 1];
  char service[SGR_NAME_MAX + 1];
  char region[SGR_NAME_MAX + 1];
  char failure_domain[SGR_NAME_MAX + 1];
  sgr_address_t callers;
  sgr_address_t peers;
  sgr_address_t advertised_peers;
  sgr_address_t control;
  sgr_address_t ready;
  sgr_address_t metrics;
  sgr_address_t targets;
  sgr_address_t store;
  sgr_address_t contacts[SGR_SETTINGS_CONTACTS_MAX];
  size_t contact_count;
  bool is_approved_outside;
  sgr_config_owner_t owners[SGR_CONFIG_OWNERS];
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
  uint64_t leave_delay_ms;
  uint64_t drain_timeout_ms;
  uint64_t heartbeat_ms;
  uint64_t silence_ms;
  uint64_t far_us_per_kib;
  uint64_t membership_bytes_per_s;
} sgr_settings_t;

/**
 * sgr_settings_load() - read and check a settings file in full
 * @settings: receives the settings
 * @path: YAML file
 * @errors: receives one line "FILE:LINE: KEY: WHAT" for each error
 *
 * Return: SGR_ERR_INVALID if there is any error.
 */
sgr_result_t sgr_settings_load (sgr_settings_t *settings, const char *path, sgr_buffer_t *errors);

/**
 * sgr_settings_parse() - the same for text in memory
 * @settings: receives the settings
 * @name: file name for messages
 * @text: YAML text
 * @length: bytes of @text
 * @errors: receives one line for each error
 */
sgr_result_t sgr_settings_parse (sgr_settings_t *settings, const char *name, const char *text,
                                 size_t length, sgr_buffer_t *errors);

#endif
