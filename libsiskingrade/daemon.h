#ifndef SGR_DAEMON_H
#define SGR_DAEMON_H

#include "control_task.h"

/**
 * sgr_daemon_main() - command line of a node daemon: settings file and --check
 * @argc: as for main()
 * @argv: as for main()
 * @adapter: how the node speaks with its platform
 *
 * Return: exit status of the program.
 */
int sgr_daemon_main (int argc, char **argv, const sgr_adapter_t *adapter);

#endif
