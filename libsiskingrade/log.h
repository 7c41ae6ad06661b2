#ifndef SGR_LOG_H
#define SGR_LOG_H

#include "types.h"

/** enum sgr_log_level_t - severity of a log line, the most severe one first */
typedef enum
{
  SGR_LOG_ERROR = 0,
  SGR_LOG_WARN,
  SGR_LOG_INFO,
  SGR_LOG_DEBUG,
} sgr_log_level_t;

/**
 * sgr_log_setup() - set the node name and the log level of the process
 * @node: name printed on each line, copied
 * @level: lines of less severe levels are not written
 */
void sgr_log_setup (const char *node, sgr_log_level_t level);

/**
 * sgr_log_level_parse() - parse "error", "warn", "info" or "debug"
 * @text: the name
 * @level: receives the level
 *
 * Return: true if the name is known.
 */
bool sgr_log_level_parse (const char *text, sgr_log_level_t *level);

/** sgr_log_is_on() - whether lines of a level are written */
bool sgr_log_is_on (sgr_log_level_t level);

/**
 * sgr_log_buffer() - choose whether lines are buffered until sgr_log_flush() is called
 * @on: false to write each line at once, which is the initial state
 *
 * Buffering saves a system call for each line. The process then has to call sgr_log_flush()
 * regularly.
 */
void sgr_log_buffer (bool on);

/**
 * sgr_log_flush() - write the buffered lines to standard output
 *
 * Does not block if the process that reads standard output is slow. Lines that cannot be written
 * stay buffered, up to 256 KiB; further ones are dropped. Once the buffer is empty again, a line
 * "log-dropped" with the number of dropped lines is written.
 */
void sgr_log_flush (void);

/**
 * sgr_log() - log one line "TIME LEVEL node=NODE event=EVENT key=value ..."
 * @level: severity
 * @event: name of the event, words joined by hyphens
 * @format: printf format of the key=value pairs
 *
 * Any thread may call this function. TIME is in UTC. Lines are truncated to 1023 bytes.
 */
void sgr_log (sgr_log_level_t level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#define sgr_log_error(event, ...) sgr_log (SGR_LOG_ERROR, event, __VA_ARGS__)
#define sgr_log_warn(event, ...) sgr_log (SGR_LOG_WARN, event, __VA_ARGS__)
#define sgr_log_info(event, ...) sgr_log (SGR_LOG_INFO, event, __VA_ARGS__)
#define sgr_log_debug(event, ...) sgr_log (SGR_LOG_DEBUG, event, __VA_ARGS__)

#endif
