#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#define NODES_MAX 512

static FILE *record;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;
static uint64_t begin_ms;
static char folder[64];
static unsigned range_a, range_b;
static rig_node_t *nodes[NODES_MAX];
static size_t node_count;
static pthread_mutex_t node_mutex = PTHREAD_MUTEX_INITIALIZER;

uint64_t
rig_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t
rig_wall_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
rig_sleep_ms (uint64_t ms)
{
  struct timespec time = { .tv_sec = (time_t)(ms / 1000), .tv_nsec = (long)(ms % 1000) * 1000000 };

  while (nanosleep (&time, &time) != 0 && errno == EINTR)
    ;
}

static void
record_line (const char *format, va_list args)
{
  pthread_mutex_lock (&record_mutex);
  if (record != NULL)
    {
      fprintf (record, "%8.3f ", (double)(rig_now_ms () - begin_ms) / 1000);
      vfprintf (record, format, args);
      fputc ('\n', record);
      fflush (record);
    }
  pthread_mutex_unlock (&record_mutex);
}

void
rig_record (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  record_line (format, args);
  va_end (args);
}

void
rig_give_up (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  record_line (format, args);
  va_end (args);
  exit (rig_end (RIG_NOT_RUN));
}

bool
rig_trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return text == NULL || strcmp (text, "0") != 0;
}

const char *
rig_machine_ip (unsigned index, char *ip)
{
  snprintf (ip, 32, "127.%u.%u.%u", range_a, range_b + index / 200, 10 + index % 200);
  return ip;
}

static void
on_time_up (int signal_number)
{
  (void)signal_number;
  /* The limit of a run is 120 s. */
  rig_record ("time is up");
  _exit (rig_end (RIG_NOT_RUN));
}

void
rig_begin (const char *record_path)
{
  char ip[32];
  int fd;

  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_time_up);
  alarm (115);
  begin_ms = rig_now_ms ();
  record = fopen (record_path, "w");
  if (record == NULL)
    {
      fprintf (stderr, "%s: %s\n", record_path, strerror (errno));
      exit (RIG_NOT_RUN);
    }
  strcpy (folder, "/tmp/review-3-XXXXXX");
  if (mkdtemp (folder) == NULL)
    rig_give_up ("no temporary folder: %s", strerror (errno));
  /* Takes the first range of addresses whose ports are free. */
  for (unsigned i = 0; i < 100; i++)
    {
      range_a = 20 + ((unsigned)getpid () + i) % 200;
      range_b = ((unsigned)getpid () / 200 * 4) % 240;
      fd = rig_listen (rig_machine_ip (0, ip), RIG_PORT_STORE);
      if (fd >= 0)
        {
          close (fd);
          rig_record ("machines have the addresses from %s on; disruption: %s", ip,
                      rig_trouble () ? "yes" : "no");
          return;
        }
    }
  rig_give_up ("no free range of addresses");
}

int
rig_end (int status)
{
  char command[RIG_TEXT];

  for (size_t i = 0; i < node_count; i++)
    if (nodes[i]->pid > 0)
      {
        kill (nodes[i]->pid, SIGCONT);
        kill (nodes[i]->pid, SIGKILL);
        waitpid (nodes[i]->pid, NULL, 0);
        nodes[i]->pid = 0;
      }
  rig_record ("result: %s", status == RIG_HELD     ? "0, the rule held"
                            : status == RIG_BROKEN ? "1, the rule was broken"
                                                   : "2, the case could not run");
  if (folder[0] != '\0' && getenv ("RIG_KEEP") == NULL)
    {
      snprintf (command, sizeof command, "rm -rf %s", folder);
      if (system (command) != 0)
        rig_record ("the temporary folder stays");
    }
  return status;
}

/* HTTP */

