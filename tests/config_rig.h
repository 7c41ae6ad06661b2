#ifndef CONFIG_RIG_H
#define CONFIG_RIG_H

#include <sys/types.h>

#include "config_api.h"
#include "config_support.h"
#include "http_listener.h"
#include "store_http.h"

#define RIG_NODES 6

/** struct rig_node_t - configuration of one node with its control address */
typedef struct
{
  struct rig_t *rig;
  bool up;
  sgr_store_t *store;
  sgr_config_io_t *io;
  sgr_config_api_t *api;
  sgr_http_listener_t *listener;
  sgr_address_t address;
  uint64_t highest_seen;
  bool went_back;
} rig_node_t;

/** struct rig_t - nodes on one event loop, the store stand-in and a fake of membership */
typedef struct rig_t
{
  h2o_loop_t *loop;
  support_keys_t keys;
  pid_t store_pid;
  sgr_address_t store_address;
  rig_node_t nodes[RIG_NODES];
  sgr_member_t members[RIG_NODES];
  size_t count;
  char directory[64];
} rig_t;

/** rig_start() - start the store stand-in and @count nodes in three failure domains */
void rig_start (rig_t *rig, size_t count);
void rig_stop (rig_t *rig);

/** rig_node_start() - start a node with an empty state; rig_node_stop() ends one */
void rig_node_start (rig_t *rig, size_t index);
void rig_node_stop (rig_t *rig, size_t index);

/** rig_until() - run until @done returns true; fails the test after 30 s */
void rig_until (rig_t *rig, bool (*done) (rig_t *rig, void *ctx), void *ctx);

/** rig_until_revision() - run until all running nodes have a revision */
void rig_until_revision (rig_t *rig, uint64_t revision);

/** rig_call() - HTTP call to an address; the status, with the JSON in @json if not NULL */
int rig_call (rig_t *rig, const sgr_address_t *address, const char *method, const char *path,
              const char *body, json_t **json);

/** rig_faults() - set faults of the store stand-in, such as "outage=1" */
void rig_faults (rig_t *rig, const char *query);

/** rig_ctl() - run siskingradectl against node 0; the exit status, with its output in @out */
int rig_ctl (rig_t *rig, char *out, size_t size, const char *const *arguments);

/** rig_file() - write a file into the directory of the rig and give its full name */
void rig_file (rig_t *rig, const char *name, const char *text, char *path, size_t size);

#endif
