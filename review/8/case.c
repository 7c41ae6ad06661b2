/* A client sends further safe requests on one connection before the earlier ones are answered, at a
   steady pace. While two of five backends are slow, more requests of the connection are open than
   before. The check is the rule on requests that are unanswered at the timeout of their route. */
#include "../rig-2/rig.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define TIMEOUT_MS 400
#define ROUTES                                                                                     \
  "{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"r-lookup\"},\"spec\":{\"host\":"           \
  "\"" RIG_HOST "\",\"prefix\":\"/lookup/\",\"routeKind\":\"safe\",\"timeout\":\"400ms\","          \
  "\"targetLatency\":\"300ms\",\"priority\":2,\"service\":\"tally\",\"maxAttempts\":2}},"           \
  "{\"resourceType\":\"services\",\"metadata\":{\"name\":\"tally\"},\"spec\":{\"healthPath\":"      \
  "\"/healthz\",\"maxConnections\":240,\"protocol\":\"h1\",\"tls\":false}}"
#define BACKENDS 5
#define CLIENTS 3
#define SLOTS 16
#define WORK_MS 90
/* The largest dose of the pages: a share of 0.4, 12 times as long, for 9 s. */
#define SLOW_COUNT 2
#define SLOW_X 12
#define PACE_MS 10
/* A client abandons a request that was not read after one second or a third of the time left. The
   check ends before, 500 ms after the timeout. */
#define DEADLINE_MS 3000
#define ABANDON_MS 1000
#define ANSWER_SLACK_MS 500
#define REQUESTS 900
#define SLOW_AFTER_MS 1000
#define SLOW_FOR_MS 7000

typedef struct
{
  long sent_ms;
  long answered_ms; /* 0: no answer */
  long closed_ms;   /* when the client closed the connection without an answer, 0 if it did not */
} request_t;

typedef struct
{
  int node;
  rig_client_t connection;
  request_t requests[REQUESTS];
  int request_count;
  int first_open; /* oldest request without an answer */
  int most_open;
  bool has_ended;
} client_t;

static client_t clients[CLIENTS];

/* Takes the answers that have arrived, and leaves a connection whose oldest request is too old. */
static void
answers_take (client_t *client)
{
  while (client->first_open < client->request_count)
    {
      request_t *request = &client->requests[client->first_open];
      rig_answer_t answer;

      rig_client_receive (&client->connection, 1, &answer);
      if (answer.is_complete)
        {
          request->answered_ms = rig_ms ();
          rig_record ("answer %s status %d", answer.id, answer.status);
          rig_answer_release (&answer);
          client->first_open++;
          continue;
        }
      if (!answer.is_closed && rig_ms () < request->sent_ms + ABANDON_MS)
        return;
      rig_record ("client %d: %s, %d requests are open: new connection", client->node,
                  answer.is_closed ? "the node closed the connection" : "the oldest is abandoned",
                  client->request_count - client->first_open);
      for (; client->first_open < client->request_count; client->first_open++)
        client->requests[client->first_open].closed_ms = rig_ms ();
      rig_client_close (&client->connection);
      if (!rig_client_open (&client->connection, client->node))
        rig_end (RIG_NOT_RUN, "no connection to the node");
    }
}

static void *
client_run (void *ctx)
{
  client_t *client = ctx;

  if (!rig_client_open (&client->connection, client->node))
    rig_end (RIG_NOT_RUN, "no connection to the node");
  for (int i = 0; i < REQUESTS; i++)
    {
      long next_ms = rig_ms () + PACE_MS;
      char id[32];

      snprintf (id, sizeof id, "c%d-%d", client->node, i);
      client->requests[i].sent_ms = rig_ms ();
      client->request_count = i + 1;
      rig_client_send (&client->connection, "GET", "/lookup/1", id, DEADLINE_MS, NULL, NULL, 0);
      do
        answers_take (client);
      while (rig_ms () < next_ms);
      if (client->request_count - client->first_open > client->most_open)
        client->most_open = client->request_count - client->first_open;
    }
  for (long due_ms = rig_ms () + ABANDON_MS + 200; rig_ms () < due_ms; rig_sleep_ms (1))
    answers_take (client);
  client->has_ended = true;
  return NULL;
}

static void
slowness_set (rig_backend_t **backends, int x)
{
  for (int i = BACKENDS - SLOW_COUNT; i < BACKENDS; i++)
    backends[i]->work_ms = WORK_MS * x;
  rig_record ("backends %d to %d: work takes %d ms", BACKENDS - SLOW_COUNT, BACKENDS - 1,
              WORK_MS * x);
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "zone-a", "zone-b", "zone-c" };
  rig_backend_t *backends[BACKENDS];
  int late = 0, unanswered = 0, most_open = 0;
  char reason[200];

  rig_begin (argc > 1 ? argv[1] : "review/8");
  rig_store_start ();
  rig_config_put (7, ROUTES);
  for (int i = 0; i < BACKENDS; i++)
    {
      char instance[32];

      snprintf (instance, sizeof instance, "i-%d", i);
      rig_node_start (rig_node_add (zones[i % 3], "tally"));
      backends[i] = rig_backend_start (i, "tally", instance, SLOTS, WORK_MS, NULL);
    }
  if (!rig_nodes_wait_ready (10000))
    return rig_end (RIG_NOT_RUN, "the nodes did not become ready");
  rig_sleep_ms (6000);
  for (int i = 0; i < CLIENTS; i++)
    {
      clients[i].node = i;
      rig_thread (client_run, &clients[i]);
    }
  rig_sleep_ms (SLOW_AFTER_MS);
  if (rig_trouble)
    slowness_set (backends, SLOW_X);
  rig_sleep_ms (SLOW_FOR_MS);
  slowness_set (backends, 1);
  for (int i = 0; i < CLIENTS; i++)
    while (!clients[i].has_ended)
      rig_sleep_ms (10);
  for (int i = 0; i < CLIENTS * REQUESTS; i++)
    {
      const request_t *request = &clients[i / REQUESTS].requests[i % REQUESTS];
      long end_ms = request->answered_ms != 0 ? request->answered_ms : request->closed_ms;

      /* A request whose connection the client closed earlier than the check is not judged. */
      if (request->answered_ms == 0 && end_ms < request->sent_ms + TIMEOUT_MS + ANSWER_SLACK_MS)
        continue;
      unanswered += end_ms > request->sent_ms + TIMEOUT_MS;
      late += end_ms >= request->sent_ms + TIMEOUT_MS + ANSWER_SLACK_MS;
    }
  for (int i = 0; i < CLIENTS; i++)
    if (clients[i].most_open > most_open)
      most_open = clients[i].most_open;
  snprintf (reason, sizeof reason,
            "%d sent, at most %d open on a connection, %d unanswered at the timeout, %d of them had no "
            "answer 500 ms later",
            CLIENTS * REQUESTS, most_open, unanswered, late);
  return rig_end (late >= 8 && late * 2 > unanswered ? RIG_BROKEN : RIG_HELD, reason);
}
