#include "gate_limits.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "result.h"

/* Number of the entry that names share once all others are held. */
#define SHARED_CHILD 0
/* Limit of a child for which the policy has none. */
#define NO_LIMIT UINT32_MAX

/**
 * struct child_t - one tenant or class
 * @hash: hash of its name
 * @holders: attempts that hold the number
 * @used: slots taken
 * @listed: the policy has a limit for this name
 * @limit: limit of the policy, NO_LIMIT if there is none
 */
typedef struct
{
  uint64_t hash;
  uint32_t holders;
  uint32_t used;
  bool listed;
  uint32_t limit;
} child_t;

/**
 * struct group_t - all tenants, or all classes
 * @listed: limits by name
 * @listed_count: used entries of @listed
 * @limit_default: limit of a name that is not listed, 0 for none
 * @listed_sum: sum of the listed limits
 * @unlisted_used: slots taken by names that are not listed
 * @children: entries by number
 */
typedef struct
{
  sgr_policy_limit_t listed[SGR_POLICY_LIMITS_MAX];
  uint32_t listed_count;
  uint32_t limit_default;
  uint32_t listed_sum;
  uint32_t unlisted_used;
  child_t children[SGR_LIMITS_NAMES_MAX];
} group_t;

struct sgr_gate_limits_t
{
  sgr_limits_model_t model;
  uint32_t slots;
  uint32_t used;
  group_t tenants;
  group_t classes;
};

static uint64_t
hash_of (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

static void
child_limit_set (const group_t *group, child_t *child)
{
  child->listed = false;
  child->limit = group->limit_default > 0 ? group->limit_default : NO_LIMIT;
  for (uint32_t i = 0; i < group->listed_count; i++)
    if (hash_of (group->listed[i].name) == child->hash)
      {
        child->listed = true;
        child->limit = group->listed[i].in_flight;
      }
}

static void
group_policy_set (group_t *group, const sgr_policy_limit_t *listed, uint32_t count,
                  uint32_t limit_default)
{
  group->listed_count = count;
  group->limit_default = limit_default;
  group->listed_sum = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      group->listed[i] = listed[i];
      group->listed_sum += listed[i].in_flight;
    }
  group->unlisted_used = 0;
  for (uint32_t i = 0; i < SGR_LIMITS_NAMES_MAX; i++)
    {
      child_t *child = &group->children[i];

      child_limit_set (group, child);
      if (!child->listed)
        group->unlisted_used += child->used;
    }
}

/* A name keeps its entry after the last holder until another name needs the entry, so that a tenant
   that comes back is found at once. */
static uint32_t
group_hold (group_t *group, const char *name)
{
  uint64_t hash = hash_of (name);
  uint32_t unused = SHARED_CHILD;

  for (uint32_t n = 0; n < SGR_LIMITS_NAMES_MAX; n++)
    {
      uint32_t i = (uint32_t)((hash + n) % SGR_LIMITS_NAMES_MAX);

      if (i == SHARED_CHILD)
        continue;
      if (group->children[i].hash == hash)
        {
          group->children[i].holders++;
          return i;
        }
      if (group->children[i].holders == 0 && unused == SHARED_CHILD)
        unused = i;
    }
  if (unused != SHARED_CHILD)
    {
      group->children[unused].hash = hash;
      child_limit_set (group, &group->children[unused]);
    }
  group->children[unused].holders++;
  return unused;
}

static void
group_drop (group_t *group, uint32_t number)
{
  sgr_invariant (number < SGR_LIMITS_NAMES_MAX && group->children[number].holders > 0);
  group->children[number].holders--;
  sgr_invariant (group->children[number].holders > 0 || group->children[number].used == 0);
}

/* Scales listed limits down until they and, if there is room, one slot for the others fit. */
static uint32_t
flat_limit (const group_t *group, const child_t *child, uint32_t slots)
{
  uint32_t for_listed = slots > 1 ? slots - 1 : slots;
  uint32_t limit = child->limit;

  if (!child->listed)
    {
      uint32_t taken = group->listed_sum < for_listed ? group->listed_sum : for_listed;
      uint32_t rest = slots > taken ? slots - taken : 1;

      return limit < rest ? limit : rest;
    }
  if (group->listed_sum > for_listed)
    limit = (uint32_t)((uint64_t)limit * for_listed / group->listed_sum);
  return limit > 0 ? limit : 1;
}

