#ifndef SGR_SCRIPTED_TARGET_H
#define SGR_SCRIPTED_TARGET_H

#include <stdbool.h>
#include <stdint.h>

#include "node_fixture.h"

/** A target whose answers a test writes itself. */

/**
 * sgr_scripted_target_start() - accept connections of 127.0.0.1, each in a thread of its own
 * @port: port to listen on; 0 stands for a free port, which is then filled in
 * @serve: serves a connection; the socket is closed when it returns
 *
 * Return: false if the port cannot be used.
 */
bool sgr_scripted_target_start (uint16_t *port, void (*serve) (int fd));

/**
 * sgr_scripted_target_announce() - announce the target of a node
 * @node: the node, with the port of the target
 * @slots: slots of the target
 *
 * Return: whether the node took the announcement.
 */
bool sgr_scripted_target_announce (const sgr_fixture_node_t *node, int slots);

#endif
