#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Stand-ins of the platform, its store, backends and clients for the cases of the review. All
   addresses are loopback addresses; each node has an address of its own in 127.0.0.0/8. */

#define RIG_NODES_MAX 32
#define RIG_ID_MAX 80

typedef struct rig_message
{
  char start[256];  /* first line */
  char method[16];
  char path[256];
  int status;
  char head[16384]; /* the whole head, NUL-terminated */
  char *body;
  size_t body_length;
  size_t body_expected; /* Content-Length */
  bool is_whole;
} rig_message_t;

typedef struct rig_conn
{
  int fd;
  char *buffer;
  size_t length;
  size_t capacity;
} rig_conn_t;

struct rig_backend;

/* What a backend does with a request. */
typedef struct rig_work
{
  double work_ms;         /* time until the answer */
  size_t answer_bytes;    /* length of the body */
  size_t break_off_after; /* bytes of the body after which the connection is closed, 0 for none */
  double extra_after_ms;  /* time after the answer until a second answer to the request, 0 for none */
} rig_work_t;

typedef void (*rig_work_cb) (struct rig_backend *backend, const rig_message_t *request,
                             rig_work_t *work);

typedef struct rig_backend
{
  char id[32];
  char service[32];
  char ip[32];
  int port;
  struct rig_node *node;
  uint64_t born;
  int sequence;
  const char *state;
  bool beats;      /* sends heartbeats */
  bool is_running;
  int listener;
  int running;
  int slots;
  int cost_percent; /* time that work takes, in percent of the usual time */
  rig_work_cb work;
  pthread_t beat_thread;
  pthread_t thread;
} rig_backend_t;

typedef struct rig_node
{
  char name[64];
  char service[32];
  char zone[32];
  char ip[32];
  pid_t pid;
  int generation;
  double started_ms; /* time of the last start */
  rig_backend_t *backend;
} rig_node_t;

/* One event that the stand-ins saw. */
typedef struct rig_event
{
  double ms;
  int kind;        /* an RIG_* value */
  char id[RIG_ID_MAX];
  char backend[32];
  char path[64];
  long value;
} rig_event_t;

enum
{
  RIG_SENT,     /* a client sent a request */
  RIG_ANSWERED, /* a client got a whole answer; value is the status */
  RIG_CUT,      /* the connection of a client ended before the whole answer */
  RIG_SILENT,   /* a client got no whole answer within its time */
  RIG_ARRIVED,  /* a request reached a backend */
  RIG_WORK,     /* a backend began its work; value is the time that it takes, in milliseconds */
  RIG_RAN,      /* a backend ended its work; value is 1 if the answer was written whole */
};

/* The deployment, and whether the disruption takes place. */
extern rig_node_t rig_nodes[RIG_NODES_MAX];
extern int rig_node_count;
extern bool rig_trouble;
extern volatile bool rig_is_stopping;

/* Arguments: the record file, and "off" to leave out the disruption. */
void rig_begin (int argc, char **argv);
int rig_end (int status);
double rig_now_ms (void);
void rig_sleep_ms (double ms);
uint64_t rig_unix_ms (void);
void rig_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void rig_event (int kind, const char *id, const char *backend, const char *path, long value);
size_t rig_event_count (void);
rig_event_t *rig_event_at (size_t index);
rig_event_t *rig_event_find (int kind, const char *id);
/* Sets a new request id of @length hexadecimal digits, at most RIG_ID_MAX - 1. */
void rig_id (char *id, size_t length);
double rig_random (void);

/* A route of the host RIG_HOST. */
typedef struct rig_route
{
  const char *prefix;
  const char *kind;
  int timeout_ms; /* 0 for none */
  int target_latency_ms;
  int priority;
  const char *service;
} rig_route_t;

#define RIG_HOST "herd.example"
/* Length of the request ids in the examples of the pages. */
#define RIG_ID_USUAL 16

void rig_store_start (void);
/* Writes the first configuration, with the routes and the services of all nodes. */
void rig_config_put (const rig_route_t *routes, size_t count);
void rig_store_put (const char *key, const char *value);

rig_node_t *rig_node_add (const char *service, const char *zone);
void rig_node_start (rig_node_t *node);
void rig_node_signal (rig_node_t *node, int signal_number);
bool rig_node_wait (rig_node_t *node, double ms, int *status);
bool rig_node_is_ready (rig_node_t *node);
bool rig_nodes_wait_ready (double ms);
/* Returns the peak of the resident memory of a node, in KiB. */
long rig_node_memory_kb (const rig_node_t *node);

/* Starts all nodes and their backends and waits until the nodes are ready; false if they are not. */
bool rig_deployment_start (rig_work_cb work);
rig_backend_t *rig_backend_start (rig_node_t *node, rig_work_cb work, int slots);
void rig_backend_stop (rig_backend_t *backend);
int rig_beat_text (const rig_backend_t *backend, const char *state, int sequence, char *text,
                   size_t size);
int rig_control_post (const rig_node_t *node, const char *path, const char *body);

int rig_connect (const char *ip, int port, double ms);
void rig_conn_init (rig_conn_t *conn, int fd);
void rig_conn_close (rig_conn_t *conn);
bool rig_send_all (int fd, const void *bytes, size_t length);
/* Returns 1 for a whole message, 0 at the end of the connection, -1 after @ms. */
int rig_message_read (rig_conn_t *conn, rig_message_t *message, double ms);
void rig_message_release (rig_message_t *message);
bool rig_field (const rig_message_t *message, const char *name, char *value, size_t size);
/* Whether an answer says that its connection closes. */
bool rig_is_last (const rig_message_t *answer);
bool rig_request_send (rig_conn_t *conn, const char *method, const char *path, const char *id,
                       int deadline_ms, const void *body, size_t length);

/* Ports, the same on all nodes of a run. */
extern int rig_port_base;

#define RIG_APP (rig_port_base + 1)
#define RIG_READY (rig_port_base + 2)
#define RIG_OUTBOUND (rig_port_base + 4)
#define RIG_CONTROL (rig_port_base + 6)

#endif
