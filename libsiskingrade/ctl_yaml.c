#include "ctl_yaml.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include <yaml.h>

#include "config_json.h"

#define FILE_BYTES_MAX 1000000
/* An alias can refer to a value that contains the alias, which makes the document endless. The
   limits of nested levels and of values end the conversion of such a document. */
#define DEPTH_MAX 16
#define VALUES_MAX 200000
/* Every number of 18 digits fits into 64 bits; longer ones become strings. */
#define INTEGER_DIGITS_MAX 18

/**
 * struct converter_t - state of the conversion of a YAML document to JSON
 * @file: name of the file, for error messages
 * @document: the parsed document
 * @lines: line number of each value by its path
 * @value_count: values converted so far
 * @error: receives the reason of a failure
 */
typedef struct
{
  const char *file;
  yaml_document_t document;
  json_t *lines;
  size_t value_count;
  sgr_config_error_t *error;
} converter_t;

/* Sets the error of the converter, with the line of the YAML node, and returns NULL. */
static json_t *
convert_fail (converter_t *converter, const yaml_node_t *node, const char *path,
              const char *message)
{
  sgr_config_error_set (converter->error, SGR_ERR_INVALID, path, "%s:%zu: %s", converter->file,
                        node->start_mark.line + 1, message);
  return NULL;
}

/* Plain scalars become integers, booleans, null or strings, all other scalars become strings. */
static json_t *
convert_scalar (const yaml_node_t *node)
{
  const char *text = (const char *)node->data.scalar.value;
  size_t digits = strspn (text + (text[0] == '-'), "0123456789");

  if (node->data.scalar.style != YAML_PLAIN_SCALAR_STYLE)
    return json_stringn (text, node->data.scalar.length);
  if (digits > 0 && digits <= INTEGER_DIGITS_MAX && text[digits + (text[0] == '-')] == '\0')
    return json_integer (strtoll (text, NULL, 10));
  if (strcmp (text, "true") == 0 || strcmp (text, "false") == 0)
    return json_boolean (text[0] == 't');
  if (text[0] == '\0' || strcmp (text, "~") == 0 || strcmp (text, "null") == 0)
    return json_null ();
  return json_stringn (text, node->data.scalar.length);
}

static json_t *convert_value (converter_t *converter, int id, const char *path, int depth);

static json_t *
convert_sequence (converter_t *converter, const yaml_node_t *node, const char *path, int depth)
{
  json_t *list = json_array ();
  size_t index = 0;

  for (const yaml_node_item_t *item = node->data.sequence.items.start;
       item < node->data.sequence.items.top; item++, index++)
    {
      char value_path[SGR_CONFIG_PATH_BYTES];
      json_t *value;

      snprintf (value_path, sizeof value_path, "%s[%zu]", path, index);
      value = convert_value (converter, *item, value_path, depth + 1);
      if (value == NULL)
        {
          json_decref (list);
          return NULL;
        }
      json_array_append_new (list, value);
    }
  return list;
}

static json_t *
convert_mapping (converter_t *converter, const yaml_node_t *node, const char *path, int depth)
{
  json_t *object = json_object (), *value;

  for (const yaml_node_pair_t *pair = node->data.mapping.pairs.start;
       pair < node->data.mapping.pairs.top; pair++)
    {
      const yaml_node_t *key = yaml_document_get_node (&converter->document, pair->key);
      char value_path[SGR_CONFIG_PATH_BYTES];

      if (key->type != YAML_SCALAR_NODE)
        {
          convert_fail (converter, key, path, "found a list or mapping as a key, expected a word");
          goto fail;
        }
      sgr_config_json_path (value_path, path, (const char *)key->data.scalar.value);
      if (json_object_get (object, (const char *)key->data.scalar.value) != NULL)
        {
          char message[160];

          snprintf (message, sizeof message, "%.60s: found a second time, expected each key once",
                    (const char *)key->data.scalar.value);
          convert_fail (converter, key, value_path, message);
          goto fail;
        }
      value = convert_value (converter, pair->value, value_path, depth + 1);
      if (value == NULL)
        goto fail;
      json_object_set_new (converter->lines, value_path,
                           json_integer ((json_int_t)key->start_mark.line + 1));
      if (json_object_set_new (object, (const char *)key->data.scalar.value, value) != 0)
        {
          convert_fail (converter, key, value_path, "found a key that is not UTF-8");
          goto fail;
        }
    }
  return object;

fail:
  json_decref (object);
  return NULL;
}

