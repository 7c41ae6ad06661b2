#include "node_fixture_config.h"

#include <stdlib.h>
#include <string.h>

#include "config_change.h"
#include "timer_heap.h"

#define POST_TIMEOUT_US (20ULL * 1000 * 1000)

static const char *const owner_names[SGR_CONFIG_OWNER_COUNT] = { "one", "two" };

/* Derives the key pair of an owner from a fixed seed, so that each call returns the same keys. */
static void
owner_keys_derive (int owner, uint8_t *public_key, uint8_t *secret)
{
  uint8_t seed[crypto_sign_SEEDBYTES];

  sgr_invariant (sodium_init () >= 0);
  memset (seed, owner + 1, sizeof seed);
  crypto_sign_seed_keypair (public_key, secret, seed);
}

void
sgr_fixture_owners_write (FILE *file)
{
  uint8_t public_key[crypto_sign_PUBLICKEYBYTES];
  uint8_t secret[crypto_sign_SECRETKEYBYTES];
  char hex[2 * sizeof public_key + 1];

  fprintf (file, "owners:\n");
  for (int i = 0; i < SGR_CONFIG_OWNER_COUNT; i++)
    {
      owner_keys_derive (i, public_key, secret);
      sodium_bin2hex (hex, sizeof hex, public_key, sizeof public_key);
      fprintf (file, "  - name: %s\n    public_key: %s\n", owner_names[i], hex);
    }
}

static const char *
policy_name (const char *service)
{
  if (strcmp (service, "pair") == 0)
    return "shedding";
  return strcmp (service, "cold") == 0 ? "cold" : "plain";
}

static json_t *
content_create (const sgr_fixture_t *fixture)
{
  json_t *services = json_array (), *content;

  for (size_t i = 0; i < fixture->count; i++)
    {
      const char *service = fixture->nodes[i].service;
      bool is_listed = service == NULL;

      for (size_t j = 0; j < i && !is_listed; j++)
        is_listed
            = fixture->nodes[j].service != NULL && strcmp (fixture->nodes[j].service, service) == 0;
      if (!is_listed)
        json_array_append_new (
            services, json_pack ("{s:s, s:s}", "name", service, "policy", policy_name (service)));
    }
  /* With retry_percent 100, each successful call allows one retry. With the default of 10, a test
     that repeats shed calls would exhaust the retry budget whenever its first attempts go to the
     shedding target. */
  content = json_pack ("{s:{s:[{s:s}, {s:s, s:[i], s:i}, {s:s, s:i, s:i, s:s, s:i}], s:o}}", "full",
                       "policies", "name", "plain", "name", "shedding", "not_run_status", 503,
                       "retry_percent", 100, "name", "cold", "cold_calls_per_s",
                       SGR_FIXTURE_COLD_CALLS_PER_S, "cold_start_ms", 2000, "load_path", "/ready",
                       "load_calls_per_s", 640, "services", services);
  if (fixture->is_routed)
    json_object_set_new (json_object_get (content, "full"), "routes",
                         json_pack ("[{s:s, s:s, s:s, s:[{s:O, s:i}]}]", "name", SGR_FIXTURE_ROUTE,
                                    "host", "test", "prefix", "/", "services", "service",
                                    json_object_get (json_array_get (services, 0), "name"),
                                    "weight", 1));
  return content;
}

/* Sends a POST request with JSON. Sends it again after status 503 or without an answer, because the
   node may not have read the configuration from the store yet. */
