#include "config_resource.h"

#include <string.h>

#include "config_json.h"

/* Keys of the resource lists, in a content as well as in "put" and "remove" of an edit. */
static const char *const list_keys[] = { "policies", "services", "routes", "accounts" };
#define LIST_KEY_COUNT (sizeof list_keys / sizeof list_keys[0])

/* Returns the resource with a name and its index in the list, or NULL. */
static json_t *
item_find (const json_t *list, const char *name, size_t *position)
{
  size_t index;
  json_t *item;

  json_array_foreach ((json_t *)list, index, item)
  {
    const char *item_name = json_string_value (json_object_get (item, "name"));

    if (item_name != NULL && strcmp (item_name, name) == 0)
      {
        *position = index;
        return item;
      }
  }
  return NULL;
}

static sgr_result_t
apply_remove (json_t *list, const json_t *names, const char *key, sgr_config_error_t *error)
{
  char found[80], key_path[SGR_CONFIG_PATH_BYTES];
  size_t index, position;
  json_t *item;

  if (names != NULL && !json_is_array (names))
    {
      sgr_config_json_path (key_path, "remove", key);
      return sgr_config_error_set (error, SGR_ERR_INVALID, key_path, "found %s, expected a list",
                                   sgr_config_json_describe (names, found, sizeof found));
    }
  json_array_foreach ((json_t *)names, index, item)
  {
    if (json_is_string (item) && item_find (list, json_string_value (item), &position) != NULL)
      {
        json_array_remove (list, position);
        continue;
      }
    sgr_config_json_path_at (key_path, "remove", key, index);
    return sgr_config_error_set (error, SGR_ERR_INVALID, key_path,
                                 "found %s, expected the name of one of the %s in force",
                                 sgr_config_json_describe (item, found, sizeof found), key);
  }
  return SGR_OK;
}

/* Inserts or replaces valid items and keeps a sorted list sorted by name, so that every node that
   applies the same edit gets the same canonical JSON and digest. */
static void
apply_put (json_t *list, const json_t *items)
{
  size_t index, position;
  json_t *item;

  json_array_foreach ((json_t *)items, index, item)
  {
    const char *name = json_string_value (json_object_get (item, "name"));

    if (item_find (list, name, &position) != NULL)
      {
        json_array_set (list, position, item);
        continue;
      }
    for (position = 0; position < json_array_size (list); position++)
      if (strcmp (json_string_value (json_object_get (json_array_get (list, position), "name")),
                  name)
          > 0)
        break;
    json_array_insert (list, position, item);
  }
}

/* Whether the list @key may be absent from a content. */
static bool
list_is_optional (const char *key)
{
  return strcmp (key, "routes") == 0 || strcmp (key, "accounts") == 0;
}

/* Checks that an edit has no unknown keys; the lists are checked when they are applied. */
static sgr_result_t
check_edit (const json_t *edit, sgr_config_error_t *error)
{
  static const char *const edit_keys[] = { "put", "remove", NULL };
  static const char *const lists[] = { "policies", "services", "routes", "accounts", NULL };

  if (sgr_config_json_object (edit, "", NULL, edit_keys, error) != SGR_OK)
    return SGR_ERR_INVALID;
  for (int i = 0; i < 2; i++)
    {
      const json_t *resource_lists = json_object_get (edit, edit_keys[i]);

      if (resource_lists != NULL
          && sgr_config_json_object (resource_lists, edit_keys[i], NULL, lists, error) != SGR_OK)
        return SGR_ERR_INVALID;
    }
  return SGR_OK;
}

sgr_result_t
sgr_config_content_apply (const sgr_config_content_t *base, const json_t *edit,
                          sgr_config_content_t **content, sgr_config_error_t *error)
{
  const json_t *put_lists = json_object_get (edit, "put");
  const json_t *remove_lists = json_object_get (edit, "remove");
  sgr_result_t result = check_edit (edit, error);
  json_t *json;

  *content = NULL;
  if (result != SGR_OK)
    return result;
  json = json_object ();
  /* The new content starts with copies of the base's lists; the resources in them are shared. */
  for (size_t i = 0; i < LIST_KEY_COUNT && result == SGR_OK; i++)
    {
      const char *key = list_keys[i];
      const json_t *base_list = base == NULL ? NULL : json_object_get (base->json, key);
      json_t *list = base_list == NULL ? json_array () : json_copy ((json_t *)base_list);
      const json_t *items = json_object_get (put_lists, key);

      /* If neither the base nor the edit has an optional list, leave it out. An empty list would
         change the digest of the content. */
      if (list_is_optional (key) && base_list == NULL && json_array_size (items) == 0)
        {
          json_decref (list);
          continue;
        }
      json_object_set_new (json, key, list);
      result = apply_remove (list, json_object_get (remove_lists, key), key, error);
      if (result == SGR_OK && items != NULL)
        result = sgr_config_resource_check (put_lists, "put", key, error);
      if (result == SGR_OK)
        apply_put (list, items);
    }
  if (result == SGR_OK)
    result = sgr_config_content_parse (json, "", content, error);
  json_decref (json);
  return result;
}

/* Walks two lists sorted by name in parallel: appends the resources of @to that are new or
   different to @put, and the names that are only in @from to @removed_names. */
static void
diff_list (const json_t *from, const json_t *to, json_t *put, json_t *removed_names)
{
  size_t i = 0, j = 0;

  while (i < json_array_size (from) || j < json_array_size (to))
    {
      json_t *old = json_array_get (from, i), *new = json_array_get (to, j);
      const char *old_name = json_string_value (json_object_get (old, "name"));
      const char *new_name = json_string_value (json_object_get (new, "name"));
      int order = old == NULL ? 1 : new == NULL ? -1 : strcmp (old_name, new_name);

      if (order < 0)
        json_array_append_new (removed_names, json_string (old_name));
      else if (order > 0 || !json_equal (old, new))
        json_array_append (put, new);
      i += order <= 0;
      j += order >= 0;
    }
}

json_t *
sgr_config_content_diff (const sgr_config_content_t *from, const sgr_config_content_t *to)
{
  json_t *edit = json_object (), *put_lists = json_object (), *remove_lists = json_object ();

  json_object_set_new (edit, "put", put_lists);
  json_object_set_new (edit, "remove", remove_lists);
  for (size_t i = 0; i < LIST_KEY_COUNT; i++)
    {
      const char *key = list_keys[i];
      json_t *put_list, *remove_list;

      if (list_is_optional (key) && json_object_get (to->json, key) == NULL
          && (from == NULL || json_object_get (from->json, key) == NULL))
        continue;
      put_list = json_array ();
      remove_list = json_array ();
      json_object_set_new (put_lists, key, put_list);
      json_object_set_new (remove_lists, key, remove_list);
      diff_list (from == NULL ? NULL : json_object_get (from->json, key),
                 json_object_get (to->json, key), put_list, remove_list);
    }
  return edit;
}
