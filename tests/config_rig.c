#include "config_rig.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "http_fetch.h"
#include "log.h"

#define WAIT_MAX_US (30 * SGR_USEC_PER_SEC)

extern char **environ;

/* One loop for all tests of a program; h2o leaves closed sockets to its next run. */
static h2o_loop_t *shared_loop;

static const char *
build_directory (void)
{
  const char *build = getenv ("SGR_BUILD");

  return build != NULL ? build : "build";
}

static void
start_store (rig_t *rig)
{
  char program[256], line[64] = "";
  char *arguments[] = { program, "--listen", "127.0.0.1:0", "--exit-with-parent", NULL };
  posix_spawn_file_actions_t actions;
  int ends[2];
  FILE *input;

  snprintf (program, sizeof program, "%s/standin-store", build_directory ());
  sgr_invariant (pipe2 (ends, O_CLOEXEC) == 0);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_adddup2 (&actions, ends[1], 1);
  sgr_invariant (posix_spawn (&rig->store_pid, program, &actions, NULL, arguments, environ) == 0);
  posix_spawn_file_actions_destroy (&actions);
  close (ends[1]);
  input = fdopen (ends[0], "r");
  sgr_invariant (fgets (line, sizeof line, input) != NULL);
  line[strcspn (line, "\n")] = '\0';
  sgr_invariant (sgr_address_parse (line + strlen ("listening "), &rig->store_address));
  fclose (input);
}

static size_t
list_members (void *ctx, const sgr_member_t **members)
{
  rig_t *rig = ((rig_node_t *)ctx)->rig;

  *members = rig->members;
  return rig->count;
}

static void
on_changed (void *ctx, const sgr_config_state_t *state)
{
  rig_node_t *node = ctx;
  uint64_t revision = sgr_config_state_revision (state);

  if (revision < node->highest_seen)
    node->went_back = true;
  node->highest_seen = revision;
  sgr_config_api_notify (node->api);
}

static void
register_api (void *ctx, h2o_hostconf_t *host)
{
  rig_node_t *node = ctx;

  node->api = sgr_config_api_create (host, node->io, list_members, node);
}

void
rig_node_start (rig_t *rig, size_t index)
{
  rig_node_t *node = &rig->nodes[index];
  sgr_member_t *member = &rig->members[index];
  sgr_config_io_callbacks_t callbacks = { on_changed };
  sgr_store_http_options_t store = { rig->store_address, 1500 };
  sgr_config_io_options_t options;

  sgr_config_io_options_init (&options);
  options.owners = rig->keys.owners;
  options.sync.self = member->id;
  memcpy (options.sync.failure_domain, member->failure_domain, sizeof member->failure_domain);
  options.sync.seed = index + 1;
  options.sync.start_delay_ms = 50;
  options.sync.watch_ms = 2000;
  options.sync.backoff_max_ms = 500;
  options.seed = index + 1;
  node->rig = rig;
  node->store = sgr_store_http_create (rig->loop, &store);
  options.store = node->store;
  node->io = sgr_config_io_create (rig->loop, &options, &callbacks, node);
  node->listener
      = sgr_http_listener_create (rig->loop, &node->address, 1100000, register_api, node);
  sgr_invariant (node->listener != NULL);
  member->control_address = node->address;
  member->status = SGR_MEMBER_ALIVE;
  node->highest_seen = 0;
  node->up = true;
}

void
rig_node_stop (rig_t *rig, size_t index)
{
  rig_node_t *node = &rig->nodes[index];

  node->up = false;
  rig->members[index].status = SGR_MEMBER_DEAD;
  rig->members[index].config_revision = 0;
  sgr_config_api_stop (node->api);
  sgr_http_listener_stop (node->listener);
  for (int i = 0; i < 2000 && sgr_http_listener_connections (node->listener) > 0; i++)
    h2o_evloop_run (rig->loop, 5);
  sgr_invariant (sgr_http_listener_connections (node->listener) == 0);
  sgr_http_listener_destroy (node->listener);
  sgr_config_api_destroy (node->api);
  sgr_config_io_destroy (node->io);
  sgr_store_http_destroy (node->store);
  node->address.port = 0;
}

void
rig_start (rig_t *rig, size_t count)
{
  memset (rig, 0, sizeof *rig);
  signal (SIGPIPE, SIG_IGN);
  sgr_log_setup ("test", SGR_LOG_ERROR);
  support_keys_init (&rig->keys);
  snprintf (rig->directory, sizeof rig->directory, "/tmp/sgr-config-XXXXXX");
  sgr_invariant (mkdtemp (rig->directory) != NULL);
  if (shared_loop == NULL)
    shared_loop = h2o_evloop_create ();
  rig->loop = shared_loop;
  rig->count = count;
  start_store (rig);
  for (size_t i = 0; i < count; i++)
    {
      sgr_member_t *member = &rig->members[i];

      snprintf (member->name, sizeof member->name, "node-%zu", i);
      snprintf (member->failure_domain, sizeof member->failure_domain, "fd-%zu", i % 3);
      snprintf (member->region, sizeof member->region, "zhetysu");
      member->id = sgr_node_id_of (member->name);
      rig->nodes[i].address.ip = 0x7f000001;
      rig_node_start (rig, i);
    }
}

