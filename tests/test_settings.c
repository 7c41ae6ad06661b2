#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "settings.h"

/* Settings file: no error is ignored, and each is reported with file, line, key and what was
   expected. */

#define KEY_1 "0000000000000000000000000000000000000000000000000000000000000001"
#define KEY_2 "0000000000000000000000000000000000000000000000000000000000000002"

#define NODE "node: {deployment: d, name: n, region: r, failure_domain: f}\n"
#define LISTEN "listen: {callers: 127.0.0.1:1, peers: 127.0.0.1:2, control: 127.0.0.1:3}\n"
#define OWNERS                                                                                     \
  "owners:\n  - {name: a, public_key: " KEY_1 "}\n  - {name: b, public_key: " KEY_2 "}\n"

typedef struct
{
  const char *text;
  const char *error; /* prefix of one line of the error report */
} bad_case_t;

static const bad_case_t bad_cases[] = {
  { "", "f:1: " },
  { "- a\n", "f:1: " },
  { "node: [\n", "f:" },
  { LISTEN OWNERS, "f:1: node" },
  { "node: {name: n, region: r, failure_domain: f}\n" LISTEN OWNERS, "f:1: node.deployment: " },
  { "node: {deployment: d, name: '', region: r, failure_domain: f}\n" LISTEN OWNERS,
    "f:1: node.name: " },
  { "node: {deployment: d, name: a b, region: r, failure_domain: f}\n" LISTEN OWNERS,
    "f:1: node.name: " },
  { "node:\n  deployment: d\n  name: n\n  region: r\n  failure_domain: f\n  zone: z\n" LISTEN
        OWNERS,
    "f:6: node.zone: " },
  { "node:\n  deployment: d\n  name: n\n  name: m\n  region: r\n  failure_domain: f\n" LISTEN
        OWNERS,
    "f:4: node.name: " },
  { NODE OWNERS, "f:1: listen" },
  { NODE "listen: {callers: 127.0.0.1:1, peers: 127.0.0.1:2}\n" OWNERS, "f:2: listen.control: " },
  { NODE "listen: {callers: localhost:1, peers: 127.0.0.1:2, control: 127.0.0.1:3}\n" OWNERS,
    "f:2: listen.callers: " },
  { NODE "listen: {callers: 127.0.0.1:1, peers: 127.0.0.1:70000, control: 127.0.0.1:3}\n" OWNERS,
    "f:2: listen.peers: " },
  { NODE "listen: {callers: 127.0.0.1:1, peers: 127.0.0.1:1, control: 127.0.0.1:3}\n" OWNERS,
    "f:2: listen.peers: duplicate" },
  { NODE "listen: {callers: 127.0.0.1:1, peers: 127.0.0.1:2, control: 127.0.0.1:2}\n" OWNERS,
    "f:2: listen.control: duplicate" },
  { NODE "listen: {callers: 127.0.0.1:1, peers: 127.0.0.1:2, control: 127.0.0.1:3, confirm: "
         "127.0.0.1:4}\n" OWNERS,
    "f:2: listen.confirm: expected IP:FIRST-LAST" },
  { NODE "listen: {callers: 127.0.0.1:1, peers: 127.0.0.1:2, control: 127.0.0.1:3, confirm: "
         "127.0.0.1:9-8}\n" OWNERS,
    "f:2: listen.confirm: expected IP:FIRST-LAST" },
  { NODE "listen: {callers: 127.0.0.1:1, peers: 127.0.0.1:2, control: 127.0.0.1:3, confirm: "
         "127.0.0.1:9-70000}\n" OWNERS,
    "f:2: listen.confirm: expected IP:FIRST-LAST" },
  { NODE LISTEN OWNERS "advertise: {peers: x}\n", "f:6: advertise.peers: " },
  { NODE LISTEN OWNERS "advertise: {callers: 127.0.0.1:4}\n", "f:6: advertise.callers: " },
  { NODE LISTEN OWNERS "contacts: 127.0.0.1:4\n", "f:6: contacts: expected a list" },
  { NODE LISTEN OWNERS "contacts:\n  - 127.0.0.1:4\n  - x\n", "f:8: contacts: " },
  { NODE LISTEN OWNERS "contacts:\n  - 127.0.0.1:4\n  - 127.0.0.1:4\n",
    "f:8: contacts: duplicate" },
  { NODE LISTEN OWNERS "store: 127.0.0.1\n", "f:6: store: " },
  { NODE LISTEN OWNERS "routing: by-name\n", "f:6: routing: expected by-route or by-service" },
  { NODE LISTEN OWNERS "routing: []\n", "f:6: routing: expected by-route or by-service" },
  { "node: {deployment: d, name: n, region: r, regions: [], failure_domain: f}\n" LISTEN OWNERS,
    "f:1: node.regions: expected a list of names" },
  { "node: {deployment: d, name: n, service: a b, region: r, failure_domain: f}\n" LISTEN OWNERS,
    "f:1: node.service: expected a name" },
  { NODE LISTEN, "f:1: owners: expected a list of 2" },
  { NODE LISTEN "owners:\n  - {name: a, public_key: " KEY_1 "}\n", "f:4: owners: expected a list" },
  { NODE LISTEN "owners:\n  - {name: a, public_key: " KEY_1 "}\n  - {name: a, public_key: " KEY_2
                "}\n",
    "f:4: owners.name: duplicate" },
  { NODE LISTEN "owners:\n  - {name: a, public_key: " KEY_1 "}\n  - {name: b, public_key: " KEY_1
                "}\n",
    "f:4: owners.public_key: both" },
  { NODE LISTEN "owners:\n  - {name: a, public_key: 12}\n  - {name: b, public_key: " KEY_2 "}\n",
    "f:4: owners.public_key: expected the content of a .pub file, or its 64 hexadecimal digits" },
  { NODE LISTEN OWNERS "tls: {certificate: /nonexistent, key: /nonexistent}\n",
    "f:6: certificate: " },
  { NODE LISTEN OWNERS "log: {level: loud}\n", "f:6: log.level: expected" },
  { "node: {deployment: d, name: n, region: r, regions: [a, b], failure_domain: f}\n" LISTEN OWNERS,
    "f:1: node.regions: " },
  { "node: {deployment: d, name: n, region: r, regions: r, failure_domain: f}\n" LISTEN OWNERS,
    "f:1: node.regions: " },
  { NODE LISTEN OWNERS "limits: {stop_grace: 6}\n", "f:6: limits.stop_grace: " },
  { NODE LISTEN OWNERS "limits: {stop_grace: 6m}\n", "f:6: limits.stop_grace: " },
  { NODE LISTEN OWNERS "limits: {stop_grace: -6s}\n", "f:6: limits.stop_grace: " },
  { NODE LISTEN OWNERS "limits: {evacuation: 99ms}\n", "f:6: limits.evacuation: " },
  { NODE LISTEN OWNERS "limits: {quota_window: 601s}\n", "f:6: limits.quota_window: " },
  { NODE LISTEN OWNERS "limits: {quota_over: 1.1}\n", "f:6: limits.quota_over: " },
  { NODE LISTEN OWNERS "limits: {quota_over: nan}\n", "f:6: limits.quota_over: " },
  { NODE LISTEN OWNERS "limits: {quota_slack: 0.5}\n", "f:6: limits.quota_slack: " },
  { NODE LISTEN OWNERS "limits: {link_mbps: -14}\n", "f:6: limits.link_mbps: " },
  { NODE LISTEN OWNERS "limits: {link_mbps: 14M}\n", "f:6: limits.link_mbps: " },
  { NODE LISTEN OWNERS "limits: {memory_mb: 31}\n", "f:6: limits.memory_mb: " },
  { NODE LISTEN OWNERS "limits: {memory_budget_bytes: 1000}\n",
    "f:6: limits.memory_budget_bytes: " },
  { NODE LISTEN OWNERS "limits: {memory_share_percent: 101}\n",
    "f:6: limits.memory_share_percent: " },
  { NODE LISTEN OWNERS "limits: {connections_max: 9}\n", "f:6: limits.connections_max: " },
  { NODE LISTEN OWNERS "limits: {head_timeout_ms: 0}\n", "f:6: limits.head_timeout_ms: " },
  { NODE LISTEN OWNERS "limits: {stall_timeout_ms: 0}\n", "f:6: limits.stall_timeout_ms: " },
  { NODE LISTEN OWNERS "limits: {calls_max: 0}\n", "f:6: limits.calls_max: " },
  { NODE LISTEN OWNERS "limits: {calls_max: many}\n", "f:6: limits.calls_max: " },
  { NODE LISTEN OWNERS "limits: {calls_max: 1.5}\n", "f:6: limits.calls_max: " },
  { NODE LISTEN OWNERS "limits: {calls_max: 99999999999999999999}\n", "f:6: limits.calls_max: " },
  { NODE LISTEN OWNERS "limits: {answer_buffer_bytes: 17000000}\n",
    "f:6: limits.answer_buffer_bytes: " },
  { NODE LISTEN OWNERS "limits:\n  heartbeat_ms: 500\n  silence_ms: 600\n",
    "f:7: limits.silence_ms: expected at least twice" },
  { NODE LISTEN OWNERS "limits: [1]\n", "f:6: limits: " },
  { NODE LISTEN OWNERS "speed: 3\n", "f:6: speed: " },
};

