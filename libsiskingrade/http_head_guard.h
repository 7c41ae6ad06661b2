#ifndef SGR_HTTP_HEAD_GUARD_H
#define SGR_HTTP_HEAD_GUARD_H

#include <stdbool.h>
#include <stddef.h>

#include <h2o.h>
#include <h2o/http1client.h>

/**
 * sgr_http_head_is_valid() - check the head of an answer before h2o parses it
 * @bytes: received bytes; the head may be incomplete, and interim answers may precede it
 * @length: number of received bytes
 *
 * h2o 2.2.5 fails an assertion, which aborts the process, on a Content-Length that is not a number
 * and on a Transfer-Encoding other than "chunked".
 *
 * Return: false if the received lines contain such a field or a folded line.
 */
bool sgr_http_head_is_valid (const char *bytes, size_t length);

/**
 * struct sgr_http_head_guard_t - checks the head of an answer while h2o's HTTP client reads it
 * @http: h2o's client of the request
 * @reject: called in place of h2o's callback if the head must not be parsed; closes the client
 * @bytes: bytes received before the head was complete
 * @h2o_read_cb: h2o's read callback
 * @h2o_write_cb: h2o's write callback
 * @entry: timeout that replaces h2o's callbacks
 *
 * h2o limits neither the size of a head nor the number of interim answers. The structure is the
 * first member of the one that h2o's client has as its data.
 */
typedef struct sgr_http_head_guard_t
{
  h2o_http1client_t *http;
  void (*reject) (struct sgr_http_head_guard_t *guard, const char *reason);
  size_t bytes;
  h2o_socket_cb h2o_read_cb;
  h2o_socket_cb h2o_write_cb;
  h2o_timeout_entry_t entry;
} sgr_http_head_guard_t;

/**
 * sgr_http_head_guard_start() - begin to check; to be called in h2o's callback for a new connection
 * @guard: the guard, zeroed
 * @http: h2o's client
 * @immediate_timeout: timeout of the loop with a delay of 0
 * @reject: see sgr_http_head_guard_t
 */
void sgr_http_head_guard_start (sgr_http_head_guard_t *guard, h2o_http1client_t *http,
                                h2o_timeout_t *immediate_timeout,
                                void (*reject) (sgr_http_head_guard_t *guard, const char *reason));

/** sgr_http_head_guard_stop() - to be called before the memory of the guard is freed */
void sgr_http_head_guard_stop (sgr_http_head_guard_t *guard);

#endif