static struct sockaddr_in
address_of (const char *ip, unsigned port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

int
rig_listen (const char *ip, unsigned port)
{
  struct sockaddr_in address = address_of (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0 && listen (fd, 512) == 0)
    return fd;
  close (fd);
  return -1;
}

int
rig_connect (const char *ip, unsigned port, unsigned timeout_ms)
{
  struct sockaddr_in address = address_of (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0), on = 1, error = 0;
  struct pollfd wait = { .fd = fd, .events = POLLOUT };
  socklen_t size = sizeof error;

  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0 && errno != EINPROGRESS)
    error = errno;
  else if (poll (&wait, 1, (int)timeout_ms) != 1)
    error = ETIMEDOUT;
  else
    getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    {
      close (fd);
      return -1;
    }
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

bool
rig_send (int fd, const void *bytes, size_t length)
{
  size_t sent = 0;

  while (sent < length)
    {
      ssize_t count = send (fd, (const char *)bytes + sent, length - sent, MSG_NOSIGNAL);

      if (count <= 0)
        return false;
      sent += (size_t)count;
    }
  return true;
}

/* Reads more bytes. Returns 1, 0 at the end of the connection, -1 on an error, -2 at the deadline. */
static int
stream_fill (rig_stream_t *stream, uint64_t deadline_ms)
{
  struct pollfd wait = { .fd = stream->fd, .events = POLLIN };
  char bytes[16384];
  ssize_t count;
  int timeout = -1, ready;

  if (deadline_ms != 0)
    {
      uint64_t now = rig_now_ms ();

      timeout = now < deadline_ms ? (int)(deadline_ms - now) : 0;
    }
  do
    ready = poll (&wait, 1, timeout);
  while (ready < 0 && errno == EINTR);
  if (ready <= 0)
    return -2;
  count = recv (stream->fd, bytes, sizeof bytes, 0);
  if (count <= 0)
    return count == 0 ? 0 : -1;
  stream->bytes = realloc (stream->bytes, stream->length + (size_t)count + 1);
  memcpy (stream->bytes + stream->length, bytes, (size_t)count);
  stream->length += (size_t)count;
  stream->bytes[stream->length] = '\0';
  return 1;
}

static void
stream_take (rig_stream_t *stream, size_t length)
{
  memmove (stream->bytes, stream->bytes + length, stream->length - length + 1);
  stream->length -= length;
}

bool
rig_field (const rig_message_t *message, const char *name, char *value, size_t size)
{
  const char *line = strstr (message->head, "\r\n");
  size_t length = strlen (name);

  while (line != NULL && line[2] != '\0')
    {
      line += 2;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *at = line + length + 1;
          size_t end;

          at += strspn (at, " \t");
          end = strcspn (at, "\r");
          if (end >= size)
            end = size - 1;
          memcpy (value, at, end);
          value[end] = '\0';
          return true;
        }
      line = strstr (line, "\r\n");
    }
  return false;
}

/* Reads a chunked body. */
static int
chunks_read (rig_stream_t *stream, uint64_t deadline_ms, rig_message_t *message)
{
  for (;;)
    {
      char *end;
      size_t size;
      int result;

      while (stream->length == 0 || strstr (stream->bytes, "\r\n") == NULL)
        if ((result = stream_fill (stream, deadline_ms)) != 1)
          return result == -2 ? -2 : -1;
      size = strtoul (stream->bytes, &end, 16);
      if (end == stream->bytes)
        return -1;
      stream_take (stream, (size_t)(strstr (stream->bytes, "\r\n") + 2 - stream->bytes));
      while (stream->length < size + 2)
        if ((result = stream_fill (stream, deadline_ms)) != 1)
          return result == -2 ? -2 : -1;
      message->body = realloc (message->body, message->length + size + 1);
      memcpy (message->body + message->length, stream->bytes, size);
      message->length += size;
      message->body[message->length] = '\0';
      stream_take (stream, size + 2);
      if (size == 0)
        return 1;
    }
}

int
rig_read (rig_stream_t *stream, bool is_answer, uint64_t deadline_ms, rig_message_t *message)
{
  char value[128];
  char *end;
  int result;

  message->body = NULL;
  message->length = 0;
  message->status = 0;
  message->closes = false;
  while (stream->length == 0 || (end = strstr (stream->bytes, "\r\n\r\n")) == NULL)
    if ((result = stream_fill (stream, deadline_ms)) != 1)
      return result == -2 ? -2 : result == 0 && stream->length == 0 ? 0 : -1;
  if ((size_t)(end + 2 - stream->bytes) >= sizeof message->head)
    return -1;
  memcpy (message->head, stream->bytes, (size_t)(end + 2 - stream->bytes));
  message->head[end + 2 - stream->bytes] = '\0';
  stream_take (stream, (size_t)(end + 4 - stream->bytes));
  if (is_answer)
    {
      if (sscanf (message->head, "HTTP/1.1 %d", &message->status) != 1)
        return -1;
    }
  else if (sscanf (message->head, "%15s %2047s", message->method, message->path) != 2)
    return -1;
  message->closes = rig_field (message, "Connection", value, sizeof value)
                    && strcasestr (value, "close") != NULL;
  if (rig_field (message, "Transfer-Encoding", value, sizeof value))
    return chunks_read (stream, deadline_ms, message);
  if (rig_field (message, "Content-Length", value, sizeof value))
    {
      size_t length = strtoul (value, NULL, 10);

      while (stream->length < length)
        if ((result = stream_fill (stream, deadline_ms)) != 1)
          return result == -2 ? -2 : -1;
      message->body = malloc (length + 1);
      memcpy (message->body, stream->bytes, length);
      message->body[length] = '\0';
      message->length = length;
      if (length > 0)
        stream_take (stream, length);
    }
  return 1;
}

