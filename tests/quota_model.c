#include "quota_model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "quota_borrower.h"
#include "quota_lender.h"
#include "rng.h"

#define STEP_US 5000ULL
#define STEPS 11000
#define STEPS_OF(s) ((size_t)((s)*SGR_USEC_PER_SEC / STEP_US))
#define WINDOW_STEPS STEPS_OF (5)
#define FAULT STEPS_OF (20)
#define HEAL STEPS_OF (35)
#define USES_MAX 2
#define ACCOUNT 77

/* A request or reply on its way. */
typedef struct message_t
{
  struct message_t *next;
  size_t from;
  size_t to;
  sgr_boot_id_t boot;
  bool is_reply;
  sgr_quota_request_t *request;
  sgr_quota_reply_t *reply;
} message_t;

typedef struct
{
  sgr_quota_lender_t *lender;
  sgr_quota_borrower_t *borrower;
  sgr_boot_id_t boot;
  bool is_down;
  size_t known;
  uint64_t frozen_until;
  uint64_t bytes;
} node_t;

/* A call that is to end as not-run. */
typedef struct return_t
{
  struct return_t *next;
  size_t node;
  sgr_boot_id_t boot;
  size_t start;
  sgr_quota_credit_t credit;
} return_t;

typedef struct
{
  const quota_model_t *model;
  sgr_quota_bound_t bound;
  sgr_quota_limit_t limit;
  sgr_rng_t rng;
  node_t nodes[QUOTA_MODEL_NODES_MAX];
  size_t step;
  size_t side;
  bool is_cut;
  message_t *arrivals[STEPS + 1000];
  return_t *returns[STEPS + 1000];
  double starts[STEPS + 1];
  double demand[STEPS + 1];
  uint32_t retry_max_ms;
} world_t;

static uint64_t
world_now (const world_t *world)
{
  return 1000 * SGR_USEC_PER_SEC + world->step * STEP_US;
}

static sgr_node_id_t
node_id (size_t index)
{
  return (index + 1) * 0x9e3779b97f4a7c15ULL;
}

static size_t
node_index (const world_t *world, sgr_node_id_t id)
{
  for (size_t i = 0; i < world->model->nodes; i++)
    {
      if (node_id (i) == id)
        return i;
    }
  sgr_invariant (id == 0);
  return 0;
}

static void
lender_changed (void *ctx, sgr_node_id_t lender)
{
}

static void
refusing_changed (void *ctx, uint64_t account, bool is_refusing)
{
}

static bool
is_reachable (const world_t *world, size_t a, size_t b)
{
  return !world->is_cut || (a < world->side) == (b < world->side);
}

/* What membership says to a node. */
static void
view_set (world_t *world, size_t index)
{
  sgr_node_id_t members[QUOTA_MODEL_NODES_MAX];
  node_t *node = &world->nodes[index];
  size_t count = 0;
  size_t fleet;

  for (size_t i = 0; i < world->model->nodes; i++)
    {
      if (i == index || (!world->nodes[i].is_down && is_reachable (world, index, i)))
        members[count++] = node_id (i);
    }
  /* A node knows those that were there since its start. */
  if (count > node->known)
    node->known = count;
  fleet = node->known;
  if (world->model->fault == QUOTA_FAULT_LATE_FLEET && world->step < STEPS_OF (4))
    fleet = 0;
  if (world->model->is_undivided && fleet > 0)
    fleet = 1;
  sgr_quota_borrower_members_set (node->borrower, members, count, fleet);
  sgr_quota_lender_fleet_set (node->lender, world_now (world), fleet);
}

static void
node_kill (node_t *node)
{
  sgr_quota_lender_destroy (node->lender);
  sgr_quota_borrower_destroy (node->borrower);
  node->lender = NULL;
  node->borrower = NULL;
  node->is_down = true;
}

static void
limit_set (world_t *world, node_t *node)
{
  sgr_quota_lender_limits_set (node->lender, world_now (world), &world->limit, 1);
  sgr_quota_borrower_limits_set (node->borrower, &world->limit, 1);
}

