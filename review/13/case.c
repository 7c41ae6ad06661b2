/* The operator withdraws the routes of a deployment, the last one included. The host of the requests
   begins with the name of the service, as names of hosts often do. */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define CALLERS 8
#define LENGTH_MS 16000
#define CHANGE_AT_MS 4000
#define CONVERGE_MS 2000
#define REQUESTS_MAX 20000

static rig_node_t nodes[2];
static rig_backend_t backends[2];
static uint64_t begin_ms;
static _Atomic uint64_t changed_ms;
static _Atomic unsigned sequence, statuses[600];
static _Atomic uint64_t sent_ms[REQUESTS_MAX];
static _Atomic unsigned run_before, run_after, refused_after;

static bool
is_late (unsigned number)
{
  return changed_ms != 0 && number < REQUESTS_MAX && sent_ms[number] > changed_ms + CONVERGE_MS;
}

static void
on_run (const char *id, const char *path)
{
  unsigned number;

  (void)path;
  if (sscanf (id, "move-%u", &number) != 1)
    return;
  if (!is_late (number))
    run_before++;
  else
    {
      run_after++;
      rig_record ("%s, sent %llu ms after the acknowledgement, is run", id,
                  (unsigned long long)(sent_ms[number] - changed_ms));
    }
}

static void *
caller_run (void *argument)
{
  const rig_node_t *entry = &nodes[(size_t)argument % 2];
  rig_message_t *answer = calloc (1, sizeof *answer);
  rig_stream_t stream = { .fd = -1 };

  while (rig_now_ms () < begin_ms + LENGTH_MS)
    {
      unsigned number = sequence++;
      char text[512];
      int length = snprintf (text, sizeof text,
                             "POST /move/2f HTTP/1.1\r\nHost: transfers1.example\r\nX-Request-Id: "
                             "move-%u\r\nX-Deadline-Ms: 2500\r\nContent-Length: 4\r\n\r\nherd",
                             number);

      if (number >= REQUESTS_MAX)
        break;
      if (stream.fd < 0)
        stream.fd = rig_connect (entry->ip, RIG_PORT_OUTBOUND, 1000);
      sent_ms[number] = rig_now_ms ();
      rig_record ("move-%u is sent through %s", number, entry->name);
      if (stream.fd < 0 || !rig_send (stream.fd, text, (size_t)length)
          || rig_read (&stream, true, rig_now_ms () + 2500, answer) != 1)
        {
          rig_stream_close (&stream);
          statuses[0]++;
          rig_record ("move-%u gets no answer", number);
        }
      else
        {
          statuses[answer->status % 600]++;
          rig_record ("move-%u is answered %d", number, answer->status);
          refused_after += is_late (number) && answer->status == 404;
          if (answer->closes)
            rig_stream_close (&stream);
        }
      rig_message_free (answer);
      rig_sleep_ms (20);
    }
  free (answer);
  return NULL;
}

/* The configuration, with or without the routes of the moves and of the reports. */
static void
config_put (rig_store_t *store, const char *version, bool has_moves, bool has_reports)
{
  static const char route[]
      = "{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"r-%s\"},\"spec\":{"
        "\"host\":\"%s.example\",\"prefix\":\"/%s/\",\"routeKind\":\"unsafe\","
        "\"timeout\":\"1200ms\",\"targetLatency\":\"400ms\",\"priority\":1,"
        "\"service\":\"%s\",\"maxAttempts\":2}},";
  char text[2048], moves[512] = "", reports[512] = "";
  uint64_t rev;

  if (has_moves)
    snprintf (moves, sizeof moves, route, "move", "transfers1", "move", "transfers1");
  if (has_reports)
    snprintf (reports, sizeof reports, route, "report", "ledgers1", "report", "ledgers1");
  snprintf (text, sizeof text,
            "{\"version\":\"%s\",\"resources\":[%s%s"
            "{\"resourceType\":\"services\",\"metadata\":{\"name\":\"ledgers1\"},\"spec\":{"
            "\"healthPath\":\"/healthz\",\"maxConnections\":240,\"protocol\":\"h1\","
            "\"tls\":false}},"
            "{\"resourceType\":\"services\",\"metadata\":{\"name\":\"transfers1\"},\"spec\":{"
            "\"healthPath\":\"/healthz\",\"maxConnections\":240,\"protocol\":\"h1\","
            "\"tls\":false}}," RIG_LIMITS "]}",
            version, moves, reports);
  rev = rig_store_put (store, "op/config", text);
  rig_record ("version %s is acknowledged, revision %llu: the route of the moves is %s, that of the "
              "reports is %s", version, (unsigned long long)rev, has_moves ? "there" : "withdrawn",
              has_reports ? "there" : "withdrawn");
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "zone-a", "zone-b", NULL };
  static const char *const services[] = { "transfers1", "ledgers1" };
  pthread_t callers[CALLERS];
  rig_store_t *store;
  char store_ip[32];

  rig_begin (argc > 1 ? argv[1] : "record.txt");
  rig_machine_ip (0, store_ip);
  store = rig_store_start (store_ip, RIG_PORT_STORE);
  rig_settings (store_ip, RIG_PORT_STORE, zones);
  config_put (store, "00000003", true, true);
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
      backend->slots = 16;
      backend->work_ms = 40;
      backend->on_run = on_run;
      rig_backend_start (backend);
    }
  rig_sleep_ms (8000);
  for (unsigned i = 0; i < 2; i++)
    if (!rig_node_is_ready (&nodes[i]) || backends[i].beats_acked == 0)
      rig_give_up ("%s is not ready", nodes[i].name);

  begin_ms = rig_now_ms ();
  for (size_t i = 0; i < CALLERS; i++)
    pthread_create (&callers[i], NULL, caller_run, (void *)i);
  rig_sleep_ms (CHANGE_AT_MS);
  /* Without the disruption the other route stays. */
  config_put (store, "00000007", false, !rig_trouble ());
  changed_ms = rig_now_ms ();
  for (unsigned i = 0; i < CALLERS; i++)
    pthread_join (callers[i], NULL);
  for (unsigned i = 0; i < 600; i++)
    if (statuses[i] > 0)
      rig_record ("status %u: %u answers", i, (unsigned)statuses[i]);
  for (unsigned i = 0; i < 2; i++)
    rig_node_log_grep (&nodes[i], "event=config-", 4);
  rig_record ("requests on the withdrawn route, sent later than %d ms after the acknowledgement: %u "
              "run, %u answered 404; before: %u run", CONVERGE_MS, (unsigned)run_after,
              (unsigned)refused_after, (unsigned)run_before);
  if (run_before == 0)
    return rig_end (RIG_NOT_RUN);
  return rig_end (run_after > 0 ? RIG_BROKEN : RIG_HELD);
}