void
rig_message_free (rig_message_t *message)
{
  free (message->body);
  message->body = NULL;
}

void
rig_stream_close (rig_stream_t *stream)
{
  if (stream->fd >= 0)
    close (stream->fd);
  stream->fd = -1;
  free (stream->bytes);
  stream->bytes = NULL;
  stream->length = 0;
}

int
rig_call (const char *ip, unsigned port, const char *method, const char *path, const char *fields,
          const char *body, unsigned timeout_ms, rig_message_t *answer)
{
  uint64_t deadline_ms = rig_now_ms () + timeout_ms;
  rig_stream_t stream = { .fd = rig_connect (ip, port, timeout_ms < 1000 ? timeout_ms : 1000) };
  size_t length = body != NULL ? strlen (body) : 0;
  char *text = malloc (length + 4096);
  int size, result;

  answer->body = NULL;
  answer->head[0] = '\0';
  if (stream.fd < 0)
    {
      free (text);
      return -1;
    }
  size = snprintf (text, 4096,
                   "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\nConnection: close\r\n\r\n", method,
                   path, fields, length);
  if (length > 0)
    memcpy (text + size, body, length);
  result = rig_send (stream.fd, text, (size_t)size + length)
               ? rig_read (&stream, true, deadline_ms, answer)
               : 0;
  free (text);
  rig_stream_close (&stream);
  return result == 1 ? answer->status : 0;
}

/* Serves connections, each in a thread. */

typedef struct
{
  int listener;
  void (*serve) (void *ctx, rig_stream_t *stream);
  void *ctx;
} server_t;

typedef struct
{
  server_t *server;
  rig_stream_t stream;
} served_t;

static void
thread_start (void *(*run) (void *), void *argument)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 512 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, argument) != 0)
    rig_give_up ("no thread");
  pthread_attr_destroy (&attributes);
}

static void *
served_run (void *argument)
{
  served_t *served = argument;

  served->server->serve (served->server->ctx, &served->stream);
  rig_stream_close (&served->stream);
  free (served);
  return NULL;
}

static void *
server_run (void *argument)
{
  server_t *server = argument;
  int on = 1;

  for (;;)
    {
      int fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC);
      served_t *served;

      if (fd < 0)
        {
          rig_sleep_ms (1);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      served = calloc (1, sizeof *served);
      served->server = server;
      served->stream.fd = fd;
      thread_start (served_run, served);
    }
  return NULL;
}

static void
server_start (const char *ip, unsigned port, void (*serve) (void *ctx, rig_stream_t *stream),
              void *ctx)
{
  server_t *server = calloc (1, sizeof *server);

  server->listener = rig_listen (ip, port);
  if (server->listener < 0)
    rig_give_up ("cannot listen on %s:%u: %s", ip, port, strerror (errno));
  server->serve = serve;
  server->ctx = ctx;
  thread_start (server_run, server);
}

static bool
answer_send (rig_stream_t *stream, int status, const char *fields, const char *body, size_t length)
{
  char head[1024];
  int size = snprintf (head, sizeof head, "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n", status,
                       fields, length);
  char *text = malloc ((size_t)size + length);
  bool ok;

  memcpy (text, head, (size_t)size);
  memcpy (text + size, body, length);
  ok = rig_send (stream->fd, text, (size_t)size + length);
  free (text);
  return ok;
}

/* The store: items with revisions, watches and transactions, as PROTOCOL.md tells them. */

typedef struct
{
  char *value; /* base64, NULL for a deletion */
  uint64_t rev;
  uint64_t created;
  uint64_t at_ms;
} version_t;

typedef struct
{
  char *key;
  version_t *versions; /* the last one is in force */
  size_t version_count;
} item_t;

struct rig_store_t
{
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  item_t *items; /* sorted by key */
  size_t count;
  uint64_t rev;
  uint64_t stale_ms;
};

static const version_t *
item_version (const item_t *item)
{
  return &item->versions[item->version_count - 1];
}

