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

/* Longest time that rig_run_until() waits for its condition. */
#define CONDITION_WAIT_MAX_US (30 * SGR_USEC_PER_SEC)
/* Longest wait of one run of the event loop. */
#define LOOP_WAIT_MS 5
/* Most runs of the event loop that a stopped node gets to close its connections. They take at most
   10 s. */
#define STOP_LOOP_RUNS_MAX 2000
#define LOOPBACK_IP 0x7f000001 /* 127.0.0.1 */
#define STORE_TIMEOUT_MS 1500
/* Longest request body; above SGR_CONFIG_VALUE_MAX_BYTES, the longest proposal that the API
   accepts. */
#define REQUEST_BODY_MAX_BYTES 1100000
#define HTTP_CALL_TIMEOUT_MS 25000
#define HTTP_REPLY_MAX_BYTES 4000000
/* Entries of the argument vector of siskingradectl, with the NULL that terminates it. */
#define CTL_ARGUMENTS_MAX 24

extern char **environ;

/* All tests of a program share one event loop, because h2o releases a closed socket only in the
   next run of its loop. */
static h2o_loop_t *shared_loop;

static const char *
build_directory (void)
{
  const char *build = getenv ("SGR_BUILD");

  return build != NULL ? build : "build";
}

/* Starts the store stand-in on a free port and reads its address from the line that it prints. */
static void
store_start (rig_t *rig)
{
  char program[256], line[64] = "";
  char *arguments[] = { program, "--listen", "127.0.0.1:0", "--exit-with-parent", NULL };
  posix_spawn_file_actions_t actions;
  int pipe_ends[2];
  FILE *store_output;

  snprintf (program, sizeof program, "%s/standin-store", build_directory ());
  sgr_invariant (pipe2 (pipe_ends, O_CLOEXEC) == 0);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_adddup2 (&actions, pipe_ends[1], 1);
  sgr_invariant (posix_spawn (&rig->store_pid, program, &actions, NULL, arguments, environ) == 0);
  posix_spawn_file_actions_destroy (&actions);
  close (pipe_ends[1]);
  store_output = fdopen (pipe_ends[0], "r");
  sgr_invariant (fgets (line, sizeof line, store_output) != NULL);
  line[strcspn (line, "\n")] = '\0';
  sgr_invariant (sgr_address_parse (line + strlen ("listening "), &rig->store_address));
  fclose (store_output);
}

static size_t
list_members (void *ctx, const sgr_member_t **members)
{
  rig_t *rig = ((rig_node_t *)ctx)->rig;

  *members = rig->members;
  return rig->count;
}

static void
on_config_changed (void *ctx, const sgr_config_state_t *state)
{
  rig_node_t *node = ctx;
  uint64_t revision = sgr_config_state_revision (state);

  if (revision < node->last_revision)
    node->has_revision_decreased = true;
  node->last_revision = revision;
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
  sgr_config_io_callbacks_t callbacks = { on_config_changed };
  sgr_store_http_options_t store = { rig->store_address, STORE_TIMEOUT_MS };
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
  node->listener = sgr_http_listener_create (rig->loop, &node->address, REQUEST_BODY_MAX_BYTES,
                                             register_api, node);
  sgr_invariant (node->listener != NULL);
  member->control_address = node->address;
  member->status = SGR_MEMBER_ALIVE;
  node->last_revision = 0;
  node->is_running = true;
}

void
rig_node_stop (rig_t *rig, size_t index)
{
  rig_node_t *node = &rig->nodes[index];

  node->is_running = false;
  rig->members[index].status = SGR_MEMBER_DEAD;
  rig->members[index].config_revision = 0;
  sgr_config_api_stop (node->api);
  sgr_http_listener_stop (node->listener);
  for (int i = 0; i < STOP_LOOP_RUNS_MAX && sgr_http_listener_connections (node->listener) > 0; i++)
    h2o_evloop_run (rig->loop, LOOP_WAIT_MS);
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
  store_start (rig);
  for (size_t i = 0; i < count; i++)
    {
      sgr_member_t *member = &rig->members[i];

      snprintf (member->name, sizeof member->name, "node-%zu", i);
      snprintf (member->failure_domain, sizeof member->failure_domain, "fd-%zu", i % 3);
      snprintf (member->region, sizeof member->region, "zhetysu");
      member->id = sgr_node_id_of (member->name);
      rig->nodes[i].address.ip = LOOPBACK_IP;
      rig_node_start (rig, i);
    }
}

void
rig_stop (rig_t *rig)
{
  char command[96];
  int status;

  for (size_t i = 0; i < rig->count; i++)
    if (rig->nodes[i].is_running)
      rig_node_stop (rig, i);
  kill (rig->store_pid, SIGTERM);
  waitpid (rig->store_pid, &status, 0);
  snprintf (command, sizeof command, "rm -r %s", rig->directory);
  sgr_invariant (system (command) == 0);
}

/* Reports each change of a revision to all running nodes at once. The nodes of a rig do not run the
   membership protocol. */
