#include "types.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

sgr_node_id_t
sgr_node_id_of (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

bool
sgr_address_parse (const char *text, sgr_address_t *address)
{
  const char *colon = strrchr (text, ':');
  char ip_text[INET_ADDRSTRLEN];
  struct in_addr ip;
  char *end;
  long port;

  if (colon == NULL || colon == text || (size_t)(colon - text) >= sizeof ip_text)
    return false;
  memcpy (ip_text, text, (size_t)(colon - text));
  ip_text[colon - text] = '\0';
  if (inet_pton (AF_INET, ip_text, &ip) != 1)
    return false;
  if (colon[1] < '0' || colon[1] > '9')
    return false;
  port = strtol (colon + 1, &end, 10);
  if (*end != '\0' || port < 1 || port > UINT16_MAX)
    return false;
  address->ip = ntohl (ip.s_addr);
  address->port = (uint16_t)port;
  return true;
}

void
sgr_address_format (const sgr_address_t *address, char *text, size_t size)
{
  uint32_t ip = address->ip;

  snprintf (text, size, "%u.%u.%u.%u:%u", ip >> 24, (ip >> 16) & 255, (ip >> 8) & 255, ip & 255,
            address->port);
}

const char *
sgr_outcome_name (sgr_outcome_t outcome)
{
  switch (outcome)
    {
    case SGR_OUTCOME_COMPLETE:
      return "complete";
    case SGR_OUTCOME_NOT_RUN:
      return "not-run";
    case SGR_OUTCOME_UNKNOWN:
      break;
    }
  return "unknown";
}

const char *
sgr_target_state_name (sgr_target_state_t state)
{
  switch (state)
    {
    case SGR_TARGET_WARMING:
      return "warming";
    case SGR_TARGET_SERVING:
      return "serving";
    case SGR_TARGET_DRAINING:
      return "draining";
    case SGR_TARGET_LEFT:
      return "left";
    case SGR_TARGET_NONE:
      break;
    }
  return "none";
}

uint64_t
sgr_clock_monotonic_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * SGR_USEC_PER_SEC + (uint64_t)now.tv_nsec / 1000;
}

uint64_t
sgr_clock_wall_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}
