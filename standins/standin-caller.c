#include <argp.h>
#include <h2o.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "caller_load.h"
#include "http_fields.h"

/* A load generator in the role of the callers, for the demo. It sends a mix of look-ups, writes
   with idempotency keys and reads with large answers, and checks each answer. */

#define NUMBER_MAX 1000000

static const struct argp_option option_list[] = {
  { "node", 'n', "IP:PORT", 0, "Callers' address of a node; may be given several times", 0 },
  { "service", 's', "NAME:KIND", 0, "Service to call; KIND is lookup, write or large", 0 },
  { "rate", 'r', "COUNT", 0, "Calls a second (200)", 0 },
  { "seconds", 't', "SECONDS", 0, "How long to send calls (10)", 0 },
  { "seed", 'S', "NUMBER", 0, "Seed of the arrivals (1)", 0 },
  { "report", 'o', "FILE", 0, "Write a line \"ID OUTCOME\" for each call that writes", 0 },
  { 0 },
};

static uint64_t
number_parse (const char *argument, struct argp_state *state)
{
  uint64_t number = 0;

  if (!sgr_http_number_parse (argument, strlen (argument), NUMBER_MAX, &number) || number == 0)
    argp_error (state, "not a number above 0: %s", argument);
  return number;
}

static void
service_parse (sgr_caller_options_t *options, const char *argument, struct argp_state *state)
{
  /* In the order of sgr_caller_kind_t. */
  static const char *const kinds[] = { "lookup", "write", "large" };
  const char *colon = strchr (argument, ':');
  sgr_caller_service_t *service = &options->services[options->service_count];

  if (colon == NULL || colon - argument > SGR_NAME_MAX
      || options->service_count == SGR_CALLER_SERVICES_MAX)
    {
      argp_error (state, "expected NAME:KIND: %s", argument);
      return;
    }
  snprintf (service->name, sizeof service->name, "%.*s", (int)(colon - argument), argument);
  for (int kind = 0; kind < 3; kind++)
    {
      if (strcmp (colon + 1, kinds[kind]) == 0)
        {
          service->kind = (sgr_caller_kind_t)kind;
          options->service_count++;
          return;
        }
    }
  argp_error (state, "unknown kind: %s", colon + 1);
}

static error_t
option_parse (int key, char *argument, struct argp_state *state)
{
  sgr_caller_options_t *options = state->input;

  switch (key)
    {
    case 'n':
      if (options->node_count == SGR_CALLER_NODES_MAX
          || !sgr_address_parse (argument, &options->nodes[options->node_count++]))
        argp_error (state, "not IP:PORT: %s", argument);
      return 0;
    case 's':
      service_parse (options, argument, state);
      return 0;
    case 'r':
      options->rate = number_parse (argument, state);
      return 0;
    case 't':
      options->seconds = number_parse (argument, state);
      return 0;
    case 'S':
      options->seed = number_parse (argument, state);
      return 0;
    case 'o':
      options->report_path = argument;
      return 0;
    case ARGP_KEY_END:
      if (options->node_count == 0 || options->service_count == 0)
        argp_error (state, "--node and --service are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp = { option_list,
                                    option_parse,
                                    NULL,
                                    "Callers for the demo.\vExit status: 1 if an answer "
                                    "was not whole or belonged to another call.",
                                    NULL,
                                    NULL,
                                    NULL };
  static sgr_caller_options_t options = { .rate = 200, .seconds = 10, .seed = 1 };

  argp_parse (&argp, argc, argv, 0, NULL, &options);
  signal (SIGPIPE, SIG_IGN);
  return sgr_caller_run (&options);
}
