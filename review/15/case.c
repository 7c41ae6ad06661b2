/* A client sends safe requests on one connection without waiting for the answers, while one of five
   backends turns slow for some seconds. */

#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define BACKENDS 5
#define RATE_INTERVAL_MS 10
#define WORK_MS 90
#define SLOW_FACTOR 5
#define SLOW_FROM_MS 3000
#define SLOW_FOR_MS 5000
#define LENGTH_MS 15000
/* Timeout of the route, and how long an answer may take beyond it. */
#define TIMEOUT_MS 400
#define LATE_MS 500
#define DEADLINE_MS 3000
/* A client gives up an attempt that was not read after this time. */
#define PATIENCE_MS 1000
#define REQUESTS_MAX 4000
#define CONNECTIONS_MAX 64

typedef struct
{
  rig_stream_t stream;
  unsigned number;
  bool has_ended; /* closed by the node */
} connection_t;

typedef struct
{
  uint64_t sent_ms;
  uint64_t answered_ms; /* 0 for none */
  int status;
  connection_t *connection;
} request_t;

static request_t requests[REQUESTS_MAX];
static unsigned count;
static connection_t *current, *retired[CONNECTIONS_MAX];
static unsigned connection_count, retired_count;
static uint64_t begin_ms;
static rig_node_t nodes[BACKENDS];
static rig_backend_t backends[BACKENDS];

/* Handles the answers that have arrived. Returns false if the connection has ended. */
static bool
answers_take (rig_stream_t *stream, rig_message_t *answer)
{
  struct pollfd input = { .fd = stream->fd, .events = POLLIN };

  while (stream->length > 0 || poll (&input, 1, 0) == 1)
    {
      char id[64];
      unsigned index;
      int result = rig_read (stream, true, rig_now_ms () + 200, answer);

      if (result != 1)
        return result == -2;
      if (rig_field (answer, "X-Request-Id", id, sizeof id)
          && sscanf (id, "look-%u", &index) == 1 && index < REQUESTS_MAX)
        {
          requests[index].answered_ms = rig_now_ms ();
          requests[index].status = answer->status;
        }
      rig_message_free (answer);
      if (answer->closes)
        return false;
    }
  return true;
}

static connection_t *
connection_open (void)
{
  connection_t *connection = calloc (1, sizeof *connection);

  connection->number = ++connection_count;
  connection->stream.fd = rig_connect (nodes[0].ip, RIG_PORT_OUTBOUND, 1000);
  if (connection->stream.fd < 0 || connection_count > CONNECTIONS_MAX)
    rig_give_up ("the client cannot connect");
  rig_record ("connection %u is opened", connection->number);
  return connection;
}

/* Counts the requests of a connection that have no answer and are not given up yet. */
static unsigned
waiting_count (const connection_t *connection, uint64_t now_ms, bool *is_one_given_up)
{
  unsigned waiting = 0;

  for (unsigned i = 0; i < count; i++)
    if (requests[i].connection == connection && requests[i].answered_ms == 0)
      {
        if (now_ms > requests[i].sent_ms + PATIENCE_MS)
          *is_one_given_up = true;
        else
          waiting++;
      }
  return waiting;
}

/* Takes answers. A connection gets no further requests once one of its requests was given up; it is
   closed when each of its requests was answered or given up. */