static void
node_start (world_t *world, size_t index)
{
  static const sgr_quota_borrower_events_t events = { lender_changed, refusing_changed };
  node_t *node = &world->nodes[index];

  node->is_down = false;
  node->known = 0;
  node->boot = sgr_rng_next (&world->rng);
  node->lender = sgr_quota_lender_create (node->boot, &world->bound, world_now (world));
  node->borrower = sgr_quota_borrower_create (&world->bound, world_now (world), &events, NULL);
  limit_set (world, node);
  view_set (world, index);
}

static void
message_free (message_t *message)
{
  free (message->request);
  free (message->reply);
  free (message);
}

static void
message_post (world_t *world, const message_t *source)
{
  message_t *message = malloc (sizeof *message);
  double delay_ms = 0.5 + 6 * sgr_rng_uniform (&world->rng);
  size_t step;

  *message = *source;
  if (source->is_reply)
    {
      message->reply = malloc (sizeof *message->reply);
      memcpy (message->reply, source->reply, sizeof *message->reply);
    }
  else
    {
      message->request = malloc (sizeof *message->request);
      memcpy (message->request, source->request, sizeof *message->request);
    }
  if (sgr_rng_uniform (&world->rng) < world->model->loss)
    delay_ms += 3000 * sgr_rng_uniform (&world->rng);
  step = world->step + (message->from == message->to ? 0 : 1 + (size_t)(delay_ms * 1000 / STEP_US));
  message->next = world->arrivals[step];
  world->arrivals[step] = message;
}

static void
message_send (world_t *world, const message_t *message)
{
  double loss = world->model->loss;

  if (message->from != message->to)
    {
      size_t bytes = message->is_reply ? 50 + 22 * message->reply->grant_count
                                       : 40 + 22 * message->request->use_count;

      world->nodes[message->from].bytes += bytes;
      world->nodes[message->to].bytes += bytes;
      if (sgr_rng_uniform (&world->rng) < loss)
        return;
      if (sgr_rng_uniform (&world->rng) < loss)
        message_post (world, message);
    }
  message_post (world, message);
}

static void
message_deliver (world_t *world, message_t *message)
{
  static sgr_quota_reply_t reply;
  node_t *node = &world->nodes[message->to];
  sgr_node_id_t lender;

  if (node->is_down || !is_reachable (world, message->from, message->to))
    {
      message_free (message);
      return;
    }
  if (node->frozen_until > world->step)
    {
      message->next = world->arrivals[node->frozen_until];
      world->arrivals[node->frozen_until] = message;
      return;
    }
  if (message->is_reply)
    sgr_quota_borrower_reply (node->borrower, world_now (world), node_id (message->from),
                              message->reply);
  else
    {
      lender = sgr_quota_borrower_lender (node->borrower);
      if (sgr_quota_lender_request (node->lender, world_now (world), node_id (message->from),
                                    message->boot, lender == node_id (message->to) ? 0 : lender,
                                    message->request, &reply))
        message_send (world, &(message_t){ .from = message->to,
                                           .to = message->from,
                                           .is_reply = true,
                                           .reply = &reply });
    }
  message_free (message);
}

static void
node_tick (world_t *world, size_t index)
{
  static sgr_quota_request_t request;
  node_t *node = &world->nodes[index];
  sgr_node_id_t to;

  if (node->is_down || node->frozen_until > world->step)
    return;
  for (int i = 0; i < 4 && sgr_quota_borrower_next_us (node->borrower) <= world_now (world); i++)
    {
      to = sgr_quota_borrower_tick (node->borrower, world_now (world), &request);
      if (to != 0)
        message_send (world, &(message_t){ .from = index,
                                           .to = node_index (world, to),
                                           .boot = node->boot,
                                           .request = &request });
      /* The node's own lender answers at once. */
      while (world->arrivals[world->step] != NULL)
        {
          message_t *message = world->arrivals[world->step];

          world->arrivals[world->step] = message->next;
          message_deliver (world, message);
        }
    }
}

