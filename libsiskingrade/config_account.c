#include "config_account.h"

#include <stdlib.h>
#include <string.h>

#include "config_json.h"
#include "config_resource.h"
#include "http_fields.h"

#define KEYS_KEY "key_hashes"
/* Keys of accounts of a source: the name by which targets know the account, and why the source
   could not translate the account. */
#define FULL_NAME_KEY "full_name"
#define UNUSABLE_KEY "unusable"
/* Longest name in a header field. */
#define FULL_NAME_MAX 4096

/**
 * struct key_place_t - a key and its place in the document
 * @key: the key
 * @position: index of the key in its account
 */
typedef struct
{
  sgr_account_key_t key;
  size_t position;
} key_place_t;

/* Reads the hash at an index of the keys of an account. */
static sgr_result_t
hash_read (const json_t *list, size_t index, sgr_hash128_t *hash)
{
  const json_t *value = json_array_get (list, index);

  if (!json_is_string (value))
    return SGR_ERR_INVALID;
  return sgr_account_key_hash_parse (json_string_value (value), json_string_length (value), hash);
}

static sgr_result_t
check_hashes (const json_t *json, const char *path, sgr_config_error_t *error)
{
  const json_t *list = json_object_get (json, KEYS_KEY);
  char key_path[SGR_CONFIG_PATH_BYTES];
  sgr_hash128_t hash;

  sgr_config_json_path (key_path, path, KEYS_KEY);
  if (!json_is_array (list) || json_array_size (list) > SGR_CONFIG_RESOURCES_MAX)
    return sgr_config_error_set (error, SGR_ERR_INVALID, key_path, "expected a list of at most %d",
                                 SGR_CONFIG_RESOURCES_MAX);
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      if (hash_read (list, i, &hash) == SGR_OK)
        continue;
      sgr_config_json_path_at (key_path, path, KEYS_KEY, i);
      return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                                   "expected a text of 32 hexadecimal digits in lower case");
    }
  return SGR_OK;
}

static sgr_result_t
read_optional_u32 (const json_t *json, const char *path, const char *key, uint64_t max,
                   uint32_t *field, sgr_config_error_t *error)
{
  uint64_t value;

  if (json_object_get (json, key) == NULL)
    return SGR_OK;
  if (sgr_config_json_u64 (json, path, key, 0, max, &value, error) != SGR_OK)
    return SGR_ERR_INVALID;
  *field = (uint32_t)value;
  return SGR_OK;
}

/* Reads the name by which targets know the account, if it is not the name itself. */
static sgr_result_t
read_full_name (const json_t *json, const char *path, const char **full_name,
                sgr_config_error_t *error)
{
  const json_t *value = json_object_get (json, FULL_NAME_KEY);
  const char *text = json_string_value (value);
  char key_path[SGR_CONFIG_PATH_BYTES];

  *full_name = text;
  if (value == NULL
      || (text != NULL && strlen (text) == json_string_length (value)
          && strlen (text) <= FULL_NAME_MAX && sgr_http_is_field_value (text, strlen (text))))
    return SGR_OK;
  sgr_config_json_path (key_path, path, FULL_NAME_KEY);
  return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                               "expected a header field value of at most %d bytes", FULL_NAME_MAX);
}

/* Reads the fields that have no memory of their own. */
static sgr_result_t
read_scalars (const json_t *json, const char *path, const sgr_config_rules_t *rules,
              sgr_account_t *account, sgr_config_error_t *error)
{
  if (read_optional_u32 (json, path, "priority", rules->account_priority_max, &account->priority,
                         error)
          != SGR_OK
      || read_optional_u32 (json, path, "rate_per_s", SGR_ACCOUNT_RATE_MAX, &account->rate_per_s,
                            error)
             != SGR_OK)
    return SGR_ERR_INVALID;
  return read_optional_u32 (json, path, "burst", SGR_ACCOUNT_BURST_MAX, &account->burst, error);
}

