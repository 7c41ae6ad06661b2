#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Small stand-ins of the platform's store, of backends and of clients, and the start and stop of
   nodes, for the cases of the third review. All addresses are loopback addresses. */

#define RIG_TEXT 256

/* The limits of a configuration, an entry of its list. */
#define RIG_LIMITS                                                                                 \
  "{\"resourceType\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,"                   \
  "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}"

/* Result of a case, the exit status of its program. */
enum
{
  RIG_HELD = 0,
  RIG_BROKEN = 1,
  RIG_NOT_RUN = 2,
};

/* Opens record.txt, the temporary folder and the range of loopback addresses. */
void rig_begin (const char *record_path);
/* Ends all processes that the rig started and returns the exit status. */
int rig_end (int status);
/* Whether the disruption takes place (TROUBLE is not 0). */
bool rig_trouble (void);
/* Writes a line to the record, with the time since rig_begin(). */
void rig_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Writes the reason to the record and exits with RIG_NOT_RUN. */
void rig_give_up (const char *format, ...) __attribute__ ((format (printf, 1, 2), noreturn));
uint64_t rig_now_ms (void);
uint64_t rig_wall_ms (void);
void rig_sleep_ms (uint64_t ms);
/* Address of machine @index of this run: 127.A.B.C, from a range that no other run uses. */
const char *rig_machine_ip (unsigned index, char *ip);

/* HTTP. A message that was read: @head is the text up to the empty line, @body the decoded body. */
typedef struct
{
  char head[16384];
  char *body;
  size_t length;
  int status;         /* of an answer */
  char method[16];    /* of a request */
  char path[2048];    /* of a request, with its query */
  bool closes;        /* Connection: close */
} rig_message_t;

/* A connection with bytes that were read and not used yet. */
typedef struct
{
  int fd;
  char *bytes;
  size_t length;
} rig_stream_t;

int rig_listen (const char *ip, unsigned port);
/* Connects within @timeout_ms; -1 if that fails. */
int rig_connect (const char *ip, unsigned port, unsigned timeout_ms);
bool rig_send (int fd, const void *bytes, size_t length);
/* Reads one message before @deadline_ms (0: none). Returns 1, 0 at an orderly end before the first
   byte, -1 if it broke off, -2 at the deadline. */
int rig_read (rig_stream_t *stream, bool is_answer, uint64_t deadline_ms, rig_message_t *message);
void rig_message_free (rig_message_t *message);
void rig_stream_close (rig_stream_t *stream);
/* Copies the value of a header field; false if there is none. */
bool rig_field (const rig_message_t *message, const char *name, char *value, size_t size);
/* One request on a connection of its own. Returns the status of the whole answer; 0 if there was
   none in time, -1 if no connection could be made. */
int rig_call (const char *ip, unsigned port, const char *method, const char *path,
              const char *fields, const char *body, unsigned timeout_ms, rig_message_t *answer);

/* The store. */
typedef struct rig_store_t rig_store_t;
rig_store_t *rig_store_start (const char *ip, unsigned port);
/* Writes as the operator; returns the revision, at which the write is acknowledged. */
uint64_t rig_store_put (rig_store_t *store, const char *key, const char *value);
/* Sets by how much reads that may be stale (staleRead = 1) are behind; 0 at first. */
void rig_store_stale_set (rig_store_t *store, uint64_t stale_ms);
size_t rig_store_count (rig_store_t *store, const char *prefix);

/* A backend. */
typedef struct
{
  char id[64];
  char service[64];
  char zone[64];
  char ip[32];
  unsigned port;
  char control_ip[32];     /* node that gets its heartbeats; "" for a server that sends none */
  unsigned control_port;
  unsigned slots;
  _Atomic unsigned work_ms;
  _Atomic bool is_silent;  /* sends no heartbeat */
  uint64_t born;
  _Atomic unsigned running;
  _Atomic uint64_t runs;
  _Atomic uint64_t misdirected;
  _Atomic uint64_t beats_acked;
  _Atomic uint64_t beats_failed;
  /* Called when a request begins to run, with its X-Request-Id. */
  void (*on_run) (const char *request_id, const char *path);
} rig_backend_t;

void rig_backend_start (rig_backend_t *backend);

/* Nodes. */
typedef struct
{
  char name[64];
  char service[64];
  char zone[64];
  char ip[32];
  pid_t pid;
  unsigned starts;
  char settings_path[RIG_TEXT];
  char log_path[RIG_TEXT];
} rig_node_t;

enum
{
  RIG_PORT_INBOUND = 8300,
  RIG_PORT_APP = 8301,
  RIG_PORT_READY = 8302,
  RIG_PORT_OUTBOUND = 8304,
  RIG_PORT_CONTROL = 8306,
  RIG_PORT_STORE = 8309,
  RIG_PORT_INTERNAL_FIRST = 7620,
  RIG_PORT_INTERNAL_LAST = 7635,
  RIG_PORT_METRICS = 9464,
};

/* Sets what comes to the settings of all nodes; call it before the first rig_node_start(). */
void rig_settings (const char *store_ip, unsigned store_port, const char *const *zones);
/* Starts target/siskingraded-platform with settings from deploy/node.yaml.in. */
void rig_node_start (rig_node_t *node);
void rig_node_signal (rig_node_t *node, int signal_number);
/* Kills the process and waits for its end. */
void rig_node_kill (rig_node_t *node);
/* Whether the process runs; after its end @status receives that of waitpid(). */
bool rig_node_runs (rig_node_t *node, int *status);
bool rig_node_is_ready (const rig_node_t *node);
/* Copies the last lines of a node's output to the record. */
void rig_node_log_tail (const rig_node_t *node, unsigned lines);
/* Copies lines of a node's output that contain a text to the record. */
void rig_node_log_grep (const rig_node_t *node, const char *text, unsigned lines);

#endif
