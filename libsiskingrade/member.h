#ifndef SGR_MEMBER_H
#define SGR_MEMBER_H

#include "types.h"

/**
 * enum sgr_member_status_t - state of a member in the membership view of a node
 * @SGR_MEMBER_ALIVE: the member runs
 * @SGR_MEMBER_SUSPECT: the member did not answer a probe and may still refute the suspicion
 * @SGR_MEMBER_DEAD: the member did not refute a suspicion in time, or its address belongs to a
 *                   newer boot
 * @SGR_MEMBER_LEFT: the member announced that it left
 *
 * The values are part of the datagram format. Of two records with equal boot and incarnation, the
 * one with the higher status is the newer one.
 */
typedef enum
{
  SGR_MEMBER_ALIVE = 0,
  SGR_MEMBER_SUSPECT,
  SGR_MEMBER_DEAD,
  SGR_MEMBER_LEFT,
} sgr_member_status_t;

/*
 * Exclusive upper bound of the boot times that are accepted from other nodes. A node may have to
 * claim a boot time that is later than an accepted one; the bound leaves room for it in 64 bits.
 */
#define SGR_BOOT_TIME_MAX_MS (UINT64_C (1) << 48)

/**
 * struct sgr_member_t - one node and its target, as membership distributes it
 * @id: hash of @name
 * @boot: random id of this boot of the node; also the boot id of its gate
 * @boot_time_ms: wall clock at the start of the boot, in milliseconds since 1970; orders the boots
 *                of a node
 * @incarnation: version of the record within one boot; a higher one supersedes a lower one
 * @status: state of the node
 * @name: name of the node, unique in the fleet
 * @region: region of the host, may be empty
 * @failure_domain: failure domain of the host, unique in the fleet, may be empty
 * @data_address: address at which the node receives the peer frames of calls
 * @control_address: address at which the node receives membership datagrams and control frames
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