/* The version that was in force at a time; NULL if there was none, or a deletion. */
static const version_t *
item_version_at (const item_t *item, uint64_t at_ms)
{
  size_t i = item->version_count;

  while (i > 0 && item->versions[i - 1].at_ms > at_ms)
    i--;
  return i > 0 && item->versions[i - 1].value != NULL ? &item->versions[i - 1] : NULL;
}

static char *
base64_encode (const char *text)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t length = strlen (text), at = 0;
  char *result = malloc (length / 3 * 4 + 8);

  for (size_t i = 0; i < length; i += 3)
    {
      unsigned left = length - i < 3 ? (unsigned)(length - i) : 3;
      unsigned word = (unsigned)(unsigned char)text[i] << 16
                      | (left > 1 ? (unsigned)(unsigned char)text[i + 1] << 8 : 0)
                      | (left > 2 ? (unsigned)(unsigned char)text[i + 2] : 0);

      result[at++] = digits[word >> 18];
      result[at++] = digits[word >> 12 & 63];
      result[at++] = left > 1 ? digits[word >> 6 & 63] : '=';
      result[at++] = left > 2 ? digits[word & 63] : '=';
    }
  result[at] = '\0';
  return result;
}

static item_t *
item_find (rig_store_t *store, const char *key)
{
  for (size_t i = 0; i < store->count; i++)
    if (strcmp (store->items[i].key, key) == 0)
      return &store->items[i];
  return NULL;
}

/* Writes an item, or deletes it if @value is NULL. The mutex is held. */
static void
item_write (rig_store_t *store, const char *key, const char *value)
{
  item_t *item = item_find (store, key);
  version_t *version;
  size_t i = store->count;

  if (item == NULL)
    {
      store->items = realloc (store->items, (store->count + 1) * sizeof *store->items);
      for (; i > 0 && strcmp (store->items[i - 1].key, key) > 0; i--)
        store->items[i] = store->items[i - 1];
      store->count++;
      item = &store->items[i];
      *item = (item_t){ .key = strdup (key) };
    }
  item->versions = realloc (item->versions, (item->version_count + 1) * sizeof *item->versions);
  version = &item->versions[item->version_count++];
  *version = (version_t){ .value = value != NULL ? strdup (value) : NULL,
                          .rev = store->rev,
                          .created = store->rev,
                          .at_ms = rig_now_ms () };
  if (item->version_count > 1 && version[-1].value != NULL)
    version->created = version[-1].created;
}

uint64_t
rig_store_put (rig_store_t *store, const char *key, const char *value)
{
  char *encoded = base64_encode (value);
  uint64_t rev;

  pthread_mutex_lock (&store->mutex);
  rev = ++store->rev;
  item_write (store, key, encoded);
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->mutex);
  free (encoded);
  return rev;
}

size_t
rig_store_count (rig_store_t *store, const char *prefix)
{
  size_t count = 0;

  pthread_mutex_lock (&store->mutex);
  for (size_t i = 0; i < store->count; i++)
    count += item_version (&store->items[i])->value != NULL
             && strncmp (store->items[i].key, prefix, strlen (prefix)) == 0;
  pthread_mutex_unlock (&store->mutex);
  return count;
}

static json_t *
item_json (const item_t *item, const version_t *version)
{
  if (version->value == NULL)
    return json_pack ("{s:s, s:I, s:b}", "key", item->key, "rev", (json_int_t)version->rev,
                      "tombstone", 1);
  return json_pack ("{s:s, s:s, s:I, s:I, s:i}", "key", item->key, "value", version->value, "rev",
                    (json_int_t)version->rev, "created", (json_int_t)version->created, "lease", 0);
}

/* Copies a parameter of the query. */
static void
query_get (const char *path, const char *name, char *value, size_t size)
{
  const char *at = strchr (path, '?');
  size_t length = strlen (name);

  value[0] = '\0';
  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          size_t end = strcspn (at + length + 1, "&");

          snprintf (value, size, "%.*s", (int)end, at + length + 1);
          return;
        }
      at = strchr (at, '&');
    }
}

/* Pages hold at most this many items. */
#define PAGE_ITEMS 500