static bool
post_until_accepted (const sgr_fixture_t *fixture, const char *path, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  uint64_t end_us = sgr_clock_monotonic_us () + POST_TIMEOUT_US;
  sgr_probe_request_t request = { .port = fixture->nodes[0].control,
                                  .method = "POST",
                                  .path = path,
                                  .body = text,
                                  .body_length = strlen (text),
                                  .timeout_ms = 5000 };
  int status = 0;

  while (status != 200 && sgr_clock_monotonic_us () < end_us)
    {
      sgr_probe_answer_t answer;

      sgr_probe_call (&request, &answer);
      status = answer.status;
      if (status != 200 && status != 503 && status != 0)
        {
          fprintf (stderr, "POST %s: %d %s\n", path, status, answer.body);
          end_us = 0;
        }
      sgr_probe_release (&answer);
      if (status != 200)
        sgr_fixture_poll_sleep ();
    }
  free (text);
  json_decref (json);
  return status == 200;
}

static bool
change_approve (const sgr_fixture_t *fixture, const sgr_config_change_t *change, int owner)
{
  sgr_config_approval_t approval = { 0 };
  uint8_t public_key[crypto_sign_PUBLICKEYBYTES];
  uint8_t secret[crypto_sign_SECRETKEYBYTES];
  char hex[SGR_CONFIG_DIGEST_HEX_BYTES];
  sgr_config_digest_t digest;
  char path[128];

  sgr_config_change_digest (change, &digest);
  sgr_config_digest_format (&digest, hex);
  owner_keys_derive (owner, public_key, secret);
  snprintf (approval.owner, sizeof approval.owner, "%s", owner_names[owner]);
  sgr_config_statement_sign (&digest, secret, approval.signature);
  snprintf (path, sizeof path, "/v1/changes/%s/approve", change->statement.id);
  return post_until_accepted (
      fixture, path,
      json_pack ("{s:s, s:o}", "digest", hex, "approval", sgr_config_approval_write (&approval)));
}

/* Proposes a change of the record @base, NULL for the first one, and approves it. */
static bool
change_set (const sgr_fixture_t *fixture, const sgr_config_record_t *base, const char *id,
            json_t *body)
{
  sgr_config_change_t *change;
  sgr_config_error_t error = { SGR_OK };
  sgr_result_t result = sgr_config_change_propose (SGR_FIXTURE_DEPLOYMENT, base, id, owner_names[0],
                                                   body, &change, &error);
  bool is_set;

  sgr_invariant (result == SGR_OK);
  is_set = post_until_accepted (fixture, "/v1/changes", sgr_config_change_write (change))
           && change_approve (fixture, change, 0) && change_approve (fixture, change, 1);
  sgr_config_change_destroy (change);
  json_decref (body);
  return is_set;
}

bool
sgr_fixture_services_set (const sgr_fixture_t *fixture)
{
  return change_set (fixture, NULL, "first", content_create (fixture));
}

/* Reads the record that the first node has in force. */
static sgr_config_record_t *
record_read (const sgr_fixture_t *fixture)
{
  sgr_probe_request_t request = { .port = fixture->nodes[0].control, .path = "/v1/config/raw" };
  sgr_config_owners_t owners = { .deployment = SGR_FIXTURE_DEPLOYMENT };
  sgr_config_error_t error = { SGR_OK };
  sgr_config_record_t *record = NULL;
  uint8_t secret[crypto_sign_SECRETKEYBYTES];
  sgr_probe_answer_t answer;

  for (int i = 0; i < SGR_CONFIG_OWNER_COUNT; i++)
    {
      snprintf (owners.owner[i].name, sizeof owners.owner[i].name, "%s", owner_names[i]);
      owner_keys_derive (i, owners.owner[i].key, secret);
    }
  sgr_probe_call (&request, &answer);
  sgr_invariant (answer.status == 200);
  sgr_invariant (sgr_config_record_verify (&owners, answer.body, answer.length, &record, &error)
                 == SGR_OK);
  sgr_probe_release (&answer);
  return record;
}

bool
sgr_fixture_change_set (const sgr_fixture_t *fixture, const char *id, json_t *edit)
{
  sgr_config_record_t *base = record_read (fixture);
  bool is_set = change_set (fixture, base, id, json_pack ("{s:o}", "edit", edit));

  sgr_config_record_destroy (base);
  return is_set;
}
