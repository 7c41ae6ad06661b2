/* Clients that send several safe requests on a connection leave before the answers, as clients that
   give up do, while others go on. The check is the rule on requests that are unanswered at the
   timeout of their route, for the clients that stay. */
#include "../rig-2/rig.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* One backend of each service in each zone, as the small services of the sheet have it. */
#define SERVICES 3
#define ZONES 3
#define NODES (SERVICES * ZONES)
#define CLIENTS (10 * NODES)
#define SLOTS 16
#define WORK_MS 90
#define PIPELINED 10
#define TIMEOUT_MS 400
#define ANSWER_SLACK_MS 500
/* A client abandons a request that was not read after one second or a third of the time left. The
   check ends before, 500 ms after the timeout. */
#define DEADLINE_MS 3000
#define ABANDON_MS 1000
/* A share of 0.3 of the clients leaves within 150 ms, half of the target latency, in spells of 5 s
   with a pause between them. */
#define LEAVE_PERCENT 30
#define LEAVE_WITHIN_MS 150
#define SPELL_MS 5000
#define PAUSE_MS 1000
#define RUN_MS 75000
/* Once a node has given no answer for this long, the run goes on for a while and ends. */
#define SILENT_MS 6000
#define AFTER_SILENCE_MS 25000

static const char *const services[SERVICES] = { "tally", "ledgers", "brands" };
static volatile bool is_spell, is_ended;
static volatile long sent, answered, left, unanswered, late;
static volatile long answered_ms[NODES];

static void *
client_run (void *ctx)
{
  long number = (long)ctx;
  int node = (int)(number % NODES);
  unsigned random = (unsigned)number * 7919 + 1;
  rig_client_t client = { .fd = -1 };
  char path[32];

  snprintf (path, sizeof path, "/%s/1", services[node / ZONES]);
  for (long i = 0; !is_ended; i++)
    {
      bool leaves = is_spell && number / NODES % 10 < LEAVE_PERCENT / 10;
      long sent_ms;
      int count, open;

      random = random * 1103515245u + 12345u;
      count = 1 + (int)(random >> 16) % PIPELINED;
      if (client.fd < 0 && !rig_client_open (&client, node))
        {
          rig_sleep_ms (100);
          continue;
        }
      sent_ms = rig_ms ();
      for (open = 0; open < count; open++)
        {
          char id[48];

          snprintf (id, sizeof id, "c%ld-%ld-%d", number, i, open);
          if (!rig_client_send (&client, "GET", path, id, DEADLINE_MS, NULL, NULL, 0))
            break;
          __sync_add_and_fetch (&sent, 1);
        }
      if (leaves)
        {
          random = random * 1103515245u + 12345u;
          rig_sleep_ms ((long)((random >> 16) % LEAVE_WITHIN_MS));
          rig_client_close (&client);
          __sync_add_and_fetch (&left, count);
          open = 0;
        }
      for (; open > 0; open--)
        {
          long left_ms = sent_ms + ABANDON_MS - rig_ms ();
          rig_answer_t answer;

          rig_client_receive (&client, left_ms > 0 ? left_ms : 1, &answer);
          if (!answer.is_complete)
            {
              /* A connection that the node closed earlier is not judged here. */
              if (rig_ms () >= sent_ms + TIMEOUT_MS + ANSWER_SLACK_MS)
                {
                  __sync_add_and_fetch (&unanswered, open);
                  __sync_add_and_fetch (&late, open);
                  rig_record ("client %ld: %d requests to node %d have no answer after %ld ms",
                              number, open, node, rig_ms () - sent_ms);
                }
              rig_answer_release (&answer);
              rig_client_close (&client);
              break;
            }
          __sync_add_and_fetch (&answered, 1);
          answered_ms[node] = rig_ms ();
          if (rig_ms () > sent_ms + TIMEOUT_MS)
            __sync_add_and_fetch (&unanswered, 1);
          if (rig_ms () >= sent_ms + TIMEOUT_MS + ANSWER_SLACK_MS)
            __sync_add_and_fetch (&late, 1);
          rig_answer_release (&answer);
          if (answer.says_close)
            {
              rig_client_close (&client);
              break;
            }
        }
      random = random * 1103515245u + 12345u;
      rig_sleep_ms ((long)((random >> 16) % 60));
    }
  return NULL;
}