sgr_result_t
sgr_config_account_read (const json_t *json, const char *path, const sgr_config_rules_t *rules,
                         sgr_account_t *account, sgr_config_error_t *error)
{
  static const char *const required[] = { "name", KEYS_KEY, NULL };
  static const char *const optional[] = { "priority", "rate_per_s", "burst", "regions", NULL };
  static const char *const optional_of_source[]
      = { "priority", "rate_per_s", "burst", "regions", FULL_NAME_KEY, NULL };
  sgr_region_id_t *regions = NULL;
  sgr_account_t read = { 0 };
  sgr_result_t result = SGR_ERR_INVALID;

  *account = read;
  if (rules->is_partial && json_object_get (json, UNUSABLE_KEY) != NULL)
    return sgr_config_error_set (error, SGR_ERR_INVALID, path, "%s",
                                 json_string_value (json_object_get (json, UNUSABLE_KEY)));
  if (sgr_config_json_object (json, path, required,
                              rules->is_partial ? optional_of_source : optional, error)
          == SGR_OK
      && sgr_config_json_name (json, path, "name", read.name, error) == SGR_OK
      && check_hashes (json, path, error) == SGR_OK
      && read_scalars (json, path, rules, &read, error) == SGR_OK
      && read_full_name (json, path, &read.full_name, error) == SGR_OK)
    result = sgr_config_json_regions (json, path, rules, &read.regions, &regions, error);
  if (result == SGR_OK)
    sgr_account_copy (account, &read);
  free (regions);
  return result;
}

/* Reads an account that cannot be carried out: only its name counts, and its keys. */
static void
read_unusable (const json_t *json, sgr_account_t *account)
{
  sgr_account_t read = { .is_unusable = true };

  sgr_config_json_name (json, "", "name", read.name, NULL);
  sgr_account_copy (account, &read);
}

json_t *
sgr_config_account_normalize (const json_t *json)
{
  json_t *regions = json_object_get (json, "regions");
  sgr_account_t account;
  json_t *normal;

  sgr_config_account_read (json, "", &sgr_config_rules_owners, &account, NULL);
  normal = json_pack ("{s:s, s:O, s:I, s:I, s:I}", "name", account.name, KEYS_KEY,
                      json_object_get (json, KEYS_KEY), "priority", (json_int_t)account.priority,
                      "rate_per_s", (json_int_t)account.rate_per_s, "burst",
                      (json_int_t)account.burst);
  /* Earlier versions of the program refuse this key, so that it is only written where needed. */
  if (regions != NULL)
    json_object_set (normal, "regions", regions);
  sgr_account_release (&account);
  return normal;
}

/* Orders keys by hash, equal ones by their place in the document. */
static int
place_compare (const void *a, const void *b)
{
  const key_place_t *left = a, *right = b;

  if (left->key.hash.high != right->key.hash.high)
    return left->key.hash.high < right->key.hash.high ? -1 : 1;
  if (left->key.hash.low != right->key.hash.low)
    return left->key.hash.low < right->key.hash.low ? -1 : 1;
  if (left->key.account != right->key.account)
    return left->key.account < right->key.account ? -1 : 1;
  return (left->position > right->position) - (left->position < right->position);
}

static sgr_result_t
repeated_key_refuse (const sgr_config_accounts_t *accounts, const key_place_t *places, size_t index,
                     const char *path, sgr_config_error_t *error)
{
  const key_place_t *place = &places[index];
  char item_path[SGR_CONFIG_PATH_BYTES], key_path[SGR_CONFIG_PATH_BYTES];

  sgr_config_json_path_at (item_path, path, "accounts", place->key.account);
  sgr_config_json_path_at (key_path, item_path, KEYS_KEY, place->position);
  return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                               "account \"%s\": found a key of account \"%s\" a second time, "
                               "expected each key once",
                               accounts->list[place->key.account].name,
                               accounts->list[places[index - 1].key.account].name);
}

