#ifndef CONFIG_SUPPORT_H
#define CONFIG_SUPPORT_H

#include "config_change.h"

/**
 * struct support_keys_t - a deployment with two owners, whose keys are derived from fixed seeds
 * @owners: deployment, names and public keys of the owners
 * @secret: secret keys: 0 and 1 belong to the owners; 2 belongs to no owner and creates signatures
 *          that must be rejected
 */
typedef struct
{
  sgr_config_owners_t owners;
  uint8_t secret[3][crypto_sign_SECRETKEYBYTES];
} support_keys_t;

/** support_keys_init() - set the deployment "herd" with the owners "aigerim" and "bolat" */
void support_keys_init (support_keys_t *keys);

/**
 * support_content() - body of a first change
 * @services: number of services, all with policy "p0"
 * @deadline_ms: deadline in policy "p0"
 *
 * Return: { "full": CONTENT }, owned by the caller.
 */
json_t *support_content (size_t services, uint32_t deadline_ms);

/** support_edit() - body { "edit": EDIT } that sets the deadline of policy "p0" */
json_t *support_edit (uint32_t deadline_ms);

/**
 * support_change() - create a proposal by owner 0
 * @keys: deployment and owners
 * @base: record that the change starts from, NULL for the first change
 * @id: id of the change
 * @body: body of the change; released by this function
 *
 * Return: the change, owned by the caller; aborts the program if @body is invalid.
 */
sgr_config_change_t *support_change (const support_keys_t *keys, const sgr_config_record_t *base,
                                     const char *id, json_t *body);

/**
 * support_sign() - create an approval of a change
 * @keys: owners and keys
 * @change: the change
 * @owner: index of the owner, 0 or 1
 * @key: index of the secret key that signs; another one than @owner makes the approval invalid
 */
sgr_config_approval_t support_sign (const support_keys_t *keys, const sgr_config_change_t *change,
                                    int owner, int key);

/**
 * support_record() - create the record of a change that both owners approved
 * @keys: owners and keys
 * @base: record that the change starts from, NULL for the first change
 * @id: id of the change
 * @body: body of the change; released by this function
 *
 * Return: the record, owned by the caller.
 */
sgr_config_record_t *support_record (const support_keys_t *keys, const sgr_config_record_t *base,
                                     const char *id, json_t *body);

#endif
