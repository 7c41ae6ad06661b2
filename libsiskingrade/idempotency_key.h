#ifndef SGR_IDEMPOTENCY_KEY_H
#define SGR_IDEMPOTENCY_KEY_H

#include "result.h"
#include "rng.h"
#include "types.h"

/* Issued keys have the form "sk1-NODE-BOOT-GENERATION-RANDOM". The first three fields have 16
   lower-case hexadecimal digits each, RANDOM has 32. */
#define SGR_ISSUED_KEY_PREFIX "sk1-"
#define SGR_ISSUED_KEY_LENGTH 87
#define SGR_ISSUED_KEY_TEXT_SIZE (SGR_ISSUED_KEY_LENGTH + 1)
#define SGR_CALLER_KEY_LENGTH_MAX 255

/** struct sgr_hash128_t - 128-bit hash or random number */
typedef struct
{
  uint64_t high;
  uint64_t low;
} sgr_hash128_t;

/**
 * enum sgr_key_kind_t - who chose an idempotency key
 * @SGR_KEY_INVALID: not a valid key; the call is answered with an error
 * @SGR_KEY_ISSUED: a node issued it; the key itself names its gate
 * @SGR_KEY_CALLER: the caller chose it; a record in the store binds it to a gate
 */
typedef enum
{
  SGR_KEY_INVALID = 0,
  SGR_KEY_ISSUED,
  SGR_KEY_CALLER,
} sgr_key_kind_t;

/**
 * struct sgr_issued_key_t - a key that a node issued
 * @node: node of the gate that the key is bound to
 * @boot: boot id of that gate
 * @generation: latest key generation of that gate known to the issuing node, see gate_ledger.h
 * @random: makes the key unique; from a cryptographic random source
 */
typedef struct
{
  sgr_node_id_t node;
  sgr_boot_id_t boot;
  uint64_t generation;
  sgr_hash128_t random;
} sgr_issued_key_t;

/**
 * sgr_key_kind_of() - classify an idempotency key
 * @text: value of the Idempotency-Key header, not zero-terminated
 * @length: its length in bytes
 *
 * Return: SGR_KEY_ISSUED for every text that starts with the prefix of issued keys, so that a
 * damaged issued key causes an error instead of being used as a key that the caller chose;
 * SGR_KEY_INVALID if the text is empty, longer than SGR_CALLER_KEY_LENGTH_MAX or contains a space
 * or a byte outside printable ASCII.
 */
sgr_key_kind_t sgr_key_kind_of (const char *text, size_t length);

/**
 * sgr_issued_key_parse() - parse an issued key
 * @text: the text, not zero-terminated
 * @length: its length in bytes
 * @key: receives the key; unchanged after an error
 *
 * Return: SGR_OK, or SGR_ERR_INVALID if the text does not have the form of an issued key.
 */
sgr_result_t sgr_issued_key_parse (const char *text, size_t length, sgr_issued_key_t *key);

/**
 * sgr_issued_key_format() - format an issued key
 * @key: the key
 * @text: receives SGR_ISSUED_KEY_LENGTH bytes and a terminating zero
 */
void sgr_issued_key_format (const sgr_issued_key_t *key, char text[SGR_ISSUED_KEY_TEXT_SIZE]);

/**
 * sgr_issued_key_create() - create a key
 * @node: node of the gate
 * @boot: boot id of the gate
 * @generation: key generation of the gate
 *
 * The random part comes from the system's cryptographic random source.
 */
sgr_issued_key_t sgr_issued_key_create (sgr_node_id_t node, sgr_boot_id_t boot,
                                        uint64_t generation);

/** sgr_issued_key_hash() - hash under which the gate's ledger stores an issued key */
sgr_hash128_t sgr_issued_key_hash (const sgr_issued_key_t *key);

/**
 * sgr_caller_key_hash() - hash of a key that a caller chose
 * @service: name of the service
 * @tenant: name of the tenant
 * @text: the key, not zero-terminated
 * @length: its length in bytes
 *
 * Service and tenant are part of the hash, so that equal texts of two tenants are different keys.
 */
sgr_hash128_t sgr_caller_key_hash (const char *service, const char *tenant, const char *text,
                                   size_t length);

/**
 * sgr_request_fingerprint() - hash of a request; two requests with one key must have equal hashes
 * @method: HTTP method
 * @path: path with the query string
 * @tenant: name of the tenant
 * @body: body of the request
 * @length: its length in bytes
 */
sgr_hash128_t sgr_request_fingerprint (const char *method, const char *path, const char *tenant,
                                       const void *body, size_t length);

static inline bool
sgr_hash128_equal (sgr_hash128_t a, sgr_hash128_t b)
{
  return a.high == b.high && a.low == b.low;
}

#endif