static uint32_t
limit_of (const sgr_gate_limits_t *limits, const group_t *group, uint32_t number)
{
  const child_t *child = &group->children[number];
  bool limited = group->listed_count > 0 || group->limit_default > 0;
  uint32_t limit;

  if (!limited)
    return limits->slots > 0 ? limits->slots : 1;
  limit
      = limits->model == SGR_LIMITS_FLAT ? flat_limit (group, child, limits->slots) : child->limit;
  if (limit > limits->slots)
    limit = limits->slots;
  return limit > 0 ? limit : 1;
}

static bool
is_within (const sgr_gate_limits_t *limits, const group_t *group, uint32_t number)
{
  const child_t *child = &group->children[number];
  uint32_t limit = limit_of (limits, group, number);

  if (child->used >= limit)
    return false;
  if (limits->model == SGR_LIMITS_FLAT && !child->listed && group->listed_count > 0)
    {
      /* All names that are not listed share what the listed ones leave. */
      uint32_t for_listed = limits->slots > 1 ? limits->slots - 1 : limits->slots;
      uint32_t taken = group->listed_sum < for_listed ? group->listed_sum : for_listed;

      return group->unlisted_used < (limits->slots > taken ? limits->slots - taken : 1);
    }
  return true;
}

sgr_gate_limits_t *
sgr_gate_limits_create (sgr_limits_model_t model, const sgr_policy_t *policy)
{
  sgr_gate_limits_t *limits = calloc (1, sizeof *limits);

  sgr_invariant (limits != NULL);
  limits->model = model;
  sgr_gate_limits_policy_update (limits, policy);
  return limits;
}

void
sgr_gate_limits_destroy (sgr_gate_limits_t *limits)
{
  free (limits);
}

void
sgr_gate_limits_policy_update (sgr_gate_limits_t *limits, const sgr_policy_t *policy)
{
  group_policy_set (&limits->tenants, policy->tenant_limits, policy->tenant_limit_count,
                    policy->tenant_limit_default);
  group_policy_set (&limits->classes, policy->class_limits, policy->class_limit_count, 0);
}

void
sgr_gate_limits_slots_set (sgr_gate_limits_t *limits, uint32_t slots)
{
  limits->slots = slots;
}

uint32_t
sgr_gate_limits_tenant_hold (sgr_gate_limits_t *limits, const char *name)
{
  return group_hold (&limits->tenants, name);
}

uint32_t
sgr_gate_limits_class_hold (sgr_gate_limits_t *limits, const char *name)
{
  return group_hold (&limits->classes, name);
}

void
sgr_gate_limits_tenant_drop (sgr_gate_limits_t *limits, uint32_t tenant)
{
  group_drop (&limits->tenants, tenant);
}

void
sgr_gate_limits_class_drop (sgr_gate_limits_t *limits, uint32_t class_number)
{
  group_drop (&limits->classes, class_number);
}

sgr_limits_verdict_t
sgr_gate_limits_check (const sgr_gate_limits_t *limits, uint32_t tenant, uint32_t class_number)
{
  if (limits->used >= limits->slots)
    return SGR_LIMITS_SLOTS;
  if (!is_within (limits, &limits->tenants, tenant))
    return SGR_LIMITS_TENANT;
  if (!is_within (limits, &limits->classes, class_number))
    return SGR_LIMITS_CLASS;
  return SGR_LIMITS_FREE;
}

static void
child_count (group_t *group, uint32_t number, int change)
{
  child_t *child = &group->children[number];

  sgr_invariant (change > 0 || child->used > 0);
  child->used += (uint32_t)change;
  if (!child->listed)
    group->unlisted_used += (uint32_t)change;
}

void
sgr_gate_limits_take (sgr_gate_limits_t *limits, uint32_t tenant, uint32_t class_number)
{
  sgr_invariant (limits->used < limits->slots);
  limits->used++;
  child_count (&limits->tenants, tenant, 1);
  child_count (&limits->classes, class_number, 1);
}

void
sgr_gate_limits_release (sgr_gate_limits_t *limits, uint32_t tenant, uint32_t class_number)
{
  sgr_invariant (limits->used > 0);
  limits->used--;
  child_count (&limits->tenants, tenant, -1);
  child_count (&limits->classes, class_number, -1);
}

uint32_t
sgr_gate_limits_tenant_limit (const sgr_gate_limits_t *limits, uint32_t tenant)
{
  return limit_of (limits, &limits->tenants, tenant);
}

uint32_t
sgr_gate_limits_class_limit (const sgr_gate_limits_t *limits, uint32_t class_number)
{
  return limit_of (limits, &limits->classes, class_number);
}

uint32_t
sgr_gate_limits_used (const sgr_gate_limits_t *limits)
{
  return limits->used;
}

uint32_t
sgr_gate_limits_slots (const sgr_gate_limits_t *limits)
{
  return limits->slots;
}