static void
connections_update (uint64_t now_ms, rig_message_t *answer)
{
  bool is_one_given_up = false;
  unsigned waiting;

  if (current != NULL)
    {
      current->has_ended = !answers_take (&current->stream, answer);
      waiting = waiting_count (current, now_ms, &is_one_given_up);
      if (is_one_given_up || current->has_ended)
        {
          rig_record ("connection %u: a request has no answer for %d ms, or the node closes; %u "
                      "more wait", current->number, PATIENCE_MS, waiting);
          retired[retired_count++] = current;
          current = NULL;
        }
    }
  for (unsigned i = 0; i < retired_count; i++)
    {
      connection_t *connection = retired[i];

      if (connection->stream.fd < 0)
        continue;
      if (!connection->has_ended)
        connection->has_ended = !answers_take (&connection->stream, answer);
      if (connection->has_ended || waiting_count (connection, now_ms, &is_one_given_up) == 0)
        {
          rig_record ("connection %u is closed by the %s", connection->number,
                      connection->has_ended ? "node" : "client");
          rig_stream_close (&connection->stream);
        }
    }
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "zone-a", "zone-b", "zone-c", NULL };
  rig_message_t *answer = calloc (1, sizeof *answer);
  rig_store_t *store;
  char store_ip[32];
  unsigned late = 0, unanswered = 0, served = 0, given_up = 0;
  uint64_t next_ms;
  bool is_slow = false;

  rig_begin (argc > 1 ? argv[1] : "record.txt");
  rig_machine_ip (0, store_ip);
  store = rig_store_start (store_ip, RIG_PORT_STORE);
  rig_settings (store_ip, RIG_PORT_STORE, zones);
  rig_store_put (store, "op/config",
                 "{\"version\":\"00000001\",\"resources\":["
                 "{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"r-look\"},\"spec\":{"
                 "\"host\":\"look.example\",\"prefix\":\"/look/\",\"routeKind\":\"safe\","
                 "\"timeout\":\"400ms\",\"targetLatency\":\"300ms\",\"priority\":1,"
                 "\"service\":\"tally1\",\"maxAttempts\":2}},"
                 "{\"resourceType\":\"services\",\"metadata\":{\"name\":\"tally1\"},\"spec\":{"
                 "\"healthPath\":\"/healthz\",\"maxConnections\":240,\"protocol\":\"h1\","
                 "\"tls\":false}}]}");
  for (unsigned i = 0; i < BACKENDS; i++)
    {
      rig_node_t *node = &nodes[i];
      rig_backend_t *backend = &backends[i];

      snprintf (node->name, sizeof node->name, "sidecar-%u", i + 1);
      snprintf (node->service, sizeof node->service, "tally1");
      snprintf (node->zone, sizeof node->zone, "%s", zones[i % 3]);
      rig_machine_ip (i + 1, node->ip);
      rig_node_start (node);
      snprintf (backend->id, sizeof backend->id, "i-%u", i + 1);
      snprintf (backend->service, sizeof backend->service, "tally1");
      snprintf (backend->zone, sizeof backend->zone, "%s", node->zone);
      rig_machine_ip (i + 1, backend->ip);
      rig_machine_ip (i + 1, backend->control_ip);
      backend->port = RIG_PORT_APP;
      backend->control_port = RIG_PORT_CONTROL;
      backend->slots = 16;
      backend->work_ms = WORK_MS;
      rig_backend_start (backend);
    }
  /* Traffic starts 8 s after the machines do. */
  rig_sleep_ms (8000);
  for (unsigned i = 0; i < BACKENDS; i++)
    if (!rig_node_is_ready (&nodes[i]) || backends[i].beats_acked == 0)
      rig_give_up ("%s is not ready", nodes[i].name);

  begin_ms = next_ms = rig_now_ms ();
  rig_record ("the client sends %d requests a second on one connection of %s", 1000 / RATE_INTERVAL_MS,
              nodes[0].name);
  while (rig_now_ms () < begin_ms + LENGTH_MS + PATIENCE_MS)
    {
      uint64_t now_ms = rig_now_ms ();
      bool should_slow = rig_trouble () && now_ms >= begin_ms + SLOW_FROM_MS
                         && now_ms < begin_ms + SLOW_FROM_MS + SLOW_FOR_MS;

      if (should_slow != is_slow)
        {
          is_slow = should_slow;
          backends[0].work_ms = is_slow ? WORK_MS * SLOW_FACTOR : WORK_MS;
          rig_record ("%s works %s", backends[0].id, is_slow ? "5 times as long" : "as usual again");
        }
      connections_update (now_ms, answer);
      if (now_ms >= next_ms && now_ms < begin_ms + LENGTH_MS && count < REQUESTS_MAX)
        {
          char text[512];
          int length = snprintf (text, sizeof text,
                                 "GET /look/2f HTTP/1.1\r\nHost: look.example\r\n"
                                 "X-Request-Id: look-%u\r\nX-Deadline-Ms: %d\r\n\r\n",
                                 count, DEADLINE_MS);

          if (current == NULL)
            current = connection_open ();
          if (!rig_send (current->stream.fd, text, (size_t)length))
            rig_give_up ("the client cannot send");
          requests[count].sent_ms = now_ms;
          requests[count++].connection = current;
          next_ms += RATE_INTERVAL_MS;
        }
      rig_sleep_ms (1);
    }
  for (unsigned i = 0; i < count; i++)
    {
      const request_t *request = &requests[i];
      uint64_t end_ms = request->answered_ms != 0 ? request->answered_ms : UINT64_MAX;

      rig_record ("look-%u sent %llu status %d after %lld ms", i,
                  (unsigned long long)(request->sent_ms - begin_ms), request->status,
                  request->answered_ms != 0
                      ? (long long)(request->answered_ms - request->sent_ms)
                      : -1LL);
      served += request->status == 200;
      given_up += request->answered_ms == 0;
      late += end_ms > request->sent_ms + TIMEOUT_MS;
      unanswered += end_ms > request->sent_ms + TIMEOUT_MS + LATE_MS;
    }
  for (unsigned i = 0; i < BACKENDS; i++)
    rig_record ("%s ran %llu requests", backends[i].id, (unsigned long long)backends[i].runs);
  rig_record ("%u requests, %u served, %u given up; without an answer at the route's timeout: %u, "
              "of these without one %d ms later: %u",
              count, served, given_up, late, LATE_MS, unanswered);
  free (answer);
  if (served == 0)
    return rig_end (RIG_NOT_RUN);
  return rig_end (late >= 8 && unanswered > late / 2 ? RIG_BROKEN : RIG_HELD);
}