static void
config_send (void)
{
  char text[4000] = "";

  for (int i = 0; i < SERVICES; i++)
    sprintf (text + strlen (text),
             "{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"r-%s\"},\"spec\":{\"host\":"
             "\"" RIG_HOST "\",\"prefix\":\"/%s/\",\"routeKind\":\"safe\",\"timeout\":\"%dms\","
             "\"targetLatency\":\"300ms\",\"priority\":2,\"service\":\"%s\",\"maxAttempts\":2}},",
             services[i], services[i], TIMEOUT_MS, services[i]);
  for (int i = 0; i < SERVICES; i++)
    sprintf (text + strlen (text),
             "%s{\"resourceType\":\"services\",\"metadata\":{\"name\":\"%s\"},\"spec\":{"
             "\"healthPath\":\"/healthz\",\"maxConnections\":240,\"protocol\":\"h1\",\"tls\":false}}",
             i > 0 ? "," : "", services[i]);
  rig_config_put (7, text);
}

int
main (int argc, char **argv)
{
  static const char *const zones[ZONES] = { "zone-a", "zone-b", "zone-c" };
  int silent_node = -1;
  char reason[240];

  rig_begin (argc > 1 ? argv[1] : "review/6");
  rig_store_start ();
  config_send ();
  for (int i = 0; i < NODES; i++)
    {
      char instance[32];

      snprintf (instance, sizeof instance, "i-%d", i);
      rig_node_start (rig_node_add (zones[i % ZONES], services[i / ZONES]));
      rig_backend_start (i, services[i / ZONES], instance, SLOTS, WORK_MS, NULL);
    }
  if (!rig_nodes_wait_ready (10000))
    return rig_end (RIG_NOT_RUN, "the nodes did not become ready");
  rig_sleep_ms (5000);
  for (int i = 0; i < NODES; i++)
    answered_ms[i] = rig_ms ();
  for (long i = 0; i < CLIENTS; i++)
    rig_thread (client_run, (void *)i);
  for (long begin_ms = rig_ms (); rig_ms () < begin_ms + RUN_MS; rig_sleep_ms (100))
    {
      bool is_in_spell = rig_trouble && (rig_ms () - begin_ms) % (SPELL_MS + PAUSE_MS) < SPELL_MS;

      if (is_in_spell != is_spell)
        rig_record ("clients that leave: %s", is_in_spell ? "yes" : "no");
      is_spell = is_in_spell;
      for (int i = 0; i < NODES; i++)
        {
          bool is_running = rig_node_is_running (i, NULL);

          if (silent_node >= 0 || (is_running && rig_ms () < answered_ms[i] + SILENT_MS))
            continue;
          silent_node = i;
          rig_record ("node %d %s", i, is_running ? "has given no answer for 6 s" : "has ended");
        }
      if (silent_node >= 0)
        break;
    }
  is_spell = false;
  if (silent_node >= 0)
    rig_sleep_ms (AFTER_SILENCE_MS);
  is_ended = true;
  rig_sleep_ms (ABANDON_MS + 200);
  snprintf (reason, sizeof reason,
            "%ld requests sent, %ld answered, %ld given up, %ld unanswered at the timeout, %ld of "
            "them had no answer 500 ms later; %s",
            sent, answered, left, unanswered, late,
            silent_node < 0 ? "all nodes answer" : "a node answers no more");
  return rig_end (late >= 8 && late * 4 > unanswered ? RIG_BROKEN : RIG_HELD, reason);
}
