#include "ctl_command.h"

#include <string.h>

#include "config_resource.h"
#include "ctl_explain.h"
#include "ctl_keys.h"
#include "label.h"

int
sgr_ctl_error_print (FILE *err, const sgr_config_error_t *error)
{
  const char *path = error->path;

  /* The message of an error in a file already contains the file, the line and the path. */
  if (path[0] == '\0' || strstr (error->message, path) != NULL)
    fprintf (err, "siskingradectl: %s\n", error->message);
  else
    fprintf (err, "siskingradectl: %s: %s\n", path, error->message);
  switch (error->result)
    {
    case SGR_OK:
      return SGR_CTL_EXIT_OK;
    case SGR_ERR_INVALID:
    case SGR_ERR_LIMIT:
      return SGR_CTL_EXIT_INVALID;
    case SGR_ERR_DENIED:
      return SGR_CTL_EXIT_DENIED;
    case SGR_ERR_UNAVAILABLE:
      return SGR_CTL_EXIT_UNAVAILABLE;
    case SGR_ERR_IO:
      return SGR_CTL_EXIT_OUTCOME_UNKNOWN;
    case SGR_ERR_CONFLICT:
    case SGR_ERR_NOT_FOUND:
    case SGR_ERR_NO_MEMORY:
      break;
    }
  return SGR_CTL_EXIT_REFUSED;
}

static void
print_json (const json_t *json, FILE *out)
{
  json_dumpf (json, out, JSON_INDENT (2) | JSON_SORT_KEYS);
  fputc ('\n', out);
}

/* Prints a string as it is, any other value as compact JSON and a missing value as "-". */
static void
print_cell (const json_t *value, int width, FILE *out)
{
  char *text = NULL;

  if (json_is_string (value))
    fprintf (out, "%-*s", width, json_string_value (value));
  else
    {
      text = value == NULL ? NULL : json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
      fprintf (out, "%-*s", width, text != NULL ? text : "-");
    }
  free (text);
}

static void
print_table (const json_t *list, const char *const *columns, const int *widths, FILE *out)
{
  size_t index;
  json_t *row;

  for (int i = 0; columns[i] != NULL; i++)
    fprintf (out, "%-*s%s", widths[i], columns[i], columns[i + 1] != NULL ? " " : "\n");
  json_array_foreach ((json_t *)list, index, row)
  {
    for (int i = 0; columns[i] != NULL; i++)
      {
        print_cell (json_object_get (row, columns[i]), widths[i], out);
        fputs (columns[i + 1] != NULL ? " " : "\n", out);
      }
  }
}

void
sgr_ctl_print_change (const sgr_ctl_options_t *options, const json_t *json, FILE *out)
{
  const json_t *change = json_object_get (json, "change");
  const json_t *statement = json_object_get (change, "statement");
  const json_t *approvals = json_object_get (change, "approvals");
  size_t index;
  json_t *approval;

  if (options->json)
    {
      print_json (json, out);
      return;
    }
  fprintf (out,
           "change      %s\nauthor      %s\nrevision    %" JSON_INTEGER_FORMAT
           "\nstate       %s\ndigest      %s\napproved by",
           json_string_value (json_object_get (statement, "id")),
           json_string_value (json_object_get (statement, "author")),
           json_integer_value (json_object_get (statement, "revision")),
           json_string_value (json_object_get (json, "state")),
           json_string_value (json_object_get (json, "digest")));
  json_array_foreach ((json_t *)approvals, index, approval)
  {
    fprintf (out, " %s", json_string_value (json_object_get (approval, "owner")));
  }
  fprintf (out, "%s\n", json_array_size (approvals) == 0 ? " -" : "");
}

static int
run_get (const sgr_ctl_options_t *options, sgr_ctl_client_t *client, FILE *out, FILE *err)
{
  const char *kind = options->arguments[1];
  const char *name = options->argument_count > 2 ? options->arguments[2] : "";
  char path[SGR_NAME_MAX + 32];
  sgr_ctl_reply_t reply;
  sgr_config_error_t error;

  if (strcmp (kind, "config") == 0)
    snprintf (path, sizeof path, "/v1/config/raw");
  else if (sgr_label_is_valid (name)
           && (strcmp (kind, "service") == 0 || strcmp (kind, "change") == 0))
    snprintf (path, sizeof path, "/v1/%ss/%s", kind, name);
  else
    {
      fprintf (err, "siskingradectl: expected: get config, get service NAME or get change ID\n");
      return SGR_CTL_EXIT_USAGE;
    }
  if (sgr_ctl_client_request (client, "GET", path, NULL, &reply, &error) != SGR_OK)
    {
      json_decref (reply.json);
      return sgr_ctl_error_print (err, &error);
    }
  if (strcmp (kind, "change") == 0)
    {
      sgr_ctl_print_change (options, reply.json, out);
      if (!options->json)
        print_json (json_object_get (json_object_get (reply.json, "change"), "body"), out);
    }
  else
    print_json (reply.json, out);
  json_decref (reply.json);
  return SGR_CTL_EXIT_OK;
}

