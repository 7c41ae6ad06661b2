#ifndef MEMBERSHIP_SIM_H
#define MEMBERSHIP_SIM_H

/* Simulates the membership of many nodes and their network in virtual time, for the tests and the
   benchmark. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "membership.h"
#include "rng.h"

#define SIM_MS SGR_USEC_PER_MSEC
#define SIM_US_PER_S SGR_USEC_PER_SEC
#define SIM_PORT 7000
/* 10.0.0.1, the address of node 0; the other nodes have the following addresses. */
#define SIM_IP 0x0a000001U
#define SIM_SERVICES 400
#define SIM_TARGET_SLOTS 16

typedef struct sim_t sim_t;

/**
 * struct sim_node_t - a simulated node
 * @index: index of the node, which is also its address offset from SIM_IP
 * @domain: its failure domain
 * @boot_count: boots of the node so far
 * @up: whether the process of the node runs
 * @paused: whether the process is paused; it loses all datagrams meanwhile
 * @scheduled_us: time of the earliest tick event of the node, UINT64_MAX for none
 */
typedef struct
{
  sim_t *sim;
  uint32_t index;
  uint32_t region;
  uint32_t domain;
  uint32_t boot_count;
  bool up;
  bool paused;
  uint64_t scheduled_us;
  sgr_membership_t *membership;
} sim_node_t;

/**
 * struct sim_event_t - a tick of a node or the arrival of a datagram
 * @order: sequence number, which orders events at the same time
 * @length: length of the datagram in bytes, 0 for a tick
 */
typedef struct
{
  uint64_t at_us;
  uint64_t order;
  uint32_t from;
  uint32_t to;
  uint16_t length;
  uint8_t *bytes;
} sim_event_t;

/**
 * struct sim_t - the simulation
 * @count: number of nodes
 * @contacts: number of nodes, from node 0 on, that are contacts of all nodes
 * @loss: probability that a datagram is lost
 * @duplicates: probability that a datagram arrives twice
 * @jitter_us: upper bound of the variable delay of a datagram
 * @epoch_s: wall clock of the hosts at virtual time 0, in seconds since 1970
 * @now_us: virtual time
 * @order: order of the last event that was queued
 * @options: membership options of all nodes, without self and seed
 * @blocked: whether the network drops all datagrams from one node to another; may be NULL
 * @changed: called when the membership view of @node changes; may be NULL
 * @ctx: for the use of @changed
 * @events: binary heap, earliest event first; index 0 is unused
 */
struct sim_t
{
  uint32_t count;
  uint32_t domains;
  uint32_t regions;
  uint32_t contacts;
  double loss;
  double duplicates;
  uint64_t jitter_us;
  uint64_t epoch_s;
  uint64_t now_us;
  uint64_t order;
  sgr_rng_t rng;
  sgr_membership_options_t options;
  bool (*blocked) (sim_t *sim, const sim_node_t *from, const sim_node_t *to);
  void (*changed) (sim_t *sim, sim_node_t *node, const sgr_member_t *member);
  void *ctx;
  sim_node_t *nodes;
  sim_event_t *events;
  size_t event_count;
  size_t event_capacity;
};

