#ifndef SGR_DAEMON_H
#define SGR_DAEMON_H

#include "control_task.h"

/**
 * sgr_daemon_main() - parse the command line of a node daemon and run the node
 * @argc: as for main()
 * @argv: as for main()
 * @adapter: interface to the platform
 *
 * The arguments are a settings file and optionally --check, which only checks the file.
 *
 * Return: exit status of the program.
 */
int sgr_daemon_main (int argc, char **argv, const sgr_adapter_t *adapter);

#endif