static bool
has_line_with_prefix (const char *report, const char *prefix)
{
  while (report != NULL && *report != '\0')
    {
      if (strncmp (report, prefix, strlen (prefix)) == 0)
        return true;
      report = strchr (report, '\n');
      report = report != NULL ? report + 1 : NULL;
    }
  return false;
}

static void
test_bad_settings (void **state)
{
  unsigned failed_cases = 0;

  for (size_t i = 0; i < sizeof bad_cases / sizeof bad_cases[0]; i++)
    {
      sgr_settings_t settings;
      sgr_buffer_t errors = { 0 };
      sgr_result_t result = sgr_settings_parse (&settings, "f", bad_cases[i].text,
                                                strlen (bad_cases[i].text), &errors);

      sgr_buffer_append (&errors, "", 1);
      if (result != SGR_ERR_INVALID
          || !has_line_with_prefix ((const char *)errors.bytes, bad_cases[i].error))
        {
          print_error ("%s\nreport: %sexpected: %s\n", bad_cases[i].text,
                       (const char *)errors.bytes, bad_cases[i].error);
          failed_cases++;
        }
      sgr_buffer_release (&errors);
    }
  assert_int_equal (failed_cases, 0);
}

static void
test_good_settings (void **state)
{
  static const char text[] = NODE LISTEN OWNERS
      "contacts: [127.0.0.1:4]\nstore: 127.0.0.1:5\nlog: {level: debug}\n"
      "advertise: {peers: 127.0.0.1:9}\nlimits: {heartbeat_ms: 10, "
      "silence_ms: 20, store_retry_max_ms: 2000, stop_grace: 6s, "
      "evacuation: 2500ms, quota_over: 0.1, quota_slack: 20, link_mbps: 14.5}\n";
  sgr_settings_t settings;
  sgr_buffer_t errors = { 0 };

  assert_int_equal (sgr_settings_parse (&settings, "f", text, sizeof text - 1, &errors), SGR_OK);
  assert_int_equal (errors.length, 0);
  assert_string_equal (settings.name, "n");
  assert_int_equal (settings.contact_count, 1);
  assert_int_equal (settings.store.port, 5);
  assert_int_equal (settings.advertised_peers.port, 9);
  assert_int_equal (settings.silence_ms, 20);
  assert_int_equal (settings.store_retry_max_ms, 2000);
  assert_int_equal (settings.stop_grace_ms, 6000);
  assert_int_equal (settings.evacuation_ms, 2500);
  assert_int_equal (settings.quota_window_ms, 5000);
  assert_float_equal (settings.quota_over, 0.1, 0);
  assert_int_equal (settings.quota_slack, 20);
  assert_float_equal (settings.link_mbps, 14.5, 0);
  assert_int_equal (
      sgr_settings_parse (&settings, "f", NODE LISTEN OWNERS, strlen (NODE LISTEN OWNERS), &errors),
      SGR_OK);
  assert_int_equal (settings.advertised_peers.port, settings.peers.port);
  sgr_buffer_release (&errors);
}