static int
run_list (const sgr_ctl_options_t *options, sgr_ctl_client_t *client, FILE *out, FILE *err)
{
  static const struct
  {
    const char *kind;
    const char *columns[6];
    int widths[6];
  } tables[] = {
    { "services",
      { "name", "idempotency", "deadline_ms", "attempts_max", "targets_max", NULL },
      { 24, 11, 11, 12, 11 } },
    { "changes", { "id", "author", "revision", "state", "digest", NULL }, { 28, 16, 8, 12, 64 } },
    { "nodes",
      { "name", "status", "failure_domain", "control_address", "config_revision", NULL },
      { 24, 8, 20, 21, 15 } },
    { "targets",
      { "node", "service", "state", "slots", "failure_domain", NULL },
      { 24, 24, 9, 5, 20 } },
  };
  const char *kind = options->arguments[1];
  sgr_ctl_reply_t reply;
  sgr_config_error_t error;
  char path[32];

  for (size_t i = 0; i < sizeof tables / sizeof tables[0]; i++)
    {
      if (strcmp (kind, tables[i].kind) != 0)
        continue;
      snprintf (path, sizeof path, "/v1/%s", kind);
      if (sgr_ctl_client_request (client, "GET", path, NULL, &reply, &error) != SGR_OK)
        {
          json_decref (reply.json);
          return sgr_ctl_error_print (err, &error);
        }
      if (options->json)
        print_json (reply.json, out);
      else
        print_table (json_object_get (reply.json, kind), tables[i].columns, tables[i].widths, out);
      json_decref (reply.json);
      return SGR_CTL_EXIT_OK;
    }
  fprintf (err, "siskingradectl: found \"%s\", expected services, changes, nodes or targets\n",
           kind);
  return SGR_CTL_EXIT_USAGE;
}

/* Prints one line with the evacuated failure domains, nothing if there are none. */
static void
print_evacuated (const json_t *list, FILE *out)
{
  size_t index;
  json_t *domain;

  if (json_array_size (list) == 0)
    return;
  fprintf (out, "evacuated:");
  json_array_foreach ((json_t *)list, index, domain)
  {
    fprintf (out, " %s", json_string_value (domain));
  }
  fputc ('\n', out);
}

static int
run_status (const sgr_ctl_options_t *options, sgr_ctl_client_t *client, FILE *out, FILE *err)
{
  sgr_ctl_reply_t reply;
  sgr_config_error_t error;
  const char *name;
  json_t *domain;

  if (sgr_ctl_client_request (client, "GET", "/v1/status", NULL, &reply, &error) != SGR_OK)
    {
      json_decref (reply.json);
      return sgr_ctl_error_print (err, &error);
    }
  if (options->json)
    print_json (reply.json, out);
  else
    {
      const char *change = json_string_value (json_object_get (reply.json, "change"));

      fprintf (out, "deployment %s, revision %" JSON_INTEGER_FORMAT " (%s)\n",
               json_string_value (json_object_get (reply.json, "deployment")),
               json_integer_value (json_object_get (reply.json, "highest_revision")),
               change != NULL ? change : "none");
      fprintf (out, "%-24s %8s %6s  %s\n", "failure domain", "revision", "nodes", "lagging");
      json_object_foreach (json_object_get (reply.json, "failure_domains"), name, domain)
      {
        fprintf (out, "%-24s %8" JSON_INTEGER_FORMAT " %6" JSON_INTEGER_FORMAT "  %zu\n", name,
                 json_integer_value (json_object_get (domain, "revision")),
                 json_integer_value (json_object_get (domain, "nodes")),
                 json_array_size (json_object_get (domain, "lagging")));
      }
      print_evacuated (json_object_get (reply.json, "evacuated"), out);
    }
  json_decref (reply.json);
  return SGR_CTL_EXIT_OK;
}

static void
print_changes (const sgr_ctl_options_t *options, const json_t *list, FILE *out,
               uint64_t *printed_count)
{
  size_t index;
  json_t *change;

  json_array_foreach ((json_t *)list, index, change)
  {
    if (options->json)
      {
        json_dumpf (change, out, JSON_COMPACT | JSON_SORT_KEYS);
        fputc ('\n', out);
      }
    else
      fprintf (out, "revision %" JSON_INTEGER_FORMAT " in force, change %s\n",
               json_integer_value (json_object_get (change, "revision")),
               json_string_value (json_object_get (change, "change")));
    fflush (out);
    (*printed_count)++;
  }
}

