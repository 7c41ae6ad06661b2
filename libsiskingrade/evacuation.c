#include "evacuation.h"

#include <string.h>

/* Bytes by which the encoding of a name is longer than the name. */
#define NAME_PREFIX_BYTES 2

static bool
name_is_valid (const char *name, size_t length)
{
  if (length == 0 || length > SGR_NAME_MAX)
    return false;
  for (size_t i = 0; i < length; i++)
    if (name[i] <= ' ' || name[i] > '~')
      return false;
  return true;
}

/* Returns the number of domains before @name in the order of the set. */
static size_t
position_find (const sgr_evacuation_t *evacuation, const char *name, bool *is_found)
{
  size_t position = 0;
  int order = -1;

  while (position < evacuation->count && (order = strcmp (evacuation->domains[position], name)) < 0)
    position++;
  *is_found = position < evacuation->count && order == 0;
  return position;
}

static size_t
encoded_bytes (const sgr_evacuation_t *evacuation)
{
  size_t bytes = 0;

  for (size_t i = 0; i < evacuation->count; i++)
    bytes += strlen (evacuation->domains[i]) + NAME_PREFIX_BYTES;
  return bytes;
}

sgr_result_t
sgr_evacuation_domain_add (sgr_evacuation_t *evacuation, const char *name, size_t length)
{
  char text[SGR_NAME_MAX + 1];
  size_t position;
  bool is_found;

  if (!name_is_valid (name, length))
    return SGR_ERR_INVALID;
  memcpy (text, name, length);
  text[length] = '\0';
  position = position_find (evacuation, text, &is_found);
  if (is_found)
    return SGR_OK;
  if (evacuation->count == SGR_EVACUATION_DOMAINS_MAX
      || encoded_bytes (evacuation) + length + NAME_PREFIX_BYTES > SGR_EVACUATION_BYTES_MAX)
    return SGR_ERR_LIMIT;
  memmove (evacuation->domains[position + 1], evacuation->domains[position],
           (evacuation->count - position) * sizeof evacuation->domains[0]);
  memcpy (evacuation->domains[position], text, sizeof text);
  evacuation->count++;
  return SGR_OK;
}

bool
sgr_evacuation_has (const sgr_evacuation_t *evacuation, const char *domain)
{
  bool is_found;

  position_find (evacuation, domain, &is_found);
  return is_found;
}

static bool
has_same_domains (const sgr_evacuation_t *a, const sgr_evacuation_t *b)
{
  if (a->count != b->count)
    return false;
  for (size_t i = 0; i < a->count; i++)
    if (strcmp (a->domains[i], b->domains[i]) != 0)
      return false;
  return true;
}

static void
domains_copy (sgr_evacuation_t *to, const sgr_evacuation_t *from)
{
  to->count = from->count;
  memcpy (to->domains, from->domains, sizeof to->domains);
}

sgr_evacuation_effect_t
sgr_evacuation_read_apply (sgr_evacuation_t *evacuation, const sgr_evacuation_t *read)
{
  if (sgr_store_version_is_newer (evacuation->checked, read->version))
    return SGR_EVACUATION_SAME;
  evacuation->checked = read->version;
  if (has_same_domains (evacuation, read))
    return SGR_EVACUATION_SAME;
  evacuation->version = read->version;
  domains_copy (evacuation, read);
  return SGR_EVACUATION_CHANGED;
}

sgr_evacuation_effect_t
sgr_evacuation_merge (sgr_evacuation_t *evacuation, const sgr_evacuation_t *received)
{
  bool is_same = has_same_domains (evacuation, received);

  if (sgr_store_version_is_newer (received->version, evacuation->checked))
    {
      evacuation->version = evacuation->checked = received->version;
      domains_copy (evacuation, received);
      return is_same ? SGR_EVACUATION_SAME : SGR_EVACUATION_CHANGED;
    }
  if (is_same || sgr_store_version_is_newer (evacuation->version, received->version)
      || !sgr_store_version_is_newer (evacuation->checked, received->version))
    return SGR_EVACUATION_SAME;
  evacuation->version = evacuation->checked;
  return SGR_EVACUATION_RENEWED;
}
