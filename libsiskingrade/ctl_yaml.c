#include "ctl_yaml.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include <yaml.h>

#include "config_json.h"

#define FILE_BYTES_MAX 1000000
/* Aliases can refer to their own parents; both bounds end such documents. */
#define DEPTH_MAX 16
#define VALUES_MAX 200000

typedef struct
{
  const char *file;
  yaml_document_t document;
  json_t *lines;
  size_t values;
  sgr_config_error_t *error;
} reader_t;

static json_t *
fail (reader_t *reader, const yaml_node_t *node, const char *path, const char *message)
{
  sgr_config_error_set (reader->error, SGR_ERR_INVALID, path, "%s:%zu: %s", reader->file,
                        node->start_mark.line + 1, message);
  return NULL;
}

static json_t *
scalar (const yaml_node_t *node)
{
  const char *text = (const char *)node->data.scalar.value;
  size_t digits = strspn (text + (text[0] == '-'), "0123456789");

  if (node->data.scalar.style != YAML_PLAIN_SCALAR_STYLE)
    return json_stringn (text, node->data.scalar.length);
  if (digits > 0 && digits <= 18 && text[digits + (text[0] == '-')] == '\0')
    return json_integer (strtoll (text, NULL, 10));
  if (strcmp (text, "true") == 0 || strcmp (text, "false") == 0)
    return json_boolean (text[0] == 't');
  if (text[0] == '\0' || strcmp (text, "~") == 0 || strcmp (text, "null") == 0)
    return json_null ();
  return json_stringn (text, node->data.scalar.length);
}

static json_t *convert (reader_t *reader, int id, const char *path, int depth);

