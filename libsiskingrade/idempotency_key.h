#ifndef SGR_IDEMPOTENCY_KEY_H
#define SGR_IDEMPOTENCY_KEY_H

#include "result.h"
#include "rng.h"
#include "types.h"

/* "sk1-" node "-" boot "-" generation "-" random, each in fixed-width lower-case hexadecimal. */
#define SGR_ISSUED_KEY_PREFIX "sk1-"
#define SGR_ISSUED_KEY_LENGTH 87
#define SGR_ISSUED_KEY_TEXT_SIZE (SGR_ISSUED_KEY_LENGTH + 1)
#define SGR_OWN_KEY_LENGTH_MAX 255

/** struct sgr_hash128_t - 128 bits of a key or of a fingerprint */
typedef struct
{
  uint64_t high;
  uint64_t low;
} sgr_hash128_t;

/**
 * enum sgr_key_kind_t - who made an idempotency key
 * @SGR_KEY_INVALID: neither; the call is answered with an error
 * @SGR_KEY_ISSUED: a node issued it; it names its gate
 * @SGR_KEY_OWN: the caller made it; the store binds it to a gate
 */
typedef enum
{
  SGR_KEY_INVALID = 0,
  SGR_KEY_ISSUED,
  SGR_KEY_OWN,
} sgr_key_kind_t;

/**
 * struct sgr_issued_key_t - a key that a node issued
 * @node: node of the gate that it is bound to
 * @boot: boot id of that gate
 * @generation: key generation of that gate as the issuing node last knew it, see gate_ledger.h
 * @random: makes the key unique; from a cryptographic source
 */
typedef struct
{
  sgr_node_id_t node;
  sgr_boot_id_t boot;
  uint64_t generation;
  sgr_hash128_t random;
} sgr_issued_key_t;

/**
 * sgr_key_kind_of() - tell the two kinds of key apart
 * @text: value of the Idempotency-Key header, not terminated
 * @length: its length in bytes
 *
 * Return: SGR_KEY_ISSUED for every text that starts with the prefix of issued keys, so that a
 * damaged issued key is an error and never taken for a caller's own key; SGR_KEY_INVALID for an
 * empty or too long text and for bytes outside printable ASCII.
 */
sgr_key_kind_t sgr_key_kind_of (const char *text, size_t length);

/**
 * sgr_issued_key_parse() - read an issued key
 * @text: the text, not terminated
 * @length: its length in bytes
 * @key: receives the key
 *
 * Return: SGR_OK or SGR_ERR_INVALID.
 */
sgr_result_t sgr_issued_key_parse (const char *text, size_t length, sgr_issued_key_t *key);

/**
 * sgr_issued_key_format() - write an issued key
 * @key: the key
 * @text: receives SGR_ISSUED_KEY_LENGTH bytes and a terminating zero
 */
void sgr_issued_key_format (const sgr_issued_key_t *key, char text[SGR_ISSUED_KEY_TEXT_SIZE]);

/**
 * sgr_issued_key_create() - issue a key
 * @node: node of the gate
 * @boot: boot id of the gate
 * @generation: key generation of the gate
 *
 * The random part comes from the random source of the system.
 */
sgr_issued_key_t sgr_issued_key_create (sgr_node_id_t node, sgr_boot_id_t boot,
                                        uint64_t generation);

/** sgr_issued_key_hash() - hash by which the ledger of the gate finds an issued key */
sgr_hash128_t sgr_issued_key_hash (const sgr_issued_key_t *key);

/**
 * sgr_own_key_hash() - hash of a caller's own key; equal texts of two tenants are two keys
 * @service: name of the service
 * @tenant: name of the tenant
 * @text: the key, not terminated
 * @length: its length in bytes
 */
sgr_hash128_t sgr_own_key_hash (const char *service, const char *tenant, const char *text,
                                size_t length);

/**
 * sgr_request_fingerprint() - what must be equal in two requests under one key
 * @method: HTTP method
 * @path: path with the query
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
