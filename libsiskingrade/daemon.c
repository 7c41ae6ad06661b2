#include "daemon.h"

#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

#include "log.h"
#include "version.h"

/* Allocations of this size and above are returned to the system when they are freed. Without a
   fixed threshold, glibc raises it with each freed body, up to 32 MiB, and keeps such bodies'
   memory. */
#define MMAP_THRESHOLD_BYTES (1024 * 1024)

const char *argp_program_version = "siskingraded " SGR_VERSION;

typedef struct
{
  const char *settings_path;
  bool is_check_only;
} options_t;

static const struct argp_option option_list[] = {
  { "check", 'c', NULL, 0, "Check the settings file and exit", 0 },
  { 0 },
};

static error_t
option_parse (int key, char *argument, struct argp_state *state)
{
  options_t *options = state->input;

  switch (key)
    {
    case 'c':
      options->is_check_only = true;
      return 0;
    case ARGP_KEY_ARG:
      if (options->settings_path != NULL)
        argp_error (state, "more than one settings file");
      options->settings_path = argument;
      return 0;
    case ARGP_KEY_END:
      if (options->settings_path == NULL)
        argp_error (state, "no settings file");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
sgr_daemon_main (int argc, char **argv, const sgr_adapter_t *adapter)
{
  static const struct argp argp
      = { option_list,
          option_parse,
          "FILE",
          "Run a siskingrade node with the settings in FILE.\v"
          "Exit status: 0 after a graceful shutdown, 64 for wrong usage, 71 if an address cannot "
          "be used, 78 for wrong settings.",
          NULL,
          NULL,
          NULL };
  static sgr_settings_t settings;
  options_t options = { 0 };
  sgr_buffer_t errors = { 0 };
  sigset_t reload_signal;

  /* Until the control task handles SIGHUP, its default action would end the process. A SIGHUP that
     arrives while the settings are read stays pending and reloads them later. */
  sigemptyset (&reload_signal);
  sigaddset (&reload_signal, SIGHUP);
  sigprocmask (SIG_BLOCK, &reload_signal, NULL);
  argp_parse (&argp, argc, argv, 0, NULL, &options);
  if (sodium_init () < 0)
    {
      fprintf (stderr, "siskingraded: no source of random numbers\n");
      return EX_OSERR;
    }
  if (sgr_settings_load (&settings, options.settings_path, &errors) != SGR_OK)
    {
      fwrite (errors.bytes, 1, errors.length, stderr);
      sgr_buffer_release (&errors);
      return EX_CONFIG;
    }
  if (options.is_check_only)
    {
      printf ("%s: settings are valid\n", options.settings_path);
      return EX_OK;
    }
  sgr_log_setup (settings.name, settings.log_level);
  /* A failure only means that freed memory may stay with the process. */
  mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
  return sgr_control_task_run (options.settings_path, &settings, adapter);
}
