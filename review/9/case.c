/* A backend leaves; the leave is acknowledged and stored. Then the platform's store falls silent, and
   the process of the backend's node is killed and starts again. Two heartbeats that the backend sent
   before it left arrive late. The check: requests that reach the backend later than `drain` after
   the acknowledgement, sent on by the machine that has acknowledged it, or by machines in touch. */
#include "../rig-2/rig.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define ROUTES                                                                                     \
  "{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"r-lookup\"},\"spec\":{\"host\":"           \
  "\"" RIG_HOST "\",\"prefix\":\"/lookup/\",\"routeKind\":\"safe\",\"timeout\":\"1000ms\","         \
  "\"targetLatency\":\"300ms\",\"priority\":2,\"service\":\"tally\",\"maxAttempts\":2}},"           \
  "{\"resourceType\":\"services\",\"metadata\":{\"name\":\"tally\"},\"spec\":{\"healthPath\":"      \
  "\"/healthz\",\"maxConnections\":240,\"protocol\":\"h1\",\"tls\":false}}"
#define NODES 3
#define LEAVING 0
#define SLOTS 16
#define WORK_MS 30
#define STABLE_MS 3000
#define DRAIN_MS 2000
#define STORE_DOWN_MS 4500
#define LATE_AFTER_ACK_MS 3200
#define SECOND_LATE_MS 1300
/* The backend serves for this long after the acknowledgement, and then exits. */
#define SERVES_MS 14000

static volatile long acknowledged_ms, in_touch_ms, own_in_touch_ms;
static volatile long late_arrivals, arrivals, sent;
static volatile bool is_ended, has_exited;

/* Counts the requests that reach the backend that leaves. */
static bool
arrival_count (rig_backend_t *backend, int fd, const rig_request_t *request, bool *keeps_connection)
{
  long due_ms;

  if (has_exited)
    {
      *keeps_connection = false;
      return true;
    }
  __sync_add_and_fetch (&arrivals, 1);
  /* The ids begin with the node that took the request from its client. */
  due_ms = request->id[1] == '0' + LEAVING ? own_in_touch_ms : in_touch_ms;
  if (acknowledged_ms != 0 && rig_ms () > acknowledged_ms + DRAIN_MS && due_ms != 0
      && rig_ms () > due_ms)
    {
      __sync_add_and_fetch (&late_arrivals, 1);
      rig_record ("%s reaches %s %ld ms after the acknowledgement", request->id, backend->instance,
                  rig_ms () - acknowledged_ms);
    }
  return false;
}

static void *
client_run (void *ctx)
{
  int node = (int)(long)ctx;

  for (long i = 0; !is_ended; i++)
    {
      rig_answer_t answer;
      char id[32];

      snprintf (id, sizeof id, "c%d-%ld", node, i);
      rig_request (node, "GET", "/lookup/1", id, 2000, &answer);
      __sync_add_and_fetch (&sent, 1);
      rig_answer_release (&answer);
      rig_sleep_ms (20);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "zone-a", "zone-b", "zone-c" };
  rig_backend_t *leaving;
  char reason[200];
  long numbers[2], begin_ms;
  int status;

  rig_begin (argc > 1 ? argv[1] : "review/9");
  rig_store_start ();
  rig_config_put (7, ROUTES);
  for (int i = 0; i < NODES; i++)
    {
      char instance[32];
      rig_backend_t *backend;

      snprintf (instance, sizeof instance, "i-%d", i);
      rig_node_start (rig_node_add (zones[i], "tally"));
      backend = rig_backend_start (i, "tally", instance, SLOTS, WORK_MS,
                                   i == LEAVING ? arrival_count : NULL);
      if (i == LEAVING)
        leaving = backend;
    }
  if (!rig_nodes_wait_ready (10000))
    return rig_end (RIG_NOT_RUN, "the nodes did not become ready");
  rig_sleep_ms (5000);
  for (long i = 0; i < NODES; i++)
    rig_thread (client_run, (void *)i);
  rig_sleep_ms (2000);

  leaving->is_silent = true;
  rig_sleep_ms (100);
  /* Two heartbeats, one interval apart, that do not arrive yet. */
  numbers[0] = rig_backend_beat_number ();
  rig_sleep_ms (1500);
  numbers[1] = rig_backend_beat_number ();
  status = rig_backend_deregister (leaving);
  acknowledged_ms = rig_ms ();
  rig_record ("deregistration of %s: status %d", leaving->instance, status);
  if (status != 200)
    return rig_end (RIG_NOT_RUN, "the leave was not acknowledged");
  rig_sleep_ms (500);
  begin_ms = rig_ms ();
  if (rig_trouble)
    {
      rig_record ("the store is silent");
      rig_store_silent = true;
      rig_sleep_ms (200);
      rig_node_signal (LEAVING, SIGKILL);
      rig_node_wait (LEAVING, 2000, NULL);
      rig_sleep_ms (500);
      rig_node_start (LEAVING);
    }
  own_in_touch_ms = rig_ms () + STABLE_MS;
  while (rig_ms () < acknowledged_ms + LATE_AFTER_ACK_MS)
    rig_sleep_ms (10);
  rig_backend_beat_late (leaving, numbers[0]);
  rig_sleep_ms (SECOND_LATE_MS);
  rig_backend_beat_late (leaving, numbers[1]);
  while (rig_trouble && rig_ms () < begin_ms + STORE_DOWN_MS)
    rig_sleep_ms (10);
  rig_store_silent = false;
  rig_record ("the store answers");
  /* From then on, all machines are in touch. */
  in_touch_ms = rig_ms () + STABLE_MS;
  while (rig_ms () < acknowledged_ms + SERVES_MS)
    rig_sleep_ms (10);
  has_exited = true;
  is_ended = true;
  rig_sleep_ms (2500);
  snprintf (reason, sizeof reason,
            "%ld requests sent, %ld reached the backend that left, %ld of them later than 2 s after "
            "the acknowledgement, sent on by machines that are bound",
            sent, arrivals, late_arrivals);
  return rig_end (late_arrivals > 0 ? RIG_BROKEN : RIG_HELD, reason);
}
