#include "config_support.h"

#include <stdio.h>
#include <string.h>

void
support_keys_init (support_keys_t *keys)
{
  static const char *const names[] = { "aigerim", "bolat" };
  uint8_t public_key[crypto_sign_PUBLICKEYBYTES];

  sgr_invariant (sodium_init () >= 0);
  memset (keys, 0, sizeof *keys);
  snprintf (keys->owners.deployment, sizeof keys->owners.deployment, "herd");
  for (int i = 0; i < 3; i++)
    {
      uint8_t seed[crypto_sign_SEEDBYTES];

      memset (seed, i + 1, sizeof seed);
      crypto_sign_seed_keypair (public_key, keys->secret[i], seed);
      /* The third key belongs to no owner. */
      if (i == 2)
        break;
      snprintf (keys->owners.owner[i].name, sizeof keys->owners.owner[i].name, "%s", names[i]);
      memcpy (keys->owners.owner[i].key, public_key, sizeof public_key);
    }
}

json_t *
support_content (size_t services, uint32_t deadline_ms)
{
  json_t *content = json_object (), *list = json_array (), *policies = json_array ();
  json_t *policy = json_pack ("{s:s, s:i}", "name", "p0", "deadline_ms", (int)deadline_ms);

  json_array_append_new (policies, policy);
  for (size_t i = 0; i < services; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "service-%04zu", i);
      json_array_append_new (list, json_pack ("{s:s, s:s}", "name", name, "policy", "p0"));
    }
  json_object_set_new (content, "policies", policies);
  json_object_set_new (content, "services", list);
  return json_pack ("{s:o}", "full", content);
}

json_t *
support_edit (uint32_t deadline_ms)
{
  return json_pack ("{s:{s:{s:[{s:s, s:i}]}}}", "edit", "put", "policies", "name", "p0",
                    "deadline_ms", (int)deadline_ms);
}

sgr_config_change_t *
support_change (const support_keys_t *keys, const sgr_config_record_t *base, const char *id,
                json_t *body)
{
  sgr_config_change_t *change;
  sgr_config_error_t error = { SGR_OK };
  sgr_result_t result = sgr_config_change_propose (keys->owners.deployment, base, id, "aigerim",
                                                   body, &change, &error);

  if (result != SGR_OK)
    fprintf (stderr, "support_change: %s: %s\n", error.path, error.message);
  sgr_invariant (result == SGR_OK);
  snprintf (change->writer, sizeof change->writer, "writer-%.50s", id);
  json_decref (body);
  return change;
}

sgr_config_approval_t
support_sign (const support_keys_t *keys, const sgr_config_change_t *change, int owner, int key)
{
  sgr_config_approval_t approval = { { 0 } };
  sgr_config_digest_t digest;

  snprintf (approval.owner, sizeof approval.owner, "%s", keys->owners.owner[owner].name);
  sgr_config_change_digest (change, &digest);
  sgr_config_statement_sign (&digest, keys->secret[key], approval.signature);
  return approval;
}

sgr_config_record_t *
support_record (const support_keys_t *keys, const sgr_config_record_t *base, const char *id,
                json_t *body)
{
  sgr_config_change_t *change = support_change (keys, base, id, body);
  sgr_config_record_t *record = NULL;
  sgr_config_error_t error = { SGR_OK };

  for (int i = 0; i < SGR_CONFIG_OWNER_COUNT; i++)
    {
      sgr_config_approval_t approval = support_sign (keys, change, i, i);

      sgr_invariant (sgr_config_change_approve (change, &keys->owners, &approval, &error)
                     == SGR_OK);
    }
  if (sgr_config_change_to_record (change, &keys->owners, base, &record, &error) != SGR_OK)
    fprintf (stderr, "support_record: %s: %s\n", error.path, error.message);
  sgr_invariant (record != NULL);
  sgr_config_change_destroy (change);
  return record;
}
