#include <sodium.h>
#include <string.h>

#include "config_resource.h"

char *
sgr_config_json_canonical (const json_t *json)
{
  return json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENSURE_ASCII | JSON_ENCODE_ANY);
}

static int
digest_update (const char *bytes, size_t length, void *ctx)
{
  return crypto_generichash_update (ctx, (const unsigned char *)bytes, length);
}

void
sgr_config_json_digest (const json_t *json, sgr_config_digest_t *digest)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, sizeof digest->bytes);
  json_dump_callback (json, digest_update, &state,
                      JSON_COMPACT | JSON_SORT_KEYS | JSON_ENSURE_ASCII | JSON_ENCODE_ANY);
  crypto_generichash_final (&state, digest->bytes, sizeof digest->bytes);
}

void
sgr_config_digest_format (const sgr_config_digest_t *digest, char *hex)
{
  sodium_bin2hex (hex, SGR_CONFIG_DIGEST_HEX_BYTES, digest->bytes, sizeof digest->bytes);
}

bool
sgr_config_digest_parse (const char *hex, sgr_config_digest_t *digest)
{
  size_t length;

  return strlen (hex) == 2 * sizeof digest->bytes
         && sodium_hex2bin (digest->bytes, sizeof digest->bytes, hex, strlen (hex), NULL, &length,
                            NULL)
                == 0
         && length == sizeof digest->bytes;
}

bool
sgr_config_digest_equal (const sgr_config_digest_t *a, const sgr_config_digest_t *b)
{
  return memcmp (a->bytes, b->bytes, sizeof a->bytes) == 0;
}