static inline bool
sim_event_before (const sim_event_t *a, const sim_event_t *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static inline void
sim_event_push (sim_t *sim, sim_event_t event)
{
  size_t i;

  if (sim->event_count + 2 > sim->event_capacity)
    {
      sim->event_capacity = sim->event_capacity == 0 ? 1024 : sim->event_capacity * 2;
      sim->events = realloc (sim->events, sim->event_capacity * sizeof *sim->events);
      sgr_invariant (sim->events != NULL);
    }
  event.order = ++sim->order;
  for (i = ++sim->event_count; i > 1 && sim_event_before (&event, &sim->events[i / 2]); i /= 2)
    sim->events[i] = sim->events[i / 2];
  sim->events[i] = event;
}

static inline sim_event_t
sim_event_pop (sim_t *sim)
{
  sim_event_t first = sim->events[1];
  sim_event_t last = sim->events[sim->event_count--];
  size_t i = 1;

  for (size_t child = 2; child <= sim->event_count; child = i * 2)
    {
      if (child < sim->event_count
          && sim_event_before (&sim->events[child + 1], &sim->events[child]))
        child++;
      if (!sim_event_before (&sim->events[child], &last))
        break;
      sim->events[i] = sim->events[child];
      i = child;
    }
  sim->events[i] = last;
  return first;
}

/* Queues the next tick of a node, unless a tick is queued for that time or earlier. Must be called
   after each call that may change the due time of the node. */
static inline void
sim_schedule (sim_node_t *node)
{
  uint64_t due_us = sgr_membership_due (node->membership);

  if (due_us < node->sim->now_us)
    due_us = node->sim->now_us;
  if (due_us >= node->scheduled_us)
    return;
  node->scheduled_us = due_us;
  sim_event_push (node->sim, (sim_event_t){ .at_us = due_us, .to = node->index });
}

/* Returns the one-way delay of a datagram: 0.25 ms within a failure domain, 5 ms within a region or
   40 ms between regions, plus a random part of at most the same length, plus jitter. */
static inline uint64_t
sim_delay_us (sim_t *sim, const sim_node_t *from, const sim_node_t *to)
{
  uint64_t delay_us = 40 * SIM_MS;

  if (from->domain == to->domain)
    delay_us = 250;
  else if (from->region == to->region)
    delay_us = 5 * SIM_MS;
  return delay_us + sgr_rng_below (&sim->rng, delay_us + 1)
         + sgr_rng_below (&sim->rng, sim->jitter_us + 1);
}

static inline void
sim_delivery_schedule (sim_t *sim, const sim_node_t *from, const sim_node_t *to,
                       const uint8_t *bytes, size_t length)
{
  sim_event_t event = { .at_us = sim->now_us + sim_delay_us (sim, from, to),
                        .from = from->index,
                        .to = to->index,
                        .length = (uint16_t)length,
                        .bytes = malloc (length) };

  memcpy (event.bytes, bytes, length);
  sim_event_push (sim, event);
}

static inline void
sim_send (void *ctx, const sgr_address_t *to, const uint8_t *bytes, size_t length)
{
  sim_node_t *node = ctx;
  sim_t *sim = node->sim;
  uint32_t index = to->ip - SIM_IP;

  sgr_invariant (length > 0 && length <= SGR_MEMBERSHIP_DATAGRAM_MAX);
  if (index >= sim->count || sgr_rng_uniform (&sim->rng) < sim->loss
      || (sim->blocked != NULL && sim->blocked (sim, node, &sim->nodes[index])))
    return;
  sim_delivery_schedule (sim, node, &sim->nodes[index], bytes, length);
  if (sim->duplicates > 0 && sgr_rng_uniform (&sim->rng) < sim->duplicates)
    sim_delivery_schedule (sim, node, &sim->nodes[index], bytes, length);
}

static inline void
sim_member_changed (void *ctx, const sgr_member_t *member)
{
  sim_node_t *node = ctx;

  if (node->sim->changed != NULL)
    node->sim->changed (node->sim, node, member);
}

static inline void
sim_name (uint32_t index, char *name)
{
  snprintf (name, SGR_NAME_MAX + 1, "target-host-%04u", index);
}

static inline sgr_node_id_t
sim_id (uint32_t index)
{
  char name[SGR_NAME_MAX + 1];

  sim_name (index, name);
  return sgr_node_id_of (name);
}

/* Starts a node without any state. Its contacts are the first sim->contacts nodes, which are in
   different failure domains. A NULL @name stands for the default name of the index. */
static inline void
sim_start (sim_t *sim, uint32_t index, const char *name)
{
  static const sgr_membership_callbacks_t callbacks = { sim_send, sim_member_changed };
  sim_node_t *node = &sim->nodes[index];
  sgr_membership_options_t options = sim->options;
  sgr_member_t *self = &options.self;

  if (name != NULL)
    snprintf (self->name, sizeof self->name, "%s", name);
  else
    sim_name (index, self->name);
  snprintf (self->region, sizeof self->region, "region-%u", node->region);
  snprintf (self->failure_domain, sizeof self->failure_domain, "domain-%u", node->domain);
  snprintf (self->service, sizeof self->service, "service-%03u", index % SIM_SERVICES);
  self->control_address = (sgr_address_t){ SIM_IP + index, SIM_PORT };
  self->data_address = (sgr_address_t){ SIM_IP + index, SIM_PORT + 1 };
  self->boot = sgr_rng_next (&sim->rng) | 1;
  self->boot_time_ms = sim->epoch_s * 1000 + sim->now_us / SIM_MS;
  self->target_state = SGR_TARGET_SERVING;
  self->slots = SIM_TARGET_SLOTS;
  options.seed = sgr_rng_next (&sim->rng);
  node->up = true;
  node->paused = false;
  node->boot_count++;
  node->scheduled_us = UINT64_MAX;
  sgr_invariant (sgr_membership_create (&options, &callbacks, node, sim->now_us, &node->membership)
                 == SGR_OK);
  for (uint32_t i = 0; i < sim->contacts; i++)
    {
      sgr_address_t contact = { SIM_IP + i, SIM_PORT };

      sgr_membership_contact_add (node->membership, &contact);
    }
  sim_schedule (node);
}

/* Stops a node without announcing that it leaves, as a crash does. */
static inline void
sim_stop (sim_t *sim, uint32_t index)
{
  sim_node_t *node = &sim->nodes[index];

  node->up = false;
  node->scheduled_us = UINT64_MAX;
  sgr_membership_destroy (node->membership);
  node->membership = NULL;
}

static inline void
sim_init (sim_t *sim, uint32_t count, uint32_t regions, uint32_t domains, uint64_t seed)
{
  *sim = (sim_t){ .count = count,
                  .regions = regions,
                  .domains = domains,
                  .contacts = 3,
                  .jitter_us = 2 * SIM_MS,
                  .epoch_s = 1700000000,
                  .now_us = SIM_US_PER_S };
  sgr_rng_seed (&sim->rng, seed);
  sgr_membership_options_init (&sim->options);
  sim->nodes = calloc (count, sizeof *sim->nodes);
  for (uint32_t i = 0; i < count; i++)
    sim->nodes[i] = (sim_node_t){ .sim = sim,
                                  .index = i,
                                  .domain = i % domains,
                                  .region = i % domains % regions,
                                  .scheduled_us = UINT64_MAX };
}

static inline void
sim_release (sim_t *sim)
{
  for (uint32_t i = 0; i < sim->count; i++)
    if (sim->nodes[i].up)
      sim_stop (sim, i);
  for (size_t i = 1; i <= sim->event_count; i++)
    free (sim->events[i].bytes);
  free (sim->events);
  free (sim->nodes);
}

static inline void
sim_dispatch (sim_t *sim, const sim_event_t *event)
{
  sim_node_t *node = &sim->nodes[event->to];
  sgr_address_t from = { SIM_IP + event->from, SIM_PORT };

  if (event->length == 0)
    {
      if (event->at_us != node->scheduled_us || !node->up || node->paused)
        return;
      node->scheduled_us = UINT64_MAX;
      sgr_membership_tick (node->membership, sim->now_us);
    }
  else if (!node->up || node->paused)
    return;
  else
    sgr_membership_datagram_receive (node->membership, sim->now_us, &from, event->bytes,
                                     event->length);
  sim_schedule (node);
}

/* Runs the simulation until a virtual time. Datagrams to stopped or paused nodes are lost. */
static inline void
sim_run_until (sim_t *sim, uint64_t until_us)
{
  while (sim->event_count > 0 && sim->events[1].at_us <= until_us)
    {
      sim_event_t event = sim_event_pop (sim);

      sim->now_us = event.at_us;
      sim_dispatch (sim, &event);
      free (event.bytes);
    }
  sim->now_us = until_us;
}

static inline void
sim_run (sim_t *sim, uint64_t duration_us)
{
  sim_run_until (sim, sim->now_us + duration_us);
}

static inline void
sim_resume (sim_t *sim, uint32_t index)
{
  sim_node_t *node = &sim->nodes[index];

  node->paused = false;
  node->scheduled_us = UINT64_MAX;
  sim_schedule (node);
}

static inline uint32_t
sim_up_count (const sim_t *sim)
{
  uint32_t up = 0;

  for (uint32_t i = 0; i < sim->count; i++)
    up += sim->nodes[i].up;
  return up;
}

/* Returns the number of running nodes whose membership view has as many live members as there are
   running nodes. */
static inline uint32_t
sim_complete_count (const sim_t *sim)
{
  uint32_t up = sim_up_count (sim);
  uint32_t complete = 0;

  for (uint32_t i = 0; i < sim->count; i++)
    complete += sim->nodes[i].up && sgr_membership_size (sim->nodes[i].membership) == up;
  return complete;
}

/* Returns the number of running nodes, other than node @id itself, in whose membership view node
   @id has the given status and target state. */
static inline uint32_t
sim_seen_count (const sim_t *sim, sgr_node_id_t id, sgr_member_status_t status,
                sgr_target_state_t state)
{
  uint32_t seen = 0;

  for (uint32_t i = 0; i < sim->count; i++)
    {
      sgr_member_t member;

      seen += sim->nodes[i].up
              && sgr_membership_member_get (sim->nodes[i].membership, id, &member) == SGR_OK
              && member.status == status && member.target_state == state && sim_id (i) != id;
    }
  return seen;
}

#endif
