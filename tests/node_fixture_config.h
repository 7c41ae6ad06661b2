#ifndef SGR_NODE_FIXTURE_CONFIG_H
#define SGR_NODE_FIXTURE_CONFIG_H

#include <stdio.h>

#include "node_fixture.h"

#define SGR_FIXTURE_DEPLOYMENT "test"

/** sgr_fixture_owners_write() - the section "owners" of the settings, with the test's keys */
void sgr_fixture_owners_write (FILE *file);

/**
 * sgr_fixture_services_set() - propose a change with all services of the fixture, approve it in
 * the name of both owners
 * @fixture: the fixture; its store and its nodes run
 *
 * Services have the policy "plain" with the defaults; the service "pair" has the policy "shedding",
 * which declares the status 503 as not-run.
 */
bool sgr_fixture_services_set (const sgr_fixture_t *fixture);

#endif