/* Collects the valid hashes of the keys of all accounts, in an array to be freed by the caller. */
static key_place_t *
places_collect (const json_t *list, size_t accounts, size_t *count)
{
  size_t capacity = 0;
  key_place_t *places;

  *count = 0;
  for (size_t i = 0; i < accounts; i++)
    capacity += json_array_size (json_object_get (json_array_get (list, i), KEYS_KEY));
  places = calloc (capacity + 1, sizeof *places);
  sgr_invariant (places != NULL);
  for (size_t i = 0; i < accounts; i++)
    {
      const json_t *hashes = json_object_get (json_array_get (list, i), KEYS_KEY);

      for (size_t j = 0; j < json_array_size (hashes); j++)
        {
          key_place_t *place = &places[*count];

          *place = (key_place_t){ .key.account = (uint32_t)i, .position = j };
          *count += hash_read (hashes, j, &place->key.hash) == SGR_OK;
        }
    }
  if (*count > 1)
    qsort (places, *count, sizeof *places, place_compare);
  return places;
}

/* Collects the keys of all accounts. Of a key that is used twice, only the first place counts, and
   with rules that are not partial it is an error. */
static sgr_result_t
build_keys (sgr_config_accounts_t *accounts, const json_t *list, const char *path,
            const sgr_config_rules_t *rules, sgr_config_problems_t *problems,
            sgr_config_error_t *error)
{
  size_t count;
  key_place_t *places = places_collect (list, accounts->count, &count);
  sgr_config_error_t repeated;
  sgr_result_t result = SGR_OK;

  accounts->keys = calloc (count + 1, sizeof *accounts->keys);
  sgr_invariant (accounts->keys != NULL);
  for (size_t i = 0; i < count && result == SGR_OK; i++)
    {
      if (i == 0 || !sgr_hash128_equal (places[i - 1].key.hash, places[i].key.hash))
        {
          accounts->keys[accounts->key_count++] = places[i].key;
          continue;
        }
      if (!rules->is_partial)
        result = repeated_key_refuse (accounts, places, i, path, error);
      else if (places[i - 1].key.account != places[i].key.account)
        {
          repeated_key_refuse (accounts, places, i, path, &repeated);
          sgr_config_problem_add (problems, &repeated);
        }
    }
  free (places);
  return result;
}

sgr_result_t
sgr_config_accounts_build (sgr_config_accounts_t *accounts, const json_t *json, const char *path,
                           const sgr_config_rules_t *rules, sgr_config_problems_t *problems,
                           sgr_config_error_t *error)
{
  const json_t *list = json_object_get (json, "accounts");

  *accounts = (sgr_config_accounts_t){ .is_in_use = list != NULL, .count = json_array_size (list) };
  accounts->list = calloc (accounts->count + 1, sizeof *accounts->list);
  sgr_invariant (accounts->list != NULL);
  for (size_t i = 0; i < accounts->count; i++)
    {
      const json_t *item = json_array_get (list, i);
      sgr_config_error_t problem = { SGR_OK };
      char item_path[SGR_CONFIG_PATH_BYTES];

      sgr_config_json_path_at (item_path, path, "accounts", i);
      if (sgr_config_account_read (item, item_path, rules, &accounts->list[i], &problem) == SGR_OK)
        continue;
      if (!rules->is_partial)
        {
          if (error != NULL)
            *error = problem;
          return SGR_ERR_INVALID;
        }
      read_unusable (item, &accounts->list[i]);
      sgr_config_problem_add (problems, &problem);
    }
  return build_keys (accounts, list, path, rules, problems, error);
}

void
sgr_config_accounts_release (sgr_config_accounts_t *accounts)
{
  sgr_accounts_free (accounts->list, accounts->count);
  free (accounts->keys);
  *accounts = (sgr_config_accounts_t){ 0 };
}
