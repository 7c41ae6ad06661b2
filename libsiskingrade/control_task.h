#ifndef SGR_CONTROL_TASK_H
#define SGR_CONTROL_TASK_H

#include "settings.h"

/**
 * sgr_control_task_run() - run a node until it is asked to stop
 * @settings: settings of the node
 *
 * The calling thread becomes the control task: membership, configuration, announcements, the
 * resource API and metrics. It starts the data task. SIGTERM and SIGINT begin a graceful
 * shutdown; further ones change nothing.
 *
 * Return: exit status: 0 after a graceful shutdown, EX_OSERR if an address cannot be used.
 */
int sgr_control_task_run (const sgr_settings_t *settings);

#endif
