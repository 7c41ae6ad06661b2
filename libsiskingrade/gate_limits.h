#ifndef SGR_GATE_LIMITS_H
#define SGR_GATE_LIMITS_H

#include "policy.h"
#include "types.h"

/**
 * enum sgr_limits_model_t - how the limits of tenants and classes relate to the target's slots
 * @SGR_LIMITS_TWO_LEVEL: the usage of the whole tree stays within the parent's limit (the slots),
 * no child limit is above it, and the child limits may add up to more; after the "Strict Two-Level
 * Limits Enforcement Model", OpenStack Keystone specification
 * @SGR_LIMITS_FLAT: child limits are checked alone, so they are scaled down until they add up to
 * the slots at most; children that are not listed share what is left
 */
typedef enum
{
  SGR_LIMITS_TWO_LEVEL = 0,
  SGR_LIMITS_FLAT,
} sgr_limits_model_t;

/**
 * enum sgr_limits_verdict_t - whether a slot may be taken
 */
typedef enum
{
  SGR_LIMITS_FREE = 0,
  SGR_LIMITS_SLOTS,
  SGR_LIMITS_TENANT,
  SGR_LIMITS_CLASS,
} sgr_limits_verdict_t;

/* Tenants and classes that hold or await a slot; more of them share one entry. */
#define SGR_LIMITS_NAMES_MAX 256

typedef struct sgr_gate_limits_t sgr_gate_limits_t;

sgr_gate_limits_t *sgr_gate_limits_create (sgr_limits_model_t model, const sgr_policy_t *policy);
void sgr_gate_limits_destroy (sgr_gate_limits_t *limits);

/** sgr_gate_limits_policy_update() - change the limits; slots that are taken stay taken */
void sgr_gate_limits_policy_update (sgr_gate_limits_t *limits, const sgr_policy_t *policy);

/** sgr_gate_limits_slots_set() - change the parent's limit */
void sgr_gate_limits_slots_set (sgr_gate_limits_t *limits, uint32_t slots);

/**
 * sgr_gate_limits_tenant_hold() - number of a tenant, held until sgr_gate_limits_tenant_drop()
 * @limits: the limits
 * @name: name of the tenant
 *
 * Return: a number below SGR_LIMITS_NAMES_MAX.
 */
uint32_t sgr_gate_limits_tenant_hold (sgr_gate_limits_t *limits, const char *name);
uint32_t sgr_gate_limits_class_hold (sgr_gate_limits_t *limits, const char *name);
void sgr_gate_limits_tenant_drop (sgr_gate_limits_t *limits, uint32_t tenant);
void sgr_gate_limits_class_drop (sgr_gate_limits_t *limits, uint32_t class_number);

/** sgr_gate_limits_check() - whether a tenant and a class may take one more slot */
sgr_limits_verdict_t sgr_gate_limits_check (const sgr_gate_limits_t *limits, uint32_t tenant,
                                            uint32_t class_number);

/** sgr_gate_limits_take() - take a slot after a verdict of SGR_LIMITS_FREE */
void sgr_gate_limits_take (sgr_gate_limits_t *limits, uint32_t tenant, uint32_t class_number);
void sgr_gate_limits_release (sgr_gate_limits_t *limits, uint32_t tenant, uint32_t class_number);

/** sgr_gate_limits_tenant_limit() - limit in effect for a tenant, at least 1 */
uint32_t sgr_gate_limits_tenant_limit (const sgr_gate_limits_t *limits, uint32_t tenant);
uint32_t sgr_gate_limits_class_limit (const sgr_gate_limits_t *limits, uint32_t class_number);

/** sgr_gate_limits_used() - slots taken in the whole tree */
uint32_t sgr_gate_limits_used (const sgr_gate_limits_t *limits);
uint32_t sgr_gate_limits_slots (const sgr_gate_limits_t *limits);

#endif