void
rig_stop (rig_t *rig)
{
  char command[96];
  int status;

  for (size_t i = 0; i < rig->count; i++)
    if (rig->nodes[i].up)
      rig_node_stop (rig, i);
  kill (rig->store_pid, SIGTERM);
  waitpid (rig->store_pid, &status, 0);
  snprintf (command, sizeof command, "rm -r %s", rig->directory);
  sgr_invariant (system (command) == 0);
}

/* Stands in for membership: every node learns of a risen revision at once. */
static void
spread (rig_t *rig)
{
  bool changed = false;

  for (size_t i = 0; i < rig->count; i++)
    if (rig->nodes[i].up)
      {
        uint64_t revision = sgr_config_state_revision (sgr_config_io_state (rig->nodes[i].io));

        changed = changed || rig->members[i].config_revision != revision;
        rig->members[i].config_revision = revision;
      }
  for (size_t i = 0; changed && i < rig->count; i++)
    if (rig->nodes[i].up)
      sgr_config_io_members_update (rig->nodes[i].io, rig->members, rig->count);
}

void
rig_until (rig_t *rig, bool (*done) (rig_t *rig, void *ctx), void *ctx)
{
  uint64_t end_us = sgr_clock_monotonic_us () + WAIT_MAX_US;

  while (!done (rig, ctx))
    {
      sgr_invariant (sgr_clock_monotonic_us () < end_us);
      h2o_evloop_run (rig->loop, 5);
      spread (rig);
    }
}

static bool
have_revision (rig_t *rig, void *ctx)
{
  for (size_t i = 0; i < rig->count; i++)
    if (rig->nodes[i].up
        && sgr_config_state_revision (sgr_config_io_state (rig->nodes[i].io)) < *(uint64_t *)ctx)
      return false;
  return true;
}

void
rig_until_revision (rig_t *rig, uint64_t revision)
{
  rig_until (rig, have_revision, &revision);
}

typedef struct
{
  bool done;
  int status;
  json_t *json;
} call_t;

static void
on_reply (void *ctx, const sgr_http_fetch_reply_t *reply)
{
  call_t *call = ctx;

  call->done = true;
  call->status = reply->error != NULL ? 0 : reply->status;
  if (reply->length > 0)
    call->json = sgr_config_json_load (reply->body, reply->length, NULL);
}

static bool
call_done (rig_t *rig, void *ctx)
{
  return ((call_t *)ctx)->done;
}

int
rig_call (rig_t *rig, const sgr_address_t *address, const char *method, const char *path,
          const char *body, json_t **json)
{
  sgr_http_fetcher_t *fetcher = sgr_http_fetcher_create (rig->loop, 25000, 4000000);
  sgr_http_fetch_request_t request = { .address = *address,
                                       .method = method,
                                       .path = path,
                                       .body = body,
                                       .length = body != NULL ? strlen (body) : 0 };
  call_t call = { 0 };

  sgr_http_fetch_start (fetcher, &request, on_reply, &call);
  rig_until (rig, call_done, &call);
  sgr_http_fetcher_destroy (fetcher);
  if (json != NULL)
    *json = call.json;
  else
    json_decref (call.json);
  return call.status;
}

void
rig_faults (rig_t *rig, const char *query)
{
  char path[160];

  snprintf (path, sizeof path, "/admin/faults?%s", query);
  sgr_invariant (rig_call (rig, &rig->store_address, "GET", path, NULL, NULL) == 200);
}

typedef struct
{
  pid_t pid;
  int status;
} child_t;

static bool
child_done (rig_t *rig, void *ctx)
{
  child_t *child = ctx;

  return waitpid (child->pid, &child->status, WNOHANG) == child->pid;
}

int
rig_ctl (rig_t *rig, char *out, size_t size, const char *const *arguments)
{
  char program[256], node[24], file[96];
  char *argv[24] = { program, "--node", node };
  posix_spawn_file_actions_t actions;
  child_t child;
  ssize_t length;
  int fd, count = 3;

  snprintf (program, sizeof program, "%s/siskingradectl", build_directory ());
  sgr_address_format (&rig->nodes[0].address, node, sizeof node);
  snprintf (file, sizeof file, "%s/output", rig->directory);
  while (*arguments != NULL && count < 23)
    argv[count++] = (char *)*arguments++;
  fd = open (file, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_adddup2 (&actions, fd, 1);
  posix_spawn_file_actions_adddup2 (&actions, fd, 2);
  sgr_invariant (posix_spawn (&child.pid, program, &actions, NULL, argv, environ) == 0);
  posix_spawn_file_actions_destroy (&actions);
  rig_until (rig, child_done, &child);
  length = pread (fd, out, size - 1, 0);
  out[length > 0 ? length : 0] = '\0';
  close (fd);
  return WIFEXITED (child.status) ? WEXITSTATUS (child.status) : -1;
}

void
rig_file (rig_t *rig, const char *name, const char *text, char *path, size_t size)
{
  FILE *file;

  snprintf (path, size, "%s/%s", rig->directory, name);
  file = fopen (path, "w");
  sgr_invariant (file != NULL && fputs (text, file) >= 0 && fclose (file) == 0);
}
