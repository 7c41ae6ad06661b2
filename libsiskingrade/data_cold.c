#include "data_cold.h"

#include <stdio.h>
#include <string.h>

#include "data_load.h"
#include "log.h"

/* Longest cold time that a health answer can state; longer ones count as this one. */
#define COLD_MAX_MS 3600000
/* Time without a statement after which the log says that the target counts as cold. Statements stop
   while no attempts arrive, and the first attempt after a pause brings one within milliseconds. */
#define SILENCE_LOGGED_AFTER_US (200 * SGR_USEC_PER_MSEC)
#define PAUSE_US SGR_USEC_PER_SEC

static bool
has_limit (const sgr_data_gate_t *gate)
{
  return gate->policy.cold_calls_per_s > 0;
}

void
sgr_data_cold_local_apply (sgr_data_gate_t *gate, uint64_t now_us)
{
  const sgr_local_target_t *local = &gate->task->snapshot->local;

  if (!has_limit (gate) || local->service[0] == '\0')
    return;
  if (local->registered_us != gate->registered_us)
    {
      gate->registered_us = local->registered_us;
      gate->cold_stated_us = 0;
      sgr_gate_target_cold_forget (gate->core, local->registered_us,
                                   SGR_GATE_COLD_SOURCE_REGISTRATION);
      sgr_data_load_query_hasten (gate, now_us);
    }
  if (local->cold_stated_us != gate->cold_stated_us)
    {
      sgr_gate_cold_statement_t statement
          = { .made_us = local->cold_stated_us,
              .arrived_us = local->cold_stated_us,
              .cold_us = local->cold_until_us - local->cold_stated_us,
              .source = SGR_GATE_COLD_SOURCE_ANNOUNCEMENT };

      gate->cold_stated_us = local->cold_stated_us;
      sgr_gate_target_cold_record (gate->core, now_us, &statement);
    }
}

/* Reads a number of milliseconds. Returns false if the value of the field is none. */
static bool
cold_field_read (const sgr_http_field_t *field, uint64_t *cold_us)
{
  uint64_t cold_ms = 0;

  if (field->value_length == 0)
    return false;
  for (size_t i = 0; i < field->value_length; i++)
    {
      if (field->value[i] < '0' || field->value[i] > '9')
        return false;
      cold_ms = cold_ms * 10 + (uint64_t)(field->value[i] - '0');
      if (cold_ms > COLD_MAX_MS)
        cold_ms = COLD_MAX_MS;
    }
  *cold_us = cold_ms * SGR_USEC_PER_MSEC;
  return true;
}

void
sgr_data_cold_health_apply (sgr_data_gate_t *gate, int status, const sgr_http_field_t *fields,
                            size_t count)
{
  const char *name = gate->task->fields->cold;
  uint64_t now_us = sgr_clock_monotonic_us ();
  sgr_gate_cold_statement_t statement = { .made_us = gate->query_sent_us,
                                          .arrived_us = now_us,
                                          .source = SGR_GATE_COLD_SOURCE_HEALTH };
  bool is_statement = status >= 200 && status <= 299;

  if (!has_limit (gate) || name == NULL)
    return;
  for (size_t i = 0; i < count; i++)
    {
      if (h2o_lcstris (fields[i].name, fields[i].name_length, name, strlen (name)))
        is_statement = cold_field_read (&fields[i], &statement.cold_us);
    }
  if (!is_statement)
    return;
  sgr_gate_target_cold_record (gate->core, now_us, &statement);
  sgr_data_gate_tick (gate, now_us);
}

static void
state_forget (sgr_data_gate_t *gate, uint64_t now_us, sgr_gate_cold_source_t source)
{
  if (!has_limit (gate))
    return;
  sgr_gate_target_cold_forget (gate->core, now_us, source);
  sgr_data_load_query_hasten (gate, now_us);
  sgr_data_gate_tick (gate, now_us);
}

void
sgr_data_cold_connection_failed (sgr_data_gate_t *gate, uint64_t now_us)
{
  state_forget (gate, now_us, SGR_GATE_COLD_SOURCE_CONNECTION);
}

void
sgr_data_gate_cold_forget (sgr_data_gate_t *gate, uint64_t now_us)
{
  state_forget (gate, now_us, SGR_GATE_COLD_SOURCE_EVACUATION);
}

/* Whether the log is to say now that the target counts as cold. */
static bool
is_cold_for_log (sgr_data_gate_t *gate, uint64_t now_us, sgr_gate_cold_source_t *source)
{
  bool is_cold = sgr_gate_target_is_cold (gate->core, now_us, source);

  if (!is_cold || *source != SGR_GATE_COLD_SOURCE_SILENCE)
    {
      gate->silent_since_us = 0;
      return is_cold;
    }
  if (now_us >= gate->last_attempt_us + PAUSE_US)
    {
      gate->silent_since_us = 0;
      return gate->is_cold_logged;
    }
  if (gate->silent_since_us == 0)
    gate->silent_since_us = now_us;
  return gate->is_cold_logged || now_us >= gate->silent_since_us + SILENCE_LOGGED_AFTER_US;
}

const char *
sgr_data_cold_log_text (const sgr_data_gate_t *gate, uint64_t now_us, char *text, size_t size)
{
  sgr_gate_cold_source_t source;
  bool is_cold = sgr_gate_target_is_cold (gate->core, now_us, &source);

  if (!has_limit (gate))
    return "";
  snprintf (text, size, " cold=%s", is_cold ? sgr_gate_cold_source_name (source) : "no");
  return text;
}

void
sgr_data_cold_change_check (sgr_data_gate_t *gate, uint64_t now_us)
{
  sgr_gate_cold_source_t source;
  bool is_cold;

  if ((!has_limit (gate) || gate->task->snapshot->local.service[0] == '\0')
      && !gate->is_cold_logged)
    return;
  sgr_data_load_report_if_changed (gate);
  is_cold = is_cold_for_log (gate, now_us, &source);
  if (is_cold == gate->is_cold_logged)
    return;
  gate->is_cold_logged = is_cold;
  sgr_log_info (is_cold ? "target-cold" : "target-warm", "instance=%s source=%s limit=%u",
                gate->task->snapshot->local.instance, sgr_gate_cold_source_name (source),
                gate->policy.cold_calls_per_s);
}