static int
run_watch (const sgr_ctl_options_t *options, sgr_ctl_client_t *client, FILE *out, FILE *err)
{
  uint64_t revision = options->watch_revision, printed_count = 0;
  sgr_ctl_reply_t reply;
  sgr_config_error_t error;
  sgr_result_t result = SGR_OK;
  char path[96];

  if (revision == UINT64_MAX)
    {
      result = sgr_ctl_client_request (client, "GET", "/v1/status", NULL, &reply, &error);
      revision = (uint64_t)json_integer_value (json_object_get (reply.json, "revision"));
      json_decref (reply.json);
    }
  while (result == SGR_OK && (options->watch_count == 0 || printed_count < options->watch_count))
    {
      /* Half of the timeout, so that the node replies without a change before the request fails. */
      uint32_t wait_ms = options->timeout_ms / 2;

      snprintf (path, sizeof path, "/v1/watch?revision=%llu&wait_ms=%u",
                (unsigned long long)revision, wait_ms);
      result = sgr_ctl_client_request (client, "GET", path, NULL, &reply, &error);
      if (result == SGR_OK)
        {
          uint64_t reply_revision
              = (uint64_t)json_integer_value (json_object_get (reply.json, "revision"));

          print_changes (options, json_object_get (reply.json, "changes"), out, &printed_count);
          if (reply_revision > revision)
            revision = reply_revision;
        }
      json_decref (reply.json);
    }
  return result == SGR_OK ? SGR_CTL_EXIT_OK : sgr_ctl_error_print (err, &error);
}

static int
run_explain (const sgr_ctl_options_t *options, FILE *out, FILE *err)
{
  sgr_config_error_t error = { SGR_OK };

  if (sgr_ctl_explain (options->arguments[1], options->arguments + 2, options->argument_count - 2,
                       out, &error)
      == SGR_OK)
    return SGR_CTL_EXIT_OK;
  return sgr_ctl_error_print (err, &error);
}

static int
run_keygen (const sgr_ctl_options_t *options, FILE *out, FILE *err)
{
  sgr_config_error_t error = { SGR_OK };

  if (sgr_ctl_keys_generate (options->arguments[1], &error) != SGR_OK)
    {
      /* The exit status for SGR_ERR_IO means that an outcome is unknown, but the failure of a local
         command is certain. */
      error.result = SGR_ERR_CONFLICT;
      return sgr_ctl_error_print (err, &error);
    }
  fprintf (out, "wrote %s.key and %s.pub\n", options->arguments[1], options->arguments[1]);
  return SGR_CTL_EXIT_OK;
}

static int
run_key_hash (const sgr_ctl_options_t *options, FILE *out, FILE *err)
{
  sgr_config_error_t error = { SGR_OK };
  char hex[SGR_ACCOUNT_KEY_HEX_BYTES];

  if (sgr_ctl_account_key_hash (options->arguments[1], hex, &error) != SGR_OK)
    {
      /* As for run_keygen(): the failure of a local command is certain. */
      if (error.result == SGR_ERR_IO)
        error.result = SGR_ERR_INVALID;
      return sgr_ctl_error_print (err, &error);
    }
  fprintf (out, "%s\n", hex);
  return SGR_CTL_EXIT_OK;
}

int
sgr_ctl_run (const sgr_ctl_options_t *options, FILE *out, FILE *err)
{
  /* Commands that send requests to a node. The numbers of arguments count the command name. */
  static const struct
  {
    const char *name;
    size_t arguments_min;
    size_t arguments_max;
    int (*run) (const sgr_ctl_options_t *, sgr_ctl_client_t *, FILE *, FILE *);
  } commands[] = {
    { "create", 2, 2, sgr_ctl_run_propose },
    { "propose", 2, 2, sgr_ctl_run_propose },
    { "approve", 2, 2, sgr_ctl_run_approve },
    { "get", 2, 3, run_get },
    { "list", 2, 2, run_list },
    { "watch", 1, 1, run_watch },
    { "status", 1, 1, run_status },
  };
  const char *command = options->argument_count > 0 ? options->arguments[0] : "";
  sgr_ctl_client_t *client;
  int status;

  sgr_invariant (sodium_init () >= 0);
  if (strcmp (command, "explain") == 0 && options->argument_count >= 3)
    return run_explain (options, out, err);
  if (strcmp (command, "keygen") == 0 && options->argument_count == 2)
    return run_keygen (options, out, err);
  if (strcmp (command, "key-hash") == 0 && options->argument_count == 2)
    return run_key_hash (options, out, err);
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    {
      if (strcmp (command, commands[i].name) != 0
          || options->argument_count < commands[i].arguments_min
          || options->argument_count > commands[i].arguments_max)
        continue;
      if (options->node_count == 0)
        {
          fprintf (err, "siskingradectl: expected --node IP:PORT, the control address of a node\n");
          return SGR_CTL_EXIT_USAGE;
        }
      client = sgr_ctl_client_create (options->nodes, options->node_count, options->timeout_ms);
      status = commands[i].run (options, client, out, err);
      sgr_ctl_client_destroy (client);
      return status;
    }
  fprintf (err, "siskingradectl: expected a command with its arguments, see --help\n");
  return SGR_CTL_EXIT_USAGE;
}
