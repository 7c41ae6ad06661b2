#include "gate_limits.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "result.h"

/* Index shared by the names that arrive while all other indexes are referenced. */
#define SHARED_INDEX 0
/* Limit of a child for which the policy sets none. */
#define NO_LIMIT UINT32_MAX

/**
 * struct child_t - one tenant or class
 * @hash: hash of its name
 * @references: number of attempts that refer to it
 * @used: number of slots in use
 * @is_listed: the policy lists a limit for its name
 * @limit: limit by the policy in slots, NO_LIMIT if there is none
 */
typedef struct
{
  uint64_t hash;
  uint32_t references;
  uint32_t used;
  bool is_listed;
  uint32_t limit;
} child_t;

/**
 * struct group_t - all tenants, or all classes
 * @listed: limits that the policy lists by name
 * @listed_count: number of limits in @listed
 * @limit_default: limit of a name that is not listed, 0 for none
 * @listed_sum: sum of the listed limits
 * @unlisted_used: number of slots in use by names that are not listed
 * @children: tenants or classes by index
 */
typedef struct
{
  sgr_policy_limit_t listed[SGR_POLICY_LIMITS_MAX];
  uint32_t listed_count;
  uint32_t limit_default;
  uint32_t listed_sum;
  uint32_t unlisted_used;
  child_t children[SGR_LIMITS_CHILDREN_MAX];
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
name_hash (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

/* Sets the limit by the policy for the name of a child. */
static void
child_limit_set (const group_t *group, child_t *child)
{
  child->is_listed = false;
  child->limit = group->limit_default > 0 ? group->limit_default : NO_LIMIT;
  for (uint32_t i = 0; i < group->listed_count; i++)
    if (name_hash (group->listed[i].name) == child->hash)
      {
        child->is_listed = true;
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
  for (uint32_t i = 0; i < SGR_LIMITS_CHILDREN_MAX; i++)
    {
      child_t *child = &group->children[i];

      child_limit_set (group, child);
      if (!child->is_listed)
        group->unlisted_used += child->used;
    }
}

/* Adds a reference to the child with a name and returns its index. The table is open-addressed with
   linear probing, starting at the hash of the name. A child without references keeps its index
   until another name needs the index. A tenant or class that is used again is thus found early in
   the search. */
static uint32_t
group_child_ref (group_t *group, const char *name)
{
  uint64_t hash = name_hash (name);
  uint32_t unused = SHARED_INDEX;

  for (uint32_t n = 0; n < SGR_LIMITS_CHILDREN_MAX; n++)
    {
      uint32_t i = (uint32_t)((hash + n) % SGR_LIMITS_CHILDREN_MAX);

      if (i == SHARED_INDEX)
        continue;
      if (group->children[i].hash == hash)
        {
          group->children[i].references++;
          return i;
        }
      if (group->children[i].references == 0 && unused == SHARED_INDEX)
        unused = i;
    }
  if (unused != SHARED_INDEX)
    {
      group->children[unused].hash = hash;
      child_limit_set (group, &group->children[unused]);
    }
  group->children[unused].references++;
  return unused;
}

static void
group_child_unref (group_t *group, uint32_t index)
{
  sgr_invariant (index < SGR_LIMITS_CHILDREN_MAX && group->children[index].references > 0);
  group->children[index].references--;
  sgr_invariant (group->children[index].references > 0 || group->children[index].used == 0);
}

/* Returns the limit of a child in the flat model. Listed limits are scaled down if their sum
   exceeds the slots. If there is more than one slot, one of them is left for all names without a
   listed limit. */
static uint32_t
child_limit_flat (const group_t *group, const child_t *child, uint32_t slots)
{
  uint32_t listed_slots_max = slots > 1 ? slots - 1 : slots;
  uint32_t limit = child->limit;

  if (!child->is_listed)
    {
      uint32_t listed_slots
          = group->listed_sum < listed_slots_max ? group->listed_sum : listed_slots_max;
      uint32_t unlisted_slots = slots > listed_slots ? slots - listed_slots : 1;

      return limit < unlisted_slots ? limit : unlisted_slots;
    }
  if (group->listed_sum > listed_slots_max)
    limit = (uint32_t)((uint64_t)limit * listed_slots_max / group->listed_sum);
  return limit > 0 ? limit : 1;
}

/* Returns the number of slots that a child may use now. */
static uint32_t
child_limit_now (const sgr_gate_limits_t *limits, const group_t *group, uint32_t index)
{
  const child_t *child = &group->children[index];
  bool has_limits = group->listed_count > 0 || group->limit_default > 0;
  uint32_t limit;

  if (!has_limits)
    return limits->slots > 0 ? limits->slots : 1;
  limit = limits->model == SGR_LIMITS_FLAT ? child_limit_flat (group, child, limits->slots)
                                           : child->limit;
  if (limit > limits->slots)
    limit = limits->slots;
  return limit > 0 ? limit : 1;
}

/* Returns whether a tenant or class may use one more slot. It must use fewer slots than its own
   limit. In the flat model, all names without a listed limit together must also use fewer slots
   than the listed limits leave. */
static bool
child_may_use_slot (const sgr_gate_limits_t *limits, const group_t *group, uint32_t index)
{
  const child_t *child = &group->children[index];
  uint32_t limit = child_limit_now (limits, group, index);

  if (child->used >= limit)
    return false;
  if (limits->model == SGR_LIMITS_FLAT && !child->is_listed && group->listed_count > 0)
    {
      /* Names that are not listed share the slots that the listed limits leave. */
      uint32_t listed_slots_max = limits->slots > 1 ? limits->slots - 1 : limits->slots;
      uint32_t listed_slots
          = group->listed_sum < listed_slots_max ? group->listed_sum : listed_slots_max;

      return group->unlisted_used
             < (limits->slots > listed_slots ? limits->slots - listed_slots : 1);
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
sgr_gate_limits_tenant_ref (sgr_gate_limits_t *limits, const char *name)
{
  return group_child_ref (&limits->tenants, name);
}

uint32_t
sgr_gate_limits_class_ref (sgr_gate_limits_t *limits, const char *name)
{
  return group_child_ref (&limits->classes, name);
}

void
sgr_gate_limits_tenant_unref (sgr_gate_limits_t *limits, uint32_t tenant)
{
  group_child_unref (&limits->tenants, tenant);
}

void
sgr_gate_limits_class_unref (sgr_gate_limits_t *limits, uint32_t class_index)
{
  group_child_unref (&limits->classes, class_index);
}

sgr_limits_verdict_t
sgr_gate_limits_check (const sgr_gate_limits_t *limits, uint32_t tenant, uint32_t class_index)
{
  if (limits->used >= limits->slots)
    return SGR_LIMITS_NO_SLOT;
  if (!child_may_use_slot (limits, &limits->tenants, tenant))
    return SGR_LIMITS_TENANT_LIMIT;
  if (!child_may_use_slot (limits, &limits->classes, class_index))
    return SGR_LIMITS_CLASS_LIMIT;
  return SGR_LIMITS_ALLOWED;
}

/* Changes the number of slots that a child uses. */
static void
child_slots_used_change (group_t *group, uint32_t index, int change)
{
  child_t *child = &group->children[index];

  sgr_invariant (change > 0 || child->used > 0);
  child->used += (uint32_t)change;
  if (!child->is_listed)
    group->unlisted_used += (uint32_t)change;
}

void
sgr_gate_limits_slot_acquire (sgr_gate_limits_t *limits, uint32_t tenant, uint32_t class_index)
{
  sgr_invariant (limits->used < limits->slots);
  limits->used++;
  child_slots_used_change (&limits->tenants, tenant, 1);
  child_slots_used_change (&limits->classes, class_index, 1);
}

void
sgr_gate_limits_slot_release (sgr_gate_limits_t *limits, uint32_t tenant, uint32_t class_index)
{
  sgr_invariant (limits->used > 0);
  limits->used--;
  child_slots_used_change (&limits->tenants, tenant, -1);
  child_slots_used_change (&limits->classes, class_index, -1);
}

uint32_t
sgr_gate_limits_tenant_limit (const sgr_gate_limits_t *limits, uint32_t tenant)
{
  return child_limit_now (limits, &limits->tenants, tenant);
}

uint32_t
sgr_gate_limits_class_limit (const sgr_gate_limits_t *limits, uint32_t class_index)
{
  return child_limit_now (limits, &limits->classes, class_index);
}

uint32_t
sgr_gate_limits_slots_used (const sgr_gate_limits_t *limits)
{
  return limits->used;
}

uint32_t
sgr_gate_limits_slots (const sgr_gate_limits_t *limits)
{
  return limits->slots;
}
