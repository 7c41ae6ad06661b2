#ifndef SGR_NODE_FIXTURE_CONFIG_H
#define SGR_NODE_FIXTURE_CONFIG_H

#include <jansson.h>
#include <stdio.h>

#include "node_fixture.h"

#define SGR_FIXTURE_DEPLOYMENT "test"
/* Name of the route of a routed fixture. */
#define SGR_FIXTURE_ROUTE "fixture"
/* Limit of the policy "cold". */
#define SGR_FIXTURE_COLD_CALLS_PER_S 10

/** sgr_fixture_owners_write() - write the section "owners" of the settings, with the test's keys */
void sgr_fixture_owners_write (FILE *file);

/**
 * sgr_fixture_services_set() - configure all services of the fixture
 * @fixture: the fixture; its store and its nodes have been started
 *
 * Proposes one change through the first node and approves it in the name of both owners. The
 * service "pair" gets the policy "shedding", which declares the status 503 as not-run; the service
 * "cold" gets the policy "cold", which has a limit for cold targets and asks them for their state;
 * all other services get the policy "plain", which has the defaults.
 *
 * Return: false if a request was refused, or not accepted within 20 seconds.
 */
bool sgr_fixture_services_set (const sgr_fixture_t *fixture);

/**
 * sgr_fixture_change_set() - change the configuration that the fixture's first node has in force
 * @fixture: the fixture, after sgr_fixture_services_set()
 * @id: id of the change, used once
 * @edit: edit of the content, see sgr_config_content_apply(); released by this function
 *
 * Proposes and approves the change as sgr_fixture_services_set() does.
 *
 * Return: false if a request was refused, or not accepted within 20 seconds.
 */
bool sgr_fixture_change_set (const sgr_fixture_t *fixture, const char *id, json_t *edit);

#endif
