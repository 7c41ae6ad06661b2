#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "ctl_command.h"
#include "version.h"

/* Array size for the command, its arguments and the NULL at the end. The command explain accepts a
   log file of each node. */
#define ARGUMENTS_MAX 256
#define TIMEOUT_DEFAULT_MS 10000
#define TIMEOUT_MAX_MS 600000

const char *argp_program_version = "siskingradectl " SGR_VERSION;

static const char doc[]
    = "Operator's command line of siskingrade.\v"
      "Commands:\n"
      "  create FILE.yaml      propose the first configuration of a deployment\n"
      "  propose FILE.yaml     propose a change: a complete content, or an edit with put and\n"
      "                        remove; signed with --key\n"
      "  approve ID            check, sign and approve a change; with the approvals of both\n"
      "                        owners it takes effect\n"
      "  get config | service NAME | change ID\n"
      "  list services | changes | nodes | targets\n"
      "  watch                 print changes as they take effect\n"
      "  status                revision in force by failure domain, and what lags\n"
      "  explain ID LOG...     print the log lines of one request from the logs of all nodes\n"
      "  keygen PREFIX         write an Ed25519 key pair to PREFIX.key (mode 0600) and PREFIX.pub\n"
      "  key-hash FILE         print the hash of the account key in the first line of FILE, or of\n"
      "                        standard input for -\n"
      "\n"
      "Exit status: 0 done; 1 refused (conflict, not found); 64 usage; 69 no node or store\n"
      "reachable, nothing done; 75 outcome unknown, read the change back; 77 key or signature\n"
      "refused; 78 invalid file or input.";

/* Keys of the options without a short form; argp treats keys that are characters as short forms. */
enum
{
  OPTION_JSON = 256,
  OPTION_OWNER,
  OPTION_OWNERS,
  OPTION_ID,
  OPTION_DIGEST,
  OPTION_REVISION,
  OPTION_COUNT,
  OPTION_TIMEOUT,
};

static const struct argp_option option_list[] = {
  { "node", 'n', "IP:PORT", 0, "control address of a node; may be given several times" },
  { "json", OPTION_JSON, NULL, 0, "print JSON" },
  { "owner", OPTION_OWNER, "NAME", 0, "name of the owner who signs" },
  { "key", 'k', "FILE", 0, "secret key of the owner; it never leaves this machine" },
  { "owners", OPTION_OWNERS, "FILE", 0, "YAML file with the deployment and its owners' keys" },
  { "id", OPTION_ID, "ID", 0, "id of the new change, random by default" },
  { "digest", OPTION_DIGEST, "HEX", 0, "approve only if the change has this digest" },
  { "revision", OPTION_REVISION, "N", 0, "watch: start after this revision" },
  { "count", OPTION_COUNT, "N", 0, "watch: end after N changes" },
  { "timeout", OPTION_TIMEOUT, "MS", 0, "longest silence of a node, 10000 by default" },
  { 0 },
};

static uint64_t
number_parse (struct argp_state *state, const char *text, uint64_t max)
{
  char *end;
  unsigned long long value = strtoull (text, &end, 10);

  if (text[0] < '0' || text[0] > '9' || *end != '\0' || value > max)
    argp_error (state, "found \"%s\", expected a number up to %llu", text, (unsigned long long)max);
  return value;
}

static error_t
option_parse (int key, char *argument, struct argp_state *state)
{
  sgr_ctl_options_t *options = state->input;

  switch (key)
    {
    case 'n':
      if (options->node_count == SGR_CTL_NODES_MAX
          || !sgr_address_parse (argument, &options->nodes[options->node_count++]))
        argp_error (state, "found \"%s\", expected at most %d addresses IP:PORT", argument,
                    SGR_CTL_NODES_MAX);
      return 0;
    case 'k':
      options->key_file = argument;
      return 0;
    case OPTION_JSON:
      options->json = true;
      return 0;
    case OPTION_OWNER:
      options->owner = argument;
      return 0;
    case OPTION_OWNERS:
      options->owners_file = argument;
      return 0;
    case OPTION_ID:
      options->change_id = argument;
      return 0;
    case OPTION_DIGEST:
      options->expected_digest = argument;
      return 0;
    case OPTION_REVISION:
      options->watch_revision = number_parse (state, argument, INT64_MAX);
      return 0;
    case OPTION_COUNT:
      options->watch_count = number_parse (state, argument, INT64_MAX);
      return 0;
    case OPTION_TIMEOUT:
      options->timeout_ms = (uint32_t)number_parse (state, argument, TIMEOUT_MAX_MS);
      return 0;
    case ARGP_KEY_ARG:
      if (options->argument_count == ARGUMENTS_MAX - 1)
        argp_error (state, "too many arguments");
      options->arguments[options->argument_count++] = argument;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp parser = { option_list, option_parse, "COMMAND [ARGUMENT...]", doc };
  char *arguments[ARGUMENTS_MAX] = { 0 };
  sgr_ctl_options_t options
      = { .arguments = arguments, .timeout_ms = TIMEOUT_DEFAULT_MS, .watch_revision = UINT64_MAX };

  signal (SIGPIPE, SIG_IGN);
  argp_err_exit_status = SGR_CTL_EXIT_USAGE;
  argp_parse (&parser, argc, argv, 0, NULL, &options);
  return sgr_ctl_run (&options, stdout, stderr);
}
