/* A heartbeat of another writer, without the version and the zone of the backend and with an address
   at which nothing can be reached, arrives at a node that relays requests. */

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "rig.h"

#define CALLERS 64
#define LENGTH_MS 14000
#define BEAT_AT_MS 4000
#define WORK_MS 120
#define REQUESTS_MAX 20000
/* Port of the address in the heartbeat; 127.255.255.255 is the broadcast address of the loopback
   network, to which no connection can be made. */
#define DEAD_ADDRESS "127.255.255.255:8301"

static rig_node_t nodes[2];
static rig_backend_t backends[2];
static uint64_t begin_ms;
static _Atomic unsigned sequence, statuses[600];
/* Requests of kept connections that a backend has begun, and that ended without an answer. */
static _Atomic bool has_run[REQUESTS_MAX];
static _Atomic unsigned lost;

static void
on_run (const char *id, const char *path)
{
  unsigned number;

  (void)path;
  if (sscanf (id, "look-%u", &number) == 1 && number < REQUESTS_MAX)
    has_run[number] = true;
}

/* Half of the callers connect to each node. All send requests for the service of the other machine's
   backend or of the own one, in turn. */
static void *
caller_run (void *argument)
{
  static const char *const hosts[] = { "move", "look" };
  unsigned caller = (unsigned)(size_t)argument;
  const rig_node_t *entry = &nodes[caller % 2];
  rig_message_t *answer = calloc (1, sizeof *answer);
  rig_stream_t stream = { .fd = -1 };
  unsigned answered = 0;

  while (rig_now_ms () < begin_ms + LENGTH_MS)
    {
      unsigned number = sequence++;
      const char *host = hosts[caller / 2 % 2];
      char text[512];
      int result = 0, length = snprintf (text, sizeof text,
                                         "GET /%s/2f HTTP/1.1\r\nHost: %s.example\r\nX-Request-Id: "
                                         "look-%u\r\nX-Deadline-Ms: 2000\r\n\r\n",
                                         host, host, number);

      if (stream.fd < 0)
        {
          stream.fd = rig_connect (entry->ip, RIG_PORT_OUTBOUND, 1000);
          answered = 0;
        }
      if (stream.fd < 0)
        {
          statuses[1]++;
          rig_sleep_ms (100);
          continue;
        }
      rig_record ("look-%u is sent to %s", number, entry->name);
      if (rig_send (stream.fd, text, (size_t)length))
        result = rig_read (&stream, true, rig_now_ms () + 2500, answer);
      if (result == 1)
        {
          statuses[answer->status % 600]++;
          answered++;
          rig_record ("look-%u is answered %d", number, answer->status);
        }
      else
        {
          bool is_counted = answered > 0 && result != -2 && number < REQUESTS_MAX
                            && has_run[number];

          statuses[0]++;
          rig_record ("look-%u to %s: the connection %s, %s", number, entry->name,
                      result == -2 ? "gives no answer" : "ends without an answer",
                      is_counted ? "the request was passed on to a backend" : "not passed on");
          lost += is_counted;
        }
      if (result != 1 || answer->closes)
        rig_stream_close (&stream);
      rig_message_free (answer);
      rig_sleep_ms (10);
    }
  free (answer);
  return NULL;
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "zone-a", "zone-b", NULL };
  static const char *const services[] = { "transfers1", "tally1" };
  rig_message_t *answer = calloc (1, sizeof *answer);
  pthread_t callers[CALLERS];
  rig_store_t *store;
  char store_ip[32], body[1024];
  unsigned ends = 0;

  rig_begin (argc > 1 ? argv[1] : "record.txt");
  rig_machine_ip (0, store_ip);
  store = rig_store_start (store_ip, RIG_PORT_STORE);
  rig_settings (store_ip, RIG_PORT_STORE, zones);
  rig_store_put (store, "op/config",
                 "{\"version\":\"00000001\",\"resources\":["
                 "{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"r-move\"},\"spec\":{"
                 "\"host\":\"move.example\",\"prefix\":\"/move/\",\"routeKind\":\"safe\","
                 "\"timeout\":\"1200ms\",\"targetLatency\":\"400ms\",\"priority\":1,"
                 "\"service\":\"transfers1\",\"maxAttempts\":2}},"
                 "{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"r-look\"},\"spec\":{"
                 "\"host\":\"look.example\",\"prefix\":\"/look/\",\"routeKind\":\"safe\","
                 "\"timeout\":\"1200ms\",\"targetLatency\":\"400ms\",\"priority\":1,"
                 "\"service\":\"tally1\",\"maxAttempts\":2}},"
                 "{\"resourceType\":\"services\",\"metadata\":{\"name\":\"tally1\"},\"spec\":{"
                 "\"healthPath\":\"/healthz\",\"maxConnections\":240,\"protocol\":\"h1\","
                 "\"tls\":false}},"
                 "{\"resourceType\":\"services\",\"metadata\":{\"name\":\"transfers1\"},\"spec\":{"
                 "\"healthPath\":\"/healthz\",\"maxConnections\":240,\"protocol\":\"h1\","
                 "\"tls\":false}}," RIG_LIMITS "]}");
  for (unsigned i = 0; i < 2; i++)
    {
      rig_node_t *node = &nodes[i];
      rig_backend_t *backend = &backends[i];

      snprintf (node->name, sizeof node->name, "sidecar-%u", i + 1);
      snprintf (node->service, sizeof node->service, "%s", services[i]);
      snprintf (node->zone, sizeof node->zone, "%s", zones[i]);
      rig_machine_ip (i + 1, node->ip);
      rig_node_start (node);
      snprintf (backend->id, sizeof backend->id, "i-%u", i + 1);
      snprintf (backend->service, sizeof backend->service, "%s", services[i]);
      snprintf (backend->zone, sizeof backend->zone, "%s", node->zone);
      rig_machine_ip (i + 1, backend->ip);
      rig_machine_ip (i + 1, backend->control_ip);
      backend->port = RIG_PORT_APP;
      backend->control_port = RIG_PORT_CONTROL;
      backend->slots = 32;
      backend->work_ms = WORK_MS;
      backend->on_run = on_run;
      rig_backend_start (backend);
    }
  rig_sleep_ms (8000);
  for (unsigned i = 0; i < 2; i++)
    if (!rig_node_is_ready (&nodes[i]) || backends[i].beats_acked == 0)
      rig_give_up ("%s is not ready", nodes[i].name);

  begin_ms = rig_now_ms ();
  rig_record ("%d clients send requests on kept connections to both nodes", CALLERS);
  for (unsigned i = 0; i < CALLERS; i++)
    pthread_create (&callers[i], NULL, caller_run, (void *)(size_t)i);
  rig_sleep_ms (BEAT_AT_MS);
  if (rig_trouble ())
    {
      int status;

      snprintf (body, sizeof body,
                "{\"address\":\"" DEAD_ADDRESS "\",\"born\":%llu,\"info\":{\"service\":\"%s\","
                "\"slots\":16},\"status\":{\"state\":\"ready\",\"sequence\":1}}",
                (unsigned long long)rig_wall_ms (), services[0]);
      status = rig_call (nodes[0].ip, RIG_PORT_CONTROL, "POST",
                         "/siskingrade/instances/i-other/heartbeat",
                         "Host: node\r\nContent-Type: application/json\r\n", body, 1000, answer);
      rig_record ("a heartbeat without version and zone, with the address " DEAD_ADDRESS ", is sent to "
                  "%s: status %d", nodes[0].name, status);
    }
  /* The platform starts a process that has ended again after a short delay. */
  while (rig_now_ms () < begin_ms + LENGTH_MS)
    {
      for (unsigned i = 0; i < 2; i++)
        {
          int status = 0;

          if (nodes[i].pid <= 0 || rig_node_runs (&nodes[i], &status))
            continue;
          ends++;
          if (WIFSIGNALED (status))
            rig_record ("the process of %s has ended by itself, signal %d (%s)", nodes[i].name,
                        WTERMSIG (status), strsignal (WTERMSIG (status)));
          else
            rig_record ("the process of %s has ended by itself, exit status %d", nodes[i].name,
                        WEXITSTATUS (status));
          rig_sleep_ms (500);
          rig_node_start (&nodes[i]);
        }
      rig_sleep_ms (20);
    }
  for (unsigned i = 0; i < CALLERS; i++)
    pthread_join (callers[i], NULL);
  for (unsigned i = 0; i < 2; i++)
    rig_record ("%s ran %llu requests", backends[i].id, (unsigned long long)backends[i].runs);
  rig_record ("connections refused: %u; requests without an answer: %u", (unsigned)statuses[1],
              (unsigned)statuses[0]);
  for (unsigned i = 100; i < 600; i++)
    if (statuses[i] > 0)
      rig_record ("status %u: %u answers", i, (unsigned)statuses[i]);
  rig_record ("processes that ended by themselves: %u; requests of kept connections that were passed "
              "on to a backend and ended without an answer: %u", ends, (unsigned)lost);
  if (statuses[200] == 0)
    return rig_end (RIG_NOT_RUN);
  return rig_end (lost > 3 ? RIG_BROKEN : RIG_HELD);
}
