#include "confirmation.h"

#include <string.h>

/* Time for which one port is given out. It is shorter than the time between an answer and the next
   announcement of a target. */
#define PORT_TIME_US SGR_USEC_PER_SEC

void
sgr_confirmation_port_add (sgr_confirmation_t *confirmation, uint16_t port)
{
  if (confirmation->count < SGR_CONFIRMATION_PORTS_MAX)
    confirmation->ports[confirmation->count++] = port;
}

size_t
sgr_confirmation_port_index (const sgr_confirmation_t *confirmation, uint16_t port)
{
  for (size_t i = 0; i < confirmation->count; i++)
    {
      if (confirmation->ports[i] == port)
        return i;
    }
  return SIZE_MAX;
}

static bool
is_same_instance (const sgr_confirmation_t *confirmation, const sgr_announcement_t *announcement)
{
  return confirmation->started_ms == announcement->started_ms
         && strcmp (confirmation->instance, announcement->local.instance) == 0;
}

size_t
sgr_confirmation_ask (sgr_confirmation_t *confirmation, const sgr_announcement_t *announcement,
                      uint64_t now_us)
{
  size_t index;

  if (confirmation->count == 0)
    return SIZE_MAX;
  if (!is_same_instance (confirmation, announcement))
    {
      memset (confirmation->is_asked, 0, sizeof confirmation->is_asked);
      memcpy (confirmation->instance, announcement->local.instance, sizeof confirmation->instance);
      confirmation->started_ms = announcement->started_ms;
    }
  index = now_us / PORT_TIME_US % confirmation->count;
  /* Late announcements arrive in any order. */
  if (!confirmation->is_asked[index] || announcement->sequence > confirmation->sequences[index])
    confirmation->sequences[index] = announcement->sequence;
  confirmation->is_asked[index] = true;
  return index;
}

bool
sgr_confirmation_is_given (const sgr_confirmation_t *confirmation,
                           const sgr_announcement_t *announcement)
{
  size_t index = sgr_confirmation_port_index (confirmation, announcement->arrival_port);

  return index != SIZE_MAX && confirmation->is_asked[index]
         && is_same_instance (confirmation, announcement)
         && (announcement->sequence == 0
             || announcement->sequence > confirmation->sequences[index]);
}
