#include "scripted_target.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 64

typedef struct
{
  int fd;
  void (*serve) (int fd);
} job_t;

static void
thread_start (void *(*run) (void *), job_t job)
{
  job_t *copy = malloc (sizeof *copy);
  pthread_t thread;

  if (copy == NULL)
    abort ();
  *copy = job;
  if (pthread_create (&thread, NULL, run, copy) != 0)
    abort ();
  pthread_detach (thread);
}

static void *
connection_run (void *argument)
{
  job_t job = *(job_t *)argument;

  free (argument);
  job.serve (job.fd);
  close (job.fd);
  return NULL;
}

static void *
listener_run (void *argument)
{
  job_t listener = *(job_t *)argument;
  int fd;

  free (argument);
  while ((fd = accept4 (listener.fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    thread_start (connection_run, (job_t){ fd, listener.serve });
  return NULL;
}

bool
sgr_scripted_target_start (uint16_t *port, void (*serve) (int fd))
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (*port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0 || listen (fd, BACKLOG) != 0
      || getsockname (fd, (struct sockaddr *)&address, &size) != 0)
    {
      close (fd);
      return false;
    }
  *port = ntohs (address.sin_port);
  thread_start (listener_run, (job_t){ fd, serve });
  return true;
}

bool
sgr_scripted_target_announce (const sgr_fixture_node_t *node, int slots)
{
  char body[160];
  sgr_probe_request_t request
      = { .port = node->control, .method = "PUT", .path = "/v1/target", .body = body };
  sgr_probe_answer_t answer;
  bool is_taken;

  request.body_length = (size_t)snprintf (
      body, sizeof body, "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"slots\":%d}",
      node->service, node->target, slots);
  sgr_probe_call (&request, &answer);
  is_taken = answer.status == 200;
  sgr_probe_release (&answer);
  return is_taken;
}