static json_t *
convert_value (converter_t *converter, int node_id, const char *path, int depth)
{
  const yaml_node_t *node = yaml_document_get_node (&converter->document, node_id);
  json_t *value = NULL;

  if (depth > DEPTH_MAX || ++converter->value_count > VALUES_MAX)
    return convert_fail (converter, node, path, "found a document that is too deep or too large");
  json_object_set_new (converter->lines, path,
                       json_integer ((json_int_t)node->start_mark.line + 1));
  switch (node->type)
    {
    case YAML_SCALAR_NODE:
      value = convert_scalar (node);
      return value != NULL ? value
                           : convert_fail (converter, node, path, "found text that is not UTF-8");
    case YAML_SEQUENCE_NODE:
      return convert_sequence (converter, node, path, depth);
    case YAML_MAPPING_NODE:
      return convert_mapping (converter, node, path, depth);
    case YAML_NO_NODE:
      break;
    }
  return convert_fail (converter, node, path, "found nothing, expected a value");
}

static sgr_result_t
parse_error_set (const yaml_parser_t *parser, const char *file, sgr_config_error_t *error)
{
  return sgr_config_error_set (error, SGR_ERR_INVALID, "", "%s:%zu: %s, expected YAML", file,
                               parser->problem_mark.line + 1,
                               parser->problem != NULL ? parser->problem : "unreadable");
}

static sgr_result_t
document_read (yaml_parser_t *parser, converter_t *converter, json_t **json)
{
  yaml_document_t next_document;
  bool has_next_document;

  if (!yaml_parser_load (parser, &converter->document))
    return parse_error_set (parser, converter->file, converter->error);
  if (yaml_document_get_root_node (&converter->document) == NULL)
    sgr_config_error_set (converter->error, SGR_ERR_INVALID, "", "%s:1: found an empty document",
                          converter->file);
  else
    *json = convert_value (converter, 1, "", 0);
  yaml_document_delete (&converter->document);
  if (*json == NULL)
    return SGR_ERR_INVALID;
  if (!yaml_parser_load (parser, &next_document))
    return parse_error_set (parser, converter->file, converter->error);
  has_next_document = yaml_document_get_root_node (&next_document) != NULL;
  yaml_document_delete (&next_document);
  if (has_next_document)
    return sgr_config_error_set (converter->error, SGR_ERR_INVALID, "",
                                 "%s:1: found several documents, expected one", converter->file);
  return SGR_OK;
}

sgr_result_t
sgr_ctl_yaml_read (const char *file, sgr_ctl_yaml_t *yaml, sgr_config_error_t *error)
{
  converter_t converter = { .file = file, .error = error };
  yaml_parser_t parser;
  sgr_result_t result;
  struct stat file_status;
  FILE *input = fopen (file, "r");

  memset (yaml, 0, sizeof *yaml);
  if (input == NULL)
    return sgr_config_error_set (error, SGR_ERR_IO, "", "%s: %s", file, strerror (errno));
  if (fstat (fileno (input), &file_status) != 0 || file_status.st_size > FILE_BYTES_MAX)
    {
      fclose (input);
      return sgr_config_error_set (error, SGR_ERR_LIMIT, "",
                                   "%s:1: found %lld bytes, expected at most %d", file,
                                   (long long)file_status.st_size, FILE_BYTES_MAX);
    }
  if (!yaml_parser_initialize (&parser))
    {
      fclose (input);
      return SGR_ERR_NO_MEMORY;
    }
  converter.lines = json_object ();
  yaml_parser_set_input_file (&parser, input);
  result = document_read (&parser, &converter, &yaml->json);
  yaml->lines = converter.lines;
  yaml_parser_delete (&parser);
  fclose (input);
  if (result != SGR_OK)
    sgr_ctl_yaml_release (yaml);
  return result;
}

int
sgr_ctl_yaml_line (const sgr_ctl_yaml_t *yaml, const char *path)
{
  char known_path[SGR_CONFIG_PATH_BYTES];

  snprintf (known_path, sizeof known_path, "%s", path);
  for (;;)
    {
      const json_t *line = json_object_get (yaml->lines, known_path);
      size_t length = strlen (known_path);

      if (line != NULL)
        return (int)json_integer_value (line);
      if (length == 0)
        return 1;
      while (length > 0 && known_path[length - 1] != '.' && known_path[length - 1] != '[')
        length--;
      known_path[length > 0 ? length - 1 : 0] = '\0';
    }
}

void
sgr_ctl_yaml_release (sgr_ctl_yaml_t *yaml)
{
  json_decref (yaml->json);
  json_decref (yaml->lines);
  memset (yaml, 0, sizeof *yaml);
}