static json_t *
range_get (rig_store_t *store, const char *path)
{
  char prefix[RIG_TEXT], after[RIG_TEXT], stale[8];
  json_t *items = json_array ();
  uint64_t at_ms = rig_now_ms (), rev = 0;
  bool has_more = false;

  query_get (path, "prefix", prefix, sizeof prefix);
  query_get (path, "after", after, sizeof after);
  query_get (path, "staleRead", stale, sizeof stale);
  if (strcmp (stale, "1") == 0)
    at_ms -= store->stale_ms;
  for (size_t i = 0; i < store->count && !has_more; i++)
    {
      const item_t *item = &store->items[i];
      const version_t *version = item_version_at (item, at_ms);

      if (version != NULL && version->rev > rev)
        rev = version->rev;
      if (version == NULL || strncmp (item->key, prefix, strlen (prefix)) != 0
          || (after[0] != '\0' && strcmp (item->key, after) <= 0))
        continue;
      if (json_array_size (items) == PAGE_ITEMS)
        has_more = true;
      else
        json_array_append_new (items, item_json (item, version));
    }
  return json_pack ("{s:o, s:b, s:I}", "items", items, "hasMore", (int)has_more, "currentRev",
                    (json_int_t)(strcmp (stale, "1") == 0 && rev > 0 ? rev : store->rev));
}

/* Waits for a change of a key with the prefix after a revision. Only the last change of a key is
   told, which a sound store may do: the item as it is now. */
static json_t *
watch_get (rig_store_t *store, const char *path)
{
  char prefix[RIG_TEXT], after_text[32], wait_text[32];
  json_t *events = json_array ();
  struct timespec due;
  uint64_t after;
  unsigned wait_ms;

  query_get (path, "prefix", prefix, sizeof prefix);
  query_get (path, "after", after_text, sizeof after_text);
  query_get (path, "waitMs", wait_text, sizeof wait_text);
  after = strtoull (after_text, NULL, 10);
  wait_ms = (unsigned)strtoul (wait_text, NULL, 10);
  clock_gettime (CLOCK_REALTIME, &due);
  due.tv_sec += wait_ms / 1000;
  due.tv_nsec += wait_ms % 1000 * 1000000L;
  if (due.tv_nsec >= 1000000000L)
    {
      due.tv_sec++;
      due.tv_nsec -= 1000000000L;
    }
  for (;;)
    {
      for (size_t i = 0; i < store->count; i++)
        if (item_version (&store->items[i])->rev > after
            && strncmp (store->items[i].key, prefix, strlen (prefix)) == 0)
          json_array_append_new (events,
                                 item_json (&store->items[i], item_version (&store->items[i])));
      if (json_array_size (events) > 0
          || pthread_cond_timedwait (&store->changed, &store->mutex, &due) == ETIMEDOUT)
        break;
    }
  return json_pack ("{s:o, s:I}", "events", events, "currentRev", (json_int_t)store->rev);
}

static int
txn_post (rig_store_t *store, const char *body, json_t **reply)
{
  json_t *json = json_loads (body != NULL ? body : "", 0, NULL);
  json_t *row, *conflicts = json_array ();
  bool holds = true;
  size_t i;

  if (json == NULL)
    {
      json_decref (conflicts);
      *reply = json_object ();
      return 400;
    }
  json_array_foreach (json_object_get (json, "precondition"), i, row)
  {
    const char *key = json_string_value (json_object_get (row, "key"));
    item_t *item = key != NULL ? item_find (store, key) : NULL;
    uint64_t rev
        = item != NULL && item_version (item)->value != NULL ? item_version (item)->rev : 0;

    holds = holds && rev == (uint64_t)json_integer_value (json_object_get (row, "rev"));
    if (rev != 0)
      json_array_append_new (conflicts, item_json (item, item_version (item)));
  }
  if (holds)
    {
      store->rev++;
      json_array_foreach (json_object_get (json, "puts"), i, row)
        item_write (store, json_string_value (json_object_get (row, "key")),
                    json_string_value (json_object_get (row, "value")));
      json_array_foreach (json_object_get (json, "deletes"), i, row)
        item_write (store, json_string_value (row), NULL);
      pthread_cond_broadcast (&store->changed);
    }
  *reply = holds ? json_pack ("{s:I}", "rev", (json_int_t)store->rev)
                 : json_pack ("{s:O}", "items", conflicts);
  json_decref (conflicts);
  json_decref (json);
  return holds ? 200 : 412;
}

