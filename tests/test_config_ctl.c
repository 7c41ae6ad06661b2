#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include <cmocka.h>

#include "config_rig.h"

#define ARGS(...) ((const char *const[]){ __VA_ARGS__, NULL })

static rig_t rig;
static char owners_file[128], key_file[2][128];

static const char initial_config_yaml[] = "deployment: herd\n"
                                          "policies:\n"
                                          "  - name: lookup\n"
                                          "    idempotency: always\n"
                                          "    deadline_ms: 800\n"
                                          "  - name: transfer\n"
                                          "    idempotency: never\n"
                                          "    not_run_status: [503]\n"
                                          "services:\n"
                                          "  - name: tally\n"
                                          "    policy: lookup\n"
                                          "  - name: transfers\n"
                                          "    policy: transfer\n"
                                          "    overrides:\n"
                                          "      queue_max: 12\n";

/* Generates the keys of both owners with siskingradectl, writes the owners' file and restarts the
   nodes with these keys. */
static int
setup (void **state)
{
  char path[128], text[1024] = "deployment: herd\nowners:\n", out[1024];
  char prefix[2][128];

  rig_start (&rig, 6);
  for (int i = 0; i < 2; i++)
    {
      char line[256];
      FILE *file;

      snprintf (prefix[i], sizeof prefix[i], "%s/%s", rig.directory, rig.keys.owners.owner[i].name);
      assert_int_equal (rig_ctl_run (&rig, out, sizeof out, ARGS ("keygen", prefix[i])), 0);
      snprintf (key_file[i], sizeof key_file[i], "%.100s.key", prefix[i]);
      snprintf (path, sizeof path, "%.100s.pub", prefix[i]);
      file = fopen (path, "r");
      assert_non_null (fgets (line, sizeof line, file));
      fclose (file);
      line[strcspn (line, "\n")] = '\0';
      snprintf (text + strlen (text), sizeof text - strlen (text),
                "  - name: %s\n    public_key: \"%s\"\n", rig.keys.owners.owner[i].name, line);
      assert_true (sodium_hex2bin (rig.keys.owners.owner[i].key, SGR_CONFIG_KEY_BYTES,
                                   strrchr (line, ' ') + 1, 2 * SGR_CONFIG_KEY_BYTES, NULL, NULL,
                                   NULL)
                   == 0);
    }
  rig_file_write (&rig, "owners.yaml", text, owners_file, sizeof owners_file);
  for (size_t i = 0; i < rig.count; i++)
    {
      rig_node_stop (&rig, i);
      rig_node_start (&rig, i);
    }
  return 0;
}

static int
teardown (void **state)
{
  rig_stop (&rig);
  return 0;
}

/* Runs a command of siskingradectl with the key of an owner. */
static int
ctl_run_as_owner (char *out, size_t size, int owner, const char *command, const char *argument,
                  const char *id)
{
  return rig_ctl_run (&rig, out, size,
                      ARGS ("--owners", owners_file, "--owner", rig.keys.owners.owner[owner].name,
                            "--key", key_file[owner], "--id", id, command, argument));
}

/* Guards the whole path of a change, first of a new configuration and then of an edit: both owners
   run siskingradectl, and all six nodes put the policies in force. */
static void
test_ctl_create_approve_propose (void **state)
{
  char path[128], out[8192];
  struct stat status;

  assert_int_equal (stat (key_file[0], &status), 0);
  assert_int_equal (status.st_mode & 0777, 0600);
  rig_file_write (&rig, "first.yaml", initial_config_yaml, path, sizeof path);
  assert_int_equal (ctl_run_as_owner (out, sizeof out, 0, "create", path, "first"), 0);
  assert_non_null (strstr (out, "state       pending"));
  assert_int_equal (ctl_run_as_owner (out, sizeof out, 0, "approve", "first", "-"), 1);
  assert_non_null (strstr (out, "has approved already"));
  assert_int_equal (ctl_run_as_owner (out, sizeof out, 1, "approve", "first", "-"), 0);
  assert_non_null (strstr (out, "state       in-force"));
  rig_run_until_revision (&rig, 1);
  assert_int_equal (ctl_run_as_owner (out, sizeof out, 0, "create", path, "second"), 1);

  rig_file_write (&rig, "edit.yaml",
                  "deployment: herd\nput:\n  services:\n    - name: brands\n      policy: lookup\n"
                  "remove:\n  services: [transfers]\n",
                  path, sizeof path);
  assert_int_equal (ctl_run_as_owner (out, sizeof out, 1, "propose", path, "edit"), 0);
  assert_int_equal (ctl_run_as_owner (out, sizeof out, 0, "approve", "edit", "-"), 0);
  rig_run_until_revision (&rig, 2);
  for (size_t i = 0; i < rig.count; i++)
    {
      const sgr_config_state_t *config = sgr_config_io_state (rig.nodes[i].io);

      assert_int_equal (sgr_config_state_policy (config, "brands")->deadline_ms, 800);
      assert_null (sgr_config_state_policy (config, "transfers"));
      assert_false (rig.nodes[i].has_revision_decreased);
    }
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out, ARGS ("list", "changes")), 0);
  assert_non_null (strstr (out, "was-in-force"));
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out, ARGS ("status")), 0);
  assert_non_null (strstr (out, "deployment herd, revision 2 (edit)"));
  assert_int_equal (
      rig_ctl_run (&rig, out, sizeof out, ARGS ("watch", "--revision", "1", "--count", "1")), 0);
  assert_string_equal (out, "revision 2 in force, change edit\n");
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out, ARGS ("--json", "get", "service", "tally")),
                    0);
}

