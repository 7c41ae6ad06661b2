/* Clients whose request ids have 64 digits call a service of which one backend sends a second
   answer, late, to some of its requests. */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ID_LENGTH 64
#define CLIENTS 24
#define RUN_MS 15000
/* Limits of the disruption: garble, how "extra late". */
#define GARBLE_SHARE 0.03
#define GARBLE_FROM_MS 3000
#define GARBLE_FOR_MS 5000
#define EXTRA_LATEST_MS 20

static rig_backend_t *garbling;
static double start_ms;

static void
lookup_work (rig_backend_t *backend, const rig_message_t *request, rig_work_t *work)
{
  double ms = rig_now_ms () - start_ms;

  work->work_ms = 10 + 20 * rig_random ();
  work->answer_bytes = 1500;
  if (rig_trouble && backend == garbling && ms > GARBLE_FROM_MS
      && ms < GARBLE_FROM_MS + GARBLE_FOR_MS && rig_random () < GARBLE_SHARE)
    work->extra_after_ms = 1 + (EXTRA_LATEST_MS - 1) * rig_random ();
}

/* Whether an answer is the one that the backend gave to the request. */
static bool
is_own_answer (const rig_message_t *answer, const char *id)
{
  char found[RIG_ID_MAX];

  rig_field (answer, "x-request-id", found, sizeof found);
  if (strcmp (found, id) != 0)
    return false;
  for (size_t i = 0; i < answer->body_length; i++)
    if (answer->body[i] != id[i % 16])
      return false;
  return true;
}

static void *
client_run (void *argument)
{
  rig_node_t *node = argument;
  rig_message_t *answer = malloc (sizeof *answer);
  rig_conn_t conn = { .fd = -1 };
  char id[RIG_ID_MAX], found[RIG_ID_MAX];
  long foreign = 0;

  while (rig_now_ms () < start_ms + RUN_MS)
    {
      int result;

      if (conn.fd < 0)
        rig_conn_init (&conn, rig_connect (node->ip, RIG_OUTBOUND, 1000));
      if (conn.fd < 0)
        continue;
      rig_id (id, ID_LENGTH);
      rig_event (RIG_SENT, id, node->name, "/lookup/1", 0);
      rig_request_send (&conn, "GET", "/lookup/1", id, 2000, NULL, 0);
      result = rig_message_read (&conn, answer, 2500);
      rig_event (result == 1 ? RIG_ANSWERED : result == 0 ? RIG_CUT : RIG_SILENT, id, node->name,
                 "/lookup/1", answer->status);
      if (result == 1 && answer->status == 200 && !is_own_answer (answer, id))
        {
          rig_field (answer, "x-request-id", found, sizeof found);
          rig_record ("foreign answer: request id=%s got the answer to id=%s", id, found);
          foreign++;
        }
      rig_message_release (answer);
      if (result != 1 || rig_is_last (answer))
        rig_conn_close (&conn);
      rig_sleep_ms (10 * rig_random ());
    }
  rig_conn_close (&conn);
  free (answer);
  return (void *)foreign;
}

int
main (int argc, char **argv)
{
  static const rig_route_t routes[] = { { "/lookup/", "safe", 1000, 300, 2, "tally" } };
  pthread_t threads[CLIENTS];
  long count = 0;

  rig_begin (argc, argv);
  rig_store_start ();
  rig_node_add ("tally", "zone-a");
  rig_node_add ("tally", "zone-b");
  rig_node_add ("brands", "zone-c");
  rig_config_put (routes, 1);
  if (!rig_deployment_start (lookup_work))
    return rig_end (2);
  garbling = rig_nodes[0].backend;
  start_ms = rig_now_ms ();
  for (int i = 0; i < CLIENTS; i++)
    pthread_create (&threads[i], NULL, client_run, &rig_nodes[i % rig_node_count]);
  for (int i = 0; i < CLIENTS; i++)
    {
      void *foreign;

      pthread_join (threads[i], &foreign);
      count += (long)foreign;
    }
  rig_record ("clients that got an answer to another request: %ld", count);
  printf ("MIXED: %ld requests got a success that belongs to another request\n", count);
  return rig_end (count > 0 ? 1 : 0);
}