static int
store_handle (rig_store_t *store, const rig_message_t *request, json_t **reply)
{
  static uint64_t lease;
  char key[RIG_TEXT];

  if (strncmp (request->path, "/siskingrade/kv-range", 21) == 0)
    *reply = range_get (store, request->path);
  else if (strncmp (request->path, "/siskingrade/kv-watch", 21) == 0)
    *reply = watch_get (store, request->path);
  else if (strncmp (request->path, "/siskingrade/kv-txn", 19) == 0)
    return txn_post (store, request->body, reply);
  else if (strncmp (request->path, "/siskingrade/kv-lease", 21) == 0)
    *reply = json_pack ("{s:I, s:s}", "lease", (json_int_t)++lease, "ttl_time", "3000ms");
  else if (strncmp (request->path, "/siskingrade/kv-keep", 20) == 0)
    *reply = json_pack ("{s:s}", "ttl_time", "3000ms");
  else if (strncmp (request->path, "/siskingrade/kv-key", 19) == 0)
    {
      const item_t *item;
      bool is_there;

      query_get (request->path, "key", key, sizeof key);
      item = item_find (store, key);
      is_there = item != NULL && item_version (item)->value != NULL;
      *reply = is_there ? item_json (item, item_version (item)) : json_object ();
      json_object_set_new (*reply, "currentRev", json_integer ((json_int_t)store->rev));
      return is_there ? 200 : 404;
    }
  else
    {
      *reply = json_object ();
      return 404;
    }
  return 200;
}

static void
store_serve (void *ctx, rig_stream_t *stream)
{
  rig_store_t *store = ctx;
  rig_message_t *request = calloc (1, sizeof *request);

  while (rig_read (stream, false, 0, request) == 1)
    {
      json_t *reply = NULL;
      char *text;
      int status;
      bool ok;

      /* An answer takes 4 ms. */
      rig_sleep_ms (4);
      pthread_mutex_lock (&store->mutex);
      status = store_handle (store, request, &reply);
      pthread_mutex_unlock (&store->mutex);
      text = json_dumps (reply, JSON_COMPACT);
      json_decref (reply);
      ok = answer_send (stream, status, "Content-Type: application/json\r\n", text, strlen (text));
      free (text);
      rig_message_free (request);
      if (!ok || request->closes)
        break;
    }
  free (request);
}

void
rig_store_stale_set (rig_store_t *store, uint64_t stale_ms)
{
  store->stale_ms = stale_ms;
}

rig_store_t *
rig_store_start (const char *ip, unsigned port)
{
  rig_store_t *store = calloc (1, sizeof *store);

  pthread_mutex_init (&store->mutex, NULL);
  pthread_cond_init (&store->changed, NULL);
  store->rev = 100;
  server_start (ip, port, store_serve, store);
  return store;
}

/* Backends */

static void
backend_serve (void *ctx, rig_stream_t *stream)
{
  rig_backend_t *backend = ctx;
  rig_message_t *request = calloc (1, sizeof *request);

  while (rig_read (stream, false, rig_now_ms () + 10000, request) == 1)
    {
      char id[128] = "", expected[128], fields[512];
      bool ok;

      if (strcmp (request->path, "/healthz") == 0)
        {
          snprintf (fields, sizeof fields, "X-Instance-Id: %s\r\nX-Server-Load: %u,0,%u,100\r\n",
                    backend->id, (unsigned)backend->running, backend->slots);
          ok = answer_send (stream, 200, fields, "", 0);
        }
      else if (!rig_field (request, "X-Request-Id", id, sizeof id))
        ok = answer_send (stream, 400, "X-Not-Executed: 1\r\n", "", 0);
      else if (rig_field (request, "X-Expected-Instance", expected, sizeof expected)
               && strcmp (expected, backend->id) != 0)
        {
          backend->misdirected++;
          snprintf (fields, sizeof fields, "X-Request-Id: %s\r\nX-Instance-Id: %s\r\n", id,
                    backend->id);
          ok = answer_send (stream, 421, fields, "", 0);
        }
      else if (++backend->running > backend->slots)
        {
          backend->running--;
          snprintf (fields, sizeof fields, "X-Request-Id: %s\r\nX-Not-Executed: 1\r\n", id);
          ok = answer_send (stream, 503, fields, "", 0);
        }
      else
        {
          backend->runs++;
          rig_record ("%s is run by %s", id, backend->id);
          if (backend->on_run != NULL)
            backend->on_run (id, request->path);
          rig_sleep_ms (backend->work_ms);
          snprintf (fields, sizeof fields,
                    "X-Request-Id: %s\r\nX-Server-Signature: %s.%s\r\nX-Server-Load: %u,0,%u,100\r\n",
                    id, backend->id, id, (unsigned)--backend->running, backend->slots);
          ok = answer_send (stream, 200, fields, "done\n", 5);
        }
      rig_message_free (request);
      if (!ok || request->closes)
        break;
    }
  free (request);
}