static void
revisions_propagate (rig_t *rig)
{
  bool changed = false;

  for (size_t i = 0; i < rig->count; i++)
    if (rig->nodes[i].is_running)
      {
        uint64_t revision = sgr_config_state_revision (sgr_config_io_state (rig->nodes[i].io));

        changed = changed || rig->members[i].config_revision != revision;
        rig->members[i].config_revision = revision;
      }
  for (size_t i = 0; changed && i < rig->count; i++)
    if (rig->nodes[i].is_running)
      sgr_config_io_members_update (rig->nodes[i].io, rig->members, rig->count);
}

void
rig_run_until (rig_t *rig, bool (*is_done) (rig_t *rig, void *ctx), void *ctx)
{
  uint64_t deadline_us = sgr_clock_monotonic_us () + CONDITION_WAIT_MAX_US;

  while (!is_done (rig, ctx))
    {
      sgr_invariant (sgr_clock_monotonic_us () < deadline_us);
      h2o_evloop_run (rig->loop, LOOP_WAIT_MS);
      revisions_propagate (rig);
    }
}

static bool
nodes_have_revision (rig_t *rig, void *ctx)
{
  for (size_t i = 0; i < rig->count; i++)
    if (rig->nodes[i].is_running
        && sgr_config_state_revision (sgr_config_io_state (rig->nodes[i].io)) < *(uint64_t *)ctx)
      return false;
  return true;
}

void
rig_run_until_revision (rig_t *rig, uint64_t revision)
{
  rig_run_until (rig, nodes_have_revision, &revision);
}

/** struct http_call_t - an HTTP request of rig_http_call() and its answer */
typedef struct
{
  bool is_done;
  int status;
  json_t *json;
} http_call_t;

static void
on_http_reply (void *ctx, const sgr_http_fetch_reply_t *reply)
{
  http_call_t *call = ctx;

  call->is_done = true;
  call->status = reply->error != NULL ? 0 : reply->status;
  if (reply->length > 0)
    call->json = sgr_config_json_load (reply->body, reply->length, NULL);
}

static bool
http_call_is_done (rig_t *rig, void *ctx)
{
  return ((http_call_t *)ctx)->is_done;
}

int
rig_http_call (rig_t *rig, const sgr_address_t *address, const char *method, const char *path,
               const char *body, json_t **json)
{
  sgr_http_fetcher_t *fetcher
      = sgr_http_fetcher_create (rig->loop, HTTP_CALL_TIMEOUT_MS, HTTP_REPLY_MAX_BYTES);
  sgr_http_fetch_request_t request = { .address = *address,
                                       .method = method,
                                       .path = path,
                                       .body = body,
                                       .length = body != NULL ? strlen (body) : 0 };
  http_call_t call = { 0 };

  sgr_http_fetch_start (fetcher, &request, on_http_reply, &call);
  rig_run_until (rig, http_call_is_done, &call);
  sgr_http_fetcher_destroy (fetcher);
  if (json != NULL)
    *json = call.json;
  else
    json_decref (call.json);
  return call.status;
}

void
rig_store_faults_set (rig_t *rig, const char *query)
{
  char path[160];

  snprintf (path, sizeof path, "/admin/faults?%s", query);
  sgr_invariant (rig_http_call (rig, &rig->store_address, "GET", path, NULL, NULL) == 200);
}

/** struct child_t - a child process and, once it has exited, its wait status */
typedef struct
{
  pid_t pid;
  int status;
} child_t;

static bool
child_has_exited (rig_t *rig, void *ctx)
{
  child_t *child = ctx;

  return waitpid (child->pid, &child->status, WNOHANG) == child->pid;
}

int
rig_ctl_run (rig_t *rig, char *out, size_t size, const char *const *arguments)
{
  char program[256], node[24], file[96];
  char *argv[CTL_ARGUMENTS_MAX] = { program, "--node", node };
  posix_spawn_file_actions_t actions;
  child_t child;
  ssize_t length;
  int fd, count = 3;

  snprintf (program, sizeof program, "%s/siskingradectl", build_directory ());
  sgr_address_format (&rig->nodes[0].address, node, sizeof node);
  snprintf (file, sizeof file, "%s/output", rig->directory);
  while (*arguments != NULL && count < CTL_ARGUMENTS_MAX - 1)
    argv[count++] = (char *)*arguments++;
  fd = open (file, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_adddup2 (&actions, fd, 1);
  posix_spawn_file_actions_adddup2 (&actions, fd, 2);
  sgr_invariant (posix_spawn (&child.pid, program, &actions, NULL, argv, environ) == 0);
  posix_spawn_file_actions_destroy (&actions);
  rig_run_until (rig, child_has_exited, &child);
  length = pread (fd, out, size - 1, 0);
  out[length > 0 ? length : 0] = '\0';
  close (fd);
  return WIFEXITED (child.status) ? WEXITSTATUS (child.status) : -1;
}

void
rig_file_write (rig_t *rig, const char *name, const char *text, char *path, size_t size)
{
  FILE *file;

  snprintf (path, size, "%s/%s", rig->directory, name);
  file = fopen (path, "w");
  sgr_invariant (file != NULL && fputs (text, file) >= 0 && fclose (file) == 0);
}
