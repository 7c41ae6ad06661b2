#ifndef SGR_CTL_KEYS_H
#define SGR_CTL_KEYS_H

#include "account.h"
#include "config_chain.h"

/**
 * sgr_ctl_keys_generate() - write a new Ed25519 key pair
 * @prefix: PREFIX.key receives the secret key with mode 0600, PREFIX.pub the public key
 * @error: receives the reason of a failure
 *
 * Return: SGR_OK; SGR_ERR_IO if a file exists already or cannot be written. Existing files are
 * never overwritten.
 */
sgr_result_t sgr_ctl_keys_generate (const char *prefix, sgr_config_error_t *error);

/**
 * sgr_ctl_keys_load_secret() - read a secret key
 * @file: name of a file that sgr_ctl_keys_generate() wrote
 * @secret: receives crypto_sign_SECRETKEYBYTES bytes
 * @error: receives the reason of a failure
 *
 * Return: SGR_OK; SGR_ERR_DENIED if its mode grants anything to the group or to others;
 * SGR_ERR_INVALID if the file holds no secret key; SGR_ERR_IO if it cannot be opened.
 */
sgr_result_t sgr_ctl_keys_load_secret (const char *file, uint8_t *secret,
                                       sgr_config_error_t *error);

/**
 * sgr_ctl_keys_parse_public() - parse a public key
 * @hex: 64 hexadecimal digits, or the line of a .pub file without its line feed
 * @key: receives SGR_CONFIG_KEY_BYTES bytes
 *
 * Return: whether @hex is a public key.
 */
bool sgr_ctl_keys_parse_public (const char *hex, uint8_t *key);

/**
 * sgr_ctl_account_key_hash() - hash the key of a client account
 * @file: name of a file whose first line is the key, "-" for standard input
 * @hex: receives the hash for the list "key_hashes" of the account
 * @error: receives the reason of a failure, without the key
 *
 * Return: SGR_OK; SGR_ERR_INVALID for a key that is empty or too long; SGR_ERR_IO if the file
 * cannot be read.
 */
sgr_result_t sgr_ctl_account_key_hash (const char *file, char hex[SGR_ACCOUNT_KEY_HEX_BYTES],
                                       sgr_config_error_t *error);

/**
 * sgr_ctl_owners_load() - read the owners file
 * @file: name of a YAML file with the deployment and the names and public keys of its owners
 * @owners: receives the owners
 * @error: receives the reason of a failure
 *
 * Return: SGR_OK; SGR_ERR_INVALID if the file is not a valid owners file; SGR_ERR_IO if it cannot
 * be opened; SGR_ERR_LIMIT if it is too large.
 */
sgr_result_t sgr_ctl_owners_load (const char *file, sgr_config_owners_t *owners,
                                  sgr_config_error_t *error);

#endif