/* Guards against errors in a file that do not name the line and the path of the invalid value. The
   exit status is EX_CONFIG, 78. */
static void
test_ctl_bad_file_table (void **state)
{
  static const struct
  {
    const char *text;
    const char *message;
  } cases[] = {
    { "deployment: herd\npolicies: []\nservices:\n  - name: a\n    policy: b\n",
      ":5: services[0].policy" },
    { "deployment: herd\npolicies:\n  - name: a\n    deadline: 3\nservices: []\n",
      ":4: policies[0].deadline: found an unknown key" },
    { "deployment: herd\npolicies:\n  - name: a\n    deadline_ms: soon\nservices: []\n",
      ":4: policies[0].deadline_ms: found the string \"soon\", expected an integer from 1" },
    { "deployment: herd\npolicies: []\npolicies: []\nservices: []\n",
      ":3: policies: found a second" },
    { "deployment: other\npolicies: []\nservices: []\n", ":1: deployment: found \"other\"" },
    { "deployment: herd\npolicies: [\n", ":3: " },
    { "", "empty document" },
    { "deployment: herd\n---\na: 1\n", "several documents" },
    { "deployment: herd\nput:\n  services:\n    - name: a\n      polcy: b\n",
      ":5: put.services[0].polcy" },
    { "a: &a [*a]\n", "found" },
  };
  char path[128], out[4096];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      rig_file_write (&rig, "bad.yaml", cases[i].text, path, sizeof path);
      assert_int_equal (ctl_run_as_owner (out, sizeof out, 0, "propose", path, "bad"), 78);
      if (strstr (out, cases[i].message) == NULL)
        fail_msg ("case %zu: %s", i, out);
    }
}

/* Guards against changed exit statuses, because scripts depend on them: EX_USAGE 64, EX_UNAVAILABLE
   69 and EX_NOPERM 77 of sysexits.h, and 1 for a request that a node rejected. */
static void
test_ctl_exit_status_table (void **state)
{
  char out[4096], open_key[128], text[256] = "siskingrade-ed25519-secret 00\n";

  /* Other users may read the file, which siskingradectl rejects for a secret key. */
  rig_file_write (&rig, "open.key", text, open_key, sizeof open_key);
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out, ARGS ("frobnicate")), 64);
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out, ARGS ("list", "frobs")), 64);
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out, ARGS ("--node", "x", "status")), 64);
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out, ARGS ("get", "service", "nothing")), 1);
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out,
                                 ARGS ("--owners", owners_file, "--owner", "aigerim", "--key",
                                       open_key, "approve", "first")),
                    77);
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out,
                                 ARGS ("--owners", owners_file, "--owner", "bolat", "--key",
                                       key_file[0], "approve", "first")),
                    77);
  rig_store_faults_set (&rig, "outage=1");
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out, ARGS ("list", "changes")), 69);
  rig_store_faults_set (&rig, "outage=0");
}

/* Guards against the exit status for an unknown outcome, after which an operator would look for a
   change that was never sent, when a local file cannot be read. */
static void
test_ctl_missing_files (void **state)
{
  const char *owner = rig.keys.owners.owner[0].name;
  char path[128], out[4096];

  rig_file_write (&rig, "any.yaml", initial_config_yaml, path, sizeof path);
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out,
                                 ARGS ("--owners", "/no/owners.yaml", "--owner", owner, "--key",
                                       key_file[0], "create", path)),
                    78);
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out,
                                 ARGS ("--owners", owners_file, "--owner", owner, "--key",
                                       "/no/file.key", "create", path)),
                    78);
  assert_int_equal (ctl_run_as_owner (out, sizeof out, 0, "propose", "/no/change.yaml", "any"), 78);
  assert_non_null (strstr (out, "/no/change.yaml"));
}

/* Guards against a hash that is not the one that nodes compute, as for a key with its line end, and
   against an error that shows the key. */
static void
test_ctl_key_hash (void **state)
{
  char path[128], out[1024], long_key[SGR_ACCOUNT_KEY_BYTES_MAX + 3] = "";

  rig_file_write (&rig, "account", "0123456789abcdefghij\r\nrest\n", path, sizeof path);
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out, ARGS ("key-hash", path)), 0);
  assert_string_equal (out, "5e72666bd8e9107c417419fd017bf766\n");
  memset (long_key, 'k', sizeof long_key);
  memcpy (long_key + SGR_ACCOUNT_KEY_BYTES_MAX, "\n", 2);
  rig_file_write (&rig, "account", long_key, path, sizeof path);
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out, ARGS ("key-hash", path)), 0);
  memcpy (long_key + SGR_ACCOUNT_KEY_BYTES_MAX, "k\n", 3);
  rig_file_write (&rig, "account", long_key, path, sizeof path);
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out, ARGS ("key-hash", path)), 78);
  assert_null (strstr (out, "kk"));
  rig_file_write (&rig, "account", "\n", path, sizeof path);
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out, ARGS ("key-hash", path)), 78);
  assert_int_equal (rig_ctl_run (&rig, out, sizeof out, ARGS ("key-hash", "no/such/file")), 78);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_ctl_create_approve_propose),
    cmocka_unit_test (test_ctl_bad_file_table),
    cmocka_unit_test (test_ctl_exit_status_table),
    cmocka_unit_test (test_ctl_missing_files),
    cmocka_unit_test (test_ctl_key_hash),
  };

  return cmocka_run_group_tests (tests, setup, teardown);
}
