#include "daemon.h"

/* The node daemon with the default adapter: call header fields with their default names, and a
   key-value service over HTTP. */

int
main (int argc, char **argv)
{
  return sgr_daemon_main (argc, argv, &sgr_adapter_default);
}
