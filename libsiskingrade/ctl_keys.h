#ifndef SGR_CTL_KEYS_H
#define SGR_CTL_KEYS_H

#include "config_chain.h"

/**
 * sgr_ctl_keys_generate() - write a new key pair
 * @prefix: PREFIX.key receives the secret key with mode 0600, PREFIX.pub the public key
 *
 * Existing files are never overwritten.
 */
sgr_result_t sgr_ctl_keys_generate (const char *prefix, sgr_config_error_t *error);

/**
 * sgr_ctl_keys_load_secret() - read a secret key
 * @secret: receives crypto_sign_SECRETKEYBYTES bytes
 *
 * Return: SGR_OK; SGR_ERR_DENIED if the file can be read by others; SGR_ERR_INVALID; SGR_ERR_IO.
 */
sgr_result_t sgr_ctl_keys_load_secret (const char *file, uint8_t *secret,
                                       sgr_config_error_t *error);

/** sgr_ctl_keys_parse_public() - read a public key of 64 hexadecimal digits */
bool sgr_ctl_keys_parse_public (const char *hex, uint8_t *key);

/**
 * sgr_ctl_owners_load() - read the owners file: deployment, and names and public keys of the owners
 */
sgr_result_t sgr_ctl_owners_load (const char *file, sgr_config_owners_t *owners,
                                  sgr_config_error_t *error);

#endif