/* Runs siskingraded with the arguments and returns its exit status. */
static int
daemon_run (const char *arguments)
{
  const char *build = getenv ("SGR_BUILD");
  char command[512];

  snprintf (command, sizeof command, "%s/siskingraded %s >/dev/null 2>&1",
            build != NULL ? build : "build", arguments);
  return WEXITSTATUS (system (command));
}

/* Exit status 78 stands for wrong settings, 64 for wrong usage. */
static void
test_exit_status (void **state)
{
  char path[] = "/tmp/siskingrade-settings-XXXXXX";
  char arguments[128];
  FILE *file = fdopen (mkstemp (path), "w");

  fputs (NODE LISTEN OWNERS, file);
  fclose (file);
  snprintf (arguments, sizeof arguments, "--check %s", path);
  assert_int_equal (daemon_run (arguments), 0);
  file = fopen (path, "a");
  fputs ("speed: 3\n", file);
  fclose (file);
  assert_int_equal (daemon_run (arguments), 78);
  assert_int_equal (daemon_run (path), 78);
  unlink (path);
  assert_int_equal (daemon_run (arguments), 78);
  assert_int_equal (daemon_run ("--check"), 64);
  assert_int_equal (daemon_run ("--version"), 0);
  assert_int_equal (daemon_run ("--help"), 0);
}

/* Guards against a budget beyond the memory of the process, and one without room for a body. */
static void
test_memory_budget (void **state)
{
  static const struct
  {
    const char *limits;
    uint64_t mib;
  } cases[] = {
    { "", 1024 },
    { "limits: {memory_mb: 32}\n", 8 },
    { "limits: {memory_mb: 64}\n", 16 },
    { "limits: {memory_mb: 160}\n", 112 },
    { "limits: {memory_mb: 512}\n", 464 },
    { "limits: {memory_mb: 160, memory_budget_bytes: 16777216}\n", 16 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      sgr_buffer_t errors = { 0 };
      sgr_settings_t settings;
      char text[1024];

      snprintf (text, sizeof text, "%s%s", NODE LISTEN OWNERS, cases[i].limits);
      assert_int_equal (sgr_settings_parse (&settings, "f", text, strlen (text), &errors), SGR_OK);
      assert_int_equal (settings.memory_budget_bytes, cases[i].mib << 20);
      sgr_buffer_release (&errors);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bad_settings),
    cmocka_unit_test (test_good_settings),
    cmocka_unit_test (test_memory_budget),
    cmocka_unit_test (test_exit_status),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