static json_t *
convert_sequence (reader_t *reader, const yaml_node_t *node, const char *path, int depth)
{
  json_t *list = json_array ();
  size_t index = 0;

  for (const yaml_node_item_t *item = node->data.sequence.items.start;
       item < node->data.sequence.items.top; item++, index++)
    {
      char place[SGR_CONFIG_PATH_MAX];
      json_t *value;

      snprintf (place, sizeof place, "%s[%zu]", path, index);
      value = convert (reader, *item, place, depth + 1);
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
convert_mapping (reader_t *reader, const yaml_node_t *node, const char *path, int depth)
{
  json_t *object = json_object (), *value;

  for (const yaml_node_pair_t *pair = node->data.mapping.pairs.start;
       pair < node->data.mapping.pairs.top; pair++)
    {
      const yaml_node_t *key = yaml_document_get_node (&reader->document, pair->key);
      char place[SGR_CONFIG_PATH_MAX];

      if (key->type != YAML_SCALAR_NODE)
        {
          fail (reader, key, path, "found a list or mapping as a key, expected a word");
          goto refused;
        }
      sgr_config_json_path (place, path, (const char *)key->data.scalar.value);
      if (json_object_get (object, (const char *)key->data.scalar.value) != NULL)
        {
          char message[160];

          snprintf (message, sizeof message, "%.60s: found a second time, expected each key once",
                    (const char *)key->data.scalar.value);
          fail (reader, key, place, message);
          goto refused;
        }
      value = convert (reader, pair->value, place, depth + 1);
      if (value == NULL)
        goto refused;
      json_object_set_new (reader->lines, place,
                           json_integer ((json_int_t)key->start_mark.line + 1));
      if (json_object_set_new (object, (const char *)key->data.scalar.value, value) != 0)
        {
          fail (reader, key, place, "found a key that is not UTF-8");
          goto refused;
        }
    }
  return object;

refused:
  json_decref (object);
  return NULL;
}

static json_t *
convert (reader_t *reader, int id, const char *path, int depth)
{
  const yaml_node_t *node = yaml_document_get_node (&reader->document, id);
  json_t *value = NULL;

  if (depth > DEPTH_MAX || ++reader->values > VALUES_MAX)
    return fail (reader, node, path, "found a document that is too deep or too large");
  json_object_set_new (reader->lines, path, json_integer ((json_int_t)node->start_mark.line + 1));
  switch (node->type)
    {
    case YAML_SCALAR_NODE:
      value = scalar (node);
      return value != NULL ? value : fail (reader, node, path, "found text that is not UTF-8");
    case YAML_SEQUENCE_NODE:
      return convert_sequence (reader, node, path, depth);
    case YAML_MAPPING_NODE:
      return convert_mapping (reader, node, path, depth);
    case YAML_NO_NODE:
      break;
    }
  return fail (reader, node, path, "found nothing, expected a value");
}

static sgr_result_t
parse_error (const yaml_parser_t *parser, const char *file, sgr_config_error_t *error)
{
  return sgr_config_error_set (error, SGR_ERR_INVALID, "", "%s:%zu: %s, expected YAML", file,
                               parser->problem_mark.line + 1,
                               parser->problem != NULL ? parser->problem : "unreadable");
}

static sgr_result_t
read_documents (yaml_parser_t *parser, reader_t *reader, json_t **json)
{
  yaml_document_t second;
  bool more;

  if (!yaml_parser_load (parser, &reader->document))
    return parse_error (parser, reader->file, reader->error);
  if (yaml_document_get_root_node (&reader->document) == NULL)
    sgr_config_error_set (reader->error, SGR_ERR_INVALID, "", "%s:1: found an empty document",
                          reader->file);
  else
    *json = convert (reader, 1, "", 0);
  yaml_document_delete (&reader->document);
  if (*json == NULL)
    return SGR_ERR_INVALID;
  if (!yaml_parser_load (parser, &second))
    return parse_error (parser, reader->file, reader->error);
  more = yaml_document_get_root_node (&second) != NULL;
  yaml_document_delete (&second);
  if (more)
    return sgr_config_error_set (reader->error, SGR_ERR_INVALID, "",
                                 "%s:1: found several documents, expected one", reader->file);
  return SGR_OK;
}

sgr_result_t
sgr_ctl_yaml_read (const char *file, sgr_ctl_yaml_t *yaml, sgr_config_error_t *error)
{
  reader_t reader = { .file = file, .error = error };
  yaml_parser_t parser;
  sgr_result_t result;
  struct stat status;
  FILE *input = fopen (file, "r");

  memset (yaml, 0, sizeof *yaml);
  if (input == NULL)
    return sgr_config_error_set (error, SGR_ERR_IO, "", "%s: %s", file, strerror (errno));
  if (fstat (fileno (input), &status) != 0 || status.st_size > FILE_BYTES_MAX)
    {
      fclose (input);
      return sgr_config_error_set (error, SGR_ERR_LIMIT, "",
                                   "%s:1: found %lld bytes, expected at most %d", file,
                                   (long long)status.st_size, FILE_BYTES_MAX);
    }
  if (!yaml_parser_initialize (&parser))
    {
      fclose (input);
      return SGR_ERR_NO_MEMORY;
    }
  reader.lines = json_object ();
  yaml_parser_set_input_file (&parser, input);
  result = read_documents (&parser, &reader, &yaml->json);
  yaml->lines = reader.lines;
  yaml_parser_delete (&parser);
  fclose (input);
  if (result != SGR_OK)
    sgr_ctl_yaml_release (yaml);
  return result;
}

int
sgr_ctl_yaml_line (const sgr_ctl_yaml_t *yaml, const char *path)
{
  char place[SGR_CONFIG_PATH_MAX];

  snprintf (place, sizeof place, "%s", path);
  for (;;)
    {
      const json_t *line = json_object_get (yaml->lines, place);
      size_t length = strlen (place);

      if (line != NULL)
        return (int)json_integer_value (line);
      if (length == 0)
        return 1;
      while (length > 0 && place[length - 1] != '.' && place[length - 1] != '[')
        length--;
      place[length > 0 ? length - 1 : 0] = '\0';
    }
}

void
sgr_ctl_yaml_release (sgr_ctl_yaml_t *yaml)
{
  json_decref (yaml->json);
  json_decref (yaml->lines);
  memset (yaml, 0, sizeof *yaml);
}
