#ifndef SGR_LOG_H
#define SGR_LOG_H

#include "types.h"

/**
 * enum sgr_log_level_t - severity of a log line
 */
typedef enum
{
  SGR_LOG_ERROR = 0,
  SGR_LOG_WARN,
  SGR_LOG_INFO,
  SGR_LOG_DEBUG,
} sgr_log_level_t;

/**
 * sgr_log_setup() - set the node name and the level for the process
 * @node: name printed on each line, copied
 * @level: lines above this level are dropped
 */
void sgr_log_setup (const char *node, sgr_log_level_t level);

/**
 * sgr_log_level_parse() - read "error", "warn", "info" or "debug"
 * @text: the name
 * @level: receives the level
 *
 * Return: true if the name is known.
 */
bool sgr_log_level_parse (const char *text, sgr_log_level_t *level);

/** sgr_log_is_on() - whether lines of a level are written */
bool sgr_log_is_on (sgr_log_level_t level);

/**
 * sgr_log_buffer() - keep lines until sgr_log_flush() instead of writing each at once
 *
 * A process that calls sgr_log_flush() regularly saves a system call a line.
 */
void sgr_log_buffer (bool on);

/**
 * sgr_log_flush() - write the lines that wait
 *
 * Nothing waits for a reader: what standard output does not take stays, up to 256 KiB; further
 * lines are dropped, and their number is written when the reader is back.
 */
void sgr_log_flush (void);

/**
 * sgr_log() - write one line "TIME LEVEL node=NODE event=EVENT key=value ..." to standard output
 * @level: severity
 * @event: name of the state change, words joined by hyphens
 * @format: printf format of the key=value pairs
 */
void sgr_log (sgr_log_level_t level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#define sgr_log_error(event, ...) sgr_log (SGR_LOG_ERROR, event, __VA_ARGS__)
#define sgr_log_warn(event, ...) sgr_log (SGR_LOG_WARN, event, __VA_ARGS__)
#define sgr_log_info(event, ...) sgr_log (SGR_LOG_INFO, event, __VA_ARGS__)
#define sgr_log_debug(event, ...) sgr_log (SGR_LOG_DEBUG, event, __VA_ARGS__)

#endif
