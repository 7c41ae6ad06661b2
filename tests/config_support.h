#ifndef CONFIG_SUPPORT_H
#define CONFIG_SUPPORT_H

#include "config_change.h"

/** struct support_keys_t - two owners with keys made from fixed seeds, and a third key */
typedef struct
{
  sgr_config_owners_t owners;
  uint8_t secret[3][crypto_sign_SECRETKEYBYTES];
} support_keys_t;

void support_keys_init (support_keys_t *keys);

/** support_content() - content of @services services whose deadline is @deadline_ms */
json_t *support_content (size_t services, uint32_t deadline_ms);

/** support_edit() - edit that sets the deadline of policy "p0" */
json_t *support_edit (uint32_t deadline_ms);

/** support_change() - proposal with the body given, which is released */
sgr_config_change_t *support_change (const support_keys_t *keys, const sgr_config_record_t *base,
                                     const char *id, json_t *body);

/** support_sign() - approval of a change by owner 0 or 1, made with secret key @key */
sgr_config_approval_t support_sign (const support_keys_t *keys, const sgr_config_change_t *change,
                                    int owner, int key);

/** support_record() - record of a change approved by both owners; the body is released */
sgr_config_record_t *support_record (const support_keys_t *keys, const sgr_config_record_t *base,
                                     const char *id, json_t *body);

#endif
