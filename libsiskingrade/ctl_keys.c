#include "ctl_keys.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "config_json.h"
#include "ctl_yaml.h"

/* The line of a key file is one of these tags followed by the key in hexadecimal digits. */
#define SECRET_TAG "siskingrade-ed25519-secret "
#define PUBLIC_TAG "siskingrade-ed25519-public "

static sgr_result_t
key_file_write (const char *prefix, const char *suffix, mode_t mode, const char *tag,
                const uint8_t *bytes, size_t length, sgr_config_error_t *error)
{
  char file[4096], hex[2 * crypto_sign_SECRETKEYBYTES + 1], line[256];
  ssize_t written;
  int fd, line_length;

  snprintf (file, sizeof file, "%s%s", prefix, suffix);
  sodium_bin2hex (hex, sizeof hex, bytes, length);
  line_length = snprintf (line, sizeof line, "%s%s\n", tag, hex);
  fd = open (file, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
  if (fd < 0)
    return sgr_config_error_set (error, SGR_ERR_IO, "", "%s: %s", file, strerror (errno));
  written = write (fd, line, (size_t)line_length);
  sodium_memzero (hex, sizeof hex);
  sodium_memzero (line, sizeof line);
  if (fsync (fd) != 0 || close (fd) != 0 || written != line_length)
    return sgr_config_error_set (error, SGR_ERR_IO, "", "%s: %s", file, strerror (errno));
  return SGR_OK;
}

sgr_result_t
sgr_ctl_keys_generate (const char *prefix, sgr_config_error_t *error)
{
  uint8_t public_key[crypto_sign_PUBLICKEYBYTES], secret[crypto_sign_SECRETKEYBYTES];
  sgr_result_t result;

  crypto_sign_keypair (public_key, secret);
  result = key_file_write (prefix, ".key", 0600, SECRET_TAG, secret, sizeof secret, error);
  if (result == SGR_OK)
    result
        = key_file_write (prefix, ".pub", 0644, PUBLIC_TAG, public_key, sizeof public_key, error);
  sodium_memzero (secret, sizeof secret);
  return result;
}

sgr_result_t
sgr_ctl_keys_load_secret (const char *file, uint8_t *secret, sgr_config_error_t *error)
{
  char line[256] = "";
  size_t secret_length = 0, tag_length = strlen (SECRET_TAG);
  sgr_result_t result = SGR_OK;
  struct stat status;
  FILE *input = fopen (file, "re");

  if (input == NULL)
    return sgr_config_error_set (error, SGR_ERR_IO, "", "%s: %s", file, strerror (errno));
  if (fstat (fileno (input), &status) != 0 || (status.st_mode & 077) != 0)
    result = sgr_config_error_set (error, SGR_ERR_DENIED, "",
                                   "%s: found mode %04o, expected a secret key that only its "
                                   "owner can read (0600)",
                                   file, status.st_mode & 07777);
  else if (fgets (line, sizeof line, input) == NULL || strncmp (line, SECRET_TAG, tag_length) != 0
           || sodium_hex2bin (secret, crypto_sign_SECRETKEYBYTES, line + tag_length,
                              strcspn (line + tag_length, "\n"), NULL, &secret_length, NULL)
                  != 0
           || secret_length != crypto_sign_SECRETKEYBYTES)
    result = sgr_config_error_set (error, SGR_ERR_INVALID, "",
                                   "%s:1: expected a secret key written by \"keygen\"", file);
  sodium_memzero (line, sizeof line);
  fclose (input);
  return result;
}

bool
sgr_ctl_keys_parse_public (const char *hex, uint8_t *key)
{
  size_t key_length = 0;

  if (strncmp (hex, PUBLIC_TAG, strlen (PUBLIC_TAG)) == 0)
    hex += strlen (PUBLIC_TAG);
  return strlen (hex) == 2 * SGR_CONFIG_KEY_BYTES
         && sodium_hex2bin (key, SGR_CONFIG_KEY_BYTES, hex, strlen (hex), NULL, &key_length, NULL)
                == 0
         && key_length == SGR_CONFIG_KEY_BYTES;
}

sgr_result_t
sgr_ctl_account_key_hash (const char *file, char hex[SGR_ACCOUNT_KEY_HEX_BYTES],
                          sgr_config_error_t *error)
{
  /* Room for the longest key, its line end, and one byte more that shows a longer one. */
  char line[SGR_ACCOUNT_KEY_BYTES_MAX + 4] = "";
  bool is_standard_input = strcmp (file, "-") == 0;
  FILE *input = is_standard_input ? stdin : fopen (file, "re");
  sgr_result_t result = SGR_OK;
  size_t length;

  if (input == NULL)
    return sgr_config_error_set (error, SGR_ERR_IO, "", "%s: %s", file, strerror (errno));
  if (fgets (line, sizeof line, input) == NULL && ferror (input))
    result = sgr_config_error_set (error, SGR_ERR_IO, "", "%s: %s", file, strerror (errno));
  if (!is_standard_input)
    fclose (input);
  length = strcspn (line, "\r\n");
  if (result == SGR_OK && (length == 0 || length > SGR_ACCOUNT_KEY_BYTES_MAX))
    result
        = sgr_config_error_set (error, SGR_ERR_INVALID, "", "%s:1: expected a key of 1 to %d bytes",
                                file, SGR_ACCOUNT_KEY_BYTES_MAX);
  if (result == SGR_OK)
    sgr_account_key_hash_format (sgr_account_key_hash (line, length), hex);
  sodium_memzero (line, sizeof line);
  return result;
}

static sgr_result_t
owner_parse (const json_t *json, size_t index, sgr_config_owner_t *owner, sgr_config_error_t *error)
{
  static const char *const required[] = { "name", "public_key", NULL };
  char path[SGR_CONFIG_PATH_BYTES], key_path[SGR_CONFIG_PATH_BYTES], found_text[80];
  const json_t *key = json_object_get (json, "public_key");

  sgr_config_json_path_at (path, "", "owners", index);
  if (sgr_config_json_object (json, path, required, NULL, error) != SGR_OK
      || sgr_config_json_name (json, path, "name", owner->name, error) != SGR_OK)
    return SGR_ERR_INVALID;
  if (json_is_string (key) && sgr_ctl_keys_parse_public (json_string_value (key), owner->key))
    return SGR_OK;
  sgr_config_json_path (key_path, path, "public_key");
  return sgr_config_error_set (
      error, SGR_ERR_INVALID, key_path, "found %s, expected a public key of %d hexadecimal digits",
      sgr_config_json_describe (key, found_text, sizeof found_text), 2 * (int)SGR_CONFIG_KEY_BYTES);
}

static sgr_result_t
owners_parse (const json_t *json, sgr_config_owners_t *owners, sgr_config_error_t *error)
{
  static const char *const required[] = { "deployment", "owners", NULL };
  const json_t *list = json_object_get (json, "owners");
  char found_text[80];

  memset (owners, 0, sizeof *owners);
  if (sgr_config_json_object (json, "", required, NULL, error) != SGR_OK
      || sgr_config_json_name (json, "", "deployment", owners->deployment, error) != SGR_OK)
    return SGR_ERR_INVALID;
  if (!json_is_array (list) || json_array_size (list) != SGR_CONFIG_OWNER_COUNT)
    return sgr_config_error_set (error, SGR_ERR_INVALID, "owners",
                                 "found %s of %zu, expected a list of %d owners",
                                 sgr_config_json_describe (list, found_text, sizeof found_text),
                                 json_array_size (list), SGR_CONFIG_OWNER_COUNT);
  for (size_t i = 0; i < SGR_CONFIG_OWNER_COUNT; i++)
    if (owner_parse (json_array_get (list, i), i, &owners->owner[i], error) != SGR_OK)
      return SGR_ERR_INVALID;
  return sgr_config_owners_check (owners, error);
}

sgr_result_t
sgr_ctl_owners_load (const char *file, sgr_config_owners_t *owners, sgr_config_error_t *error)
{
  sgr_config_error_t owners_error;
  sgr_ctl_yaml_t yaml;
  sgr_result_t result = sgr_ctl_yaml_read (file, &yaml, error);

  if (result != SGR_OK)
    return result;
  result = owners_parse (yaml.json, owners, &owners_error);
  if (result != SGR_OK)
    sgr_config_error_set (error, result, owners_error.path, "%s:%d: %s: %.200s", file,
                          sgr_ctl_yaml_line (&yaml, owners_error.path), owners_error.path,
                          owners_error.message);
  sgr_ctl_yaml_release (&yaml);
  return result;
}
