#include "scripted_store.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "result.h"

/* Reads a request with its body into a buffer of @size bytes. Returns its length. */
static size_t
request_read (int fd, char *text, size_t size)
{
  const char *body;
  const char *length_header;
  size_t length = 0;

  for (;;)
    {
      ssize_t received = recv (fd, text + length, size - 1 - length, 0);

      if (received <= 0)
        return length;
      length += (size_t)received;
      text[length] = '\0';
      body = strstr (text, "\r\n\r\n");
      length_header = strstr (text, "Content-Length: ");
      if (body != NULL && length_header != NULL
          && strlen (body + 4) >= strtoul (length_header + strlen ("Content-Length: "), NULL, 10))
        return length;
    }
}

static void
reply_send (int fd, const scripted_exchange_t *exchange)
{
  char text[2048];
  int length = snprintf (text, sizeof text, "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n%s",
                         exchange->status, exchange->headers != NULL ? exchange->headers : "",
                         strlen (exchange->body), exchange->body);

  send (fd, text, (size_t)(exchange->reaction == TRUNCATED_REPLY ? length - 2 : length),
        MSG_NOSIGNAL);
}

/* Thread of the server: accepts one connection for each exchange, until one differs from the
   script. */
static void *
server_run (void *argument)
{
  scripted_store_t *server = argument;

  for (size_t i = 0; i < server->count; i++)
    {
      const scripted_exchange_t *exchange = &server->exchanges[i];
      struct linger reset = { .l_onoff = 1 };
      char ignored[256];
      int fd;

      if (exchange->status == 0 && exchange->reaction == REPLY)
        return NULL;
      fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        return NULL;
      if (exchange->reaction == RESET_UNREAD)
        setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      else
        {
          request_read (fd, server->request, sizeof server->request);
          if (strstr (server->request, exchange->request_part) == NULL)
            server->has_unexpected_request = true;
          server->request_count++;
        }
      if (exchange->reaction == REPLY || exchange->reaction == TRUNCATED_REPLY)
        reply_send (fd, exchange);
      /* Waits until the client closes the connection. */
      while (exchange->reaction == NO_REPLY && recv (fd, ignored, sizeof ignored, 0) > 0)
        ;
      if (exchange->reaction == HOLD)
        server->held[server->held_count++] = fd;
      else
        close (fd);
      if (server->has_unexpected_request)
        return NULL;
    }
  return NULL;
}

int
scripted_store_listen (sgr_address_t *address)
{
  struct sockaddr_in socket_address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof socket_address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  sgr_invariant (bind (fd, (struct sockaddr *)&socket_address, sizeof socket_address) == 0);
  sgr_invariant (listen (fd, 4) == 0);
  sgr_invariant (getsockname (fd, (struct sockaddr *)&socket_address, &length) == 0);
  *address = (sgr_address_t){ INADDR_LOOPBACK, ntohs (socket_address.sin_port) };
  return fd;
}

void
scripted_store_start (scripted_store_t *server, const scripted_exchange_t *exchanges, size_t count,
                      sgr_address_t *address)
{
  *server = (scripted_store_t){ .exchanges = exchanges, .count = count };
  server->listener = scripted_store_listen (address);
  sgr_invariant (pthread_create (&server->thread, NULL, server_run, server) == 0);
}

void
scripted_store_stop (scripted_store_t *server)
{
  shutdown (server->listener, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  close (server->listener);
  for (size_t i = 0; i < server->held_count; i++)
    close (server->held[i]);
}
