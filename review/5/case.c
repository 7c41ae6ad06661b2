/* A backend deregisters; its node is killed and started again; a heartbeat that the backend sent
   before it deregistered arrives late. */
#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DRAIN_MS 2000
#define STABLE_MS 3000
#define RESTART_DELAY_MS 500
/* Time from the acknowledgement of the deregister call to the arrival of the late heartbeat. */
#define LATE_MS 4000
/* Time from that acknowledgement to the end of the backend. */
#define SERVES_MS 12000
#define CLIENTS 4

static rig_node_t *entry;

static void
lookup_work (rig_backend_t *backend, const rig_message_t *request, rig_work_t *work)
{
  work->work_ms = 90;
  work->answer_bytes = 1500;
}

/* A client on a machine that nothing happens to. */
static void *
client_run (void *argument)
{
  rig_message_t *answer = malloc (sizeof *answer);
  rig_conn_t conn = { .fd = -1 };
  char id[RIG_ID_MAX];

  while (!rig_is_stopping)
    {
      int result;

      if (conn.fd < 0)
        rig_conn_init (&conn, rig_connect (entry->ip, RIG_OUTBOUND, 1000));
      rig_id (id, RIG_ID_USUAL);
      rig_event (RIG_SENT, id, entry->name, "/lookup/1", 0);
      rig_request_send (&conn, "GET", "/lookup/1", id, 2000, NULL, 0);
      result = rig_message_read (&conn, answer, 2500);
      rig_event (result == 1 ? RIG_ANSWERED : RIG_CUT, id, entry->name, "/lookup/1",
                 answer->status);
      rig_message_release (answer);
      if (result != 1 || rig_is_last (answer))
        rig_conn_close (&conn);
      rig_sleep_ms (20);
    }
  rig_conn_close (&conn);
  free (answer);
  return NULL;
}

int
main (int argc, char **argv)
{
  static const rig_route_t routes[] = { { "/lookup/", "safe", 1000, 300, 2, "tally" } };
  rig_node_t *leaving;
  rig_backend_t *backend;
  char path[128], body[64], late[512];
  double acked_ms, restarted_ms = 0;
  pthread_t threads[CLIENTS];
  int count = 0, sequence;

  rig_begin (argc, argv);
  rig_store_start ();
  leaving = rig_node_add ("tally", "zone-a");
  rig_node_add ("tally", "zone-b");
  entry = rig_node_add ("brands", "zone-c");
  rig_config_put (routes, 1);
  if (!rig_deployment_start (lookup_work))
    return rig_end (2);
  backend = leaving->backend;
  for (int i = 0; i < CLIENTS; i++)
    pthread_create (&threads[i], NULL, client_run, NULL);
  rig_sleep_ms (4000);

  /* The last heartbeat before the backend leaves is under way; it arrives late. */
  backend->beats = false;
  rig_sleep_ms (50);
  sequence = ++backend->sequence;
  rig_beat_text (backend, "ready", sequence, late, sizeof late);
  rig_record ("heartbeat sent id=%s sequence=%d, arrives late", backend->id, sequence);
  snprintf (path, sizeof path, "/siskingrade/instances/%s/deregister", backend->id);
  snprintf (body, sizeof body, "{\"born\":%llu}", (unsigned long long)backend->born);
  if (rig_control_post (leaving, path, body) != 200)
    return rig_end (2);
  acked_ms = rig_now_ms ();
  rig_record ("deregister acknowledged id=%s", backend->id);
  if (rig_trouble)
    {
      rig_sleep_ms (100);
      rig_node_signal (leaving, SIGKILL);
      rig_sleep_ms (RESTART_DELAY_MS);
      rig_node_start (leaving);
      restarted_ms = rig_now_ms ();
    }
  rig_sleep_ms (acked_ms + LATE_MS - rig_now_ms ());
  snprintf (path, sizeof path, "/siskingrade/instances/%s/heartbeat", backend->id);
  rig_record ("late heartbeat arrives status=%d", rig_control_post (leaving, path, late));
  rig_sleep_ms (acked_ms + SERVES_MS - rig_now_ms ());
  rig_backend_stop (backend);
  rig_is_stopping = true;
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);

  /* The killed machine is in touch again from STABLE_MS after its start on. */
  for (size_t i = 0; i < rig_event_count (); i++)
    {
      const rig_event_t *event = rig_event_at (i);

      if (event->kind == RIG_ARRIVED && strcmp (event->backend, backend->id) == 0
          && event->ms > acked_ms + DRAIN_MS
          && (!rig_trouble || event->ms > restarted_ms + STABLE_MS))
        count++;
    }
  rig_record ("requests that reached the backend over %d ms after the acknowledgement, with all "
              "machines in touch: %d",
              DRAIN_MS, count);
  printf ("DRAIN: %d requests reached the backend later than drain\n", count);
  return rig_end (count > 0 ? 1 : 0);
}