static void
call_make (world_t *world, size_t index)
{
  node_t *node = &world->nodes[index];
  sgr_quota_credit_t credit;
  uint32_t retry_ms;

  if (node->is_down || node->frozen_until > world->step)
    return;
  world->demand[world->step]++;
  if (!sgr_quota_borrower_call_start (node->borrower, world_now (world), 0, &credit, &retry_ms))
    {
      if (retry_ms > world->retry_max_ms)
        world->retry_max_ms = retry_ms;
      return;
    }
  world->starts[world->step]++;
  if (sgr_rng_uniform (&world->rng) < world->model->not_run)
    {
      size_t end = world->step + 1 + sgr_rng_below (&world->rng, STEPS_OF (4));
      return_t *entry = malloc (sizeof *entry);

      *entry = (return_t){ world->returns[end], index, node->boot, world->step, credit };
      world->returns[end] = entry;
    }
}

static void
calls_make (world_t *world)
{
  const quota_model_t *model = world->model;
  double calls = model->demand * STEP_US / SGR_USEC_PER_SEC;
  size_t count = (size_t)calls;

  count += sgr_rng_uniform (&world->rng) < calls - (double)count;
  /* Six seconds in ten, so that all tokens exist shortly before the fault. */
  if (model->load == QUOTA_LOAD_PULSES
      && (world->step + STEPS_OF (1) / 2) % STEPS_OF (10) >= STEPS_OF (6))
    count = 0;
  for (size_t i = 0; i < count; i++)
    {
      size_t index = model->nodes - 1;

      if (model->load == QUOTA_LOAD_ALL || model->load == QUOTA_LOAD_PULSES)
        index = sgr_rng_below (&world->rng, model->nodes);
      else if (model->load == QUOTA_LOAD_MOVING)
        index = world->step / STEPS_OF (3) * 7 % model->nodes;
      call_make (world, index);
    }
}

static void
returns_make (world_t *world)
{
  while (world->returns[world->step] != NULL)
    {
      return_t *entry = world->returns[world->step];
      node_t *node = &world->nodes[entry->node];

      world->returns[world->step] = entry->next;
      world->starts[entry->start]--;
      if (!node->is_down && node->boot == entry->boot && node->frozen_until <= world->step)
        sgr_quota_borrower_call_return (node->borrower, world_now (world), &entry->credit);
      free (entry);
    }
}

static void
fault_start (world_t *world)
{
  size_t nodes = world->model->nodes;
  size_t lender = node_index (world, sgr_quota_borrower_lender (world->nodes[0].borrower));

  switch (world->model->fault)
    {
    case QUOTA_FAULT_KILL_LENDER:
      node_kill (&world->nodes[lender]);
      break;
    case QUOTA_FAULT_KILL_ALL:
      for (size_t i = 0; i < nodes; i++)
        {
          node_kill (&world->nodes[i]);
          node_start (world, i);
        }
      for (size_t i = 0; i < nodes; i++)
        view_set (world, i);
      break;
    case QUOTA_FAULT_PARTITION_MINORITY:
      world->side = lender < nodes / 2 ? lender + 1 : lender;
      world->is_cut = true;
      break;
    case QUOTA_FAULT_PARTITION_RESTART:
    case QUOTA_FAULT_PARTITION_MAJORITY:
      world->side = lender < nodes / 2 ? nodes - nodes / 3 : nodes / 3;
      world->is_cut = true;
      break;
    case QUOTA_FAULT_FREEZE_LENDER:
      world->nodes[lender].frozen_until = world->step + STEPS_OF (4);
      break;
    case QUOTA_FAULT_LIMIT_TENTH:
      world->limit.rate_per_s /= 10;
      world->limit.burst /= 10;
      break;
    default:
      break;
    }
}

/* Changes at fixed times. Membership follows each node's own delay of 1 to 3 s. */
static void
script_run (world_t *world)
{
  if (world->step == FAULT)
    fault_start (world);
  if (world->model->fault == QUOTA_FAULT_PARTITION_RESTART && world->step == FAULT + STEPS_OF (5))
    {
      for (size_t i = 0; i < world->model->nodes; i += world->model->nodes - 1)
        {
          size_t lender = node_index (world, sgr_quota_borrower_lender (world->nodes[i].borrower));

          node_kill (&world->nodes[lender]);
          node_start (world, lender);
        }
    }
  if (world->step == HEAL)
    {
      world->is_cut = false;
      for (size_t i = 0; i < world->model->nodes; i++)
        {
          if (world->nodes[i].is_down)
            node_start (world, i);
        }
    }
  for (size_t i = 0; i < world->model->nodes; i++)
    {
      size_t delay = STEPS_OF (1) + i * STEPS_OF (2) / world->model->nodes;

      if (world->nodes[i].is_down)
        continue;
      if (world->step == FAULT + delay || world->step == HEAL + delay
          || world->step == STEPS_OF (4))
        view_set (world, i);
      if (world->model->fault == QUOTA_FAULT_LIMIT_TENTH && world->step == FAULT + delay)
        limit_set (world, &world->nodes[i]);
    }
}

