#include "daemon.h"

/* The node daemon without an adapter for a platform. */

int
main (int argc, char **argv)
{
  return sgr_daemon_main (argc, argv, &sgr_adapter_default);
}
