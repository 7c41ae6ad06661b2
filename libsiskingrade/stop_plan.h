#ifndef SGR_STOP_PLAN_H
#define SGR_STOP_PLAN_H

#include "settings.h"

/**
 * struct sgr_stop_plan_t - times of a planned stop, in milliseconds since the stop signal
 * @refuse_ms: new requests of callers are refused
 * @calls_end_ms: calls that are still open get their final answer
 * @drain_end_ms: connections that are still open are closed
 */
typedef struct
{
  uint64_t refuse_ms;
  uint64_t calls_end_ms;
  uint64_t drain_end_ms;
} sgr_stop_plan_t;

/**
 * sgr_stop_plan() - compute the times of a planned stop
 * @settings: settings of the node; if stop_grace_ms is set, it replaces drain_timeout_ms
 *
 * With a grace time, open calls are not broken off before five sixths of it, and the process has a
 * sixteenth of it at least to end.
 */
sgr_stop_plan_t sgr_stop_plan (const sgr_settings_t *settings);

#endif
