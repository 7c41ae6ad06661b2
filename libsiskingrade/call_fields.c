#include "call_fields.h"

#include <string.h>
#include <strings.h>

#include "http_fields.h"

#define LOAD_NUMBER_COUNT_MAX 4
/* Largest number that is accepted in a load field. */
#define LOAD_VALUE_MAX 1000000
#define COST_USUAL_PERCENT 100

const sgr_call_fields_t sgr_call_fields_default = {
  .deadline = "siskingrade-deadline-ms",
  .request_id = "siskingrade-request-id",
  .instance = "siskingrade-instance",
  .caller_service = "siskingrade-caller-service",
  .not_run = "siskingrade-not-run",
  .load = "siskingrade-load",
  .authorization = "authorization",
  .cold = "siskingrade-cold-ms",
};

static bool
is_named (const char *field, const char *name, size_t length)
{
  return strlen (field) == length && strncasecmp (field, name, length) == 0;
}

bool
sgr_call_fields_is_set_by_node (const sgr_call_fields_t *fields, const char *name, size_t length)
{
  return is_named (fields->deadline, name, length) || is_named (fields->instance, name, length)
         || is_named (fields->caller_service, name, length);
}

/* Compares names without regard to case and to the difference of '-' and '_'. */
static bool
is_spelt_like (const char *field, const char *name, size_t length)
{
  if (field == NULL || strlen (field) != length)
    return false;
  for (size_t i = 0; i < length; i++)
    {
      char letter = name[i] == '_' ? '-' : name[i];

      if (letter >= 'A' && letter <= 'Z')
        letter = (char)(letter + 'a' - 'A');
      if (letter != field[i])
        return false;
    }
  return true;
}

bool
sgr_call_fields_is_of_account (const sgr_call_fields_t *fields, const char *name, size_t length)
{
  return is_spelt_like (fields->authorization, name, length)
         || is_spelt_like (fields->tenant, name, length)
         || is_spelt_like ("siskingrade-tenant", name, length);
}

bool
sgr_target_load_parse (const char *text, size_t length, sgr_target_load_t *load)
{
  uint64_t numbers[LOAD_NUMBER_COUNT_MAX] = { 0, 0, 0, COST_USUAL_PERCENT };
  size_t count = 0;

  for (;;)
    {
      const char *comma = memchr (text, ',', length);
      size_t size = comma != NULL ? (size_t)(comma - text) : length;

      if (count == LOAD_NUMBER_COUNT_MAX
          || !sgr_http_number_parse (text, size, LOAD_VALUE_MAX, &numbers[count]))
        return false;
      count++;
      if (comma == NULL)
        break;
      text = comma + 1;
      length -= size + 1;
    }
  if (count < LOAD_NUMBER_COUNT_MAX - 1)
    return false;
  *load = (sgr_target_load_t){ .running = (uint32_t)numbers[0],
                               .waiting = (uint32_t)numbers[1],
                               .slots = (uint32_t)numbers[2],
                               .cost_percent = (uint32_t)numbers[3] };
  return true;
}
