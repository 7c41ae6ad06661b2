#ifndef SGR_GATE_LIMITS_H
#define SGR_GATE_LIMITS_H

#include "policy.h"
#include "types.h"

/**
 * enum sgr_limits_model_t - how the limits of tenants and classes (the children) relate to the
 * number of slots of the target (the limit of their parent)
 * @SGR_LIMITS_TWO_LEVEL: a request needs room within the limit of the child and within the number
 * of slots. No child limit exceeds the number of slots, but the sum of the child limits may. This
 * is the "Strict Two-Level Limits Enforcement Model" of the OpenStack Keystone specification.
 * @SGR_LIMITS_FLAT: the child limits alone keep the usage within the number of slots, so they are
 * scaled down until their sum does not exceed it. Children without a limit of their own in the
 * policy share the slots that are left.
 */
typedef enum
{
  SGR_LIMITS_TWO_LEVEL = 0,
  SGR_LIMITS_FLAT,
} sgr_limits_model_t;

/**
 * enum sgr_limits_verdict_t - whether an attempt may use one more slot
 * @SGR_LIMITS_ALLOWED: it may
 * @SGR_LIMITS_NO_SLOT: all slots are in use
 * @SGR_LIMITS_TENANT_LIMIT: the tenant has reached its limit
 * @SGR_LIMITS_CLASS_LIMIT: the class has reached its limit
 */
typedef enum
{
  SGR_LIMITS_ALLOWED = 0,
  SGR_LIMITS_NO_SLOT,
  SGR_LIMITS_TENANT_LIMIT,
  SGR_LIMITS_CLASS_LIMIT,
} sgr_limits_verdict_t;

/* Size of the table of tenants and of that of classes. Each tenant or class that uses or awaits a
   slot has an index of its own. If the table is full, further tenants or classes share index 0. */
#define SGR_LIMITS_CHILDREN_MAX 256

typedef struct sgr_gate_limits_t sgr_gate_limits_t;

sgr_gate_limits_t *sgr_gate_limits_create (sgr_limits_model_t model, const sgr_policy_t *policy);
void sgr_gate_limits_destroy (sgr_gate_limits_t *limits);

/** sgr_gate_limits_policy_update() - apply changed limits; slots in use stay in use */
void sgr_gate_limits_policy_update (sgr_gate_limits_t *limits, const sgr_policy_t *policy);

/** sgr_gate_limits_slots_set() - set the number of slots; slots in use stay in use */
void sgr_gate_limits_slots_set (sgr_gate_limits_t *limits, uint32_t slots);

/**
 * sgr_gate_limits_tenant_ref() - get the index of a tenant and add a reference to it
 * @limits: the limits
 * @name: name of the tenant
 *
 * Return: the index, below SGR_LIMITS_CHILDREN_MAX; valid until the reference is released with
 * sgr_gate_limits_tenant_unref().
 */
uint32_t sgr_gate_limits_tenant_ref (sgr_gate_limits_t *limits, const char *name);

/** sgr_gate_limits_class_ref() - as sgr_gate_limits_tenant_ref(), for a class */
uint32_t sgr_gate_limits_class_ref (sgr_gate_limits_t *limits, const char *name);

/** sgr_gate_limits_tenant_unref() - release a reference; the tenant must not use a slot when its
 * last reference is released
 */
void sgr_gate_limits_tenant_unref (sgr_gate_limits_t *limits, uint32_t tenant);
void sgr_gate_limits_class_unref (sgr_gate_limits_t *limits, uint32_t class_index);

/** sgr_gate_limits_check() - whether an attempt of a tenant and class may use one more slot */
sgr_limits_verdict_t sgr_gate_limits_check (const sgr_gate_limits_t *limits, uint32_t tenant,
                                            uint32_t class_index);

/** sgr_gate_limits_slot_acquire() - acquire a slot; the result of the check must be
 * SGR_LIMITS_ALLOWED */
void sgr_gate_limits_slot_acquire (sgr_gate_limits_t *limits, uint32_t tenant,
                                   uint32_t class_index);
void sgr_gate_limits_slot_release (sgr_gate_limits_t *limits, uint32_t tenant,
                                   uint32_t class_index);

/** sgr_gate_limits_tenant_limit() - slots that a tenant may use now, at least 1 */
uint32_t sgr_gate_limits_tenant_limit (const sgr_gate_limits_t *limits, uint32_t tenant);
uint32_t sgr_gate_limits_class_limit (const sgr_gate_limits_t *limits, uint32_t class_index);

/** sgr_gate_limits_slots_used() - number of slots in use */
uint32_t sgr_gate_limits_slots_used (const sgr_gate_limits_t *limits);

/** sgr_gate_limits_slots() - number of slots, as set by sgr_gate_limits_slots_set() */
uint32_t sgr_gate_limits_slots (const sgr_gate_limits_t *limits);

#endif
