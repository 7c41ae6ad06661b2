/* Stand-ins of the platform's store, of backends and of clients, and the start of nodes, for the
   scripts of the second review. */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_NODES_MAX 480
#define RIG_HOST "shop.example"

/* Exit status of a script. */
enum
{
  RIG_HELD = 0,
  RIG_BROKEN = 1,
  RIG_NOT_RUN = 2
};

typedef struct rig_backend rig_backend_t;

/* A request as a backend or the store received it. */
typedef struct
{
  char method[16];
  char path[1024];
  char id[128];
  char instance[128];
  char caller[128];
  long deadline_ms; /* -1: none */
  char *body;
  size_t body_length;
  char head[16384];
  bool is_health;
} rig_request_t;

/* Returns true if it has handled the request itself; false for the usual answer. */
typedef bool (*rig_hook_t) (rig_backend_t *backend, int fd, const rig_request_t *request,
                            bool *keeps_connection);

struct rig_backend
{
  int node;
  char service[64];
  char instance[64];
  long born_ms;
  int slots;
  int queue;
  volatile int work_ms; /* time of a request */
  volatile bool is_draining;
  volatile bool is_silent; /* sends no heartbeat */
  rig_hook_t hook;
  int listener;
  /* state */
  int running, waiting;
  long runs;
  long rejected;
};

/* An answer that a client received. */
typedef struct
{
  bool is_complete; /* whole head and body */
  bool is_closed;   /* the connection ended before the answer was complete */
  bool is_timeout;
  int status;
  char id[128];
  char signature[128];
  char head[16384];
  char *body;
  size_t body_length;
  bool says_close;
} rig_answer_t;

/* A client's connection with its unread bytes. */
typedef struct
{
  int fd;
  char *bytes;
  size_t length;
  bool is_ended;
} rig_client_t;

extern bool rig_trouble; /* false with TROUBLE=0 */

void rig_begin (const char *folder);
int rig_end (int status, const char *reason);
void rig_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
long rig_ms (void); /* since the begin */
void rig_sleep_ms (long ms);

void rig_store_start (void);
void rig_store_put (const char *key, const char *value);
bool rig_store_has (const char *key);
/* Fault of the store: requests of all nodes get 503 while set. */
extern volatile bool rig_store_busy;
/* Requests get no answer while set; their connections close when it ends. */
extern volatile bool rig_store_silent;
/* Delay of all answers of the store. */
extern volatile int rig_store_delay_ms;

/* Sends a configuration, given as the text of its list of resources. */
void rig_config_put (unsigned version, const char *resources);

int rig_node_add (const char *zone, const char *service);
void rig_node_start (int node);
void rig_node_signal (int node, int signal);
/* Waits for the end of a node's process; false if it did not end in time. */
bool rig_node_wait (int node, long timeout_ms, int *wait_status);
bool rig_node_is_running (int node, int *wait_status);
bool rig_node_is_ready (int node);
bool rig_nodes_wait_ready (long timeout_ms);
const char *rig_node_ip (int node);
const char *rig_node_name (int node);
pid_t rig_node_pid (int node);

rig_backend_t *rig_backend_start (int node, const char *service, const char *instance, int slots,
                                  int work_ms, rig_hook_t hook);
/* Sends one heartbeat or deregistration; returns the status, 0 for none. */
int rig_backend_beat (rig_backend_t *backend);
/* Takes the number of the next heartbeat; sends one that says "ready" with a number taken before, as
   one that was delayed on its way. */
long rig_backend_beat_number (void);
int rig_backend_beat_late (rig_backend_t *backend, long number);
int rig_backend_deregister (rig_backend_t *backend);
/* Writes all bytes; false if the connection has ended. */
bool rig_write (int fd, const void *bytes, size_t length);
/* Runs the work of a request in a slot: waits for a slot, then for the work time. */
void rig_backend_usual_answer (rig_backend_t *backend, int fd, const rig_request_t *request);
long rig_runs_of (const char *id);
/* Records that a backend began to work on a request. */
void rig_run_record (rig_backend_t *backend, const rig_request_t *request);

bool rig_client_open (rig_client_t *client, int node);
void rig_client_close (rig_client_t *client);
bool rig_client_send (rig_client_t *client, const char *method, const char *path, const char *id,
                      long deadline_ms, const char *extra, const char *body, size_t length);
void rig_client_receive (rig_client_t *client, long timeout_ms, rig_answer_t *answer);
void rig_answer_release (rig_answer_t *answer);
/* One request on a connection of its own. */
void rig_request (int node, const char *method, const char *path, const char *id, long deadline_ms,
                  rig_answer_t *answer);
int rig_thread (void *(*run) (void *), void *ctx);

#endif