static double
share_of (const world_t *world, size_t from_s, size_t to_s)
{
  double limit = (double)world->model->rate * (double)(to_s - from_s);
  double starts = 0;
  double demand = 0;

  for (size_t i = STEPS_OF (from_s); i < STEPS_OF (to_s); i++)
    {
      starts += world->starts[i];
      demand += world->demand[i];
    }
  if (demand < 1)
    return 1;
  return starts / (demand < limit ? demand : limit);
}

static double
excess_of (const world_t *world)
{
  double most = -1e9;
  double sum = 0;

  for (size_t i = 0; i < STEPS; i++)
    {
      bool is_lower = world->model->fault == QUOTA_FAULT_LIMIT_TENTH
                      && i >= FAULT + STEPS_OF (3) + 2 * WINDOW_STEPS;
      double rate = is_lower ? world->limit.rate_per_s : world->model->rate;
      double burst = is_lower ? world->limit.burst : world->model->burst;
      double bound = (rate * 5 + burst) * (1 + world->bound.over) + (double)world->bound.slack;

      sum += world->starts[i];
      if (i >= WINDOW_STEPS)
        sum -= world->starts[i - WINDOW_STEPS];
      if (sum - bound > most)
        most = sum - bound;
    }
  return most;
}

static quota_model_result_t
world_measure (const world_t *world)
{
  quota_model_result_t result = {
    .excess = excess_of (world),
    .share = share_of (world, 8, 20),
    .fault_share = share_of (world, 20, 30),
    .late_share = share_of (world, 45, 55),
    .retry_max_ms = world->retry_max_ms,
  };
  double seconds = (double)STEPS * STEP_US / SGR_USEC_PER_SEC;
  uint64_t all = 0;

  for (size_t i = 0; i < world->model->nodes; i++)
    {
      double bytes = (double)world->nodes[i].bytes / seconds;

      all += world->nodes[i].bytes;
      if (bytes > result.lender_bytes_per_s)
        result.lender_bytes_per_s = bytes;
    }
  result.bytes_per_s = (double)all / seconds / (double)world->model->nodes / 2;
  return result;
}

quota_model_result_t
quota_model_run (const quota_model_t *model)
{
  world_t *world = calloc (1, sizeof *world);
  quota_model_result_t result;

  world->model = model;
  world->bound = (sgr_quota_bound_t){ 5 * SGR_USEC_PER_SEC, 0.1, 20 };
  world->limit = (sgr_quota_limit_t){ ACCOUNT, model->rate, model->burst };
  sgr_rng_seed (&world->rng, model->seed);
  for (size_t i = 0; i < model->nodes; i++)
    node_start (world, i);
  for (size_t i = 0; i < model->nodes; i++)
    view_set (world, i);
  for (world->step = 0; world->step < STEPS; world->step++)
    {
      message_t *message = world->arrivals[world->step];

      script_run (world);
      world->arrivals[world->step] = NULL;
      while (message != NULL)
        {
          message_t *next = message->next;

          message_deliver (world, message);
          message = next;
        }
      returns_make (world);
      calls_make (world);
      for (size_t i = 0; i < model->nodes; i++)
        node_tick (world, i);
    }
  result = world_measure (world);
  for (size_t i = 0; i < sizeof world->arrivals / sizeof world->arrivals[0]; i++)
    {
      while (world->arrivals[i] != NULL)
        {
          message_t *message = world->arrivals[i];

          world->arrivals[i] = message->next;
          message_free (message);
        }
      while (world->returns[i] != NULL)
        {
          return_t *entry = world->returns[i];

          world->returns[i] = entry->next;
          free (entry);
        }
    }
  for (size_t i = 0; i < model->nodes; i++)
    {
      if (!world->nodes[i].is_down)
        node_kill (&world->nodes[i]);
    }
  free (world);
  return result;
}
