#include "daemon.h"

int
main (int argc, char **argv)
{
  return sgr_daemon_main (argc, argv, &sgr_adapter_default);
}
