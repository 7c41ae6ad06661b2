#ifndef SGR_MEMBER_H
#define SGR_MEMBER_H

#include "types.h"

/**
 * enum sgr_member_status_t - what membership holds of a node
 */
typedef enum
{
  SGR_MEMBER_ALIVE = 0,
  SGR_MEMBER_SUSPECT,
  SGR_MEMBER_DEAD,
  SGR_MEMBER_LEFT,
} sgr_member_status_t;

/* Above any time of a start that is taken from another node; leaves room to go above an accepted
 * one. */
#define SGR_BOOT_TIME_MAX_MS (UINT64_C (1) << 48)

/**
 * struct sgr_member_t - one node and its target, as membership spreads it
 * @id: hash of @name
 * @boot: random number of the process life; the gate's boot id
 * @boot_time_ms: wall clock of the start, milliseconds since 1970; orders the lives of one node
 * @incarnation: counter within one life; a higher one goes before a lower one
 * @status: state of the node
 * @name: name of the node, unique in the fleet
 * @region: region
 * @failure_domain: failure domain, unique in the fleet
 * @data_address: where the node takes peer frames of calls
 * @control_address: where the node takes membership datagrams and control frames
 * @service: service of the local target, empty while none is announced
 * @target_state: state of the local target
 * @slots: requests that the local target may run at a time
 * @config_revision: revision of the configuration in force at the node
 */
typedef struct
{
  sgr_node_id_t id;
  sgr_boot_id_t boot;
  uint64_t boot_time_ms;
  uint64_t incarnation;
  sgr_member_status_t status;
  char name[SGR_NAME_MAX + 1];
  char region[SGR_NAME_MAX + 1];
  char failure_domain[SGR_NAME_MAX + 1];
  sgr_address_t data_address;
  sgr_address_t control_address;
  char service[SGR_NAME_MAX + 1];
  sgr_target_state_t target_state;
  uint32_t slots;
  uint64_t config_revision;
} sgr_member_t;

#endif