static void *
beats_run (void *argument)
{
  rig_backend_t *backend = argument;
  rig_message_t *answer = calloc (1, sizeof *answer);
  uint64_t sequence = 0;
  char ip[32];
  unsigned port = backend->control_port;

  snprintf (ip, sizeof ip, "%s", backend->control_ip);
  for (;;)
    {
      char path[RIG_TEXT], body[1024], address[32];
      int status;

      if (backend->is_silent)
        {
          rig_sleep_ms (50);
          continue;
        }
      snprintf (path, sizeof path, "/siskingrade/instances/%s/heartbeat", backend->id);
      snprintf (body, sizeof body,
                "{\"address\":\"%s:%u\",\"born\":%llu,\"info\":{\"service\":\"%s\",\"version\":"
                "\"v1\",\"zone\":\"%s\",\"slots\":%u},\"status\":{\"state\":\"ready\",\"sequence\":"
                "%llu,\"cold\":\"0ms\"}}",
                backend->ip, backend->port, (unsigned long long)backend->born, backend->service,
                backend->zone, backend->slots, (unsigned long long)++sequence);
      status = rig_call (ip, port, "POST", path,
                         "Host: node\r\nContent-Type: application/json\r\n", body, 1000, answer);
      if (status >= 200 && status < 300)
        {
          json_t *json = json_loads (answer->body != NULL ? answer->body : "", 0, NULL);
          const char *next = json_string_value (json_object_get (json, "heartbeatAddr"));

          backend->beats_acked++;
          if (next != NULL && sscanf (next, "%31[0-9.]:%u", address, &port) == 2)
            snprintf (ip, sizeof ip, "%s", address);
          json_decref (json);
          rig_message_free (answer);
          rig_sleep_ms (1500);
          continue;
        }
      rig_message_free (answer);
      backend->beats_failed++;
      /* An address that was named for the beats is valid until one fails there. */
      snprintf (ip, sizeof ip, "%s", backend->control_ip);
      port = backend->control_port;
      rig_sleep_ms (200);
    }
  return NULL;
}

void
rig_backend_start (rig_backend_t *backend)
{
  backend->born = rig_wall_ms ();
  server_start (backend->ip, backend->port, backend_serve, backend);
  if (backend->control_ip[0] != '\0')
    thread_start (beats_run, backend);
}

/* Nodes */

static char settings_store[64];
static char settings_regions[RIG_TEXT];

void
rig_settings (const char *store_ip, unsigned store_port, const char *const *zones)
{
  size_t length = 0;

  snprintf (settings_store, sizeof settings_store, "%s:%u", store_ip, store_port);
  for (size_t i = 0; zones[i] != NULL; i++)
    length += (size_t)snprintf (settings_regions + length, sizeof settings_regions - length,
                                "%sregion", i > 0 ? "," : "");
}

/* Replaces all occurrences of a text. */
static char *
text_replace (char *text, const char *from, const char *to)
{
  char *at;

  while ((at = strstr (text, from)) != NULL)
    {
      char *next = malloc (strlen (text) + strlen (to) + 1);

      sprintf (next, "%.*s%s%s", (int)(at - text), text, to, at + strlen (from));
      free (text);
      text = next;
    }
  return text;
}

/* Removes a section {{#NAME}} .. {{/NAME}} of a field that has no value, or replaces it. */
static char *
section_replace (char *text, const char *name, const char *to)
{
  char begin[64], end[64];
  char *first, *last, *next;

  snprintf (begin, sizeof begin, "{{#%s}}", name);
  snprintf (end, sizeof end, "{{/%s}}", name);
  first = strstr (text, begin);
  last = first != NULL ? strstr (first, end) : NULL;
  if (last == NULL)
    return text;
  next = malloc (strlen (text) + strlen (to) + 1);
  sprintf (next, "%.*s%s%s", (int)(first - text), text, to, last + strlen (end));
  free (text);
  return next;
}

static char *
file_read (const char *path)
{
  FILE *file = fopen (path, "r");
  char *text = calloc (1, 65536);

  if (file == NULL)
    rig_give_up ("%s: %s", path, strerror (errno));
  text[fread (text, 1, 65535, file)] = '\0';
  fclose (file);
  return text;
}

