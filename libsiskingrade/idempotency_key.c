#include "idempotency_key.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define PREFIX_LENGTH (sizeof SGR_ISSUED_KEY_PREFIX - 1)
/* Hexadecimal digits of a 64-bit number. */
#define HEX64_DIGITS 16

/* The hash is a cryptographic one, because callers choose its input: with a fast hash a tenant
   could construct a key or a request that collides with another tenant's. */
typedef crypto_generichash_state hash_state_t;

/* @domain separates the kinds of input, so that a key and a request never hash the same bytes. */
static void
hash_begin (hash_state_t *state, const char *domain)
{
  crypto_generichash_init (state, NULL, 0, sizeof (sgr_hash128_t));
  crypto_generichash_update (state, (const unsigned char *)domain, strlen (domain));
}

/* Hashes the length before the bytes, so that different sequences of fields never yield the same
   input. */
static void
hash_bytes (hash_state_t *state, const void *bytes, size_t length)
{
  uint64_t length64 = length;

  crypto_generichash_update (state, (const unsigned char *)&length64, sizeof length64);
  if (length > 0)
    crypto_generichash_update (state, bytes, length);
}

static sgr_hash128_t
hash_end (hash_state_t *state)
{
  sgr_hash128_t hash;

  crypto_generichash_final (state, (unsigned char *)&hash, sizeof hash);
  return hash;
}

sgr_key_kind_t
sgr_key_kind_of (const char *text, size_t length)
{
  if (length == 0 || length > SGR_CALLER_KEY_LENGTH_MAX)
    return SGR_KEY_INVALID;
  for (size_t i = 0; i < length; i++)
    if (text[i] <= ' ' || text[i] > '~')
      return SGR_KEY_INVALID;
  if (length >= PREFIX_LENGTH && memcmp (text, SGR_ISSUED_KEY_PREFIX, PREFIX_LENGTH) == 0)
    return SGR_KEY_ISSUED;
  return SGR_KEY_CALLER;
}

/* Parses exactly HEX64_DIGITS lower-case hexadecimal digits. */
static bool
hex64_parse (const char *text, uint64_t *number)
{
  uint64_t value = 0;

  for (int i = 0; i < HEX64_DIGITS; i++)
    {
      char c = text[i];

      if (c >= '0' && c <= '9')
        value = (value << 4) | (uint64_t)(c - '0');
      else if (c >= 'a' && c <= 'f')
        value = (value << 4) | (uint64_t)(c - 'a' + 10);
      else
        return false;
    }
  *number = value;
  return true;
}

sgr_result_t
sgr_issued_key_parse (const char *text, size_t length, sgr_issued_key_t *key)
{
  sgr_issued_key_t parsed = { 0 };
  uint64_t *const numbers[]
      = { &parsed.node, &parsed.boot, &parsed.generation, &parsed.random.high };
  const char *digits = text + PREFIX_LENGTH;

  if (length != SGR_ISSUED_KEY_LENGTH || memcmp (text, SGR_ISSUED_KEY_PREFIX, PREFIX_LENGTH) != 0)
    return SGR_ERR_INVALID;
  /* A hyphen follows node, boot and generation. None stands between the two halves of the random
     number. */
  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++, digits += HEX64_DIGITS + 1)
    if (!hex64_parse (digits, numbers[i]) || (i < 3 && digits[HEX64_DIGITS] != '-'))
      return SGR_ERR_INVALID;
  if (!hex64_parse (digits - 1, &parsed.random.low))
    return SGR_ERR_INVALID;
  *key = parsed;
  return SGR_OK;
}

void
sgr_issued_key_format (const sgr_issued_key_t *key, char text[SGR_ISSUED_KEY_TEXT_SIZE])
{
  snprintf (text, SGR_ISSUED_KEY_TEXT_SIZE,
            SGR_ISSUED_KEY_PREFIX "%016llx-%016llx-%016llx-%016llx%016llx",
            (unsigned long long)key->node, (unsigned long long)key->boot,
            (unsigned long long)key->generation, (unsigned long long)key->random.high,
            (unsigned long long)key->random.low);
}

sgr_issued_key_t
sgr_issued_key_create (sgr_node_id_t node, sgr_boot_id_t boot, uint64_t generation)
{
  sgr_issued_key_t key = { .node = node, .boot = boot, .generation = generation };

  randombytes_buf (&key.random, sizeof key.random);
  return key;
}

sgr_hash128_t
sgr_issued_key_hash (const sgr_issued_key_t *key)
{
  hash_state_t state;

  hash_begin (&state, "issued");
  hash_bytes (&state, &key->node, sizeof key->node);
  hash_bytes (&state, &key->boot, sizeof key->boot);
  hash_bytes (&state, &key->generation, sizeof key->generation);
  hash_bytes (&state, &key->random, sizeof key->random);
  return hash_end (&state);
}

sgr_hash128_t
sgr_caller_key_hash (const char *service, const char *tenant, const char *text, size_t length)
{
  hash_state_t state;

  hash_begin (&state, "own");
  hash_bytes (&state, service, strlen (service));
  hash_bytes (&state, tenant, strlen (tenant));
  hash_bytes (&state, text, length);
  return hash_end (&state);
}

sgr_hash128_t
sgr_request_fingerprint (const char *method, const char *path, const char *tenant, const void *body,
                         size_t length)
{
  hash_state_t state;

  hash_begin (&state, "request");
  hash_bytes (&state, method, strlen (method));
  hash_bytes (&state, path, strlen (path));
  hash_bytes (&state, tenant, strlen (tenant));
  hash_bytes (&state, body, length);
  return hash_end (&state);
}