/* Fills in the template of the deploy file as the platform does. */
static void
settings_write (const rig_node_t *node)
{
  const struct
  {
    const char *from;
    const char *to;
  } values[] = {
    { "{{node}}", node->name },
    { "{{service}}", node->service },
    { "{{region}}", "region" },
    { "{{zone}}", node->zone },
    { "{{ip}}", node->ip },
    { "{{platform.address}}", settings_store },
    { "{{internalPorts.0}}", "7620" },
    { "{{internalPorts.1}}", "7635" },
    { "{{limits.memoryMb}}", "260" },
    { "{{limits.linkMbps}}", "1000.0" },
    { "{{bounds.grace}}", "6s" },
  };
  char *text = file_read ("deploy/node.yaml.in");
  char address[64];
  FILE *file;

  text = section_replace (text, "zones", settings_regions);
  text = section_replace (text, "bounds.evacuate", "");
  text = section_replace (text, "bounds.quotaWindow", "");
  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    text = text_replace (text, values[i].from, values[i].to);
  snprintf (address, sizeof address, "%s:%d", node->ip, RIG_PORT_OUTBOUND);
  text = text_replace (text, "{{listen.outbound}}", address);
  snprintf (address, sizeof address, "%s:%d", node->ip, RIG_PORT_READY);
  text = text_replace (text, "{{listen.ready}}", address);
  snprintf (address, sizeof address, "%s:%d", node->ip, RIG_PORT_CONTROL);
  text = text_replace (text, "{{listen.control}}", address);
  if (strstr (text, "{{") != NULL)
    rig_give_up ("the settings template has a field that the rig does not know: %.40s",
                 strstr (text, "{{"));
  file = fopen (node->settings_path, "w");
  if (file == NULL || fputs (text, file) < 0 || fclose (file) != 0)
    rig_give_up ("cannot write the settings");
  free (text);
}

void
rig_node_start (rig_node_t *node)
{
  pid_t parent = getpid ();

  if (node->starts++ == 0)
    {
      if (access ("target/siskingraded-platform", X_OK) != 0)
        rig_give_up ("target/siskingraded-platform is not built");
      snprintf (node->settings_path, sizeof node->settings_path, "%s/%s.conf", folder, node->name);
      snprintf (node->log_path, sizeof node->log_path, "%s/%s.log", folder, node->name);
      settings_write (node);
      pthread_mutex_lock (&node_mutex);
      nodes[node_count++] = node;
      pthread_mutex_unlock (&node_mutex);
    }
  node->pid = fork ();
  if (node->pid < 0)
    rig_give_up ("fork: %s", strerror (errno));
  if (node->pid == 0)
    {
      int log = open (node->log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () != parent)
        _exit (127);
      dup2 (log, STDOUT_FILENO);
      dup2 (log, STDERR_FILENO);
      setenv ("SISKINGRADE_BOOT", node->settings_path, 1);
      execl ("target/siskingraded-platform", "target/siskingraded-platform", node->settings_path,
             (char *)NULL);
      _exit (127);
    }
}

void
rig_node_signal (rig_node_t *node, int signal_number)
{
  if (node->pid > 0)
    kill (node->pid, signal_number);
}

void
rig_node_kill (rig_node_t *node)
{
  if (node->pid <= 0)
    return;
  kill (node->pid, SIGKILL);
  waitpid (node->pid, NULL, 0);
  node->pid = 0;
}

bool
rig_node_runs (rig_node_t *node, int *status)
{
  int got = 0;

  if (node->pid <= 0)
    return false;
  if (waitpid (node->pid, &got, WNOHANG) != node->pid)
    return true;
  node->pid = 0;
  if (status != NULL)
    *status = got;
  return false;
}

bool
rig_node_is_ready (const rig_node_t *node)
{
  rig_message_t *answer = calloc (1, sizeof *answer);
  int status = rig_call (node->ip, RIG_PORT_READY, "GET", "/siskingrade/readyz",
                         "Host: node\r\n", NULL, 1000, answer);

  rig_message_free (answer);
  free (answer);
  return status == 200;
}

static void
log_show (const rig_node_t *node, const char *text, unsigned lines)
{
  char command[2 * RIG_TEXT], line[1024];
  FILE *pipe;

  if (text != NULL)
    snprintf (command, sizeof command, "grep -- '%s' %s | tail -n %u", text, node->log_path, lines);
  else
    snprintf (command, sizeof command, "tail -n %u %s", lines, node->log_path);
  pipe = popen (command, "r");
  while (pipe != NULL && fgets (line, sizeof line, pipe) != NULL)
    {
      line[strcspn (line, "\n")] = '\0';
      rig_record ("  log of %s: %s", node->name, line);
    }
  if (pipe != NULL)
    pclose (pipe);
}

void
rig_node_log_tail (const rig_node_t *node, unsigned lines)
{
  log_show (node, NULL, lines);
}

void
rig_node_log_grep (const rig_node_t *node, const char *text, unsigned lines)
{
  log_show (node, text, lines);
}
